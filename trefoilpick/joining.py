"""Joining: how a starting node finds the newest version before it serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.errors import TrefoilpickError
from trefoilpick.message_handlers import format_control_address
from trefoilpick.messages import Exchange, Hello
from trefoilpick.overlay import EveryNodeWatches
from trefoilpick.ratelimits import Backoff

if TYPE_CHECKING:
    from trefoilpick.distribution import Distributor
    from trefoilpick.vms import Vm

LOCAL_PEERS = 2
"""Peers of its own data centre that a joining node asks concurrently."""

REMOTE_CENTRES = 2
"""Other data centres of which a joining node asks one peer each concurrently."""

READER_WAIT_S = 4.0
"""Time for which a node on a low-bandwidth link waits for other nodes to read, in seconds: long
enough for one read and the few exchanges that report it."""

POLL_INTERVAL_S = 0.05
"""Interval between checks for answers of peers, in seconds."""


class Joiner:
    """Asks peers of several data centres and the source for the newest version.

    Args:
        node: The joining node.
        wait_s: Time after which it may serve an unconfirmed version, in seconds.
    """

    def __init__(self, node: Distributor, *, wait_s: float) -> None:
        self._node = node
        self._wait_s = wait_s
        self._started_s = read_clock()
        self._answered_centres: set[str] = set()
        self._has_relied_on_readers = False

    @property
    def is_confirmed(self) -> bool:
        """Whether the source and peers of two data centres (all if fewer exist) have answered."""
        return self.has_source_answered and self._have_peers_answered

    @property
    def has_source_answered(self) -> bool:
        """Whether the source has answered, or the node could rely on readers that it answered.

        Once it has, a later outage of the source does not matter. If its value is faulty, the
        newest version is the one that peers hold.
        """
        self._has_relied_on_readers = self._has_relied_on_readers or self._node.relies_on_readers
        reader = self._node.reader
        is_fault_covered = reader.has_shown_fault and self._have_peers_answered
        return reader.newest is not None or is_fault_covered or self._has_relied_on_readers

    @property
    def _have_peers_answered(self) -> bool:
        node = self._node
        centres = {vm.data_centre for vm in node.membership.list_vms() if vm.name != node.own.name}
        return node.membership.revision > 0 and len(self._answered_centres) >= min(2, len(centres))

    @property
    def is_wait_over(self) -> bool:
        """Whether the time to wait for answers has passed."""
        return read_clock() >= self._started_s + self._wait_s

    async def run(self) -> None:
        """Query peers and the source until the version is confirmed, then idle until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._ask_source)
            if not isinstance(self._node.overlay, EveryNodeWatches):
                await group.spawn(self._ask_peers)
        await curio.Event().wait()

    @property
    def _awaits_readers(self) -> bool:
        """Whether this node still waits for other nodes to read the source."""
        elapsed_s = read_clock() - self._started_s
        return (
            self._node.has_low_bandwidth_link
            and not self.has_source_answered
            and elapsed_s < READER_WAIT_S
        )

    async def _ask_source(self) -> None:
        node = self._node
        backoff = Backoff(node.random, max_s=node.source_backoff_s)
        await curio.sleep(node.draw_source_delay())
        while not (self.has_source_answered and node.membership.revision):
            try:
                if not node.membership.revision:
                    await node.reader.read_list()
                if self._awaits_readers:
                    await curio.sleep(POLL_INTERVAL_S)
                elif not self.has_source_answered:
                    await self._read_manifest()
            except TrefoilpickError:
                await backoff.wait()

    async def _read_manifest(self) -> None:
        """Read the manifest, unless the node's reader is about to report it."""
        if self._node.reader.is_started:
            await curio.sleep(POLL_INTERVAL_S)
        else:
            await self._node.reader.read_manifest()

    async def _ask_peers(self) -> None:
        node = self._node
        backoff = Backoff(node.random)
        for address in node.shuffle_seeds():
            await self._send_hello(address)
        while True:
            async with curio.TaskGroup() as group:
                for vm in self._draw_peers():
                    await group.spawn(self._ask_peer, vm)
            if self._have_peers_answered:
                return
            await backoff.wait()

    async def _ask_peer(self, vm: Vm) -> None:
        if await self._send_hello(format_control_address(vm)):
            self._answered_centres.add(vm.data_centre)
        else:
            self._node.membership.record_missed_heartbeat(vm.name)

    def _draw_peers(self) -> tuple[Vm, ...]:
        node = self._node
        alive = [vm for vm in node.membership.list_alive() if vm.name != node.own.name]
        local = [vm for vm in alive if vm.data_centre == node.own.data_centre]
        centres = sorted({vm.data_centre for vm in alive} - {node.own.data_centre})
        chosen = node.random.sample(local, min(LOCAL_PEERS, len(local)))
        for centre in node.random.sample(centres, min(REMOTE_CENTRES, len(centres))):
            chosen.append(node.random.choice([vm for vm in alive if vm.data_centre == centre]))
        return tuple(chosen)

    async def _send_hello(self, address: str) -> bool:
        node = self._node
        try:
            answer = await node.links.request(
                address, Hello(node.own), timeout_s=node.answer_timeout_s
            )
        except TrefoilpickError:
            return False
        if not isinstance(answer.body, Exchange):
            return False
        await node.handle_answer(answer, address)
        return True
