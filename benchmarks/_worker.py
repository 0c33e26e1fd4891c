"""A minimal worker for benchmarks: answers after a fixed time and counts how often requests ran.

It reads HTTP without a library to keep its own overhead low. Run it as
`python -m benchmarks._worker --help`.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated, Any

import curio
import typer
from curio import socket

READ_BYTES = 65_536
"""Maximum size of a read from a socket, in bytes."""

HEAD_END = b"\r\n\r\n"
"""Delimiter between the header block and the body."""

BODY = b'{"status": "sketch"}'
"""Body of the answer to every request."""


@dataclass
class Counters:
    """Counts of requests and connections of a worker.

    Attributes:
        runs: How often each request ran, by request id.
        in_flight: Requests received and not yet answered.
        peak_in_flight: Maximum of `in_flight` so far.
        connections: Open connections.
        peak_connections: Maximum of `connections` so far.
    """

    runs: Counter[str] = field(default_factory=Counter)
    in_flight: int = 0
    peak_in_flight: int = 0
    connections: int = 0
    peak_connections: int = 0


class Worker:
    """A worker with a limited number of slots and an unbounded queue.

    Args:
        slots: Number of requests that it runs concurrently.
        service_s: Service time of each request, in seconds.
        is_broken: Whether it fails every request immediately although its health check succeeds.
    """

    def __init__(self, slots: int, service_s: float, *, is_broken: bool) -> None:
        self.counters = Counters()
        self._slots = curio.Semaphore(slots)
        self._service_s = service_s
        self._is_broken = is_broken

    async def serve(self, client: Any, _address: object) -> None:
        """Serve one connection."""
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        counters = self.counters
        counters.connections += 1
        counters.peak_connections = max(counters.peak_connections, counters.connections)
        buffer = b""
        try:
            while True:
                while HEAD_END not in buffer:
                    data = await client.recv(READ_BYTES)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(HEAD_END)
                length = int(find_header(head, b"content-length") or 0)
                while len(buffer) < length:
                    data = await client.recv(READ_BYTES)
                    if not data:
                        return
                    buffer += data
                buffer = buffer[length:]
                await client.sendall(await self._answer(head))
        except OSError:
            return
        finally:
            counters.connections -= 1

    async def _answer(self, head: bytes) -> bytes:
        if head.startswith(b"GET /report "):
            return encode_answer(200, json.dumps(self._report()).encode())
        if head.startswith(b"GET /health "):
            return encode_answer(200, b'{"load": 0}')
        counters = self.counters
        counters.in_flight += 1
        counters.peak_in_flight = max(counters.peak_in_flight, counters.in_flight)
        try:
            if self._is_broken:
                return encode_answer(500, BODY)
            if self._service_s:
                async with self._slots:
                    await curio.sleep(self._service_s)
            request_id = find_header(head, b"x-request-id")
            if request_id:
                counters.runs[request_id.decode()] += 1
            return encode_answer(200, BODY)
        finally:
            counters.in_flight -= 1

    def _report(self) -> dict[str, object]:
        counters = self.counters
        return {
            "runs": counters.runs,
            "peak_in_flight": counters.peak_in_flight,
            "peak_connections": counters.peak_connections,
        }


def find_header(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header, or None if it is absent."""
    for line in head.split(b"\r\n")[1:]:
        header, _, value = line.partition(b":")
        if header.strip().lower() == name:
            return value.strip()
    return None


def encode_answer(status: int, body: bytes) -> bytes:
    """Return the bytes of an answer."""
    head = b"HTTP/1.1 %d \r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
    return head % (status, len(body)) + body


async def serve(worker: Worker, host: str, port: int) -> None:
    """Serve until killed."""
    await curio.tcp_server(host, port, worker.serve, backlog=1_024, reuse_address=True)


def main(
    host: str,
    port: int,
    slots: Annotated[int, typer.Option()] = 1_000,
    service_ms: Annotated[float, typer.Option()] = 0.0,
    broken: Annotated[bool, typer.Option()] = False,
) -> None:
    worker = Worker(slots, service_ms / 1_000, is_broken=broken)
    curio.run(serve(worker, host, port))


if __name__ == "__main__":
    typer.run(main)
