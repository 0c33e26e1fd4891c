"""Requests that a caller sends before its earlier ones are answered.

They run at the same time, and their answers leave in the order of the requests. One that may not
be repeated runs only after all earlier answers have left: where one of those ends the connection,
the caller sends the request again, so it must not have run.
"""

from __future__ import annotations

from typing import Any

import curio
import h11

from trefoilpick.callerlinks import CallerLink, LinkState

MAX_AHEAD = 8
"""Requests of one connection that run at the same time: as many as browsers ever sent ahead."""

STUB_REQUEST = b"GET / HTTP/1.1\r\nhost: -\r\n\r\n"
"""Stands for a request that was read already, so that its answer can be encoded."""

BODY_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"upgrade", b"expect"))
"""Headers of requests that are not read ahead of."""


class Turn:
    """One request of a pipeline; its answer waits for those before it.

    Args:
        link: The caller's connection.
        earlier: The request before it; None for the first.

    Attributes:
        link: Stands for the connection while this request is answered.
        is_whole: Whether the answer left whole and the connection can go on.
    """

    def __init__(self, link: CallerLink, earlier: Turn | None, *, max_head_bytes: int) -> None:
        self.is_whole = False
        self._ended = curio.Event()
        self._earlier = earlier
        self._sock = link.sock
        self.link = CallerLink(self, link.caller, max_head_bytes=max_head_bytes, clock=link.clock)
        self.link.http.receive_data(STUB_REQUEST)
        self.link.http.next_event()
        self.link.state = LinkState.RUNNING

    @property
    def _socket(self) -> Any:
        return self._sock._socket

    @property
    def is_ended(self) -> bool:
        """Whether the answer has left or will not."""
        return self._ended.is_set()

    def fileno(self) -> int:
        """Return the connection's descriptor."""
        return int(self._sock.fileno())

    def setsockopt(self, *option: Any) -> None:
        """Set an option of the connection."""
        self._sock.setsockopt(*option)

    async def sendall(self, data: bytes) -> None:
        """Send a part of the answer once all earlier answers have left.

        Raises:
            OSError: The connection broke, or an earlier answer ended it.
        """
        await self.wait_earlier()
        await self._sock.sendall(data)

    async def wait_earlier(self) -> None:
        """Wait until all earlier answers have left.

        Raises:
            BrokenPipeError: One of them ended the connection.
        """
        if self._earlier is None:
            return
        await self._earlier.wait()
        if not self._earlier.is_whole:
            raise BrokenPipeError("an earlier answer ended the connection")
        self._earlier = None

    async def wait(self) -> None:
        """Wait until the answer has left or will not."""
        await self._ended.wait()

    async def end(self) -> None:
        """Note that nothing more of the answer will be sent."""
        link = self.link
        self.is_whole = not link.is_broken and link.http.our_state is h11.DONE
        await self._ended.set()


class Pipeline:
    """The requests of one connection that are not answered yet.

    Args:
        link: The caller's connection.
    """

    def __init__(self, link: CallerLink) -> None:
        self._link = link
        self._turns: list[Turn] = []
        self._last: Turn | None = None

    def may_take(self, request: h11.Request) -> bool:
        """Tell whether a request may run while the next one is read."""
        if request.method != b"GET" or request.http_version != b"1.1":
            return False
        for name, value in request.headers:
            if name in BODY_HEADERS or (name == b"connection" and b"close" in value.lower()):
                return False
        return True

    async def take(self, *, max_head_bytes: int) -> Turn:
        """Begin the turn of the request that was just read, and make ready for the next one."""
        while len(self._turns) >= MAX_AHEAD:
            await self._turns[0].wait()
            self._drop_ended()
        turn = Turn(self._link, self._last, max_head_bytes=max_head_bytes)
        self._last = turn
        self._turns.append(turn)
        self._link.skip_answer()
        return turn

    async def finish(self) -> bool:
        """Wait until all answers have left; tell whether the connection can go on."""
        if self._last is None:
            return True
        await self._last.wait()
        self._drop_ended()
        return self._last.is_whole

    async def end(self, turn: Turn) -> None:
        """Note that a turn is over; a connection that cannot go on is ended."""
        await turn.end()
        self._drop_ended()
        if not turn.is_whole:
            self._link.end()
        elif not self._turns:
            self._link.rest()

    def note_gone(self) -> None:
        """Cancel all requests: the caller left."""
        for turn in self._turns:
            turn.link.note_gone()

    def _drop_ended(self) -> None:
        self._turns = [turn for turn in self._turns if not turn.is_ended]
