"""Pipelined requests of callers."""

from __future__ import annotations

from collections import deque

import curio
from fakes_hop import (
    HOST,
    Bench,
    FakeWorkerNode,
    answer_ok,
    connect,
    run_bench,
    wait_until,
)

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection
from trefoilpick.hops import Hop, HopRequest, encode_data

STATUS = b"GET /status HTTP/1.1\r\nhost: a\r\nx-request-id: %d\r\n\r\n"
SHORT = b"GET /short HTTP/1.1\r\nhost: a\r\nx-request-id: %d\r\n\r\n"
LENGTH_10 = [(b"content-length", b"10")]


def answer_after(seconds: float, body: bytes):  # type: ignore[no-untyped-def]
    async def answer(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await curio.sleep(seconds)
        await hop.send(
            fake.encode_answer(headers=[(b"content-length", b"%d" % len(body))]),
            encode_data([body]),
            b"\x00\x00\x00\x00\x03",
        )

    return answer


async def truncate_body(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await curio.sleep(0.1)
    await hop.send(fake.encode_answer(headers=LENGTH_10), encode_data([b"half."]))
    raise ConnectionResetError


async def receive_all(sock: curio.io.Socket, end: bytes) -> bytes:
    received = b""
    while end not in received:
        data = await sock.recv(65_536)
        if not data:
            break
        received += data
    return received


def test_requests_run_concurrently_and_are_answered_in_order() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        began_at = read_clock()
        await caller.sock.sendall(b"".join(STATUS % number for number in range(4)))
        received = await receive_all(caller.sock, b"fourth")
        assert read_clock() - began_at < 0.9
        positions = [received.index(word) for word in (b"first", b"second", b"third", b"fourth")]
        assert positions == sorted(positions)

    words = (b"first", b"second", b"third", b"fourth")
    scripts = (answer_after(0.4 - 0.1 * position, word) for position, word in enumerate(words))
    run_bench(main, FakeWorkerNode(scripts=deque(scripts)))


def test_a_request_that_is_not_idempotent_waits_for_earlier_answers() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(STATUS % 1 + SHORT % 2)
        await wait_until(lambda: bench.runs["1"] == 1)
        await curio.sleep(0.05)
        assert bench.runs["2"] == 0
        assert b"vm-1:" in await receive_all(caller.sock, b"vm-1:")
        assert bench.runs["2"] == 1

    run_bench(main, FakeWorkerNode(scripts=deque([answer_after(0.2, b"first")])))


def test_nothing_follows_a_truncated_answer() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(STATUS % 1 + STATUS % 2 + SHORT % 3)
        received = await receive_all(caller.sock, b"never")
        assert received.endswith(b"half.")
        assert received.count(b"HTTP/1.1") == 1
        assert bench.runs["3"] == 0

    run_bench(main, FakeWorkerNode(scripts=deque([truncate_body, answer_ok])))


def test_a_disconnect_cancels_all_requests() -> None:
    async def main(bench: Bench) -> None:
        sock = await open_connection(HOST, bench.server.port)
        await sock.sendall(STATUS % 1 + STATUS % 2)
        await wait_until(lambda: bench.runs.total() == 2)
        await sock.close()
        await wait_until(lambda: bench.server.in_flight == 0)

    async def wait_for_disconnect(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        assert await hop.receive() is None
        raise ConnectionResetError

    run_bench(main, FakeWorkerNode(scripts=deque([wait_for_disconnect, wait_for_disconnect])))


def test_an_error_answer_keeps_its_position() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        unknown = b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n"
        await caller.sock.sendall(STATUS % 1 + unknown + STATUS % 2)
        received = await receive_all(caller.sock, b"last")
        assert received.index(b"first") < received.index(b" 404 ") < received.index(b"last")

    scripts = deque([answer_after(0.2, b"first"), answer_after(0.0, b"last")])
    run_bench(main, FakeWorkerNode(scripts=scripts))


def test_a_drain_waits_for_pipelined_requests() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(STATUS % 1 + STATUS % 2)
        await wait_until(lambda: bench.runs.total() == 2)
        draining = await curio.spawn(bench.server.drain)
        received = await receive_all(caller.sock, b"second")
        assert b"first" in received
        report = await draining.join()
        assert report.cut == 0

    scripts = deque([answer_after(0.3, b"first"), answer_after(0.2, b"second")])
    run_bench(main, FakeWorkerNode(scripts=scripts))


# A request behind one that was admitted before a pause got 404 although the node had not caught up.
def test_a_request_that_was_pipelined_before_a_pause_is_not_answered_404_after_it() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        unknown = b"GET /new HTTP/1.1\r\nhost: a\r\n\r\n"
        await caller.sock.sendall(STATUS % 1)
        await wait_until(lambda: bench.runs.total() == 1)
        caller.sock._socket.send(unknown)
        bench.is_up_to_date = False
        received = await receive_all(caller.sock, b'not_run"}')
        assert b" 503 " in received and b" 404 " not in received

    run_bench(main, FakeWorkerNode(scripts=deque([answer_after(0.3, b"first")])))
