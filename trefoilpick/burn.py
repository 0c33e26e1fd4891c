"""Service-level burn: objectives, compliance, and consumers of the error budget.

An objective of 99.9% leaves an error budget of 0.1% of the requests. The burn rate is the share
of bad requests divided by that budget: at 1 the budget is spent exactly when its period ends.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._burn_fleet import (
    ControlBurn,
    ConvergenceBurn,
    compute_control_burn,
    compute_convergence_burn,
)
from trefoilpick._periods import TimelinePoint, bin_by_age, choose_periods
from trefoilpick._samples import (
    list_control_samples,
    list_convergence_samples,
    list_latency_samples,
    list_request_samples,
)
from trefoilpick.windows import merge_histograms

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick._samples import LatencySample, RequestSample
    from trefoilpick.reports import ContractObjective, NodeReport

MAX_CONSUMERS = 5
"""Maximum number of budget consumers in a list."""

US_PER_MS = 1_000


@dataclass(frozen=True)
class BurnRate:
    """Burn rate of a contract within one period.

    Attributes:
        period_s: Length of the period, in seconds.
        covered_s: Age of the oldest figure in the period, in seconds; exceeds the period if a
            window began before it.
        requests: Requests that count towards the objective.
        bad: Requests that missed the objective.
        rate: Share of bad requests divided by the error budget; None without requests.
    """

    period_s: float
    covered_s: float
    requests: int
    bad: int
    rate: float | None


@dataclass(frozen=True)
class BudgetConsumer:
    """Bad requests of one route, data centre and kind, which consume error budget.

    Attributes:
        team: Owner of the route; empty where the request had no route.
        route: Name of the route; empty where the request had none.
        data_centre: Data centre of the callers' node.
        kind: "slow" or a value of `ErrorKind`.
        requests: Number of bad requests.
        share: Share of all bad requests that are grouped together: those of a contract, or those
            without one.
    """

    team: str
    route: str
    data_centre: str
    kind: str
    requests: int
    share: float


@dataclass(frozen=True)
class ContractBurn:
    """Objective, compliance and remaining error budget of one contract.

    Attributes:
        team: Owner of the route.
        route: Name of the route.
        availability: Share of requests that must be good.
        latency_ms: Maximum time until the head of a good response arrives, in milliseconds.
        requests: Requests that count towards the objective.
        bad: Requests that missed the objective.
        caller_faults: Requests that failed through the caller's fault; they are in neither count.
        met: Share of good requests; None without requests.
        budget_left: Share of the error budget that is left, negative if overspent; None without
            requests.
        p50_ms: Median latency since the nodes started, in milliseconds; None without responses.
        p99_ms: 99th percentile of the latency since then, in milliseconds; None without responses.
        rates: Burn rates, the shortest period first.
        burners: Largest budget consumers, in descending order.
        timeline: Burn rate over time, the oldest point first.
    """

    team: str
    route: str
    availability: float
    latency_ms: int
    requests: int
    bad: int
    caller_faults: int
    met: float | None
    budget_left: float | None
    p50_ms: float | None
    p99_ms: float | None
    rates: tuple[BurnRate, ...]
    burners: tuple[BudgetConsumer, ...]
    timeline: tuple[TimelinePoint, ...]


@dataclass(frozen=True)
class BurnReport:
    """Service-level burn of a fleet.

    Attributes:
        made_at: Time of the report, as ISO 8601 in UTC.
        since_s: Age of the oldest figure, in seconds; figures of restarted nodes are younger.
        nodes: Number of nodes whose figures are included.
        unreachable: Nodes whose figures are missing, with the reason.
        contracts: All contracts in force, the least remaining budget first.
        unrouted: Largest groups of bad requests that no contract in force covers, in descending
            order.
        convergence: Convergence of the fleet.
        control: Control traffic of the fleet.
    """

    made_at: str
    since_s: float
    nodes: int
    unreachable: tuple[str, ...]
    contracts: tuple[ContractBurn, ...]
    unrouted: tuple[BudgetConsumer, ...]
    convergence: ConvergenceBurn
    control: ControlBurn

    @property
    def is_budget_spent(self) -> bool:
        """Whether the error budget of a contract or of convergence is spent."""
        budgets = [entry.budget_left for entry in self.contracts]
        budgets.append(self.convergence.budget_left)
        return any(left is not None and left <= 0 for left in budgets)


def build_burn_report(
    reports: Iterable[NodeReport], *, made_at: str, unreachable: Iterable[str] = ()
) -> BurnReport:
    """Merge the reports of nodes into one burn report.

    Args:
        reports: One report of each node; of several with the same incarnation, the last counts.
        made_at: Time at which they were fetched, as ISO 8601 in UTC.
        unreachable: Nodes whose reports are missing, with the reason.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED` if a histogram cannot be decoded.
    """
    unique = list({(report.vm, report.incarnation): report for report in reports}.values())
    since_s = max((window.begun_s for report in unique for window in report.windows), default=0.0)
    contracts = _find_contracts(unique)
    by_contract: dict[tuple[str, str], list[RequestSample]] = {key: [] for key in contracts}
    unrouted: list[RequestSample] = []
    for sample in list_request_samples(unique):
        by_contract.get((sample.team, sample.route), unrouted).append(sample)
    latencies = _group_latencies(list_latency_samples(unique))
    burns = [
        _compute_contract_burn(contract, by_contract[key], latencies.get(key, []), since_s)
        for key, contract in contracts.items()
    ]
    return BurnReport(
        made_at=made_at,
        since_s=since_s,
        nodes=len(unique),
        unreachable=tuple(unreachable),
        contracts=tuple(sorted(burns, key=_rank_contract)),
        unrouted=tuple(_list_consumers(unrouted)),
        convergence=compute_convergence_burn(list_convergence_samples(unique), since_s),
        control=compute_control_burn(list_control_samples(unique), since_s),
    )


def compute_burn_rate(requests: int, bad: int, availability: float) -> float | None:
    """Return the burn rate, or None without requests.

    Args:
        requests: Requests that count towards the objective.
        bad: Requests that missed it.
        availability: Share of requests that must be good, below 1.
    """
    if requests == 0:
        return None
    return bad / requests / (1.0 - availability)


def _find_contracts(reports: list[NodeReport]) -> dict[tuple[str, str], ContractObjective]:
    newest = max(reports, key=lambda report: report.number or 0, default=None)
    if newest is None:
        return {}
    return {(contract.team, contract.route): contract for contract in newest.contracts}


def _group_latencies(samples: Iterable[LatencySample]) -> dict[tuple[str, str], list[str]]:
    groups: dict[tuple[str, str], list[str]] = {}
    for sample in samples:
        groups.setdefault((sample.team, sample.route), []).append(sample.encoded)
    return groups


def _compute_contract_burn(
    contract: ContractObjective, samples: list[RequestSample], latencies: list[str], since_s: float
) -> ContractBurn:
    counted = [sample for sample in samples if sample.is_counted]
    requests, bad = _count_requests(counted)
    rate = compute_burn_rate(requests, bad, contract.availability)
    histogram = merge_histograms(latencies)
    has_latency = histogram.get_total_count() > 0
    return ContractBurn(
        team=contract.team,
        route=contract.route,
        availability=contract.availability,
        latency_ms=contract.latency_ms,
        requests=requests,
        bad=bad,
        caller_faults=sum(sample.amount for sample in samples if not sample.is_counted),
        met=None if requests == 0 else 1.0 - bad / requests,
        budget_left=None if rate is None else 1.0 - rate,
        p50_ms=histogram.get_value_at_percentile(50) / US_PER_MS if has_latency else None,
        p99_ms=histogram.get_value_at_percentile(99) / US_PER_MS if has_latency else None,
        rates=tuple(_compute_burn_rates(counted, contract.availability, since_s)),
        burners=tuple(_list_consumers(counted)),
        timeline=tuple(_build_timeline(counted, contract.availability, since_s)),
    )


def _compute_burn_rates(
    samples: list[RequestSample], availability: float, since_s: float
) -> Iterator[BurnRate]:
    for period_s in choose_periods(since_s):
        chosen = [sample for sample in samples if sample.span.ended_s < period_s]
        requests, bad = _count_requests(chosen)
        covered_s = max((sample.span.begun_s for sample in chosen), default=0.0)
        rate = compute_burn_rate(requests, bad, availability)
        yield BurnRate(period_s, covered_s, requests, bad, rate)


def _build_timeline(
    samples: list[RequestSample], availability: float, since_s: float
) -> Iterator[TimelinePoint]:
    for age_s, chosen in bin_by_age(samples, since_s):
        requests, bad = _count_requests(chosen)
        yield TimelinePoint(age_s, compute_burn_rate(requests, bad, availability) or 0.0)


def _list_consumers(samples: list[RequestSample]) -> Iterator[BudgetConsumer]:
    counts: dict[tuple[str, str, str, str], int] = {}
    for sample in samples:
        if sample.is_bad and sample.amount > 0:
            key = (sample.team, sample.route, sample.data_centre, sample.result)
            counts[key] = counts.get(key, 0) + sample.amount
    total = sum(counts.values())
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    for key, amount in ranked[:MAX_CONSUMERS]:
        yield BudgetConsumer(*key, amount, amount / total)


def _count_requests(samples: Iterable[RequestSample]) -> tuple[int, int]:
    requests = bad = 0
    for sample in samples:
        requests += sample.amount
        bad += sample.amount if sample.is_bad else 0
    return requests, bad


def _rank_contract(contract: ContractBurn) -> tuple[float, str, str]:
    budget_left = 1.0 if contract.budget_left is None else contract.budget_left
    return budget_left, contract.team, contract.route
