"""A worker turns slow while clients send further idempotent requests before the first answer."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import make_configuration, make_route, play, read_body, read_head  # noqa: E402

CONNECTIONS = 8
WORK_S = 0.48
SLOW_X = 8
LIMIT_MS = 8000


class Connection:
    """A kept connection of a client: one request alone, then several without waiting."""

    def __init__(self, fleet, machine):
        self.fleet, self.machine, self.record = fleet, machine, fleet.record
        self.sent, self.answers, self.ended = [], {}, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.machine.host, self.fleet.ports[2]
        )

    def send(self, method, path):
        attempt = os.urandom(8).hex()
        self.sent.append(attempt)
        body = "" if method == "GET" else "Content-Length: 0\r\n"
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: ficu.example\r\nX-Trefoilpick-Attempt-Id: {attempt}"
            f"\r\nX-Trefoilpick-Deadline-Ms: {LIMIT_MS}\r\n{body}\r\n".encode()
        )
        self.record.write(f"client on {self.machine.name}: sends {method} {path} {attempt}")

    async def receive(self):
        """Receive all answers that are due."""
        try:
            async with asyncio.timeout(LIMIT_MS / 1000):
                while len(self.answers) < len(self.sent):
                    head = await read_head(self.reader)
                    if head is None:
                        break
                    await read_body(self.reader, head[1])
                    attempt = self.sent[len(self.answers)]
                    self.answers[attempt] = int(head[0][1])
                    self.record.write(
                        f"client on {self.machine.name}: {attempt} got {head[0][1]} "
                        f"{head[1].get('x-trefoilpick-error', '')}"
                    )
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.record.write(f"client on {self.machine.name}: {error!r}")
        self.ended = self.record.now()
        if len(self.answers) < len(self.sent):
            rest = " ".join(self.sent[len(self.answers) :])
            self.record.write(f"client on {self.machine.name}: no answer to {rest}")


async def case(fleet, is_disturbed):
    services = ["portafolio", "encargos", "encargos"]
    fleet.lay_out(services, ["lima-a", "lima-b", "lima-c"], slots=9, work_s=WORK_S)
    routes = [
        make_route(
            f"r-{service}", f"/{service}/", service, "idempotent", timeout=LIMIT_MS, aim=1200
        )
        for service in ("portafolio", "encargos")
    ]
    await fleet.start(make_configuration(3, routes, ["portafolio", "encargos"]))
    connections = [Connection(fleet, fleet.machines[1]) for _ in range(CONNECTIONS)]
    for one in connections:
        await one.open()
        one.send("GET", "/portafolio/first")
        await one.receive()
    slow, *sound = fleet.workers
    if is_disturbed:
        slow.work_s = WORK_S * SLOW_X
        fleet.record.write(f"worker {slow.identity} (portafolio) works {SLOW_X} times as long")
    for method, path in (
        ("GET", "/portafolio/read"), ("GET", "/encargos/read"), ("POST", "/encargos/search")
    ):
        for one in connections:
            one.send(method, path)
        await asyncio.sleep(0.1)
    await asyncio.gather(*(one.receive() for one in connections))
    await asyncio.sleep(1.0)
    events = {}
    # Only requests at workers that were never disturbed count.
    for worker in sound:
        for at, event, attempt in worker.log:
            events.setdefault(attempt, {})[event] = at
    lost = [
        attempt
        for one in connections
        for attempt in one.sent
        if attempt not in one.answers and "run" in events.get(attempt, {})
    ]
    for attempt in lost:
        fleet.record.write(f"lost: {attempt}, at the worker: {events[attempt]}")
    if len(lost) <= 3:
        return []
    return [
        f"LOST: {len(lost)} requests from kept connections were passed on to sound workers, and "
        f"their connections were closed without an answer, long before their time limit"
    ]


play(str(Path(__file__).parent), case)
