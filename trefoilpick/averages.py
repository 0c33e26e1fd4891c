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


def update_average(average: float | None, newest: float) -> float:
    """Return an average updated with the newest value; `average` is None before the first value."""
    return newest if average is None else average + SMOOTHING_FACTOR * (newest - average)
