"""Counters, gauges and histograms of one node, kept in memory only."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING, TypeVar

from hdrh.histogram import HdrHistogram

from trefoilpick._metric_table import METRICS, MetricInfo, MetricKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["METRICS", "MetricInfo", "MetricKind", "Metrics", "Series", "open_histogram"]

MAX_MICROSECONDS = 3_600_000_000
"""Largest value that a histogram records, in microseconds: one hour."""

SIGNIFICANT_FIGURES = 2
"""Precision of a histogram, in decimal digits."""

COUNTER_BYTES = 4
"""Size of the counter of each histogram bucket, in bytes."""

QUANTILES = [50.0, 90.0, 99.0, 99.9]
"""Quantiles of histograms in the text format, in percent."""

MAX_SERIES = 10_000
"""Largest number of series of a node; records of any further series are dropped and counted."""

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

ValueT = TypeVar("ValueT")

_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n", '"': r"\""})


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
        self._open: dict[Series, HdrHistogram] = {}
        self._closed: dict[Series, HdrHistogram] = {}
        self._sums: dict[Series, int] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter.

        Args:
            name: Name of the counter, ending in "_total".
            amount: Amount to add.
            labels: Labels of the series.
        """
        series = Series(name, tuple(labels.items()))
        value = self.counters.get(series)
        if value is None:
            if self._is_full():
                return
            value = 0
        self.counters[series] = value + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to a value."""
        series = Series(name, tuple(labels.items()))
        if series in self.gauges or not self._is_full():
            self.gauges[series] = value

    def observe(self, name: str, microseconds: float, **labels: str) -> None:
        """Record a duration in a histogram.

        Args:
            name: Name of the histogram, ending in "_microseconds".
            microseconds: The duration, in microseconds.
            labels: Labels of the series.
        """
        series = Series(name, tuple(labels.items()))
        histogram = self._open.get(series)
        if histogram is None:
            if series not in self._closed and self._is_full():
                return
            histogram = open_histogram()
            self._open[series] = histogram
        value = max(1, min(int(microseconds), MAX_MICROSECONDS))
        histogram.record_value(value)
        self._sums[series] = self._sums.get(series, 0) + value

    def get_count(self, name: str, **labels: str) -> int:
        """Return the sum of a counter's series that carry all the given labels."""
        wanted = set(labels.items())
        return sum(
            value
            for series, value in self.counters.items()
            if series.name == name and wanted <= set(series.labels)
        )

    def get_histogram(self, name: str, **labels: str) -> HdrHistogram:
        """Return the merged histogram of all series that carry all the given labels."""
        wanted = set(labels.items())
        merged = open_histogram()
        for part in (self._closed, self._open):
            for series, histogram in part.items():
                if series.name == name and wanted <= set(series.labels):
                    merged.add(histogram)
        return merged

    def list_histograms(self, name: str) -> Iterator[tuple[Series, HdrHistogram]]:
        """Yield the histograms of one name, with all values since the start of the node."""
        for series in tuple(self._sums):
            if series.name == name:
                yield series, self._sum_histogram(series)

    def list_open_histograms(self) -> Iterator[tuple[Series, HdrHistogram]]:
        """Yield the histograms of the values recorded since the last `close_histograms`."""
        yield from self._open.items()

    def close_histograms(self) -> None:
        """Merge the open histograms into the totals and start new ones."""
        for series, histogram in self._open.items():
            total = self._closed.get(series)
            if total is None:
                self._closed[series] = histogram
            else:
                total.add(histogram)
        self._open = {}

    def render(self) -> Iterator[str]:
        """Yield the lines of the Prometheus text format.

        The node may record further values between two lines.
        """
        for name, counters in _group_by_name(self.counters.items()):
            yield from _render_header(name, "counter")
            for series, count in counters:
                yield f"{_render_series(series)} {count}"
        for name, gauges in _group_by_name(self.gauges.items()):
            yield from _render_header(name, "gauge")
            for series, value in gauges:
                yield f"{_render_series(series)} {value:.10g}"
        for name, sums in _group_by_name(self._sums.items()):
            yield from _render_header(name, "summary")
            for series, total in sums:
                yield from _render_histogram(series, self._sum_histogram(series), total)

    def _sum_histogram(self, series: Series) -> HdrHistogram:
        closed, current = self._closed.get(series), self._open.get(series)
        if closed is None or current is None:
            return closed or current
        merged = open_histogram()
        merged.add(closed)
        merged.add(current)
        return merged

    def _is_full(self) -> bool:
        """Return whether no series can be added; if so, count the dropped record."""
        if len(self.counters) + len(self.gauges) + len(self._sums) < MAX_SERIES:
            return False
        series = Series("trefoilpick_series_dropped_total")
        self.counters[series] = self.counters.get(series, 0) + 1
        return True


def open_histogram() -> HdrHistogram:
    """Return an empty histogram; all share one range and precision, so merges are exact."""
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES)


def _group_by_name(
    items: Iterable[tuple[Series, ValueT]],
) -> Iterator[tuple[str, Iterator[tuple[Series, ValueT]]]]:
    ordered = sorted(items, key=lambda item: (item[0].name, item[0].labels))
    yield from groupby(ordered, key=lambda item: item[0].name)


def _render_header(name: str, kind: str) -> Iterator[str]:
    info = METRICS.get(name)
    if info is not None:
        text = info.help.replace("\\", r"\\").replace("\n", r"\n")
        yield f"# HELP {name} {text}"
    yield f"# TYPE {name} {kind}"


def _render_series(series: Series, suffix: str = "", *extra_labels: tuple[str, str]) -> str:
    labels = ",".join(
        f'{name}="{value.translate(_ESCAPES)}"' for name, value in (*series.labels, *extra_labels)
    )
    return f"{series.name}{suffix}{{{labels}}}" if labels else f"{series.name}{suffix}"


def _render_histogram(series: Series, histogram: HdrHistogram, total: int) -> Iterator[str]:
    values = histogram.get_percentile_to_value_dict(QUANTILES)
    for quantile, value in values.items():
        yield f"{_render_series(series, '', ('quantile', f'{quantile / 100:g}'))} {value}"
    yield f"{_render_series(series, '_sum')} {total}"
    yield f"{_render_series(series, '_count')} {histogram.get_total_count()}"
