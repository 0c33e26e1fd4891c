"""Compliance of the fleet with its bounds on convergence and control traffic."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._periods import TimelinePoint, bin_by_age, choose_periods
from trefoilpick.windows import merge_histograms

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from hdrh.histogram import HdrHistogram

    from trefoilpick._samples import ControlSample, ConvergenceSample

CONVERGENCE_BOUND_MS = 8_000
"""Maximum time from acceptance of a version to its enforcement by a node, in milliseconds."""

CONVERGENCE_SHARE = 0.999
"""Share of enforcements that must be within the bound."""

CONTROL_BOUND_BYTES_PER_S = 3_000
"""Maximum control traffic of a node, both directions together, in bytes per second."""

US_PER_MS = 1_000


@dataclass(frozen=True)
class ConvergenceRate:
    """Convergence within one period.

    Attributes:
        period_s: Length of the period, in seconds.
        covered_s: Age of the oldest figure in the period, in seconds; exceeds the period if a
            window began before it.
        enforcements: Enforcements, one for each node and version.
        late: Enforcements over the bound.
        rate: Share of late enforcements divided by the error budget; None without enforcements.
    """

    period_s: float
    covered_s: float
    enforcements: int
    late: int
    rate: float | None


@dataclass(frozen=True)
class DataCentreConvergence:
    """Number of enforcements in one data centre, and of the late ones among them."""

    data_centre: str
    enforcements: int
    late: int


@dataclass(frozen=True)
class Bucket:
    """A bucket of the distribution of convergence times.

    Attributes:
        upper_ms: Upper end of the bucket, in milliseconds.
        count: Number of enforcements in the bucket.
    """

    upper_ms: float
    count: int


@dataclass(frozen=True)
class ConvergenceBurn:
    """Convergence of the fleet.

    Attributes:
        bound_ms: Maximum time from acceptance to enforcement, in milliseconds.
        share: Share of enforcements that must be within the bound.
        enforcements: Enforcements, one for each node and version.
        late: Enforcements over the bound.
        met: Share of enforcements within the bound; None without enforcements.
        budget_left: Share of the error budget that is left; None without enforcements.
        p50_ms: Median convergence time, in milliseconds; None without enforcements.
        p99_ms: 99th percentile, in milliseconds; None without enforcements.
        max_ms: Maximum, in milliseconds; None without enforcements.
        rates: Burn rates, the shortest period first.
        data_centres: Enforcements by data centre, the one with the most late ones first.
        distribution: Distribution of convergence times, without empty buckets.
    """

    bound_ms: int
    share: float
    enforcements: int
    late: int
    met: float | None
    budget_left: float | None
    p50_ms: float | None
    p99_ms: float | None
    max_ms: float | None
    rates: tuple[ConvergenceRate, ...]
    data_centres: tuple[DataCentreConvergence, ...]
    distribution: tuple[Bucket, ...]


@dataclass(frozen=True)
class ControlRate:
    """Control traffic within one period.

    Attributes:
        period_s: Length of the period, in seconds.
        covered_s: Age of the oldest figure in the period, in seconds; exceeds the period if a
            window began before it.
        mean_bytes_per_s: Mean of the nodes' rates, in bytes per second.
        max_bytes_per_s: Rate of the busiest node, in bytes per second.
        max_vm: VM of the busiest node.
        rate: Mean divided by the bound.
        nodes_over: Number of nodes over the bound.
    """

    period_s: float
    covered_s: float
    mean_bytes_per_s: float
    max_bytes_per_s: float
    max_vm: str
    rate: float
    nodes_over: int


@dataclass(frozen=True)
class DataCentreControl:
    """Mean control traffic per node of one data centre, in bytes per second."""

    data_centre: str
    nodes: int
    mean_bytes_per_s: float


@dataclass(frozen=True)
class ControlBurn:
    """Control traffic of the fleet.

    Attributes:
        bound_bytes_per_s: Maximum traffic of a node, in bytes per second.
        total_bytes: Bytes of all nodes over the complete history.
        rates: Traffic by period, the shortest period first.
        data_centres: Traffic by data centre, in descending order.
        timeline: Mean per node over time, in bytes per second, the oldest point first.
    """

    bound_bytes_per_s: int
    total_bytes: int
    rates: tuple[ControlRate, ...]
    data_centres: tuple[DataCentreControl, ...]
    timeline: tuple[TimelinePoint, ...]


@dataclass(frozen=True)
class _ConvergenceGroup:
    """Merged convergence of those windows of one data centre that have the same `period_s`.

    Attributes:
        period_s: Shortest period that overlaps the windows, in seconds; infinite if none does.
        begun_s: Age of the start of the oldest window, in seconds.
    """

    data_centre: str
    period_s: float
    begun_s: float
    histogram: HdrHistogram


def compute_convergence_burn(
    samples: Iterable[ConvergenceSample], since_s: float
) -> ConvergenceBurn:
    """Merge the convergence of all nodes."""
    groups = _group_convergence(samples, tuple(choose_periods(since_s)))
    histogram = _sum_histograms(group.histogram for group in groups)
    total, late = histogram.get_total_count(), _count_late(histogram)
    rate = _compute_rate(total, late)
    return ConvergenceBurn(
        bound_ms=CONVERGENCE_BOUND_MS,
        share=CONVERGENCE_SHARE,
        enforcements=total,
        late=late,
        met=None if total == 0 else 1.0 - late / total,
        budget_left=None if rate is None else 1.0 - rate,
        p50_ms=_compute_percentile_ms(histogram, 50),
        p99_ms=_compute_percentile_ms(histogram, 99),
        max_ms=_compute_percentile_ms(histogram, 100),
        rates=tuple(_compute_convergence_rates(groups, since_s)),
        data_centres=tuple(_count_late_by_data_centre(groups)),
        distribution=tuple(_list_buckets(histogram)),
    )


def compute_control_burn(samples: Iterable[ControlSample], since_s: float) -> ControlBurn:
    """Merge the control traffic of all nodes."""
    sample_list = list(samples)
    return ControlBurn(
        bound_bytes_per_s=CONTROL_BOUND_BYTES_PER_S,
        total_bytes=sum(sample.amount for sample in sample_list),
        rates=tuple(_compute_control_rates(sample_list, since_s)),
        data_centres=tuple(_compute_control_by_data_centre(sample_list)),
        timeline=tuple(
            TimelinePoint(age_s, _compute_mean(_compute_node_rates(chosen)))
            for age_s, chosen in bin_by_age(sample_list, since_s)
        ),
    )


def _compute_rate(total: int, late: int) -> float | None:
    return None if total == 0 else late / total / (1.0 - CONVERGENCE_SHARE)


def _count_late(histogram: HdrHistogram) -> int:
    # Buckets are compared by their upper ends, so one that contains the bound counts as late.
    bound = CONVERGENCE_BOUND_MS * US_PER_MS
    return sum(
        item.count_at_value_iterated_to
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to > bound
    )


def _compute_percentile_ms(histogram: HdrHistogram, percent: float) -> float | None:
    if histogram.get_total_count() == 0:
        return None
    return histogram.get_value_at_percentile(percent) / US_PER_MS


def _group_convergence(
    samples: Iterable[ConvergenceSample], periods: tuple[float, ...]
) -> list[_ConvergenceGroup]:
    encoded: dict[tuple[str, float], list[str]] = {}
    oldest_s: dict[tuple[str, float], float] = {}
    for sample in samples:
        period_s = next((p for p in periods if sample.span.ended_s < p), math.inf)
        key = (sample.data_centre, period_s)
        encoded.setdefault(key, []).append(sample.encoded)
        oldest_s[key] = max(oldest_s.get(key, 0.0), sample.span.begun_s)
    return [
        _ConvergenceGroup(*key, oldest_s[key], merge_histograms(texts))
        for key, texts in encoded.items()
    ]


def _sum_histograms(histograms: Iterable[HdrHistogram]) -> HdrHistogram:
    total = merge_histograms(())
    for histogram in histograms:
        total.add(histogram)
    return total


def _compute_convergence_rates(
    groups: list[_ConvergenceGroup], since_s: float
) -> Iterator[ConvergenceRate]:
    for period_s in choose_periods(since_s):
        chosen = [group for group in groups if group.period_s <= period_s]
        histogram = _sum_histograms(group.histogram for group in chosen)
        total, late = histogram.get_total_count(), _count_late(histogram)
        covered_s = max((group.begun_s for group in chosen), default=0.0)
        yield ConvergenceRate(period_s, covered_s, total, late, _compute_rate(total, late))


def _count_late_by_data_centre(groups: list[_ConvergenceGroup]) -> Iterator[DataCentreConvergence]:
    entries = []
    for data_centre in {group.data_centre for group in groups}:
        histograms = (group.histogram for group in groups if group.data_centre == data_centre)
        histogram = _sum_histograms(histograms)
        total, late = histogram.get_total_count(), _count_late(histogram)
        entries.append(DataCentreConvergence(data_centre, total, late))
    yield from sorted(entries, key=lambda entry: (-entry.late, entry.data_centre))


def _list_buckets(histogram: HdrHistogram) -> Iterator[Bucket]:
    for item in histogram.get_recorded_iterator():
        yield Bucket(item.value_iterated_to / US_PER_MS, item.count_at_value_iterated_to)


def _compute_node_rates(samples: list[ControlSample]) -> dict[str, float]:
    amounts: dict[str, int] = {}
    times: dict[str, float] = {}
    for sample in samples:
        amounts[sample.vm] = amounts.get(sample.vm, 0) + sample.amount
        times[sample.vm] = times.get(sample.vm, 0.0) + sample.span.begun_s - sample.span.ended_s
    return {vm: amounts[vm] / times[vm] for vm in amounts if times[vm] > 0}


def _compute_mean(rates: dict[str, float]) -> float:
    return sum(rates.values()) / len(rates) if rates else 0.0


def _compute_control_rates(samples: list[ControlSample], since_s: float) -> Iterator[ControlRate]:
    for period_s in choose_periods(since_s):
        chosen = [sample for sample in samples if sample.span.ended_s < period_s]
        rates = _compute_node_rates(chosen)
        if not rates:
            continue
        mean = _compute_mean(rates)
        busiest = max(rates, key=lambda vm: (rates[vm], vm))
        yield ControlRate(
            period_s=period_s,
            covered_s=max(sample.span.begun_s for sample in chosen),
            mean_bytes_per_s=mean,
            max_bytes_per_s=rates[busiest],
            max_vm=busiest,
            rate=mean / CONTROL_BOUND_BYTES_PER_S,
            nodes_over=sum(rate > CONTROL_BOUND_BYTES_PER_S for rate in rates.values()),
        )


def _compute_control_by_data_centre(samples: list[ControlSample]) -> Iterator[DataCentreControl]:
    groups: dict[str, list[ControlSample]] = {}
    for sample in samples:
        groups.setdefault(sample.data_centre, []).append(sample)
    entries = []
    for data_centre, chosen in groups.items():
        rates = _compute_node_rates(chosen)
        entries.append(DataCentreControl(data_centre, len(rates), _compute_mean(rates)))
    yield from sorted(entries, key=lambda entry: (-entry.mean_bytes_per_s, entry.data_centre))
