"""Scheduling on loopback sockets whose data leaves a VM over a link of 20 Mbit/s."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio
from curio.io import Socket
from fakes_worker import HOST, Bench, ReceivedRequest, make_read, open_bench, send_and_receive

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection
from trefoilpick.hops import Hop
from trefoilpick.listeners import open_listener

MBPS = 20.0
CALL_BODY, DOWNLOAD_BODY = bytes(300), bytes(540_000)
DOWNLOADS, DURATION_S = 6, 3.0
LATE_S = 0.020
"""Time that 95 in 100 calls may take longer than alone, in seconds."""
TICK_S = 0.005
PAUSE_S = 0.02
"""Shortest delay of a task that counts as a pause of the process, in seconds."""


@dataclass(frozen=True)
class Measured:
    """What calls and downloads got of the link.

    Attributes:
        times: Sorted times of the calls, in seconds.
        received: Bytes of the downloads.
        elapsed_s: Time that they took, in seconds.
        paused_s: Part of it in which the process was paused, in seconds.
    """

    times: list[float]
    received: int
    elapsed_s: float
    paused_s: float

    @property
    def throughput(self) -> float:
        """Throughput of the downloads, in bytes/s."""
        return self.received / self.elapsed_s

    @property
    def unpaused_throughput(self) -> float:
        """Throughput of the downloads while the process was not paused, in bytes/s."""
        return self.received / (self.elapsed_s - self.paused_s)


@dataclass
class LinkProxy:
    """Forwards hops to a node; all that the node sends leaves over one first-in-first-out link."""

    port: int
    queue: curio.Queue = field(default_factory=curio.Queue)
    free_s: float = 0.0

    async def run(self, listener: Socket) -> None:
        await curio.spawn(self._deliver, daemon=True)
        while True:
            client, _ = await listener.accept()
            server = await open_connection(HOST, self.port)
            await curio.spawn(self._forward_requests, client, server, daemon=True)
            await curio.spawn(self._queue_answers, server, client, daemon=True)

    async def _forward_requests(self, client: Socket, server: Socket) -> None:
        while data := await client.recv(65_536):
            await server.sendall(data)
        await server.close()

    async def _queue_answers(self, server: Socket, client: Socket) -> None:
        while data := await server.recv(4_096):
            self.free_s = max(self.free_s, read_clock()) + len(data) / (MBPS * 125_000)
            await self.queue.put((self.free_s, client, data))

    async def _deliver(self) -> None:
        while True:
            due_s, client, data = await self.queue.get()
            await curio.sleep(max(due_s - read_clock(), 0.0))
            await client.sendall(data)


async def answer_by_target(request: ReceivedRequest) -> None:
    body = DOWNLOAD_BODY if request.target == "/download" else CALL_BODY
    await request.sock.sendall(
        b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
    )


async def measure_pauses(pauses: list[float]) -> None:
    """Record the pauses of the process, in seconds."""
    while True:
        began_s = read_clock()
        await curio.sleep(TICK_S)
        delay_s = read_clock() - began_s - TICK_S
        if delay_s > PAUSE_S:
            pauses.append(delay_s)


async def measure(bench: Bench, *, downloads: int) -> Measured:
    """Send calls beside downloads over the link."""
    proxy, listener = LinkProxy(bench.port), open_listener(HOST, 0, name="link", backlog=64)
    port = listener.getsockname()[1]
    accepting = await curio.spawn(proxy.run, listener, daemon=True)
    pauses: list[float] = []
    ticker = await curio.spawn(measure_pauses, pauses)
    began_s = read_clock()

    async def download() -> int:
        hop = Hop(await open_connection(HOST, port))
        received = 0
        while read_clock() < began_s + DURATION_S:
            received += len((await send_and_receive(hop, make_read(target="/download"))).body)
        return received

    async def call() -> list[float]:
        hop, times = Hop(await open_connection(HOST, port)), []
        while read_clock() < began_s + DURATION_S:
            await curio.sleep(0.01)
            sent_s = read_clock()
            assert (await send_and_receive(hop, make_read())).is_complete
            times.append(read_clock() - sent_s)
        return sorted(times)

    async with curio.TaskGroup() as group:
        calls = await group.spawn(call)
        tasks = [await group.spawn(download) for _ in range(downloads)]
    elapsed_s = read_clock() - began_s
    await ticker.cancel()
    await accepting.cancel()
    await listener.close()
    received = sum(task.result for task in tasks)
    return Measured(calls.result, received, elapsed_s, sum(pauses))


def test_calls_beside_downloads_on_a_slow_link() -> None:
    """Calls of 300 bytes failed behind downloads of 540 kB on the same link."""

    async def run(mbps: float, *, downloads: int = DOWNLOADS) -> Measured:
        upstream = {"slots": 16, "connections": 32}
        async with open_bench(link_mbps=mbps, large_answers=True, upstream=upstream) as bench:
            bench.worker.default = answer_by_target
            return await measure(bench, downloads=downloads)

    alone = curio.run(run(MBPS, downloads=0)).times
    former = curio.run(run(0.0))
    scheduled = curio.run(run(MBPS))
    late_s = alone[len(alone) * 95 // 100] + LATE_S
    assert former.times[len(former.times) // 2] > late_s
    assert scheduled.times[len(scheduled.times) * 95 // 100] <= late_s
    # Without the scheduler the link's queue is never empty, and a pause of this process costs none.
    assert scheduled.unpaused_throughput > 0.9 * former.throughput
