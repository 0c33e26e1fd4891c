"""Client library for callers: node failover, complete answers and at-most-once retries."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick._client_connection import (
    ClientConnection,
    RawAnswer,
    read_outcome,
)
from trefoilpick._client_node import ClientNode
from trefoilpick.calls import (
    EXHAUSTED_MARK,
    MS_PER_S,
    OWN_PREFIX,
    RETRY_MARK,
    TOKEN_HEADER,
    TOKEN_REQUEST,
)
from trefoilpick.conventions import DEADLINE_HEADER, RETRY_HEADER
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.retries import RETRIABLE

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_TIMEOUT_S = 1.0
"""Time to connect to a node, in seconds."""

MAX_ATTEMPTS = 4
"""Largest number of attempts per request, including the first."""

INITIAL_BACKOFF_S = 0.05
"""Upper bound of the first backoff, in seconds; it doubles with each further one."""

MAX_BACKOFF_S = 5.0
"""Largest upper bound of a backoff, in seconds."""

RETRIABLE_BY_CALLER = RETRIABLE | {
    ErrorKind.PEER_UNREACHABLE,
    ErrorKind.ANSWER_CUT,
    ErrorKind.DEADLINE_BEFORE_RUN,
    ErrorKind.DEADLINE_AFTER_SEND,
    ErrorKind.TOKEN_BUSY,
}
"""Errors after which another attempt may succeed."""

NODE_ERRORS = frozenset({ErrorKind.PEER_UNREACHABLE, ErrorKind.NOT_READY, ErrorKind.DRAINING})
"""Errors after which other nodes are preferred for a while."""


@dataclass(frozen=True)
class CallerAnswer:
    """A worker's complete answer.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case, and values.
        body: Complete body.
        outcome: Outcome of the request as reported by the node: not run, run or unknown.
        version: Number of the version that the node applied to the request; 0 if unknown.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome
    version: int


@dataclass(frozen=True)
class _Request:
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_at: float
    is_retry: bool = False
    token: str | None = None


class Caller:
    """Sends requests through the first available of several nodes.

    Args:
        addresses: Addresses of nodes as "ip:port", in order of preference.
        rng: Random number generator for the backoff jitter.
        attempts: Largest number of attempts per request, including the first.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        rng: random.Random | None = None,
        attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._nodes = [ClientNode(address) for address in addresses]
        self._random = rng or random.Random()
        self._attempts = attempts

    async def request(
        self,
        method: str,
        host: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        deadline_s: float = 10.0,
        idempotent: bool = False,
    ) -> CallerAnswer:
        """Send a request and return its complete answer.

        A request that is not idempotent is sent with a token, so that it runs at most once even if
        it is retried.

        Args:
            method: HTTP method.
            host: Host header.
            path: Path and query.
            headers: Additional headers.
            body: Complete body.
            deadline_s: Time for all attempts, in seconds.
            idempotent: Whether the request may run more than once.

        Returns:
            The worker's answer, with any status.

        Raises:
            TrefoilpickError: No attempt got a worker's answer; the outcome covers all attempts.
        """
        deadline_at = await curio.clock() + deadline_s
        request = _Request(method, host, path, tuple(headers), body, deadline_at)
        attempts_made = 0
        outcome = Outcome.NOT_RUN
        while True:
            attempts_made += 1
            try:
                if not idempotent and request.token is None:
                    request = replace(request, token=await self._fetch_token(request))
                return await self._send(request)
            except TrefoilpickError as error:
                outcome = _combine_outcomes(outcome, find_answer(error).outcome)
                backoff_s = self._plan_backoff(
                    error, attempts_made, outcome, request, await curio.clock()
                )
                if backoff_s is None:
                    raise _apply_outcome(error, outcome) from error
                if outcome is Outcome.NOT_RUN:
                    request = replace(request, token=None)
                request = replace(request, is_retry=True)
                await curio.sleep(backoff_s)

    async def close(self) -> None:
        """Close all idle connections."""
        for node in self._nodes:
            while node.idle_connections:
                await node.idle_connections.pop().close()

    async def _fetch_token(self, request: _Request) -> str:
        """Get a token; errors have the outcome not run, since the request itself is not sent."""
        token_request = replace(request, headers=(), body=b"", token=TOKEN_REQUEST)
        try:
            answer = await self._exchange(token_request)
        except TrefoilpickError as error:
            raise _copy_with_outcome(error, Outcome.NOT_RUN) from error
        token = answer.get_header(TOKEN_HEADER.decode())
        if token is None:
            text = f'answer to the token request for "{request.path}" has no token'
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text, outcome=Outcome.NOT_RUN)
        return token

    async def _send(self, request: _Request) -> CallerAnswer:
        answer = await self._exchange(request)
        version = answer.get_header("x-trefoilpick-version") or "0"
        return CallerAnswer(
            answer.status,
            answer.headers,
            answer.body,
            read_outcome(answer.headers),
            int(version) if version.isdigit() else 0,
        )

    async def _exchange(self, request: _Request) -> RawAnswer:
        """Send a request through one node.

        Raises:
            TrefoilpickError: The connection broke, or the node answered with an error.
        """
        now = await curio.clock()
        node = self._choose_node(now)
        remaining_s = request.deadline_at - now
        if remaining_s <= 0:
            raise TrefoilpickError(
                ErrorKind.DEADLINE_BEFORE_RUN, "the deadline passed before an attempt"
            )
        try:
            connection = await node.acquire(timeout_s=min(CONNECT_TIMEOUT_S, remaining_s))
        except TrefoilpickError:
            node.avoid(await curio.clock())
            raise
        answer = await self._exchange_on(connection, node, request)
        error = _read_error(answer)
        if error is None:
            return answer
        if error.kind in NODE_ERRORS:
            node.avoid(await curio.clock())
        raise error

    async def _exchange_on(
        self, connection: ClientConnection, node: ClientNode, request: _Request
    ) -> RawAnswer:
        is_complete = False
        try:
            remaining_s = request.deadline_at - await curio.clock()
            async with curio.timeout_after(max(remaining_s, 0.0)):
                answer = await connection.exchange(
                    request.method, request.path, _build_headers(request, remaining_s), request.body
                )
            is_complete = True
        except curio.TaskTimeout as error:
            text = f'no answer from "{node.address}" within the deadline'
            kind = ErrorKind.DEADLINE_AFTER_SEND
            outcome = Outcome.UNKNOWN if connection.was_sent else Outcome.NOT_RUN
            raise TrefoilpickError(kind, text, outcome=outcome) from error
        except TrefoilpickError:
            node.avoid(await curio.clock())
            raise
        finally:
            if is_complete:
                await node.release(connection)
            else:
                await connection.close()
        return answer

    def _choose_node(self, now: float) -> ClientNode:
        for node in self._nodes:
            if node.avoided_until <= now:
                return node
        return min(self._nodes, key=lambda node: node.avoided_until)

    def _plan_backoff(
        self,
        error: TrefoilpickError,
        attempts_made: int,
        outcome: Outcome,
        request: _Request,
        now: float,
    ) -> float | None:
        """Return the backoff before another attempt, in seconds; None if none is made."""
        # With the token, a retry returns the answer of an earlier attempt if that one ran.
        can_resolve_outcome = outcome is not Outcome.NOT_RUN and request.token is not None
        if attempts_made >= self._attempts or error.kind not in RETRIABLE_BY_CALLER:
            return None
        if getattr(error, "is_exhausted", False) and not can_resolve_outcome:
            return None
        ceiling_s = min(INITIAL_BACKOFF_S * 2 ** (attempts_made - 1), MAX_BACKOFF_S)
        backoff_s = self._random.uniform(0.0, ceiling_s)
        if error.kind not in NODE_ERRORS or len(self._nodes) == 1:
            backoff_s += error.retry_after_s or 0.0
        return backoff_s if now + backoff_s < request.deadline_at else None


class _ReportedError(TrefoilpickError):
    """An error that a node reported in an answer.

    Attributes:
        is_exhausted: Whether the node advised against a retry.
    """

    is_exhausted = False


def _build_headers(request: _Request, remaining_s: float) -> list[tuple[str, str]]:
    headers = [("host", request.host), *request.headers]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append(("content-length", str(len(request.body))))
    headers.append((DEADLINE_HEADER.decode(), str(max(int(remaining_s * MS_PER_S), 1))))
    if request.token is not None:
        headers.append((TOKEN_HEADER.decode(), request.token))
    if request.is_retry:
        headers.append((RETRY_HEADER.decode(), RETRY_MARK.decode()))
    return headers


def _read_error(answer: RawAnswer) -> TrefoilpickError | None:
    name = answer.get_header((OWN_PREFIX + b"error").decode())
    if name is None:
        return None
    try:
        kind = ErrorKind(name)
    except ValueError:
        kind = ErrorKind.INTERNAL
    retry_after = answer.get_header("retry-after") or ""
    error = _ReportedError(
        kind,
        _decode_error_text(answer.body),
        outcome=read_outcome(answer.headers),
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )
    error.is_exhausted = answer.get_header(RETRY_HEADER.decode()) == EXHAUSTED_MARK.decode()
    return error


def _decode_error_text(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=dict[str, str]).get("text", "")
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ""


def _combine_outcomes(outcome: Outcome, latest: Outcome) -> Outcome:
    """Combine the outcomes of attempts: run takes precedence over unknown, unknown over not run."""
    order = (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RUN)
    return max(outcome, latest, key=order.index)


def _apply_outcome(error: TrefoilpickError, outcome: Outcome) -> TrefoilpickError:
    """Return an error with the given outcome; a copy unless it already has that outcome."""
    return error if find_answer(error).outcome is outcome else _copy_with_outcome(error, outcome)


def _copy_with_outcome(error: TrefoilpickError, outcome: Outcome) -> TrefoilpickError:
    copy = _ReportedError(
        error.kind, error.text, outcome=outcome, retry_after_s=error.retry_after_s
    )
    copy.is_exhausted = getattr(error, "is_exhausted", False)
    return copy
