"""Limits on the requests that a node sends: token buckets, and backoff with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

FIRST_BACKOFF_S = 0.2
"""Upper bound of the first pause after a failure, in seconds."""

MAX_BACKOFF_S = 10.0
"""Upper bound of every pause after a failure, in seconds."""

MIN_WAIT_S = 0.001
"""Shortest wait for a token, in seconds."""

MAX_WAIT_S = 1.0
"""Longest wait before a task checks the bucket again, in seconds.

The bucket may be resized while a task waits for a token.
"""


class TokenBucket:
    """A token bucket that limits a rate.

    Args:
        rate: Tokens per second.
        burst: Largest number of tokens that the bucket holds.
        tokens: Number of tokens at the start; by default the bucket is full.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        *,
        tokens: float | None = None,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst if tokens is None else tokens
        self._filled_s = clock()

    def resize(self, rate: float, burst: float) -> None:
        """Change the rate and the burst, and keep the tokens that are left, up to the new burst."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    async def acquire(self) -> None:
        """Wait until a token is available, and consume it."""
        while not self.try_acquire():
            missing = 1.0 - self._tokens
            await curio.sleep(max(MIN_WAIT_S, min(missing / self._rate, MAX_WAIT_S)))

    def try_acquire(self) -> bool:
        """Consume a token without waiting.

        Returns:
            Whether a token was available.
        """
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def estimate_wait(self, count: int = 1) -> float:
        """Return the time until a number of tokens could have been consumed, in seconds."""
        self._refill()
        return max(count - self._tokens, 0.0) / self._rate

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_s) * self._rate)
        self._filled_s = now


class Backoff:
    """Backoff with full jitter: random pauses up to a bound that doubles with each failure.

    Args:
        random: Source of random numbers.
        max_s: Upper bound of every pause, in seconds.
    """

    def __init__(self, random: Random, *, max_s: float = MAX_BACKOFF_S) -> None:
        self._random = random
        self._max_s = max_s
        self._failures = 0

    def reset(self) -> None:
        """Return to the shortest bound after a success."""
        self._failures = 0

    async def wait(self) -> None:
        """Wait after a failure, and raise the bound of the next pause."""
        bound = min(self._max_s, FIRST_BACKOFF_S * 2 ** min(self._failures, 16))
        self._failures += 1
        await curio.sleep(self._random.uniform(0.0, bound))
