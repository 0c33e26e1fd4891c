"""Workers that name requests and themselves, answer late or twice, leave, or are replaced."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import curio
import pytest
from fakes_worker import Bench, Call, call, make_read, make_request, open_bench, say, wait_for

from trefoilpick.conventions import Conventions
from trefoilpick.vms import Vm, VmState

NAMES = Conventions(
    request_id=b"x-id",
    expected_worker=b"x-expected",
    not_run=b"x-refused",
    answer_proof=b"x-proof",
    echoes_request_id=True,
)

OWN = Vm("w", "lima", "lima-a", "portafolio", "127.0.0.1", 1, 2, worker="i-1", slots=2)


def answer(
    request_id: bytes, body: bytes, *, status: bytes = b"200 OK", proof: bool = True
) -> bytes:
    head = b"HTTP/1.1 %s\r\nx-id: %s\r\ncontent-length: %d\r\n" % (status, request_id, len(body))
    return head + (b"x-proof: p\r\n" if proof else b"") + b"\r\n" + body


def run(test: Callable[[Bench], Awaitable[None]], *, own: list[Vm] | None = None) -> None:
    listed = own if own is not None else [OWN]

    async def main() -> None:
        async with open_bench(conventions=NAMES, find_own=lambda: listed[0]) as bench:
            await test(bench)

    curio.run(main)


def test_the_expected_worker_is_named() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [say(answer(b"7", b"ok"))]
        told = await bench.call(make_read(request_id="7"))
        assert (told.body, told.whole) == (b"ok", True)
        assert bench.worker.ran[0].headers[b"x-expected"] == b"i-1"

    run(test)


@pytest.mark.parametrize("together", [True, False])
def test_an_answer_to_an_earlier_request_is_skipped(together: bool) -> None:
    async def late_then_own(call: Call) -> None:
        await call.sock.sendall(answer(b"6", b"late") + (answer(b"7", b"ok") if together else b""))
        if not together:
            await curio.sleep(0.05)
            await call.sock.sendall(answer(b"7", b"ok"))

    async def test(bench: Bench) -> None:
        bench.worker.script = [late_then_own, say(answer(b"8", b"next"))]
        told = await bench.call(make_request(request_id="7"))
        assert (told.body, told.whole) == (b"ok", True)
        told = await bench.call(make_request(request_id="8"))
        assert (told.body, told.whole) == (b"next", True)
        assert bench.worker.connections == 2

    run(test)


def test_a_second_answer_reaches_nobody() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [say(answer(b"7", b"ok") + answer(b"7", b"no"))]
        told = await bench.call(make_read(request_id="7"))
        assert (told.body, told.whole) == (b"ok", True)
        bench.worker.script = [say(answer(b"8", b"next"))]
        told = await bench.call(make_read(request_id="8"))
        assert (told.body, told.whole) == (b"next", True)

    run(test)


@pytest.mark.parametrize(
    "raw",
    [
        answer(b"7", b"ok", proof=False),
        b"HTTP/1.1 200 OK\r\nx-proof: p\r\ncontent-length: 2\r\n\r\nok",
        answer(b"6", b"no"),
    ],
    ids=["no proof", "no name", "another's alone"],
)
def test_a_success_that_is_not_proved_is_not_passed_on(raw: bytes) -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [say(raw, then_close=True)]
        told = await bench.call(make_request(request_id="7"))
        assert told.outcome == "unknown"
        assert told.kind in ("answer_malformed", "upstream_lost")

    run(test)


def test_a_failure_is_passed_on_without_proof() -> None:
    async def test(bench: Bench) -> None:
        bench.worker.script = [say(answer(b"7", b"x", status=b"500 Failed", proof=False))]
        told = await bench.call(make_request(request_id="7"))
        assert (told.status, told.whole) == (500, True)

    run(test)


@pytest.mark.parametrize("status", [b"503 Full", b"429 Many", b"400 No Name"])
def test_a_worker_that_says_so_did_not_run_the_request(status: bytes) -> None:
    async def test(bench: Bench) -> None:
        raw = b"HTTP/1.1 %s\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n" % status
        bench.worker.script = [say(raw)]
        told = await bench.call(make_request(request_id="7"))
        assert (told.kind, told.outcome) == ("upstream_shed", "not_run")

    run(test)


def test_a_replaced_worker_gets_nothing_until_the_list_names_the_new_one() -> None:
    own = [OWN]

    async def test(bench: Bench) -> None:
        raw = b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"
        bench.worker.script = [say(raw)]
        told = await bench.call(make_request(request_id="7"))
        assert (told.kind, told.outcome) == ("upstream_replaced", "not_run")
        told = await bench.call(make_request(request_id="8"))
        assert (told.kind, told.outcome) == ("draining", "not_run")
        assert len(bench.worker.ran) == 1
        own[0] = replace(OWN, worker="i-2")
        bench.worker.script = [say(answer(b"9", b"ok"))]
        assert (await bench.call(make_request(request_id="9"))).whole

    run(test, own=own)


def test_a_leaving_worker_gets_nothing_new_and_its_queue_goes_elsewhere() -> None:
    own = [replace(OWN, slots=1)]

    async def finish(call: Call) -> None:
        await curio.sleep(0.4)
        await call.sock.sendall(answer(b"1", b"ok"))

    async def test(bench: Bench) -> None:
        bench.worker.script = [finish]
        told: dict[str, Any] = {}

        async def ask(name: str) -> None:
            told[name] = await call(await bench.connect(), make_request(request_id=name))

        async with curio.TaskGroup() as tasks:
            await tasks.spawn(ask, "1")
            await wait_for(lambda: bench.server.gate.in_flight == 1)
            await tasks.spawn(ask, "2")
            await wait_for(lambda: bench.server.gate.queued == 1)
            own[0] = replace(own[0], state=VmState.LEAVING)
            await tasks.spawn(ask, "3")
        assert (told["1"].body, told["1"].whole) == (b"ok", True)
        for name in ("2", "3"):
            assert (told[name].kind, told[name].outcome) == ("draining", "not_run")
        assert len(bench.worker.ran) == 1

    run(test, own=own)


def test_a_node_serves_peers_to_the_end_of_its_notice_only_where_its_worker_stays() -> None:
    own: list[Any] = [OWN]

    async def test(bench: Bench) -> None:
        assert bench.server.serves_to_the_end
        own[0] = replace(OWN, state=VmState.LEAVING)
        assert not bench.server.serves_to_the_end
        own[0] = replace(OWN, worker="")
        assert not bench.server.serves_to_the_end
        own[0] = None
        assert not bench.server.serves_to_the_end

    run(test, own=own)


def test_after_a_second_answer_other_connections_are_used_again() -> None:
    """Workers that send more than their answers: each new connection holds a slot for a while."""

    async def test(bench: Bench) -> None:
        bench.worker.script = [say(answer(b"7", b"ok") + answer(b"7", b"no"))]
        await bench.call(make_read(request_id="7"))
        for number in (b"8", b"9", b"10"):
            bench.worker.script = [say(answer(number, b"next"))]
            told = await bench.call(make_read(request_id=number.decode()))
            assert (told.body, told.whole) == (b"next", True)
        assert bench.worker.connections == 2

    run(test)
