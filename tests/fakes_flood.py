"""Peers that send without pause from threads of their own, and a check that other tasks run."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

import curio

from trefoilpick._clock import read_clock

HOST = "127.0.0.1"
FLOOD_S = 4.0
"""Time after which a flood ends, so that a test fails instead of hanging, in seconds."""
MAX_DELAY_S = 0.25
"""Longest time for which a task may be kept from running, in seconds."""
BLOCK_BYTES = 65_536
TICK_S = 0.01


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


@asynccontextmanager
async def check_delays() -> AsyncIterator[None]:
    """Check that another task is not kept from running meanwhile."""
    delays: list[float] = []

    async def tick() -> None:
        while True:
            began_s = read_clock()
            await curio.sleep(TICK_S)
            delays.append(read_clock() - began_s - TICK_S)

    task = await curio.spawn(tick, daemon=True)
    await curio.sleep(2 * TICK_S)
    delays.clear()
    yield
    await curio.sleep(2 * TICK_S)
    await task.cancel()
    assert max(delays) < MAX_DELAY_S
