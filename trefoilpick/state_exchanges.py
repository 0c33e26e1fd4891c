"""Periodic exchange of state with peers: heartbeats that also repair missed announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.errors import TrefoilpickError
from trefoilpick.logs import Event
from trefoilpick.message_handlers import format_control_address
from trefoilpick.messages import Exchange, Hello
from trefoilpick.overlay import EveryNodeWatches, list_local, list_targets

if TYPE_CHECKING:
    from trefoilpick.distribution import Distributor
    from trefoilpick.vms import Vm

REMOTE_EXCHANGE_INTERVAL = 8
"""One in this many exchanges is with a random VM of another data centre."""


class StateExchanger:
    """Exchanges a node's state with one peer at a time.

    Args:
        node: The node.
        interval_s: Mean interval between exchanges, in seconds.

    Attributes:
        answered_request_s: Start of the newest exchange that was answered, in seconds on the node's
            clock; minus infinity before the first.
    """

    def __init__(self, node: Distributor, *, interval_s: float) -> None:
        self._node = node
        self._interval_s = interval_s
        self._exchange_count = 0
        self._down: set[str] = set()
        self.answered_request_s = float("-inf")

    async def run(self) -> None:
        """Exchange state at random intervals until cancelled."""
        node = self._node
        if isinstance(node.overlay, EveryNodeWatches):
            # Every node reads the source itself, so none exchanges state.
            await curio.Event().wait()
        while True:
            await curio.sleep(self._interval_s * node.random.uniform(0.5, 1.5))
            vm = self._choose_peer()
            if vm is not None:
                await self.exchange(vm)

    async def exchange(self, vm: Vm) -> None:
        """Send the node's state to a peer and handle the state that it answers with."""
        node = self._node
        requested_s = read_clock()
        address = format_control_address(vm)
        try:
            answer = await node.links.request(
                address, node.build_state(), timeout_s=node.answer_timeout_s
            )
            if not isinstance(answer.body, Exchange):
                answer = await node.links.request(
                    address, Hello(node.own), timeout_s=node.answer_timeout_s
                )
        except TrefoilpickError:
            # If this node was paused, a missing answer does not show that the peer is down.
            if not node.was_paused_since(requested_s):
                self._record_missed(vm)
            return
        self.answered_request_s = max(self.answered_request_s, requested_s)
        self._record_answered(vm)
        await node.handle_answer(answer, address)

    async def exchange_now(self) -> None:
        """Start exchanges with a peer of the node's data centre and one of another."""
        node = self._node
        local = [vm for vm in list_local(node.build_view()) if vm.name != node.own.name]
        for vms in (local, self._list_remote()):
            if vms:
                await curio.spawn(self.exchange, node.random.choice(vms), daemon=True)

    def _record_answered(self, vm: Vm) -> None:
        # Only a peer that was down changes state.
        if vm.name in self._down:
            self._down.discard(vm.name)
            self._node.log.report(Event.PEER, "up", subject=vm.name)

    def _record_missed(self, vm: Vm) -> None:
        node = self._node
        node.metrics.count("trefoilpick_heartbeats_missed_total")
        node.membership.record_missed_heartbeat(vm.name)
        if node.membership.is_dead(vm.name):
            self._down.add(vm.name)
            node.log.report(Event.PEER, "down", subject=vm.name)

    def _choose_peer(self) -> Vm | None:
        node = self._node
        self._exchange_count += 1
        if self._exchange_count % REMOTE_EXCHANGE_INTERVAL == 0:
            remote = self._list_remote()
            if remote:
                return node.random.choice(remote)
        targets = list_targets(node.overlay, node.build_view(), node.random)
        return targets[self._exchange_count % len(targets)] if targets else None

    def _list_remote(self) -> list[Vm]:
        own = self._node.own.data_centre
        return [vm for vm in self._node.membership.list_alive() if vm.data_centre != own]
