"""Large bodies over a slow link, with real hops on loopback."""

from typing import Any

import curio
import pytest
from fakes_hop import HOST, FakeWorkerNode, answer_ok, fail_with, run_bench
from fakes_hop import Bench as CallerBench
from fakes_worker import Bench, make_request, open_bench, receive_result, wait_for
from test_transfers_on_links import connect

from trefoilpick.errors import ErrorKind
from trefoilpick.hops import FrameKind, Hop, encode_data, encode_frame, encode_head

SLOW_LINK = {"link_mbps": 3.5, "large_bodies": True, "upstream": {"slots": 1, "queue": 10}}
BODY = bytes(range(250)) * 160


def make_upload(size: int, **fields: Any):
    return make_request(has_body=True, headers=[(b"content-length", str(size).encode())], **fields)


async def receive_notice(hop: Hop) -> None:
    frame = await hop.receive()
    assert frame is not None and frame.kind is FrameKind.NOTICE


def test_a_body_is_received_while_its_request_has_no_slot() -> None:
    """Requests held their slots while their bodies crossed a slow link."""

    async def main() -> None:
        async with curio.timeout_after(30), open_bench(**SLOW_LINK) as bench:
            await check(bench)

    async def check(bench: Bench) -> None:
        hop = await bench.connect()
        await hop.send(encode_head(FrameKind.REQUEST, make_upload(len(BODY))))
        await receive_notice(hop)
        assert bench.server.admission.in_flight == 0
        await hop.send(encode_data([BODY]), encode_frame(FrameKind.END))
        result = await receive_result(hop)
        assert (result.kind, result.status) == ("answered", 200)
        assert [received.body for received in bench.worker.executed] == [BODY]

    curio.run(main)


def test_a_body_that_waits_too_long_for_the_link_is_refused_before_it_is_sent() -> None:
    """Bodies of requests that come too late filled the link for those that could be in time.

    A body that is late even over a free link is accepted, since its answer may be late as well.
    """

    async def main() -> None:
        async with curio.timeout_after(30), open_bench(**SLOW_LINK) as bench:
            first, second = await bench.connect(), await bench.connect()
            large = make_upload(800_000, remaining_ms=5_000, objective_ms=1_000)
            await first.send(encode_head(FrameKind.REQUEST, large))
            await receive_notice(first)
            small = make_upload(100_000, remaining_ms=5_000, objective_ms=1_000)
            await second.send(encode_head(FrameKind.REQUEST, small))
            result = await receive_result(second)
            assert (result.kind, result.outcome, result.notices) == ("shed", "not_run", 0)
            assert result.retry_after_ms and result.retry_after_ms > 1_000
            assert not bench.worker.executed

    curio.run(main)


def test_a_caller_that_leaves_while_its_body_waits_frees_the_link() -> None:
    """The link stayed reserved for bodies whose callers had left."""

    async def main() -> None:
        async with curio.timeout_after(30), open_bench(**SLOW_LINK) as bench:
            first, second, third = [await bench.connect() for _ in range(3)]
            for hop, size in ((first, 200_000), (second, 400_000), (third, len(BODY))):
                await hop.send(encode_head(FrameKind.REQUEST, make_upload(size)))
            await receive_notice(first)
            await second.close()
            await first.close()
            bench.hops.clear()
            bench.hops.append(third)
            async with curio.timeout_after(1.2):
                await receive_notice(third)
            await third.send(encode_data([BODY]), encode_frame(FrameKind.END))
            assert (await receive_result(third)).status == 200
            await wait_for(lambda: bench.server.running_count == 0)

    curio.run(main)


async def learn_of_the_slow_link(bench: CallerBench) -> None:
    answer = await (await connect(bench, HOST)).request("GET", "/status")
    assert answer.status == 200


@pytest.mark.parametrize("link_mbps", [0.0, 3.5])
def test_senders_withhold_a_body_until_it_is_asked_for_and_keep_its_rate(link_mbps: float) -> None:
    """A sender with a fast link filled the slow one of the receiver with a whole body at once.

    A sender with a slow link did so until the receiver had reported its rate.
    """
    fake = FakeWorkerNode(body_kbps=1_600)
    arrived: list[float] = []

    async def ask_late(node: FakeWorkerNode, hop: Any, head: Any) -> None:
        await curio.sleep(0.2)
        assert hop.pop_frame() is None
        began = await curio.clock()
        await node.receive_body(hop, head)
        arrived.append(await curio.clock() - began)
        await hop.send(node.encode_answer(), encode_frame(FrameKind.END))

    async def main(bench: CallerBench) -> None:
        if not link_mbps:
            await learn_of_the_slow_link(bench)
        fake.scripts.append(ask_late)
        answer = await (await connect(bench, HOST)).request("PUT", "/spread", BODY)
        assert answer.status == 200

    run_bench(main, fake, large_bodies=True, link_mbps=link_mbps)
    assert fake.received[-1].body == BODY
    # 40,000 bytes at 200,000 bytes per second.
    assert arrived[0] > 0.15


def test_a_withheld_body_is_sent_whole_to_the_next_worker() -> None:
    """A refused request must not lose the part of its body that has been read."""
    fakes = [FakeWorkerNode(name, body_kbps=16_000) for name in ("vm-1", "vm-2")]

    async def main(bench: CallerBench) -> None:
        for _ in range(8):
            await learn_of_the_slow_link(bench)
        for fake in fakes:
            fake.scripts.append(fail_with(ErrorKind.SHED))
        answer = await (await connect(bench, HOST)).request("PUT", "/spread", BODY)
        assert answer.status == 503
        assert not any(fake.scripts for fake in fakes)
        for fake in fakes:
            fake.scripts.append(refuse_once)
        answer = await (await connect(bench, HOST)).request("PUT", "/spread", BODY)
        assert answer.status == 200
        assert not any(fake.scripts for fake in fakes)

    refused: list[str] = []

    async def refuse_once(fake: FakeWorkerNode, hop: Any, head: Any) -> None:
        """Refuse the request at the node that is chosen first, and answer it at the next."""
        if refused:
            await answer_ok(fake, hop, head)
            return
        refused.append(fake.name)
        await fail_with(ErrorKind.DRAINING)(fake, hop, head)

    run_bench(main, *fakes, large_bodies=True)
    bodies = [
        (fake.name, received.body) for fake in fakes for received in fake.received if received.body
    ]
    (next_name,) = {fake.name for fake in fakes} - set(refused)
    assert bodies == [(next_name, BODY)]
