"""Table of all metrics: kind, unit, meaning and advice for operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True)
class MetricInfo:
    """Description of one metric.

    Attributes:
        kind: Kind of the metric.
        unit: Unit of its values.
        help: What it counts or measures, in one sentence.
        advice: What an operator should do about it.
        labels: Names of its labels.
        is_windowed: Whether reports show its history by time window.
    """

    kind: MetricKind
    unit: str
    help: str
    advice: str
    labels: tuple[str, ...] = ()
    is_windowed: bool = False


METRICS: dict[str, MetricInfo] = {
    "trefoilpick_requests_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Callers' requests that ended at this node, by contract and result.",
        "`trefoilpick report burn` compares them with the contracts' objectives.",
        ("team", "route", "result"),
        is_windowed=True,
    ),
    "trefoilpick_request_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time from the head of a request to the head of its response, by contract.",
        "Compare with the contract's latency objective.",
        ("team", "route"),
    ),
    "trefoilpick_attempts_total": MetricInfo(
        MetricKind.COUNTER,
        "attempts",
        "Attempts at workers, by upstream, data centre of the worker and end of the attempt.",
        "Attempts in remote data centres indicate overflow: compare loads with slots.",
        ("upstream", "data_centre", "end"),
    ),
    "trefoilpick_retries_total": MetricInfo(
        MetricKind.COUNTER,
        "attempts",
        "Retries made by this node, by upstream and error of the previous attempt.",
        "Look for failing workers; the budget limits the share of retries.",
        ("upstream", "kind"),
    ),
    "trefoilpick_convergence_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time from a version's acceptance until this node enforced it.",
        "Above 8 s, look for the lagging nodes with `trefoilpick status`.",
        is_windowed=True,
    ),
    "trefoilpick_control_bytes_total": MetricInfo(
        MetricKind.COUNTER,
        "bytes",
        "Bytes of control traffic: sent to and received from peers, and exchanged with the source.",
        "If it stays above 3 KB/s, look for nodes that restart or a document that is rewritten.",
        ("direction",),
        is_windowed=True,
    ),
    "trefoilpick_refused_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Requests and connections refused before a route was found, by kind of error.",
        "Kinds not_ready, not_level and draining cease when the node has started or stopped.",
        ("kind",),
        is_windowed=True,
    ),
    "trefoilpick_caller_resets_total": MetricInfo(
        MetricKind.COUNTER,
        "connections",
        "Callers' connections that broke.",
        "Many at once indicate a network fault or callers with short timeouts.",
    ),
    "trefoilpick_accept_errors_total": MetricInfo(
        MetricKind.COUNTER,
        "errors",
        "Connections that could not be accepted, by reason.",
        "Raise the limit of open files of the process.",
        ("reason",),
    ),
    "trefoilpick_hop_requests_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Requests that other nodes forwarded to this node's worker, by contract and result.",
        "Compare with the worker's own count.",
        (
            "team",
            "route",
            "kind",
        ),
    ),
    "trefoilpick_hop_connections_refused_total": MetricInfo(
        MetricKind.COUNTER,
        "connections",
        "Connections of other nodes refused because the limit was reached.",
        "Raise hops.max_connections if memory allows.",
    ),
    "trefoilpick_hop_connections_broken_total": MetricInfo(
        MetricKind.COUNTER,
        "connections",
        "Connections of other nodes that ended with an error, by kind.",
        "Kind message_malformed indicates an unknown program or another version on the port.",
        ("kind",),
    ),
    "trefoilpick_hop_nested_calls_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Calls of running requests that other nodes forwarded to this node's worker, by result.",
        "If many end with shed or queue_full, add VMs to the service.",
        ("kind",),
    ),
    "trefoilpick_hop_queue_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time that a request waited for a slot of the worker, by priority.",
        "If interactive requests wait, add VMs to the service.",
        ("priority",),
    ),
    "trefoilpick_hop_service_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time that the worker took for a request, by priority.",
        "If it grows, look at the worker.",
        ("priority",),
    ),
    "trefoilpick_link_buffered_bytes": MetricInfo(
        MetricKind.GAUGE,
        "bytes",
        "Bytes of workers' answers that this node has read and not sent yet.",
        "At a quarter of a second of the link, workers wait for it: look for slow readers and "
        "compare `link.mbps`.",
    ),
    "trefoilpick_link_wait_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time that a part of a large body waited for its turn on this VM's link.",
        "If it stays high, large bodies need more than the link: compare `link.mbps` with the VM.",
    ),
    "trefoilpick_body_wait_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time that the large body of a request waited until this VM's link was free for it.",
        "If it stays high, uploads need more than the link: compare the number of workers of the "
        "service and `link.mbps` with the bytes that callers upload.",
    ),
    "trefoilpick_hop_expected_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Time that the node expected the worker to take for a request, by priority.",
        "Its mean follows `trefoilpick_hop_service_microseconds`, except for large answers.",
        ("priority",),
    ),
    "trefoilpick_hop_estimate_error_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Difference between the expected and the observed time of a request, by priority.",
        "If it is as large as the time itself, requests of one route differ in unknown ways.",
        ("priority",),
    ),
    "trefoilpick_worker_requests_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Requests sent to this node's worker, including second attempts on a new connection.",
        "Compare its rate with the limit that the worker states.",
    ),
    "trefoilpick_worker_ends_total": MetricInfo(
        MetricKind.COUNTER,
        "ends",
        "Unplanned ends of this node's worker while it ran requests.",
        "The `worker_end` lines of the log name the requests.",
    ),
    "trefoilpick_quarantine_cases": MetricInfo(
        MetricKind.GAUGE,
        "requests",
        "Requests under which workers ended that this node knows, by state.",
        "The `quarantine` lines of the log name them.",
        ("state",),
    ),
    "trefoilpick_quarantine_refusals_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Quarantined requests that this node refused, for its callers or beside its worker.",
        "Find out who sends them: the `request` lines of value quarantined.",
    ),
    "trefoilpick_worker_rate_limit": MetricInfo(
        MetricKind.GAUGE,
        "requests a second",
        "Rate that this node's worker accepts, as it stated last; -1 once it no longer states one.",
        "Find out why the worker is in need.",
    ),
    "trefoilpick_worker_cold_rate": MetricInfo(
        MetricKind.GAUGE,
        "requests a second",
        "Rate to which this node limits requests to its cold worker; -1 once it is warm.",
        "The `worker_cold` lines of the log name the source.",
    ),
    "trefoilpick_cold_probes_total": MetricInfo(
        MetricKind.COUNTER,
        "probes",
        "Requests by which this node asked its worker for how long it stays cold, by result.",
        "If most are unknown, see whether the worker's health answers have the header.",
        ("result",),
    ),
    "trefoilpick_task_failures_total": MetricInfo(
        MetricKind.COUNTER,
        "failures",
        "Unexpected errors of the node's background tasks, each started again, by task.",
        "Report the traceback in the log.",
        ("task",),
    ),
    "trefoilpick_control_links_refused_total": MetricInfo(
        MetricKind.COUNTER,
        "links",
        "Control links refused, by reason.",
        "Reason key indicates a node with different CURVE keys.",
        ("reason",),
    ),
    "trefoilpick_control_messages_dropped_total": MetricInfo(
        MetricKind.COUNTER,
        "messages",
        "Control messages dropped before they were sent, by reason.",
        "Look at the network between this VM and its peers.",
        ("reason",),
    ),
    "trefoilpick_control_messages_refused_total": MetricInfo(
        MetricKind.COUNTER,
        "messages",
        "Control messages received and rejected, by reason.",
        "Reasons replayed and unmatched are late messages; investigate malformed ones.",
        ("reason",),
    ),
    "trefoilpick_fetches_total": MetricInfo(
        MetricKind.COUNTER,
        "fetches",
        "Versions fetched from peers.",
        "None.",
    ),
    "trefoilpick_fetch_failures_total": MetricInfo(
        MetricKind.COUNTER,
        "fetches",
        "Fetches from peers that failed, by kind of error.",
        "The node asks another peer; many failures indicate a partition.",
        ("kind",),
    ),
    "trefoilpick_log_lines_omitted_total": MetricInfo(
        MetricKind.COUNTER,
        "lines",
        "Lines of requests omitted because the log's budget was used up, by event.",
        "This grows under load; the counters of requests still include every request.",
        ("event",),
    ),
    "trefoilpick_sightings_total": MetricInfo(
        MetricKind.COUNTER,
        "versions",
        "Newer versions that this node learned of from a request or response of another node.",
        "If it grows steadily, the control links of this node lose announcements.",
    ),
    "trefoilpick_heartbeats_missed_total": MetricInfo(
        MetricKind.COUNTER,
        "heartbeats",
        "Heartbeats to peers without a response.",
        "Many at once indicate a partition or a pause of this VM.",
    ),
    "trefoilpick_pauses_total": MetricInfo(
        MetricKind.COUNTER,
        "pauses",
        "Pauses of the process, after each of which it checks its version before it serves.",
        "If they repeat, look at the VM's host.",
    ),
    "trefoilpick_pause_microseconds": MetricInfo(
        MetricKind.HISTOGRAM,
        "microseconds",
        "Length of pauses of the process.",
        "If they repeat, look at the VM's host.",
    ),
    "trefoilpick_source_reads_total": MetricInfo(
        MetricKind.COUNTER,
        "reads",
        "Reads and watches of the configuration service by this node.",
        "The total of the fleet must stay far below the service's rate limit.",
        ("kind",),
    ),
    "trefoilpick_source_failures_total": MetricInfo(
        MetricKind.COUNTER,
        "reads",
        "Reads of the configuration service that failed, by kind of error.",
        "Restore the service; nodes keep their version in the meantime.",
        ("kind",),
    ),
    "trefoilpick_source_stale_total": MetricInfo(
        MetricKind.COUNTER,
        "reads",
        "Responses of the configuration service that were older than what the node holds.",
        "The service serves old data: look at its replicas.",
    ),
    "trefoilpick_version_number": MetricInfo(
        MetricKind.GAUGE,
        "version",
        "Number of the version that the node enforces.",
        "Nodes that differ for more than 8 s lag: see `trefoilpick status`.",
    ),
    "trefoilpick_versions_enforced_total": MetricInfo(
        MetricKind.COUNTER,
        "versions",
        "Versions that the node enforced.",
        "None.",
    ),
    "trefoilpick_versions_refused_total": MetricInfo(
        MetricKind.COUNTER,
        "versions",
        "Versions that the node refused.",
        "`trefoilpick status` shows the reason; accept a version without the fault.",
    ),
    "trefoilpick_evacuated_data_centres": MetricInfo(
        MetricKind.GAUGE,
        "data centres",
        "Evacuated data centres that the node knows.",
        "It must be the same on all nodes; compare it with the operators' keys in the source.",
    ),
    "trefoilpick_evacuation_refusals_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Requests that this node turned away because its data centre is evacuated.",
        "If it grows for more than 5 s, look for nodes with an older list of VMs.",
    ),
    "trefoilpick_state_changes_total": MetricInfo(
        MetricKind.COUNTER,
        "changes",
        "Changes of state that are logged, by event.",
        "A state that changes many times a minute is unstable: read its log lines.",
        ("event",),
    ),
    "trefoilpick_series_dropped_total": MetricInfo(
        MetricKind.COUNTER,
        "records",
        "Records that were dropped because the node holds the maximum number of series.",
        "Routes are renamed very often; restart the node to discard the old series.",
    ),
    "trefoilpick_process_cpu_seconds": MetricInfo(
        MetricKind.GAUGE,
        "seconds",
        "Total processor time used by the process.",
        "Control alone may use 2.7% of a core; requests add to it.",
    ),
    "trefoilpick_process_resident_bytes": MetricInfo(
        MetricKind.GAUGE,
        "bytes",
        "Resident memory of the process.",
        "Above 64 MB, look at the size of the document and at kept answers.",
    ),
    "trefoilpick_operator_requests_total": MetricInfo(
        MetricKind.COUNTER,
        "requests",
        "Requests on the operators' port, by status code.",
        "Refusals (4xx, 503) indicate a scraper with wrong settings.",
        ("status",),
    ),
}
"""Every metric that the package emits, by name."""
