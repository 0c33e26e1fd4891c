"""Tokens by which a request runs at most once, and the book that honours them.

A token names the process that issued it. Only that process runs a request under the token, and
only while the token's entry is in its book; an entry that left the book never returns.
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

from trefoilpick._tokenseals import TokenClaims, TokenSeal, read_claims
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.hops import Headers, HopRequest

__all__ = [
    "KeptAnswer",
    "TokenBook",
    "TokenClaims",
    "TokenEntry",
    "TokenState",
    "open_book",
    "read_claims",
]

SUBJECT_BYTES = 8
"""Length of the digest of what a token is for, in bytes."""


class TokenState(Enum):
    """What happened under a token."""

    FREE = "free"
    """Nothing ran, and a request may."""
    RUNNING = "running"
    ENDED = "ended"
    """A request ran, or may have."""


@dataclass(frozen=True)
class KeptAnswer:
    """A whole answer that is kept for further requests under its token.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes

    def count_bytes(self) -> int:
        """Return the memory that it takes, in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(eq=False)
class TokenEntry:
    """What the book knows of one token.

    Attributes:
        serial: Serial of the token.
        subject: Digest of the request that it is for.
        expires_s: End of its lifetime by the clock, in seconds.
        expires_ms: The same by the wall clock, in milliseconds since the Unix epoch.
        state: What happened under it.
        answer: The answer, where one is kept.
        error: How the request ended, where no answer is kept.
        changed: Set when a running request ended.
    """

    serial: int
    subject: bytes
    expires_s: float
    expires_ms: int
    state: TokenState = TokenState.FREE
    answer: KeptAnswer | None = None
    error: TrefoilpickError | None = None
    changed: curio.Event = field(default_factory=curio.Event)

    def get_answer(self) -> KeptAnswer:
        """Return the kept answer.

        Raises:
            TrefoilpickError: How the request ended, where no answer is kept.
        """
        if self.answer is not None:
            return self.answer
        assert self.error is not None
        raise _copy_error(self.error)


class TokenBook:
    """All tokens of one process that may still be redeemed.

    Args:
        vm: Name of the VM.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        lifetime_s: Time in which a token is honoured, in seconds.
        max_tokens: Tokens that are honoured at a time.
        max_answer_bytes: Largest answer that is kept, in bytes.
        max_answers_bytes: All answers that are kept, in bytes.
        read_wall_clock: Returns the seconds since the Unix epoch.
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
        self.answers_bytes = 0
        self._lifetime_s = lifetime_s
        self._max_tokens = max_tokens
        self._max_answers_bytes = max_answers_bytes
        self._read_wall_clock = read_wall_clock
        self._seal = TokenSeal(vm, incarnation)
        self._last_serial = 0
        self._entries: OrderedDict[int, TokenEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def issue(self, request: HopRequest, now_s: float) -> str:
        """Return a new token for a request.

        Args:
            request: The request that it is for.
            now_s: Reading of the clock, in seconds.

        Raises:
            TrefoilpickError: `QUEUE_FULL`, where the book is full.
        """
        wall_ms = self._read_wall_ms()
        self._forget_expired(now_s, wall_ms)
        if len(self._entries) >= self._max_tokens:
            text = f"{len(self._entries)} tokens are honoured already"
            raise TrefoilpickError(ErrorKind.QUEUE_FULL, text)
        self._last_serial += 1
        entry = TokenEntry(
            serial=self._last_serial,
            subject=_digest_subject(request),
            expires_s=now_s + self._lifetime_s,
            expires_ms=wall_ms + round(self._lifetime_s * 1000),
        )
        self._entries[entry.serial] = entry
        return self._seal.seal(entry.serial, entry.subject, entry.expires_ms)

    def find(self, token: str, request: HopRequest, now_s: float) -> TokenEntry:
        """Return the entry of a token.

        Args:
            token: The token as the caller sent it.
            request: The request that came with it.
            now_s: Reading of the clock, in seconds.

        Raises:
            TrefoilpickError: `TOKEN_MALFORMED`, `TOKEN_FOREIGN` or `TOKEN_EXPIRED`.
        """
        claims = self._seal.open(token)
        if claims.subject != _digest_subject(request):
            text = f'token was issued for another request than "{request.method} {request.target}"'
            raise TrefoilpickError(ErrorKind.TOKEN_MALFORMED, text)
        entry = self._entries.get(claims.serial)
        if entry is None:
            raise _expire()
        if not self._is_expired(entry, now_s, self._read_wall_ms()):
            return entry
        if entry.state is TokenState.FREE:
            # Out of the book it will never run, so this is known to be so.
            self._forget(entry)
            raise _expire(Outcome.NOT_RUN)
        raise _expire()

    async def end(
        self,
        entry: TokenEntry,
        *,
        answer: KeptAnswer | None = None,
        error: TrefoilpickError | None = None,
    ) -> None:
        """Record how the request under a token ended, and tell those who wait for it.

        Args:
            entry: The token's entry.
            answer: The answer, where it may be kept.
            error: How the request ended, where it has no whole answer.
        """
        if answer is not None and self._has_memory_for(entry, answer):
            entry.answer = answer
            self.answers_bytes += answer.count_bytes()
        elif error is None or error.kind is ErrorKind.ANSWER_CUT:
            text = "request ran, and its answer is not kept"
            error = TrefoilpickError(ErrorKind.ANSWER_NOT_KEPT, text)
        # A raised error holds its traceback, and with that the request's memory.
        entry.error = None if error is None else _copy_error(error)
        entry.state = TokenState.ENDED
        await self._tell(entry)

    async def free(self, entry: TokenEntry) -> None:
        """Record that the request under a token did not run, so that another may."""
        entry.state = TokenState.FREE
        await self._tell(entry)

    async def _tell(self, entry: TokenEntry) -> None:
        changed, entry.changed = entry.changed, curio.Event()
        await changed.set()

    def _has_memory_for(self, entry: TokenEntry, answer: KeptAnswer) -> bool:
        size = answer.count_bytes()
        return (
            entry.serial in self._entries
            and size <= self.max_answer_bytes
            and self.answers_bytes + size <= self._max_answers_bytes
        )

    def _forget_expired(self, now_s: float, wall_ms: int) -> None:
        # All tokens live equally long, so the oldest expires first.
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if not self._is_expired(oldest, now_s, wall_ms):
                return
            self._forget(oldest)

    def _forget(self, entry: TokenEntry) -> None:
        del self._entries[entry.serial]
        if entry.answer is not None:
            self.answers_bytes -= entry.answer.count_bytes()

    def _is_expired(self, entry: TokenEntry, now_s: float, wall_ms: int) -> bool:
        return now_s >= entry.expires_s or wall_ms >= entry.expires_ms

    def _read_wall_ms(self) -> int:
        return int(self._read_wall_clock() * 1000)


def open_book(
    vm: str,
    incarnation: int,
    *,
    lifetime_s: float,
    max_tokens: int,
    max_answer_bytes: int,
    max_answers_bytes: int,
) -> TokenBook:
    """Open the empty book of a new process.

    Args:
        vm: Name of the VM.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        lifetime_s: Time in which a token is honoured, in seconds.
        max_tokens: Tokens that are honoured at a time.
        max_answer_bytes: Largest answer that is kept, in bytes.
        max_answers_bytes: All answers that are kept, in bytes.
    """
    return TokenBook(
        vm,
        incarnation,
        lifetime_s=lifetime_s,
        max_tokens=max_tokens,
        max_answer_bytes=max_answer_bytes,
        max_answers_bytes=max_answers_bytes,
    )


def _digest_subject(request: HopRequest) -> bytes:
    # Neither route nor team: a new version may rename them between two requests of one token.
    host = next((value for name, value in request.headers if name == b"host"), b"")
    subject = (request.method, host.lower(), request.target)
    return hashlib.blake2b(msgspec.msgpack.encode(subject), digest_size=SUBJECT_BYTES).digest()


def _copy_error(error: TrefoilpickError) -> TrefoilpickError:
    return TrefoilpickError(
        error.kind, error.text, outcome=error.outcome, retry_after_s=error.retry_after_s
    )


def _expire(outcome: Outcome | None = None) -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.TOKEN_EXPIRED, "token is expired", outcome=outcome)
