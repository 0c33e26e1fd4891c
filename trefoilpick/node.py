"""The node: the proxy process beside the worker of one VM.

`open_node` builds a node from settings; a daemon or another program runs it as a task.
"""

from __future__ import annotations

import logging
import random
import time
from typing import TYPE_CHECKING

import curio

from trefoilpick import __version__
from trefoilpick._clock import read_clock
from trefoilpick._counted_source import CountedSource
from trefoilpick._node_status import build_fleet_status, build_node_status
from trefoilpick._task_groups import keep_running, run_until_first_ends
from trefoilpick.callers import open_caller_server
from trefoilpick.choices import explain_choice
from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.distribution import open_distributor
from trefoilpick.errors import TrefoilpickError
from trefoilpick.hopserver import open_hop_server
from trefoilpick.link_scheduler import LinkScheduler
from trefoilpick.links import open_links
from trefoilpick.logs import LOGGER_NAME, Event, open_state_log
from trefoilpick.membership import MembershipTable
from trefoilpick.metrics import Metrics
from trefoilpick.operatorserver import open_operator_server
from trefoilpick.pauses import read_suspended_s
from trefoilpick.requestlogs import open_request_log
from trefoilpick.snapshots import SnapshotCell
from trefoilpick.source import open_source
from trefoilpick.status import Choice, VersionRef
from trefoilpick.version_observer import POLL_INTERVAL_S, VersionObserver
from trefoilpick.vms import Vm

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.callers import CallerServer
    from trefoilpick.conventions import Conventions
    from trefoilpick.distribution import Distributor
    from trefoilpick.hopserver import HopServer
    from trefoilpick.links import Links
    from trefoilpick.settings import Settings
    from trefoilpick.source import Source
    from trefoilpick.status import FleetStatus, NodeStatus

READINESS_INTERVAL_S = 0.5
"""Time between checks for a change of readiness, in seconds."""

EVACUATION_INTERVAL_S = 0.5
"""Time between checks for a change of the evacuated data centres, in seconds: an evacuation may
also end without another list of VMs."""

logger = logging.getLogger(LOGGER_NAME)


class Node:
    """One node: distribution of versions, and the request path.

    Args:
        settings: Checked settings.
        metrics: Metrics of all parts of the node.
        cell: Holds the enforced snapshot.
        membership: The known VMs of the fleet.
        distributor: Receives versions and distributes them to peers.
        hop_server: Accepts requests of other nodes for the worker beside this node.
        caller_server: Accepts callers' requests.
        version_observer: Newer versions that other nodes named in requests and answers.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        metrics: Metrics,
        cell: SnapshotCell,
        membership: MembershipTable,
        distributor: Distributor,
        hop_server: HopServer,
        caller_server: CallerServer,
        version_observer: VersionObserver,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.cell = cell
        self.membership = membership
        self.distributor = distributor
        self.hop_server = hop_server
        self.caller_server = caller_server
        self._version_observer = version_observer
        self._operator_server = open_operator_server(
            settings,
            metrics=metrics,
            describe=self.describe,
            cell=cell,
            query_fleet=self.query_fleet,
            explain=self.explain_choice,
        )
        self._stop_requested = curio.Event()
        self._is_leaving = False
        self._started_s = read_clock()
        self._log = distributor.log

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts callers' requests and is not leaving."""
        return not self._is_leaving and self.distributor.is_ready

    async def run(self) -> None:
        """Serve until `request_stop`, then drain and return.

        Raises:
            Exception: The exception of the first part of the node that failed.
        """
        self._log.report(Event.NODE, "serving", version=__version__)
        await run_until_first_ends(
            self.distributor.run,
            self.hop_server.run,
            self.caller_server.run,
            self._operator_server.run,
            keep_running(
                self._fetch_observed_versions, name="fetch_observed_versions", metrics=self.metrics
            ),
            self._drain_when_stopped,
            keep_running(self._report_readiness, name="report_readiness", metrics=self.metrics),
            keep_running(self._report_evacuations, name="report_evacuations", metrics=self.metrics),
        )
        self._log.report(Event.NODE, "stopped")

    async def request_stop(self) -> None:
        """Begin a graceful shutdown; further calls have no effect."""
        await self._stop_requested.set()

    def apply_settings(self, settings: Settings) -> None:
        """Apply the sections of changed settings that do not need a restart."""
        self.settings = settings
        self.caller_server.drain_settings = settings.drain
        self.hop_server.drain_settings = settings.drain
        self.distributor.apply_source_settings(settings.source)

    def describe(self) -> NodeStatus:
        """Return the node's state for operators."""
        return build_node_status(
            self.settings.vm,
            control=self.distributor.describe(),
            load=self.hop_server.measure_load(),
            uptime_s=read_clock() - self._started_s,
            leaving=self._is_leaving,
            quarantine=self.distributor.quarantine.gate.describe(),
            evacuated=self.membership.list_evacuated(),
        )

    def explain_choice(self, host: str, method: str, path: str) -> Choice:
        """Return where a request would go now, and why, without sending it."""
        vm, snapshot = self.settings.vm.name, self.cell.current
        if snapshot is None:
            return Choice(vm, refusal="the node does not enforce a version yet")
        balancer = self.caller_server.balancer
        try:
            return explain_choice(
                balancer,
                snapshot,
                self.membership.list_vms(),
                host=host,
                method=method,
                path=path,
                now=read_clock(),
            )
        except TrefoilpickError as error:
            version = VersionRef(snapshot.version.number, snapshot.version.digest)
            return Choice(vm, version, refusal=f"{error.kind.value}: {error.text}")

    async def query_fleet(self) -> FleetStatus:
        """Query all other nodes for their state."""
        began_s = read_clock()
        peers = await self.distributor.collect_peer_statuses()
        took_s = read_clock() - began_s
        return build_fleet_status(
            self.describe(),
            peers,
            self.membership,
            operator_port=self.settings.listen.operator_port,
            took_s=took_s,
        )

    async def _report_readiness(self) -> None:
        was_ready: bool | None = None
        while True:
            is_ready = self.is_ready
            if is_ready is not was_ready:
                reasons = self.describe().reasons
                value = "ready" if is_ready else "not_ready"
                self._log.report(Event.READINESS, value, reasons=reasons)
                was_ready = is_ready
            await curio.sleep(READINESS_INTERVAL_S)

    async def _report_evacuations(self) -> None:
        known: frozenset[str] = frozenset()
        while True:
            evacuated = frozenset(self.membership.list_evacuated())
            for data_centre in sorted(known ^ evacuated):
                value = "begun" if data_centre in evacuated else "ended"
                self._log.report(Event.EVACUATION, value, subject=data_centre)
            self.metrics.set_gauge("trefoilpick_evacuated_data_centres", len(evacuated))
            known = evacuated
            await curio.sleep(EVACUATION_INTERVAL_S)

    async def _fetch_observed_versions(self) -> None:
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            observation = self._version_observer.pop()
            if observation is not None:
                version = observation.version
                await self.distributor.record_version(
                    observation.vm, version.number, version.digest
                )

    async def _drain_when_stopped(self) -> None:
        await self._stop_requested.wait()
        self._is_leaving = True
        self._log.report(Event.NODE, "draining")
        async with curio.TaskGroup() as drains:
            await drains.spawn(self.caller_server.drain)
            await drains.spawn(self._drain_hops)

    async def _drain_hops(self) -> None:
        """Announce to peers that this node is leaving, and drain the hops.

        If peers are served while draining, callers are notified before peers are.
        """
        drain = self.settings.drain
        notice_s = drain.bounded_notice_ms / 1000
        if self.hop_server.serves_peers_while_draining:
            drain_s = (drain.bounded_notice_ms + drain.bounded_limit_ms) / 1000
            self.hop_server.ends_at_s = read_clock() + drain_s
            await curio.sleep(max(notice_s - drain.peer_notice_ms / 1000, 0.0))
        try:
            await self.distributor.announce_leaving()
        except Exception:
            # A failed announcement must not cut the requests that are being drained.
            logger.exception("the announcement that the node is leaving failed")
        await self.hop_server.drain()


def open_node(
    settings: Settings,
    *,
    source: Source | None = None,
    links: Links | None = None,
    rng: random.Random | None = None,
    incarnation: int | None = None,
    cell: SnapshotCell | None = None,
    read_suspended: Callable[[], float] = read_suspended_s,
    conventions: Conventions = DEFAULT_CONVENTIONS,
) -> Node:
    """Build a node. Its ports listen at once, and it serves once it runs.

    Args:
        settings: Checked settings.
        source: The configuration service; by default the one in the settings.
        links: Links to peers; by default over ZeroMQ.
        rng: Source of random numbers; by default seeded by the system.
        incarnation: Start of the process, in nanoseconds since the Unix epoch; by default now.
        cell: Holds the enforced snapshot; by default a new one.
        read_suspended: Returns how long the VM has been suspended, in seconds.
        conventions: Headers of the fleet.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, if an address cannot be listened on.
    """
    metrics = Metrics()
    cell = cell or SnapshotCell()
    own_vm = build_own_vm(settings)
    membership = MembershipTable(
        own_vm,
        listed_only=settings.control.listed_only,
        names_service=lambda service: cell.current is None or service in cell.current.upstreams,
    )
    rng = rng or random.Random()
    incarnation = time.time_ns() if incarnation is None else incarnation
    distributor = open_distributor(
        settings,
        own=own_vm,
        source=CountedSource(source or open_source(settings.source), metrics),
        links=links or open_links(settings, incarnation=incarnation, metrics=metrics),
        cell=cell,
        membership=membership,
        metrics=metrics,
        log=open_state_log(settings.vm, incarnation=incarnation, metrics=metrics),
        random=rng,
        read_suspended=read_suspended,
    )
    version_observer = VersionObserver(cell, metrics)
    request_log = open_request_log(settings.vm.name, incarnation=incarnation, metrics=metrics)
    link = LinkScheduler(settings.link.mbps, cell=cell, metrics=metrics)
    hop_server = open_hop_server(
        settings,
        cell=cell,
        metrics=metrics,
        is_up_to_date=lambda: distributor.is_up_to_date,
        incarnation=incarnation,
        record_version=version_observer.record,
        find_listed_vm=lambda: membership.find_listed(own_vm.name),
        gate=distributor.quarantine.gate,
        report_end=distributor.quarantine.report_end,
        conventions=conventions,
        log=request_log,
        link=link,
    )
    caller_server = open_caller_server(
        settings,
        cell=cell,
        directory=membership,
        metrics=metrics,
        is_ready=lambda: distributor.is_ready,
        is_up_to_date=lambda: distributor.is_up_to_date,
        may_be_behind=lambda: distributor.may_be_behind,
        random=rng,
        record_version=version_observer.record,
        gate=distributor.quarantine.gate,
        conventions=conventions,
        log=request_log,
        running=hop_server.running_requests,
        link=link,
    )
    return Node(
        settings,
        metrics=metrics,
        cell=cell,
        membership=membership,
        distributor=distributor,
        hop_server=hop_server,
        caller_server=caller_server,
        version_observer=version_observer,
    )


def build_own_vm(settings: Settings) -> Vm:
    """Return the node's own VM in the form of the platform's list."""
    return Vm(
        name=settings.vm.name,
        region=settings.vm.region,
        data_centre=settings.vm.data_centre,
        service=settings.vm.service,
        host=settings.listen.host,
        control_port=settings.listen.control_port,
        hop_port=settings.listen.hop_port,
    )
