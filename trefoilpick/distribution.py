"""Distribution of versions between nodes: each node's part of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.answering import answer_body, name_address
from trefoilpick.budgets import Budget
from trefoilpick.enforcement import Convergence, Enforcer, RefusedVersion
from trefoilpick.errors import TrefoilpickError
from trefoilpick.joining import Joiner
from trefoilpick.messages import (
    Announcement,
    Exchange,
    Hello,
    Leaving,
    StatusAnswer,
    StatusRequest,
    WireVersion,
    pack_version,
    unpack_version,
)
from trefoilpick.overlay import (
    OVERLAYS,
    EveryNodeWatches,
    OverlayView,
    find_rank,
    list_local,
    list_targets,
    read_share,
)
from trefoilpick.pauses import PauseWatch, read_suspended_s
from trefoilpick.ranks import order_names
from trefoilpick.reading import SourceReader
from trefoilpick.relay import ListFetcher, VersionFetcher
from trefoilpick.versions import VersionStore

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from trefoilpick.links import Links
    from trefoilpick.manifest import VersionId
    from trefoilpick.messages import Body, Envelope
    from trefoilpick.metrics import Metrics
    from trefoilpick.roster import Roster
    from trefoilpick.settings import ControlSettings, Settings
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.source import Source
    from trefoilpick.vms import Vm

FAR_EXCHANGE = 8
"""One exchange in so many goes to a VM of another data centre."""

SILENT_EXCHANGES = 6
"""Exchanges without news of a reader after which another node takes over."""

READERS_SHARE = 0.9
"""Share of the fleet's reads that the readers have."""

READER_BURST = 200.0
"""Reads that a reader may make at once."""

OTHER_BURST = 4.0
"""Reads that another node may make at once."""

DELIVERIES_PER_S = 200.0
"""Deliveries that a node gives to its peers, per second."""

SWEEP_TASKS = 16
"""Peers asked at a time for their state."""


@dataclass(frozen=True)
class PeerStatus:
    """What a node knows of a peer's version.

    Attributes:
        vm: Name of the peer's VM.
        data_centre: Where it stands.
        enforced: Version that it enforces; None for none.
        held: Newest version that it holds; None for none.
        age_s: Time since it was heard, in seconds.
        note: Why it lags, where that is known.
    """

    vm: str
    data_centre: str
    enforced: VersionId | None
    held: VersionId | None
    age_s: float
    note: str = ""


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
        unconfirmed: Whether it serves a version that nobody confirmed when it joined.
        source_age_s: Time since the source last answered it, in seconds; None for never.
        silence_s: Time since a reader of its data centre was known to read, in seconds.
        vms_revision: Revision of its list of VMs.
        vms_known: VMs that it knows of.
        peers: Peers that it heard from.
        refused: Versions that it refused.
        convergences: Times of the last versions.
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
    silence_s: float
    vms_revision: int
    vms_known: int
    peers: tuple[PeerStatus, ...]
    refused: tuple[RefusedVersion, ...]
    convergences: tuple[Convergence, ...]
    bytes_sent: int
    bytes_received: int
    source_reads: int


@dataclass(frozen=True)
class PeerState:
    """What a peer last told.

    Attributes:
        held: Newest version that it holds.
        enforced: Version that it enforces.
        vms_revision: Revision of its list of VMs.
        heard_s: When, by the kernel's clock.
    """

    held: WireVersion
    enforced: WireVersion
    vms_revision: int
    heard_s: float


class Distributor:
    """One node's part in the distribution of versions. Made by `open_distributor`."""

    def __init__(
        self,
        own: Vm,
        control: ControlSettings,
        *,
        source: Source,
        links: Links,
        cell: SnapshotCell,
        roster: Roster,
        metrics: Metrics,
        random: Random,
        read_suspended: Callable[[], float],
    ) -> None:
        self.own = own
        self.overlay = OVERLAYS[control.overlay]
        self.links = links
        self.roster = roster
        self.random = random
        self.store = VersionStore()
        self.answer_s = control.answer_ms / 1000
        self._control = control
        self._metrics = metrics
        self._exchange_s = control.exchange_ms / 1000
        self._budget = Budget(*self._size_budget(is_reader=False))
        self._deliveries = Budget(DELIVERIES_PER_S, DELIVERIES_PER_S)
        self.enforcer = Enforcer(store=self.store, cell=cell, metrics=metrics)
        self.reader = SourceReader(
            source,
            store=self.store,
            roster=roster,
            budget=self._budget,
            metrics=metrics,
            random=random,
            note_held=self._note_held,
            note_list=self._note_list,
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
        self._joiner = Joiner(self, wait_s=control.join_wait_ms / 1000)
        self._pauses = PauseWatch(
            control.pause_ms / 1000, note_pause=self._note_pause, read_suspended=read_suspended
        )
        self._peers: dict[str, PeerState] = {}
        self._reader_seen_s = read_clock()
        self._woke_s = float("-inf")
        self._asked_s = float("-inf")
        self._wait_s = control.join_wait_ms / 1000
        self._turns = 0
        self._leaving = False
        self._patience = random.random()

    @property
    def is_ready(self) -> bool:
        """Whether the node enforces a version and knows of no newer one, or waited long enough."""
        if self.enforcer.enforced is None:
            return False
        if self._joiner.is_over:
            return True
        return self._joiner.is_confirmed and not self._lags()

    @property
    def is_level(self) -> bool:
        """Whether a peer or the source answered what the node asked since its last pause.

        Where the answer tells of a newer version, the node fetches it first, for a bounded time.
        """
        if self._pauses.measure():
            return False
        if max(self._asked_s, self.reader.asked_s) < self._woke_s:
            return False
        return read_clock() > self._woke_s + self._wait_s or not self._lags()

    @property
    def unconfirmed(self) -> bool:
        """Whether the node's version was not confirmed when it joined."""
        return not self._joiner.is_confirmed

    async def run(self) -> None:
        """Take part in the distribution until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.links.run, self._take_request)
            await group.spawn(self.reader.run)
            await group.spawn(self._versions.run)
            await group.spawn(self._lists.run)
            await group.spawn(self._pauses.run)
            await group.spawn(self._choose_readers)
            await group.spawn(self._join_and_exchange)

    async def announce_leaving(self) -> None:
        """Tell peers that this node takes no new work from now on."""
        self._leaving = True
        for vm in list_targets(self.overlay, self.view(), self.random):
            await self.links.tell(name_address(vm), Leaving())

    async def collect_fleet(self) -> tuple[PeerStatus, ...]:
        """Ask every known VM for its state, a few at a time.

        Returns:
            One entry a VM, ordered by name; those that did not answer say so.
        """
        waiting = [vm for vm in self.roster.list_vms() if vm.name != self.own.name]
        found: list[PeerStatus] = [self._describe_self()]

        async def ask_some() -> None:
            while waiting:
                found.append(await self._ask_status(waiting.pop()))

        async with curio.TaskGroup() as group:
            for _ in range(SWEEP_TASKS):
                await group.spawn(ask_some)
        return tuple(sorted(found, key=lambda status: status.vm))

    def describe(self) -> ControlStatus:
        """Return the node's state for operators."""
        now = read_clock()
        answered = self.reader.answered_s
        return ControlStatus(
            enforced=self.enforcer.enforced,
            held=self.store.newest,
            newest_known=max(self._list_known(), default=None),
            is_ready=self.is_ready,
            is_level=self.is_level,
            is_reader=self.reader.is_reading,
            unconfirmed=self.unconfirmed,
            source_age_s=None if answered == float("-inf") else now - answered,
            silence_s=self._measure_silence(),
            vms_revision=self.roster.revision,
            vms_known=len(self.roster.list_vms()),
            peers=tuple(self._describe_peers(now)),
            refused=self.enforcer.refused,
            convergences=self.enforcer.convergences,
            bytes_sent=self.links.traffic.sent,
            bytes_received=self.links.traffic.received,
            source_reads=self._metrics.get_count("trefoilpick_source_reads_total"),
        )

    def view(self) -> OverlayView:
        """Return what the node believes of the fleet."""
        return OverlayView(self.own, self.roster.list_alive(), self._control.readers)

    def tell_state(self) -> Exchange:
        """Return the node's state in few bytes."""
        return Exchange(
            held=pack_version(self.store.newest),
            enforced=pack_version(self.enforcer.enforced),
            vms_revision=self.roster.revision,
            silence_ms=int(self._measure_silence() * 1000),
            leaving=self._leaving,
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

    def grant_delivery(self) -> bool:
        """Tell whether one more delivery fits in this second."""
        return self._deliveries.try_take()

    def draw_source_delay(self) -> float:
        """Return how long to wait before a first read, so that a herd stays within the budget."""
        vms = max(self._control.expected_vms, len(self.roster.list_vms()))
        return self.random.uniform(0.0, 2 * vms / self._control.source_reads_per_s)

    def draw_seeds(self) -> tuple[str, ...]:
        """Return the addresses to ask before the list of VMs is known, in drawn order."""
        seeds = list(self._control.seeds)
        self.random.shuffle(seeds)
        return tuple(seed for seed in seeds if seed != name_address(self.own))

    async def take_answer(self, answer: Envelope, address: str) -> None:
        """Take the state that a peer answered with."""
        vm = self.roster.find_vm(answer.vm)
        if vm is not None:
            self.roster.note_alive(answer.vm, answer.incarnation)
        if isinstance(answer.body, Exchange):
            await self._take_state(answer.body, answer.vm, address, vm)

    async def take_state(self, state: Exchange, vm: Vm) -> None:
        """Take the state that a peer told."""
        await self._take_state(state, vm.name, name_address(vm), vm)

    async def take_offer(self, held: WireVersion, vms_revision: int, vm: Vm) -> None:
        """Take the announcement of a peer."""
        known = self._peers.get(vm.name)
        enforced = known.enforced if known else WireVersion(0, bytes(16))
        self._peers[vm.name] = PeerState(held, enforced, vms_revision, read_clock())
        await self._hear(held, vms_revision, name_address(vm))

    async def _take_state(self, state: Exchange, name: str, address: str, vm: Vm | None) -> None:
        now = read_clock()
        if vm is not None:
            self._peers[name] = PeerState(state.held, state.enforced, state.vms_revision, now)
            if state.leaving:
                self.roster.note_leaving(name)
            if vm.data_centre == self.own.data_centre:
                self._reader_seen_s = max(self._reader_seen_s, now - state.silence_ms / 1000)
        await self._hear(state.held, state.vms_revision, address)

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
        self._forget_peers()
        await self._announce()

    async def _announce(self) -> None:
        held = pack_version(self.store.newest)
        announcement = Announcement(held, self.roster.revision)
        for vm in list_targets(self.overlay, self.view(), self.random):
            known = self._peers.get(vm.name)
            if known and known.held == held and known.vms_revision >= self.roster.revision:
                continue
            await self.links.tell(name_address(vm), announcement)

    def _forget_peers(self) -> None:
        names = {vm.name for vm in self.roster.list_vms()}
        for name in self._peers.keys() - names:
            del self._peers[name]

    async def _join_and_exchange(self) -> None:
        joining = await curio.spawn(self._joiner.run)
        try:
            while True:
                await curio.sleep(self._exchange_s * self.random.uniform(0.5, 1.5))
                vm = self._draw_peer()
                if vm is not None:
                    await self._exchange(vm)
        finally:
            await joining.cancel()

    def _draw_peer(self) -> Vm | None:
        if isinstance(self.overlay, EveryNodeWatches):
            return None
        self._turns += 1
        if self._turns % FAR_EXCHANGE == 0:
            far = [v for v in self.roster.list_alive() if v.data_centre != self.own.data_centre]
            if far:
                return self.random.choice(far)
        targets = list_targets(self.overlay, self.view(), self.random)
        return targets[self._turns % len(targets)] if targets else None

    async def _exchange(self, vm: Vm) -> None:
        asked_s = read_clock()
        address = name_address(vm)
        try:
            answer = await self.links.ask(address, self.tell_state(), timeout_s=self.answer_s)
            if not isinstance(answer.body, Exchange):
                answer = await self.links.ask(address, Hello(self.own), timeout_s=self.answer_s)
        except TrefoilpickError:
            # A pause of this node says nothing of the peer.
            if asked_s >= self._woke_s and not self._pauses.measure():
                self.roster.note_missed(vm.name)
                self._metrics.count("trefoilpick_heartbeats_missed_total")
            return
        self._joiner.note_peer(vm)
        await self.take_answer(answer, address)
        self._asked_s = asked_s

    async def _choose_readers(self) -> None:
        while True:
            turn = self._find_turn()
            is_reader = turn is not None
            self._budget.resize(*self._size_budget(is_reader=is_reader))
            if turn is None:
                self.reader.stop()
            elif not self.reader.is_reading:
                await self.reader.start(turn)
            if self.reader.newest is not None:
                self._joiner.note_source()
            await curio.sleep(self._exchange_s / 4)

    def _find_turn(self) -> int | None:
        """Return how many readers of the fleet go before this node; None where it is none."""
        view = self.view()
        if self.roster.revision == 0 and not isinstance(self.overlay, EveryNodeWatches):
            return None
        centres = order_names(vm.data_centre for vm in view.alive)
        rank = find_rank(view)
        if read_share(self.overlay, view):
            return rank * len(centres) + centres.index(self.own.data_centre)
        limit = self._exchange_s * (SILENT_EXCHANGES + rank + self._patience)
        if self._measure_silence() > limit:
            return rank * len(centres)
        return None

    def _measure_silence(self) -> float:
        now = read_clock()
        if self.reader.is_reading:
            self._reader_seen_s = now
        return now - self._reader_seen_s

    def _size_budget(self, *, is_reader: bool) -> tuple[float, float]:
        reads = float(self._control.source_reads_per_s)
        if isinstance(self.overlay, EveryNodeWatches):
            return reads * 1000, reads * 1000
        alive = self.roster.list_alive()
        vms = max(len(alive), 1 if self.roster.revision else self._control.expected_vms)
        centres = len({vm.data_centre for vm in alive})
        if is_reader:
            return READERS_SHARE * reads / (self._control.readers * max(1, centres)), READER_BURST
        return (1 - READERS_SHARE) * reads / vms, OTHER_BURST

    async def _note_pause(self, pause_s: float) -> None:
        self._woke_s = read_clock()
        self._metrics.count("trefoilpick_pauses_total")
        self._metrics.observe("trefoilpick_pause_microseconds", pause_s * 1_000_000)
        for vm in self._draw_wakers():
            await curio.spawn(self._exchange, vm, daemon=True)

    def _draw_wakers(self) -> list[Vm]:
        near = [vm for vm in list_local(self.view()) if vm.name != self.own.name]
        far = [v for v in self.roster.list_alive() if v.data_centre != self.own.data_centre]
        return [self.random.choice(vms) for vms in (near, far) if vms]

    def _lags(self) -> bool:
        newest = max(self._list_known(), default=None)
        held = self.store.newest
        return newest is not None and (held is None or newest > held)

    def _list_known(self) -> list[VersionId]:
        known = (self.store.newest, self.reader.newest, self._versions.newest)
        return [version for version in known if version is not None]

    def _describe_peers(self, now: float) -> list[PeerStatus]:
        found: list[PeerStatus] = []
        for name, state in self._peers.items():
            vm = self.roster.find_vm(name)
            if vm is None:
                continue
            enforced, held = unpack_version(state.enforced), unpack_version(state.held)
            found.append(PeerStatus(name, vm.data_centre, enforced, held, now - state.heard_s))
        return found

    def _describe_self(self) -> PeerStatus:
        refused = self.enforcer.find_refusal(self.store.newest)
        enforced, held = self.enforcer.enforced, self.store.newest
        return PeerStatus(self.own.name, self.own.data_centre, enforced, held, 0.0, refused)

    async def _ask_status(self, vm: Vm) -> PeerStatus:
        request = StatusRequest()
        try:
            answer = await self.links.ask(name_address(vm), request, timeout_s=self.answer_s)
        except TrefoilpickError as error:
            return PeerStatus(vm.name, vm.data_centre, None, None, 0.0, error.text)
        body = answer.body
        if not isinstance(body, StatusAnswer):
            return PeerStatus(vm.name, vm.data_centre, None, None, 0.0, "gave no state")
        enforced, held = unpack_version(body.enforced), unpack_version(body.held)
        return PeerStatus(vm.name, vm.data_centre, enforced, held, 0.0, body.refused)


def open_distributor(
    settings: Settings,
    *,
    own: Vm,
    source: Source,
    links: Links,
    cell: SnapshotCell,
    roster: Roster,
    metrics: Metrics,
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
        random: Source of draws.
        read_suspended: Reads how long the VM has been suspended, in seconds.
    """
    return Distributor(
        own,
        settings.control,
        source=source,
        links=links,
        cell=cell,
        roster=roster,
        metrics=metrics,
        random=random,
        read_suspended=read_suspended,
    )
