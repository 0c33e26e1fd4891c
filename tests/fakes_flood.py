"""Peers that send without pause from threads of their own, and a check that other tasks run."""

from __future__ import annotations

import gc
import socket
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass

import curio

from trefoilpick._clock import read_clock

HOST = "127.0.0.1"
FLOOD_S = 4.0
"""Time after which a flood ends, so that a test fails instead of hanging, in seconds."""
MAX_DELAY_S = 0.25
"""Longest time for which a task may be kept from running, in seconds."""
BLOCK_BYTES = 65_536
TICK_S = 0.01


@dataclass(frozen=True, order=True)
class Delay:
    """Delay of a task, and what took the time: the node's other tasks, the test or the machine.

    Attributes:
        late_s: Time by which the task ran late, in seconds.
        ran_s: Processor time of the thread since the task began to wait, in seconds.
        collected_s: Time of garbage collections since then, in seconds.
    """

    late_s: float
    ran_s: float
    collected_s: float


def send_without_end(sock: socket.socket, first: bytes, part: bytes) -> None:
    """Send a first text, then a part over and over; return once the peer closed or time is up."""
    block = part * (BLOCK_BYTES // len(part))
    ends_s = time.monotonic() + FLOOD_S
    sock.settimeout(FLOOD_S)
    with suppress(OSError), sock:
        sock.sendall(first)
        while time.monotonic() < ends_s:
            sock.sendall(block)


@contextmanager
def serve_flood(first: bytes, part: bytes) -> Iterator[int]:
    """Answer the first request on each connection without end; yield the port."""

    def serve() -> None:
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.recv(BLOCK_BYTES)
                threading.Thread(target=send_without_end, args=(sock, first, part)).start()

    listener = socket.create_server((HOST, 0))
    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield listener.getsockname()[1]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()


@contextmanager
def flood(port: int, first: bytes, part: bytes, *, count: int = 1) -> Iterator[None]:
    """Send without end to a server, on a number of connections."""
    socks = [socket.create_connection((HOST, port)) for _ in range(count)]
    threads = [
        threading.Thread(target=send_without_end, args=(sock, first, part)) for sock in socks
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        for sock in socks:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in threads:
            thread.join()


@contextmanager
def measure_collections() -> Iterator[Callable[[], float]]:
    """Yield a function that returns the time of garbage collections so far, in seconds."""
    began_s = total_s = 0.0

    def record(phase: str, _info: dict[str, int]) -> None:
        nonlocal began_s, total_s
        if phase == "start":
            began_s = time.perf_counter()
        else:
            total_s += time.perf_counter() - began_s

    gc.callbacks.append(record)
    try:
        yield lambda: total_s
    finally:
        gc.callbacks.remove(record)


@asynccontextmanager
async def check_delays() -> AsyncIterator[None]:
    """Check that another task is not kept from running meanwhile."""
    # A full collection that the tests before have made due takes 0.1 s under load.
    gc.collect()
    delays: list[Delay] = []

    async def tick() -> None:
        with measure_collections() as read_collected:
            while True:
                began_s, ran_s, collected_s = read_clock(), time.thread_time(), read_collected()
                await curio.sleep(TICK_S)
                delay = Delay(
                    late_s=read_clock() - began_s - TICK_S,
                    ran_s=time.thread_time() - ran_s,
                    collected_s=read_collected() - collected_s,
                )
                delays.append(delay)

    task = await curio.spawn(tick, daemon=True)
    await curio.sleep(2 * TICK_S)
    delays.clear()
    yield
    await curio.sleep(2 * TICK_S)
    await task.cancel()
    longest = max(delays)
    assert longest.late_s < MAX_DELAY_S, longest
