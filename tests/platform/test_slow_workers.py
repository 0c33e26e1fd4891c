"""Workers whose answers arrive a few bytes a second and never end, with many callers at once."""

from __future__ import annotations

import tracemalloc
from contextlib import suppress

import curio
import pytest
from curio.io import Socket
from test_path import HOSTS, REQUEST_ID, UPLOAD_HEAD, Platform, PlatformWorker, run_platform

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection

CALLERS = 24
TIMEOUT_S = 0.8
"""Timeout of the route, in seconds."""
SLACK_S = 0.5
"""Time after the timeout within which an answer must come, in seconds, without the time for which
the tasks of the test's process were delayed meanwhile."""
CALL_LIMIT_S = {True: 1.6, False: 10.0}
"""Time for which callers wait, by whether the worker's answer begins, in seconds."""
TICK_S = 0.01
"""Interval at which the delays of the process are measured, in seconds."""
MAX_MEMORY_BYTES = 6_000_000
"""Growth of memory with all callers waiting, in bytes, for both nodes and their workers."""

STARTS = {
    "header line": (b"HTTP/1.1 200 OK\r\nx-long: ", b"xx"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"x:y\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "no answer": (b"", b"H"),
    "chunk size": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"0"),
    "chunks": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "trailers": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x:y\r\n"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"xx"),
    "length": (b"HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\n", b"xx"),
}
ANSWERING = ("chunk size", "chunks", "trailers", "no length", "length")


class SlowWorker:
    """Makes a worker send a start and then the same few bytes every 0.3 s, until it is healed."""

    def __init__(self, worker: PlatformWorker, kind: str) -> None:
        self.is_healed = False
        self.open_connections = 0
        self._serve = worker._serve
        self._start, self._part = STARTS[kind]
        worker._serve = self.serve  # type: ignore[method-assign]

    async def serve(self, client: Socket) -> None:
        if self.is_healed:
            await self._serve(client)
            return
        self.open_connections += 1
        with suppress(OSError):
            async with client:
                await client.recv(65_536)
                await client.sendall(self._start)
                while True:
                    await client.sendall(self._part)
                    await curio.sleep(0.3)
        self.open_connections -= 1


async def call(platform: Platform, number: int, limit_s: float) -> tuple[int, float, float]:
    """Return the status (0 for none), its time and that of the request; leave after a limit."""
    began_s = read_clock()
    request = UPLOAD_HEAD + REQUEST_ID + b": slow-%d\r\n\r\nab" % number
    sock = await open_connection(HOSTS[number % 2], platform.ports[2])
    data = b""
    answered_s = 0.0
    async with sock:
        await sock.sendall(request)
        async with curio.ignore_after(limit_s):
            while part := await sock.recv(65_536):
                answered_s = answered_s or read_clock()
                data += part
    return (int(data.split()[1]) if data else 0), answered_s, began_s


async def measure_delays(delays: list[tuple[float, float]]) -> None:
    """Record when, and by how much later than asked, a task of the process runs."""
    while True:
        began_s = read_clock()
        await curio.sleep(TICK_S)
        now_s = read_clock()
        delays.append((now_s, now_s - began_s - TICK_S))


def measure_lateness(answered_s: float, began_s: float, delays: list[tuple[float, float]]) -> float:
    """Return how late an answer came after the timeout, without the delays in that time."""
    until_s = began_s + TIMEOUT_S
    delayed_s = sum(delay_s for at_s, delay_s in delays if until_s < at_s <= answered_s + TICK_S)
    return answered_s - until_s - delayed_s


# Guards against slots and connections that answers without end keep for good.
@pytest.mark.parametrize("kind", STARTS)
def test_slow_answers_without_end_free_slots_and_connections(kind: str) -> None:
    async def test(platform: Platform) -> None:
        slow = [SlowWorker(worker, kind) for worker in platform.workers]
        await curio.sleep(0.2)
        limit_s = CALL_LIMIT_S[kind in ANSWERING]
        delays: list[tuple[float, float]] = []
        ticker = await curio.spawn(measure_delays, delays)
        tracemalloc.start()
        try:
            for turn in range(3):
                delays.clear()
                tasks = [
                    await curio.spawn(call, platform, turn * CALLERS + number, limit_s)
                    for number in range(CALLERS)
                ]
                results = [await task.join() for task in tasks]
                if kind not in ANSWERING:
                    assert {status for status, *_ in results} <= {200, 502, 503, 504}
                    assert max(measure_lateness(*times, delays) for _, *times in results) < SLACK_S
            assert tracemalloc.get_traced_memory()[0] < MAX_MEMORY_BYTES
        finally:
            tracemalloc.stop()
            await ticker.cancel()
        await curio.sleep(1.0)
        assert [worker.open_connections for worker in slow] == [0, 0]
        assert [node.caller_server.in_flight for node in platform.nodes] == [0, 0]
        for worker in slow:
            worker.is_healed = True
        await platform.request_until(lambda answer: answer.status == 200, UPLOAD_HEAD)

    run_platform(test)
