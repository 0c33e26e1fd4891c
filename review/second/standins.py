"""Stand-ins for the platform's store, the workers and the clients, and a fleet of node processes.

Only the standard library is used. The nodes run as processes of their own, with the command of
`deploy/system.toml` and settings that are filled in from `deploy/node.jsonc`.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case cannot be run here."""


class Record:
    """The events of a case, written to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


def find_ports(count: int) -> list[int]:
    """Return free ports below the range of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end of the stream."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message; raise IncompleteReadError if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: items with revisions, pages, watches."""

    def __init__(self) -> None:
        self.revision = 7
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def put(self, key: str, value: object) -> int:
        self.revision += 1
        known = self.items.get(key)
        data = json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create-revision": known["create-revision"] if known else self.revision,
            "lease-id": 0,
        }
        self.items[key] = item
        self._add(item)
        return self.revision

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self._add({"key": key, "revision": self.revision, "deleted": True})

    def _add(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                status, body = await self._handle(target)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, target: str) -> tuple[int, dict]:
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/trefoilpick/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "store-revision": self.revision})
        prefix = query["path-prefix"]
        if parts.path == "/trefoilpick/kv-range":
            after = query.get("after", "")
            keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
            items = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "has-more": more, "store-revision": self.revision}
        after, end = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker of a service, which registers itself in the store."""

    def __init__(
        self,
        record: Record,
        store: Store,
        *,
        identity: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        slots: int,
        work_s: float,
        queue: int = 36,
    ) -> None:
        self.record, self.store = record, store
        self.identity, self.service, self.zone = identity, service, zone
        self.host, self.port, self.slots, self.queue = host, port, slots, queue
        self.work_s = work_s
        self.silence_s = 0.0
        """Pause within each answer, after its head and half of its body, in seconds."""
        self.runs: Counter[str] = Counter()
        self.done: set[str] = set()
        self.broken_by_caller: set[str] = set()
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.register("ready")

    def register(self, state: str) -> None:
        self.store.put(
            f"servers/{self.identity}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold-remaining": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                await self._handle(first, headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, first: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        identity = headers.get("x-trefoilpick-attempt-id", "")
        expected = headers.get("x-trefoilpick-expected-instance", self.identity)
        if expected != self.identity:
            await self._answer(writer, 421, identity, b"", executed=False)
            return
        if not identity:
            await self._answer(writer, 400, identity, b"", executed=False)
            return
        if self._waiting >= self.queue:
            await self._answer(writer, 503, identity, b"", executed=False)
            return
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self.runs[identity] += 1
            self.record.write(f"worker {self.identity} begins to run {identity}: {first}")
            await asyncio.sleep(self.work_s)
        answer = f"{self.identity} ran {identity} {len(body)}\n".encode() * 4
        try:
            await self._answer(writer, 200, identity, answer, executed=True)
            self.done.add(identity)
            self.record.write(f"worker {self.identity} has answered {identity}")
        except ConnectionError:
            self.broken_by_caller.add(identity)
            self.record.write(f"worker {self.identity} finds the connection of {identity} closed")
            raise

    async def _answer(
        self, writer: asyncio.StreamWriter, status: int, identity: str, body: bytes, *, executed: bool
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
        if identity:
            lines.append(f"X-Trefoilpick-Attempt-Id: {identity}")
        if executed:
            lines.append(f"X-Trefoilpick-Response-Signature: {self.identity}.{identity}")
        else:
            lines.append("X-Trefoilpick-Not-Executed: 1")
            lines.append(f"X-Trefoilpick-Instance-Id: {self.identity}")
        half = len(body) // 2 if executed and self.silence_s else len(body)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body[:half])
        if half < len(body):
            await writer.drain()
            self.record.write(f"worker {self.identity} pauses within the answer to {identity}")
            await asyncio.sleep(self.silence_s)
            writer.write(body[half:])
        if writer.is_closing():
            raise ConnectionResetError
        await writer.drain()


class Fleet:
    """Node processes, one beside each worker."""

    def __init__(self, record: Record, *, zones: dict[str, str], bounds: dict[str, object]) -> None:
        self.record = record
        self.zones, self.bounds = zones, bounds
        self.net = f"127.{random.randrange(20, 200)}.{random.randrange(1, 250)}"
        self.folder = Path(tempfile.mkdtemp(prefix="trefoilpick-review-"))
        ports = find_ports(6)
        self.store_port, self.worker_port, self.inbound, self.outbound, self.ready = ports[:5]
        self.internal = ports[5]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.logs: list[object] = []
        self.command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"]
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: build the deploy file first")

    def host(self, number: int) -> str:
        return f"{self.net}.{number}"

    def _fill_settings(self, number: int, service: str, zone: str, store: str) -> Path:
        ip = self.host(number)
        facts = {
            "node-name": f"sidecar-{zone}-{number}",
            "role": "node",
            "machine-class": "sidecar",
            "serves": ["sidecar"],
            "ip": ip,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listen": {
                "inbound": f"{ip}:{self.inbound}",
                "outbound": f"{ip}:{self.outbound}",
                "ready": f"{ip}:{self.ready}",
            },
            "internal-port-range": [self.internal, self.internal + 15],
            "seed-nodes": [],
            "first-start": True,
            "counts-toward-tolerance": False,
            "limits": {
                "cpu-share": 0.86,
                "cpu-cores": 1,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry-mode": "static",
            "heartbeat": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "app-addr": f"{ip}:{self.worker_port}",
            "service": service,
            "provider": {
                "address": store,
                "form": "read",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history": 20,
                "max-value-bytes": 1048576,
                "ttl-min": 1000,
            },
        }
        template = (ROOT / "deploy/node.jsonc").read_text(encoding="utf-8")
        text, count = re.subn(r"\{\{\.\|json\}\}", lambda _: json.dumps(facts), template)
        if count != 1:
            raise CannotRun("deploy/node.jsonc has another form than expected")
        path = self.folder / f"node-{number}.jsonc"
        path.write_text(text, encoding="utf-8")
        return path

    async def start_node(self, number: int, service: str, zone: str, store: str) -> None:
        settings = self._fill_settings(number, service, zone, store)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "TREFOILPICK_SETTINGS": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        log = (self.folder / f"node-{number}.log").open("ab")
        self.logs.append(log)
        self.processes[self.host(number)] = await asyncio.create_subprocess_exec(
            *self.command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"node {number} is started on {self.host(number)} ({service}, {zone})")

    def signal(self, number: int, what: signal.Signals) -> None:
        process = self.processes[self.host(number)]
        if process.returncode is None:
            process.send_signal(what)
            self.record.write(f"node {number} gets {what.name}")

    async def wait_until_ready(self, numbers: list[int], limit_s: float = 20.0) -> None:
        end = time.monotonic() + limit_s
        for number in numbers:
            while not await self._is_ready(number):
                if time.monotonic() > end:
                    raise CannotRun(f"node {number} is not ready within {limit_s:g} s")
                await asyncio.sleep(0.2)
        self.record.write(f"nodes {numbers} are ready")

    async def _is_ready(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host(number), self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 2.0)
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for log in self.logs:
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name: str, prefix: str, service: str, kind: str, **fields: object) -> dict:
    return {
        "name": name,
        "hostname": "ficu95.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout": 4000,
        "target-latency": 1200,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        **fields,
    }


def make_configuration(version: int, routes: list[dict], services: list[str], **limits: int) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout": 3000,
            "idle-timeout": 15000,
            **limits,
        },
    }


QUILLQA_BOUNDS = {
    "seed-lag": 3,
    "addr-reuse": 2,
    "contact": 3000,
    "ack": 4000,
    "catch-up": 4,
    "drain": 2000,
    "grace": 6,
    "loss-slack": 200,
    "config-apply": 2000,
    "rollback-slack": 250,
    "max-stretch": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window": 10,
    "retry-budget-slack": 60,
    "recovery": 15,
}


def encode_request(
    method: str, path: str, identity: str, deadline_ms: int, body: bytes | None = None
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: ficu95.example",
        f"X-Trefoilpick-Attempt-Id: {identity}",
        f"X-Trefoilpick-Deadline-Ms: {deadline_ms}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def make_identity() -> str:
    return f"{random.getrandbits(64):016x}"


def run_case(folder: Path, scenario) -> None:
    """Run a scenario, which returns whether the rule held; exit with the code of the result."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def main() -> bool:
        return await asyncio.wait_for(scenario(record), 110.0)

    try:
        held = asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.write("the rule held" if held else "the rule was BROKEN")
    sys.exit(HELD if held else BROKEN)
