"""Exponentially weighted moving averages by name, for a bounded number of names."""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_NAMES = 4_096
"""Largest number of names: more than a document of the target size has routes."""

SMOOTHING_FACTOR = 0.1
"""Weight of the newest value in an average."""

NameT = TypeVar("NameT")


class MovingAverages(Generic[NameT]):
    """Moving averages by name; at `MAX_NAMES`, a new name evicts the oldest one."""

    def __init__(self) -> None:
        self._averages: dict[NameT, float] = {}

    def add(self, name: NameT, value: float) -> None:
        """Add a value to the average of a name; the first value becomes the average."""
        average = self._averages.get(name)
        if average is None and len(self._averages) >= MAX_NAMES:
            self._averages.pop(next(iter(self._averages)))
        self._averages[name] = update_average(average, value)

    def get(self, name: NameT, default: float) -> float:
        """Return the average of a name, or the default for an unknown name."""
        return self._averages.get(name, default)


class ServiceTimes:
    """Mean service times of requests, by route.

    Attributes:
        mean_s: Mean over all requests, in seconds; None before the first.
    """

    def __init__(self) -> None:
        self.mean_s: float | None = None
        self._route_means: MovingAverages[str] = MovingAverages()

    def record(self, route: str, served_s: float) -> None:
        """Record the service time of a request, in seconds."""
        self.mean_s = update_average(self.mean_s, served_s)
        self._route_means.add(route, served_s)

    def estimate(self, route: str) -> float:
        """Return the expected service time of a request of a route, in seconds."""
        return self._route_means.get(route, self.mean_s or 0.0)


def update_average(
    average: float | None, newest: float, *, weight: float = SMOOTHING_FACTOR
) -> float:
    """Return an average updated with the newest value; `average` is None before the first value."""
    return newest if average is None else average + weight * (newest - average)
