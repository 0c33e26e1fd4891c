"""A small fleet for benchmarks: a stand-in source, nodes and workers, each in its own process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from trefoilpick._demo_fleet import find_free_ports
from trefoilpick.document import Contract, Document, Match, Priority, Route, Section, Upstream
from trefoilpick.publishing import Publication, build_manifest, write_publication
from trefoilpick.settings import (
    ControlSettings,
    DrainSettings,
    HopSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.vms import Vm, VmList

START_LIMIT_S = 20.0
"""Time limit for all nodes to become ready, in seconds."""

HOST = "127.0.0.1"
"""Address on which all processes of a benchmark listen."""


@dataclass(frozen=True)
class WorkerPlan:
    """Behaviour of one worker.

    Attributes:
        service: Name of its upstream.
        slots: Number of requests that it runs concurrently.
        service_ms: Service time of each request, in milliseconds.
        is_broken: Whether it fails every request although its health check succeeds.
    """

    service: str
    slots: int = 1_000
    service_ms: float = 0.0
    is_broken: bool = False


@dataclass
class BenchVm:
    """A VM: the settings of its node, and the processes of node and worker."""

    settings: Settings
    file: Path
    plan: WorkerPlan
    node: subprocess.Popen[bytes] | None = None
    worker: subprocess.Popen[bytes] | None = None

    @property
    def caller_address(self) -> str:
        """The node's address for callers, as "ip:port"."""
        return f"{HOST}:{self.settings.listen.caller_port}"

    @property
    def worker_address(self) -> str:
        """The address of the worker, as "ip:port"."""
        return f"{HOST}:{self.settings.worker.port}"


@dataclass
class BenchFleet:
    """The processes of a benchmark, as a context manager that starts and kills them."""

    folder: Path
    vms: list[BenchVm]
    source_port: int
    other_processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> BenchFleet:
        self.other_processes.append(
            start_module(
                "trefoilpick", "standin", "--folder", self.folder, "--port", self.source_port
            )
        )
        for vm in self.vms:
            self.start_worker(vm)
            self.start_node(vm)
        self.wait_ready(self.vms, {vm.plan.service for vm in self.vms})
        return self

    def __exit__(self, *_: object) -> None:
        processes = [*self.other_processes]
        for vm in self.vms:
            processes += [process for process in (vm.node, vm.worker) if process is not None]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

    def start_worker(self, vm: BenchVm) -> None:
        """Start a VM's worker."""
        plan = vm.plan
        options = ["--slots", plan.slots, "--service-ms", plan.service_ms]
        if plan.is_broken:
            options.append("--broken")
        vm.worker = start_module("benchmarks._worker", HOST, vm.settings.worker.port, *options)

    def start_node(self, vm: BenchVm) -> None:
        """Start a VM's node."""
        vm.node = start_module("trefoilpick", "node", "--settings", vm.file)

    def stop_node(self, vm: BenchVm) -> int:
        """Stop a VM's node gracefully and return its exit code."""
        assert vm.node is not None
        vm.node.send_signal(signal.SIGTERM)
        return vm.node.wait()

    def wait_ready(self, vms: list[BenchVm], services: set[str]) -> None:
        """Wait until each node forwards requests to each service.

        Raises:
            RuntimeError: A node is not ready within `START_LIMIT_S`.
        """
        end_at = time.monotonic() + START_LIMIT_S
        for vm in vms:
            for service in services:
                while not _is_answered(f"http://{vm.caller_address}/{service}/status"):
                    if time.monotonic() > end_at:
                        raise RuntimeError(f"{vm.settings.vm.name} is not ready")
                    time.sleep(0.05)

    def measure_cpu(self) -> list[float]:
        """Return the CPU time that each node has used so far, in seconds."""
        return [_read_cpu_s(vm.node.pid) for vm in self.vms if vm.node is not None]


def build_fleet(folder: Path, plans: list[WorkerPlan], *, queue: int = 50) -> BenchFleet:
    """Write a document and settings, with one VM for each worker plan.

    Args:
        folder: An empty folder.
        plans: The workers.
        queue: Maximum number of requests queued for one worker.
    """
    ports = find_free_ports(HOST, 5 * len(plans) + 1)
    source_port = ports.pop()
    vms = []
    for index, plan in enumerate(plans):
        settings = Settings(
            vm=VmSettings(f"{plan.service}-{index}", "lima", "lima-a", plan.service),
            listen=ListenSettings(HOST, *ports[5 * index : 5 * index + 4]),
            worker=WorkerSettings(HOST, ports[5 * index + 4]),
            source=SourceSettings((f"{HOST}:{source_port}",)),
            control=ControlSettings(expected_vms=len(plans)),
            hops=HopSettings(warm_up_ms=0),
            drain=DrainSettings(notice_ms=300, limit_ms=20_000),
        )
        file = folder / f"{settings.vm.name}.jsonc"
        file.write_bytes(msgspec.json.encode(settings))
        vms.append(BenchVm(settings, file, plan))
    published = folder / "published"
    (published / "sections").mkdir(parents=True)
    document = _build_document(plans, queue)
    manifest = build_manifest(document, number=1, accepted_at_ms=int(time.time() * 1_000))
    write_publication(published, Publication(manifest, document))
    entries = tuple(sorted((_build_vm(vm.settings) for vm in vms), key=lambda vm: vm.name))
    (published / "vms").write_bytes(msgspec.json.encode(VmList(1, entries)))
    return BenchFleet(published, vms, source_port)


def start_module(module: str, *arguments: object) -> subprocess.Popen[bytes]:
    """Run a module in a new Python process, without its standard output."""
    command = [sys.executable, "-m", module, *(str(argument) for argument in arguments)]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


def _build_document(plans: list[WorkerPlan], queue: int) -> Document:
    slots = {plan.service: plan.slots for plan in plans}
    upstreams = tuple(
        Upstream(service, slots=count, connections=max(count, 100), queue=queue)
        for service, count in sorted(slots.items())
    )
    routes = tuple(route for service in sorted(slots) for route in _build_routes(service))
    return Document((Section("quillqa", upstreams, routes),))


def _build_routes(service: str) -> tuple[Route, ...]:
    def build(name: str, methods: tuple[str, ...], contract: Contract) -> Route:
        return Route(f"{service}-{name}", Match(f"/{service}/{name}", methods), service, contract)

    reads = [
        build(priority.value, ("GET",), Contract(True, 1_000, priority, retries=2))
        for priority in Priority
    ]
    status = build("status", ("GET",), Contract(True, 5_000, retries=2))
    advance = build("advance", ("POST",), Contract(False, 10_000, Priority.INTERACTIVE, retries=2))
    return (*reads, status, advance)


def _build_vm(settings: Settings) -> Vm:
    return Vm(
        settings.vm.name,
        settings.vm.region,
        settings.vm.data_centre,
        settings.vm.service,
        settings.listen.host,
        settings.listen.control_port,
        settings.listen.hop_port,
    )


def _is_answered(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=2) as answer:
            return answer.status == 200
    except (OSError, urllib.error.URLError):
        return False


def _read_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
