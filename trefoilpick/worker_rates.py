"""Limits the requests to a worker to the rate that it accepts: a stated one, or one while cold.

The node beside a worker sends all of its requests, so these limits cover those of all nodes.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.ratelimits import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_RATE_PER_S = 0.5
"""Lowest rate at which a worker gets requests, per second: only an answer can show that its limit
has ended."""

BURST_S = 0.1
"""Time whose share of the rate may be sent at once, in seconds; at least one request may."""

COLD_BURST_DIVISOR = 2
"""The burst to a cold worker is its slack divided by this, since requests that were sent apart may
arrive together."""

SEND_WINDOW_S = 1.1
"""Window in which the requests to a cold worker are counted, in seconds: a second, for which the
limit holds, and what the time from sending to arrival may vary by."""


@dataclass(frozen=True)
class ColdLimit:
    """Limit on the requests to a cold worker.

    Attributes:
        rate: Sustained rate, in requests per second.
        slack: Requests that it may get in a second in addition.
    """

    rate: float
    slack: float

    @property
    def burst(self) -> float:
        """Largest number of requests that are sent at once."""
        return max(1.0, self.slack / COLD_BURST_DIVISOR)

    @property
    def max_in_window(self) -> int:
        """Largest number of requests in any window of `SEND_WINDOW_S`."""
        return max(1, math.floor(self.rate + self.slack))


class WorkerRate:
    """The rate of requests that a worker accepts; unlimited until it states one or is cold.

    A request first needs a token of each bucket, and then its turn when it is sent. In between it
    may wait for its body or a connection, and so be sent together with later ones.

    Args:
        clock: Reads the node's clock, in seconds.

    Attributes:
        limit: The stated limit, in requests per second; None if there is none.
    """

    def __init__(self, *, clock: Callable[[], float] = read_clock) -> None:
        self.limit: float | None = None
        self._clock = clock
        self._bucket: TokenBucket | None = None
        self._cold_limit: ColdLimit | None = None
        self._cold_bucket: TokenBucket | None = None
        self._counted_since_s = 0.0
        self._sent_s: deque[float] = deque()

    @property
    def cold_rate(self) -> float | None:
        """Sustained rate while the worker is cold, in requests per second; None while warm."""
        if self._cold_limit is None or self._cold_bucket is None:
            return None
        return self._cold_limit.rate

    @property
    def is_limited(self) -> bool:
        """Whether a request may have to wait for the rate."""
        return self._bucket is not None or self._cold_bucket is not None

    def set_limit(self, limit: float | None) -> None:
        """Apply the limit that the worker states; None ends it.

        A new limit starts without burst, since the worker has requests in flight.
        """
        if limit == self.limit:
            return
        self.limit = limit
        if limit is None:
            self._bucket = None
            return
        rate = max(limit, MIN_RATE_PER_S)
        burst = max(1.0, rate * BURST_S)
        if self._bucket is None:
            self._bucket = TokenBucket(rate, burst, tokens=0.0, clock=self._clock)
        else:
            self._bucket.resize(rate, burst)

    def set_cold_limit(self, limit: ColdLimit | None) -> None:
        """Set the limit that applies while the worker is cold; None if it never is.

        Requests are counted from now on, also while the worker is warm.
        """
        if limit == self._cold_limit:
            return
        if limit is None:
            self._cold_bucket = None
            self._sent_s = deque()
        else:
            if self._cold_limit is None:
                self._counted_since_s = self._clock()
            self._sent_s = deque(self._sent_s, maxlen=limit.max_in_window)
            if self._cold_bucket is not None:
                self._cold_bucket.resize(limit.rate, limit.burst)
        self._cold_limit = limit

    def set_cold(self, is_cold: bool) -> None:
        """Apply the cold limit, or end it.

        The burst is what the requests of the last second have left of it. It is 0 if they are
        unknown because the node has just started.
        """
        limit = self._cold_limit
        if limit is None or not is_cold:
            self._cold_bucket = None
        elif self._cold_bucket is None:
            since_s = self._clock() - SEND_WINDOW_S
            recent = sum(sent_s > since_s for sent_s in self._sent_s)
            tokens = max(0.0, limit.burst - recent) if self._counted_since_s <= since_s else 0.0
            self._cold_bucket = TokenBucket(
                limit.rate, limit.burst, tokens=tokens, clock=self._clock
            )

    def try_acquire(self) -> bool:
        """Count one request to the worker; return False if the rate does not allow it now."""
        if self.estimate_wait() > 0:
            return False
        for bucket in (self._bucket, self._cold_bucket):
            if bucket is not None:
                bucket.try_acquire()
        return True

    def try_send(self) -> bool:
        """Count a request that is sent now; return False if it must wait for its turn."""
        if self.estimate_turn() > 0:
            return False
        if self._cold_limit is not None:
            self._sent_s.append(self._clock())
        return True

    def estimate_wait(self, count: int = 1) -> float:
        """Return the time until a number of requests may be sent, in seconds."""
        wait_s = 0.0 if self._bucket is None else self._bucket.estimate_wait(count)
        if self._cold_bucket is None:
            return wait_s
        return max(wait_s, self._cold_bucket.estimate_wait(count), self.estimate_turn(count))

    def estimate_turn(self, count: int = 1) -> float:
        """Return the time until the window has room for a number of requests, in seconds."""
        if self._cold_bucket is None or self._sent_s.maxlen is None:
            return 0.0
        free = self._sent_s.maxlen - len(self._sent_s)
        if count <= free:
            return 0.0
        oldest_s = self._sent_s[min(count - free, len(self._sent_s)) - 1]
        return max(0.0, oldest_s + SEND_WINDOW_S - self._clock())
