"""Recording of a trace at one node, as lines that the command `replay` reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.traces import (
    Event,
    Requests,
    VersionAccepted,
    VmJoins,
    VmLeaves,
    VmListed,
    encode_line,
)
from trefoilpick.vms import VmState

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import BinaryIO

    from trefoilpick.node import Node
    from trefoilpick.snapshots import Snapshot, TeamRoute
    from trefoilpick.vms import Vm

POLL_S = 1.0
"""Time between two polls of the node's state, in seconds."""

REQUESTS_COUNTER = "trefoilpick_requests_total"
"""Counter of callers' requests, by team and route."""


class Recorder:
    """Records the events that a node observes in a file.

    Args:
        node: The node.
        out: The file that the lines are written to.
    """

    def __init__(self, node: Node, out: BinaryIO) -> None:
        self._node = node
        self._out = out
        self._began_s = read_clock()
        self._snapshot: Snapshot | None = None
        self._vms: dict[str, Vm] = {}
        self._counts: dict[tuple[str, str], int] = {}

    async def run(self) -> None:
        """Record until cancelled; the last line states that the node leaves."""
        vm = self._node.settings.vm
        try:
            self._write(VmJoins(0.0, vm.name, vm.region, vm.data_centre, vm.service))
            while True:
                for event in self.poll():
                    self._write(event)
                await curio.sleep(POLL_S)
        finally:
            self._write(VmLeaves(self._read_elapsed(), vm.name))

    def poll(self) -> Iterator[Event]:
        """Yield the events since the last poll."""
        at_s = self._read_elapsed()
        yield from self._list_vm_changes(at_s)
        yield from self._list_versions(at_s)
        yield from self._list_requests(at_s)

    def _list_vm_changes(self, at_s: float) -> Iterator[Event]:
        own = self._node.settings.vm.name
        listed = {vm.name: vm for vm in self._node.membership.list_vms() if vm.name != own}
        for name, vm in listed.items():
            previous = self._vms.get(name)
            if previous is None:
                yield VmJoins(at_s, name, vm.region, vm.data_centre, vm.service)
            if vm.state is not (previous.state if previous else VmState.LIVE):
                yield VmListed(at_s, name, vm.state)
        for name in self._vms.keys() - listed.keys():
            yield VmListed(at_s, name, None)
        self._vms = listed

    def _list_versions(self, at_s: float) -> Iterator[Event]:
        snapshot = self._node.cell.current
        if snapshot is None or snapshot is self._snapshot:
            return
        previous = self._snapshot.document.sections if self._snapshot else ()
        changed = tuple(
            section for section in snapshot.document.sections if section not in previous
        )
        teams = {section.team for section in snapshot.document.sections}
        removed = tuple(section.team for section in previous if section.team not in teams)
        self._snapshot = snapshot
        yield VersionAccepted(at_s, snapshot.version.number, changed, removed)

    def _list_requests(self, at_s: float) -> Iterator[Event]:
        if self._snapshot is None:
            return
        for entry in self._snapshot.routes:
            new_count = self._count_new(entry)
            if new_count:
                yield self._build_requests(at_s, entry, new_count)

    def _build_requests(self, at_s: float, entry: TeamRoute, count: int) -> Requests:
        match = entry.route.match
        return Requests(
            at_s,
            self._node.settings.vm.name,
            count,
            POLL_S,
            match.methods[0],
            match.host,
            match.path_prefix,
            token=not entry.route.contract.idempotent,
        )

    def _count_new(self, entry: TeamRoute) -> int:
        key = (entry.team, entry.route.name)
        total = self._node.metrics.get_count(REQUESTS_COUNTER, team=key[0], route=key[1])
        new_count = total - self._counts.get(key, 0)
        self._counts[key] = total
        return new_count

    def _read_elapsed(self) -> float:
        return round(read_clock() - self._began_s, 3)

    def _write(self, event: Event) -> None:
        self._out.write(encode_line(event))
        self._out.flush()
