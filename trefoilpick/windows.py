"""History of the windowed metrics: a bounded ring of time windows, kept in memory only.

Windows are disjoint, so sums over several windows are exact. Older windows are wider: narrow
windows are merged into wider ones without loss. Times are ages relative to the report, so that
windows of nodes with different clocks can be merged.
"""

from __future__ import annotations

import binascii
import zlib
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import msgspec
from hdrh.codec import HdrCookieException, HdrHistogramSettingsException, HdrLengthException
from hdrh.histogram import HdrHistogram
from msgspec import Meta

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.metrics import MAX_MICROSECONDS, MAX_SERIES, METRICS, SIGNIFICANT_FIGURES, Series

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.metrics import Metrics

WINDOW_S = 15.0
"""Width of the narrowest window, in seconds."""


@dataclass(frozen=True)
class Tier:
    """Windows of one width.

    Attributes:
        max_windows: Number of windows at which the oldest ones are merged.
        merge_size: Number of oldest windows that are merged into one window of the next tier.
    """

    max_windows: int
    merge_size: int


TIERS = (
    Tier(max_windows=24, merge_size=4),
    Tier(max_windows=20, merge_size=10),
    Tier(max_windows=36, merge_size=1),
)
"""Windows of 15 s, one minute and ten minutes; the last tier drops its oldest windows."""

SeriesIndex = Annotated[int, Meta(ge=0, lt=MAX_SERIES)]
"""Index of a series in a table."""

Amount = Annotated[int, Meta(ge=0)]
"""Increase of a counter."""

_DECODE_ERRORS = (
    TypeError,
    ValueError,
    binascii.Error,
    zlib.error,
    HdrCookieException,
    HdrLengthException,
    HdrHistogramSettingsException,
)


@dataclass(frozen=True)
class SeriesRef:
    """Name and labels of a series, which windows refer to by its index in a table."""

    name: str
    labels: dict[str, str]


class CounterDelta(msgspec.Struct, frozen=True, array_like=True):
    """Increase of one counter within a window.

    Attributes:
        series: Index of its series in the table.
        amount: Increase of the counter.
    """

    series: SeriesIndex
    amount: Amount


class EncodedHistogram(msgspec.Struct, frozen=True, array_like=True):
    """Values that one histogram recorded within a window.

    Attributes:
        series: Index of its series in the table.
        encoded: The histogram in HdrHistogram's V2 encoding, in base64.
    """

    series: SeriesIndex
    encoded: str


@dataclass(frozen=True)
class Window:
    """Metrics recorded within a span of time.

    Attributes:
        begun_s: Age of its start, in seconds before the report.
        ended_s: Age of its end, in seconds before the report.
        counters: Counters that increased.
        histograms: Histograms that recorded values.
    """

    begun_s: float
    ended_s: float
    counters: tuple[CounterDelta, ...]
    histograms: tuple[EncodedHistogram, ...]


@dataclass(frozen=True)
class _RecordedWindow:
    """Window whose times are readings of the monotonic clock, in seconds."""

    begun_s: float
    ended_s: float
    counters: dict[Series, int]
    histograms: dict[Series, str]


class SeriesTable:
    """Assigns indexes to series, in the order of their first use."""

    def __init__(self) -> None:
        self._indexes: dict[Series, int] = {}

    def get_index(self, series: Series) -> int:
        """Return the index of a series; a new series is added at the end."""
        return self._indexes.setdefault(series, len(self._indexes))

    def list_series(self) -> Iterator[SeriesRef]:
        """Yield all series, ordered by index."""
        for series in self._indexes:
            yield SeriesRef(series.name, dict(series.labels))


class WindowHistory:
    """History of one node's windowed metrics.

    Args:
        metrics: Metrics of the node; nothing else may close their histograms.
        now_s: Reading of the monotonic clock, in seconds.
    """

    def __init__(self, metrics: Metrics, *, now_s: float) -> None:
        self._metrics = metrics
        self._begun_s = now_s
        self._last_counters = _copy_counters(metrics)
        self._tiers: tuple[deque[_RecordedWindow], ...] = tuple(deque() for _ in TIERS)

    def advance(self, now_s: float) -> bool:
        """Close the current window if its width has been reached.

        Args:
            now_s: Reading of the monotonic clock, in seconds.

        Returns:
            Whether a window was closed.
        """
        if now_s - self._begun_s < WINDOW_S:
            return False
        self._tiers[0].append(self._read_current(now_s))
        self._metrics.close_histograms()
        self._last_counters = _copy_counters(self._metrics)
        self._begun_s = now_s
        self._merge_full_tiers()
        return True

    def read(self, now_s: float, table: SeriesTable) -> Iterator[Window]:
        """Yield all windows, the oldest first and the open window last.

        Args:
            now_s: Reading of the monotonic clock, in seconds.
            table: Table to which the series of the windows are added.
        """
        closed = [window for tier in reversed(self._tiers) for window in tier]
        for window in (*closed, self._read_current(now_s)):
            yield _build_window(window, now_s, table)

    def _merge_full_tiers(self) -> None:
        wider_tiers = (*self._tiers[1:], None)
        for tier, windows, wider in zip(TIERS, self._tiers, wider_tiers, strict=True):
            if len(windows) < tier.max_windows:
                return
            oldest = [windows.popleft() for _ in range(tier.merge_size)]
            if wider is not None:
                wider.append(_merge_windows(oldest))

    def _read_current(self, now_s: float) -> _RecordedWindow:
        counters = {
            series: value - self._last_counters.get(series, 0)
            for series, value in _copy_counters(self._metrics).items()
            if value > self._last_counters.get(series, 0)
        }
        histograms = {
            series: encode_histogram(histogram)
            for series, histogram in self._metrics.list_open_histograms()
            if _is_windowed(series)
        }
        return _RecordedWindow(self._begun_s, now_s, counters, histograms)


def open_window_history(metrics: Metrics, *, now_s: float) -> WindowHistory:
    """Open an empty history of a node's metrics."""
    return WindowHistory(metrics, now_s=now_s)


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return a histogram in HdrHistogram's V2 encoding, in base64."""
    return histogram.encode().decode("ascii")


def merge_histograms(encoded: Iterable[str]) -> HdrHistogram:
    """Return the exact sum of encoded histograms.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED` if one is not a histogram of this package.
    """
    merged = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_FIGURES)
    for data in encoded:
        try:
            merged.decode_and_add(data)
        except (*_DECODE_ERRORS, IndexError) as error:
            text = f"histogram cannot be decoded: {error or type(error).__name__}"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error
    return merged


def _is_windowed(series: Series) -> bool:
    info = METRICS.get(series.name)
    return info is not None and info.is_windowed


def _copy_counters(metrics: Metrics) -> dict[Series, int]:
    return {series: value for series, value in metrics.counters.items() if _is_windowed(series)}


def _merge_windows(parts: list[_RecordedWindow]) -> _RecordedWindow:
    counters: dict[Series, int] = {}
    encoded: dict[Series, list[str]] = {}
    for part in parts:
        for series, amount in part.counters.items():
            counters[series] = counters.get(series, 0) + amount
        for series, text in part.histograms.items():
            encoded.setdefault(series, []).append(text)
    histograms = {
        series: encode_histogram(merge_histograms(texts)) for series, texts in encoded.items()
    }
    return _RecordedWindow(parts[0].begun_s, parts[-1].ended_s, counters, histograms)


def _build_window(window: _RecordedWindow, now_s: float, table: SeriesTable) -> Window:
    return Window(
        begun_s=max(now_s - window.begun_s, 0.0),
        ended_s=max(now_s - window.ended_s, 0.0),
        counters=tuple(
            CounterDelta(table.get_index(series), amount)
            for series, amount in window.counters.items()
        ),
        histograms=tuple(
            EncodedHistogram(table.get_index(series), text)
            for series, text in window.histograms.items()
        ),
    )
