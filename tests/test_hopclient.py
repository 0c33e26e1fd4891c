from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import curio
import pytest
from curio import socket
from fakes_hop import HOST, Bench, FakeWorkerNode, answer_ok, connect, run_bench
from fakes_proxy import SilencingProxy

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.hopclient import HopPool
from trefoilpick.hops import FrameKind, Hop, HopRequest, Load, encode_frame, encode_head
from trefoilpick.settings import RequestSettings
from trefoilpick.vms import Vm

PROXY_HOST = "127.0.56.1"


class ProxiedWorkerNode(FakeWorkerNode):
    """A worker's node that callers' nodes reach through a proxy."""

    def build_vm(self) -> Vm:
        return replace(super().build_vm(), host=PROXY_HOST)

    async def run(self, listener: socket.socket) -> None:
        self.proxy = SilencingProxy((PROXY_HOST, self.port), (HOST, self.port))
        await curio.spawn(self.proxy.run, daemon=True)
        await super().run(listener)


def run_pool(
    main: Callable[[FakeWorkerNode, HopPool, list[Load]], Coroutine[Any, Any, None]],
) -> None:
    async def run() -> None:
        fake = FakeWorkerNode()
        loads: list[Load] = []
        settings = RequestSettings(idle_hops=2, hop_idle_ms=10_000)
        pool = HopPool(settings, lambda _vm, load, _now: loads.append(load))
        task = await curio.spawn(fake.run, fake.listen(), daemon=True)
        async with curio.timeout_after(20):
            await main(fake, pool, loads)
        await pool.close()
        await task.cancel()

    curio.run(run)


@pytest.mark.parametrize(
    "fault", ["none", "unclean", "closed", "unexpected frame", "partial frame", "idle"]
)
def test_only_clean_idle_connections_are_reused(fault: str) -> None:
    async def main(fake: FakeWorkerNode, pool: HopPool, _loads: list[Load]) -> None:
        vm = fake.build_vm()
        hop = await pool.acquire(vm, timeout_s=1.0)
        while not fake.hops:
            await curio.sleep(0.001)
        hop.is_clean = fault != "unclean"
        await pool.release(hop, 0.0)
        if fault == "closed":
            await fake.hops[0].sock.shutdown(socket.SHUT_RDWR)
        elif fault == "unexpected frame":
            await fake.hops[0].send(encode_frame(FrameKind.DATA, b"late"))
        elif fault == "partial frame":
            await fake.hops[0].send(b"\0\0")
        elif fault == "idle":
            await pool.sweep(11.0)
        acquired = await pool.acquire(vm, timeout_s=1.0)
        assert (acquired is hop) == (fault == "none")
        await acquired.close()

    run_pool(main)


def test_notices_are_read_and_a_leaving_notice_closes_the_connection() -> None:
    async def main(fake: FakeWorkerNode, pool: HopPool, loads: list[Load]) -> None:
        vm = fake.build_vm()
        for is_leaving in (False, True):
            hop = await pool.acquire(vm, timeout_s=1.0)
            while not fake.hops:
                await curio.sleep(0.001)
            await pool.release(hop, 0.0)
            fake.leaving = is_leaving
            await fake.hops[-1].send(encode_head(FrameKind.NOTICE, fake.build_load()))
            while len(loads) < 1 + is_leaving:
                await pool.sweep(1.0)
            assert loads[-1].leaving == is_leaving
            acquired = await pool.acquire(vm, timeout_s=1.0)
            assert (acquired is hop) == (not is_leaving)
            await pool.release(acquired, 0.0)

    run_pool(main)


def test_connecting_has_a_timeout_and_a_refusal_is_an_error() -> None:
    async def main(fake: FakeWorkerNode, pool: HopPool, _loads: list[Load]) -> None:
        fake.port = 1
        with pytest.raises(TrefoilpickError) as caught:
            await pool.acquire(fake.build_vm(), timeout_s=1.0)
        assert caught.value.kind is ErrorKind.UPSTREAM_REFUSED
        full_listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        full_listener.bind((HOST, 0))
        full_listener.listen(0)
        fake.port = full_listener.getsockname()[1]
        with pytest.raises(TrefoilpickError) as caught:
            connections = [await pool.acquire(fake.build_vm(), timeout_s=0.1) for _ in range(20)]
            assert not connections
        assert caught.value.kind is ErrorKind.UPSTREAM_REFUSED
        await full_listener.close()

    run_pool(main)


# Guards against idle hops that are silent and cost one request each, one after the other.
def test_one_request_meets_silent_hops_and_the_next_ones_are_answered() -> None:
    count = 4

    async def answer_together(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        while fake.connections < count:
            await curio.sleep(0.01)
        await answer_ok(fake, hop, head)

    fake = ProxiedWorkerNode()

    async def main(bench: Bench) -> None:
        fake.scripts.extend([answer_together] * count)
        callers = [await connect(bench) for _ in range(count)]
        async with curio.TaskGroup() as group:
            for caller in callers:
                await group.spawn(caller.request, "GET", "/status")
        fake.proxy.silence()
        # An unsafe request may have run: it is neither repeated nor called "not run".
        answer = await callers[0].request("POST", "/short", b"")
        assert (answer.status, answer.outcome) == (504, "unknown")
        for _ in range(count):
            caller = await connect(bench)
            assert (await caller.request("POST", "/short", b"")).status == 200
        assert sum(fake.runs.values()) == 2 * count
        assert len(fake.proxy.connections) == count + 1

    run_bench(main, fake)
