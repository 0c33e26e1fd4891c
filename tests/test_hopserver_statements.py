"""Workers that state a limit on their requests, or that they leave, in their answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

import curio
import pytest
from fakes_worker import (
    Bench,
    PausedAnswer,
    make_read,
    make_request,
    open_bench,
    respond,
    send_and_receive,
    wait_for,
)

from trefoilpick._clock import read_clock
from trefoilpick.vms import Vm, VmState

OWN_VM = Vm("w", "lima", "lima-a", "portafolio", "127.0.0.1", 1, 2, worker="i-1", slots=8)

RATE_LIMIT = 20
"""Requests per second that the worker accepts."""

WINDOW_S = 4.0
"""Span in which requests to a limited worker are counted, in seconds."""

EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
"""A worker may get this many times what its limit allows, and this many more."""


def answer(*headers: bytes) -> bytes:
    lines = b"".join(header + b"\r\n" for header in headers)
    return b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n" + lines + b"\r\nok"


def refuse(retry_after: bytes) -> bytes:
    head = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n"
    return head + b"retry-after: " + retry_after + b"\r\n\r\n"


def run(test: Callable[[Bench], Awaitable[None]], listed: list[Vm] | None = None) -> None:
    vms = listed if listed is not None else [OWN_VM]

    async def main() -> None:
        async with open_bench(
            find_listed_vm=lambda: vms[0], upstream={"slots": 8, "queue": 100}
        ) as bench:
            await test(bench)

    curio.run(main)


async def call_until(bench: Bench, end_s: float) -> None:
    """Send one request after the other, and after a refusal wait as long as it advises."""
    hop = await bench.connect()
    while read_clock() < end_s:
        result = await send_and_receive(hop, make_read(remaining_ms=300))
        if result.retry_after_ms is not None:
            await curio.sleep(result.retry_after_ms / 1000)


# Guards against passing on to a worker more requests than it states that it accepts.
def test_a_worker_gets_no_more_requests_than_the_rate_that_it_states() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.default = respond(answer(b"x-worker-limit: %d" % RATE_LIMIT))
        await bench.call(make_read())
        before = len(bench.worker.executed)
        end_s = read_clock() + WINDOW_S
        async with curio.TaskGroup() as group:
            for _ in range(16):
                await group.spawn(call_until, bench, end_s)
        count = len(bench.worker.executed) - before
        assert count <= EXCESS_FACTOR * RATE_LIMIT * WINDOW_S + EXCESS_REQUESTS
        assert count >= RATE_LIMIT * WINDOW_S * 0.8

    run(test)


# Guards against passing on requests to a worker that stated in an answer that it is leaving.
def test_a_worker_that_states_that_it_leaves_gets_no_new_requests() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.default = respond(answer(b"x-worker-leaving: 1"))
        assert (await bench.call(make_request())).status == 200
        result = await bench.call(make_request())
        assert (result.kind, result.outcome) == ("draining", "not_run")
        assert len(bench.worker.executed) == 1

    run(test)


def test_the_limit_is_reported_to_the_callers_nodes() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(answer(b"x-worker-limit: 8.9")), respond(answer())]
        result = await bench.call(make_read())
        assert result.load is not None and result.load.rate_limit == 8.9
        await curio.sleep(0.2)
        result = await bench.call(make_read())
        assert result.load is not None and result.load.rate_limit is None

    run(test)


# Guards against exceeding a worker's limit because its node was restarted and has forgotten it.
def test_a_restarted_node_learns_the_limit_from_the_first_request() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.default = respond(answer(b"x-worker-limit: 0.5"))
        result = await bench.call(make_read(rate_limit=0.5, objective_ms=400))
        assert (result.kind, result.outcome) == ("rate_limited", "not_run")
        assert bench.worker.executed == []

    run(test)


# Guards against callers' nodes that forget a limit because a restarted node refused them at first.
def test_a_node_that_is_not_ready_reports_the_limit_that_it_was_told() -> None:
    async def test(bench: Bench) -> None:
        bench.server.is_refusing = True
        result = await bench.call(make_read(rate_limit=0.5))
        assert result.kind == "draining"
        assert result.load is not None and result.load.rate_limit == 0.5

    run(test)


def test_a_remembered_limit_does_not_concern_a_worker_that_replaced_the_limited_one() -> None:
    listed = [OWN_VM]

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(answer(b"x-worker-limit: 0.5"))]
        assert (await bench.call(make_read())).status == 200
        listed[0] = replace(OWN_VM, started_ms=7)
        result = await bench.call(make_read(rate_limit=0.5, objective_ms=400))
        assert result.status == 200

    run(test, listed)


def test_a_limit_that_a_caller_remembers_does_not_override_the_workers_own_statement() -> None:
    async def test(bench: Bench) -> None:
        assert (await bench.call(make_read())).status == 200
        result = await bench.call(make_read(rate_limit=0.5, objective_ms=400))
        assert result.status == 200

    run(test)


def test_a_new_worker_does_not_inherit_the_limit_of_the_one_that_it_replaced() -> None:
    listed = [OWN_VM]

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(answer(b"x-worker-limit: 0.5"))]
        assert (await bench.call(make_read())).status == 200
        assert (await bench.call(make_read(objective_ms=400))).kind == "rate_limited"
        listed[0] = replace(OWN_VM, started_ms=7)
        assert (await bench.call(make_read(objective_ms=400))).status == 200

    run(test, listed)


# Guards against a second attempt on a new connection that exceeds the worker's limit.
def test_a_second_attempt_on_a_new_connection_uses_up_the_rate() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.default = respond(answer(b"x-worker-limit: 1"))
        assert (await bench.call(make_read())).status == 200
        await curio.sleep(1.1)
        bench.worker.script = [respond(b"", then_reset=True)]
        result = await bench.call(make_read())
        assert (result.kind, result.outcome) == ("upstream_lost", "unknown")
        assert len(bench.worker.executed) == 2

    run(test)


def test_requests_that_wait_for_a_worker_are_refused_once_it_states_that_it_leaves() -> None:
    async def test(bench: Bench) -> None:
        leaving = PausedAnswer(answer(b"x-worker-leaving: 1"))
        bench.worker.default = leaving
        tasks = [await curio.spawn(bench.call, make_request()) for _ in range(OWN_VM.slots + 2)]
        await wait_for(lambda: bench.server.admission.queued == 2)
        await leaving.finish.set()
        kinds = [(await task.join()).kind for task in tasks]
        assert sorted(kinds) == ["answered"] * OWN_VM.slots + ["draining"] * 2
        assert len(bench.worker.executed) == OWN_VM.slots

    run(test)


def test_the_callers_nodes_are_told_which_worker_leaves() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.default = respond(answer(b"x-worker-leaving: 1"))
        for _ in range(2):
            result = await bench.call(make_request())
            assert result.load is not None
            assert result.load.leaving_worker == OWN_VM.worker_identity

    run(test)


def test_the_worker_that_replaces_a_leaving_one_is_used_at_once() -> None:
    listed = [OWN_VM]

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(answer(b"x-worker-leaving: 1"))]
        assert (await bench.call(make_request())).status == 200
        listed[0] = replace(OWN_VM, worker="i-2")
        result = await bench.call(make_request())
        assert result.status == 200
        assert result.load is not None and result.load.leaving_worker is None

    run(test, listed)


# Guards against dropping a worker's delay because it has a fraction.
@pytest.mark.parametrize(
    ("value", "expected_ms"),
    [(b"0.35", 350), (b"2", 2000), (b"1.5", 1500), (b"60", 3000), (b"0", 0)],
)
def test_a_workers_retry_delay_may_have_a_fraction(value: bytes, expected_ms: int) -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(refuse(value))]
        result = await bench.call(make_request())
        assert (result.kind, result.retry_after_ms) == ("upstream_shed", expected_ms)

    run(test)


@pytest.mark.parametrize("value", [b"soon", b"-1", b"nan", b"", b"1e3", b"Wed, 21 Oct 2015 07:28"])
def test_an_unreadable_retry_delay_of_a_worker_is_replaced_by_the_default(value: bytes) -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(refuse(value))]
        result = await bench.call(make_request())
        assert (result.kind, result.retry_after_ms) == ("upstream_shed", 100)

    run(test)


def evacuate(vm: Vm) -> Vm:
    return replace(vm, state=VmState.LEAVING, evacuated=True)


# Guards against requests that reach a worker, from callers' nodes with an older list or from the
# queue, after the evacuation of its data centre began; what runs is finished.
def test_an_evacuated_worker_gets_no_requests_until_the_evacuation_ends() -> None:
    listed = [replace(OWN_VM, slots=1)]

    async def test(bench: Bench) -> None:
        paused = PausedAnswer(answer())
        bench.worker.script = [paused]
        running = await curio.spawn(bench.call, make_read())
        await wait_for(lambda: len(bench.worker.executed) == 1)
        waiting = await curio.spawn(bench.call, make_read())
        await wait_for(lambda: bench.server.admission.queued == 1)
        listed[0] = evacuate(listed[0])
        for result in (await waiting.join(), await bench.call(make_read())):
            assert (result.kind, result.outcome) == ("draining", "not_run")
            assert "is evacuated" in result.text
        await paused.finish.set()
        assert (await running.join()).status == 200
        assert len(bench.worker.executed) == 1
        assert bench.metrics.get_count("trefoilpick_evacuation_refusals_total") == 2
        assert not bench.server.serves_peers_while_draining
        listed[0] = OWN_VM
        assert (await bench.call(make_read())).status == 200

    run(test, listed)
