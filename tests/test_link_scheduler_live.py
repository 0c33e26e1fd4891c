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


async def measure(bench: Bench, *, downloads: int) -> tuple[list[float], float]:
    """Return the sorted times of calls, in seconds, and the downloads' throughput in bytes/s."""
    proxy, listener = LinkProxy(bench.port), open_listener(HOST, 0, name="link", backlog=64)
    port = listener.getsockname()[1]
    accepting = await curio.spawn(proxy.run, listener, daemon=True)
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
    throughput = sum(task.result for task in tasks) / (read_clock() - began_s)
    await accepting.cancel()
    await listener.close()
    return calls.result, throughput


def test_calls_beside_downloads_on_a_slow_link() -> None:
    """Calls of 300 bytes failed behind downloads of 540 kB on the same link."""

    async def run(mbps: float, *, downloads: int = DOWNLOADS) -> tuple[list[float], float]:
        upstream = {"slots": 16, "connections": 32}
        async with open_bench(link_mbps=mbps, large_answers=True, upstream=upstream) as bench:
            bench.worker.default = answer_by_target
            return await measure(bench, downloads=downloads)

    alone, _ = curio.run(run(MBPS, downloads=0))
    unscheduled, former_throughput = curio.run(run(0.0))
    times, throughput = curio.run(run(MBPS))
    late_s = alone[len(alone) * 95 // 100] + LATE_S
    assert unscheduled[len(unscheduled) // 2] > late_s
    assert times[len(times) * 95 // 100] <= late_s
    assert throughput > 0.9 * former_throughput
