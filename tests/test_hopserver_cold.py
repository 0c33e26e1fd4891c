"""A cold worker behind a live hop server: a fake worker, loopback connections, real time."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from fakes_worker import (
    HOST,
    OK,
    Bench,
    ReceivedRequest,
    make_read,
    make_request,
    open_bench,
    receive_result,
    send_and_receive,
    send_request,
    wait_for,
)

from trefoilpick._clock import read_clock
from trefoilpick.hops import FrameKind, encode_data, encode_frame, encode_head
from trefoilpick.vms import Vm

OWN_VM = Vm("w", "lima", "lima-a", "encargos", HOST, 1, 2, worker="i-1", slots=8)
UPSTREAM = {
    "slots": 8,
    "queue": 100,
    "health_path": "/health",
    "cold_start_ms": 1_500,
    "cold_rate_per_s": 3.15,
}
MAX_PER_S = 3.15 * 1.5 + 8.0


class ColdWorker:
    """The behaviour of a worker that states its remaining cold time and records requests."""

    def __init__(self, remaining_ms: bytes | None = b"0") -> None:
        self.remaining_ms = remaining_ms
        self.arrived_s: list[float] = []
        self.probes = 0

    async def answer(self, request: ReceivedRequest) -> None:
        self.arrived_s.append(read_clock())
        head = OK
        if request.target == "/health":
            self.probes += 1
            if self.remaining_ms is not None:
                stated = b"x-worker-cold-start-ms: " + self.remaining_ms
                head = OK.replace(b"\r\n\r\n", b"\r\n" + stated + b"\r\n\r\n")
        await request.sock.sendall(head)

    def count_most(self, *, since_s: float, until_s: float = math.inf) -> int:
        ends = [end_s for end_s in self.arrived_s if since_s <= end_s <= until_s]
        return max(sum(end_s - 1.0 <= s <= end_s for s in self.arrived_s) for end_s in ends)


def run(
    test: Callable[[Bench, ColdWorker], Awaitable[None]],
    *,
    listed: list[Vm] | None = None,
    remaining_ms: bytes | None = b"0",
    **upstream: Any,
) -> None:
    vms = listed if listed is not None else [OWN_VM]

    async def main() -> None:
        async with (
            curio.timeout_after(60),
            open_bench(
                find_listed_vm=lambda: vms[0],
                upstream={**UPSTREAM, **upstream},
                cold_overage=1.5,
                cold_slack=8.0,
            ) as bench,
        ):
            worker = ColdWorker(remaining_ms)
            bench.worker.default = worker.answer
            await test(bench, worker)

    curio.run(main)


async def call_until(bench: Bench, end_s: float) -> None:
    hop = await bench.connect()
    while read_clock() < end_s:
        result = await send_and_receive(hop, make_read(remaining_ms=300))
        await curio.sleep(max(0.005, (result.retry_after_ms or 0) / 2_000))


async def call_all(bench: Bench, duration_s: float) -> None:
    async with curio.TaskGroup() as group:
        for _ in range(16):
            await group.spawn(call_until, bench, read_clock() + duration_s)


# Guards against a node that restarts beside a warm worker and limits it for the whole cold start: a
# warm worker omits the header. A value that cannot be read says nothing.
@pytest.mark.parametrize(("remaining_ms", "is_warm"), [(None, True), (b"soon", False)])
def test_a_warm_worker_is_not_limited_after_the_probe(
    remaining_ms: bytes | None, is_warm: bool
) -> None:
    async def test(bench: Bench, worker: ColdWorker) -> None:
        await wait_for(lambda: worker.probes == 1)
        await curio.sleep(0.4)
        assert (bench.server.measure_load().cold_rate is None) is is_warm

    run(test, remaining_ms=remaining_ms)


# Guards against crashing a worker that starts with its node.
def test_a_worker_stays_within_the_bound_until_its_cold_start_is_over() -> None:
    async def test(bench: Bench, worker: ColdWorker) -> None:
        await wait_for(lambda: worker.probes == 1)
        began_s = read_clock()
        load = await curio.spawn(call_all, bench, 1.8)
        cold_until_s = began_s
        while (rate := bench.server.measure_load().cold_rate) is not None:
            assert rate == pytest.approx(4.725)
            cold_until_s = read_clock()
            await curio.sleep(0.01)
        assert cold_until_s - began_s >= 1.8
        assert read_clock() - began_s == pytest.approx(2.0, abs=0.4)
        await load.join()
        assert worker.count_most(since_s=began_s, until_s=cold_until_s) <= MAX_PER_S
        assert worker.probes == 1

    run(test, remaining_ms=b"2000")


# Guards against full load on a worker that restarted: the list shows it while requests come.
def test_no_second_exceeds_the_bound_when_a_worker_under_load_turns_cold() -> None:
    listed = [OWN_VM]

    async def test(bench: Bench, worker: ColdWorker) -> None:
        await wait_for(lambda: bench.server.measure_load().cold_rate is None and worker.probes > 0)
        load = await curio.spawn(call_all, bench, 4.0)
        await curio.sleep(1.0)
        assert len(worker.arrived_s) > 10 * MAX_PER_S
        listed[0] = Vm(**{**vars(OWN_VM), "started_ms": 5, "cold_ms": 1_500})
        await wait_for(lambda: bench.server.measure_load().cold_rate is not None)
        cold_s = read_clock()
        await curio.sleep(1.3)
        sent = [s - cold_s for s in worker.arrived_s if s > cold_s]
        assert len(sent) <= 1 + 4.725 * 1.4
        await load.join()
        # Warm again, without having been asked: the list stated the time.
        assert worker.probes == 1 and len(worker.arrived_s) > len(sent) + 10 * MAX_PER_S

    run(test, listed=listed)


# Guards against requests that got a token, waited for their bodies and are then sent together.
def test_requests_that_waited_for_their_bodies_are_not_sent_together() -> None:
    async def test(bench: Bench, worker: ColdWorker) -> None:
        await wait_for(lambda: worker.probes == 1)
        hops = []
        for number in range(16):
            hop = await bench.connect()
            request = make_request(has_body=True, caller=f"c-{number}", objective_ms=None)
            await hop.send(encode_head(FrameKind.REQUEST, request))
            hops.append(hop)
        await wait_for(lambda: bench.server.admission.in_flight == 16, limit_s=10.0)
        began_s = read_clock()
        for hop in hops:
            await hop.send(encode_data([b"body"]), encode_frame(FrameKind.END))
        results = [await receive_result(hop) for hop in hops]
        assert {result.status for result in results} == {200}
        assert worker.count_most(since_s=began_s) <= MAX_PER_S

    listed = [Vm(**{**vars(OWN_VM), "slots": 16})]
    run(test, listed=listed, remaining_ms=b"30000")


# Guards against full load on the next worker that listens after one has refused a connection.
def test_a_worker_that_listens_again_is_cold() -> None:
    async def test(bench: Bench, worker: ColdWorker) -> None:
        await wait_for(lambda: bench.server.measure_load().cold_rate is None and worker.probes > 0)
        await bench.worker.stop_listening()
        assert (await bench.call(make_read())).kind == "upstream_refused"
        assert bench.server.measure_load().cold_rate is not None
        await curio.sleep(2.0)
        await bench.worker.listen_again()
        began_s = read_clock()
        await call_all(bench, 1.0)
        assert worker.count_most(since_s=began_s) <= MAX_PER_S
        assert bench.server.measure_load().cold_rate is not None

    run(test)


# Guards against a probe that reaches a worker of an evacuated data centre.
def test_a_worker_that_may_get_no_requests_is_not_probed() -> None:
    async def test(bench: Bench, worker: ColdWorker) -> None:
        await curio.sleep(0.5)
        assert bench.server.measure_load().cold_rate is not None
        assert worker.arrived_s == []

    run(test, listed=[Vm(**{**vars(OWN_VM), "evacuated": True})])


# Guards against any change for the services of deployments that state no cold rate.
def test_nothing_changes_for_an_upstream_without_a_cold_rate() -> None:
    async def test(bench: Bench, worker: ColdWorker) -> None:
        hop = await bench.connect()
        for _ in range(100):
            await send_request(hop, make_read())
            assert (await receive_result(hop)).load.cold_rate is None
        assert len(worker.arrived_s) == 100 and worker.probes == 0
        assert not any("cold" in line for line in bench.metrics.render())

    run(test, listed=[Vm(**{**vars(OWN_VM), "cold_ms": 3_000})], cold_rate_per_s=0.0)
