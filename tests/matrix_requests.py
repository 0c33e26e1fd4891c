"""Runs the cells of a request's way: a caller, two nodes and two workers, with a faulty wire.

Everything but the wire is the product's code on loopback sockets. The wire stands between the
caller and its node, between two nodes, or between a node and its worker, and strikes when a
certain part of a request or of its answer passes.
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
from matrix_table import Cell, Fault, Stated, Step

from trefoilpick._calls import CallPlan, CallRecorder
from trefoilpick._ledger import CallEnd, total_calls
from trefoilpick._ports import find_free_ports
from trefoilpick._virtual import VirtualTime, run_virtual
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
from trefoilpick.vms import Vm

DEADLINE_S = 8.0
PAUSE_S = 20.0
"""Time that a pause takes, in seconds: longer than every deadline."""

DRIP_BYTES = 400
DRIP_S = 0.01
FAULT_S = 4.0
READ_BYTES = 65_536
BODY_BYTES = 200_000
CALLS = 12
"""Calls within which one must pass the wire."""

SERVICE = "portafolio"


class Place(Enum):
    """Where the wire stands."""

    CALLER = "caller"
    HOP = "hop"
    WORKER = "worker"


@dataclass(frozen=True)
class Spot:
    """Where and when the wire strikes: after some bytes in one direction.

    Attributes:
        place: Where the wire stands.
        after: Bytes that passed; None strikes when the connection is opened.
        is_answer: Whether the answer's bytes are counted, not the request's.
    """

    place: Place
    after: int | None
    is_answer: bool = False


SPOTS = {
    Step.ACCEPT: Spot(Place.CALLER, None),
    Step.READ_HEAD: Spot(Place.CALLER, 20),
    Step.ADMIT: Spot(Place.HOP, None),
    Step.CHOOSE: Spot(Place.HOP, None),
    Step.CONNECT: Spot(Place.WORKER, None),
    Step.SEND_HEAD: Spot(Place.WORKER, 10),
    Step.SEND_BODY: Spot(Place.WORKER, BODY_BYTES // 8),
    Step.AWAIT: Spot(Place.WORKER, 0, is_answer=True),
    Step.RELAY_ANSWER: Spot(Place.WORKER, 60, is_answer=True),
    Step.FINISH: Spot(Place.CALLER, 100, is_answer=True),
}

PLANS = (
    CallPlan("PUT", "q", "/again", True, BODY_BYTES),
    CallPlan("POST", "q", "/once", False, BODY_BYTES),
    CallPlan("POST", "q", "/once", False, BODY_BYTES // 4, bare=True),
)


class End(Enum):
    """How one direction of a connection ended."""

    WHOLE = "whole"
    RESET = "reset"
    CLOSED = "closed"


class Wire:
    """Passes a connection's bytes on, and strikes once at its spot."""

    def __init__(self, host: str, port: int, to_port: int, *, chance: Random) -> None:
        self.host, self.port, self.to_port = host, port, to_port
        self.spot: Spot | None = None
        self.fault: Fault | None = None
        self.strike: Callable[[], Awaitable[None]] | None = None
        self.struck = False
        self.cut_until_s = 0.0
        self._chance = chance
        self._listener = listen(host, port)

    async def run(self) -> None:
        async with self._listener, curio.TaskGroup() as tasks:
            while True:
                client, _ = await self._listener.accept()
                await tasks.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Socket) -> None:
        if self._reaches(0, is_answer=False, opening=True):
            await self._strike_now()
            if self.fault in (Fault.REFUSED, Fault.RESET, Fault.DEATH):
                reset(client)
                await client.close()
                return
            if self.fault in (Fault.BLACK_HOLE, Fault.PARTITION):
                await self._stand_still(client)
                await client.close()
                return
        try:
            upstream = await curio.open_connection(self.host, self.to_port)
        except OSError:
            reset(client)
            await client.close()
            return
        async with curio.TaskGroup(wait=None) as pumps:
            await pumps.spawn(self._pump, client, upstream, False)
            await pumps.spawn(self._pump, upstream, client, True)
            async for pump in pumps:
                if pump.result is not End.WHOLE:
                    break
        if pump.result is End.RESET:
            reset(client)
            reset(upstream)
        await client.close()
        await upstream.close()

    async def _pump(self, one: Socket, other: Socket, is_answer: bool) -> End:
        passed = 0
        with suppress(OSError):
            while data := await one.recv(READ_BYTES):
                if self._reaches(passed + len(data), is_answer=is_answer):
                    assert self.spot is not None
                    keep = max(0, (self.spot.after or 0) - passed)
                    await other.sendall(data[:keep])
                    await self._strike_now()
                    end = await self._spoil(one, other, data[keep:])
                    if end is not End.WHOLE:
                        return end
                    passed += len(data)
                    continue
                passed += len(data)
                await other.sendall(data)
            other._socket.shutdown(socket.SHUT_WR)
        return End.WHOLE

    def _reaches(self, passed: int, *, is_answer: bool, opening: bool = False) -> bool:
        if self.spot is None or self.struck or self.spot.is_answer != is_answer:
            return False
        if self.spot.after is None:
            return opening
        return not opening and passed > self.spot.after

    async def _strike_now(self) -> None:
        self.struck = True
        if self.strike is not None:
            await self.strike()

    async def _spoil(self, one: Socket, other: Socket, data: bytes) -> End:
        """Pass bytes on as the fault has it; tell how the connection goes on."""
        if self.fault in (Fault.REFUSED, Fault.RESET):
            return End.RESET
        if self.fault in (Fault.BLACK_HOLE, Fault.PARTITION):
            await self._stand_still(one)
            return End.CLOSED
        if self.fault is Fault.TRUNCATED:
            return End.CLOSED
        if self.fault is Fault.GARBAGE:
            await other.sendall(self._chance.randbytes(len(data)))
            return End.WHOLE
        if self.fault is Fault.SLOW:
            for start in range(0, len(data), DRIP_BYTES):
                await other.sendall(data[start : start + DRIP_BYTES])
                await curio.sleep(DRIP_S)
            return End.WHOLE
        await other.sendall(data)
        return End.WHOLE

    async def _stand_still(self, sock: Socket) -> None:
        with suppress(OSError):
            while await sock.recv(READ_BYTES):
                pass


class StaticDirectory:
    """A directory that lists what it is told to."""

    def __init__(self, vms: tuple[Vm, ...]) -> None:
        self.vms = vms

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.vms if vm.service == service)

    def count_vms(self) -> int:
        return 1

    def note_refused(self, vm_name: str) -> None:
        pass

    def note_leaving(self, vm_name: str) -> None:
        pass

    def note_alive(self, vm_name: str, incarnation: int) -> None:
        pass


class Post:
    """One VM: its worker and the worker's side of its node."""

    def __init__(self, name: str, host: str, cell: SnapshotCell, wire: Wire | None) -> None:
        ports = find_free_ports(host, 5)
        self.settings = Settings(
            vm=VmSettings(name, "lima", "lima-a", SERVICE),
            listen=ListenSettings(host, *ports[:4]),
            worker=WorkerSettings(host, wire.port if wire else ports[4]),
            source=SourceSettings(("127.0.0.1:9",)),
        )
        self.worker = Worker(name, SERVICE, host, wire.to_port if wire else ports[4])
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
            is_level=lambda: True,
            incarnation=self.incarnation,
        )
        self.task = await curio.spawn(self.server.run, daemon=True)
        if self.worker_task is None:
            self.worker_task = await curio.spawn(self.worker.run, daemon=True)

    async def stop(self) -> None:
        if self.task is not None:
            await self.task.cancel()


class RequestRun:
    """One cell: calls through the faulty wire, then calls after the fault."""

    def __init__(self, cell: Cell, plan: CallPlan, clock: VirtualTime) -> None:
        self.cell = cell
        self.plan = plan
        self.clock = clock
        self.chance = Random(4)
        self.snapshots = SnapshotCell()
        self.snapshots.replace(make_snapshot(1))
        self.host = "127.0.60.1"
        self.spot = SPOTS[cell.step]
        self.wire = self._build_wire()
        at_worker = self.wire if self.spot.place is Place.WORKER else None
        self.first = Post("vm-1", self.host, self.snapshots, at_worker)
        self.second = Post("vm-2", "127.0.60.2", self.snapshots, None)
        self.front: CallerServer | None = None
        self.front_task: curio.Task | None = None
        self.directory = StaticDirectory(())

    async def run(self) -> None:
        await self.first.start()
        await self.second.start()
        await self._start_front()
        recorder = await self._make_calls()
        self._check(recorder)
        await self._check_after()
        for task in (self.front_task, self.first.worker_task, self.second.worker_task):
            if task is not None:
                await task.cancel()
        await self.first.stop()
        await self.second.stop()
        await self.wire_task.cancel()

    def _build_wire(self) -> Wire:
        ports = find_free_ports(self.host, 2)
        return Wire(self.host, ports[0], ports[1], chance=self.chance)

    async def _start_front(self) -> None:
        self.wire_task = await curio.spawn(self.wire.run, daemon=True)
        first = self.first.vm
        if self.spot.place is Place.HOP:
            self.wire.to_port = first.hop_port
            first = replace(first, hop_port=self.wire.port)
        self.directory.vms = (first, self.second.vm)
        await self._open_front()
        if self.spot.place is Place.CALLER:
            self.wire.to_port = self.first.settings.listen.caller_port

    async def _open_front(self) -> None:
        self.front = open_caller_server(
            self.first.settings,
            cell=self.snapshots,
            directory=self.directory,
            metrics=Metrics(),
            is_ready=lambda: True,
            is_level=lambda: True,
            random=Random(2),
        )
        self.front_task = await curio.spawn(self.front.run, daemon=True)

    @property
    def address(self) -> str:
        if self.spot.place is Place.CALLER:
            return f"{self.host}:{self.wire.port}"
        return f"{self.host}:{self.first.settings.listen.caller_port}"

    async def _make_calls(self) -> CallRecorder:
        """Make calls until the fault has struck."""
        recorder = CallRecorder("caller", [self.address], Random(6))
        self.wire.spot, self.wire.fault, self.wire.strike = self.spot, self.cell.fault, self._strike
        for turn in range(CALLS):
            await recorder.make_call(self.plan, turn, DEADLINE_S)
            if self.wire.struck:
                break
        assert self.wire.struck, f"the fault never struck {self.plan.path}"
        self.wire.spot = None
        await recorder.close()
        return recorder

    async def _strike(self) -> None:
        fault = self.cell.fault
        if fault is Fault.PAUSE:
            self.clock.now_s += PAUSE_S
        elif fault is Fault.DEATH:
            await curio.spawn(self._die, False, daemon=True)
            await curio.sleep(0.001)
        elif fault is Fault.HERD:
            await curio.spawn(self._die, True, daemon=True)
            await curio.sleep(0.001)
        elif fault is Fault.STALE:
            self.snapshots.replace(make_snapshot(2))

    async def _die(self, herd: bool) -> None:
        """End the node beside the wire, or all nodes, and start them again."""
        is_front = self.spot.place is Place.CALLER
        if is_front or herd:
            await self.front_task.cancel()
        if not is_front or herd:
            await self.first.stop()
        if herd:
            await self.second.stop()
        await curio.sleep(1.0)
        if is_front or herd:
            await self._open_front()
        if not is_front or herd:
            await self.first.start()
        if herd:
            await self.second.start()

    def _check(self, recorder: CallRecorder) -> None:
        runs = self.first.worker.runs + self.second.worker.runs
        totals = total_calls(recorder.calls, runs)
        broken = (totals.lost, totals.doubled, totals.cut, totals.false_not_run)
        assert broken == (0, 0, 0, 0), totals
        if self.cell.stated is Stated.ANSWERED:
            again = {call.end for call in recorder.calls if call.idempotent}
            assert again <= {CallEnd.ANSWERED}, totals

    async def _check_after(self) -> None:
        """Assert that requests are answered once the fault is over."""
        await curio.sleep(FAULT_S)
        recorder = CallRecorder("after", [self.address], Random(8))
        for number, plan in enumerate(PLANS):
            await recorder.make_call(plan, number, DEADLINE_S)
        await recorder.close()
        assert [call.end for call in recorder.calls] == [CallEnd.ANSWERED] * len(PLANS)


def make_snapshot(number: int):
    contract = Contract(idempotent=True, deadline_ms=6_000, retries=2, body_limit_bytes=2**24)
    once = replace(contract, idempotent=False)
    routes = (
        Route("again", Match("/again", ("PUT",)), SERVICE, contract),
        Route("once", Match("/once", ("POST",)), SERVICE, once),
    )
    document = Document((Section(SERVICE, (Upstream(SERVICE),), routes),))
    return build_snapshot(VersionId(number, f"{number:032x}"), Manifest(number, 0, ()), document)


def listen(host: str, port: int) -> Socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(64)
    return Socket(sock)


def reset(sock: Socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def run_request_cell(cell: Cell) -> None:
    """Run one cell of a request's way.

    Raises:
        AssertionError: The stated outcome or a promise does not hold.
    """
    for plan in PLANS:
        clock = VirtualTime()
        run_virtual(RequestRun(cell, plan, clock).run(), clock=clock)
