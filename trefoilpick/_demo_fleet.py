"""Fleet of the demo: a platform stand-in and six VMs in three data centres, with nodes and workers.

All of them are tasks of one process on loopback addresses.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._ports import find_free_ports
from trefoilpick.manifest import VersionId
from trefoilpick.node import build_own_vm, open_node
from trefoilpick.settings import (
    ControlSettings,
    DrainSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.standin_worker import Worker
from trefoilpick.vms import Vm

if TYPE_CHECKING:
    from curio.task import Task

    from trefoilpick.document import Section
    from trefoilpick.node import Node
    from trefoilpick.standin import Standin

REGION = "lima"
DATA_CENTRES = ("lima-a", "lima-b", "lima-c")
SERVICES = ("portafolio", "encargos")
SERVICE_TIME_S = 0.002
"""Service time of a request at a worker, in seconds."""

DRAIN_NOTICE_MS = 500
"""Time from the notice of a drain to the refusal of new requests, in milliseconds."""


@dataclass
class DemoVm:
    """One VM of the demo: its node, its worker and their tasks."""

    vm: Vm
    settings: Settings
    node: Node
    worker: Worker
    node_task: Task | None = None
    worker_task: Task | None = None

    @property
    def caller_address(self) -> str:
        """Address for callers, as "ip:port"."""
        return f"{self.settings.listen.host}:{self.settings.listen.caller_port}"


class DemoFleet:
    """The demo's VMs and the platform's stand-in.

    Args:
        standin: The platform's stand-in.
        vms: The VMs, by name.
    """

    def __init__(self, standin: Standin, vms: dict[str, DemoVm]) -> None:
        self.standin = standin
        self.vms = vms

    async def start(self) -> None:
        """Start all workers and nodes."""
        for demo_vm in self.vms.values():
            demo_vm.worker_task = await curio.spawn(demo_vm.worker.run, daemon=True)
            demo_vm.node_task = await curio.spawn(demo_vm.node.run, daemon=True)

    async def drain(self, name: str) -> None:
        """Stop a node gracefully and wait until it has stopped."""
        demo_vm = self.vms[name]
        await demo_vm.node.request_stop()
        if demo_vm.node_task is not None:
            await demo_vm.node_task.join()

    async def kill(self, name: str) -> None:
        """Cancel the node and the worker of a VM immediately."""
        demo_vm = self.vms[name]
        for task in (demo_vm.node_task, demo_vm.worker_task):
            if task is not None:
                await task.cancel()

    async def stop(self) -> None:
        """Cancel all nodes and workers that are still running."""
        for name in self.vms:
            await self.kill(name)

    async def publish_vms(self) -> None:
        """Publish the list of VMs on the platform."""
        await self.standin.put_vms(1, (entry.vm for entry in self.vms.values()))

    async def publish_version(
        self, number: int, sections: tuple[Section, ...], *, accepted_at_ms: int
    ) -> VersionId:
        """Publish a version on the platform, unchecked, and return its identity."""
        return await self.standin.put_version(number, sections, accepted_at_ms=accepted_at_ms)


def build_fleet(standin: Standin, *, seed: int) -> DemoFleet:
    """Build the VMs of the demo.

    Args:
        standin: A running stand-in of the platform.
        seed: Seed of the nodes' random choices.
    """
    vms: dict[str, DemoVm] = {}
    locations = [(data_centre, service) for data_centre in DATA_CENTRES for service in SERVICES]
    for index, (data_centre, service) in enumerate(locations):
        name = f"{service}-{data_centre}"
        host = f"127.0.0.{11 + index}"
        settings = _build_settings(standin, name, data_centre, service, host)
        node = open_node(settings, rng=random.Random(seed + index))
        worker = Worker(name, service, host, settings.worker.port, service_time_s=SERVICE_TIME_S)
        vms[name] = DemoVm(build_own_vm(settings), settings, node, worker)
    return DemoFleet(standin, vms)


def _build_settings(
    standin: Standin, name: str, data_centre: str, service: str, host: str
) -> Settings:
    ports = find_free_ports(host, 5)
    return Settings(
        vm=VmSettings(name, REGION, data_centre, service),
        listen=ListenSettings(host, *ports[:4]),
        worker=WorkerSettings(host, ports[4]),
        source=SourceSettings((standin.address,)),
        control=ControlSettings(exchange_ms=500),
        drain=DrainSettings(notice_ms=DRAIN_NOTICE_MS),
    )
