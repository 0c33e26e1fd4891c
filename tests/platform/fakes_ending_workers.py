"""Live nodes beside workers that end when they begin certain requests and come back later."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any

import curio
import h11
from curio.io import Socket
from fakes_store import FakeStore, make_configuration, make_entry, run_store
from test_path import EXPECTED_WORKER, REQUEST_ID, find_platform_ports, open_node_at

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection
from trefoilpick.node import Node
from trefoilpick.platform.store import CONFIGURATION_KEY

TICK_S = 0.05
"""Interval at which the process of the test looks whether it was paused, in seconds."""
PAUSE_S = 0.9
"""Pause of the process after which nodes refuse requests until a peer has answered, in seconds:
just under the nodes' own limit."""
RECOVERED_S = 2.0
"""Time after a pause for which nodes may refuse requests, in seconds."""
DOWN_S = 2.0
"""Time until a worker that ended is back under another identity, in seconds."""
SERVICE_S = 0.02
"""Service time of a request, in seconds."""
CALL_LIMIT_S = 3.0
"""Time for which a client waits for an answer, in seconds."""
STATUS_OK = 200
STATUS_REFUSED = 503
RESET = struct.pack("ii", 1, 0)

IsLethal = Callable[[str, dict[bytes, bytes], bytes], bool]


@dataclass(frozen=True)
class Call:
    """A client's request, without its ID.

    Attributes:
        target: Path and query; the prefix decides whether it may run more than once.
        body: Its body; None for a GET.
        user: Value of its `Authorization` header; empty to omit it.
        is_chunked: Whether the body is sent in chunks, its first byte alone.
        pause_s: Pause after each part, in seconds.
    """

    target: str
    body: bytes | None = None
    user: str = ""
    is_chunked: bool = False
    pause_s: float = 0.0

    def encode(self, request_id: str) -> list[bytes]:
        """Return the parts of the request, which are sent one after the other."""
        method = "GET" if self.body is None else "POST"
        headers = [("host", "ficu.example"), (REQUEST_ID.decode(), request_id)]
        if self.user:
            headers.append(("authorization", self.user))
        if self.body is None:
            parts = [b""]
        elif self.is_chunked:
            headers.append(("transfer-encoding", "chunked"))
            pieces = [piece for piece in (self.body[:1], self.body[1:]) if piece]
            parts = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
            parts[-1] += b"0\r\n\r\n"
        else:
            headers.append(("content-length", str(len(self.body))))
            parts = [self.body]
        lines = [f"{method} {self.target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers), "", ""]
        parts[0] = "\r\n".join(lines).encode() + parts[0]
        return parts


class EndingWorker:
    """A worker that ends when it begins a request that `is_lethal` accepts.

    Attributes:
        identity: Identity of its current incarnation.
        began: Times at which lethal requests arrived, by the monotonic clock, in seconds.
        ended: Times at which it ended.
        runs: Numbers of requests that it ran, by target.
        cut: IDs of the requests that it was running when it ended under another one.
    """

    def __init__(self, host: str, port: int, store: FakeStore, is_lethal: IsLethal) -> None:
        self.host = host
        self.identity = ""
        self.began: list[float] = []
        self.ended: list[float] = []
        self.runs: dict[str, int] = {}
        self.cut: set[str] = set()
        self._port = port
        self._store = store
        self._is_lethal = is_lethal
        self._incarnation = 0
        self._end = curio.Event()
        self._serving: list[curio.Task] = []

    async def run(self) -> None:
        """Serve, and come back some time after each end."""
        while True:
            self._incarnation += 1
            if self.identity:
                self._store.delete(f"servers/{self.identity}")
            self.identity = f"i-{self.host.rpartition('.')[2]}-{self._incarnation}"
            listener = Socket(socket.create_server((self.host, self._port)))
            entry = make_entry(f"{self.host}:{self._port}", zone=find_zone(self.host))
            self._store.put(
                f"servers/{self.identity}", {**entry, "born": time.time_ns() // 1_000_000}
            )
            accepting = await curio.spawn(self._accept, listener, daemon=True)
            await self._end.wait()
            self._end.clear()
            await accepting.cancel()
            await listener.close()
            for serving in list(self._serving):
                await serving.cancel()
            self._serving.clear()
            await curio.sleep(DOWN_S)

    async def end(self) -> None:
        """End the worker; its open connections are reset."""
        self.ended.append(read_clock())
        await self._end.set()

    async def _accept(self, listener: Socket) -> None:
        while True:
            client, _ = await listener.accept()
            self._serving.append(await curio.spawn(self._serve, client, daemon=True))

    async def _serve(self, client: Socket) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            with suppress(OSError, h11.RemoteProtocolError):
                while True:
                    head, body = await self._receive(client, protocol)
                    if head is None:
                        return
                    await self._answer(client, protocol, head, body)
                    protocol.start_next_cycle()
        except curio.TaskCancelled:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            raise
        finally:
            await client.close()

    async def _receive(
        self, client: Socket, protocol: h11.Connection
    ) -> tuple[h11.Request | None, bytes]:
        head, body = None, b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await client.recv(65_536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return head, body
            else:
                return None, b""

    async def _answer(
        self, client: Socket, protocol: h11.Connection, head: h11.Request, body: bytes
    ) -> None:
        headers = dict(head.headers)
        target = head.target.decode()
        request_id = headers.get(REQUEST_ID, b"")
        status = STATUS_OK
        if headers.get(EXPECTED_WORKER) != self.identity.encode():
            status = 421
        elif self._is_lethal(target, headers, body):
            self.began.append(read_clock())
            await self.end()
            await curio.sleep(60)
        else:
            self.runs[target] = self.runs.get(target, 0) + 1
            try:
                await curio.sleep(SERVICE_S)
            except curio.TaskCancelled:
                self.cut.add(request_id.decode())
                raise
        answer_headers = [
            (REQUEST_ID, request_id),
            (b"x-trefoilpick-response-signature", b"s." + request_id),
            (b"content-length", b"0"),
        ]
        await client.sendall(
            (protocol.send(h11.Response(status_code=status, headers=answer_headers)) or b"")
            + (protocol.send(h11.EndOfMessage()) or b"")
        )


@dataclass(frozen=True)
class Result:
    """Result of a finished call.

    Attributes:
        began_s: Clock reading at which it was first sent, in seconds.
        request_id: ID with which it was sent last.
        status: Status of its last answer; 0 without one.
    """

    began_s: float
    request_id: str
    status: int


@dataclass
class EndingFleet:
    """Live nodes, each beside an `EndingWorker`, with a store.

    Attributes:
        hosts: IP addresses of the VMs.
        ports: Ports that all VMs use.
        workers: The workers.
        nodes: The nodes.
        results: Results of the finished calls, by the name of their client.
        pauses: Beginnings and ends of the pauses of this process, which are pauses of all nodes.
    """

    hosts: tuple[str, ...]
    ports: list[int]
    workers: list[EndingWorker] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    results: dict[str, list[Result]] = field(default_factory=dict)
    pauses: list[tuple[float, float]] = field(default_factory=list)
    _sent: int = 0

    @property
    def ends(self) -> list[float]:
        """Times at which workers ended, in order."""
        return sorted(at_s for worker in self.workers for at_s in worker.ended)

    @property
    def lethal_arrivals(self) -> list[float]:
        """Times at which lethal requests arrived at workers, in order."""
        return sorted(at_s for worker in self.workers for at_s in worker.began)

    @property
    def cut(self) -> set[str]:
        """IDs of the requests that workers were running when they ended under another one."""
        return set().union(*(worker.cut for worker in self.workers))

    def list_results(self, name: str, *, since_s: float) -> list[Result]:
        """Return the results of the calls of a client that were sent after a time.

        Calls that were refused after a pause are left out: a node that was paused serves nothing
        before it knows that its version is the newest.
        """
        sent = [result for result in self.results.get(name, []) if result.began_s >= since_s]
        return [result for result in sent if not self._was_refused_after_pause(result)]

    async def watch_pauses(self) -> None:
        """Record the pauses of this process."""
        while True:
            began_s = read_clock()
            await curio.sleep(TICK_S)
            now_s = read_clock()
            if now_s - began_s - TICK_S > PAUSE_S:
                self.pauses.append((began_s, now_s))

    def list_statuses(self, name: str, *, since_s: float) -> list[int]:
        """Return the statuses of the calls of a client that were sent after a time."""
        return [result.status for result in self.list_results(name, since_s=since_s)]

    async def send(self, call: Call, node: int) -> Result:
        """Send a call to a node on a new connection."""
        self._sent += 1
        began_s, request_id = read_clock(), f"id-{self._sent}"
        host = self.hosts[node % len(self.hosts)]
        data = b""
        with suppress(OSError):
            async with await open_connection(host, self.ports[2]) as client:
                for part in call.encode(request_id):
                    await client.sendall(part)
                    await curio.sleep(call.pause_s)
                async with curio.ignore_after(CALL_LIMIT_S):
                    while b"\r\n\r\n" not in data and (part := await client.recv(65_536)):
                        data += part
        return Result(began_s, request_id, int(data.split()[1]) if data else 0)

    async def repeat(
        self, name: str, call: Call, gap_s: float, until_s: float, retries: int = 0
    ) -> None:
        """Send a call to every node in turn, each time with a new ID, until a time."""
        number = 0
        while (now_s := read_clock()) < until_s:
            await curio.spawn(self._call, name, call, number, retries, daemon=True)
            number += 1
            await curio.sleep(now_s + gap_s - read_clock())

    def _was_refused_after_pause(self, result: Result) -> bool:
        return result.status == STATUS_REFUSED and any(
            began_s - CALL_LIMIT_S <= result.began_s <= ended_s + RECOVERED_S
            for began_s, ended_s in self.pauses
        )

    async def _call(self, name: str, call: Call, number: int, retries: int) -> None:
        result = await self.send(call, number)
        began_s = result.began_s
        while result.status != STATUS_OK and retries:
            retries -= 1
            number += 1
            result = await self.send(call, number)
        self.results.setdefault(name, []).append(replace(result, began_s=began_s))

    async def wait_until_served(self, call: Call) -> None:
        """Wait until every node serves a call."""
        async with curio.timeout_after(20):
            for node in range(len(self.hosts)):
                while (await self.send(call, node)).status != STATUS_OK:
                    await curio.sleep(0.05)


def find_zone(host: str) -> str:
    """Return the data centre of a VM."""
    return f"lima-{'ab'[int(host.rpartition('.')[2]) % 2]}"


def run_ending_fleet(
    test: Callable[[EndingFleet], Awaitable[None]], is_lethal: IsLethal, *, subnet: int, nodes: int
) -> None:
    """Run a test against live nodes that are ready."""

    async def main(store: FakeStore) -> None:
        hosts = tuple(f"127.0.{subnet}.{number}" for number in range(1, nodes + 1))
        fleet = EndingFleet(hosts, find_platform_ports())
        store.put(CONFIGURATION_KEY, build_configuration())
        for host in hosts:
            fleet.workers.append(EndingWorker(host, fleet.ports[4], store, is_lethal))
            zone = find_zone(host)
            fleet.nodes.append(open_node_at(host, store, fleet.ports, zone=zone, vms=nodes))
        async with curio.TaskGroup(wait=any) as tasks:
            for part in (*fleet.workers, *fleet.nodes):
                await tasks.spawn(part.run)
            await tasks.spawn(fleet.watch_pauses)
            await tasks.spawn(run_test, fleet)
        if tasks.exception is not None:
            raise tasks.exception

    async def run_test(fleet: EndingFleet) -> None:
        await fleet.wait_until_served(Call("/read/ready"))
        await test(fleet)

    run_store(main)


def build_configuration() -> dict[str, Any]:
    """Return a configuration with a route that may be repeated and one that may not."""
    configuration = make_configuration()
    once, read = configuration["routes"]
    read = {key: value for key, value in read.items() if key != "traffic-split"}
    return {**configuration, "routes": [once, {**read, "service": "encargos"}]}
