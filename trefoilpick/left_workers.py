"""Workers that stated that they are leaving, as known to this node and to its peers.

The platform's list may show such a worker as live, or lag behind it. Peers exchange what they know,
so that a node knows it again soon after a restart.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpick.vms import UNKNOWN_WORKER, VmState

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from trefoilpick.vms import Vm, WorkerIdentity

MAX_LEFT_WORKERS = 256
"""Largest number of VMs whose leaving worker is remembered: many times the number of VMs that are
replaced at the same time at the target size."""


class LeftWorkers:
    """The newest worker of each VM that stated that it is leaving."""

    def __init__(self) -> None:
        self._workers: dict[str, WorkerIdentity] = {}

    def record(self, vm: str, worker: WorkerIdentity) -> bool:
        """Record that a worker is leaving; return whether that is new.

        A worker without identity is not recorded: it could not be told from the one after it.
        """
        known = self._workers.get(vm)
        if worker == UNKNOWN_WORKER or known == worker:
            return False
        if known is not None and known.started_ms > worker.started_ms:
            return False
        self._workers.pop(vm, None)
        self._workers[vm] = worker
        if len(self._workers) > MAX_LEFT_WORKERS:
            del self._workers[next(iter(self._workers))]
        return True

    def apply(self, vm: Vm) -> Vm:
        """Return a VM's record, as leaving if its worker stated so."""
        if vm.state is VmState.LEAVING or self._workers.get(vm.name) != vm.worker_identity:
            return vm
        return replace(vm, state=VmState.LEAVING)

    def list_listed(self, listed: Mapping[str, Vm]) -> Iterator[tuple[str, WorkerIdentity]]:
        """Yield the VMs on a list whose worker is leaving, with the worker."""
        for name, worker in self._workers.items():
            vm = listed.get(name)
            if vm is not None and vm.worker_identity == worker:
                yield name, worker
