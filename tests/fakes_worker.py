"""A fake worker with scripted behaviour, and a hop client that records its results."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from typing import Any

import curio
import h11
import msgspec
from curio.io import Socket

from trefoilpick._connections import open_connection
from trefoilpick._ports import find_free_ports
from trefoilpick.blame import EndReport, ignore_end
from trefoilpick.conventions import DEFAULT_CONVENTIONS, Conventions
from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
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
from trefoilpick.hopserver import HopServer, open_hop_server
from trefoilpick.listeners import open_listener
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.metrics import Metrics
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.settings import (
    DrainSettings,
    HopSettings,
    LinkSettings,
    ListenSettings,
    RequestSettings,
    Settings,
    SourceSettings,
    VmSettings,
    WorkerSettings,
)
from trefoilpick.snapshots import SnapshotCell, build_snapshot
from trefoilpick.vms import Vm

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

HOST = "127.0.0.1"


@dataclass
class ReceivedRequest:
    """One request as the worker received it."""

    sock: Socket
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes = b""


Behaviour = Callable[[ReceivedRequest], Awaitable[None]]


def respond(raw: bytes = OK, *, then_reset: bool = False, then_close: bool = False) -> Behaviour:
    """Return a behaviour that answers with the given bytes."""

    async def answer(request: ReceivedRequest) -> None:
        await request.sock.sendall(raw)
        if then_reset:
            reset_on_close(request.sock)
        if then_reset or then_close:
            raise ConnectionResetError

    return answer


async def never_answer(request: ReceivedRequest) -> None:
    await curio.sleep(30)


class PausedAnswer:
    """Sends the first bytes of an answer at once, and the rest when `finish` is set."""

    def __init__(self, answer: bytes = OK, *, first: int = 0) -> None:
        self.finish = curio.Event()
        self._answer = answer
        self._first = first

    async def __call__(self, request: ReceivedRequest) -> None:
        await request.sock.sendall(self._answer[: self._first])
        await self.finish.wait()
        await request.sock.sendall(self._answer[self._first :])


def reset_on_close(sock: Socket) -> None:
    """Make the connection of a socket be reset when the socket is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class FakeWorker:
    """Runs every complete request that it receives, and counts it."""

    def __init__(self) -> None:
        self.executed: list[ReceivedRequest] = []
        self.connections = 0
        self.running = 0
        self.peak_running = 0
        self.script: list[Behaviour] = []
        self.default: Behaviour = respond()
        self.reset_after: int | None = None
        """Number of received bytes after which the connection is reset, once."""
        self.at_accept: Callable[[Socket], Awaitable[None]] | None = None
        """Handles each connection instead of the script."""
        self.listener = open_listener(HOST, 0, name="fake worker", backlog=128)
        self.port = self.listener.getsockname()[1]
        self._accepting: curio.Task | None = None
        self._serving: list[curio.Task] = []

    async def run(self) -> None:
        self._accepting = await curio.spawn(self._accept, daemon=True)
        try:
            await curio.Event().wait()
        finally:
            await self._accepting.cancel()
            for task in self._serving:
                await task.cancel()

    async def stop_listening(self) -> None:
        """Refuse new connections, and leave the others as they are."""
        await self._accepting.cancel()
        await self.listener.close()

    async def listen_again(self) -> None:
        self.listener = open_listener(HOST, self.port, name="fake worker", backlog=128)
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def _accept(self) -> None:
        while True:
            sock, _ = await self.listener.accept()
            self.connections += 1
            self._serving.append(await curio.spawn(self._serve, sock, daemon=True))

    async def _serve(self, sock: Socket) -> None:
        with suppress(OSError):
            if self.at_accept is not None:
                await self.at_accept(sock)
                await curio.sleep(30)
            while request := await self._receive(sock):
                self.executed.append(request)
                self.running += 1
                self.peak_running = max(self.peak_running, self.running)
                try:
                    await (self.script.pop(0) if self.script else self.default)(request)
                finally:
                    self.running -= 1
        await sock.close()

    async def _receive(self, sock: Socket) -> ReceivedRequest | None:
        http = h11.Connection(h11.SERVER)
        request: ReceivedRequest | None = None
        received = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await sock.recv(65536)
                received += len(data)
                if self.reset_after is not None and received >= self.reset_after:
                    self.reset_after = None
                    reset_on_close(sock)
                    return None
                if not data:
                    return None
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                method, target = event.method.decode(), event.target.decode()
                request = ReceivedRequest(sock, method, target, dict(event.headers))
            elif isinstance(event, h11.Data):
                assert request is not None
                request.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request
            else:
                return None


@dataclass
class HopResult:
    """Result of one request, as the caller's node received it."""

    kind: str = "cut"
    status: int | None = None
    outcome: str | None = None
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    token: str | None = None
    headers: dict[bytes, bytes] = field(default_factory=dict)
    retry_after_ms: int | None = None
    load: Load | None = None
    served_s: float | None = None
    notices: int = 0
    text: str = ""


REQUEST = HopRequest(
    number=1,
    digest="d",
    team="encargos",
    route="advance",
    upstream="encargos",
    method="POST",
    target="/advances/7",
    headers=[(b"host", b"encargos.example")],
    remaining_ms=10_000,
    priority="normal",
    idempotent=False,
    caller="editor",
    token=None,
    wants_token=False,
    has_body=False,
    is_retry=False,
)


def make_request(**fields: Any) -> HopRequest:
    return msgspec.structs.replace(REQUEST, **fields)


def make_read(**fields: Any) -> HopRequest:
    """Return an idempotent request."""
    return make_request(**{"method": "GET", "idempotent": True, "target": "/series", **fields})


async def send_request(hop: Hop, request: HopRequest, *chunks: bytes) -> None:
    frames = [encode_head(FrameKind.REQUEST, request)]
    if request.has_body:
        frames += [encode_data(chunks), encode_frame(FrameKind.END)]
    await hop.send(*frames)


async def receive_result(hop: Hop) -> HopResult:
    """Receive the result of the request that was sent."""
    result = HopResult()
    while True:
        try:
            frame = await hop.receive()
        except OSError:
            return result
        if frame is None:
            return result
        if frame.kind is FrameKind.NOTICE:
            result.notices += 1
        elif frame.kind is FrameKind.FAILURE:
            failure = decode_head(frame.payload, HopFailure)
            result.kind, result.outcome = failure.kind, failure.outcome
            result.text = failure.text
            result.retry_after_ms, result.load = failure.retry_after_ms, failure.load
            return result
        elif frame.kind is FrameKind.ANSWER:
            answer = decode_head(frame.payload, HopAnswer)
            result.status, result.outcome = answer.status, answer.outcome
            result.token, result.load = answer.token, answer.load
            result.served_s = answer.served_s
            result.headers = dict(answer.headers)
        elif frame.kind is FrameKind.DATA:
            result.body += frame.payload
        else:
            result.kind, result.is_complete = "answered", True
            return result


async def send_and_receive(hop: Hop, request: HopRequest, *chunks: bytes) -> HopResult:
    await send_request(hop, request, *chunks)
    return await receive_result(hop)


def build_cell(
    *, large_answers: bool = False, large_bodies: bool = False, **fields: Any
) -> SnapshotCell:
    upstream = Upstream("encargos", **fields)
    contract = Contract(idempotent=False, large_answers=large_answers, large_bodies=large_bodies)
    route = Route("advance", Match("/", ("GET", "POST")), "encargos", contract)
    cell = SnapshotCell()
    cell.replace(
        build_snapshot(
            VersionId(1, "d"),
            Manifest(1, 0, ()),
            Document((Section("encargos", (upstream,), (route,)),)),
        )
    )
    return cell


def build_settings(worker_port: int, **hops: Any) -> Settings:
    return Settings(
        vm=VmSettings("vm-1", "lima", "lima-a", "encargos"),
        listen=ListenSettings(HOST, hop_port=find_free_ports(HOST, 1)[0]),
        worker=WorkerSettings(HOST, worker_port),
        source=SourceSettings(("127.0.0.1:1",)),
        hops=HopSettings(**{"warm_up_ms": 0, **hops}),
        drain=DrainSettings(notice_ms=0, limit_ms=5_000),
    )


@dataclass
class Bench:
    """A fake worker, the hop server in front of it, and hops to that server."""

    worker: FakeWorker
    server: HopServer
    metrics: Metrics
    cell: SnapshotCell
    port: int
    hops: list[Hop] = field(default_factory=list)

    async def connect(self) -> Hop:
        while True:
            with suppress(ConnectionRefusedError):
                self.hops.append(Hop(await open_connection(HOST, self.port)))
                self.hops[-1].sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return self.hops[-1]
            await curio.sleep(0.001)

    async def call(self, request: HopRequest, *chunks: bytes) -> HopResult:
        hop = await self.connect()
        return await send_and_receive(hop, request, *chunks)


@asynccontextmanager
async def open_bench(
    *,
    drain: DrainSettings | None = None,
    upstream: dict[str, Any] | None = None,
    incarnation: int = 7,
    conventions: Conventions = DEFAULT_CONVENTIONS,
    find_listed_vm: Callable[[], Vm | None] = lambda: None,
    worker_host: str = HOST,
    requests: RequestSettings | None = None,
    gate: QuarantineGate | None = None,
    report_end: Callable[[EndReport], Awaitable[None]] = ignore_end,
    link_mbps: float = 0.0,
    large_answers: bool = False,
    large_bodies: bool = False,
    **hops: Any,
):
    worker = FakeWorker()
    settings = build_settings(worker.port, **hops)
    settings = replace(settings, worker=replace(settings.worker, host=worker_host))
    settings = replace(settings, link=LinkSettings(link_mbps))
    if drain is not None:
        settings = replace(settings, drain=drain)
    if requests is not None:
        settings = replace(settings, requests=requests)
    metrics = Metrics()
    cell = build_cell(large_answers=large_answers, large_bodies=large_bodies, **(upstream or {}))
    server = open_hop_server(
        settings,
        cell=cell,
        metrics=metrics,
        is_up_to_date=lambda: True,
        incarnation=incarnation,
        conventions=conventions,
        find_listed_vm=find_listed_vm,
        gate=gate,
        report_end=report_end,
    )
    tasks = [await curio.spawn(worker.run), await curio.spawn(server.run)]
    bench = Bench(worker, server, metrics, cell, settings.listen.hop_port)
    try:
        yield bench
    finally:
        for hop in bench.hops:
            await hop.close()
        for task in tasks:
            await task.cancel()
        await worker.listener.close()


async def wait_for(condition: Callable[[], bool], *, limit_s: float = 20.0) -> None:
    async with curio.timeout_after(limit_s):
        while not condition():
            await curio.sleep(0.002)
