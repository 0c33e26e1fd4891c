"""Report on the logs of all nodes: load, failures, latency and versions in force."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.loglines import count_causes
from trefoilpick.logs import Event
from trefoilpick.requestlogs import SUCCESSFUL_RESULTS, RequestEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.loglines import LogLine

SLICES = 60
"""Number of equal slices of the time span, in each of which requests are counted."""

LATENCY_STEPS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 60_000)
"""Upper ends of the buckets of latencies, in milliseconds; the last one also counts any longer."""


@dataclass(frozen=True)
class LoadSlice:
    """Rates of requests in one slice of the span.

    Attributes:
        age_s: Time from the middle of the slice to the end of the span, in seconds.
        per_s: Logged requests per second.
        failed_per_s: Logged requests per second that failed.
    """

    age_s: float
    per_s: float
    failed_per_s: float


@dataclass(frozen=True)
class Rollout:
    """Rollout of one version.

    Attributes:
        number: Version number.
        nodes: Number of nodes that enforced it.
        took_s: Time from the first node to the last, in seconds.
    """

    number: int
    nodes: int
    took_s: float


@dataclass(frozen=True)
class LogReport:
    """Summary of the logs of a time span.

    Attributes:
        began_at: Time of the first line.
        span_s: Time from the first line to the last, in seconds.
        nodes: Number of nodes that wrote lines.
        requests: Number of logged requests of callers.
        omitted: Number of request lines that nodes omitted to bound their logs.
        slices: Load over time, the oldest slice first.
        causes: Causes of failed requests and their counts, the most frequent first.
        latencies: Upper ends of buckets in milliseconds, and the answered requests in each.
        rollouts: Rollouts of versions, in order of their numbers.
    """

    began_at: datetime
    span_s: float
    nodes: int
    requests: int
    omitted: int
    slices: tuple[LoadSlice, ...]
    causes: tuple[tuple[str, int], ...]
    latencies: tuple[tuple[float, int], ...]
    rollouts: tuple[Rollout, ...]

    @property
    def failed(self) -> int:
        """Number of failed requests."""
        return sum(count for _, count in self.causes)


def build_log_report(lines: Iterable[LogLine]) -> LogReport:
    """Build a report from the lines of logs.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE`, if no line has a time.
    """
    timed = sorted(_read_times(lines), key=lambda entry: entry[0])
    if not timed:
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, "no line of the logs has a valid time")
    began_at, ended_at = timed[0][0], timed[-1][0]
    requests = [(at, line) for at, line in timed if line.event == RequestEvent.REQUEST.value]
    return LogReport(
        began_at=began_at,
        span_s=(ended_at - began_at).total_seconds(),
        nodes=len({line.vm for _, line in timed}),
        requests=len(requests),
        omitted=sum(line.omitted for _, line in timed),
        slices=tuple(_count_slices(requests, began_at, ended_at)),
        causes=tuple(count_causes(line for _, line in requests)),
        latencies=tuple(_count_latencies(line for _, line in requests)),
        rollouts=tuple(_measure_rollouts(timed)),
    )


def _read_times(lines: Iterable[LogLine]) -> Iterator[tuple[datetime, LogLine]]:
    for line in lines:
        try:
            yield datetime.fromisoformat(line.time), line
        except ValueError:
            # A line without a valid time cannot be assigned to a slice.
            continue


def _count_slices(
    requests: list[tuple[datetime, LogLine]], began_at: datetime, ended_at: datetime
) -> Iterator[LoadSlice]:
    width_s = max((ended_at - began_at).total_seconds() / SLICES, 1e-3)
    counts: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for at, line in requests:
        index = min(int((at - began_at).total_seconds() / width_s), SLICES - 1)
        counts[index] += 1
        failed[index] += line.value not in SUCCESSFUL_RESULTS
    for index in range(SLICES):
        age_s = (SLICES - index - 0.5) * width_s
        yield LoadSlice(age_s, counts[index] / width_s, failed[index] / width_s)


def _count_latencies(lines: Iterable[LogLine]) -> Iterator[tuple[float, int]]:
    counts: Counter[float] = Counter()
    for line in lines:
        if line.value in SUCCESSFUL_RESULTS and line.took_ms is not None:
            upper_ends = (step for step in LATENCY_STEPS_MS if line.took_ms <= step)
            counts[next(upper_ends, LATENCY_STEPS_MS[-1])] += 1
    yield from sorted(counts.items())


def _measure_rollouts(timed: Iterable[tuple[datetime, LogLine]]) -> Iterator[Rollout]:
    first_seen: dict[int, dict[str, datetime]] = {}
    for at, line in timed:
        if line.event == Event.VERSION.value and line.value.isdigit():
            first_seen.setdefault(int(line.value), {}).setdefault(line.vm, at)
    for number, times in sorted(first_seen.items()):
        took_s = (max(times.values()) - min(times.values())).total_seconds()
        yield Rollout(number, len(times), took_s)
