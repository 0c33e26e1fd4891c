"""How a fresh node finds the newest version before it serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.answering import name_address
from trefoilpick.errors import TrefoilpickError
from trefoilpick.messages import Exchange, Hello
from trefoilpick.overlay import EveryNodeWatches
from trefoilpick.ratelimits import Backoff

if TYPE_CHECKING:
    from trefoilpick.distribution import Distributor
    from trefoilpick.vms import Vm

NEAR_PEERS = 2
"""Peers of its own data centre that a fresh node asks at a time."""

FAR_CENTRES = 2
"""Other data centres of which it asks one peer each at a time."""


PATIENCE_S = 4.0
"""Time in which a node with a thin link waits for those that read before it, in seconds: they need
one reading, and the news a few exchanges."""

LOOK_S = 0.05
"""Time between two looks at what peers told, in seconds."""


class Joiner:
    """Asks peers of several data centres and the source for the newest version.

    Args:
        node: The fresh node.
        wait_s: Time until it may serve what nobody confirmed, in seconds.
    """

    def __init__(self, node: Distributor, *, wait_s: float) -> None:
        self._node = node
        self._wait_s = wait_s
        self._started_s = read_clock()
        self._centres: set[str] = set()

    @property
    def is_confirmed(self) -> bool:
        """Whether the source and peers of two data centres answered, as far as there are any."""
        return self._source_answered and self._heard_enough

    @property
    def _source_answered(self) -> bool:
        return self._node.reader.newest is not None or self._node.follows

    @property
    def _heard_enough(self) -> bool:
        node = self._node
        centres = {vm.data_centre for vm in node.roster.list_vms() if vm.name != node.own.name}
        return node.roster.revision > 0 and len(self._centres) >= min(2, len(centres))

    @property
    def is_over(self) -> bool:
        """Whether the wait for answers is over."""
        return read_clock() >= self._started_s + self._wait_s

    async def run(self) -> None:
        """Ask until the node's version is confirmed, then wait until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._ask_source)
            if not isinstance(self._node.overlay, EveryNodeWatches):
                await group.spawn(self._ask_peers)
        await curio.Event().wait()

    @property
    def _is_patient(self) -> bool:
        """Whether others may still read for this node."""
        passed_s = read_clock() - self._started_s
        return self._node.has_thin_link and not self._source_answered and passed_s < PATIENCE_S

    async def _ask_source(self) -> None:
        node = self._node
        backoff = Backoff(node.random, max_s=node.source_backoff_s)
        await curio.sleep(node.draw_source_delay())
        while not (self._source_answered and node.roster.revision):
            try:
                if not node.roster.revision:
                    await node.reader.read_list()
                if self._is_patient:
                    await curio.sleep(LOOK_S)
                elif not self._source_answered:
                    await node.reader.read_manifest()
            except TrefoilpickError:
                await backoff.wait()

    async def _ask_peers(self) -> None:
        node = self._node
        backoff = Backoff(node.random)
        for address in node.draw_seeds():
            await self._greet(address)
        while True:
            async with curio.TaskGroup() as group:
                for vm in self._draw_peers():
                    await group.spawn(self._ask_peer, vm)
            if self._heard_enough:
                return
            await backoff.wait()

    async def _ask_peer(self, vm: Vm) -> None:
        if await self._greet(name_address(vm)):
            self._centres.add(vm.data_centre)
        else:
            self._node.roster.note_missed(vm.name)

    def _draw_peers(self) -> tuple[Vm, ...]:
        node = self._node
        alive = [vm for vm in node.roster.list_alive() if vm.name != node.own.name]
        near = [vm for vm in alive if vm.data_centre == node.own.data_centre]
        centres = sorted({vm.data_centre for vm in alive} - {node.own.data_centre})
        chosen = node.random.sample(near, min(NEAR_PEERS, len(near)))
        for centre in node.random.sample(centres, min(FAR_CENTRES, len(centres))):
            chosen.append(node.random.choice([vm for vm in alive if vm.data_centre == centre]))
        return tuple(chosen)

    async def _greet(self, address: str) -> bool:
        node = self._node
        try:
            answer = await node.links.ask(address, Hello(node.own), timeout_s=node.answer_s)
        except TrefoilpickError:
            return False
        if not isinstance(answer.body, Exchange):
            return False
        await node.take_answer(answer, address)
        return True
