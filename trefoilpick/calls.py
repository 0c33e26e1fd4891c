"""One request of a caller, from its head to its answer's end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.hops import Headers

if TYPE_CHECKING:
    from h11 import Request

    from trefoilpick.callerlinks import CallerLink
    from trefoilpick.snapshots import Snapshot, TeamRoute

MS_PER_S = 1_000
"""Milliseconds in a second."""

OWN_PREFIX = b"x-trefoilpick-"
"""Start of the names of the project's own headers."""

DEADLINE_HEADER = b"x-trefoilpick-deadline-ms"
"""Header with the time that a caller leaves for the answer's head, in milliseconds."""

TOKEN_HEADER = b"x-trefoilpick-token"
"""Header with a token for running at most once, or the wish for one."""

RETRY_HEADER = b"x-trefoilpick-retry"
"""Header that marks a further attempt, and an answer after which a further one is no use."""

TOKEN_WISH = "request"
"""Value of the token header that asks for a token."""

RETRY_MARK = b"1"
"""Value of the retry header on a request that was tried before."""

EXHAUSTED_MARK = b"exhausted"
"""Value of the retry header on an answer after which a further attempt above is no use."""

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
"""Headers of one connection, which go no further."""


@dataclass(frozen=True)
class CallHead:
    """What a request's head says.

    Attributes:
        method: HTTP method.
        host: Host header without its port, in lower case.
        target: Path and query.
        path: Path without the query.
        headers: End-to-end headers without the project's own.
        deadline_ms: Time that the caller leaves, in milliseconds; None where it says none.
        token: Token for running at most once.
        wants_token: Whether the caller asks for a token.
        is_retry: Whether an earlier attempt was made above.
        body_length: Length of the body in bytes; None where it is not known yet.
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


@dataclass
class CallBody:
    """The body of a request, and what is kept of it for a further attempt.

    Args:
        link: Where it comes from.
        limit: Largest allowed length, in bytes.
        keep: Largest part that is kept, in bytes.
    """

    link: CallerLink
    limit: int
    keep: int
    ended: bool = False
    received: int = 0
    sent: bool = False
    parts: list[bytes] = field(default_factory=list)

    @property
    def is_replayable(self) -> bool:
        """Whether all that was received of the body is still there."""
        return self.received <= self.keep or not self.sent

    def take_ready(self) -> list[bytes]:
        """Return the kept parts with those that have arrived."""
        while not self.ended and self.received <= self.keep:
            part = self.link.take_body()
            if part == b"":
                break
            self._note_part(part)
        parts = self.parts
        if self.received > self.keep:
            self.parts = []
        return parts

    async def receive(self) -> bytes | None:
        """Return the next part; None at the end of the body."""
        if self.ended:
            return None
        part = await self.link.receive_body()
        self._note_part(part)
        return part

    def _note_part(self, part: bytes | None) -> None:
        if part is None:
            self.ended = True
            return
        self.received += len(part)
        if self.received > self.limit:
            text = f"body is over the route's limit of {self.limit} bytes"
            outcome = Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN
            raise TrefoilpickError(ErrorKind.BODY_TOO_LARGE, text, outcome=outcome)
        if self.sent and self.received > self.keep:
            self.parts = []
        else:
            self.parts.append(part)


@dataclass(frozen=True)
class Call:
    """A request that was admitted.

    Attributes:
        link: The caller's connection.
        head: What its head says.
        body: Its body.
        snapshot: The version under which it runs to its end.
        team_route: Its route.
        started_at: When its head was received, in seconds on the node's clock.
        deadline_at: Until when the answer's head must come, in seconds on the node's clock.
    """

    link: CallerLink
    head: CallHead
    body: CallBody
    snapshot: Snapshot
    team_route: TeamRoute
    started_at: float
    deadline_at: float


def read_head(request: Request) -> CallHead:
    """Read a request's head.

    Raises:
        TrefoilpickError: `HEAD_MALFORMED`.
    """
    host = b""
    connection = b""
    deadline_ms: int | None = None
    token: str | None = None
    is_retry = False
    body_length: int | None = 0
    kept: Headers = []
    for name, value in request.headers:
        if name.startswith(OWN_PREFIX):
            if name == DEADLINE_HEADER:
                deadline_ms = _read_deadline(value)
            elif name == TOKEN_HEADER:
                token = value.decode("latin-1")
            elif name == RETRY_HEADER:
                is_retry = True
            continue
        if name in CONNECTION_HEADERS:
            if name == b"connection":
                connection += b"," + value.lower()
            elif name == b"transfer-encoding":
                body_length = None
            continue
        if name == b"host":
            host = value
        elif name == b"content-length":
            body_length = int(value)
        kept.append((name, value))
    if connection:
        kept = _drop_named(kept, connection)
    target = request.target.decode("ascii")
    path = target.partition("?")[0]
    _check_path(path)
    wants_token = token == TOKEN_WISH
    if wants_token and body_length != 0:
        text = "a request for a token has a body"
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    return CallHead(
        request.method.decode("ascii"),
        _strip_port(host.decode("latin-1").lower()),
        target,
        path,
        kept,
        deadline_ms,
        None if wants_token else token,
        wants_token,
        is_retry,
        body_length,
    )


def _read_deadline(value: bytes) -> int:
    if not value.isdigit() or len(value) > 9:
        name = DEADLINE_HEADER.decode()
        text = f'header "{name}" is not a number of milliseconds'
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    return int(value)


def _drop_named(headers: Headers, connection: bytes) -> Headers:
    named = {name.strip() for name in connection.split(b",")} - {b"host", b"content-length"}
    return [header for header in headers if header[0] not in named]


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _check_path(path: str) -> None:
    if not path.startswith("/"):
        text = f'target "{path}" is not a path'
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
    if "/." not in path and "%" not in path:
        return
    plain = path.lower().replace("%2e", ".").replace("%2f", "/").split("/")
    if "." in plain or ".." in plain:
        text = f'path "{path}" has a dot segment'
        raise TrefoilpickError(ErrorKind.HEAD_MALFORMED, text)
