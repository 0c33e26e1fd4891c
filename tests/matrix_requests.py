"""Runs the cells of the request path: a caller, two nodes and two workers, with a faulty proxy.

Everything but the proxy and the stand-in workers is the product's code on loopback sockets. The
proxy is between the caller and its node, between two nodes, or between a node and its worker. It
injects its fault when a certain part of a request or of its answer passes through it.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

import curio
from curio.io import Socket
from matrix_table import Cell, Expected, Fault, Step

from trefoilpick._call_recorder import CallPlan, CallRecorder
from trefoilpick._call_totals import CallResult, total_calls
from trefoilpick._connections import open_connection
from trefoilpick._ports import find_free_ports
from trefoilpick._virtual_time import VirtualTime, run_virtual
from trefoilpick.callers import CallerServer, open_caller_server
from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.hopserver import HopServer, open_hop_server
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.metrics import Metrics
from trefoilpick.node import build_own_vm
from trefoilpick.settings import (
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import SnapshotCell, build_snapshot
from trefoilpick.standin_worker import Worker
from trefoilpick.vms import Vm, WorkerIdentity

DEADLINE_S = 8.0
PAUSE_S = 20.0
"""Duration of a pause, in seconds: longer than all deadlines."""

SLOW_CHUNK_BYTES = 400
SLOW_CHUNK_DELAY_S = 0.01
RECOVERY_S = 4.0
"""Time after the fault until requests must be answered again, in seconds."""

READ_BYTES = 65_536
BODY_BYTES = 200_000
MAX_CALLS = 12
"""Maximum number of calls within which the fault must be injected."""

SERVICE = "portafolio"


class ProxyPlace(Enum):
    """Connection through which the proxy forwards."""

    CALLER = "caller"
    HOP = "hop"
    WORKER = "worker"


@dataclass(frozen=True)
class FaultPoint:
    """Point at which the proxy injects its fault: after some bytes in one direction.

    Attributes:
        place: Connection through which the proxy forwards.
        after: Number of bytes that pass first; None if the fault is injected when a connection is
            opened.
        is_answer: Whether bytes of the answer are counted, not those of the request.
    """

    place: ProxyPlace
    after: int | None
    is_answer: bool = False


FAULT_POINTS = {
    Step.ACCEPT: FaultPoint(ProxyPlace.CALLER, None),
    Step.READ_HEAD: FaultPoint(ProxyPlace.CALLER, 20),
    Step.ADMIT: FaultPoint(ProxyPlace.HOP, None),
    Step.CHOOSE: FaultPoint(ProxyPlace.HOP, None),
    Step.CONNECT: FaultPoint(ProxyPlace.WORKER, None),
    Step.SEND_HEAD: FaultPoint(ProxyPlace.WORKER, 10),
    Step.SEND_BODY: FaultPoint(ProxyPlace.WORKER, BODY_BYTES // 8),
    Step.AWAIT: FaultPoint(ProxyPlace.WORKER, 0, is_answer=True),
    Step.RELAY_ANSWER: FaultPoint(ProxyPlace.WORKER, 60, is_answer=True),
    Step.FINISH: FaultPoint(ProxyPlace.CALLER, 100, is_answer=True),
}

PLANS = (
    CallPlan("PUT", "q", "/again", True, BODY_BYTES),
    CallPlan("POST", "q", "/once", False, BODY_BYTES),
    CallPlan("POST", "q", "/once", False, BODY_BYTES // 4, is_single_attempt=True),
)


class StreamEnd(Enum):
    """How one direction of a connection ended."""

    COMPLETE = "complete"
    RESET = "reset"
    CLOSED = "closed"


class FaultyProxy:
    """Proxy that forwards the bytes of connections and injects a fault once."""

    def __init__(self, host: str, port: int, target_port: int, *, random: Random) -> None:
        self.host, self.port, self.target_port = host, port, target_port
        self.fault_point: FaultPoint | None = None
        self.fault: Fault | None = None
        self.on_fault: Callable[[], Awaitable[None]] | None = None
        self.has_injected = False
        self.cut_until_s = 0.0
        self._random = random
        self._listener = open_listener(host, port)

    async def run(self) -> None:
        async with self._listener, curio.TaskGroup() as tasks:
            while True:
                client, _ = await self._listener.accept()
                await tasks.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Socket) -> None:
        if self._is_at_fault_point(0, is_answer=False, is_opening=True):
            await self._inject_fault()
            if self.fault in (Fault.REFUSED, Fault.RESET, Fault.DEATH):
                reset_on_close(client)
                await client.close()
                return
            if self.fault in (Fault.BLACK_HOLE, Fault.PARTITION):
                await self._discard_all(client)
                await client.close()
                return
        try:
            upstream = await open_connection(self.host, self.target_port)
        except OSError:
            reset_on_close(client)
            await client.close()
            return
        async with curio.TaskGroup(wait=None) as pumps:
            await pumps.spawn(self._pump, client, upstream, False)
            await pumps.spawn(self._pump, upstream, client, True)
            async for pump in pumps:
                if pump.result is not StreamEnd.COMPLETE:
                    break
        if pump.result is StreamEnd.RESET:
            reset_on_close(client)
            reset_on_close(upstream)
        await client.close()
        await upstream.close()

    async def _pump(self, source: Socket, target: Socket, is_answer: bool) -> StreamEnd:
        passed = 0
        with suppress(OSError):
            while data := await source.recv(READ_BYTES):
                if self._is_at_fault_point(passed + len(data), is_answer=is_answer):
                    assert self.fault_point is not None
                    unaffected = max(0, (self.fault_point.after or 0) - passed)
                    await target.sendall(data[:unaffected])
                    await self._inject_fault()
                    end = await self._forward_with_fault(source, target, data[unaffected:])
                    if end is not StreamEnd.COMPLETE:
                        return end
                    passed += len(data)
                    continue
                passed += len(data)
                await target.sendall(data)
            target._socket.shutdown(socket.SHUT_WR)
        return StreamEnd.COMPLETE

    def _is_at_fault_point(self, passed: int, *, is_answer: bool, is_opening: bool = False) -> bool:
        if self.fault_point is None or self.has_injected or self.fault_point.is_answer != is_answer:
            return False
        if self.fault_point.after is None:
            return is_opening
        return not is_opening and passed > self.fault_point.after

    async def _inject_fault(self) -> None:
        self.has_injected = True
        if self.on_fault is not None:
            await self.on_fault()

    async def _forward_with_fault(self, source: Socket, target: Socket, data: bytes) -> StreamEnd:
        """Forward bytes as the fault requires, and return how the direction ends."""
        if self.fault in (Fault.REFUSED, Fault.RESET):
            return StreamEnd.RESET
        if self.fault in (Fault.BLACK_HOLE, Fault.PARTITION):
            await self._discard_all(source)
            return StreamEnd.CLOSED
        if self.fault is Fault.TRUNCATED:
            return StreamEnd.CLOSED
        if self.fault is Fault.GARBAGE:
            await target.sendall(self._random.randbytes(len(data)))
            return StreamEnd.COMPLETE
        if self.fault is Fault.SLOW:
            for start in range(0, len(data), SLOW_CHUNK_BYTES):
                await target.sendall(data[start : start + SLOW_CHUNK_BYTES])
                await curio.sleep(SLOW_CHUNK_DELAY_S)
            return StreamEnd.COMPLETE
        await target.sendall(data)
        return StreamEnd.COMPLETE

    async def _discard_all(self, sock: Socket) -> None:
        with suppress(OSError):
            while await sock.recv(READ_BYTES):
                pass


class StaticDirectory:
    """A directory with a fixed list of VMs."""

    def __init__(self, vms: tuple[Vm, ...]) -> None:
        self.vms = vms

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.vms if vm.service == service)

    def count_vms(self) -> int:
        return 1

    def record_connection_refused(self, vm_name: str) -> None:
        pass

    def record_leaving(self, vm_name: str) -> None:
        pass

    def record_alive(self, vm_name: str, incarnation: int) -> None:
        pass

    def record_worker_left(self, vm_name: str, worker: WorkerIdentity) -> None:
        pass


class WorkerVm:
    """A VM with its worker and the hop server of its node."""

    def __init__(self, name: str, host: str, cell: SnapshotCell, proxy: FaultyProxy | None) -> None:
        ports = find_free_ports(host, 5)
        self.settings = Settings(
            vm=VmSettings(name, "lima", "lima-a", SERVICE),
            listen=ListenSettings(host, *ports[:4]),
            worker=WorkerSettings(host, proxy.port if proxy else ports[4]),
            source=SourceSettings(("127.0.0.1:9",)),
        )
        self.worker = Worker(name, SERVICE, host, proxy.target_port if proxy else ports[4])
        self.cell = cell
        self.incarnation = 0
        self.task: curio.Task | None = None
        self.worker_task: curio.Task | None = None

    @property
    def vm(self) -> Vm:
        return build_own_vm(self.settings)

    async def start(self) -> None:
        self.incarnation += 1
        self.server: HopServer = open_hop_server(
            self.settings,
            cell=self.cell,
            metrics=Metrics(),
            is_up_to_date=lambda: True,
            incarnation=self.incarnation,
        )
        self.task = await curio.spawn(self.server.run, daemon=True)
        if self.worker_task is None:
            self.worker_task = await curio.spawn(self.worker.run, daemon=True)

    async def stop(self) -> None:
        if self.task is not None:
            await self.task.cancel()


class RequestRun:
    """Runs one cell: calls until the fault is injected, then calls after the fault."""

    def __init__(self, cell: Cell, plan: CallPlan, clock: VirtualTime) -> None:
        self.cell = cell
        self.plan = plan
        self.clock = clock
        self.random = Random(4)
        self.snapshots = SnapshotCell()
        self.snapshots.replace(make_snapshot(1))
        self.host = "127.0.60.1"
        self.fault_point = FAULT_POINTS[cell.step]
        self.proxy = self._build_proxy()
        worker_proxy = self.proxy if self.fault_point.place is ProxyPlace.WORKER else None
        self.first = WorkerVm("vm-1", self.host, self.snapshots, worker_proxy)
        self.second = WorkerVm("vm-2", "127.0.60.2", self.snapshots, None)
        self.caller_server: CallerServer | None = None
        self.caller_task: curio.Task | None = None
        self.directory = StaticDirectory(())

    async def run(self) -> None:
        await self.first.start()
        await self.second.start()
        await self._start_caller_server()
        recorder = await self._make_calls()
        self._check_calls(recorder)
        await self._check_after()
        for task in (self.caller_task, self.first.worker_task, self.second.worker_task):
            if task is not None:
                await task.cancel()
        await self.first.stop()
        await self.second.stop()
        await self.proxy_task.cancel()

    def _build_proxy(self) -> FaultyProxy:
        ports = find_free_ports(self.host, 2)
        return FaultyProxy(self.host, ports[0], ports[1], random=self.random)

    async def _start_caller_server(self) -> None:
        self.proxy_task = await curio.spawn(self.proxy.run, daemon=True)
        first = self.first.vm
        if self.fault_point.place is ProxyPlace.HOP:
            self.proxy.target_port = first.hop_port
            first = replace(first, hop_port=self.proxy.port)
        self.directory.vms = (first, self.second.vm)
        await self._open_caller_server()
        if self.fault_point.place is ProxyPlace.CALLER:
            self.proxy.target_port = self.first.settings.listen.caller_port

    async def _open_caller_server(self) -> None:
        self.caller_server = open_caller_server(
            self.first.settings,
            cell=self.snapshots,
            directory=self.directory,
            metrics=Metrics(),
            is_ready=lambda: True,
            is_up_to_date=lambda: True,
            random=Random(2),
        )
        self.caller_task = await curio.spawn(self.caller_server.run, daemon=True)

    @property
    def address(self) -> str:
        if self.fault_point.place is ProxyPlace.CALLER:
            return f"{self.host}:{self.proxy.port}"
        return f"{self.host}:{self.first.settings.listen.caller_port}"

    async def _make_calls(self) -> CallRecorder:
        """Make calls until the fault has been injected."""
        recorder = CallRecorder("caller", [self.address], Random(6))
        self.proxy.fault_point, self.proxy.fault, self.proxy.on_fault = (
            self.fault_point,
            self.cell.fault,
            self._apply_fault,
        )
        for number in range(MAX_CALLS):
            await recorder.make_call(self.plan, number, DEADLINE_S)
            if self.proxy.has_injected:
                break
        assert self.proxy.has_injected, f"the fault was never injected on {self.plan.path}"
        self.proxy.fault_point = None
        await recorder.close()
        return recorder

    async def _apply_fault(self) -> None:
        fault = self.cell.fault
        if fault is Fault.PAUSE:
            self.clock.now_s += PAUSE_S
        elif fault is Fault.DEATH:
            await curio.spawn(self._restart_nodes, False, daemon=True)
            await curio.sleep(0.001)
        elif fault is Fault.HERD:
            await curio.spawn(self._restart_nodes, True, daemon=True)
            await curio.sleep(0.001)
        elif fault is Fault.STALE:
            self.snapshots.replace(make_snapshot(2))

    async def _restart_nodes(self, all_nodes: bool) -> None:
        """Stop the node behind the proxy, or all nodes, and start them again."""
        is_caller_side = self.fault_point.place is ProxyPlace.CALLER
        if is_caller_side or all_nodes:
            await self.caller_task.cancel()
        if not is_caller_side or all_nodes:
            await self.first.stop()
        if all_nodes:
            await self.second.stop()
        await curio.sleep(1.0)
        if is_caller_side or all_nodes:
            await self._open_caller_server()
        if not is_caller_side or all_nodes:
            await self.first.start()
        if all_nodes:
            await self.second.start()

    def _check_calls(self, recorder: CallRecorder) -> None:
        runs = self.first.worker.runs + self.second.worker.runs
        totals = total_calls(recorder.calls, runs)
        violations = (totals.lost, totals.doubled, totals.cut, totals.false_not_run)
        assert violations == (0, 0, 0, 0), totals
        if self.cell.expected is Expected.ANSWERED:
            idempotent_results = {call.result for call in recorder.calls if call.idempotent}
            assert idempotent_results <= {CallResult.ANSWERED}, totals

    async def _check_after(self) -> None:
        """Assert that requests are answered after the fault."""
        await curio.sleep(RECOVERY_S)
        recorder = CallRecorder("after", [self.address], Random(8))
        for number, plan in enumerate(PLANS):
            await recorder.make_call(plan, number, DEADLINE_S)
        await recorder.close()
        assert [call.result for call in recorder.calls] == [CallResult.ANSWERED] * len(PLANS)


def make_snapshot(number: int):
    contract = Contract(idempotent=True, deadline_ms=6_000, retries=2, body_limit_bytes=2**24)
    once = replace(contract, idempotent=False)
    routes = (
        Route("again", Match("/again", ("PUT",)), SERVICE, contract),
        Route("once", Match("/once", ("POST",)), SERVICE, once),
    )
    document = Document((Section(SERVICE, (Upstream(SERVICE),), routes),))
    return build_snapshot(VersionId(number, f"{number:032x}"), Manifest(number, 0, ()), document)


def open_listener(host: str, port: int) -> Socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(64)
    return Socket(sock)


def reset_on_close(sock: Socket) -> None:
    """Make the close of a socket reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def run_request_cell(cell: Cell) -> None:
    """Run one cell of the request path.

    Raises:
        AssertionError: The expected outcome or a guarantee does not hold.
    """
    for plan in PLANS:
        clock = VirtualTime()
        run_virtual(RequestRun(cell, plan, clock).run(), clock=clock)
