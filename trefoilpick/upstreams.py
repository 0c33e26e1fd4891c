"""The worker beside a node: HTTP/1.1 over a bounded pool of kept connections."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio
import h11
from curio.io import Socket

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError

if TYPE_CHECKING:
    from trefoilpick.hops import Headers, HopRequest

READ_BYTES = 65_536
"""Bytes asked of the socket at a time."""

MAX_ANSWER_HEAD_BYTES = 65_536
"""Largest head of a worker's answer, in bytes."""

DISTRUST_S = 60.0
"""Time for which no connection is used twice after surplus bytes, in seconds."""

DEADLINE_HEADER = b"x-trefoilpick-deadline-ms"
"""Request header: remaining time, in milliseconds."""

VERSION_HEADER = b"x-trefoilpick-version"
"""Request header: number of the version that admitted the request."""

RETRY_HEADER = b"x-trefoilpick-retry"
"""Request header: an earlier attempt was made."""

NOT_RUN_HEADER = b"x-not-run"
"""Answer header by which a worker says that it did not run a request."""

CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that hold for one connection and are never passed on."""

_OWN_HEADERS = frozenset((DEADLINE_HEADER, VERSION_HEADER, RETRY_HEADER))

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
"""Headers that tell where a body ends."""

BODILESS_STATUSES = frozenset((204, 304))
"""Status codes of answers that never have a body."""

_DROPPED_HEADERS = CONNECTION_HEADERS | _OWN_HEADERS


@dataclass(frozen=True)
class AnswerHead:
    """Head of a worker's answer.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers.
    """

    status: int
    headers: Headers


class NothingSentError(Exception):
    """The worker's connection was closed before any byte of the request left."""


class WorkerConnection:
    """One connection to the worker, for one request at a time.

    Args:
        sock: A connected curio socket.
        authority: Host header for requests that carry none.

    Attributes:
        idle_since_s: Reading of the clock at the end of the last request, in seconds.
        is_fresh: Whether it carried no request yet.
        answer_begun: Whether the answer's head arrived.
        answer_complete: Whether the whole answer arrived.
        surplus: Whether the worker sent more than its answer.
    """

    def __init__(self, sock: Socket, authority: bytes) -> None:
        self.idle_since_s = 0.0
        self.is_fresh = True
        self.answer_begun = False
        self.answer_complete = False
        self._sock = sock
        self._authority = authority
        self._http = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self._method = ""
        self._send_broken = False
        self.surplus = False

    async def send_request(
        self,
        request: HopRequest,
        chunks: list[bytes],
        *,
        remaining_ms: int,
        whole: bool,
        is_retry: bool,
    ) -> None:
        """Send a request's head with the first part of its body.

        Args:
            request: The request.
            chunks: The part of the body that is at hand.
            remaining_ms: Time left until the answer's head, in milliseconds.
            whole: Whether the body ends there.
            is_retry: Whether an earlier attempt was made.

        Raises:
            NothingSentError: No byte left; the request did not run.
            TrefoilpickError: `HEAD_MALFORMED` or `BODY_MALFORMED`; nothing was sent.
        """
        headers = self._list_headers(request)
        headers.append((DEADLINE_HEADER, b"%d" % remaining_ms))
        if is_retry:
            headers.append((RETRY_HEADER, b"1"))
        data = self._encode_request(request, headers, chunks, whole)
        try:
            count = await self._sock.send(data)
        except OSError as error:
            raise NothingSentError from error
        if count < len(data):
            await self._send_rest(memoryview(data)[count:])

    async def send_data(self, chunk: bytes) -> None:
        """Send a further part of the request's body.

        Raises:
            TrefoilpickError: `BODY_MALFORMED`, where it is longer than announced.
        """
        await self._send_event(h11.Data(data=chunk))

    async def send_end(self) -> None:
        """End the request's body.

        Raises:
            TrefoilpickError: `BODY_MALFORMED`, where it is shorter than announced.
        """
        await self._send_event(h11.EndOfMessage())

    async def receive_head(self) -> AnswerHead:
        """Wait for the head of the answer.

        Raises:
            TrefoilpickError: `UPSTREAM_LOST` or `ANSWER_MALFORMED`.
        """
        while True:
            await self.fill()
            event = self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self._next_event()
            if isinstance(event, h11.Response):
                return self._begin_answer(event)
            if event is not h11.NEED_DATA:
                raise _lose("worker closed the connection before its answer")

    def take_data(self) -> list[bytes]:
        """Return what was received of the answer's body, and note whether it is whole.

        Raises:
            TrefoilpickError: `ANSWER_CUT`.
        """
        chunks: list[bytes] = []
        while not self.answer_complete:
            event = self._next_event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.answer_complete = True
                self.surplus = bool(self._http.trailing_data[0])
            elif event is h11.NEED_DATA:
                break
            else:
                raise _cut()
        return chunks

    async def fill(self) -> None:
        """Wait for further bytes of the answer.

        Raises:
            TrefoilpickError: `UPSTREAM_LOST` or `ANSWER_CUT`, where the connection broke.
        """
        try:
            data = await self._sock.recv(READ_BYTES)
        except OSError as error:
            raise self._fail() from error
        if not data and not self.answer_begun and not self._has_partial_head():
            raise self._fail()
        self._http.receive_data(data)

    def prepare_reuse(self) -> bool:
        """Make ready for the next request.

        Returns:
            Whether the connection may be used again.
        """
        if self.surplus or self._send_broken or not self.answer_complete:
            return False
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        self.is_fresh = False
        self.answer_begun = self.answer_complete = False
        return True

    def is_quiet(self) -> bool:
        """Tell whether the idle connection is open and nothing arrived on it."""
        try:
            self.surplus = bool(self._sock._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    def _encode_request(
        self, request: HopRequest, headers: Headers, chunks: list[bytes], whole: bool
    ) -> bytes:
        self._method = request.method
        try:
            head = h11.Request(method=request.method, target=request.target, headers=headers)
            parts = [self._http.send(head)]
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            text = f'request of route "{request.route}": {error}'
            raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text) from error
        try:
            parts += [self._http.send(h11.Data(data=chunk)) for chunk in chunks]
            if whole:
                parts.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise _reject_body(error, Outcome.NOT_RUN) from error
        return b"".join(part for part in parts if part)

    def _list_headers(self, request: HopRequest) -> Headers:
        headers = [pair for pair in request.headers if pair[0] not in _DROPPED_HEADERS]
        names = {name for name, _ in headers}
        if b"host" not in names:
            headers.append((b"host", self._authority))
        if request.has_body and b"content-length" not in names:
            headers.append((b"transfer-encoding", b"chunked"))
        headers.append((VERSION_HEADER, b"%d" % request.number))
        return headers

    async def _send_event(self, event: Any) -> None:
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            raise _reject_body(error, Outcome.UNKNOWN) from error
        if data:
            await self._send_rest(data)

    async def _send_rest(self, data: bytes | memoryview) -> None:
        if self._send_broken:
            return
        try:
            await self._sock.sendall(data)
        except OSError:
            # The worker may have answered before it closed: the answer tells.
            self._send_broken = True

    def _next_event(self) -> Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if self.answer_begun:
                raise _cut() from error
            text = f"worker's answer: {error}"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text) from error

    def _begin_answer(self, event: h11.Response) -> AnswerHead:
        headers = list(event.headers)
        names = {name for name, _ in headers}
        has_body = self._method != "HEAD" and event.status_code not in BODILESS_STATUSES
        if has_body and names.isdisjoint(FRAMING_HEADERS):
            text = "worker's answer has neither a length nor chunks: its end cannot be proved"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text, outcome=Outcome.RUN)
        self.answer_begun = True
        if not names.isdisjoint(CONNECTION_HEADERS):
            headers = [pair for pair in headers if pair[0] not in CONNECTION_HEADERS]
        return AnswerHead(event.status_code, headers)

    def _has_partial_head(self) -> bool:
        return bool(self._http.trailing_data[0])

    def _fail(self) -> TrefoilpickError:
        if self.answer_begun:
            return _cut()
        return _lose("worker closed the connection before its answer")


class WorkerPool:
    """Kept connections to one worker, the longest unused first.

    A worker that sends more than its answers is distrusted: what it sends late could be taken for
    the answer to the next request, so for a while no connection to it is used twice. The longest
    unused connection goes first for the same reason: what is late shows before the next use.

    Args:
        host: IP address of the worker.
        port: Port of the worker.
        max_idle_s: Idle time after which a connection is not used again, in seconds.
    """

    def __init__(self, host: str, port: int, *, max_idle_s: float) -> None:
        self.opened = 0
        self._address = (host, port)
        self._authority = f"{host}:{port}".encode()
        self._family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._max_idle_s = max_idle_s
        self._idle: deque[WorkerConnection] = deque()
        self._distrusted_until_s = 0.0

    @property
    def idle(self) -> int:
        """How many connections wait for a request."""
        return len(self._idle)

    async def acquire(
        self, *, connect_timeout_s: float, now_s: float, fresh: bool = False
    ) -> WorkerConnection:
        """Return a quiet kept connection, or a new one.

        Args:
            connect_timeout_s: Time to connect, in seconds.
            now_s: Reading of the clock, in seconds.
            fresh: Whether a kept connection will not do.

        Raises:
            TrefoilpickError: `UPSTREAM_REFUSED`; nothing was sent.
        """
        while self._idle:
            connection = self._idle.popleft()
            is_quiet = connection.is_quiet()
            if connection.surplus:
                self._distrust(now_s)
            is_recent = now_s - connection.idle_since_s <= self._max_idle_s
            if is_quiet and is_recent and not fresh and now_s >= self._distrusted_until_s:
                return connection
            await self.discard(connection)
        return await self._connect(connect_timeout_s)

    async def release(
        self, connection: WorkerConnection, *, connections: int, now_s: float | None = None
    ) -> None:
        """Keep a connection for the next request, or close it.

        Args:
            connection: A connection whose request ended.
            connections: Connections that the worker takes.
            now_s: Reading of the clock, in seconds, where it is at hand.
        """
        now_s = read_clock() if now_s is None else now_s
        is_reusable = connection.prepare_reuse()
        if connection.surplus:
            self._distrust(now_s)
        if is_reusable and now_s >= self._distrusted_until_s:
            connection.idle_since_s = now_s
            self._idle.append(connection)
        else:
            await self.discard(connection)
        while self._idle and self.opened > connections:
            await self.discard(self._idle.popleft())

    async def discard(self, connection: WorkerConnection) -> None:
        """Close a connection."""
        self.opened -= 1
        await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self.discard(self._idle.pop())

    def _distrust(self, now_s: float) -> None:
        self._distrusted_until_s = now_s + DISTRUST_S

    async def _connect(self, timeout_s: float) -> WorkerConnection:
        sock = Socket(socket.socket(self._family, socket.SOCK_STREAM))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with curio.timeout_after(timeout_s):
                await sock.connect(self._address)
        except BaseException as error:
            await sock.close()
            if isinstance(error, (OSError, curio.TaskTimeout)):
                text = f"worker at {self._authority.decode()} takes no connection"
                raise TrefoilpickError(ErrorKind.UPSTREAM_REFUSED, text) from error
            raise
        self.opened += 1
        return WorkerConnection(sock, self._authority)


def open_pool(host: str, port: int, *, max_idle_s: float) -> WorkerPool:
    """Open a pool of connections to a worker, without connecting yet.

    Args:
        host: IP address of the worker.
        port: Port of the worker.
        max_idle_s: Idle time after which a connection is not used again, in seconds.
    """
    return WorkerPool(host, port, max_idle_s=max_idle_s)


def _lose(text: str) -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.UPSTREAM_LOST, text)


def _cut() -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.ANSWER_CUT, "worker's answer ended before it was whole")


def _reject_body(error: Exception, outcome: Outcome) -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.BODY_MALFORMED, f"request body: {error}", outcome=outcome)
