"""What tells an end of the worker from a lost connection, at the node beside it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace

import curio
import pytest
from fakes_worker import (
    OK,
    Bench,
    FakeWorker,
    ReceivedRequest,
    make_read,
    make_request,
    open_bench,
    reset_on_close,
    respond,
    wait_for,
)

from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.fingerprints import compute_fingerprint
from trefoilpick.vms import Vm, VmState

ENDS = "trefoilpick_worker_ends_total"
LISTED = Vm("vm-1", "lima", "lima-a", "encargos", "127.0.0.1", 1, 2, worker="i-1", started_ms=1)


class EndingProcess:
    """Makes a fake worker end, with all of its connections, when it begins a request."""

    def __init__(self, worker: FakeWorker) -> None:
        self._worker = worker
        self._requests: list[ReceivedRequest] = []

    async def __call__(self, request: ReceivedRequest) -> None:
        await self._worker.stop_listening()
        for other in [*self._requests, request]:
            reset_on_close(other.sock)
            other.sock._socket.shutdown(socket.SHUT_RDWR)
        raise ConnectionResetError

    async def hold(self, request: ReceivedRequest) -> None:
        """Run a request until the worker ends."""
        self._requests.append(request)
        await curio.sleep(30)


async def lose_connection(request: ReceivedRequest) -> None:
    reset_on_close(request.sock)
    raise ConnectionResetError


def count_ends(bench: Bench) -> int:
    return bench.metrics.get_count(ENDS)


@pytest.mark.parametrize("read", [True, False])
def test_end_of_the_worker_is_counted_once_with_all_requests_that_it_ran(
    read: bool, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with open_bench() as bench:
            process = EndingProcess(bench.worker)
            bench.worker.script = [process.hold, process.hold, process]
            make = make_read if read else make_request
            tasks = []
            for number in range(3):
                request = make(target=f"/series/{number}", request_id=f"id-{number}")
                tasks.append(await curio.spawn(bench.call, request))
                await wait_for(lambda number=number: len(bench.worker.executed) > number)
            results = [await task.join() for task in tasks]
            assert {result.outcome for result in results} == {"unknown"}
            assert count_ends(bench) == 1

    curio.run(test)
    lines = [record for record in caplog.records if record.message.startswith("worker_end")]
    assert {record.request_id for record in lines} == {"id-0", "id-1", "id-2"}
    assert len({record.value for record in lines}) == 1
    assert len({record.subject for record in lines}) == 3


# A request must not be blamed for what a connection, a limit or a planned stop did.
@pytest.mark.parametrize("loss", ["reset", "cut", "refused beyond the limit", "planned", "removed"])
def test_lost_connection_of_a_worker_that_goes_on_or_stops_as_planned_is_no_end(loss: str) -> None:
    async def test() -> None:
        listed: list[Vm | None] = [LISTED]
        async with open_bench(find_listed_vm=lambda: listed[-1]) as bench:
            process = EndingProcess(bench.worker)
            if loss == "reset":
                bench.worker.script = [lose_connection]
            elif loss == "cut":
                bench.worker.script = [respond(OK[:-1], then_reset=True)]
            elif loss == "refused beyond the limit":
                bench.worker.script = [process.hold]
                await curio.spawn(bench.call, make_request(), daemon=True)
                await wait_for(lambda: bool(bench.worker.executed))

                async def refuse(request: ReceivedRequest) -> None:
                    await bench.worker.stop_listening()
                    await lose_connection(request)

                bench.worker.script = [refuse]
            else:
                bench.worker.script = [respond(), process]
                await bench.call(make_request())
                leaving = replace(LISTED, state=VmState.LEAVING)
                await send_then(
                    bench, lambda: listed.append(leaving if loss == "planned" else None)
                )
                assert count_ends(bench) == 0
                return
            await bench.call(make_request())
            assert count_ends(bench) == 0

    curio.run(test)


# An evacuated worker is listed as leaving, but it stays: its end was not planned.
def test_end_of_an_evacuated_worker_is_counted() -> None:
    async def test() -> None:
        listed = [LISTED]
        async with open_bench(find_listed_vm=lambda: listed[-1]) as bench:
            bench.worker.script = [EndingProcess(bench.worker)]
            evacuated = replace(LISTED, state=VmState.LEAVING, evacuated=True)
            await send_then(bench, lambda: listed.append(evacuated))
            assert count_ends(bench) == 1

    curio.run(test)


async def send_then(bench: Bench, change: Callable[[], object]) -> None:
    """Change the list while the worker runs the request under which it ends."""
    process = bench.worker.script[0]

    async def end(request: ReceivedRequest) -> None:
        change()
        await process(request)

    bench.worker.script = [end]
    await bench.call(make_request())


# The connection of the request at fault may break shortly before the worker closes its port.
def test_connection_that_was_lost_shortly_before_the_port_is_explained_by_the_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with open_bench() as bench:

            async def end_slowly(request: ReceivedRequest) -> None:
                await curio.spawn(close_port, bench.worker, daemon=True)
                await lose_connection(request)

            bench.worker.script = [end_slowly]
            await bench.call(make_request(request_id="at-fault"))
            assert count_ends(bench) == 0
            await wait_for(lambda: count_ends(bench) == 1)

    async def close_port(worker: FakeWorker) -> None:
        await curio.sleep(0.02)
        await worker.stop_listening()

    curio.run(test)
    lines = [record for record in caplog.records if record.message.startswith("worker_end")]
    assert [record.request_id for record in lines] == ["at-fault"]


def test_end_that_explains_an_earlier_loss_is_counted_once() -> None:
    async def test() -> None:
        async with open_bench() as bench:
            process = EndingProcess(bench.worker)
            bench.worker.script = [process.hold, lose_connection]
            held = await curio.spawn(bench.call, make_request(target="/held"))
            await wait_for(lambda: bool(bench.worker.executed))
            await bench.call(make_request())
            bench.worker.script = [process]
            await bench.call(make_request(target="/other"))
            await held.join()
            await curio.sleep(0.4)
            assert count_ends(bench) == 1

    curio.run(test)


# A worker that restarts at once accepts connections again before anything else shows its end.
def test_worker_replaced_soon_after_a_lost_connection_has_ended() -> None:
    async def test() -> None:
        listed = [LISTED]
        async with open_bench(find_listed_vm=lambda: listed[-1]) as bench:
            bench.worker.script = [lose_connection]
            await bench.call(make_request())
            assert count_ends(bench) == 0
            listed.append(replace(LISTED, worker="i-2", started_ms=2))
            await wait_for(lambda: count_ends(bench) == 1)

    curio.run(test)


def test_worker_is_open_again_after_an_end() -> None:
    async def test() -> None:
        async with open_bench() as bench:
            bench.worker.script = [EndingProcess(bench.worker)]
            await bench.call(make_request())
            await bench.worker.listen_again()
            assert (await bench.call(make_request())).status == 200
            bench.worker.script = [EndingProcess(bench.worker)]
            await bench.call(make_request())
            assert count_ends(bench) == 2

    curio.run(test)


def fingerprint(method: str = "POST", target: str = "/a?b=1", body: bytes = b"x", **headers: str):
    pairs = [(b"host", b"q.example")]
    pairs += [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return compute_fingerprint(method, target, pairs, [body], conventions=DEFAULT_CONVENTIONS)


def test_fingerprint_ignores_what_differs_between_repeats() -> None:
    base = fingerprint(x_request_id="1", x_trefoilpick_deadline_ms="900", content_length="1")
    assert base == fingerprint(x_request_id="2", transfer_encoding="chunked")
    parts = [b"x" * 10, b"y" * 5_000]
    whole = [b"x" * 10 + b"y" * 5_000]
    headers = [(b"host", b"q.example")]
    first, second = (
        compute_fingerprint("PUT", "/", headers, body, conventions=DEFAULT_CONVENTIONS)
        for body in (parts, whole)
    )
    assert first == second


@pytest.mark.parametrize(
    "other",
    [
        {"method": "PUT"},
        {"target": "/a?b=2"},
        {"body": b"y"},
        {"body": b""},
        {"authorization": "someone"},
        {"x_trefoilpick_caller_service": "portafolio"},
    ],
)
def test_fingerprint_differs_by_content_and_caller(other: dict) -> None:
    assert fingerprint(**other) != fingerprint()
    same_content = set(other) <= {"authorization", "x_trefoilpick_caller_service"}
    assert (fingerprint(**other).content == fingerprint().content) is same_content


def test_long_bodies_differ_by_their_declared_length() -> None:
    body = b"x" * 5_000
    one, two = (fingerprint(body=body, content_length=length) for length in ("5000", "6000"))
    assert one != two
