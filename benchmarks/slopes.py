"""Measure the cost to a node of one more VM, section, change or message.

There are two parts. `control_slopes` measures the data structures of one node at growing sizes.
The model fleets run the distributors of VMs in 11 data centres in one process, on a simulated
network with fixed delay bounds and a virtual clock, so that messages, bytes, reads and propagation
times can be counted for large fleets. CPU time per node is that of the process divided by the
number of nodes: it includes the benchmark's polling of all nodes and excludes the cost of ZeroMQ.

Run with `python -m benchmarks.slopes`. The last line is one JSON object.
"""

from __future__ import annotations

import gc
import json
import logging
import resource
import statistics
import time
from dataclasses import asdict, dataclass
from random import Random
from typing import Annotated, Any

import curio
import msgspec
import typer

from benchmarks.control_slopes import measure_sections, measure_vms
from trefoilpick._clock import read_clock
from trefoilpick._virtual_time import run_virtual
from trefoilpick.distribution import Distributor, open_distributor
from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.local_network import LocalLinks, LocalNetwork, LocalSource
from trefoilpick.logs import LOGGER_NAME, open_state_log
from trefoilpick.manifest import Manifest, SectionRef, compute_digest
from trefoilpick.membership import MembershipTable
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.metrics import Metrics
from trefoilpick.sections import encode_section
from trefoilpick.settings import (
    ControlSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import SnapshotCell
from trefoilpick.source import VMS_KEY
from trefoilpick.vms import Vm, VmList

DATA_CENTRES = 11
REGIONS = 3
SERVICES = 160
ROUTES = 10
"""Number of routes of a section."""

VERSIONS = 6
"""Number of versions over which the cost of a change is averaged."""

IDLE_S = 60.0
"""Duration of the idle measurement, in seconds."""

GAP_S = 12.0
"""Time after the start and after each version that is enforced everywhere, in seconds."""

DELAY_S = (0.0005, 0.004)
"""Bounds of the network delay of a message, in seconds."""

START_LIMIT_S = 120.0
"""Time limit for all nodes to become ready, in seconds."""

KB = 1_000


@dataclass(frozen=True)
class FleetSlope:
    """Cost per node in a fleet of one size."""

    nodes: int
    start_s: float
    start_reads_peak: int
    idle_bytes_per_node_per_s: float
    idle_messages_per_node_per_s: float
    idle_cpu_ms_per_node_per_s: float
    idle_reads_per_s: float
    change_bytes_per_node: float
    change_messages_per_node: float
    change_cpu_ms_per_node: float
    change_reads: float
    convergence_ms: dict[str, float]


def build_vms(count: int) -> tuple[Vm, ...]:
    """Return VMs spread evenly over all data centres and services."""
    return tuple(
        Vm(
            name=f"vm-{number:04d}",
            region=f"region-{number % DATA_CENTRES % REGIONS}",
            data_centre=f"centre-{number % DATA_CENTRES}",
            service=f"service-{number % SERVICES}",
            host=f"127.{number // 62500 + 1}.{number // 250 % 250}.{number % 250 + 1}",
            control_port=8082,
            hop_port=8081,
        )
        for number in range(count)
    )


def encode_service_section(number: int, deadline_offset_ms: int) -> bytes:
    """Return the encoded section of one team, with one upstream and `ROUTES` routes."""
    team = f"service-{number}"
    contract = Contract(idempotent=True, deadline_ms=2_000 + deadline_offset_ms)
    routes = tuple(
        Route(f"route-{index}", Match(f"/{team}/{index}", ("GET", "POST")), team, contract)
        for index in range(ROUTES)
    )
    return encode_section(Section(team, (Upstream(team),), routes))


def build_version(
    number: int, sections: int, deadline_offset_ms: int
) -> tuple[Manifest, dict[str, bytes]]:
    """Return a version and its encoded sections by digest; the offset changes its first section."""
    texts = {}
    refs = []
    for index in range(sections):
        text = encode_service_section(index, deadline_offset_ms if index == 0 else 0)
        digest = compute_digest(text)
        texts[digest] = text
        refs.append(SectionRef(f"service-{index}", digest, len(text)))
    refs.sort(key=lambda ref: ref.team)
    return Manifest(number, 0, tuple(refs)), texts


class ModelFleet:
    """The distributors of a fleet in one process."""

    def __init__(self, vms: tuple[Vm, ...], sections: int) -> None:
        self.vms = vms
        self.sections = sections
        self.network = LocalNetwork(Random(1))
        self.network.delay_s = DELAY_S
        self.source = LocalSource()
        self.nodes: list[tuple[Distributor, SnapshotCell]] = []

    @property
    def bytes_sent(self) -> int:
        """Control bytes that all nodes have sent to peers."""
        return sum(node.links.traffic.sent for node, _ in self.nodes)

    async def start(self) -> float:
        """Start all nodes at once; return the time until all are ready, in seconds."""
        await self.source.put(VMS_KEY, msgspec.json.encode(VmList(1, self.vms)))
        await self.source.accept(*build_version(1, self.sections, 0))
        began = read_clock()
        for number, vm in enumerate(self.vms):
            node, cell = self._open(vm, number)
            self.nodes.append((node, cell))
            await curio.spawn(node.run, daemon=True)
        while not all(node.is_ready for node, _ in self.nodes):
            assert read_clock() < began + START_LIMIT_S, "the fleet does not become ready"
            await curio.sleep(0.1)
        return read_clock() - began

    async def accept(self, number: int) -> list[float]:
        """Accept a version; return the times until nodes enforced it, in milliseconds."""
        began = read_clock()
        await self.source.accept(*build_version(number, self.sections, number))
        waiting = [cell for _, cell in self.nodes]
        times: list[float] = []
        while waiting:
            still_waiting = [cell for cell in waiting if cell.current.version.number < number]
            times += [(read_clock() - began) * 1_000] * (len(waiting) - len(still_waiting))
            waiting = still_waiting
            await curio.sleep(0.001)
        return times

    def _open(self, vm: Vm, number: int) -> tuple[Distributor, SnapshotCell]:
        settings = Settings(
            vm=VmSettings(vm.name, vm.region, vm.data_centre, vm.service),
            listen=ListenSettings(vm.host),
            worker=WorkerSettings(vm.host, 9100),
            source=SourceSettings(("127.0.0.1:9000",)),
            control=ControlSettings(
                expected_vms=len(self.vms),
                seeds=tuple(f"{peer.host}:{peer.control_port}" for peer in self.vms[:22]),
            ),
        )
        metrics = Metrics()
        message_endpoint = MessageEndpoint(vm.name, number + 1, metrics)
        cell = SnapshotCell()
        node = open_distributor(
            settings,
            own=vm,
            source=self.source,
            links=LocalLinks(
                self.network,
                f"{vm.host}:{vm.control_port}",
                message_endpoint=message_endpoint,
                metrics=metrics,
            ),
            cell=cell,
            membership=MembershipTable(vm),
            metrics=metrics,
            log=open_state_log(settings.vm, incarnation=number + 1, metrics=metrics),
            random=Random(number),
        )
        return node, cell


async def measure_fleet(nodes: int, sections: int) -> FleetSlope:
    """Measure a whole fleet of one size."""
    fleet = ModelFleet(build_vms(nodes), sections)
    start_s = await fleet.start()
    start_peak = fleet.source.count_peak_calls()
    await curio.sleep(GAP_S)
    idle = await _measure(fleet, curio.sleep(IDLE_S), IDLE_S)
    times: list[float] = []
    totals = []
    for number in range(2, 2 + VERSIONS):
        before = len(fleet.source.call_times_s)

        async def change(number: int = number) -> None:
            times.extend(await fleet.accept(number))
            await curio.sleep(GAP_S)

        spent = await _measure(fleet, change(), 1.0)
        totals.append((spent, len(fleet.source.call_times_s) - before))
    changed = [statistics.mean(spent[index] for spent, _ in totals) for index in range(3)]
    ordered = sorted(times)
    return FleetSlope(
        nodes=nodes,
        start_s=round(start_s, 2),
        start_reads_peak=start_peak,
        idle_bytes_per_node_per_s=round(idle[0], 1),
        idle_messages_per_node_per_s=round(idle[1], 2),
        idle_cpu_ms_per_node_per_s=round(idle[2], 3),
        idle_reads_per_s=round(idle[3], 2),
        change_bytes_per_node=round(changed[0] - idle[0] * GAP_S, 1),
        change_messages_per_node=round(changed[1] - idle[1] * GAP_S, 2),
        change_cpu_ms_per_node=round(changed[2] - idle[2] * GAP_S, 3),
        change_reads=statistics.mean(reads for _, reads in totals),
        convergence_ms={
            "p50": round(ordered[len(ordered) // 2], 1),
            "p99": round(ordered[int(len(ordered) * 0.99)], 1),
            "max": round(ordered[-1], 1),
        },
    )


async def _measure(fleet: ModelFleet, work: Any, per_s: float) -> tuple[float, ...]:
    """Return bytes, messages and CPU ms per node, and reads of the fleet, divided by `per_s`."""
    sent, messages = fleet.bytes_sent, fleet.network.messages
    reads, cpu = len(fleet.source.call_times_s), time.process_time()
    await work
    nodes = len(fleet.nodes)
    return (
        (fleet.bytes_sent - sent) / nodes / per_s,
        (fleet.network.messages - messages) / nodes / per_s,
        (time.process_time() - cpu) * 1_000 / nodes / per_s,
        (len(fleet.source.call_times_s) - reads) / per_s,
    )


def main(
    sizes: Annotated[str, typer.Option(help="Nodes of the model fleets.")] = "110,220,440",
    sections: Annotated[int, typer.Option(help="Sections of the document.")] = 160,
) -> None:
    """Measure all slopes; the last line is one JSON object."""
    logging.getLogger(LOGGER_NAME).setLevel(logging.CRITICAL)
    result: dict[str, Any] = {
        "vms": [measure_vms(count) for count in (110, 550, 1_100)],
        "sections": [measure_sections(count) for count in (40, 80, 160)],
    }
    fleets = []
    for size in (int(number) for number in sizes.split(",")):
        slope: FleetSlope = run_virtual(measure_fleet(size, sections))
        print(slope, flush=True)
        fleets.append(asdict(slope))
        gc.collect()
    result["fleets"] = fleets
    result["peak_rss_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB
    print(json.dumps(result))


if __name__ == "__main__":
    typer.run(main)
