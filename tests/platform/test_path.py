"""End-to-end tests with a fake store, two nodes, two workers and a client."""

from __future__ import annotations

import random
import socket
import tracemalloc
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import curio
import h11
import msgspec
import pytest
from curio.io import Socket
from fakes_store import FakeStore, make_configuration, make_entry, run_store

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection
from trefoilpick._ports import find_free_ports
from trefoilpick.node import Node, open_node
from trefoilpick.platform.headers import PLATFORM_CONVENTIONS
from trefoilpick.platform.settings import build_settings
from trefoilpick.platform.store import CONFIGURATION_KEY, open_store

HOSTS = ("127.0.41.1", "127.0.41.2")
UPLOAD_HEAD = b"PUT /upload/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: 2\r\n"
REQUEST_ID = b"x-trefoilpick-attempt-id"
EXPECTED_WORKER = b"x-trefoilpick-expected-instance"
CALLER_SERVICE = b"x-trefoilpick-caller-service"
DEADLINE = b"x-trefoilpick-deadline-ms"
STATUS_OK = 200


@dataclass
class PlatformWorker:
    """A worker that follows the platform's conventions."""

    host: str
    port: int
    identity: str
    heads: list[dict[bytes, bytes]] = field(default_factory=list)
    read_gap_s: float = 0.0
    """Pause between two reads of a request, in seconds."""
    slots: int = 0
    """Requests that it runs at once; it never answers any beyond them. 0 for no limit."""
    service_s: float = 0.0
    """Service time of a request, in seconds."""
    statements: list[tuple[bytes, bytes]] = field(default_factory=list)
    """Headers of its answers in which it states something about itself."""
    running: int = 0
    unanswered: int = 0
    """Requests that it will never answer."""
    arrived_s: list[float] = field(default_factory=list)
    """Clock readings at which its requests arrived."""

    async def run(self) -> None:
        listener = Socket(socket.create_server((self.host, self.port)))
        async with listener:
            while True:
                client, _ = await listener.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Socket) -> None:
        protocol = h11.Connection(h11.SERVER)
        with suppress(OSError, h11.RemoteProtocolError):
            async with client:
                while True:
                    event = protocol.next_event()
                    if event is h11.NEED_DATA:
                        protocol.receive_data(await client.recv(65_536))
                        await curio.sleep(self.read_gap_s)
                    elif isinstance(event, h11.Request):
                        head = dict(event.headers)
                    elif isinstance(event, h11.EndOfMessage):
                        self.arrived_s.append(read_clock())
                        await self._work()
                        await client.sendall(self._answer(protocol, head))
                        protocol.start_next_cycle()
                    elif isinstance(event, h11.ConnectionClosed):
                        return

    async def _work(self) -> None:
        if self.slots and self.running >= self.slots:
            self.unanswered += 1
            await curio.sleep(60)
        self.running += 1
        try:
            await curio.sleep(self.service_s)
        finally:
            self.running -= 1

    def _answer(self, protocol: h11.Connection, head: dict[bytes, bytes]) -> bytes:
        if head.get(EXPECTED_WORKER) != self.identity.encode():
            parts = h11.Response(status_code=421, headers=[(b"content-length", b"0")]), b""
        else:
            self.heads.append(head)
            body = self.identity.encode()
            headers = [
                (REQUEST_ID, head[REQUEST_ID]),
                (b"x-trefoilpick-response-signature", b"s." + head[REQUEST_ID]),
                (b"content-length", str(len(body)).encode()),
                *self.statements,
            ]
            parts = h11.Response(status_code=200, headers=headers), body
        sent = [protocol.send(parts[0]), protocol.send(h11.Data(data=parts[1]))]
        sent.append(protocol.send(h11.EndOfMessage()))
        return b"".join(part or b"" for part in sent)


@dataclass(frozen=True)
class Answer:
    """Response received by a client."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass
class Platform:
    """A store with nodes and their workers."""

    store: FakeStore
    ports: list[int]
    workers: list[PlatformWorker]
    nodes: list[Node] = field(default_factory=list)
    sent: int = 0

    def register(self, number: int, **fields: Any) -> None:
        """Write the entry of a worker."""
        worker = self.workers[number]
        entry = make_entry(f"{worker.host}:{worker.port}", zone=f"lima-{'ab'[number]}", **fields)
        self.store.put(f"servers/{worker.identity}", entry)

    async def send_request(self, host: str, request: bytes, body: bytes = b"") -> Answer:
        """Send a request on a new connection."""
        client = await open_connection(host, self.ports[2])
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        protocol.send(h11.EndOfMessage())
        async with client:
            await client.sendall(request + b"\r\n")
            await client.sendall(body)
            status, headers, parts = 0, {}, []
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(await client.recv(65_536))
                elif isinstance(event, h11.Response):
                    status, headers = event.status_code, dict(event.headers)
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return Answer(status, headers, b"".join(parts))

    async def request_until(self, predicate: Callable[[Answer], bool], request: bytes) -> Answer:
        """Repeat a request until its response satisfies a predicate."""
        number = 0
        async with curio.timeout_after(20):
            while True:
                number += 1
                answer = await self.send_request(
                    HOSTS[0], request + REQUEST_ID + b": again-%d\r\n" % number, b"ab"
                )
                if predicate(answer):
                    return answer
                await curio.sleep(0.05)

    async def wait_for_route(self, name: str) -> None:
        """Wait until both nodes serve the route of a prefix, as long as a version may take."""
        head = f"PUT /{name}/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: 2\r\n".encode()
        async with curio.timeout_after(2.5):
            for host in HOSTS:
                while (await self._send_once(host, head)).status != STATUS_OK:
                    await curio.sleep(0.05)

    async def _send_once(self, host: str, head: bytes) -> Answer:
        self.sent += 1
        return await self.send_request(host, head + REQUEST_ID + b": %d\r\n" % self.sent, b"ab")


def find_platform_ports() -> list[int]:
    """Return free ports: of hops, of links, of callers, of readiness and of workers.

    A node's links have the port after that of its hops, so both must be free.
    """
    while True:
        hop_port, *others = find_free_ports("0.0.0.0", 4)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("0.0.0.0", hop_port + 1))
            if hop_port + 1 not in others:
                return [hop_port, hop_port + 1, *others]


def run_platform(
    test: Callable[[Platform], Awaitable[None]],
    *,
    evacuations: bool = False,
    are_ready: bool = True,
    **store_fields: Any,
) -> None:
    """Run a test against two nodes, by default once they serve requests."""

    async def main(store: FakeStore) -> None:
        ports = find_platform_ports()
        workers = [
            PlatformWorker(host, ports[4], f"i-{number}") for number, host in enumerate(HOSTS)
        ]
        platform = Platform(store, ports, workers)
        store.put(CONFIGURATION_KEY, make_configuration())
        platform.nodes += [
            open_platform_node(platform, host, evacuations=evacuations) for host in HOSTS
        ]
        async with curio.TaskGroup(wait=any) as tasks:
            for part in (*workers, *platform.nodes):
                await tasks.spawn(part.run)
            await tasks.spawn(run_test, platform, test)
        if tasks.exception is not None:
            raise tasks.exception

    async def run_test(platform: Platform, test: Callable[[Platform], Awaitable[None]]) -> None:
        for number in range(len(HOSTS)):
            platform.register(number)
        if are_ready:
            await platform.request_until(lambda answer: answer.status == 200, UPLOAD_HEAD)
        else:
            await curio.sleep(2.0)
        await test(platform)

    run_store(main, **store_fields)


def open_platform_node(platform: Platform, host: str, *, evacuations: bool = False) -> Node:
    zone = "lima-a" if host == HOSTS[0] else "lima-b"
    return open_node_at(
        host, platform.store, platform.ports, zone=zone, vms=len(HOSTS), evacuations=evacuations
    )


def open_node_at(
    host: str,
    store: FakeStore,
    ports: list[int],
    *,
    zone: str,
    vms: int,
    evacuations: bool = False,
) -> Node:
    """Open a node of the platform that listens on an address."""
    bounds = {"grace": 6, "retry-budget-ratio": 0.2, "retry-budget-slack": 60}
    if evacuations:
        bounds["evacuation"] = 5_000
    facts = {
        "ip": host,
        "zone": zone,
        "region": "lima",
        "zones": {"lima-a": "lima", "lima-b": "lima"},
        "service": "encargos",
        "app-addr": f"{host}:{ports[4]}",
        "listen": {"outbound": f"{host}:{ports[2]}", "ready": f"{host}:{ports[3]}"},
        "internal-port-range": [ports[0], ports[0] + 15],
        "provider": {"address": store.address, "reads-per-s": 2_000},
        "bounds": bounds,
    }
    node_settings = {
        "source": {"watch_ms": 200, "read_timeout_ms": 500, "backoff_ms": 100},
        "control": {"listed_only": True, "join_wait_ms": 200, "expected_vms": vms, "readers": 4},
        "hops": {"warm_up_ms": 0},
    }
    settings = build_settings({"platform": facts, **node_settings}, origin="test")
    rng = random.Random(host)
    return open_node(
        settings,
        source=open_store(settings, random=rng),
        rng=rng,
        conventions=PLATFORM_CONVENTIONS,
    )


def test_request_is_forwarded_with_the_response_signature() -> None:
    async def test(platform: Platform) -> None:
        spoofed = (
            CALLER_SERVICE + b": other\r\n" + DEADLINE + b": 1500\r\n" + REQUEST_ID + b": one\r\n"
        )
        answer = await platform.send_request(HOSTS[0], UPLOAD_HEAD + spoofed, b"ab")
        assert answer.status == 200
        assert answer.headers[b"x-trefoilpick-response-signature"] == b"s.one"
        worker = next(w for w in platform.workers if w.identity.encode() == answer.body)
        head = next(head for head in worker.heads if head[REQUEST_ID] == b"one")
        assert head[EXPECTED_WORKER] == answer.body
        assert head[CALLER_SERVICE] == b"encargos"
        assert 0 < int(head[DEADLINE]) < 800

    run_platform(test)


async def count_arrivals(platform: Platform, for_s: float) -> int:
    """Send requests to both nodes in turn; return how many arrive at the first worker."""
    before, number = len(platform.workers[0].heads), 0
    end_s = read_clock() + for_s
    while read_clock() < end_s:
        number += 1
        request = UPLOAD_HEAD + REQUEST_ID + b": turn-%d\r\n" % number
        answer = await platform.send_request(HOSTS[number % 2], request, b"ab")
        assert answer.status == 200
    return len(platform.workers[0].heads) - before


# Guards against exceeding the limit that a worker names, summed over all machines.
def test_worker_that_names_a_limit_gets_no_more_from_both_nodes_together() -> None:
    async def test(platform: Platform) -> None:
        platform.workers[0].statements = [(b"server-limit", b"5.0")]
        await count_arrivals(platform, 0.5)
        assert 0 < await count_arrivals(platform, 3.0) <= 1.5 * 5.0 * 3.0 + 5

    run_platform(test)


# Guards against using a worker that says that it leaves while the store lists it as ready.
def test_worker_that_says_that_it_leaves_gets_nothing_although_its_entry_is_ready() -> None:
    async def test(platform: Platform) -> None:
        platform.workers[0].statements = [(b"server-leaving", b"1")]
        await count_arrivals(platform, 0.5)
        assert await count_arrivals(platform, 2.0) == 0

    run_platform(test)


def test_draining_worker_receives_no_requests() -> None:
    async def test(platform: Platform) -> None:
        platform.register(0, state="draining")
        await curio.sleep(1.0)
        before = len(platform.workers[0].heads)
        for number in range(20):
            answer = await platform.send_request(
                HOSTS[0], UPLOAD_HEAD + REQUEST_ID + b": %d\r\n" % number, b"ab"
            )
            assert (answer.status, answer.body) == (200, b"i-1")
        assert len(platform.workers[0].heads) == before

    run_platform(test)


def test_new_configuration_is_enforced_and_unknown_route_is_not_found() -> None:
    async def test(platform: Platform) -> None:
        new_route_head = b"PUT /new/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: 2\r\n"
        answer = await platform.send_request(
            HOSTS[0], new_route_head + REQUEST_ID + b": none\r\n", b"ab"
        )
        assert answer.status == 404
        changed = make_configuration(8)
        changed["routes"].append({**changed["routes"][0], "name": "r-9", "path-prefix": "/new/"})
        platform.store.put(CONFIGURATION_KEY, changed)
        await platform.request_until(lambda answer: answer.status == 200, new_route_head)
        assert platform.nodes[0].describe().version is not None

    run_platform(test)


def add_route(configuration: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a configuration with one more route, to a prefix of the given name."""
    route = {**configuration["routes"][0], "name": f"r-{name}", "path-prefix": f"/{name}/"}
    return {**configuration, "routes": [*configuration["routes"], route]}


# Guards against 404 for a route that was confirmed under a number that the nodes hold from before
# the store was restored.
@pytest.mark.parametrize(("lost", "confirmed"), [("one", "two"), ("two", "one")])
def test_route_confirmed_under_a_former_number_is_served(lost: str, confirmed: str) -> None:
    async def test(platform: Platform) -> None:
        store = platform.store
        store.put(CONFIGURATION_KEY, make_configuration(9))
        await curio.sleep(0.5)
        copy = store.copy()
        store.put(CONFIGURATION_KEY, add_route(make_configuration(10), lost))
        await platform.wait_for_route(lost)
        store.restore(copy)
        await curio.sleep(1.0)
        await platform.wait_for_route(lost)
        store.put(CONFIGURATION_KEY, add_route(make_configuration(10), confirmed))
        await platform.wait_for_route(confirmed)

    run_platform(test, era=3)


def test_worker_at_a_reused_address_runs_no_requests_for_its_predecessor() -> None:
    async def test(platform: Platform) -> None:
        platform.store.delete("servers/i-1")
        platform.workers[0].identity = "i-7"
        before = len(platform.workers[0].heads)
        answer = await platform.send_request(HOSTS[0], UPLOAD_HEAD + REQUEST_ID + b": x\r\n", b"ab")
        assert answer.status in (200, 503)
        assert answer.status == 503 or answer.body == b"i-1"
        assert len(platform.workers[0].heads) == before
        platform.store.delete("servers/i-0")
        platform.register(0, born=1_800_000_000_000)
        await platform.request_until(lambda answer: answer.body == b"i-7", UPLOAD_HEAD)

    run_platform(test)


# A configuration without readable tables replaced the former one, and all requests got 404.
def test_configuration_that_cannot_be_read_leaves_the_former_one_in_force() -> None:
    async def test(platform: Platform) -> None:
        whole = msgspec.json.encode(make_configuration(8))
        items = platform.store.items
        for number, value in enumerate((b'{"version":9}', whole[:-9], b"", b"[]")):
            platform.store.put(CONFIGURATION_KEY, value)
            if not value:
                items[CONFIGURATION_KEY]["value"] = "no base64"
            await curio.sleep(0.5)
            request = UPLOAD_HEAD + REQUEST_ID + b": kept-%d\r\n" % number
            answers = [await platform.send_request(host, request, b"ab") for host in HOSTS]
            assert [answer.status for answer in answers] == [200, 200]
        changed = make_configuration(10)
        changed["routes"].append({**changed["routes"][0], "name": "r-9", "path-prefix": "/new/"})
        platform.store.put(CONFIGURATION_KEY, changed)
        new_route_head = b"PUT /new/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: 2\r\n"
        began_s = read_clock()
        await platform.request_until(lambda answer: answer.status == 200, new_route_head)
        assert read_clock() - began_s < 2.0

    run_platform(test)


def test_node_without_access_to_the_store_gets_the_configuration_from_its_peer() -> None:
    async def test(platform: Platform) -> None:
        # The first node can no longer reach the store.
        source_settings = platform.nodes[0].settings.source
        platform.nodes[0].distributor.apply_source_settings(
            type(source_settings)(
                ("127.0.41.9:9",), read_timeout_ms=100, watch_ms=100, backoff_ms=100
            )
        )
        await curio.sleep(1.0)
        new_route_head = b"PUT /new/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: 2\r\n"
        changed = make_configuration(9)
        changed["routes"].append({**changed["routes"][0], "name": "r-9", "path-prefix": "/new/"})
        platform.store.put(CONFIGURATION_KEY, changed)
        await platform.request_until(lambda answer: answer.status == 200, new_route_head)
        assert not platform.nodes[0].distributor.describe().is_reader

    run_platform(test)


UPLOAD_ROUTE_HEAD = b"PUT /spread/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: %d\r\n"
UPLOAD_BYTES = 24_000_000
UPLOADS = 8
MAX_MEMORY_PER_UPLOAD = 1_500_000
"""Memory that both nodes together may use for one upload, in bytes."""


async def add_upload_route(platform: Platform) -> None:
    """Accept a configuration with a route for uploads, and wait until it is in force."""
    configuration = make_configuration(5)
    upload = {**configuration["routes"][0], "name": "r-9", "path-prefix": "/spread/"}
    configuration["routes"].append({**upload, "kind": "upload", "timeout": 60_000})
    platform.store.put(CONFIGURATION_KEY, configuration)
    await platform.request_until(lambda answer: answer.status == 200, UPLOAD_ROUTE_HEAD % 2)


def test_uploads_to_a_slow_worker_use_little_memory() -> None:
    """Many large spreads at once, shortly before a print deadline, to workers that read slowly."""

    async def test(platform: Platform) -> None:
        await add_upload_route(platform)
        for worker in platform.workers:
            worker.read_gap_s = 0.002
        body, answers = bytes(UPLOAD_BYTES), []

        async def send(number: int) -> None:
            request = UPLOAD_ROUTE_HEAD % UPLOAD_BYTES + REQUEST_ID + b": up-%d\r\n" % number
            answers.append(await platform.send_request(HOSTS[0], request, body))

        tracemalloc.start()
        try:
            async with curio.TaskGroup() as tasks:
                for number in range(UPLOADS):
                    await tasks.spawn(send, number)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert [answer.status for answer in answers] == [200] * UPLOADS
        assert peak_bytes < UPLOADS * MAX_MEMORY_PER_UPLOAD
        runs = [head[REQUEST_ID] for worker in platform.workers for head in worker.heads]
        assert sorted(run for run in runs if run.startswith(b"up-")) == [
            b"up-%d" % number for number in range(UPLOADS)
        ]

    run_platform(test)


def test_worker_that_never_answers_beyond_its_slots_gets_no_more() -> None:
    """Many callers at once, at a service whose workers are silent when they are full."""

    async def test(platform: Platform) -> None:
        for number, worker in enumerate(platform.workers):
            worker.slots, worker.service_s = 2, 0.05
            platform.register(number, slots=2)
        configuration = make_configuration(5)
        route = {**configuration["routes"][0], "name": "r-9", "path-prefix": "/busy/"}
        # At its deadline a request frees its slot, also if the worker runs on: a pause of this
        # process must not reach it.
        configuration["routes"].append({**route, "target-latency": 300, "timeout": 5_000})
        platform.store.put(CONFIGURATION_KEY, configuration)
        head = b"PUT /busy/1 HTTP/1.1\r\nhost: ficu.example\r\ncontent-length: 2\r\n"
        await platform.request_until(lambda answer: answer.status == 200, head)
        await curio.sleep(0.5)
        answers: list[Answer] = []

        async def send(number: int) -> None:
            request = head + REQUEST_ID + b": busy-%d\r\n" % number
            answers.append(await platform.send_request(HOSTS[number % 2], request, b"ab"))

        async with curio.timeout_after(10), curio.TaskGroup() as tasks:
            for number in range(120):
                await tasks.spawn(send, number)
                await curio.sleep(0.005)
        assert [worker.unanswered for worker in platform.workers] == [0, 0]
        statuses = [answer.status for answer in answers]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 30
        refused = [answer for answer in answers if answer.status == 503]
        assert all(b"retry-after" in answer.headers for answer in refused)

    run_platform(test)


def test_upload_survives_a_worker_that_pauses_within_its_body() -> None:
    """A full receive window is no sign of a dead VM."""

    async def test(platform: Platform) -> None:
        await add_upload_route(platform)
        for worker in platform.workers:
            worker.read_gap_s = 2.0
        request = UPLOAD_ROUTE_HEAD % UPLOAD_BYTES + REQUEST_ID + b": paused\r\n"
        task = await curio.spawn(platform.send_request, HOSTS[0], request, bytes(UPLOAD_BYTES))
        await curio.sleep(0.5)
        for worker in platform.workers:
            worker.read_gap_s = 0.0
        assert (await task.join()).status == 200

    run_platform(test)
