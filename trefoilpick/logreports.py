"""What the logs of all nodes tell of a span of time: load, failures, latency, versions in force."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.explanation import count_causes
from trefoilpick.logs import Event
from trefoilpick.requestlogs import GOOD_RESULTS, RequestEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.explanation import LogLine

SLICES = 60
"""Slices of the span in which requests are counted."""

LATENCY_STEPS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 60_000)
"""Upper ends of the buckets of latencies, in milliseconds."""


@dataclass(frozen=True)
class Slice:
    """Requests that ended in a part of the span.

    Attributes:
        age_s: Time from its middle to the end of the span, in seconds.
        per_s: Requests that were logged, a second.
        failed_per_s: Those that failed, a second.
    """

    age_s: float
    per_s: float
    failed_per_s: float


@dataclass(frozen=True)
class Spread:
    """How a version came into force.

    Attributes:
        number: Version number.
        nodes: Nodes that took it.
        took_s: Time from the first node to the last, in seconds.
    """

    number: int
    nodes: int
    took_s: float


@dataclass(frozen=True)
class LogReport:
    """What logs tell of a span.

    Attributes:
        began_at: Time of the first line.
        span_s: Time from the first line to the last, in seconds.
        nodes: Nodes that wrote lines.
        requests: Requests of callers that were logged.
        omitted: Lines of requests that nodes left out to bound their logs.
        slices: Load over time, the oldest first.
        causes: Why requests failed, and how many lines tell of each, the most first.
        latencies: Upper ends of buckets in milliseconds, and answered requests in each.
        spreads: Versions in force, in the order of their numbers.
    """

    began_at: datetime
    span_s: float
    nodes: int
    requests: int
    omitted: int
    slices: tuple[Slice, ...]
    causes: tuple[tuple[str, int], ...]
    latencies: tuple[tuple[float, int], ...]
    spreads: tuple[Spread, ...]

    @property
    def failed(self) -> int:
        """Requests that failed."""
        return sum(count for _, count in self.causes)


def build_log_report(lines: Iterable[LogLine]) -> LogReport:
    """Build the report of some logs.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE`, where no line has a time.
    """
    timed = sorted(_read_times(lines), key=lambda entry: entry[0])
    if not timed:
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, "no line of the logs tells its time")
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
        spreads=tuple(_measure_spreads(timed)),
    )


def _read_times(lines: Iterable[LogLine]) -> Iterator[tuple[datetime, LogLine]]:
    for line in lines:
        try:
            yield datetime.fromisoformat(line.time), line
        except ValueError:
            # A line without a time has no place in a span.
            continue


def _count_slices(
    requests: list[tuple[datetime, LogLine]], began_at: datetime, ended_at: datetime
) -> Iterator[Slice]:
    width_s = max((ended_at - began_at).total_seconds() / SLICES, 1e-3)
    counts: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for at, line in requests:
        index = min(int((at - began_at).total_seconds() / width_s), SLICES - 1)
        counts[index] += 1
        failed[index] += line.value not in GOOD_RESULTS
    for index in range(SLICES):
        age_s = (SLICES - index - 0.5) * width_s
        yield Slice(age_s, counts[index] / width_s, failed[index] / width_s)


def _count_latencies(lines: Iterable[LogLine]) -> Iterator[tuple[float, int]]:
    counts: Counter[float] = Counter()
    for line in lines:
        if line.value in GOOD_RESULTS and line.took_ms is not None:
            upper = (step for step in LATENCY_STEPS_MS if line.took_ms <= step)
            counts[next(upper, LATENCY_STEPS_MS[-1])] += 1
    yield from sorted(counts.items())


def _measure_spreads(timed: Iterable[tuple[datetime, LogLine]]) -> Iterator[Spread]:
    seen: dict[int, dict[str, datetime]] = {}
    for at, line in timed:
        if line.event == Event.VERSION.value and line.value.isdigit():
            seen.setdefault(int(line.value), {}).setdefault(line.vm, at)
    for number, times in sorted(seen.items()):
        took_s = (max(times.values()) - min(times.values())).total_seconds()
        yield Spread(number, len(times), took_s)
