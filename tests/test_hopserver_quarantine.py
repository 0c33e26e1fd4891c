"""Quarantined requests at the node beside a worker, the last one that can keep them from it."""

from __future__ import annotations

import curio
import pytest
from fakes_worker import (
    OK,
    Bench,
    FakeWorker,
    HopResult,
    make_read,
    make_request,
    open_bench,
    respond,
)
from test_worker_ends import EndingProcess

from trefoilpick.blame import EndReport
from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.fingerprints import SAMPLE_BYTES, Fingerprint, compute_fingerprint
from trefoilpick.hops import HopRequest
from trefoilpick.metrics import Metrics
from trefoilpick.quarantine import TRIAL_DELAYS_S, CaseState, QuarantineTable
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.vms import Vm

OWN = Vm("vm-1", "lima", "lima-a", "encargos", "127.0.0.1", 1, 2)


class Fleet:
    """The gate of the node, on a clock that the test sets, and the ends that the node reports."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.table = QuarantineTable(lambda: self.now_s)
        self.gate = QuarantineGate(
            OWN.name,
            self.table,
            list_endpoints=lambda service: (OWN,),
            metrics=Metrics(),
            clock=lambda: self.now_s,
        )
        self.reports: list[EndReport] = []

    async def report_end(self, report: EndReport) -> None:
        self.reports.append(report)

    def quarantine(self, request: HopRequest, *body: bytes) -> None:
        self.table.escalate(
            fingerprint(request, *body),
            CaseState.QUARANTINED,
            service="encargos",
            route="r",
            ends=3,
        )


def fingerprint(request: HopRequest, *body: bytes) -> Fingerprint:
    return compute_fingerprint(
        request.method, request.target, request.headers, body, conventions=DEFAULT_CONVENTIONS
    )


def open_fleet_bench(fleet: Fleet, **options: object):
    return open_bench(gate=fleet.gate, report_end=fleet.report_end, **options)


BODIES: dict[str, tuple[bytes, ...]] = {
    "none": (),
    "one part": (b"abc",),
    "first byte alone": (b"a", b"bc"),
    "long": (b"a" * SAMPLE_BYTES, b"b" * 70_000),
}


@pytest.mark.parametrize("body", BODIES)
def test_quarantined_request_does_not_reach_the_worker(body: str) -> None:
    fleet = Fleet()
    parts = BODIES[body]

    async def test() -> None:
        async with open_fleet_bench(fleet) as bench:
            request = make_request(has_body=bool(parts), target="/advances/7")
            fleet.quarantine(request, *parts)
            result = await bench.call(request, *parts)
            assert (result.kind, result.outcome) == ("quarantined", "not_run")
            assert bench.worker.executed == []
            other = make_request(has_body=bool(parts), target="/advances/8")
            assert (await bench.call(other, *parts)).status == 200

    curio.run(test)


def test_trial_that_is_answered_releases_the_request() -> None:
    fleet = Fleet()

    async def test() -> None:
        async with open_fleet_bench(fleet) as bench:
            fleet.quarantine(make_read())
            fleet.now_s = TRIAL_DELAYS_S[0]
            results = [await bench.call(make_read()) for _ in range(3)]
            assert [result.status for result in results] == [200, 200, 200]
            assert fleet.gate.is_open

    curio.run(test)


async def send_together(bench: Bench, count: int) -> list[HopResult]:
    tasks = [await curio.spawn(bench.call, make_read()) for _ in range(count)]
    return [await task.join() for task in tasks]


def test_one_of_several_requests_at_the_same_time_is_the_trial() -> None:
    fleet = Fleet()

    async def test() -> None:
        async with open_fleet_bench(fleet) as bench:
            fleet.quarantine(make_read())
            fleet.now_s = TRIAL_DELAYS_S[0]
            bench.worker.default = slow_answer
            results = await send_together(bench, 5)
            assert sorted(result.kind for result in results) == ["answered"] + 4 * ["quarantined"]
            assert len(bench.worker.executed) == 1

    curio.run(test)


async def slow_answer(request) -> None:
    await curio.sleep(0.2)
    await respond(OK)(request)


def test_request_that_waits_for_a_slot_is_refused_once_it_is_quarantined() -> None:
    fleet = Fleet()

    async def test() -> None:
        async with open_fleet_bench(fleet, upstream={"slots": 1}) as bench:
            bench.worker.default = slow_answer
            first = await curio.spawn(bench.call, make_read(target="/other"))
            await curio.sleep(0.05)
            waiting = await curio.spawn(bench.call, make_read())
            await curio.sleep(0.05)
            fleet.quarantine(make_read())
            assert (await waiting.join()).kind == "quarantined"
            assert (await first.join()).kind == "answered"
            assert len(bench.worker.executed) == 1

    curio.run(test)


def test_end_is_reported_with_the_requests_that_the_worker_did_not_answer_recently() -> None:
    fleet = Fleet()

    async def test() -> None:
        async with open_fleet_bench(fleet) as bench:
            await bench.call(make_read(target="/popular"))
            process = EndingProcess(bench.worker)
            bench.worker.script = [process.hold, process]
            held = await curio.spawn(bench.call, make_read(target="/popular"))
            await wait_for_runs(bench.worker, 2)
            result = await bench.call(make_read())
            assert (result.kind, result.outcome) == ("upstream_ended", "unknown")
            await held.join()

    curio.run(test)
    blamed = [s.fingerprint for report in fleet.reports for s in report.suspects]
    assert blamed == [fingerprint(make_read())]
    assert len({report.number for report in fleet.reports}) == 1


async def wait_for_runs(worker: FakeWorker, count: int) -> None:
    while len(worker.executed) < count:
        await curio.sleep(0.002)
