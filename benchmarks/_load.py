"""A load generator for benchmarks: makes calls at a fixed rate, or as fast as answers arrive.

It reads and writes HTTP without a library to keep its own overhead low. Run as
`python -m benchmarks._load`, it reads a `LoadPlan` as JSON from stdin and prints the calls.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass

import curio
import msgspec
from curio import socket

READ_BYTES = 65_536
"""Maximum size of a read from a socket, in bytes."""

HEAD_END = b"\r\n\r\n"
"""Delimiter between the header block and the body."""

BLIND_ATTEMPTS = 4
"""Maximum attempts of a call with blind retries."""


@dataclass(frozen=True)
class Lane:
    """A stream of calls of one kind, which runs concurrently with other streams.

    Attributes:
        name: Name in the results.
        addresses: Targets, as "ip:port"; each attempt picks a random one.
        path: Path of the calls.
        rate: Calls per second; 0 for a closed loop, as fast as answers arrive.
        connections: Concurrent connections if the rate is 0.
        blind: Whether to retry at random addresses, also where the call may have run.
        deadline_ms: Deadline of a call, in milliseconds.
    """

    name: str
    addresses: tuple[str, ...]
    path: str = "/status"
    rate: float = 0.0
    connections: int = 1
    blind: bool = False
    deadline_ms: int = 1_000


@dataclass(frozen=True)
class LoadPlan:
    """Input of a load generator.

    Attributes:
        lanes: Streams of calls, run concurrently.
        duration_s: Duration, in seconds.
        seed: Seed for arrival times and addresses.
        host: Host header.
    """

    lanes: tuple[Lane, ...]
    duration_s: float
    seed: int = 1
    host: str = "quillqa.example"


class Call(msgspec.Struct, frozen=True, array_like=True):
    """Result of a call.

    Attributes:
        lane: Name of its stream.
        status: HTTP status code; 0 without a complete answer.
        error: Error kind that a node reported; empty without one.
        us: Time until the answer was complete, or the call failed, in microseconds.
        attempts: Number of attempts that the generator made.
    """

    lane: str
    status: int
    error: str
    us: int
    attempts: int


class LoadGenerator:
    """Makes the calls of a plan and collects their results."""

    def __init__(self, plan: LoadPlan) -> None:
        self.calls: list[Call] = []
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._idle: dict[str, list[socket.socket]] = {}

    async def run(self) -> None:
        """Make all calls and wait until they finish."""
        async with curio.TaskGroup() as tasks:
            for lane in self._plan.lanes:
                if lane.rate:
                    await tasks.spawn(self._run_open, lane)
                else:
                    for _ in range(lane.connections):
                        await tasks.spawn(self._run_closed, lane)

    async def _run_open(self, lane: Lane) -> None:
        began_at = await curio.clock()
        due_at = began_at + self._random.random() / lane.rate
        async with curio.TaskGroup() as tasks:
            while due_at < began_at + self._plan.duration_s:
                await curio.sleep(max(due_at - await curio.clock(), 0.0))
                await tasks.spawn(self._call, lane)
                due_at += self._random.expovariate(lane.rate)

    async def _run_closed(self, lane: Lane) -> None:
        end_at = await curio.clock() + self._plan.duration_s
        while await curio.clock() < end_at:
            await self._call(lane)

    async def _call(self, lane: Lane) -> None:
        began_at = await curio.clock()
        status, error, attempts = 0, "", 0
        async with curio.ignore_after(lane.deadline_ms / 1_000):
            while attempts < (BLIND_ATTEMPTS if lane.blind else 1):
                attempts += 1
                status, error = await self._attempt(lane)
                if 200 <= status < 500:
                    break
        us = int((await curio.clock() - began_at) * 1_000_000)
        self.calls.append(Call(lane.name, status, error, us, attempts))

    async def _attempt(self, lane: Lane) -> tuple[int, str]:
        address = self._random.choice(lane.addresses)
        idle = self._idle.setdefault(address, [])
        sock = None
        try:
            sock = idle.pop() if idle else await _connect(address)
            request = (
                f"GET {lane.path} HTTP/1.1\r\nhost: {self._plan.host}\r\n"
                f"x-trefoilpick-deadline-ms: {lane.deadline_ms}\r\n\r\n"
            )
            await sock.sendall(request.encode())
            head, is_reusable = await _receive(sock)
        except OSError:
            if sock is not None:
                await sock.close()
            return 0, ""
        except BaseException:
            if sock is not None:
                await sock.close()
            raise
        if is_reusable:
            idle.append(sock)
        else:
            await sock.close()
        return int(head[9:12] or b"0"), _find_error(head)


async def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await sock.connect((host, int(port)))
    except BaseException:
        await sock.close()
        raise
    return sock


async def _receive(sock: socket.socket) -> tuple[bytes, bool]:
    buffer = b""
    while HEAD_END not in buffer:
        data = await sock.recv(READ_BYTES)
        if not data:
            return b"", False
        buffer += data
    head, _, body = buffer.partition(HEAD_END)
    lower = head.lower()
    length = int(lower.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
    while len(body) < length:
        data = await sock.recv(READ_BYTES)
        if not data:
            return b"", False
        body += data
    return head, b"connection: close" not in lower


def _find_error(head: bytes) -> str:
    return head.partition(b"x-trefoilpick-error: ")[2].partition(b"\r\n")[0].decode()


def main() -> None:
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadPlan)
    generator = LoadGenerator(plan)
    curio.run(generator.run)
    sys.stdout.buffer.write(msgspec.json.encode(generator.calls))


if __name__ == "__main__":
    main()
