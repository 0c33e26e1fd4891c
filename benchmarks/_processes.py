"""Fleets of real node processes on loopback, each with its own stand-in source."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick._http import fetch
from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.errors import TrefoilpickError
from trefoilpick.manifest import Manifest, SectionRef, compute_digest, encode_manifest
from trefoilpick.sections import encode_section
from trefoilpick.source import MANIFEST_KEY, build_section_key
from trefoilpick.standin import Standin, open_standin
from trefoilpick.status import NodeStatus, decode_status
from trefoilpick.vms import Vm

if TYPE_CHECKING:
    from collections.abc import Iterable

OPERATOR_PORT = 8083
DATA_CENTRES = 4
"""Data centres of each fleet."""

POLL_INTERVAL_S = 0.05
"""Time between two queries of all nodes that are not ready, in seconds."""

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Usage:
    """Cumulative resource usage of a fleet at one time.

    Attributes:
        at_s: Time of the measurement, in seconds on the monotonic clock.
        cpu_s: CPU time of all processes, in seconds.
        control_bytes: Control bytes sent and received by all nodes, including source reads.
        calls: Number of calls to the source.
    """

    at_s: float
    cpu_s: float
    control_bytes: int
    calls: int


@dataclass
class Fleet:
    """Node processes and their source.

    Attributes:
        network: Second octet of the nodes' addresses.
        overlay: Name of the overlay that distributes versions.
        folder: Directory for settings and logs.
        standin: The stand-in source.
        sections: Number of sections of the document.
        expected_vms: Fleet size in the nodes' settings.
        vms: All VMs so far.
        processes: Processes of the nodes, by name of the VM.
        newest: Number of the newest version.
        accepted: When each version was accepted, in milliseconds since the Unix epoch, by number.
        refs: References to the newest section of each team.
        revision: Revision of the list of VMs.
    """

    network: int
    overlay: str
    folder: Path
    standin: Standin
    sections: int
    expected_vms: int
    vms: list[Vm] = field(default_factory=list)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    newest: int = 0
    accepted: dict[int, int] = field(default_factory=dict)
    refs: dict[str, SectionRef] = field(default_factory=dict)
    revision: int = 0

    async def grow(self, size: int) -> None:
        """Add VMs up to a size, publish the new list and start their nodes."""
        added = [self._make_vm(number) for number in range(len(self.vms), size)]
        self.vms += added
        self.revision += 1
        await self.standin.put_vms(self.revision, self.vms)
        self.start(added)

    def start(self, vms: Iterable[Vm]) -> None:
        """Start a node for each VM."""
        for vm in vms:
            command = [sys.executable, "-m", "trefoilpick", "node", "--settings"]
            log = (self.folder / f"{vm.name}.log").open("ab")
            self.processes[vm.name] = subprocess.Popen(
                [*command, str(self._write_settings(vm))], stdout=log, stderr=log
            )
            log.close()

    def kill(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to every node process and wait until all have exited."""
        for process in self.processes.values():
            process.send_signal(signal_number)
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    async def accept(self) -> int:
        """Accept a version and return its number; all versions but the first change one section."""
        changed = range(self.sections) if not self.refs else [self.newest % self.sections]
        self.newest += 1
        for index in changed:
            text = make_section(index, self.newest)
            digest = compute_digest(text)
            team = f"team-{index}"
            self.refs[team] = SectionRef(team, digest, len(text))
            await self.standin.put_value(build_section_key(digest), text)
        refs = tuple(self.refs[team] for team in sorted(self.refs))
        accepted_at_ms = time.time_ns() // 1_000_000
        self.accepted[self.newest] = accepted_at_ms
        manifest = Manifest(self.newest, accepted_at_ms, refs)
        await self.standin.put_value(MANIFEST_KEY, encode_manifest(manifest))
        return self.newest

    async def wait_until_ready(self, limit_s: float) -> float:
        """Wait until every node is ready with the newest version; return the wait in seconds."""
        began = time.monotonic()
        waiting = list(self.vms)
        while waiting:
            assert (
                time.monotonic() < began + limit_s
            ), f"{len(waiting)} nodes not up to date: {waiting[0]}"
            states = await self.query_all(waiting)
            waiting = [
                vm for vm, state in zip(waiting, states, strict=True) if self._is_behind(state)
            ]
            await curio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - began

    async def query_all(self, vms: list[Vm]) -> list[NodeStatus | None]:
        """Query the status of nodes concurrently."""
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(query_node, vm) for vm in vms]
        return [task.result for task in tasks]

    async def read_convergences(self, numbers: Iterable[int]) -> list[float]:
        """Return the convergence time of each given version at each node, in milliseconds."""
        wanted = set(numbers)
        states = await self.query_all(self.vms)
        return [
            entry.convergence_ms
            for state in states
            if state is not None
            for entry in state.versions
            if entry.number in wanted and entry.convergence_ms is not None
        ]

    async def measure_usage(self) -> Usage:
        """Measure the cumulative usage of the fleet."""
        async with curio.TaskGroup() as group:
            tasks = [await group.spawn(read_control_bytes, vm) for vm in self.vms]
        counted = sum(task.result for task in tasks)
        cpu_s = sum(read_cpu_s(process.pid) for process in self.processes.values())
        return Usage(time.monotonic(), cpu_s, counted, self.standin.counts.calls)

    def measure_rss_mb(self) -> list[float]:
        """Return the resident memory of each node, in MiB, in ascending order."""
        return sorted(read_rss_mb(process.pid) for process in self.processes.values())

    def _is_behind(self, state: NodeStatus | None) -> bool:
        if state is None or not state.ready or state.version is None:
            return True
        return state.version.number != self.newest

    def _make_vm(self, number: int) -> Vm:
        centre = number % DATA_CENTRES
        return Vm(
            name=f"vm-{number}",
            region=f"region-{centre % 2}",
            data_centre=f"centre-{centre}",
            service=f"service-{number % 16}",
            host=f"127.{self.network}.{centre}.{number // DATA_CENTRES + 1}",
            control_port=8082,
            hop_port=8081,
        )

    def _write_settings(self, vm: Vm) -> Path:
        path = self.folder / f"{vm.name}.jsonc"
        settings = {
            "vm": {
                "name": vm.name,
                "region": vm.region,
                "data_centre": vm.data_centre,
                "service": vm.service,
            },
            "listen": {"host": vm.host},
            "worker": {"host": vm.host, "port": 9100},
            "source": {"addresses": [self.standin.address]},
            "control": {"overlay": self.overlay, "expected_vms": self.expected_vms},
        }
        path.write_bytes(msgspec.json.encode(settings))
        return path


def open_fleet(
    network: int, overlay: str, folder: Path, *, sections: int, expected_vms: int, rate: int
) -> Fleet:
    """Create a fleet without nodes, with its own source.

    Args:
        network: Second octet of all addresses.
        overlay: Name of the overlay that distributes versions.
        folder: Directory for settings and logs, which must not exist yet.
        sections: Number of sections of the document.
        expected_vms: Fleet size in the nodes' settings.
        rate: Rate limit of the source, in calls per second.
    """
    folder.mkdir()
    standin = open_standin(f"127.{network}.255.1", 0, rate=rate)
    return Fleet(network, overlay, folder, standin, sections, expected_vms)


def make_section(index: int, deadline_offset_ms: int) -> bytes:
    """Return the encoded section of a team, with one upstream and four routes."""
    name = f"service-{index}"
    routes = tuple(
        Route(
            f"route-{number}",
            Match(f"/{name}/{number}", ("GET", "POST")),
            name,
            Contract(idempotent=number > 0, deadline_ms=1_000 + deadline_offset_ms),
        )
        for number in range(4)
    )
    return encode_section(Section(f"team-{index}", (Upstream(name),), routes))


async def query_node(vm: Vm) -> NodeStatus | None:
    """Return the status of a node; None if it does not answer."""
    try:
        answer = await fetch(vm.host, OPERATOR_PORT, "/status", timeout_s=5, max_bytes=1_000_000)
        return decode_status(answer.body, NodeStatus)
    except TrefoilpickError:
        return None


async def read_control_bytes(vm: Vm) -> int:
    """Return the control bytes that a node sent and received, including source reads."""
    answer = await fetch(vm.host, OPERATOR_PORT, "/metrics", timeout_s=10, max_bytes=4_000_000)
    lines = answer.body.decode().splitlines()
    counter_lines = [line for line in lines if line.startswith("trefoilpick_control_bytes_total{")]
    return sum(int(float(line.rsplit(" ", 1)[1])) for line in counter_lines)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
