"""HTTP/1.1 connection to the worker of a node."""

from __future__ import annotations

import select
import socket
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import h11

from trefoilpick._connections import has_ended_in_order
from trefoilpick._time_slices import yield_if_due
from trefoilpick.conventions import DEFAULT_CONVENTIONS, RETRY_HEADER, VERSION_HEADER, Conventions
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.hops import LAST_STATUS

if TYPE_CHECKING:
    from curio.io import Socket

    from trefoilpick.hops import Headers, HopRequest

READ_BYTES = 65_536
"""Largest number of bytes read from the socket at a time."""

MAX_ANSWER_HEAD_BYTES = 65_536
"""Largest head of a worker's answer, in bytes."""

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
"""Hop-by-hop headers, which are never forwarded."""

_OWN_HEADERS = frozenset((VERSION_HEADER, RETRY_HEADER))

_DROPPED_HEADERS = CONNECTION_HEADERS | _OWN_HEADERS

KEEP_ALIVE_MARGIN_S = 1.0
"""Margin that is subtracted from a worker's stated idle timeout, in seconds: workers state it in
whole seconds, and a request takes some milliseconds to arrive."""

FIRST_SUCCESS, LAST_SUCCESS = 200, 299
"""Range of the status codes of successes."""

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events of a socket whose peer has closed or reset the connection."""

MAX_STRAY_ANSWERS = 4
"""Largest number of answers to earlier requests that are skipped before the expected one."""

MAX_SKIPPED_PARTS = 1_024
"""Largest number of interim answers and parts of stray ones that are skipped before the expected
answer. Each takes time, whatever its size, and a faulty worker may send them without end."""

MAX_REFUSED_IDS = 32
"""Number of refused requests that a connection remembers."""

MAX_POPPED_PARTS = 64
"""Largest number of parts of a body that are parsed without letting other tasks run."""


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
    """The worker's connection was closed before any byte of the request was sent."""


class WorkerConnection:
    """A connection to the worker that carries one request at a time.

    Args:
        sock: A connected curio socket.
        authority: Host header for requests without one.
        conventions: Headers of the fleet.

    Attributes:
        idle_since_s: Clock reading at the end of the last request, in seconds.
        is_fresh: Whether it has not carried a request yet.
        has_answer_begun: Whether the answer's head has arrived.
        is_answer_complete: Whether the complete answer has arrived.
        has_surplus_bytes: Whether the worker sent bytes beyond its answer.
        keep_alive_s: Idle timeout stated by the worker, in seconds; None if it states none.
    """

    def __init__(
        self, sock: Socket, authority: bytes, conventions: Conventions = DEFAULT_CONVENTIONS
    ) -> None:
        self.idle_since_s = 0.0
        self.is_fresh = True
        self.has_answer_begun = False
        self.is_answer_complete = False
        self._sock = sock
        self._authority = authority
        self._conventions = conventions
        self._http = _open_protocol()
        self._method = ""
        self._request_id = b""
        self._stray_answers = 0
        self._skipped_parts = 0
        self._has_unparsed_parts = False
        # Without that convention, a worker may still prove to echo the IDs.
        self._echoes_request_id = conventions.echoes_request_id
        self.keep_alive_s: float | None = None
        self._is_partly_sent = False
        self._was_reset = False
        self._is_unidentified = False
        self._refused_ids: deque[bytes] = deque(maxlen=MAX_REFUSED_IDS)
        self.has_surplus_bytes = False

    async def send_request(
        self,
        request: HopRequest,
        chunks: list[bytes],
        *,
        remaining_ms: int,
        body_complete: bool,
        is_retry: bool,
        expected_worker: str = "",
    ) -> None:
        """Send a request's head with the first part of its body.

        Args:
            request: The request.
            chunks: The parts of the body that have arrived.
            remaining_ms: Time left to receive the answer's head, in milliseconds.
            body_complete: Whether `chunks` are the complete body.
            is_retry: Whether an earlier attempt was made.
            expected_worker: Identity of the worker that may run it; empty for any.

        Raises:
            NothingSentError: No byte was sent; the request did not run.
            TrefoilpickError: `HEAD_MALFORMED` or `BODY_MALFORMED`; nothing was sent.
        """
        headers = self._list_headers(request)
        headers.append((self._conventions.deadline, b"%d" % remaining_ms))
        if expected_worker:
            headers.append((self._conventions.expected_worker, expected_worker.encode()))
        self._request_id = request.request_id.encode("latin-1")
        if is_retry:
            headers.append((RETRY_HEADER, b"1"))
        data = self._encode_request(request, headers, chunks, body_complete)
        try:
            count = await self._sock.send(data)
        except OSError as error:
            raise NothingSentError from error
        if count < len(data):
            await self._send_rest(memoryview(data)[count:])

    async def send_data(self, chunk: bytes) -> None:
        """Send a further part of the request's body.

        Raises:
            TrefoilpickError: `BODY_MALFORMED`, if it is longer than its content length.
        """
        await self._send_event(h11.Data(data=chunk))

    async def send_end(self) -> None:
        """End the request's body.

        Raises:
            TrefoilpickError: `BODY_MALFORMED`, if it is shorter than its content length.
        """
        await self._send_event(h11.EndOfMessage())

    async def receive_head(self) -> AnswerHead:
        """Wait for the head of the answer.

        Raises:
            TrefoilpickError: `UPSTREAM_LOST` or `ANSWER_MALFORMED`.
        """
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Response):
                if not self._is_stray(event):
                    return self._begin_answer(event)
                await self._skip_stray()
            elif isinstance(event, h11.InformationalResponse):
                self._count_skipped_part()
            else:
                raise _build_lost_error("worker closed the connection before its answer")

    def pop_data(self) -> list[bytes]:
        """Return received parts of the answer's body, and update `is_answer_complete`.

        Parts beyond `MAX_POPPED_PARTS` are left for the next call after `receive_more`.

        Raises:
            TrefoilpickError: `ANSWER_CUT`.
        """
        chunks: list[bytes] = []
        while not self.is_answer_complete:
            if len(chunks) == MAX_POPPED_PARTS:
                self._has_unparsed_parts = True
                break
            event = self._next_event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.is_answer_complete = True
                self.has_surplus_bytes = bool(self._http.trailing_data[0])
            elif event is h11.NEED_DATA:
                break
            else:
                raise _build_cut_error()
        return [b"".join(chunks)] if len(chunks) > 1 else chunks

    def is_open(self) -> bool:
        """Return whether the worker has neither closed nor reset the connection."""
        poller = select.poll()
        poller.register(self._sock.fileno(), CLOSED_EVENTS)
        return not poller.poll(0)

    async def receive_more(self) -> None:
        """Wait for more bytes of the answer, unless `pop_data` left some.

        Raises:
            TrefoilpickError: `UPSTREAM_LOST` or `ANSWER_CUT`, if the connection broke.
        """
        await yield_if_due()
        if self._has_unparsed_parts:
            self._has_unparsed_parts = False
            return
        try:
            data = await self._sock.recv(READ_BYTES)
        except OSError as error:
            raise self._build_broken_error() from error
        if not data and (
            self._was_reset or not (self.has_answer_begun or self._has_partial_head())
        ):
            raise self._build_broken_error()
        self._http.receive_data(data)

    def prepare_reuse(self) -> bool:
        """Reset the connection's state for the next request.

        An answer without a request ID ends the connection if the worker echoes IDs: sent once more,
        it could not be told from the answer to the next request.

        Returns:
            Whether the connection may be reused.
        """
        if (
            self.has_surplus_bytes
            or self._is_unidentified
            or self._stray_answers
            or self._is_partly_sent
            or not self.is_answer_complete
        ):
            return False
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        self.is_fresh = False
        self.has_answer_begun = self.is_answer_complete = False
        self._skipped_parts = 0
        return True

    def record_refusal(self) -> None:
        """Record that the worker refused the request: its answer may be sent once more."""
        self._refused_ids.append(self._request_id)

    def has_refused(self, request_id: str) -> bool:
        """Return whether the worker refused a request with this ID on the connection."""
        return bool(request_id) and request_id.encode("latin-1") in self._refused_ids

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open and has no unread input."""
        try:
            self.has_surplus_bytes = bool(self._sock._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    def _encode_request(
        self, request: HopRequest, headers: Headers, chunks: list[bytes], body_complete: bool
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
            if body_complete:
                parts.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise _build_body_error(error, Outcome.NOT_RUN) from error
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
            raise _build_body_error(error, Outcome.UNKNOWN) from error
        if data:
            await self._send_rest(data)

    async def _send_rest(self, data: bytes | memoryview) -> None:
        if self._is_partly_sent:
            return
        # Cancelled on the way, it stays set.
        self._is_partly_sent = True
        try:
            await self._sock.sendall(data)
        except OSError as error:
            # The worker may have answered before the connection ended, so the answer is still read.
            self._was_reset = not has_ended_in_order(error)
            return
        self._is_partly_sent = False

    def _count_skipped_part(self) -> None:
        self._skipped_parts += 1
        if self._skipped_parts > MAX_SKIPPED_PARTS:
            text = "worker sent too much before its answer"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text)

    async def _receive_event(self) -> Any:
        """Return the next event; wait for it if necessary."""
        await yield_if_due()
        while (event := self._next_event()) is h11.NEED_DATA:
            await self.receive_more()
        return event

    def _next_event(self) -> Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if self.has_answer_begun:
                raise _build_cut_error() from error
            text = f"worker's answer: {error}"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text) from error

    def _begin_answer(self, event: h11.Response) -> AnswerHead:
        if event.status_code > LAST_STATUS:
            text = f"worker's answer has status {event.status_code}, which no answer has"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text)
        headers = list(event.headers)
        names = {name for name, _ in headers}
        proof = self._conventions.answer_proof
        if proof and proof not in names and _is_success(event.status_code):
            text = f"worker's answer {event.status_code} lacks the header that proves a success"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text)
        self.has_answer_begun = True
        is_named = self._conventions.request_id in names or not self._request_id
        self._is_unidentified = self._echoes_request_id and not is_named
        if not names.isdisjoint(CONNECTION_HEADERS):
            self.keep_alive_s = _read_keep_alive(headers)
            headers = [pair for pair in headers if pair[0] not in CONNECTION_HEADERS]
        return AnswerHead(event.status_code, headers)

    def _is_stray(self, event: h11.Response) -> bool:
        """Return whether an answer belongs to another request."""
        if not self._request_id:
            return False
        echoed = dict(event.headers).get(self._conventions.request_id)
        if echoed == self._request_id:
            self._echoes_request_id = True
        if not self._echoes_request_id:
            return False
        if echoed is None:
            # An error may come from a server that could not parse the request and its ID; a success
            # always carries the ID.
            return _is_success(event.status_code)
        return echoed != self._request_id

    async def _skip_stray(self) -> None:
        """Read an answer to another request, and prepare to read the expected one.

        Raises:
            TrefoilpickError: `ANSWER_MALFORMED`, if the expected answer cannot be identified.
        """
        self._stray_answers += 1
        if self._stray_answers > MAX_STRAY_ANSWERS or self._http.our_state is h11.SEND_BODY:
            text = "worker sent the answer to another request"
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text)
        while not isinstance(event := await self._receive_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise _build_lost_error(
                    "worker closed the connection during the answer to another request"
                )
            self._count_skipped_part()
        rest, is_closed = self._http.trailing_data
        self._http = _open_protocol()
        # Repeats the method of the request that was sent: it determines how the answer is framed.
        self._http.send(h11.Request(method=self._method, target="/", headers=[("host", "")]))
        self._http.send(h11.EndOfMessage())
        if rest or is_closed:
            self._http.receive_data(rest)

    def _has_partial_head(self) -> bool:
        return bool(self._http.trailing_data[0])

    def _build_broken_error(self) -> TrefoilpickError:
        if self.has_answer_begun:
            return _build_cut_error()
        return _build_lost_error("worker closed the connection before its answer")


def _open_protocol() -> h11.Connection:
    return h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)


def _is_success(status: int) -> bool:
    return FIRST_SUCCESS <= status <= LAST_SUCCESS


def _read_keep_alive(headers: Headers) -> float | None:
    """Return the idle timeout stated in an answer's headers, in seconds."""
    for name, value in headers:
        if name == b"keep-alive":
            for part in value.lower().split(b","):
                key, _, number = part.strip().partition(b"=")
                if key == b"timeout" and number.isdigit() and len(number) < 6:
                    return float(number)
    return None


def _build_lost_error(text: str) -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.UPSTREAM_LOST, text)


def _build_cut_error() -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.ANSWER_CUT, "worker's answer ended before it was complete")


def _build_body_error(error: Exception, outcome: Outcome) -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.BODY_MALFORMED, f"request body: {error}", outcome=outcome)
