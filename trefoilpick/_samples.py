"""Typed samples from the reports of nodes.

Each window of a node yields samples of requests, convergence and control traffic. The figures of
the burn report are sums over these samples, so merging nodes equals counting in one place.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.reports import NodeReport
    from trefoilpick.windows import SeriesRef, Window

GOOD = "good"
"""Result of a request that was answered within the objective's latency."""

SLOW = "slow"
"""Result of a request that was answered later than the objective's latency."""

REQUEST_COUNTERS = {
    "trefoilpick_requests_total": "result",
    "trefoilpick_refused_total": "kind",
}
"""Counters of callers' requests, each with the label that holds the result."""

CALLER_FAULTS = frozenset(
    kind.value
    for kind in (
        ErrorKind.HEAD_MALFORMED,
        ErrorKind.HEAD_TOO_LARGE,
        ErrorKind.HEAD_TIMEOUT,
        ErrorKind.NO_ROUTE,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.BODY_MALFORMED,
        ErrorKind.BODY_TIMEOUT,
        ErrorKind.TOKEN_MALFORMED,
        ErrorKind.TOKEN_EXPIRED,
        ErrorKind.TOKEN_FOREIGN,
        ErrorKind.TOKEN_BUSY,
        ErrorKind.CALLER_GONE,
    )
)
"""Results that the caller caused; they use no error budget."""


@dataclass(frozen=True)
class Span:
    """Time span in which values were recorded, in seconds before the report."""

    begun_s: float
    ended_s: float

    @property
    def middle_s(self) -> float:
        """Age of the middle of the span, in seconds."""
        return (self.begun_s + self.ended_s) / 2


@dataclass(frozen=True)
class RequestSample:
    """Number of requests of one contract with one result, at one node in one window."""

    span: Span
    data_centre: str
    team: str
    route: str
    result: str
    amount: int

    @property
    def is_bad(self) -> bool:
        """Whether the requests use error budget."""
        return self.result != GOOD and self.result not in CALLER_FAULTS

    @property
    def is_counted(self) -> bool:
        """Whether the requests count towards the objective."""
        return self.result not in CALLER_FAULTS


@dataclass(frozen=True)
class LatencySample:
    """Encoded latency histogram of one contract's requests at one node since its start."""

    team: str
    route: str
    encoded: str


@dataclass(frozen=True)
class ConvergenceSample:
    """Encoded histogram of convergence times at one node in one window."""

    span: Span
    data_centre: str
    encoded: str


@dataclass(frozen=True)
class ControlSample:
    """Control bytes of one node in one window, both directions together."""

    span: Span
    vm: str
    data_centre: str
    amount: int


def list_request_samples(reports: Iterable[NodeReport]) -> Iterator[RequestSample]:
    """Yield the requests of all windows.

    Team and route are empty for requests that were refused before their route was known.
    """
    for report, window in _list_windows(reports):
        span = _read_span(window)
        for part in window.counters:
            series = _find_series(report, part.series)
            result = series.labels.get(REQUEST_COUNTERS.get(series.name, ""))
            if result is not None:
                yield RequestSample(
                    span=span,
                    data_centre=report.data_centre,
                    team=series.labels.get("team", ""),
                    route=series.labels.get("route", ""),
                    result=result,
                    amount=part.amount,
                )


def list_latency_samples(reports: Iterable[NodeReport]) -> Iterator[LatencySample]:
    """Yield the latency histograms of all reports."""
    for report in reports:
        for part in report.latencies:
            labels = _find_series(report, part.series).labels
            yield LatencySample(labels.get("team", ""), labels.get("route", ""), part.encoded)


def list_convergence_samples(reports: Iterable[NodeReport]) -> Iterator[ConvergenceSample]:
    """Yield the convergence histograms of all windows."""
    for report, window in _list_windows(reports):
        for part in window.histograms:
            if _find_series(report, part.series).name == "trefoilpick_convergence_microseconds":
                yield ConvergenceSample(_read_span(window), report.data_centre, part.encoded)


def list_control_samples(reports: Iterable[NodeReport]) -> Iterator[ControlSample]:
    """Yield the control bytes of each window, including windows without any."""
    for report, window in _list_windows(reports):
        amount = sum(
            part.amount
            for part in window.counters
            if _find_series(report, part.series).name == "trefoilpick_control_bytes_total"
        )
        yield ControlSample(_read_span(window), report.vm, report.data_centre, amount)


def _find_series(report: NodeReport, index: int) -> SeriesRef:
    if index < len(report.series):
        return report.series[index]
    text = f'report of VM "{report.vm}" refers to series {index} of {len(report.series)}'
    raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text)


def _list_windows(reports: Iterable[NodeReport]) -> Iterator[tuple[NodeReport, Window]]:
    for report in reports:
        for window in report.windows:
            yield report, window


def _read_span(window: Window) -> Span:
    return Span(window.begun_s, window.ended_s)
