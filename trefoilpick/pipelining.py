"""HTTP/1.1 pipelining: requests that a caller sends before earlier ones are answered.

Pipelined requests run concurrently, and their answers are sent in the order of the requests. A
request that is not idempotent runs only after all earlier answers were sent: if one of those ends
the connection, the caller sends the request again, so it must not have run.
"""

from __future__ import annotations

from typing import Any

import curio
import h11

from trefoilpick.caller_connections import CallerConnection, ConnectionState

MAX_PIPELINED = 8
"""Concurrent requests of one connection: the highest limit of browsers that used pipelining."""

PLACEHOLDER_REQUEST = b"GET / HTTP/1.1\r\nhost: -\r\n\r\n"
"""Placeholder for a request that was already read, so that h11 can encode its answer."""

BODY_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"upgrade", b"expect"))
"""Headers of requests that are not pipelined."""


class PipelinedRequest:
    """Pipelined request, whose answer is sent after those of earlier requests.

    It serves as the socket of its own `connection`, which waits for its turn before it sends.

    Args:
        connection: The caller's connection.
        earlier: The previous request; None for the first.

    Attributes:
        connection: Connection object with which this request is answered.
        is_answered: Whether the complete answer was sent and the connection can be reused.
    """

    def __init__(self, connection: CallerConnection, earlier: PipelinedRequest | None) -> None:
        self.is_answered = False
        self._ended = curio.Event()
        self._earlier = earlier
        self._sock = connection.sock
        self.connection = CallerConnection(
            self,
            connection.caller,
            find_max_head_bytes=connection.find_max_head_bytes,
            clock=connection.clock,
            reader=connection,
            wait_for_turn=self.wait_for_earlier,
        )
        self.connection.http.receive_data(PLACEHOLDER_REQUEST)
        self.connection.http.next_event()
        self.connection.state = ConnectionState.RUNNING

    @property
    def _socket(self) -> Any:
        return self._sock._socket

    @property
    def is_ended(self) -> bool:
        """Whether the answer was sent or abandoned."""
        return self._ended.is_set()

    def fileno(self) -> int:
        """Return the connection's file descriptor."""
        return int(self._sock.fileno())

    def setsockopt(self, *option: Any) -> None:
        """Set a socket option of the connection."""
        self._sock.setsockopt(*option)

    async def sendall(self, data: bytes) -> None:
        """Send a part of the answer.

        Raises:
            OSError: The connection broke.
        """
        await self._sock.sendall(data)

    async def wait_for_earlier(self) -> None:
        """Wait until all earlier answers were sent.

        Raises:
            BrokenPipeError: One of them ended the connection.
        """
        if self._earlier is None:
            return
        await self._earlier.wait()
        if not self._earlier.is_answered:
            raise BrokenPipeError("an earlier answer ended the connection")
        self._earlier = None

    async def wait(self) -> None:
        """Wait until the answer was sent or abandoned."""
        await self._ended.wait()

    async def finish(self) -> None:
        """Mark the answer as sent or abandoned."""
        self.is_answered = self.connection.is_answered
        await self._ended.set()


class Pipeline:
    """Requests of one connection that are in flight.

    Args:
        connection: The caller's connection.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._requests: list[PipelinedRequest] = []
        self._last: PipelinedRequest | None = None

    def can_add(self, request: h11.Request) -> bool:
        """Return whether a request may run while the next one is read."""
        if request.method != b"GET" or request.http_version != b"1.1":
            return False
        for name, value in request.headers:
            if name in BODY_HEADERS or (name == b"connection" and b"close" in value.lower()):
                return False
        return True

    async def add(self) -> PipelinedRequest:
        """Add the request that was just read, and prepare for the next one."""
        while len(self._requests) >= MAX_PIPELINED:
            await self._requests[0].wait()
            self._remove_ended()
        if self._last is not None:
            self._last.connection.is_followed = True
        pipelined = PipelinedRequest(self._connection, self._last)
        self._last = pipelined
        self._requests.append(pipelined)
        self._connection.skip_answer()
        return pipelined

    async def drain(self) -> bool:
        """Wait until all answers were sent; return whether the connection can be reused."""
        if self._last is None:
            return True
        await self._last.wait()
        self._remove_ended()
        return self._last.is_answered

    async def finish_request(self, pipelined: PipelinedRequest) -> None:
        """Finish a request; shut down the connection if it cannot be reused."""
        await pipelined.finish()
        self._remove_ended()
        if not pipelined.is_answered:
            self._connection.disconnect()
        elif not self._requests:
            self._connection.mark_idle()

    def handle_disconnect(self) -> None:
        """Cancel all requests because the caller disconnected."""
        for pipelined in self._requests:
            pipelined.connection.handle_disconnect()

    def _remove_ended(self) -> None:
        self._requests = [pipelined for pipelined in self._requests if not pipelined.is_ended]
