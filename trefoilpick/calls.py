"""A caller's request: its parsed head, its body and the state of its forwarding."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick.caller_connections import MAX_READY_PARTS
from trefoilpick.conventions import (
    DEADLINE_HEADER,
    DEFAULT_CONVENTIONS,
    RETRY_HEADER,
    VERSION_HEADER,
    Conventions,
)
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.fingerprints import SAMPLE_BYTES
from trefoilpick.hops import Headers
from trefoilpick.retries import AttemptHistory

if TYPE_CHECKING:
    from h11 import Request

    from trefoilpick.caller_connections import CallerConnection
    from trefoilpick.snapshots import Snapshot, TeamRoute

MS_PER_S = 1_000
"""Milliseconds in a second."""

ERROR_HEADER = b"x-trefoilpick-error"
"""Header with the kind of the error that ended a request."""

OUTCOME_HEADER = b"x-trefoilpick-outcome"
"""Header with the known outcome of a request: not run, run or unknown."""

OWN_PREFIX = b"x-trefoilpick-"
"""Prefix of Trefoilpick's own headers."""

TOKEN_HEADER = b"x-trefoilpick-token"
"""Header with an at-most-once token, or `TOKEN_REQUEST` to request one."""

TOKEN_REQUEST = "request"
"""Value of the token header that requests a token."""

RETRY_MARK = b"1"
"""Value of the retry header on a request that is a retry."""

EXHAUSTED_MARK = b"exhausted"
"""Value of the retry header on an answer whose request the caller should not retry."""

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers, which are not forwarded."""


OWN_HEADERS = frozenset(
    {
        DEADLINE_HEADER,
        ERROR_HEADER,
        OUTCOME_HEADER,
        RETRY_HEADER,
        TOKEN_HEADER,
        VERSION_HEADER,
    }
)
"""Headers that a node reads and sets itself and does not forward."""

END_TO_END_NAMES = frozenset({b"host", b"content-length"})
"""Headers that are forwarded even if a `Connection` header names them."""

MAX_DEADLINE_DIGITS = 9
"""Largest accepted length of a deadline header, in decimal digits."""


@dataclass(frozen=True)
class CallHead:
    """Parsed head of a request.

    Attributes:
        method: HTTP method.
        host: Host header without its port, in lower case.
        target: Path and query.
        path: Path without the query.
        headers: End-to-end headers without Trefoilpick's own.
        deadline_ms: Time left until the caller's deadline, in milliseconds; None if not sent.
        token: At-most-once token; None if there is none.
        wants_token: Whether the caller requests a token.
        is_retry: Whether the caller marked the request as a retry.
        body_length: Length of the body, in bytes; None if not declared.
        request_id: The caller's id of this attempt; empty if not sent.
        is_nested: Whether a worker sent it while processing another request.
        is_nested_first: Whether it also goes before new requests of its priority.
    """

    method: str
    host: str
    target: str
    path: str
    headers: Headers
    deadline_ms: int | None
    token: str | None
    wants_token: bool
    is_retry: bool
    body_length: int | None
    request_id: str = ""
    is_nested: bool = False
    is_nested_first: bool = False


@dataclass
class CallBody:
    """Body of a request, buffered up to a limit so that a retry can send it again.

    Attributes:
        connection: The caller's connection.
        limit: Largest allowed length, in bytes.
        buffer_limit: Largest length that is buffered, in bytes.
        is_complete: Whether all of the body was received.
        received: Bytes received so far.
        was_sent: Whether an attempt began to send the body.
        is_replayable: Whether every part received so far is still buffered.
        parts: The buffered parts.
        sample: The first bytes of the body, which identify it; None before they have arrived.
    """

    connection: CallerConnection
    limit: int
    buffer_limit: int
    is_complete: bool = False
    received: int = 0
    was_sent: bool = False
    is_replayable: bool = True
    parts: list[bytes] = field(default_factory=list)
    sample: bytes | None = None
    _keeps_parts: bool = False

    def read_sample(self) -> bytes | None:
        """Return the sample of the body, after reading what has arrived; None if more is needed."""
        if self.sample is None:
            self._read_arrived(SAMPLE_BYTES)
            if self.is_complete or self.received >= SAMPLE_BYTES:
                self.sample = b"".join(self.parts)[:SAMPLE_BYTES]
        return self.sample

    def begin_attempt(self) -> list[bytes]:
        """Return all parts received so far, including those that arrived since the last attempt.

        Raises:
            TrefoilpickError: `BODY_MALFORMED` or `BODY_TOO_LARGE`.
            RuntimeError: The body is not replayable.
        """
        if not self.is_replayable:
            raise RuntimeError("a part of the body is no longer buffered")
        self._keeps_parts = False
        self._read_arrived(self.buffer_limit + 1)
        self.was_sent = True
        return list(self.parts)

    def drop_excess(self) -> None:
        """Drop the buffered parts of a body over the limit, once the attempt has sent them."""
        if self.received > self.buffer_limit:
            self.is_replayable = False
            self.parts = []

    def keep_parts(self) -> None:
        """Keep all parts until the next attempt, including those that the upload still receives."""
        self._keeps_parts = True

    async def receive(self) -> bytes | None:
        """Wait for the next part, for the current attempt; return None at the end of the body."""
        if self.is_complete:
            return None
        part = await self.connection.receive_body()
        self._add_part(part)
        if not self._keeps_parts:
            self.drop_excess()
        return part

    def _read_arrived(self, size: int) -> None:
        """Read parts that have already arrived, until a number of bytes or parts was received."""
        for _ in range(MAX_READY_PARTS):
            if self.is_complete or self.received >= size:
                break
            part = self.connection.read_body_part()
            if part == b"":
                break
            self._add_part(part)

    def _add_part(self, part: bytes | None) -> None:
        if part is None:
            self.is_complete = True
            return
        self.received += len(part)
        if self.received > self.limit:
            self.is_replayable = False
            text = f"body is over the route's limit of {self.limit} bytes"
            outcome = Outcome.UNKNOWN if self.was_sent else Outcome.NOT_RUN
            raise TrefoilpickError(ErrorKind.BODY_TOO_LARGE, text, outcome=outcome)
        if self.is_replayable:
            self.parts.append(part)


@dataclass(frozen=True)
class Call:
    """A request that was admitted for forwarding.

    Attributes:
        connection: The caller's connection.
        head: Its parsed head.
        body: Its body.
        snapshot: Snapshot of the version that applies to the whole request.
        team_route: Its route.
        started_at: When its head was received, in seconds on the node's clock.
        deadline_at: Deadline for the answer's head, in seconds on the node's clock.
        objective_at: When the latency objective is missed, in seconds on the node's clock.
        elapsed_ms: Time since the caller's first attempt, in milliseconds.
        attempts: Attempts made so far.
    """

    connection: CallerConnection
    head: CallHead
    body: CallBody
    snapshot: Snapshot
    team_route: TeamRoute
    started_at: float
    deadline_at: float
    objective_at: float = math.inf
    elapsed_ms: int = 0
    attempts: AttemptHistory = field(default_factory=AttemptHistory)


def parse_head(
    request: Request, conventions: Conventions = DEFAULT_CONVENTIONS, *, service: str = ""
) -> CallHead:
    """Parse a request's head.

    Args:
        request: The head as parsed by h11.
        conventions: Names of the fleet's headers.
        service: Service of the caller's VM, to forward in a header; empty to omit it.

    Raises:
        TrefoilpickError: `HEAD_MALFORMED`.
    """
    host = b""
    connection_options = b""
    deadline_ms: int | None = None
    token: str | None = None
    is_retry = False
    body_length = 0
    is_chunked = False
    request_id = b""
    forwarded: Headers = []
    for name, value in request.headers:
        if name == conventions.deadline:
            deadline_ms = _parse_deadline(value)
            continue
        if name in OWN_HEADERS:
            if name == TOKEN_HEADER:
                token = value.decode("latin-1")
            elif name == RETRY_HEADER:
                is_retry = True
            continue
        if name == conventions.caller_service or name == conventions.expected_worker:
            continue
        if name in CONNECTION_HEADERS:
            if name == b"connection":
                connection_options += b"," + value.lower()
            elif name == b"transfer-encoding":
                is_chunked = True
            continue
        if name == b"host":
            host = value
        elif name == b"content-length":
            body_length = int(value)
        elif name == conventions.request_id:
            request_id = value
        forwarded.append((name, value))
    if is_chunked and any(name == b"content-length" for name, _ in forwarded):
        text = "the request has both Content-Length and Transfer-Encoding"
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    if connection_options:
        forwarded = _drop_connection_headers(forwarded, connection_options)
    if service:
        forwarded.append((conventions.caller_service, service.encode()))
    target = request.target.decode("ascii")
    path = target.partition("?")[0]
    _validate_path(path)
    wants_token = token == TOKEN_REQUEST
    if wants_token and (is_chunked or body_length):
        text = "a token request must not have a body"
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    return CallHead(
        request.method.decode("ascii"),
        _strip_port(host.decode("latin-1").lower()),
        target,
        path,
        forwarded,
        deadline_ms,
        None if wants_token else token,
        wants_token,
        is_retry,
        None if is_chunked else body_length,
        request_id.decode("latin-1"),
        bool(conventions.nested_separator) and conventions.nested_separator in request_id,
    )


def _parse_deadline(value: bytes) -> int:
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        name = DEADLINE_HEADER.decode()
        text = f'header "{name}" is not a number of milliseconds'
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    return int(value)


def _drop_connection_headers(headers: Headers, connection_options: bytes) -> Headers:
    named = {name.strip() for name in connection_options.split(b",")} - END_TO_END_NAMES
    return [header for header in headers if header[0] not in named]


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _validate_path(path: str) -> None:
    if not path.startswith("/"):
        text = f'target "{path}" is not a path'
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    if "/." not in path and "%" not in path:
        return
    segments = path.lower().replace("%2e", ".").replace("%2f", "/").split("/")
    if "." in segments or ".." in segments:
        text = f'path "{path}" has a dot segment'
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
