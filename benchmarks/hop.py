"""CPU time of the hop server per request, at fixed rates and at saturation.

Run with `python -m benchmarks.hop`. A worker and a node run as separate processes; this process
acts as the callers' nodes. The last line is one JSON object.
"""

from __future__ import annotations

import cProfile
import json
import multiprocessing
import pstats
import socket
import time
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import curio
import typer
from curio.io import Socket

from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.hops import FrameKind, Hop, HopRequest, encode_data, encode_frame, encode_head
from trefoilpick.hopserver import open_hop_server
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.metrics import Metrics
from trefoilpick.settings import (
    HopSettings,
    ListenSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import SnapshotCell, build_snapshot

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"

SERVICE = "portafolio"

ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 512\r\n"
    b"cache-control: no-store\r\ndate: Thu, 03 Dec 2026 20:00:00 GMT\r\n\r\n" + b"x" * 512
)

HEADERS = [
    (b"host", b"portafolio.example"),
    (b"accept", b"application/json"),
    (b"accept-encoding", b"identity"),
    (b"user-agent", b"editor/1.0"),
    (b"x-request-id", b"7f9c24e5b1d84a3a"),
]

RATES = (1, 350)
"""Offered loads, in requests per second."""

HOPS = 16
"""Number of hop connections from callers' nodes."""

LARGE_BODY_BYTES = 64 * 2**20
"""Length of a large body, in bytes."""

CHUNK = bytes(65_536)
"""One chunk of a large body."""


def serve_worker(port: int) -> None:
    """Answer every request immediately; receive or send a large body for the path "/spread"."""

    async def answer(sock: Socket, _: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while data := await sock.recv(65536):
            if data.startswith(b"POST /spread"):
                await receive_large_body(sock, len(data) - data.index(b"\r\n\r\n") - 4)
            if data.startswith(b"GET /spread"):
                await send_large_body(sock)
            else:
                await sock.sendall(ANSWER)

    curio.run(curio.tcp_server, HOST, port, answer)


async def receive_large_body(sock: Socket, received: int) -> None:
    while received < LARGE_BODY_BYTES:
        received += len(await sock.recv(2**20))


async def send_large_body(sock: Socket) -> None:
    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LARGE_BODY_BYTES)
    for _ in range(LARGE_BODY_BYTES // len(CHUNK)):
        await sock.sendall(CHUNK)


def serve_node(port: int, worker_port: int, profile: Path | None) -> None:
    """Run the hop server until it is terminated, or for `PROFILE_S` seconds under the profiler.

    Args:
        port: Hop port of the node.
        worker_port: Port of the worker.
        profile: File for the profile; None to run without the profiler.
    """
    upstream = Upstream(SERVICE, slots=16, connections=120)
    route = Route("read", Match("/", ("GET", "POST")), SERVICE, Contract(idempotent=True))
    document = Document((Section("quillqa", (upstream,), (route,)),))
    cell = SnapshotCell()
    cell.replace(build_snapshot(VersionId(1, "d"), Manifest(1, 0, ()), document))
    settings = Settings(
        vm=VmSettings("vm-1", "lima", "lima-a", SERVICE),
        listen=ListenSettings(HOST, hop_port=port),
        worker=WorkerSettings(HOST, worker_port),
        source=SourceSettings(("127.0.0.1:1",)),
        hops=HopSettings(warm_up_ms=0),
    )

    async def run() -> None:
        server = open_hop_server(
            settings, cell=cell, metrics=Metrics(), is_up_to_date=lambda: True, incarnation=1
        )
        async with curio.ignore_after(PROFILE_S if profile else None):
            await server.run()

    if profile is None:
        curio.run(run)
        return
    profiler = cProfile.Profile()
    profiler.runcall(curio.run, run)
    profiler.dump_stats(profile)


PROFILE_S = 6.0
"""Run time of a profiled node, in seconds."""


def make_head_frame(*, target: str, length: int) -> bytes:
    """Return the head frame of a request."""
    has_body = length > 0
    request = HopRequest(
        number=1,
        digest="d",
        team="quillqa",
        route="read",
        upstream=SERVICE,
        method="POST" if has_body else "GET",
        target=target,
        headers=HEADERS + ([(b"content-length", b"%d" % length)] if has_body else []),
        remaining_ms=20_000,
        priority="interactive",
        idempotent=True,
        caller="10.0.0.7",
        token=None,
        wants_token=False,
        has_body=has_body,
        is_retry=False,
    )
    return encode_head(FrameKind.REQUEST, request)


def make_request_frames(*, has_body: bool) -> bytes:
    """Return the encoded frames of one short request."""
    frames = make_head_frame(target="/portfolios/77/sketches?page=2", length=200 if has_body else 0)
    if has_body:
        frames += encode_data([b"y" * 200]) + encode_frame(FrameKind.END)
    return frames


class CallerNodes:
    """Hop connections of the callers' nodes, and the latencies of their requests."""

    def __init__(self) -> None:
        self.latencies_us: list[float] = []
        self._idle = curio.Queue()
        self._frames = [make_request_frames(has_body=False)] * 3 + [
            make_request_frames(has_body=True)
        ]
        self._sent = 0

    async def connect(self, port: int) -> None:
        """Open all hops."""
        for _ in range(HOPS):
            sock = socket.create_connection((HOST, port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._idle.put(Hop(Socket(sock)))

    async def call(self) -> None:
        """Make one request on an idle hop."""
        hop = await self._idle.get()
        frames = self._frames[self._sent % len(self._frames)]
        self._sent += 1
        began_s = time.perf_counter()
        await hop.send(frames)
        kind = None
        while kind is not FrameKind.END:
            frame = await hop.receive()
            assert frame is not None and frame.kind is not FrameKind.FAILURE, frame
            kind = frame.kind
        self.latencies_us.append((time.perf_counter() - began_s) * 1e6)
        await self._idle.put(hop)

    async def send_at_rate(self, rate: float, duration_s: float) -> None:
        """Make requests at a rate, without waiting for earlier ones to finish."""
        began_s = await curio.clock()
        async with curio.TaskGroup() as group:
            for number in range(int(rate * duration_s)):
                wait_s = began_s + number / rate - await curio.clock()
                if wait_s > 0:
                    await curio.sleep(wait_s)
                await group.spawn(self.call)

    async def saturate(self, duration_s: float) -> None:
        """Make requests on all hops concurrently, each as soon as the last one on its hop ends."""

        async def repeat() -> None:
            while await curio.clock() < end_s:
                await self.call()

        end_s = await curio.clock() + duration_s
        async with curio.TaskGroup() as group:
            for _ in range(HOPS):
                await group.spawn(repeat)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process, in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def measure(port: int, pid: int, rate: float | None, duration_s: float) -> dict[str, float]:
    """Offer load and return throughput, CPU time per request and latencies.

    Args:
        port: Hop port of the node.
        pid: Process id of the node.
        rate: Requests per second; None for saturation.
        duration_s: Duration of the run, in seconds.
    """
    callers = CallerNodes()

    async def run() -> tuple[float, float]:
        await callers.connect(port)
        await callers.saturate(0.1)
        callers.latencies_us.clear()
        before_s, began_s = read_cpu_s(pid), time.perf_counter()
        if rate is None:
            await callers.saturate(duration_s)
        else:
            await callers.send_at_rate(rate, duration_s)
        return read_cpu_s(pid) - before_s, time.perf_counter() - began_s

    cpu_s, elapsed_s = curio.run(run)
    latencies = sorted(callers.latencies_us)
    return {
        "calls_per_s": round(len(latencies) / elapsed_s, 1),
        "processor_us": round(cpu_s / len(latencies) * 1e6, 1),
        "core_percent": round(cpu_s / elapsed_s * 100, 2),
        "p50_us": round(latencies[len(latencies) // 2], 1),
        "p99_us": round(latencies[len(latencies) * 99 // 100], 1),
    }


def measure_transfer(port: int, pid: int, *, is_upload: bool) -> dict[str, float]:
    """Transfer one large body and return its throughput and CPU time per megabyte.

    Args:
        port: Hop port of the node.
        pid: Process id of the node.
        is_upload: Whether the request has the large body; otherwise the answer has it.
    """

    async def run() -> None:
        sock = Socket(socket.create_connection((HOST, port)))
        hop = Hop(sock)
        await hop.send(
            make_head_frame(target="/spread", length=LARGE_BODY_BYTES if is_upload else 0)
        )
        if is_upload:
            frame = encode_data([CHUNK])
            for _ in range(LARGE_BODY_BYTES // len(CHUNK)):
                await hop.send(frame)
            await hop.send(encode_frame(FrameKind.END))
        while (await hop.receive()).kind is not FrameKind.END:
            continue
        await hop.close()

    before_s, began_s = read_cpu_s(pid), time.perf_counter()
    curio.run(run)
    elapsed_s = time.perf_counter() - began_s
    megabytes = LARGE_BODY_BYTES / 1e6
    return {
        "megabytes_per_s": round(megabytes / elapsed_s, 1),
        "processor_us_per_megabyte": round((read_cpu_s(pid) - before_s) / megabytes * 1e6, 1),
    }


def find_free_port() -> int:
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


@contextmanager
def start_processes(profile: Path | None) -> Iterator[tuple[int, Any]]:
    """Run a worker and a node; yield the node's hop port and process."""
    context = multiprocessing.get_context("spawn")
    worker_port, port = find_free_port(), find_free_port()
    processes = [
        context.Process(target=serve_worker, args=(worker_port,), daemon=True),
        context.Process(target=serve_node, args=(port, worker_port, profile), daemon=True),
    ]
    for process in processes:
        process.start()
    try:
        for awaited_port in (worker_port, port):
            wait_for_port(awaited_port)
        yield port, processes[1]
    finally:
        processes[0].terminate()
        if profile is None:
            processes[1].terminate()
        for process in processes:
            process.join()


def wait_for_port(port: int) -> None:
    end_s = time.monotonic() + 20
    while time.monotonic() < end_s:
        with suppress(OSError), socket.create_connection((HOST, port)):
            return
        time.sleep(0.02)


def main(
    seconds: Annotated[float, typer.Option(help="Duration of each run, in s.")] = 4.0,
    profile: Annotated[
        Path | None, typer.Option(help="Write a profile of the node to this file.")
    ] = None,
) -> None:
    """Measure the hop server."""
    with start_processes(profile) as (port, node):
        if profile is not None:
            measure(port, node.pid, None, 2.0)
        else:
            result = {str(rate): measure(port, node.pid, rate, seconds) for rate in RATES}
            result["saturation"] = measure(port, node.pid, None, seconds)
            for name, upload in (("upload", True), ("download", False)):
                result[name] = measure_transfer(port, node.pid, is_upload=upload)
    if profile is not None:
        pstats.Stats(str(profile)).sort_stats("tottime").print_stats(40)
        return
    print(json.dumps(result))


if __name__ == "__main__":
    typer.run(main)
