"""A fake worker's node with scripted answers, and the environment of a caller server."""

from __future__ import annotations

import random
from base64 import urlsafe_b64encode
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import curio
import h11
import msgspec
from curio import socket

from trefoilpick._connections import open_connection
from trefoilpick._token_signing import MAC_BYTES, TokenClaims
from trefoilpick.callers import CallerServer, open_caller_server
from trefoilpick.conventions import DEFAULT_CONVENTIONS, Conventions
from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.errors import ErrorKind, Outcome
from trefoilpick.hops import (
    FrameKind,
    Hop,
    HopAnswer,
    HopFailure,
    HopRequest,
    Load,
    decode_head,
    encode_data,
    encode_frame,
    encode_head,
)
from trefoilpick.link_scheduler import LinkScheduler
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.metrics import Metrics
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.running_requests import RunningRequests
from trefoilpick.settings import (
    DrainSettings,
    HopSettings,
    ListenSettings,
    RequestSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import SnapshotCell, build_snapshot
from trefoilpick.vms import Vm, WorkerIdentity

HOST = "127.0.0.1"
PART_BYTES = 500_000
END = encode_frame(FrameKind.END)


@dataclass
class ReceivedRequest:
    """A request that a fake node received."""

    head: HopRequest
    body: bytes
    is_complete: bool


Script = Callable[["FakeWorkerNode", Hop, HopRequest], Coroutine[Any, Any, None]]


@dataclass
class FakeWorkerNode:
    """A fake worker's node that handles requests by scripts, and others with status 200.

    A request is handled by the script of its ID or else by the next one. Requests that run
    concurrently may arrive in any order, so that only the IDs tell which one gets which script.
    """

    name: str = "vm-1"
    scripts: deque[Script] = field(default_factory=deque)
    scripts_by_id: dict[bytes, Script] = field(default_factory=dict)
    received: list[ReceivedRequest] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    cancelled: int = 0
    leaving: bool = False
    incarnation: int = 1
    connections: int = 0
    port: int = 0
    service: str = "encargos"
    data_centre: str = "lima-a"
    region: str = "lima"
    body_kbps: int = 0
    hops: list[Hop] = field(default_factory=list)

    def build_load(self) -> Load:
        return Load(
            self.name,
            self.incarnation,
            7,
            "d",
            0,
            0,
            10,
            self.leaving,
            body_kbps=self.body_kbps,
        )

    def build_vm(self) -> Vm:
        return Vm(
            self.name, self.region, self.data_centre, self.service, HOST, self.port, self.port
        )

    def listen(self) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(64)
        self.port = listener.getsockname()[1]
        return listener

    async def run(self, listener: socket.socket) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self.serve, client, daemon=True)

    async def serve(self, client: socket.socket) -> None:
        self.connections += 1
        hop = Hop(client)
        self.hops.append(hop)
        try:
            while (frame := await hop.receive()) is not None:
                head = decode_head(frame.payload, HopRequest)
                await self.choose_script(head)(self, hop, head)
        except OSError:
            self.cancelled += 1
        finally:
            await client.close()

    def choose_script(self, head: HopRequest) -> Script:
        script = self.scripts_by_id.get(dict(head.headers).get(b"x-request-id", b""))
        if script is None:
            script = self.scripts.popleft() if self.scripts else answer_ok
        return script

    async def receive_body(self, hop: Hop, head: HopRequest) -> bytes:
        """Receive the body, and count a run if it is complete."""
        body = b""
        is_complete = not head.has_body
        if not is_complete:
            await hop.send(encode_head(FrameKind.NOTICE, self.build_load()))
        while not is_complete:
            frame = await hop.receive()
            if frame is None:
                raise ConnectionResetError
            is_complete = frame.kind is FrameKind.END
            body += frame.payload
        self.received.append(ReceivedRequest(head, body, is_complete))
        if is_complete:
            self.runs[dict(head.headers).get(b"x-request-id", b"").decode()] += 1
        return body

    async def send_token(self, hop: Hop, head: HopRequest) -> None:
        token = make_token(self.name)
        await hop.send(self.encode_answer(status=204, token=token, outcome=Outcome.NOT_RUN), END)

    def encode_answer(
        self,
        *,
        status: int = 200,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        token: str | None = None,
        outcome: Outcome = Outcome.RUN,
    ) -> bytes:
        answer = HopAnswer(status, list(headers), self.build_load(), outcome.value, token)
        return encode_head(FrameKind.ANSWER, answer)

    def encode_failure(self, kind: ErrorKind, outcome: Outcome) -> bytes:
        failure = HopFailure(kind.value, "scripted", outcome.value, 1500, self.build_load())
        return encode_head(FrameKind.FAILURE, failure)


def make_token(vm: str) -> str:
    claims = TokenClaims(vm, 1, 1, b"subject", 0)
    return urlsafe_b64encode(msgspec.msgpack.encode(claims) + bytes(MAC_BYTES)).decode()


async def answer_ok(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    if head.wants_token:
        await fake.send_token(hop, head)
        return
    body = await fake.receive_body(hop, head)
    content = fake.name.encode() + b":" + body
    length = (b"content-length", str(len(content)).encode())
    parts = [content[start : start + PART_BYTES] for start in range(0, len(content), PART_BYTES)]
    await hop.send(fake.encode_answer(headers=(length,)), encode_data(parts), END)


def fail_with(kind: ErrorKind, outcome: Outcome = Outcome.NOT_RUN) -> Script:
    async def script(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await hop.send(fake.encode_failure(kind, outcome))
        if head.has_body:
            await hop.close()
            raise ConnectionResetError

    return script


class FakeDirectory:
    """Lists VMs by service, and records the states reported to it."""

    def __init__(self, *fakes: FakeWorkerNode) -> None:
        self.vms = tuple(fake.build_vm() for fake in fakes)
        self.refused: list[str] = []
        self.leaving: list[str] = []
        self.alive: list[tuple[str, int]] = []
        self.left: list[tuple[str, WorkerIdentity]] = []

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.vms if vm.service == service)

    def count_vms(self) -> int:
        return len(self.vms)

    def record_connection_refused(self, vm: str) -> None:
        self.refused.append(vm)

    def record_leaving(self, vm: str) -> None:
        self.leaving.append(vm)

    def record_alive(self, vm: str, incarnation: int) -> None:
        self.alive.append((vm, incarnation))

    def record_worker_left(self, vm: str, worker: WorkerIdentity) -> None:
        self.left.append((vm, worker))


@dataclass
class Bench:
    """Environment of a test: a caller server between test callers and fake nodes."""

    server: CallerServer
    fakes: tuple[FakeWorkerNode, ...]
    directory: FakeDirectory
    metrics: Metrics
    cell: SnapshotCell
    is_ready: bool = True
    is_up_to_date: bool = True
    may_be_behind: bool = False
    task: curio.Task | None = None

    async def end(self) -> None:
        """End the server, as a node does after its drain."""
        assert self.task is not None
        await self.task.cancel()

    @property
    def runs(self) -> Counter[str]:
        return sum((fake.runs for fake in self.fakes), Counter())


def build_document(*, large_answers: bool = False, large_bodies: bool = False) -> Document:
    def route(name: str, methods: tuple[str, ...], contract: Contract) -> Route:
        return Route(name, Match(f"/{name}", methods), "encargos", contract)

    routes = (
        route(
            "status",
            ("GET", "HEAD"),
            Contract(True, 2_000, retries=2, large_answers=large_answers),
        ),
        route("advance", ("POST",), Contract(False, 800, retries=2, body_limit_bytes=100_000)),
        route(
            "spread",
            ("PUT",),
            Contract(False, 2_000, body_limit_bytes=2**32, large_bodies=large_bodies),
        ),
        route("note", ("PUT",), Contract(True, 800, retries=2, body_limit_bytes=2**20)),
        route("short", ("GET", "POST"), Contract(False, 300, retries=2)),
    )
    upstream = Upstream("encargos", connect_timeout_ms=300)
    return Document((Section("quillqa", (upstream,), routes),))


def build_settings(
    requests: RequestSettings, drain: DrainSettings, hops: HopSettings | None = None
) -> Settings:
    return Settings(
        VmSettings("vm-0", "lima", "lima-a", "portafolio"),
        ListenSettings(HOST, caller_port=0),
        WorkerSettings(HOST, 1),
        SourceSettings((f"{HOST}:1",)),
        requests=requests,
        drain=drain,
        hops=hops or HopSettings(),
    )


def run_bench(
    main: Callable[[Bench], Coroutine[Any, Any, None]],
    *fakes: FakeWorkerNode,
    requests: RequestSettings | None = None,
    drain: DrainSettings | None = None,
    conventions: Conventions = DEFAULT_CONVENTIONS,
    gate: QuarantineGate | None = None,
    hops: HopSettings | None = None,
    running: RunningRequests | None = None,
    link_mbps: float = 0.0,
    large_answers: bool = False,
    large_bodies: bool = False,
) -> Bench:
    """Run the main task of a test with a caller server and its fakes."""

    async def run() -> Bench:
        listeners = [(fake, fake.listen()) for fake in fakes]
        directory = FakeDirectory(*fakes)
        metrics = Metrics()
        cell = SnapshotCell()
        version = VersionId(7, "d")
        document = build_document(large_answers=large_answers, large_bodies=large_bodies)
        cell.replace(build_snapshot(version, Manifest(7, 1, ()), document))
        server = open_caller_server(
            build_settings(requests or RequestSettings(), drain or DrainSettings(0, 5_000), hops),
            cell=cell,
            directory=directory,
            metrics=metrics,
            is_ready=lambda: bench.is_ready,
            is_up_to_date=lambda: bench.is_up_to_date,
            may_be_behind=lambda: bench.may_be_behind,
            random=random.Random(5),
            conventions=conventions,
            gate=gate,
            running=running,
            link=LinkScheduler(link_mbps, cell=cell, metrics=metrics),
        )
        bench = Bench(server, fakes, directory, metrics, cell)
        for fake, listener in listeners:
            await curio.spawn(fake.run, listener, daemon=True)
        bench.task = await curio.spawn(server.run, daemon=True)
        async with curio.timeout_after(30):
            await main(bench)
        await bench.end()
        return bench

    return curio.run(run)


@dataclass
class ReceivedAnswer:
    """The answer that a test caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def outcome(self) -> str:
        return self.headers.get("x-trefoilpick-outcome", "")

    @property
    def error(self) -> str:
        return self.headers.get("x-trefoilpick-error", "")


class TestCaller:
    """A caller's HTTP/1.1 connection."""

    __test__ = False

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.http = h11.Connection(h11.CLIENT)

    async def send(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        length: int | None = None,
        **headers: str,
    ) -> None:
        fields = [
            ("host", "encargos.quillqa"),
            *((k.replace("_", "-"), v) for k, v in headers.items()),
        ]
        if body is not None and "transfer_encoding" not in headers:
            fields.append(("content-length", str(len(body) if length is None else length)))
        data = self.http.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        if length is None or length == len(body or b""):
            data += self.http.send(h11.EndOfMessage()) or b""
        await self.sock.sendall(data)

    async def receive(self) -> ReceivedAnswer:
        answer = ReceivedAnswer(0, {}, b"", False)
        try:
            while not answer.is_complete:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self.sock.recv(65_536))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {k.decode(): v.decode() for k, v in event.headers}
                elif isinstance(event, h11.Data):
                    answer.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    answer.is_complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (OSError, h11.RemoteProtocolError):
            return answer
        return answer

    async def request(
        self, method: str, target: str, body: bytes | None = None, **headers: str
    ) -> ReceivedAnswer:
        await self.send(method, target, body, **headers)
        answer = await self.receive()
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return answer


async def connect(bench: Bench) -> TestCaller:
    return TestCaller(await open_connection(HOST, bench.server.port))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, with a generous timeout."""
    async with curio.timeout_after(20):
        while not condition():
            await curio.sleep(0.01)
