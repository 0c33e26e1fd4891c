"""Periods and timelines of a report, limited to the available history."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick._samples import Span

PERIODS_S = (300.0, 3_600.0, 21_600.0)
"""Periods of the burn rates, in seconds: five minutes, one hour and six hours."""

TIMELINE_BINS_S = ((900.0, 30.0), (3_600.0, 120.0), (math.inf, 600.0))
"""Bin widths of timelines: pairs of the longest history and the width used for it, in seconds."""


class Sample(Protocol):
    """Object with the time span in which it was recorded."""

    @property
    def span(self) -> Span:
        """Time span of the recording."""


SampleT = TypeVar("SampleT", bound=Sample)


@dataclass(frozen=True)
class TimelinePoint:
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
        since_s: Age of the oldest sample, in seconds.
    """
    for period_s in PERIODS_S:
        yield period_s
        if since_s <= period_s:
            return


def bin_by_age(samples: Iterable[SampleT], since_s: float) -> Iterator[tuple[float, list[SampleT]]]:
    """Yield the middle age and the samples of each non-empty bin, the oldest first.

    Args:
        samples: Samples to distribute over the bins.
        since_s: Age of the oldest sample, in seconds.
    """
    width_s = next(width_s for longest_s, width_s in TIMELINE_BINS_S if since_s <= longest_s)
    bins: dict[int, list[SampleT]] = {}
    for sample in samples:
        bins.setdefault(int(sample.span.middle_s // width_s), []).append(sample)
    for index in sorted(bins, reverse=True):
        yield (index + 0.5) * width_s, bins[index]
