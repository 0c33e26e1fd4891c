"""History of the windowed metrics: a bounded ring of time windows, kept in memory only.

Windows are disjoint, so the sum of several is exact. They grow wider with age: narrow ones merge
into wider ones without loss. Times are ages, so that nodes with different clocks merge.
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
        kept: Largest number of windows.
        merged: Oldest windows that become one of the next tier, once there are that many.
    """

    kept: int
    merged: int


TIERS = (Tier(kept=24, merged=4), Tier(kept=20, merged=10), Tier(kept=36, merged=1))
"""Windows of 15 s, of one minute and of ten minutes; the oldest of the last tier are dropped."""

Place = Annotated[int, Meta(ge=0, lt=MAX_SERIES)]
"""Place of a series in a table."""

Amount = Annotated[int, Meta(ge=0)]
"""What a counter grew by."""

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
    """Name and labels of a series, which parts refer to by its place in a table."""

    name: str
    labels: dict[str, str]


class CounterPart(msgspec.Struct, frozen=True, array_like=True):
    """What one counter grew by within a window.

    Attributes:
        series: Place of its series in the table.
        amount: What it grew by.
    """

    series: Place
    amount: Amount


class HistogramPart(msgspec.Struct, frozen=True, array_like=True):
    """What one histogram recorded within a window.

    Attributes:
        series: Place of its series in the table.
        encoded: The histogram in HdrHistogram's V2 encoding, in base64.
    """

    series: Place
    encoded: str


@dataclass(frozen=True)
class Window:
    """What was recorded within a span of time.

    Attributes:
        begun_s: Age of its begin, in seconds before the report.
        ended_s: Age of its end, in seconds before the report.
        counters: Counters that grew.
        histograms: Histograms that recorded something.
    """

    begun_s: float
    ended_s: float
    counters: tuple[CounterPart, ...]
    histograms: tuple[HistogramPart, ...]


@dataclass(frozen=True)
class _Sealed:
    begun_s: float
    ended_s: float
    counters: dict[Series, int]
    histograms: dict[Series, str]


class SeriesTable:
    """Series by place, in the order in which they were first named."""

    def __init__(self) -> None:
        self._places: dict[Series, int] = {}

    def find_place(self, series: Series) -> int:
        """Return the place of a series, a new one where it has none."""
        return self._places.setdefault(series, len(self._places))

    def list_series(self) -> Iterator[SeriesRef]:
        """Yield all series, ordered by place."""
        for series in self._places:
            yield SeriesRef(series.name, dict(series.labels))


class Windows:
    """The history of one node.

    Args:
        metrics: The node's metrics; this history alone closes their histograms.
        now_s: Reading of the monotonic clock, in seconds.
    """

    def __init__(self, metrics: Metrics, *, now_s: float) -> None:
        self._metrics = metrics
        self._begun_s = now_s
        self._counted = _copy_counters(metrics)
        self._tiers: tuple[deque[_Sealed], ...] = tuple(deque() for _ in TIERS)

    def advance(self, now_s: float) -> bool:
        """Close the current window, where it is full.

        Args:
            now_s: Reading of the monotonic clock, in seconds.

        Returns:
            Whether a window was closed.
        """
        if now_s - self._begun_s < WINDOW_S:
            return False
        self._tiers[0].append(self._read_current(now_s))
        self._metrics.close_histograms()
        self._counted = _copy_counters(self._metrics)
        self._begun_s = now_s
        self._merge_full_tiers()
        return True

    def read(self, now_s: float, table: SeriesTable) -> Iterator[Window]:
        """Yield all windows, the oldest first, the last one still open.

        Args:
            now_s: Reading of the monotonic clock, in seconds.
            table: Takes the series that the windows name.
        """
        closed = [sealed for tier in reversed(self._tiers) for sealed in tier]
        for sealed in (*closed, self._read_current(now_s)):
            yield _describe_window(sealed, now_s, table)

    def _merge_full_tiers(self) -> None:
        following = (*self._tiers[1:], None)
        for tier, windows, wider in zip(TIERS, self._tiers, following, strict=True):
            if len(windows) < tier.kept:
                return
            oldest = [windows.popleft() for _ in range(tier.merged)]
            if wider is not None:
                wider.append(_merge_sealed(oldest))

    def _read_current(self, now_s: float) -> _Sealed:
        counters = {
            series: value - self._counted.get(series, 0)
            for series, value in _copy_counters(self._metrics).items()
            if value > self._counted.get(series, 0)
        }
        histograms = {
            series: encode_histogram(histogram)
            for series, histogram in self._metrics.list_open_histograms()
            if _is_windowed(series)
        }
        return _Sealed(self._begun_s, now_s, counters, histograms)


def open_windows(metrics: Metrics, *, now_s: float) -> Windows:
    """Begin the history of a node's metrics."""
    return Windows(metrics, now_s=now_s)


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return a histogram in HdrHistogram's V2 encoding, in base64."""
    return histogram.encode().decode("ascii")


def merge_histograms(encoded: Iterable[str]) -> HdrHistogram:
    """Return the exact sum of encoded histograms.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED`, where one is no histogram of the package's shape.
    """
    merged = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_FIGURES)
    for text in encoded:
        try:
            merged.decode_and_add(text)
        except (*_DECODE_ERRORS, IndexError) as error:
            problem = f"histogram cannot be decoded: {error or type(error).__name__}"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, problem) from error
    return merged


def _is_windowed(series: Series) -> bool:
    info = METRICS.get(series.name)
    return info is not None and info.windowed


def _copy_counters(metrics: Metrics) -> dict[Series, int]:
    return {series: value for series, value in metrics.counters.items() if _is_windowed(series)}


def _merge_sealed(parts: list[_Sealed]) -> _Sealed:
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
    return _Sealed(parts[0].begun_s, parts[-1].ended_s, counters, histograms)


def _describe_window(sealed: _Sealed, now_s: float, table: SeriesTable) -> Window:
    return Window(
        begun_s=max(now_s - sealed.begun_s, 0.0),
        ended_s=max(now_s - sealed.ended_s, 0.0),
        counters=tuple(
            CounterPart(table.find_place(series), amount)
            for series, amount in sealed.counters.items()
        ),
        histograms=tuple(
            HistogramPart(table.find_place(series), text)
            for series, text in sealed.histograms.items()
        ),
    )
