"""Distribution of versions between nodes: one node's part of it."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import run_until_first_ends
from trefoilpick.answering import answer_body, name_address
from trefoilpick.enforcement import Enforcer
from trefoilpick.errors import TrefoilpickError
from trefoilpick.exchanges import Exchanger
from trefoilpick.joining import Joiner
from trefoilpick.logs import Event
from trefoilpick.manifest import VersionId
from trefoilpick.messages import (
    Announcement,
    Exchange,
    Leaving,
    StatusAnswer,
    StatusRequest,
    WireVersion,
    pack_version,
    unpack_version,
)
from trefoilpick.overlay import OVERLAYS, OverlayView, list_targets
from trefoilpick.pauses import PauseWatch, read_suspended_s
from trefoilpick.peers import PeerTable, judge_standing, make_status, read_answer
from trefoilpick.ratelimits import TokenBucket
from trefoilpick.readership import OTHER_BURST, Readership
from trefoilpick.reading import SourceReader
from trefoilpick.relay import ListFetcher, VersionFetcher
from trefoilpick.status import PeerStatus, Standing
from trefoilpick.versions import VersionStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from trefoilpick.links import Links
    from trefoilpick.logs import StateLog
    from trefoilpick.messages import Body, Envelope
    from trefoilpick.metrics import Metrics
    from trefoilpick.roster import Roster
    from trefoilpick.settings import ControlSettings, Settings, SourceSettings
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.source import Source
    from trefoilpick.status import EnforcedVersion, RefusedVersion
    from trefoilpick.vms import Vm

DELIVERIES_PER_S = 200.0
"""Deliveries that a node gives to its peers, per second."""

SWEEP_TASKS = 16
"""Peers asked at a time for their state."""

FOLLOWED_S = 5.0
"""Time since a reader of the data centre was known to read for which it is followed, in seconds:
several exchanges."""

HERD_SPREAD = 2.0
"""Reads of each VM that a restart of the whole fleet is spread for."""


@dataclass(frozen=True)
class ControlStatus:
    """State of a node's distribution, for operators.

    Attributes:
        enforced: Version in force; None for none.
        held: Newest version held; None for none.
        newest_known: Newest version heard of, held or not.
        is_ready: Whether the node may serve.
        is_level: Whether it heard of the fleet since its last pause.
        is_reader: Whether it reads the source.
        unconfirmed: Whether it serves a version that was not confirmed since it joined.
        source_age_s: Time since the source was known to answer in its data centre, in seconds;
            None for never.
        vms_revision: Revision of its list of VMs.
        vms_known: VMs that it knows of.
        peers: Peers that it heard from.
        enforced_versions: The last versions that it enforced, the newest first.
        refused: The last versions that it refused, the newest first.
        bytes_sent: Control bytes sent.
        bytes_received: Control bytes received.
        source_reads: Reads and watches of the source.
    """

    enforced: VersionId | None
    held: VersionId | None
    newest_known: VersionId | None
    is_ready: bool
    is_level: bool
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
    """One node's part in the distribution of versions. Made by `open_distributor`."""

    def __init__(
        self,
        own: Vm,
        control: ControlSettings,
        *,
        source_settings: SourceSettings,
        source: Source,
        links: Links,
        cell: SnapshotCell,
        roster: Roster,
        metrics: Metrics,
        log: StateLog,
        random: Random,
        read_suspended: Callable[[], float],
    ) -> None:
        self.own = own
        self.overlay = OVERLAYS[control.overlay]
        self.links = links
        self.roster = roster
        self.random = random
        self.metrics = metrics
        self.log = log
        self.store = VersionStore()
        self.answer_s = control.answer_ms / 1000
        self.source_backoff_s = source_settings.backoff_ms / 1000
        self._control = control
        self._wait_s = control.join_wait_ms / 1000
        self._deliveries = TokenBucket(DELIVERIES_PER_S, DELIVERIES_PER_S)
        self._peers = PeerTable(roster)
        self._woke_s = float("-inf")
        self._leaving = False
        self._was_ready = False
        self.enforcer = Enforcer(store=self.store, cell=cell, metrics=metrics, log=log)
        budget = TokenBucket(1.0, OTHER_BURST)
        self.reader = SourceReader(
            source,
            store=self.store,
            roster=roster,
            budget=budget,
            metrics=metrics,
            log=log,
            random=random,
            note_held=self._note_held,
            note_list=self._note_list,
            settings=source_settings,
        )
        self._readership = Readership(
            control,
            overlay=self.overlay,
            view=self.view,
            roster=roster,
            reader=self.reader,
            budget=budget,
            random=random,
        )
        self._versions = VersionFetcher(
            store=self.store,
            links=links,
            reader=self.reader,
            metrics=metrics,
            answer_s=2 * self.answer_s,
            note_held=self._note_held,
        )
        self._lists = ListFetcher(
            roster=roster,
            links=links,
            metrics=metrics,
            answer_s=2 * self.answer_s,
            note_list=self._note_list,
        )
        self._joiner = Joiner(self, wait_s=self._wait_s)
        self._exchanger = Exchanger(self, pause_s=control.exchange_ms / 1000)
        self._pauses = PauseWatch(
            control.pause_ms / 1000, note_pause=self._note_pause, read_suspended=read_suspended
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node joined: it enforces a version and knows of no newer one.

        After a bounded wait it is ready with what it enforces. Once ready it stays so.
        """
        if not self._was_ready and self.enforcer.enforced is not None:
            self._was_ready = self._joiner.is_over or (
                self._joiner.is_confirmed and not self._lags()
            )
        return self._was_ready

    @property
    def is_level(self) -> bool:
        """Whether a peer or the source answered what the node asked since its last pause.

        Where the answer tells of a newer version, the node fetches it first, for a bounded time.
        """
        if self._pauses.measure():
            return False
        if max(self._exchanger.asked_s, self.reader.asked_s) < self._woke_s:
            return False
        return read_clock() > self._woke_s + self._wait_s or not self._lags()

    @property
    def unconfirmed(self) -> bool:
        """Whether the node's version was not confirmed since it joined."""
        return not self._joiner.is_confirmed

    async def run(self) -> None:
        """Take part in the distribution until cancelled."""
        await run_until_first_ends(
            partial(self.links.run, self._take_request),
            self.reader.run,
            self._readership.run,
            self._versions.run,
            self._lists.run,
            self._pauses.run,
            self._joiner.run,
            self._exchanger.run,
        )

    def apply_source_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times of the source."""
        self.reader.apply_settings(settings)

    async def announce_leaving(self) -> None:
        """Tell peers that this node takes no new work from now on."""
        self._leaving = True
        for vm in list_targets(self.overlay, self.view(), self.random):
            await self.links.tell(name_address(vm), Leaving())

    async def note_version(self, vm_name: str, number: int, digest: str) -> None:
        """Take note of the version that a peer's request or answer named.

        Args:
            vm_name: The peer's VM.
            number: Version number that the peer enforces; 0 for none.
            digest: Digest of that version.
        """
        vm = self.roster.find_vm(vm_name)
        if vm is not None and number > 0:
            await self._versions.hear(VersionId(number, digest), name_address(vm))

    async def collect_fleet(self) -> tuple[PeerStatus, ...]:
        """Ask every other known VM for its state, a few at a time.

        Returns:
            One entry a VM, ordered by name; those that did not answer are unreachable.
        """
        waiting = [vm for vm in self.roster.list_vms() if vm.name != self.own.name]
        found: list[PeerStatus] = []

        async def ask_some() -> None:
            while waiting:
                found.append(await self._ask_status(waiting.pop()))

        async with curio.TaskGroup() as group:
            for _ in range(SWEEP_TASKS):
                await group.spawn(ask_some)
        return tuple(sorted(found, key=lambda status: status.vm))

    def describe(self) -> ControlStatus:
        """Return the node's state for operators."""
        newest = max(self._list_known(), default=None)
        return ControlStatus(
            enforced=self.enforcer.enforced,
            held=self.store.newest,
            newest_known=newest,
            is_ready=self.is_ready,
            is_level=self.is_level,
            is_reader=self.reader.is_reading,
            unconfirmed=self.unconfirmed,
            source_age_s=self._readership.measure_age(),
            vms_revision=self.roster.revision,
            vms_known=len(self.roster.list_vms()),
            peers=tuple(self._peers.list_peers(newest)),
            enforced_versions=self.enforcer.enforced_versions,
            refused=self.enforcer.refused,
            bytes_sent=self.links.traffic.sent,
            bytes_received=self.links.traffic.received,
            source_reads=self.metrics.get_count("trefoilpick_source_reads_total"),
        )

    def view(self) -> OverlayView:
        """Return what the node believes of the fleet."""
        control = self._control
        return OverlayView(
            self.own,
            self.roster.list_alive(),
            control.readers,
            control.small_fleet,
            self.roster.list_thin(is_thin=control.thin_link),
        )

    def tell_state(self) -> Exchange:
        """Return the node's state in few bytes."""
        return Exchange(
            held=pack_version(self.store.newest),
            enforced=pack_version(self.enforcer.enforced),
            vms_revision=self.roster.revision,
            silence_ms=self._readership.tell_silence(),
            leaving=self._leaving,
            has_thin_link=self._control.thin_link,
        )

    def tell_status(self) -> StatusAnswer:
        """Return the node's state in full."""
        return StatusAnswer(
            enforced=pack_version(self.enforcer.enforced),
            held=pack_version(self.store.newest),
            refused=self.enforcer.find_refusal(self.store.newest),
            is_reader=self.reader.is_reading,
            unconfirmed=self.unconfirmed,
            enforced_ms=int((read_clock() - self.enforcer.enforced_s) * 1000),
        )

    @property
    def follows(self) -> bool:
        """Whether the node leaves reading to others, and hears that they read lately."""
        age_s = self._readership.measure_age()
        is_heard = age_s is not None and age_s < FOLLOWED_S
        return self._control.thin_link and is_heard and self.store.newest is not None

    @property
    def has_thin_link(self) -> bool:
        """Whether its link is too thin to read the source while other nodes can."""
        return self._control.thin_link

    def grant_delivery(self) -> bool:
        """Tell whether one more delivery fits in this second."""
        return self._deliveries.try_acquire()

    def draw_source_delay(self) -> float:
        """Return how long to wait before a first read, so that a herd stays within the budget."""
        vms = max(self._control.expected_vms, len(self.roster.list_vms()))
        return self.random.uniform(0.0, HERD_SPREAD * vms / self._control.source_reads_per_s)

    def draw_seeds(self) -> tuple[str, ...]:
        """Return the addresses to ask before the list of VMs is known, in drawn order."""
        seeds = [seed for seed in self._control.seeds if seed != name_address(self.own)]
        self.random.shuffle(seeds)
        return tuple(seeds)

    def paused_since(self, moment_s: float) -> bool:
        """Tell whether the process was paused after a reading of the kernel's clock."""
        return moment_s < self._woke_s or self._pauses.measure() > 0

    async def take_answer(self, answer: Envelope, address: str) -> None:
        """Take the state that a peer answered with.

        Args:
            answer: The answer, of any content.
            address: "ip:port" of the peer.
        """
        self.roster.note_alive(answer.vm, answer.incarnation, is_current=True)
        if isinstance(answer.body, Exchange):
            await self.take_state(answer.body, answer.vm, address)

    async def take_state(self, state: Exchange, name: str, address: str) -> None:
        """Take the state that a peer told.

        Args:
            state: The state.
            name: The peer's VM.
            address: "ip:port" of the peer.
        """
        vm = self.roster.find_vm(name)
        if vm is not None:
            self._peers.note_state(name, state.held, state.enforced, state.vms_revision)
            self.roster.note_link(name, is_thin=state.has_thin_link)
            if state.leaving:
                self.roster.note_leaving(name)
            if vm.data_centre == self.own.data_centre:
                self._readership.note_silence(state.silence_ms / 1000)
        await self._hear(state.held, state.vms_revision, address)

    async def take_announcement(self, announcement: Announcement, vm: Vm) -> None:
        """Take the announcement of a peer."""
        held, vms_revision = announcement.held, announcement.vms_revision
        self._peers.note_announcement(vm.name, held, vms_revision)
        await self._hear(held, vms_revision, name_address(vm))

    async def _hear(self, held: WireVersion, vms_revision: int, address: str) -> None:
        version = unpack_version(held)
        if version is not None:
            await self._versions.hear(version, address)
        await self._lists.hear(vms_revision, address)

    async def _take_request(self, envelope: Envelope) -> Body | None:
        self.roster.note_alive(envelope.vm, envelope.incarnation)
        return await answer_body(envelope.body, self, envelope.vm)

    async def _note_held(self) -> None:
        await self._announce()
        # Peers fetch while this node checks the version.
        await curio.sleep(0)
        self.enforcer.enforce_newest()
        self.store.forget_unused(enforced=self.enforcer.enforced)

    async def _note_list(self) -> None:
        self.log.report(Event.VM_LIST, self.roster.revision)
        self._peers.forget_gone()
        await self._announce()

    async def _announce(self) -> None:
        announcement = Announcement(pack_version(self.store.newest), self.roster.revision)
        for vm in list_targets(self.overlay, self.view(), self.random):
            if not self._peers.has(vm.name, announcement.held, announcement.vms_revision):
                await self.links.tell(name_address(vm), announcement)

    async def _note_pause(self, pause_s: float) -> None:
        self._woke_s = read_clock()
        self.metrics.count("trefoilpick_pauses_total")
        self.metrics.observe("trefoilpick_pause_microseconds", pause_s * 1_000_000)
        await self._exchanger.exchange_now()

    def _lags(self) -> bool:
        newest = max(self._list_known(), default=None)
        return newest is not None and newest != self.store.newest

    def _list_known(self) -> Iterator[VersionId]:
        for version in (self.store.newest, self.reader.newest, self._versions.newest):
            if version is not None:
                yield version

    async def _ask_status(self, vm: Vm) -> PeerStatus:
        newest = max(self._list_known(), default=None)
        try:
            answer = await self.links.ask(
                name_address(vm), StatusRequest(), timeout_s=self.answer_s
            )
        except TrefoilpickError as error:
            return make_status(vm, Standing.UNREACHABLE, reason=error.text)
        if isinstance(answer.body, StatusAnswer):
            return read_answer(vm, answer.body, newest)
        return make_status(vm, judge_standing(None, newest), reason="told no state")


def open_distributor(
    settings: Settings,
    *,
    own: Vm,
    source: Source,
    links: Links,
    cell: SnapshotCell,
    roster: Roster,
    metrics: Metrics,
    log: StateLog,
    random: Random,
    read_suspended: Callable[[], float] = read_suspended_s,
) -> Distributor:
    """Make a node's part of the distribution; `run` starts it.

    Args:
        settings: The node's settings.
        own: The node's own VM.
        source: The configuration service.
        links: How peers are reached.
        cell: Where the enforced snapshot goes.
        roster: The VMs of the fleet.
        metrics: Where events are counted.
        log: Where changes of state are told.
        random: Source of draws.
        read_suspended: Reads how long the VM has been suspended, in seconds.
    """
    return Distributor(
        own,
        settings.control,
        source_settings=settings.source,
        source=source,
        links=links,
        cell=cell,
        roster=roster,
        metrics=metrics,
        log=log,
        random=random,
        read_suspended=read_suspended,
    )
