"""Moving means by name, for a bounded number of names."""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_NAMES = 4_096
"""Names that are remembered: more routes than a document of the target's size has."""

NEWEST_WEIGHT = 0.1
"""Weight of the newest value in a mean."""

NameT = TypeVar("NameT")


class MovingMeans(Generic[NameT]):
    """Moving means; where there are too many names, the one that was first noted is forgotten."""

    def __init__(self) -> None:
        self._means: dict[NameT, float] = {}

    def note(self, name: NameT, value: float) -> None:
        """Take a value into the mean of a name; the first one is the mean."""
        mean = self._means.get(name)
        if mean is None and len(self._means) >= MAX_NAMES:
            self._means.pop(next(iter(self._means)))
        self._means[name] = blend(mean, value)

    def get(self, name: NameT, default: float) -> float:
        """Return the mean of a name, or a default for an unknown one."""
        return self._means.get(name, default)


def blend(mean: float | None, newest: float) -> float:
    """Return a mean with the newest value in it; None stands for no value before."""
    return newest if mean is None else mean + NEWEST_WEIGHT * (newest - mean)
