"""Tokens that limit a request to one run, and the store of their states.

A token names the process that issued it. Only that process runs a request under the token, and
only while it stores an entry for the token; a removed entry is never added again.
"""

from __future__ import annotations

import hashlib
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick._token_signing import TokenClaims, TokenSigner, read_claims
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.hops import Headers, HopRequest

__all__ = [
    "StoredAnswer",
    "TokenStore",
    "TokenClaims",
    "TokenEntry",
    "TokenState",
    "create_token_store",
    "read_claims",
]

SUBJECT_BYTES = 8
"""Length of the digest of a token's request, in bytes."""


class TokenState(Enum):
    """Execution state of the request under a token."""

    FREE = "free"
    """No request has run under the token yet."""
    RUNNING = "running"
    ENDED = "ended"
    """A request has run, or may have."""


@dataclass(frozen=True)
class StoredAnswer:
    """A complete answer that is stored for repeated requests under its token.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes

    def count_bytes(self) -> int:
        """Return the size of the body and headers, in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(eq=False)
class TokenEntry:
    """State of one token.

    Attributes:
        serial: Serial number of the token.
        subject: Digest of the request for which it was issued.
        expires_s: Expiry by the monotonic clock, in seconds.
        expires_ms: Expiry by the wall clock, in milliseconds since the Unix epoch.
        state: Execution state of its request.
        answer: The answer, if it is stored.
        error: How the request ended, if no answer is stored.
        changed: Set when a running request ends.
    """

    serial: int
    subject: bytes
    expires_s: float
    expires_ms: int
    state: TokenState = TokenState.FREE
    answer: StoredAnswer | None = None
    error: TrefoilpickError | None = None
    changed: curio.Event = field(default_factory=curio.Event)

    def get_answer(self) -> StoredAnswer:
        """Return the stored answer.

        Raises:
            TrefoilpickError: How the request ended, if no answer is stored.
        """
        if self.answer is not None:
            return self.answer
        assert self.error is not None
        raise _copy_error(self.error)


class TokenStore:
    """All valid tokens of one process.

    Args:
        vm: Name of the VM.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        lifetime_s: Lifetime of a token, in seconds.
        max_tokens: Largest number of valid tokens.
        max_answer_bytes: Largest answer that is stored, in bytes.
        max_answers_bytes: Largest total size of stored answers, in bytes.
        read_wall_clock: Returns the seconds since the Unix epoch.

    Attributes:
        stored_bytes: Total size of the stored answers, in bytes.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        *,
        lifetime_s: float,
        max_tokens: int,
        max_answer_bytes: int,
        max_answers_bytes: int,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.stored_bytes = 0
        self._lifetime_s = lifetime_s
        self._max_tokens = max_tokens
        self._max_answers_bytes = max_answers_bytes
        self._read_wall_clock = read_wall_clock
        self._signer = TokenSigner(vm, incarnation)
        self._last_serial = 0
        self._entries: OrderedDict[int, TokenEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def issue(self, request: HopRequest, now_s: float) -> str:
        """Return a new token for a request.

        Args:
            request: The request that may run under it.
            now_s: Current reading of the monotonic clock, in seconds.

        Raises:
            TrefoilpickError: `QUEUE_FULL`, if there are too many valid tokens.
        """
        wall_ms = self._read_wall_ms()
        self._remove_expired(now_s, wall_ms)
        if len(self._entries) >= self._max_tokens:
            text = f"limit of {len(self._entries)} valid tokens is reached"
            raise TrefoilpickError(ErrorKind.QUEUE_FULL, text)
        self._last_serial += 1
        entry = TokenEntry(
            serial=self._last_serial,
            subject=_digest_subject(request),
            expires_s=now_s + self._lifetime_s,
            expires_ms=wall_ms + round(self._lifetime_s * 1000),
        )
        self._entries[entry.serial] = entry
        return self._signer.sign(entry.serial, entry.subject, entry.expires_ms)

    def find(self, token: str, request: HopRequest, now_s: float) -> TokenEntry:
        """Return the entry of a token.

        Args:
            token: The token as the caller sent it.
            request: The request that came with it.
            now_s: Current reading of the monotonic clock, in seconds.

        Raises:
            TrefoilpickError: `TOKEN_MALFORMED`, `TOKEN_FOREIGN` or `TOKEN_EXPIRED`.
        """
        claims = self._signer.verify(token)
        if claims.subject != _digest_subject(request):
            text = f'token was not issued for request "{request.method} {request.target}"'
            raise TrefoilpickError(ErrorKind.TOKEN_MALFORMED, text)
        entry = self._entries.get(claims.serial)
        if entry is None:
            raise _build_expired_error()
        if not self._is_expired(entry, now_s, self._read_wall_ms()):
            return entry
        if entry.state is TokenState.FREE:
            # Without an entry no request will ever run under it, so `NOT_RUN` is certain.
            self._remove(entry)
            raise _build_expired_error(Outcome.NOT_RUN)
        raise _build_expired_error()

    async def record_end(
        self,
        entry: TokenEntry,
        *,
        answer: StoredAnswer | None = None,
        error: TrefoilpickError | None = None,
    ) -> None:
        """Record how the request under a token ended, and wake the requests that wait for it.

        Args:
            entry: The token's entry.
            answer: The answer, if it may be stored.
            error: How the request ended, if there is no complete answer.
        """
        if answer is not None and self._has_memory_for(entry, answer):
            entry.answer = answer
            self.stored_bytes += answer.count_bytes()
        elif error is None or error.kind is ErrorKind.ANSWER_CUT:
            text = "request ran, but its answer is not stored"
            error = TrefoilpickError(ErrorKind.ANSWER_NOT_KEPT, text)
        # A raised error references its traceback, which would keep the request in memory.
        entry.error = None if error is None else _copy_error(error)
        entry.state = TokenState.ENDED
        await self._notify_waiters(entry)

    async def record_not_run(self, entry: TokenEntry) -> None:
        """Record that the request under a token did not run; another one may run under it."""
        entry.state = TokenState.FREE
        await self._notify_waiters(entry)

    async def _notify_waiters(self, entry: TokenEntry) -> None:
        changed, entry.changed = entry.changed, curio.Event()
        await changed.set()

    def _has_memory_for(self, entry: TokenEntry, answer: StoredAnswer) -> bool:
        size = answer.count_bytes()
        return (
            entry.serial in self._entries
            and size <= self.max_answer_bytes
            and self.stored_bytes + size <= self._max_answers_bytes
        )

    def _remove_expired(self, now_s: float, wall_ms: int) -> None:
        # All tokens have the same lifetime, so the oldest expires first.
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if not self._is_expired(oldest, now_s, wall_ms):
                return
            self._remove(oldest)

    def _remove(self, entry: TokenEntry) -> None:
        del self._entries[entry.serial]
        if entry.answer is not None:
            self.stored_bytes -= entry.answer.count_bytes()

    def _is_expired(self, entry: TokenEntry, now_s: float, wall_ms: int) -> bool:
        return now_s >= entry.expires_s or wall_ms >= entry.expires_ms

    def _read_wall_ms(self) -> int:
        return int(self._read_wall_clock() * 1000)


def create_token_store(
    vm: str,
    incarnation: int,
    *,
    lifetime_s: float,
    max_tokens: int,
    max_answer_bytes: int,
    max_answers_bytes: int,
) -> TokenStore:
    """Create an empty token store for a new process.

    Args:
        vm: Name of the VM.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        lifetime_s: Lifetime of a token, in seconds.
        max_tokens: Largest number of valid tokens.
        max_answer_bytes: Largest answer that is stored, in bytes.
        max_answers_bytes: Largest total size of stored answers, in bytes.
    """
    return TokenStore(
        vm,
        incarnation,
        lifetime_s=lifetime_s,
        max_tokens=max_tokens,
        max_answer_bytes=max_answer_bytes,
        max_answers_bytes=max_answers_bytes,
    )


def _digest_subject(request: HopRequest) -> bytes:
    # Excludes route and team: a new version may rename them between two requests under a token.
    host = next((value for name, value in request.headers if name == b"host"), b"")
    subject = (request.method, host.lower(), request.target)
    return hashlib.blake2b(msgspec.msgpack.encode(subject), digest_size=SUBJECT_BYTES).digest()


def _copy_error(error: TrefoilpickError) -> TrefoilpickError:
    return TrefoilpickError(
        error.kind, error.text, outcome=error.outcome, retry_after_s=error.retry_after_s
    )


def _build_expired_error(outcome: Outcome | None = None) -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.TOKEN_EXPIRED, "token has expired", outcome=outcome)
