"""Uploads and answers to callers take turns on the link of the caller's node."""

import pytest
from curio import socket
from fakes_hop import END, HOST, Bench, FakeWorkerNode, TestCaller, run_bench

from trefoilpick.hops import Hop, HopRequest, encode_data

BODY = bytes(range(250)) * 2_000
REMOTE_HOST = "127.0.0.2"
SCHEDULED = {"link_mbps": 100.0, "large_answers": True}


async def connect(bench: Bench, host: str) -> TestCaller:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.bind((host, 0))
    await sock.connect((HOST, bench.server.port))
    return TestCaller(sock)


async def answer_large(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    length = (b"content-length", b"%d" % len(BODY))
    await hop.send(fake.encode_answer(headers=(length,)), encode_data([BODY]), END)


def has_waited(bench: Bench) -> bool:
    return any("link_wait_microseconds_count" in line for line in bench.metrics.render())


@pytest.mark.parametrize(
    ("host", "options", "waits"),
    [
        (REMOTE_HOST, SCHEDULED, True),
        (HOST, SCHEDULED, False),
        (REMOTE_HOST, SCHEDULED | {"link_mbps": 0.0}, False),
        (REMOTE_HOST, SCHEDULED | {"large_answers": False}, False),
    ],
)
def test_large_answers_to_callers_on_other_hosts_take_turns(
    host: str, options: dict[str, float], waits: bool
) -> None:
    """Answers to callers on this VM do not use its link, and must not slow others."""
    fake = FakeWorkerNode()
    fake.scripts.append(answer_large)

    async def main(bench: Bench) -> None:
        answer = await (await connect(bench, host)).request("GET", "/status")
        assert (answer.body, answer.is_complete) == (BODY, True)

    assert has_waited(run_bench(main, fake, **options)) is waits


@pytest.mark.parametrize(
    ("options", "waits"), [(SCHEDULED, True), (SCHEDULED | {"link_mbps": 0.0}, False)]
)
def test_uploads_take_turns(options: dict[str, float], waits: bool) -> None:
    """Nested calls wait behind uploads as they do behind answers."""
    fake = FakeWorkerNode()

    async def main(bench: Bench) -> None:
        answer = await (await connect(bench, HOST)).request("PUT", "/spread", BODY)
        assert (answer.body, answer.is_complete) == (b"vm-1:" + BODY, True)

    assert has_waited(run_bench(main, fake, **options)) is waits
