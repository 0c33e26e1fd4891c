"""Timeouts of callers' connections while the node itself is late or changes its limits."""

from __future__ import annotations

import time
from collections import deque

import curio
import pytest
from fakes_hop import (
    END,
    HOST,
    Bench,
    FakeWorkerNode,
    Script,
    answer_ok,
    connect,
    run_bench,
    wait_until,
)

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection
from trefoilpick.document import CallerLimits, Document, Section
from trefoilpick.hops import Hop, HopRequest, encode_data
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.settings import RequestSettings
from trefoilpick.snapshots import build_snapshot

PAUSE_S = 1.0
SHORT_TIMEOUTS = RequestSettings(head_timeout_ms=600, body_idle_ms=600, keepalive_ms=600)
UPLOAD_HEAD = b"PUT /spread HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\n"


async def receive_status(sock: curio.io.Socket) -> int:
    """Return the status of the next answer; 0 if the connection ended without one."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = await sock.recv(65_536)
        if not received:
            return 0
        data += received
    return int(data.split()[1])


def pause_node() -> None:
    """Stop the whole event loop, as a stopped process or a lack of processor time does."""
    time.sleep(PAUSE_S)


# A node that was paused for longer than a timeout ended bodies with 400 and heads with 408.
@pytest.mark.parametrize(
    ("before", "during"),
    [
        (UPLOAD_HEAD + b"abc", b"def"),
        (UPLOAD_HEAD, b""),
        (b"GET /status HTTP/1.1\r\nho", b"st: a\r\n\r\n"),
        (b"GET /status HTTP/1.1\r\nho", b""),
        (b"", b"GET /status HTTP/1.1\r\nho"),
        (b"", UPLOAD_HEAD + b"abc"),
    ],
    ids=["body", "body later", "head", "head later", "idle, head", "idle, body"],
)
def test_pause_of_the_node_ends_no_request(before: bytes, during: bytes) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        assert (await caller.request("GET", "/status")).status == 200
        await caller.sock.sendall(before)
        await curio.sleep(0.2)
        caller.sock._socket.send(during)
        pause_node()
        await curio.sleep(0.15)
        sent = before + during
        complete = UPLOAD_HEAD + b"abcdef" if b"PUT" in sent else b""
        complete = complete or b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"
        await caller.sock.sendall(complete[len(sent) :])
        assert await receive_status(caller.sock) == 200

    run_bench(main, FakeWorkerNode(), requests=SHORT_TIMEOUTS)


# A connection that was made during a pause counted as unused since before it.
def test_connection_made_during_a_pause_can_upload() -> None:
    async def main(bench: Bench) -> None:
        await curio.sleep(0.2)
        sock = await open_connection(HOST, bench.server.port)
        async with sock:
            sock._socket.send(UPLOAD_HEAD + b"abc")
            pause_node()
            await curio.sleep(0.15)
            await sock.sendall(b"def")
            assert await receive_status(sock) == 200

    run_bench(main, FakeWorkerNode(), requests=SHORT_TIMEOUTS)


@pytest.mark.parametrize(
    ("sent", "status"), [(UPLOAD_HEAD + b"abc", 400), (b"GET /status HTTP/1.1\r\nho", 408)]
)
def test_callers_that_stop_sending_are_still_ended_after_a_pause(sent: bytes, status: int) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(sent)
        await curio.sleep(0.1)
        pause_node()
        async with curio.timeout_after(1.0):
            assert await receive_status(caller.sock) == status

    run_bench(main, FakeWorkerNode(), requests=SHORT_TIMEOUTS)


def enforce_limits(bench: Bench, number: int, limits: CallerLimits) -> None:
    """Enforce a version with the same routes and other limits of callers."""
    current = bench.cell.current
    assert current is not None
    (section,) = current.document.sections
    changed = Section(section.team, section.upstreams, section.routes, limits)
    version = VersionId(number, "d")
    bench.cell.replace(build_snapshot(version, Manifest(number, 1, ()), Document((changed,))))


# A kept connection had the limit on heads of the version in force when it was made: 431.
def test_raised_limit_on_heads_holds_for_kept_connections() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        assert (await caller.request("GET", "/status")).status == 200
        enforce_limits(bench, 8, CallerLimits(100_000, 3_000, 15_000))
        head = b"GET /status HTTP/1.1\r\nhost: a\r\nx-long: %b\r\n" % (b"x" * 90_000)
        for _ in range(2):
            await caller.sock.sendall(head)
            await curio.sleep(0.05)
            await caller.sock.sendall(b"\r\n")
            assert await receive_status(caller.sock) == 200

    run_bench(main, FakeWorkerNode())


# New timeouts applied only once a further connection was made.
def test_raised_timeouts_hold_without_a_new_connection() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        assert (await caller.request("GET", "/status")).status == 200
        enforce_limits(bench, 8, CallerLimits(16_384, 5_000, 5_000))
        await curio.sleep(0.8)
        await caller.sock.sendall(b"GET /status HTTP/1.1\r\nho")
        await curio.sleep(0.8)
        await caller.sock.sendall(b"st: a\r\n\r\n")
        assert await receive_status(caller.sock) == 200

    run_bench(main, FakeWorkerNode(), requests=SHORT_TIMEOUTS)


def test_head_over_the_limit_is_refused() -> None:
    async def main(bench: Bench) -> None:
        for sent in (
            b"GET /status HTTP/1.1\r\nhost: a\r\nx-long: %b" % (b"x" * 3_000),
            b"G" * 9_000,
        ):
            enforce_limits(bench, 8, CallerLimits(2_048, 3_000, 15_000))
            caller = await connect(bench)
            await caller.sock.sendall(sent)
            assert await receive_status(caller.sock) == 431

    run_bench(main, FakeWorkerNode())


IDLE_S = 0.3
IDLE = RequestSettings(body_idle_ms=300)
STATUS = b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"
HALF, REST = encode_data([b"half."]), encode_data([b".rest"])
LENGTH_10 = [(b"content-length", b"10")]


def answer_with_pause(*, before_s: float = 0.0, within_s: float = 0.0) -> Script:
    """Return a script that pauses before its answer, and within its body."""

    async def answer(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await curio.sleep(before_s)
        await hop.send(fake.encode_answer(headers=LENGTH_10), HALF)
        await curio.sleep(within_s)
        await hop.send(REST, END)

    return answer


# Guards against an answer that waits for an earlier one being taken for one that its caller does
# not read: the connection was closed, and answers of sound workers were lost (review/8).
@pytest.mark.parametrize("count", [1, 3, 7])
def test_answers_that_wait_for_an_earlier_one_outlast_the_idle_timeout(count: int) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(STATUS * (1 + count))
        received = b""
        async with curio.timeout_after(5):
            while received.count(b"half..rest") <= count:
                data = await caller.sock.recv(65_536)
                assert data
                received += data

    scripts = deque([answer_with_pause(before_s=4 * IDLE_S)])
    scripts += [answer_with_pause() for _ in range(count)]
    run_bench(main, FakeWorkerNode(scripts=scripts), requests=IDLE)


# Guards against a worker's silence within a body ending the answer before the deadline (review/9).
def test_a_workers_silence_within_a_body_ends_no_answer_before_the_deadline() -> None:
    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("GET", "/status")
        assert (answer.body, answer.is_complete) == (b"half..rest", True)

    scripts = deque([answer_with_pause(within_s=5 * IDLE_S)])
    run_bench(main, FakeWorkerNode(scripts=scripts), requests=IDLE)


# Guards against a worker that never ends its answer holding the request for good.
def test_a_workers_silence_within_a_body_ends_after_the_deadline() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        began_s = read_clock()
        await caller.send("GET", "/status", x_trefoilpick_deadline_ms="800")
        answer = await caller.receive()
        assert (answer.body, answer.is_complete) == (b"half.", False)
        assert 0.7 < read_clock() - began_s < 1.5
        await wait_until(lambda: bench.server.in_flight == 0)

    run_bench(main, FakeWorkerNode(scripts=deque([answer_with_pause(within_s=9.0)])), requests=IDLE)


# Guards against the wait for a worker's node to accept an upload being taken for a caller that
# sends nothing.
def test_an_upload_that_waits_to_be_accepted_outlasts_the_idle_timeout() -> None:
    async def accept_late(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await curio.sleep(4 * IDLE_S)
        await answer_ok(fake, hop, head)

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        body = bytes(500_000)
        sending = await curio.spawn(caller.send, "PUT", "/spread", body)
        answer = await caller.receive()
        assert (answer.status, answer.is_complete) == (200, True)
        await sending.join()

    node = FakeWorkerNode(scripts=deque([accept_late]))
    run_bench(main, node, requests=IDLE, link_mbps=1_000.0, large_bodies=True)


# Guards against a caller that does not read its answer keeping the worker's for good.
def test_a_caller_that_does_not_read_is_ended_after_the_idle_timeout() -> None:
    async def answer_without_end(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await hop.send(fake.encode_answer())
        while True:
            await hop.send(encode_data([bytes(65_536)]))

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.send("GET", "/status")
        await wait_until(lambda: bench.runs.total() == 1)
        await wait_until(lambda: bench.server.in_flight == 0)
        await wait_until(lambda: bench.fakes[0].cancelled == 1)

    run_bench(main, FakeWorkerNode(scripts=deque([answer_without_end])), requests=IDLE)
