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
        self._means: dict[NameT, float] = {}

    def add(self, name: NameT, value: float) -> None:
        """Add a value to the average of a name; the first value becomes the average."""
        mean = self._means.get(name)
        if mean is None and len(self._means) >= MAX_NAMES:
            self._means.pop(next(iter(self._means)))
        self._means[name] = update_average(mean, value)

    def get(self, name: NameT, default: float) -> float:
        """Return the average of a name, or the default for an unknown name."""
        return self._means.get(name, default)


def update_average(mean: float | None, newest: float) -> float:
    """Return an average updated with the newest value; `mean` is None before the first value."""
    return newest if mean is None else mean + SMOOTHING_FACTOR * (newest - mean)
