"""Live test of nested calls: three services in a chain, one node and one worker each."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import curio
from fakes_hop import TestCaller
from fakes_worker import OK, FakeWorker, ReceivedRequest, wait_for

from trefoilpick._connections import open_connection
from trefoilpick._ports import find_free_ports
from trefoilpick.conventions import Conventions
from trefoilpick.document import Contract, Match, Objective, Priority, Route, Section, Upstream
from trefoilpick.node import Node, build_own_vm, open_node
from trefoilpick.settings import (
    ControlSettings,
    HopSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.standin import Standin, open_standin

CHAIN = {"gridserve": ("ledger",), "ledger": ("vault", "vault"), "vault": ()}
"""Calls that each service makes one after the other for every request."""

DEADLINE_MS = 1_000
SERVICE_S = 0.1
SLOTS = 2
LOAD_S = 4.0
TIMEOUT_S = 60
CHAINS_PER_S = 2.0
CLIENTS_PER_S = 2 * SLOTS / SERVICE_S
"""Twice the capacity of the last service."""

FAILED = b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n"
HEADERS = ("x-request-id", "x-trefoilpick-deadline-ms")


@dataclass
class ChainVm:
    """A node and its worker, which makes the nested calls of its service through that node."""

    node: Node
    worker: FakeWorker
    results: Counter[str] = field(default_factory=Counter)

    async def call(self, service: str, request_id: str, deadline_ms: int) -> bool:
        """Call a service through the node; return whether it answered with status 200."""
        listen = self.node.settings.listen
        sock = await open_connection(listen.host, listen.caller_port)
        async with sock:
            fields = (request_id, str(deadline_ms))
            headers = dict(zip(("x_request_id", "x_trefoilpick_deadline_ms"), fields, strict=True))
            answer = await TestCaller(sock).request("GET", f"/{service}", **headers)
        return answer.status == 200

    async def run_request(self, request: ReceivedRequest) -> None:
        """Run a request with the calls that belong to it."""
        request_id, deadline = (request.headers[name.encode()].decode() for name in HEADERS)
        end_s = time.monotonic() + int(deadline) / 1_000
        calls = CHAIN[self.node.settings.vm.service]
        succeeded = True
        for number, service in enumerate(calls):
            left_ms = int((end_s - time.monotonic()) * 1_000)
            succeeded = left_ms > 0 and await self.call(service, f"{request_id}.{number}", left_ms)
            if not succeeded:
                break
        if not calls:
            await curio.sleep(SERVICE_S)
        self.results["succeeded" if succeeded else "failed after it ran"] += 1
        await request.sock.sendall(OK if succeeded else FAILED)


def build_chain_vm(
    standin: Standin, service: str, host: str, worker: FakeWorker, *, nested_first: bool
) -> ChainVm:
    settings = Settings(
        vm=VmSettings(f"{service}-1", "lima", "lima-a", service),
        listen=ListenSettings(host, *find_free_ports(host, 4)),
        worker=WorkerSettings("127.0.0.1", worker.port),
        source=SourceSettings((standin.address,)),
        control=ControlSettings(expected_vms=len(CHAIN), join_wait_ms=200),
        hops=HopSettings(warm_up_ms=0, nested_first=nested_first),
    )
    conventions = Conventions(nested_separator=b".")
    node = open_node(settings, rng=random.Random(host), conventions=conventions)
    vm = ChainVm(node, worker)
    worker.default = vm.run_request
    return vm


def build_section() -> Section:
    """Return the section of the chain: clients and chains have the same priority and deadline."""
    contract = Contract(
        True,
        DEADLINE_MS,
        Priority.INTERACTIVE,
        retries=0,
        objective=Objective(latency_ms=DEADLINE_MS),
        large_answers=True,
    )
    return Section(
        "grid",
        tuple(Upstream(name, slots=SLOTS if name == "vault" else 20) for name in CHAIN),
        tuple(Route(name, Match(f"/{name}", ("GET",)), name, contract) for name in CHAIN),
    )


async def run_load(vms: dict[str, ChainVm]) -> Counter[str]:
    """Send chains and clients' requests of the last service; return the clients' results."""
    results: Counter[str] = Counter()

    async def send(service: str, number: int) -> None:
        was_served = await vms["gridserve"].call(service, f"{service}-{number}", DEADLINE_MS)
        results[f"{service} {'served' if was_served else 'refused'}"] += 1

    async def send_at_rate(service: str, rate_per_s: float) -> None:
        async with curio.TaskGroup() as tasks:
            for number in range(round(rate_per_s * LOAD_S)):
                await tasks.spawn(send, service, number)
                await curio.sleep(1 / rate_per_s)

    async with curio.TaskGroup() as tasks:
        await tasks.spawn(send_at_rate, "vault", CLIENTS_PER_S)
        await tasks.spawn(send_at_rate, "gridserve", CHAINS_PER_S)
    return results


async def run_chain(*, nested_first: bool) -> tuple[Counter[str], Counter[str]]:
    """Run the load; return the results of the first worker, and of clients and nested calls."""
    async with open_standin() as standin:
        vms = {
            service: build_chain_vm(
                standin, service, f"127.0.43.{index}", FakeWorker(), nested_first=nested_first
            )
            for index, service in enumerate(CHAIN, 1)
        }
        await standin.put_vms(1, (build_own_vm(vm.node.settings) for vm in vms.values()))
        await standin.put_version(1, (build_section(),), accepted_at_ms=time.time_ns() // 10**6)
        parts = [part for vm in vms.values() for part in (vm.worker, vm.node)]
        tasks = [await curio.spawn(part.run, daemon=True) for part in parts]
        try:
            await wait_for(lambda: all(vm.node.is_ready for vm in vms.values()))
            clients = await run_load(vms)
            clients["nested answered"] = vms["vault"].node.metrics.get_count(
                "trefoilpick_hop_nested_calls_total", kind="answered"
            )
        finally:
            for task in tasks:
                await task.cancel()
            for vm in vms.values():
                await vm.worker.listener.close()
        return vms["gridserve"].results, clients


def run_with_timeout(*, nested_first: bool) -> tuple[Counter[str], Counter[str]]:
    async def main() -> tuple[Counter[str], Counter[str]]:
        async with curio.timeout_after(TIMEOUT_S):
            return await run_chain(nested_first=nested_first)

    return curio.run(main)


def test_chain_of_three_services_the_last_one_full() -> None:
    """Guards against requests that fail after they ran because a nested call was refused or late.

    The last service gets twice its capacity from clients of the same priority and deadline.
    """
    off, off_clients = run_with_timeout(nested_first=False)
    on, clients = run_with_timeout(nested_first=True)
    assert off["failed after it ran"] > 0
    assert on == {"succeeded": round(CHAINS_PER_S * LOAD_S)}
    assert off_clients["nested answered"] == 0
    assert clients["nested answered"] == 2 * on["succeeded"]
    assert clients["vault served"] >= 0.25 * LOAD_S * SLOTS / SERVICE_S
