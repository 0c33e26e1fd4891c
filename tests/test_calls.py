"""Bodies that a second attempt sends again, whatever arrives between the two attempts."""

from __future__ import annotations

from collections import deque
from itertools import product

import curio
import h11
import pytest
from fakes_hop import Bench, FakeWorkerNode, Script, TestCaller, connect, fail_with, run_bench

from trefoilpick.caller_connections import CallerConnection, CoarseClock
from trefoilpick.calls import CallBody
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.hops import FrameKind, Hop, HopRequest, encode_head

BUFFER_BYTES = 65_536
BODY = bytes(range(251)) * 400
FIRST_BYTES = 16_384
"""Part of a body that is sent together with the head of its request, in bytes."""

FRAMINGS = {"chunks of 256": 256, "chunks of 1,024": 1_024, "chunks of 8,192": 8_192, "length": 0}
"""Sizes of the chunks of a body, in bytes; 0 for a body with a length."""


def encode_body(body: bytes, chunk_bytes: int) -> bytes:
    if not chunk_bytes:
        return body
    return b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk)
        for start in range(0, len(body), chunk_bytes)
        if (chunk := body[start : start + chunk_bytes])
    )


def encode_request_head(target: str, chunk_bytes: int) -> bytes:
    framing = b"transfer-encoding: chunked" if chunk_bytes else b"content-length: %d" % len(BODY)
    return b"PUT %s HTTP/1.1\r\nhost: encargos.quillqa\r\n%s\r\n\r\n" % (target.encode(), framing)


class ScriptedSocket:
    """A caller's socket that returns the given bytes at each read."""

    def __init__(self, *reads: bytes) -> None:
        self.reads = list(reads)

    async def recv(self, size: int) -> bytes:
        return self.reads.pop(0)


async def open_body(chunk_bytes: int, *, limit: int = 2**20) -> tuple[CallBody, CallerConnection]:
    sock = ScriptedSocket(encode_request_head("/note", chunk_bytes))
    connection = CallerConnection(
        sock, "127.0.0.1", find_max_head_bytes=lambda: 10_000, clock=CoarseClock(0.0)
    )
    assert await connection.receive_request() is not None
    return CallBody(connection, limit, BUFFER_BYTES), connection


# Guards against a retry that drops the parts of a body that it has just read (review/11).
@pytest.mark.parametrize(
    ("chunk_bytes", "arrived", "has_sample"),
    list(product(FRAMINGS.values(), (1, 1_000, FIRST_BYTES, 60_000), (False, True))),
)
def test_second_attempt_sends_what_arrived_since_the_first(
    chunk_bytes: int, arrived: int, has_sample: bool
) -> None:
    async def main() -> None:
        body, connection = await open_body(chunk_bytes)
        connection.http.receive_data(encode_body(BODY[:arrived], chunk_bytes))
        assert BODY.startswith(b"".join(body.begin_attempt()))
        body.drop_excess()
        rest = encode_body(BODY[arrived:], chunk_bytes) + (b"0\r\n\r\n" if chunk_bytes else b"")
        connection.http.receive_data(rest)
        assert body.is_replayable
        body.keep_parts()
        if has_sample:
            body.read_sample()
        sent = b"".join(body.begin_attempt())
        body.drop_excess()
        while (part := await body.receive()) is not None:
            sent += part
        assert sent == BODY

    curio.run(main)


# Guards against a part that an upload receives between the decision to retry and its own end.
@pytest.mark.parametrize("chunk_bytes", FRAMINGS.values())
def test_upload_that_goes_on_after_the_decision_to_retry_drops_nothing(chunk_bytes: int) -> None:
    async def main() -> None:
        body, connection = await open_body(chunk_bytes)
        body.begin_attempt()
        body.drop_excess()
        body.keep_parts()
        connection.http.receive_data(encode_body(BODY[:90_000], chunk_bytes))
        received = 0
        while received < 90_000:
            received += len(await body.receive() or b"")
        assert b"".join(body.begin_attempt()) == BODY[:90_000]
        body.drop_excess()
        assert not body.is_replayable

    curio.run(main)


# Guards against an attempt that begins with a part of a body, and against one that lacks the part
# with which the body went over its limit.
@pytest.mark.parametrize(("limit", "size"), [(2**20, 70_000), (8_192, 9_000)])
def test_body_that_is_no_longer_whole_is_not_sent_again(limit: int, size: int) -> None:
    async def main() -> None:
        body, connection = await open_body(1_000, limit=limit)
        body.begin_attempt()
        connection.http.receive_data(encode_body(BODY[:size], 1_000))
        try:
            while body.received < size:
                await body.receive()
        except TrefoilpickError as error:
            assert (error.kind, limit) == (ErrorKind.BODY_TOO_LARGE, 8_192)
        assert not body.is_replayable
        with pytest.raises(RuntimeError):
            body.begin_attempt()

    curio.run(main)


async def accept(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    """Accept a request, and receive a few parts of its body."""
    await hop.send(encode_head(FrameKind.NOTICE, fake.build_load()))
    for _ in range(3):
        await hop.receive()


async def refuse(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await accept(fake, hop, head)
    await fail_with(ErrorKind.UPSTREAM_SHED)(fake, hop, head)


async def lose(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await accept(fake, hop, head)
    await fail_with(ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN)(fake, hop, head)


async def break_off(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await accept(fake, hop, head)
    raise ConnectionResetError


async def answer_500(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await accept(fake, hop, head)
    await hop.send(fake.encode_answer(status=500))
    await curio.sleep(0.1)
    raise ConnectionResetError


ENDS: dict[str, tuple[Script, ...]] = {
    "refused": (refuse,),
    "lost": (lose,),
    "hop broken": (break_off,),
    "server error": (answer_500,),
    "refused twice": (refuse, refuse),
    "server error, then refused": (answer_500, refuse),
    "lost, then hop broken": (lose, break_off),
}
"""Ends of the first attempts of an upload, during its body."""


async def upload(caller: TestCaller, target: str, chunk_bytes: int) -> None:
    """Send the first part of the body with the head, and all of the rest a moment later."""
    first = encode_request_head(target, chunk_bytes) + encode_body(BODY[:FIRST_BYTES], chunk_bytes)
    await caller.sock.sendall(first)
    await curio.sleep(0.005)
    end = b"0\r\n\r\n" if chunk_bytes else b""
    await caller.sock.sendall(encode_body(BODY[FIRST_BYTES:], chunk_bytes) + end)


# Guards against uploads that run without a part of their body at a second worker, or that the nodes
# refuse as malformed, whatever ended the first attempt (review/11). The slow link makes the upload
# wait while parts that have been received are not sent yet.
@pytest.mark.parametrize(
    ("end", "chunk_bytes", "target"),
    [
        (end, chunk_bytes, target)
        for end, chunk_bytes, target in product(ENDS, FRAMINGS.values(), ("/note", "/spread"))
        if target == "/note" or end == "refused"
    ],
)
def test_upload_whose_attempt_ends_during_its_body_runs_whole_or_not_at_all(
    end: str, chunk_bytes: int, target: str
) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        uploading = await curio.spawn(upload, caller, target, chunk_bytes, daemon=True)
        caller.http.send(h11.Request(method="PUT", target=target, headers=[("host", "encargos")]))
        answer = await caller.receive()
        await uploading.cancel()
        assert answer.status in (200, 500, 502, 503)
        runs = [request for fake in bench.fakes for request in fake.received if request.is_complete]
        assert [request.body for request in runs] == [BODY] * (answer.status == 200)
        if chunk_bytes and len(ENDS[end]) == 1:
            # At the end of the first attempt, the body is still under the buffer's limit.
            assert answer.status == 200

    scripts = deque(ENDS[end])
    run_bench(
        main,
        *(FakeWorkerNode(f"vm-{n}", scripts=scripts) for n in range(3)),
        link_mbps=5.0,
        large_answers=True,
    )
