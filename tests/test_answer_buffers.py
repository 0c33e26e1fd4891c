from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from fakes_worker import (
    OK,
    Bench,
    make_read,
    make_request,
    open_bench,
    receive_result,
    respond,
    send_and_receive,
    send_request,
    wait_for,
)

DOWNLOAD = bytes(540_000)
HUGE = bytes(8_000_000)
FAST_MBPS = 10_000.0
SLOTS = {"slots": 1, "queue": 10}


def encode_answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def run_bench(test: Callable[[Bench], Awaitable[None]], **options: Any) -> None:
    async def run() -> None:
        options_with_link = {"link_mbps": 20.0, "large_answers": True, "upstream": SLOTS} | options
        async with curio.timeout_after(30), open_bench(**options_with_link) as bench:
            await test(bench)
            await wait_for(lambda: bench.server.running_count == bench.server.admission.in_flight)
            assert read_buffered(bench) == 0

    curio.run(run)


def read_buffered(bench: Bench) -> float:
    gauges = {series.name: value for series, value in bench.metrics.gauges.items()}
    return gauges.get("trefoilpick_link_buffered_bytes", 0.0)


def test_the_slot_is_free_while_the_answer_is_still_being_sent() -> None:
    """Workers stood idle while their answers waited for the link."""

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(encode_answer(DOWNLOAD))]
        hop = await bench.connect()
        await send_request(hop, make_read())
        await wait_for(lambda: read_buffered(bench) > 0 and bench.server.admission.in_flight == 0)
        assert bench.server.running_count == 1  # A drain waits for it.
        assert (await bench.call(make_read())).is_complete
        assert read_buffered(bench) > 0
        result = await receive_result(hop)
        assert (bytes(result.body), result.is_complete) == (DOWNLOAD, True)
        assert (await send_and_receive(hop, make_read())).is_complete
        assert bench.worker.connections == 1

    run_bench(test)


@pytest.mark.parametrize("options", [{"link_mbps": 0.0}, {"large_answers": False}])
def test_without_scheduling_the_slot_is_held_until_the_last_byte(options: dict[str, Any]) -> None:
    """Other deployments must behave as before."""

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(encode_answer(HUGE + HUGE))]
        hop = await bench.connect()
        await send_request(hop, make_read())
        await curio.sleep(0.3)
        assert bench.server.admission.in_flight == 1
        assert (await receive_result(hop)).is_complete
        assert read_buffered(bench) == 0

    run_bench(test, **({"link_mbps": FAST_MBPS} | options))


def test_a_peer_that_does_not_read_blocks_only_its_own_stream() -> None:
    """One slow reader must not take the link's turns of all others."""

    async def test(bench: Bench) -> None:
        bench.worker.default = respond(encode_answer(HUGE))
        hop = await bench.connect()
        await send_request(hop, make_read())
        await wait_for(lambda: bench.server.admission.in_flight == 0 and read_buffered(bench) > 0)
        bench.worker.default = respond(encode_answer(DOWNLOAD))
        assert (await bench.call(make_read())).is_complete
        assert read_buffered(bench) > 0
        await hop.close()
        await wait_for(lambda: bench.server.running_count == 0)

    run_bench(test, link_mbps=FAST_MBPS)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_caller_that_disconnects_frees_the_buffer_and_the_link(idempotent: bool) -> None:
    """Bytes for a closed hop would stay in the buffer or take turns that others need."""

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(encode_answer(HUGE))]
        hop = await bench.connect()
        await send_request(hop, make_request(idempotent=idempotent))
        await wait_for(lambda: read_buffered(bench) > 0)
        await hop.close()
        await wait_for(lambda: bench.server.running_count == 0, limit_s=2.0)
        assert (await bench.call(make_read())).is_complete

    run_bench(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_truncated_answer_never_looks_complete(chunked: bool) -> None:
    """The buffered part is sent in order, but without an end."""

    async def test(bench: Bench) -> None:
        raw = encode_answer(DOWNLOAD)[:-50]
        if chunked:
            raw = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4e20\r\n" + bytes(20_000)
        bench.worker.script = [respond(raw, then_close=True)]
        result = await bench.call(make_read())
        assert (result.kind, result.is_complete) == ("cut", False)

    run_bench(test)


def test_beyond_the_limit_the_worker_is_read_with_back_pressure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Slow readers must not fill the node's memory."""
    monkeypatch.setattr("trefoilpick.link_scheduler.MAX_BUFFERED_BYTES", 200_000)

    async def test(bench: Bench) -> None:
        bench.worker.script = [respond(encode_answer(DOWNLOAD + DOWNLOAD))]
        hop = await bench.connect()
        await send_request(hop, make_read())
        await wait_for(lambda: read_buffered(bench) > 100_000)
        for _ in range(10):
            await curio.sleep(0.01)
            assert read_buffered(bench) <= 200_000 and bench.server.admission.in_flight == 1
        result = await receive_result(hop)
        assert (len(result.body), result.is_complete) == (2 * len(DOWNLOAD), True)

    run_bench(test)


def test_a_large_answer_under_a_token_runs_once_and_is_stored() -> None:
    """The stored answer is collected from the worker, not from what was sent."""

    async def test(bench: Bench) -> None:
        token = (await bench.call(make_request(wants_token=True))).token
        bench.worker.default = respond(encode_answer(DOWNLOAD[:20_000]))
        for _ in range(2):
            result = await bench.call(make_request(token=token))
            assert (len(result.body), result.is_complete) == (20_000, True)
        assert len(bench.worker.executed) == 1

    run_bench(test)


def test_small_answers_start_no_task() -> None:
    """Scheduling must not make the many small answers more expensive."""

    async def test(bench: Bench) -> None:
        bench.worker.default = respond(OK)
        for _ in range(5):
            assert (await bench.call(make_read())).is_complete
        assert not any("buffered" in series.name for series in bench.metrics.gauges)

    run_bench(test)
