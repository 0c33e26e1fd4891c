"""Counters, gauges and histograms of one node, kept in memory only."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_MICROSECONDS = 3_600_000_000
"""Largest value of a histogram: one hour, in microseconds."""

SIGNIFICANT_FIGURES = 2
"""Precision of a histogram, in decimal digits."""

QUANTILES = (50.0, 90.0, 99.0, 99.9)
"""Quantiles in the text format, in percent."""


@dataclass(frozen=True)
class Series:
    """Name and labels of one counter, gauge or histogram."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()


class Metrics:
    """All counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self.counters: dict[Series, int] = {}
        self.gauges: dict[Series, float] = {}
        self.histograms: dict[Series, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter.

        Args:
            name: Name of the counter, ending in "_total".
            amount: What to add.
            labels: Labels of the series.
        """
        series = Series(name, tuple(labels.items()))
        self.counters[series] = self.counters.get(series, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to a value."""
        self.gauges[Series(name, tuple(labels.items()))] = value

    def observe(self, name: str, microseconds: float, **labels: str) -> None:
        """Record a duration in a histogram.

        Args:
            name: Name of the histogram, ending in "_microseconds".
            microseconds: The duration, in microseconds.
            labels: Labels of the series.
        """
        series = Series(name, tuple(labels.items()))
        histogram = self.histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_FIGURES)
            self.histograms[series] = histogram
        histogram.record_value(max(1, min(int(microseconds), MAX_MICROSECONDS)))

    def get_count(self, name: str, **labels: str) -> int:
        """Return the sum of a counter's series that carry all the given labels."""
        wanted = set(labels.items())
        return sum(
            value
            for series, value in self.counters.items()
            if series.name == name and wanted <= set(series.labels)
        )

    def render(self) -> Iterator[str]:
        """Yield the lines of the text format that scrapers read."""
        for series, count in sorted(self.counters.items(), key=_sort_key):
            yield f"{_render_series(series)} {count}"
        for series, value in sorted(self.gauges.items(), key=_sort_key):
            yield f"{_render_series(series)} {value:g}"
        for series, histogram in sorted(self.histograms.items(), key=_sort_key):
            yield from _render_histogram(series, histogram)


def _sort_key(item: tuple[Series, object]) -> tuple[str, tuple[tuple[str, str], ...]]:
    return item[0].name, item[0].labels


def _render_series(series: Series, suffix: str = "", *more: tuple[str, str]) -> str:
    labels = ",".join(f'{name}="{value}"' for name, value in (*series.labels, *more))
    return f"{series.name}{suffix}{{{labels}}}" if labels else f"{series.name}{suffix}"


def _render_histogram(series: Series, histogram: HdrHistogram) -> Iterator[str]:
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile)
        yield f"{_render_series(series, '', ('quantile', f'{quantile / 100:g}'))} {value}"
    yield f"{_render_series(series, '_count')} {histogram.get_total_count()}"
