"""The closed table of metrics: kind, unit, meaning and advice for each name."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MetricKind(Enum):
    """Kinds of metrics."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True)
class MetricInfo:
    """What a metric means.

    Attributes:
        kind: Kind of the metric.
        unit: Unit of its values.
        help: What it counts or measures, in one sentence.
        advice: What an operator does about it.
        labels: Names of its labels.
        windowed: Whether its history by time window is kept for reports.
    """

    kind: MetricKind
    unit: str
    help: str
    advice: str
    labels: tuple[str, ...] = ()
    windowed: bool = False


METRICS: dict[str, MetricInfo] = {
    "trefoilpick_requests_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Callers' requests that ended at this node, by contract and result.",
        "`trefoilpick report burn` weighs them against the contracts' objectives.",
        ("team", "route", "result"),
        windowed=True,
    ),
    "trefoilpick_request_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time from a request's head to its answer's head, by contract.",
        "Compare with the contract's latency objective.",
        ("team", "route"),
        windowed=True,
    ),
    "trefoilpick_convergence_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time from a version's acceptance until this node enforced it.",
        "Above 8 s, look for the lagging nodes with `trefoilpick status`.",
        windowed=True,
    ),
    "trefoilpick_control_bytes_total": MetricInfo(
        MetricKind.COUNTER,
        "bytes",
        "Bytes of control traffic, by direction: in or out.",
        "Above 3 KB/s for long, look for nodes that restart or a document that is rewritten.",
        ("direction",),
        windowed=True,
    ),
    "trefoilpick_state_changes_total": MetricInfo(
        MetricKind.COUNTER,
        "changes",
        "Changes of state that the log tells of, by event.",
        "A state that changes many times a minute flaps: read its log lines.",
        ("event",),
    ),
    "trefoilpick_series_dropped_total": MetricInfo(
        MetricKind.COUNTER,
        "records",
        "Records that were dropped because the node holds its largest number of series.",
        "None is expected; names of teams and routes are changing all the time.",
    ),
    "trefoilpick_operator_requests_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Requests on the operators' port, by status code.",
        "Refusals (4xx, 503) tell of a scraper with wrong settings.",
        ("status",),
    ),
}
"""Every metric that the package emits, by name."""
