"""Report of one node for the burn report: objectives, latencies and windows of metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from trefoilpick.windows import EncodedHistogram, SeriesRef, Window, encode_histogram

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import VmSettings
    from trefoilpick.snapshots import Snapshot
    from trefoilpick.windows import SeriesTable


REPORT_END = b"]}"
"""End of an encoded report, whose last field is a list: the windows are inserted before it."""

LATENCY_METRIC = "trefoilpick_request_microseconds"
"""Name of the request latency histograms."""


@dataclass(frozen=True)
class ContractObjective:
    """Objective of a route, from the contract that a node enforces.

    Attributes:
        team: Owner of the route.
        route: Name of the route.
        availability: Share of requests that must be good.
        latency_ms: Maximum time until the head of a good response arrives, in milliseconds.
    """

    team: str
    route: str
    availability: float
    latency_ms: int


@dataclass(frozen=True)
class NodeReport:
    """Figures of one node.

    The windows are the last field, so that each window can be encoded separately.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre of the VM.
        incarnation: Start time of the process, in nanoseconds since the Unix epoch.
        number: Number of the enforced version; None without one.
        contracts: Objectives of all routes of that version.
        uptime_s: Time since the process started, in seconds.
        latencies: Request latency by route, since the process started.
        series: Series that latencies and windows refer to by index.
        windows: Recent history of the metrics, the oldest window first.
    """

    vm: str
    data_centre: str
    incarnation: int
    number: int | None
    contracts: tuple[ContractObjective, ...]
    uptime_s: float
    latencies: tuple[EncodedHistogram, ...]
    series: tuple[SeriesRef, ...]
    windows: tuple[Window, ...]


def build_report(
    vm: VmSettings,
    *,
    incarnation: int,
    uptime_s: float,
    latencies: tuple[EncodedHistogram, ...],
    table: SeriesTable,
    snapshot: Snapshot | None,
) -> NodeReport:
    """Build the report of one node, without its windows.

    Args:
        vm: Settings of the VM.
        incarnation: Start time of the process, in nanoseconds since the Unix epoch.
        uptime_s: Time since that start, in seconds.
        latencies: Result of `list_latencies`.
        table: Series that latencies and windows refer to.
        snapshot: Enforced snapshot; None without one.
    """
    return NodeReport(
        vm=vm.name,
        data_centre=vm.data_centre,
        incarnation=incarnation,
        number=snapshot.version.number if snapshot else None,
        contracts=tuple(_list_contracts(snapshot)) if snapshot else (),
        uptime_s=uptime_s,
        latencies=latencies,
        series=tuple(table.list_series()),
        windows=(),
    )


def encode_report(report: NodeReport, windows: Iterable[bytes]) -> bytes:
    """Return the JSON encoding of a report with its windows.

    Args:
        report: A report without windows.
        windows: Result of `encode_windows`.
    """
    head = msgspec.json.encode(report).removesuffix(REPORT_END)
    return head + b",".join(windows) + REPORT_END


def encode_windows(windows: Iterable[Window]) -> Iterator[bytes]:
    """Yield the JSON encoding of each window."""
    for window in windows:
        yield msgspec.json.encode(window)


def list_latencies(metrics: Metrics, table: SeriesTable) -> Iterator[EncodedHistogram]:
    """Yield the latency histogram of each route.

    The node may record further values while the caller of this generator yields to other tasks.

    Args:
        metrics: Metrics of the node.
        table: Table to which the series are added.
    """
    for series, histogram in metrics.list_histograms(LATENCY_METRIC):
        yield EncodedHistogram(table.get_index(series), encode_histogram(histogram))


def _list_contracts(snapshot: Snapshot) -> Iterator[ContractObjective]:
    for section in snapshot.document.sections:
        for route in section.routes:
            objective = route.contract.objective
            yield ContractObjective(
                section.owning_team, route.name, objective.availability, objective.latency_ms
            )
