"""Periods and timelines of a report, limited to the available history."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick._facts import Span

PERIODS_S = (300.0, 3_600.0, 21_600.0)
"""Periods of the burn rates, in seconds: five minutes, one hour and six hours."""

BINS_S = ((900.0, 30.0), (3_600.0, 120.0), (math.inf, 600.0))
"""Pairs of maximum history and bin width of its timeline, in seconds."""


class Dated(Protocol):
    """Object with the time span in which it was recorded."""

    @property
    def span(self) -> Span:
        """Time span of the recording."""


DatedT = TypeVar("DatedT", bound=Dated)


@dataclass(frozen=True)
class Point:
    """A point of a timeline.

    Attributes:
        age_s: Age of the middle of the bin, in seconds before the report.
        value: Value of the bin.
    """

    age_s: float
    value: float


def choose_periods(since_s: float) -> Iterator[float]:
    """Yield the periods up to the first one that covers the whole history.

    Args:
        since_s: Age of the oldest figure, in seconds.
    """
    for period_s in PERIODS_S:
        yield period_s
        if since_s <= period_s:
            return


def draw_timeline(facts: Iterable[DatedT], since_s: float) -> Iterator[tuple[float, list[DatedT]]]:
    """Yield the middle age and the samples of each non-empty bin, the oldest first.

    Args:
        facts: Samples to distribute over the bins.
        since_s: Age of the oldest figure, in seconds.
    """
    width_s = next(width_s for longest_s, width_s in BINS_S if since_s <= longest_s)
    bins: dict[int, list[DatedT]] = {}
    for fact in facts:
        bins.setdefault(int(fact.span.middle_s // width_s), []).append(fact)
    for index in sorted(bins, reverse=True):
        yield (index + 0.5) * width_s, bins[index]
