"""Distribution of configuration versions between nodes, as run by one node."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import keep_running, run_until_first_ends
from trefoilpick.enforcement import Enforcer
from trefoilpick.errors import TrefoilpickError
from trefoilpick.fetchers import ListFetcher, VersionFetcher
from trefoilpick.joining import Joiner
from trefoilpick.logs import Event
from trefoilpick.manifest import VersionId
from trefoilpick.message_handlers import format_control_address, handle_message
from trefoilpick.messages import (
    Announcement,
    Exchange,
    Leaving,
    LeftWorker,
    StatusAnswer,
    StatusRequest,
    WireVersion,
    pack_version,
    unpack_version,
)
from trefoilpick.overlay import OVERLAYS, OverlayView, list_targets
from trefoilpick.pauses import PauseDetector, read_suspended_s
from trefoilpick.peers import PeerTable, build_peer_status, classify_standing, convert_status_answer
from trefoilpick.quarantine import QuarantineTable
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.quarantine_sync import SPREAD_GAP_S, QuarantineSync
from trefoilpick.ratelimits import TokenBucket
from trefoilpick.reader_election import OTHER_BURST, ReaderElection
from trefoilpick.revisions import format_revision
from trefoilpick.source_reader import SourceReader
from trefoilpick.state_exchanges import StateExchanger
from trefoilpick.status import PeerStatus, Standing
from trefoilpick.versions import VersionStore
from trefoilpick.vms import WorkerIdentity

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterator
    from random import Random
    from typing import Any

    from trefoilpick.links import Links
    from trefoilpick.logs import StateLog
    from trefoilpick.membership import MembershipTable
    from trefoilpick.messages import Body, Envelope
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import ControlSettings, Settings, SourceSettings
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.source import Source
    from trefoilpick.status import EnforcedVersion, RefusedVersion
    from trefoilpick.vms import Vm

DELIVERIES_PER_S = 200.0
"""Maximum rate of deliveries to peers, in deliveries per second."""

LIST_ANNOUNCEMENT_GAP_S = 0.1
"""Shortest time between two announcements of lists, in seconds: while VMs register one after the
other, each reader adopts a list of its own several times a second."""

MAX_STATUS_REQUESTS = 16
"""Maximum number of concurrent status requests to peers."""

MAX_READER_AGE_S = 5.0
"""Maximum age of the last known read by a reader of the data centre for which a node on a
low-bandwidth link relies on the readers, in seconds; covers several exchanges."""

MAX_AWAITED_S = 8.0
"""Time for which a version known by name only is awaited, in seconds: one that exists is in force
everywhere within this time."""

RESTART_READS_PER_VM = 2.0
"""Reads that each VM makes when the whole fleet restarts, which are spread over time."""


@dataclass(frozen=True)
class ControlStatus:
    """State of a node's distribution, for operators.

    Attributes:
        enforced: Version in force; None if there is none.
        held: Newest version held; None if there is none.
        newest_known: Newest version known to exist, held or not.
        is_ready: Whether the node may serve.
        is_up_to_date: Whether its state was refreshed by a peer or the source since its last pause.
        is_reader: Whether it reads the source and the source answers.
        unconfirmed: Whether its version has not been confirmed since it joined.
        source_age_s: Time since the source last answered a reader of its data centre, in seconds;
            None if it never did.
        vms_revision: Revision of its list of VMs.
        vms_known: Number of VMs that it knows.
        peers: Peers whose state it has received.
        enforced_versions: Last versions that it enforced, newest first.
        refused: Last versions that it refused, newest first.
        bytes_sent: Control bytes sent.
        bytes_received: Control bytes received.
        source_reads: Reads and watches of the source.
    """

    enforced: VersionId | None
    held: VersionId | None
    newest_known: VersionId | None
    is_ready: bool
    is_up_to_date: bool
    is_reader: bool
    unconfirmed: bool
    source_age_s: float | None
    vms_revision: int
    vms_known: int
    peers: tuple[PeerStatus, ...]
    enforced_versions: tuple[EnforcedVersion, ...]
    refused: tuple[RefusedVersion, ...]
    bytes_sent: int
    bytes_received: int
    source_reads: int


class Distributor:
    """Runs the distribution of versions on one node. Created by `open_distributor`."""

    def __init__(
        self,
        own: Vm,
        control: ControlSettings,
        *,
        source_settings: SourceSettings,
        source: Source,
        links: Links,
        cell: SnapshotCell,
        membership: MembershipTable,
        metrics: Metrics,
        log: StateLog,
        random: Random,
        read_suspended: Callable[[], float],
    ) -> None:
        self.own = own
        self.overlay = OVERLAYS[control.overlay]
        self.links = links
        self.membership = membership
        self.random = random
        self.metrics = metrics
        self.log = log
        self.store = VersionStore()
        self.answer_timeout_s = control.answer_ms / 1000
        self.source_backoff_s = source_settings.backoff_ms / 1000
        self._control = control
        self._join_wait_s = control.join_wait_ms / 1000
        self._deliveries = TokenBucket(DELIVERIES_PER_S, DELIVERIES_PER_S)
        self._peers = PeerTable(membership)
        self._cases_changed = curio.Event()
        self.quarantine = QuarantineSync(
            own.name,
            QuarantineGate(
                own.name,
                QuarantineTable(),
                list_endpoints=membership.list_endpoints,
                metrics=metrics,
                log=log,
            ),
            list_alive=membership.list_alive,
            list_targets=self._list_targets,
            send=self._send_to,
            request_spread=self._cases_changed.set,
        )
        self._list_changed = curio.Event()
        self._resumed_s = float("-inf")
        self._is_leaving = False
        self._was_ready = False
        self._awaited: VersionId | None = None
        self._awaited_since_s = float("-inf")
        self.enforcer = Enforcer(store=self.store, cell=cell, metrics=metrics, log=log)
        budget = TokenBucket(1.0, OTHER_BURST)
        self.reader = SourceReader(
            source,
            store=self.store,
            membership=membership,
            budget=budget,
            metrics=metrics,
            log=log,
            random=random,
            on_version_added=self._on_version_added,
            on_list_adopted=self._on_list_adopted,
            on_availability_changed=self._on_availability_changed,
            settings=source_settings,
        )
        self._reader_election = ReaderElection(
            control,
            overlay=self.overlay,
            view=self.build_view,
            membership=membership,
            reader=self.reader,
            budget=budget,
            random=random,
            report_availability=self._send_state,
        )
        self._versions = VersionFetcher(
            store=self.store,
            links=links,
            reader=self.reader,
            metrics=metrics,
            answer_timeout_s=2 * self.answer_timeout_s,
            on_version_added=self._on_version_added,
        )
        self._lists = ListFetcher(
            membership=membership,
            links=links,
            metrics=metrics,
            answer_timeout_s=2 * self.answer_timeout_s,
            on_list_adopted=self._on_list_adopted,
        )
        self._joiner = Joiner(self, wait_s=self._join_wait_s)
        self._exchanger = StateExchanger(self, interval_s=control.exchange_ms / 1000)
        self._pauses = PauseDetector(
            control.pause_ms / 1000, on_pause=self._on_pause, read_suspended=read_suspended
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node has joined: it enforces a version and knows of no newer one.

        After a bounded wait the node is ready with any version it enforces. Once ready, it stays
        ready.
        """
        if not self._was_ready and self.enforcer.enforced is not None:
            self._was_ready = self._joiner.is_wait_over or (
                self._joiner.is_confirmed and not self._is_behind()
            )
        return self._was_ready

    @property
    def is_up_to_date(self) -> bool:
        """Whether a peer or the source has answered a request made since the last pause.

        If the answer reveals a newer version, the node is not up to date until it has fetched that
        version or a bounded wait is over.
        """
        if self._pauses.measure():
            return False
        if (
            max(self._exchanger.answered_request_s, self.reader.answered_request_s)
            < self._resumed_s
        ):
            return False
        return read_clock() > self._resumed_s + self._join_wait_s or not self._is_behind()

    @property
    def may_be_behind(self) -> bool:
        """Whether there may be a version that the node does not enforce yet.

        It knows of a newer one that it has not refused, for a bounded wait, as a lost version never
        arrives; or the source has not confirmed any since it joined.
        """
        return self._awaits_version() or not self._joiner.has_source_answered

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the node's version has not been confirmed since it joined."""
        return not self._joiner.is_confirmed

    async def run(self) -> None:
        """Run all tasks of the distribution until cancelled."""
        tasks: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "read_source": self.reader.run,
            "elect_readers": self._reader_election.run,
            "fetch_versions": self._versions.run,
            "fetch_lists": self._lists.run,
            "detect_pauses": self._pauses.run,
            "join": self._joiner.run,
            "exchange_state": self._exchanger.run,
            "announce_lists": self._announce_lists,
            "spread_cases": self._spread_cases,
        }
        await run_until_first_ends(
            partial(self.links.run, self._handle_request),
            *(keep_running(task, name=name, metrics=self.metrics) for name, task in tasks.items()),
        )

    def apply_source_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and intervals of the source."""
        self.reader.apply_settings(settings)

    async def announce_leaving(self) -> None:
        """Announce to peers that this node accepts no new work from now on."""
        self._is_leaving = True
        for vm in self._list_targets():
            await self._send_to(vm, Leaving())

    async def record_version(self, vm_name: str, number: int, digest: str) -> None:
        """Record the version named in a peer's request or answer, and fetch it if it is newer.

        Args:
            vm_name: The peer's VM.
            number: Version number that the peer enforces; 0 for none.
            digest: Digest of that version.
        """
        vm = self.membership.find_vm(vm_name)
        if vm is not None and number > 0:
            await self._versions.add_offer(VersionId(number, digest), format_control_address(vm))

    async def collect_peer_statuses(self) -> tuple[PeerStatus, ...]:
        """Request the status of every other known VM, a few at a time.

        Returns:
            One entry per VM, ordered by name; VMs that did not answer are unreachable.
        """
        remaining = [vm for vm in self.membership.list_vms() if vm.name != self.own.name]
        statuses: list[PeerStatus] = []

        async def request_remaining() -> None:
            while remaining:
                statuses.append(await self._request_status(remaining.pop()))

        async with curio.TaskGroup() as group:
            for _ in range(MAX_STATUS_REQUESTS):
                await group.spawn(request_remaining)
        return tuple(sorted(statuses, key=lambda status: status.vm))

    def describe(self) -> ControlStatus:
        """Return the node's state for operators."""
        newest = max(self._list_known_versions(), default=None)
        return ControlStatus(
            enforced=self.enforcer.enforced,
            held=self.store.newest,
            newest_known=newest,
            is_ready=self.is_ready,
            is_up_to_date=self.is_up_to_date,
            is_reader=self.reader.is_reading,
            unconfirmed=self.is_unconfirmed,
            source_age_s=self._reader_election.measure_source_age(),
            vms_revision=self.membership.revision,
            vms_known=len(self.membership.list_vms()),
            peers=tuple(self._peers.list_peers(newest)),
            enforced_versions=self.enforcer.enforced_versions,
            refused=self.enforcer.refused_versions,
            bytes_sent=self.links.traffic.sent,
            bytes_received=self.links.traffic.received,
            source_reads=self.metrics.get_count("trefoilpick_source_reads_total"),
        )

    def build_view(self) -> OverlayView:
        """Return the node's current view of the fleet."""
        control = self._control
        return OverlayView(
            self.own,
            self.membership.list_alive(),
            control.readers,
            control.small_fleet,
            self.membership.list_low_bandwidth(is_low_bandwidth=control.thin_link),
        )

    def build_state(self) -> Exchange:
        """Return the node's state as sent in heartbeats."""
        return Exchange(
            held=pack_version(self.store.newest),
            enforced=pack_version(self.enforcer.enforced),
            vms_revision=self.membership.revision,
            reader_age_ms=self._reader_election.get_reader_age_ms(),
            leaving=self._is_leaving,
            has_low_bandwidth_link=self._control.thin_link,
            left_workers=tuple(
                LeftWorker(name, worker.worker, worker.started_ms)
                for name, worker in self.membership.list_left_workers()
            ),
            substitutes=self._reader_election.list_substitutes(),
            cases=self.quarantine.list_exchanged(),
        )

    def build_status_answer(self) -> StatusAnswer:
        """Return the node's status for operators of other nodes."""
        return StatusAnswer(
            enforced=pack_version(self.enforcer.enforced),
            held=pack_version(self.store.newest),
            refused=self.enforcer.find_refusal(self.store.newest),
            is_reader=self.reader.is_reading,
            unconfirmed=self.is_unconfirmed,
            enforced_ms=int((read_clock() - self.enforcer.enforced_s) * 1000),
        )

    @property
    def relies_on_readers(self) -> bool:
        """Whether the node, on a low-bandwidth link, can rely on a reader that read recently."""
        age_s = self._reader_election.measure_source_age()
        is_fresh = age_s is not None and age_s < MAX_READER_AGE_S
        return self._control.thin_link and is_fresh and self.store.newest is not None

    @property
    def has_low_bandwidth_link(self) -> bool:
        """Whether its link has too little bandwidth to read the source while other nodes can."""
        return self._control.thin_link

    def grant_delivery(self) -> bool:
        """Return whether the rate limit allows another delivery, and count it if so."""
        return self._deliveries.try_acquire()

    def draw_source_delay(self) -> float:
        """Return a random delay before the first read, in seconds.

        The spread keeps a restart of the whole fleet within the source's read budget.
        """
        vms = max(self._control.expected_vms, len(self.membership.list_vms()))
        return self.random.uniform(
            0.0, RESTART_READS_PER_VM * vms / self._control.source_reads_per_s
        )

    def shuffle_seeds(self) -> tuple[str, ...]:
        """Return the addresses to contact before the list of VMs is known, in random order."""
        seeds = [seed for seed in self._control.seeds if seed != format_control_address(self.own)]
        self.random.shuffle(seeds)
        return tuple(seeds)

    def was_paused_since(self, moment_s: float) -> bool:
        """Return whether the process was paused after a moment of the monotonic clock."""
        return moment_s < self._resumed_s or self._pauses.measure() > 0

    async def handle_answer(self, answer: Envelope, address: str) -> None:
        """Handle a peer's answer, which may have any content.

        Args:
            answer: The answer.
            address: "ip:port" of the peer.
        """
        self.membership.record_alive(answer.vm, answer.incarnation, is_current=True)
        if isinstance(answer.body, Exchange):
            await self.handle_state(answer.body, answer.vm, address)

    async def handle_state(self, state: Exchange, name: str, address: str) -> None:
        """Record the state of a peer and the versions that it offers.

        Args:
            state: The state.
            name: The peer's VM.
            address: "ip:port" of the peer.
        """
        vm = self.membership.find_vm(name)
        if vm is not None:
            self._peers.record_state(name, state.held, state.enforced, state.vms_revision)
            self.membership.record_link(name, is_low_bandwidth=state.has_low_bandwidth_link)
            if state.leaving:
                self.membership.record_leaving(name)
            if vm.data_centre == self.own.data_centre:
                self._reader_election.record_reader_age(state.reader_age_ms / 1000)
                await self._reader_election.record_substitutes(name, state.substitutes)
        for left in state.left_workers:
            worker = WorkerIdentity(left.worker, left.started_ms)
            self.membership.record_worker_left(left.vm, worker)
        if vm is not None and state.cases:
            await self.quarantine.handle_cases(state.cases, name)
        await self._add_offers(state.held, state.vms_revision, address)

    async def handle_announcement(self, announcement: Announcement, vm: Vm) -> None:
        """Record the versions that a peer announces."""
        held, vms_revision = announcement.held, announcement.vms_revision
        self._peers.record_announcement(vm.name, held, vms_revision)
        await self._add_offers(held, vms_revision, format_control_address(vm))

    async def _add_offers(self, held: WireVersion, vms_revision: int, address: str) -> None:
        version = unpack_version(held)
        if version is not None:
            await self._versions.add_offer(version, address)
        await self._lists.add_offer(vms_revision, address)

    async def _handle_request(self, envelope: Envelope) -> Body | None:
        self.membership.record_alive(envelope.vm, envelope.incarnation)
        return await handle_message(envelope.body, self, envelope.vm)

    async def _on_version_added(self) -> None:
        try:
            await self._announce()
            # Lets the announcements go out, so that peers fetch while this node checks the version.
            await curio.sleep(0)
        finally:
            # Nothing calls this again for a version that is held, whatever ended the announcement.
            self.enforcer.enforce_newest()
            self.store.drop_unused(enforced=self.enforcer.enforced)

    async def _on_list_adopted(self) -> None:
        self.log.report(Event.VM_LIST, format_revision(self.membership.revision))
        self._peers.drop_removed()
        await self._list_changed.set()

    async def _on_availability_changed(self) -> None:
        await self._reader_election.wake()

    def _list_targets(self) -> tuple[Vm, ...]:
        return list_targets(self.overlay, self.build_view(), self.random)

    async def _send_to(self, vm: Vm, body: Body) -> None:
        await self.links.send(format_control_address(vm), body)

    async def _send_state(self, vms: tuple[Vm, ...]) -> None:
        state = self.build_state()
        for vm in vms:
            await self._send_to(vm, state)

    async def _announce_lists(self) -> None:
        await _act_on_changes(self._list_changed, self._announce, gap_s=LIST_ANNOUNCEMENT_GAP_S)

    async def _spread_cases(self) -> None:
        await _act_on_changes(self._cases_changed, self.quarantine.spread, gap_s=SPREAD_GAP_S)

    async def _announce(self) -> None:
        announcement = Announcement(pack_version(self.store.newest), self.membership.revision)
        for vm in self._list_targets():
            if not self._peers.is_known_to_hold(
                vm.name, announcement.held, announcement.vms_revision
            ):
                await self._send_to(vm, announcement)

    async def _on_pause(self, pause_s: float) -> None:
        self._resumed_s = read_clock()
        self.metrics.count("trefoilpick_pauses_total")
        self.metrics.observe("trefoilpick_pause_microseconds", pause_s * 1_000_000)
        await self._exchanger.exchange_now()

    def _is_behind(self) -> bool:
        newest = max(self._list_known_versions(), default=None)
        return newest is not None and newest != self.store.newest

    def _awaits_version(self) -> bool:
        newest = max(self._list_known_versions(), default=None)
        if newest == self.enforcer.enforced or self.enforcer.find_refusal(newest):
            return False
        if newest != self._awaited:
            self._awaited, self._awaited_since_s = newest, read_clock()
        return read_clock() <= self._awaited_since_s + MAX_AWAITED_S

    def _list_known_versions(self) -> Iterator[VersionId]:
        for version in (self.store.newest, self.reader.newest, self._versions.newest):
            if version is not None:
                yield version

    async def _request_status(self, vm: Vm) -> PeerStatus:
        newest = max(self._list_known_versions(), default=None)
        try:
            answer = await self.links.request(
                format_control_address(vm), StatusRequest(), timeout_s=self.answer_timeout_s
            )
        except TrefoilpickError as error:
            return build_peer_status(vm, Standing.UNREACHABLE, reason=error.text)
        if isinstance(answer.body, StatusAnswer):
            return convert_status_answer(vm, answer.body, newest)
        return build_peer_status(vm, classify_standing(None, newest), reason="sent no status")


async def _act_on_changes(
    changed: curio.Event, act: Callable[[], Awaitable[None]], *, gap_s: float
) -> None:
    """Act on changes until cancelled; those in quick succession are treated as one.

    Args:
        changed: Set when there is a change.
        act: Called after a change.
        gap_s: Shortest time between two calls, in seconds.
    """
    while True:
        await changed.wait()
        changed.clear()
        await act()
        await curio.sleep(gap_s)


def open_distributor(
    settings: Settings,
    *,
    own: Vm,
    source: Source,
    links: Links,
    cell: SnapshotCell,
    membership: MembershipTable,
    metrics: Metrics,
    log: StateLog,
    random: Random,
    read_suspended: Callable[[], float] = read_suspended_s,
) -> Distributor:
    """Create a node's distributor; `run` starts it.

    Args:
        settings: The node's settings.
        own: The node's own VM.
        source: The configuration service.
        links: Control links to peers.
        cell: Receives the enforced snapshot.
        membership: The VMs of the fleet.
        metrics: Metrics of the node.
        log: Log of state changes.
        random: Random number generator.
        read_suspended: Returns how long the VM has been suspended, in seconds.
    """
    return Distributor(
        own,
        settings.control,
        source_settings=settings.source,
        source=source,
        links=links,
        cell=cell,
        membership=membership,
        metrics=metrics,
        log=log,
        random=random,
        read_suspended=read_suspended,
    )
