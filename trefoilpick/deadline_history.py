"""Estimates how long a caller has been retrying, from the deadline that it sends.

A caller that retries after a refusal has less time left than at its first attempt. Its answer may
miss the latency objective in any case; when not all requests can be served in time, others get
priority.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_ROUTES = 4_096
"""Routes whose longest deadline is kept: more than a document of the target size has."""

FIRST_RETRY_DIVISOR = 4
"""A refused caller should retry early if less time than the latency objective divided by this has
passed since its first attempt."""

RETRY_DELAY_DIVISOR = 3
"""Callers wait for at most their time left divided by this; the platform defines the value."""

DEADLINE_TTL_S = 60.0
"""Time for which the longest deadline of a route is kept, in seconds: several times the longest
deadline that callers send."""


@dataclass(frozen=True)
class LongestDeadline:
    """Longest deadline sent by callers of a route.

    Attributes:
        deadline_ms: The deadline, in milliseconds.
        seen_at: When it was received, in seconds on the node's clock.
    """

    deadline_ms: int
    seen_at: float


def compute_retry_after(
    retry_after_s: float, *, elapsed_ms: int, objective_ms: int, remaining_s: float
) -> float:
    """Return the time after which a refused caller should retry, in seconds.

    A first retry is early, since its answer may still meet the objective. Later retries are spread
    over the time left, so that the last attempt does not meet the same overload.

    Args:
        retry_after_s: Time until capacity is expected, in seconds.
        elapsed_ms: Time since the caller's first attempt, in milliseconds.
        objective_ms: Latency objective of the route, in milliseconds.
        remaining_s: Time left until the caller's deadline, in seconds.
    """
    if elapsed_ms * FIRST_RETRY_DIVISOR < objective_ms:
        return retry_after_s
    return max(retry_after_s, remaining_s / RETRY_DELAY_DIVISOR)


class DeadlineHistory:
    """Longest recent deadline of each route."""

    def __init__(self) -> None:
        self._longest: dict[tuple[str, str], LongestDeadline] = {}

    def estimate_elapsed(self, team: str, route: str, deadline_ms: int | None, now: float) -> int:
        """Return the time since the caller's first attempt, in milliseconds; 0 if unknown.

        Args:
            team: Owner of the route.
            route: Name of the route.
            deadline_ms: Time left until the caller's deadline, in milliseconds; None if not sent.
            now: Time on the node's clock, in seconds.
        """
        if deadline_ms is None:
            return 0
        key = (team, route)
        longest = self._longest.get(key)
        if (
            longest is None
            or deadline_ms >= longest.deadline_ms
            or now - longest.seen_at > DEADLINE_TTL_S
        ):
            if longest is None and len(self._longest) >= MAX_ROUTES:
                self._longest.pop(next(iter(self._longest)))
            self._longest[key] = LongestDeadline(deadline_ms, now)
            return 0
        return longest.deadline_ms - deadline_ms
