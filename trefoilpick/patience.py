"""How long ago a caller first asked, judged by the time that it leaves.

A caller that comes back after a refusal leaves less time than at first. Its answer may be late
already, so that others go before it where not all can be served in time.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_ROUTES = 4_096
"""Routes that are remembered: more than a document of the target's size has."""

FRESH_DIVISOR = 4
"""A caller may still be answered in time after less than its objective divided by this."""

PAUSE_DIVISOR = 3
"""Callers wait for at most the time that they have left divided by this, as the platform says."""

MEMORY_S = 60.0
"""Time for which the longest deadline of a route is remembered, in seconds: several times the
longest one that callers give."""


@dataclass(frozen=True)
class LongestDeadline:
    """The longest deadline that callers of a route gave, in milliseconds, and when it was given."""

    deadline_ms: int
    seen_at: float


def advise_pause(advice_s: float, *, elapsed_ms: int, objective_ms: int, left_s: float) -> float:
    """Return when a refused caller should come back, in seconds.

    At first it comes back soon, since its answer may still be in time. After that it spreads what
    time it has left, so that its last attempt does not meet the same overload.

    Args:
        advice_s: When there may be room, in seconds.
        elapsed_ms: Time since the caller's first attempt, in milliseconds.
        objective_ms: Time in which its answer is in time, in milliseconds.
        left_s: Time that the caller leaves, in seconds.
    """
    if elapsed_ms * FRESH_DIVISOR < objective_ms:
        return advice_s
    return max(advice_s, left_s / PAUSE_DIVISOR)


class PatienceTable:
    """Longest deadlines by route."""

    def __init__(self) -> None:
        self._longest: dict[tuple[str, str], LongestDeadline] = {}

    def measure_elapsed(self, team: str, route: str, deadline_ms: int | None, now: float) -> int:
        """Return the time since the caller's first attempt, in milliseconds: 0 where unknown.

        Args:
            team: Owner of the route.
            route: Name of the route.
            deadline_ms: Time that the caller leaves, in milliseconds; None where it tells none.
            now: Time on the node's clock, in seconds.
        """
        if deadline_ms is None:
            return 0
        key = (team, route)
        longest = self._longest.get(key)
        if (
            longest is None
            or deadline_ms >= longest.deadline_ms
            or now - longest.seen_at > MEMORY_S
        ):
            if longest is None and len(self._longest) >= MAX_ROUTES:
                self._longest.pop(next(iter(self._longest)))
            self._longest[key] = LongestDeadline(deadline_ms, now)
            return 0
        return longest.deadline_ms - deadline_ms
