"""Stand-ins for the platform, workers and clients, used by the review's scripts.

Only the standard library is used. Every address is a loopback address, every port is a free one.
The node processes are started with the `run` command and the template of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
SIGNATURE = "x-trefoilpick-response-signature"
ATTEMPT = "x-trefoilpick-attempt-id"
EXPECTED = "x-trefoilpick-expected-instance"
NOT_EXECUTED = "x-trefoilpick-not-executed"
BOUNDS = {
    "seed-lag": 3, "addr-reuse": 2, "contact": 3000, "ack": 4000, "catch-up": 4, "drain": 2000,
    "grace": 6, "loss-slack": 200, "config-apply": 2000, "rollback-slack": 250,
    "max-stretch": 5000, "retry-budget-ratio": 0.2, "budget-window": 10,
    "retry-budget-slack": 60, "recovery": 15,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.start = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self.start

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()


def draw_host(number: int) -> str:
    """Return a loopback address; the second and third octets differ between runs."""
    pid = os.getpid()
    return f"127.{60 + pid % 100}.{1 + pid // 100 % 200}.{number}"


def find_free_ports(hosts: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free on all hosts."""
    for base in range(20_000 + os.getpid() % 5_000, 32_000, count + 1):
        held = []
        try:
            for host in hosts:
                for port in range(base, base + count):
                    sock = socket.socket()
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    held.append(sock)
                    sock.bind((host, port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise CannotRun("no free ports")


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    """Return the first line's words and the headers of a message; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0") or 0))


class Store:
    """The platform's store: keys, ranges and watches, read-only for the nodes."""

    def __init__(self, host: str, port: int, record: Record) -> None:
        self.host, self.port, self.record = host, port, record
        self.revision = 7
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.hook = None  # async (path) -> None, runs before each call is answered
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port, backlog=200)

    async def put(self, key: str, value) -> float:
        """Write an item; return when it was acknowledged, in seconds of the record."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            old = self.items.get(key)
            item = {
                "key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "create-revision": old["create-revision"] if old else self.revision, "lease-id": 0,
            }
            self.items[key] = item
            self.events.append(item)
            self._changed.notify_all()
        return self.record.now()

    async def delete(self, key: str) -> float:
        async with self._changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self._changed.notify_all()
        return self.record.now()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0][1]
                if self.hook is not None:
                    await self.hook(target)
                status, body = await self._handle(target)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, target: str):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path.endswith("/kv-key"):
            item = self.items.get(query["key"])
            return (200, {**item, "store-revision": self.revision}) if item else (404, {})
        prefix = query.get("path-prefix", "")
        if parts.path.endswith("/kv-range"):
            keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > query.get("after", "")]
            return 200, {
                "items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500,
                "store-revision": self.revision,
            }
        after, end = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        async with self._changed:
            while True:
                found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass


class Worker:
    """An application worker: `slots` requests run at once, a few wait, the rest is rejected.

    `work_s` is the time of a request, a number or a function of the path.
    `log` holds (time, event, attempt id), with events "arrive", "run", "end", "cut", "reject", "421".
    """

    def __init__(self, host, port, service, zone, record, *, slots=9, queue=36, work_s=0.1):
        self.host, self.port, self.service, self.zone = host, port, service, zone
        self.record, self.slots, self.queue, self.work_s = record, slots, queue, work_s
        self.boot(None)
        self.log: list[tuple[float, str, str]] = []
        self.heads: list[dict] = []
        self.server = None
        self._writers: set = set()

    def boot(self, identity: str | None) -> None:
        self.identity = identity or "i-" + os.urandom(5).hex()
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)

    @property
    def key(self) -> str:
        return f"servers/{self.identity}"

    def entry(self, state: str = "ready") -> dict:
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold-remaining": 0,
            "sequence": self.sequence, "born": self.born,
        }

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port, backlog=200)

    async def end(self) -> None:
        """End the worker: its connections are reset and new ones refused."""
        self.server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    def note(self, event: str, attempt: str) -> None:
        now = self.record.now()
        self.log.append((now, event, attempt))
        self.record.write(f"worker {self.identity} ({self.service}): {event} {attempt}")

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self._run(reader, writer, head, body):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            if task is not None and task.cancelling():
                raise
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, reader, writer, head, body) -> bool:
        (method, target, _), headers = head
        attempt = headers.get(ATTEMPT, "")
        path = urlsplit(target).path
        if path == "/healthz":
            await self._answer(writer, 200, [("X-Trefoilpick-Instance-Id", self.identity)], b"")
            return True
        if headers.get(EXPECTED, self.identity) != self.identity:
            self.note("421", attempt)
            extra = [("X-Trefoilpick-Instance-Id", self.identity)]
            await self._answer(writer, 421, extra, b"", attempt)
            return True
        self.heads.append(headers)
        self.note("arrive", attempt)
        if self.running >= self.slots and self.waiting >= self.queue:
            self.note("reject", attempt)
            await self._answer(writer, 503, [("X-Trefoilpick-Not-Executed", "1")], b"", attempt)
            return True
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.note("run", attempt)
        try:
            work = self.work_s(path) if callable(self.work_s) else self.work_s
            if not await self._work(reader, work):
                self.note("cut", attempt)
                return False
            self.note("end", attempt)
        finally:
            self.running -= 1
            self.free.release()
        answer = f"{self.identity} {attempt}".encode()
        await self._answer(writer, 200, [(SIGNATURE, "s." + attempt)], answer, attempt)
        return True

    async def _work(self, reader, seconds: float) -> bool:
        """Work; stop when the connection closes. Return whether the work was done."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(left, 0.02))
        return True

    async def _answer(self, writer, status, extra, body, attempt="") -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if attempt:
            lines.append(f"X-Trefoilpick-Attempt-Id: {attempt}")
        lines += [f"{name}: {value}" for name, value in extra]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()


class Machine:
    """A machine with a worker and a node, which is a process of its own."""

    def __init__(self, fleet: "Fleet", name: str, host: str, zone: str, service: str) -> None:
        self.fleet, self.name, self.host, self.zone, self.service = fleet, name, host, zone, service
        self.process: subprocess.Popen | None = None
        self.settings = fleet.folder / f"{name}.jsonc"
        self.log = fleet.folder / f"{name}.log"
        self.store_address = f"{fleet.store.host}:{fleet.store.port}"
        self.worker_address = f"{host}:{fleet.ports[0]}"

    def write_settings(self) -> None:
        app, inbound, outbound, ready, first, last = self.fleet.ports
        facts = {
            "node-name": self.name, "role": "node", "machine-class": "sidecar",
            "serves": ["sidecar"], "ip": self.host, "zone": self.zone, "region": "lima",
            "zones": {"lima-a": "lima", "lima-b": "lima", "lima-c": "lima"},
            "listen": {
                "inbound": f"{self.host}:{inbound}", "outbound": f"{self.host}:{outbound}",
                "ready": f"{self.host}:{ready}",
            },
            "internal-port-range": [first, last], "seed-nodes": [], "first-start": True,
            "counts-toward-tolerance": False,
            "limits": {
                "cpu-share": 0.86, "cpu-cores": 1, "memory-mb": 300, "max-fds": 4100,
                "link-mbps": 1000.0, "disk-mb": 0,
            },
            "data-dir": None, "discovery": "platform", "entry-mode": "static", "heartbeat": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "app-addr": self.worker_address, "service": self.service,
            "provider": {
                "address": self.store_address, "form": "read", "writes-per-s": 400,
                "reads-per-s": 2000, "history": 20, "max-value-bytes": 1048576, "ttl-min": 1000,
            },
        }
        template = (ROOT / DEPLOY["roles"]["node"]["template"]).read_text()
        self.settings.write_text(template.replace("{{.|json}}", json.dumps(facts)))

    def start(self) -> None:
        self.write_settings()
        command = DEPLOY["roles"]["node"]["run"].split()
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["TREFOILPICK_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.fleet.record.write(f"{self.name}: process started")

    def signal(self, number: signal.Signals) -> None:
        self.fleet.record.write(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.fleet.ports[3])
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 2)
            return head is not None and head[0][1] == "200"
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRun(f"{self.name} is not ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)


class Fleet:
    """Store, machines and workers of a small deployment."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.case = folder
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        self.machines: list[Machine] = []
        self.workers: list[Worker] = []

    def lay_out(self, services: list[str], zones: list[str], **worker_fields) -> None:
        hosts = [draw_host(10 + number) for number in range(len(services))]
        self.ports = find_free_ports(hosts, 6)
        store_host = draw_host(1)
        (store_port,) = find_free_ports([store_host], 1)
        self.store = Store(store_host, store_port, self.record)
        for number, (host, service, zone) in enumerate(zip(hosts, services, zones, strict=True)):
            self.machines.append(Machine(self, f"sidecar-{zone}-{number}", host, zone, service))
            self.workers.append(
                Worker(host, self.ports[0], service, zone, self.record, **worker_fields)
            )

    async def start(self, configuration: dict) -> None:
        await self.store.start()
        await self.store.put("op/config", configuration)
        for worker in self.workers:
            await worker.start()
            await self.store.put(worker.key, worker.entry())
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        self._beats = asyncio.ensure_future(self._beat())
        await asyncio.sleep(4.0)  # longer than `contact`, so that all machines are in touch

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            for worker in self.workers:
                if worker.key in self.store.items:
                    old = json.loads(base64.b64decode(self.store.items[worker.key]["value"]))
                    if old.get("address") == f"{worker.host}:{worker.port}":
                        await self.store.put(worker.key, worker.entry(old["state"]))

    def stop(self) -> None:
        """End all processes that were started; keep their logs if KEEP_LOGS is set."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: status 0 if the connection ended without a complete answer."""

    def __init__(self, status: int, headers: dict, body: bytes, sent: float, ended: float) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.sent, self.ended = sent, ended


class Client:
    """A client of one machine; each request uses a new connection."""

    def __init__(self, fleet: Fleet, machine: Machine) -> None:
        self.fleet, self.machine, self.record = fleet, machine, fleet.record
        self.answers: dict[str, Answer] = {}

    async def send(
        self, path: str, *, method="GET", host="ficu.example", body=b"", limit_ms=2500,
        attempt: str | None = None, headers: tuple = (),
    ) -> Answer:
        attempt = attempt or os.urandom(8).hex()
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Trefoilpick-Attempt-Id: {attempt}",
            f"X-Trefoilpick-Deadline-Ms: {limit_ms}", *headers,
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        sent = self.record.now()
        self.record.write(f"client on {self.machine.name}: sends {method} {path} {attempt}")
        status, answer_headers, data = 0, {}, b""
        writer = None
        try:
            async with asyncio.timeout(limit_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    self.machine.host, self.fleet.ports[2]
                )
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                head = await read_head(reader)
                if head is not None:
                    data = await read_body(reader, head[1])
                    status, answer_headers = int(head[0][1]), head[1]
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            status = 0
            data = repr(error).encode()
        finally:
            if writer is not None:
                writer.close()
        answer = Answer(status, answer_headers, data, sent, self.record.now())
        self.answers[attempt] = answer
        error = answer_headers.get("x-trefoilpick-error", "")
        self.record.write(
            f"client on {self.machine.name}: {attempt} got {status or 'no answer'} {error}"
        )
        return answer


def make_route(name, prefix, service, kind, *, timeout=2500, aim=400, priority=2, attempts=2):
    return {
        "name": name, "hostname": "ficu.example", "path-prefix": prefix, "kind": kind,
        "timeout": timeout, "target-latency": aim, "priority": priority, "service": service,
        "max-attempts": attempts,
    }


def make_configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name, "health-path": "/healthz", "max-connections": 120, "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": 3000,
            "idle-timeout": 15000,
        },
    }


def play(folder: str, case) -> None:
    """Play a case: `await case(fleet, is_disturbed)` returns the list of breaches seen.

    Exits with 1 if there are breaches, 0 if there are none, 2 if the case could not run.
    """
    path = Path(folder)
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path)
    fleet = Fleet(path, record)

    async def run() -> list[str]:
        return await asyncio.wait_for(case(fleet, is_disturbed), 110)

    try:
        breaches = asyncio.run(run())
    except (CannotRun, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 2
    except Exception as error:
        import traceback

        record.write(f"could not run: {error!r}")
        traceback.print_exc()
        code = 2
    else:
        for breach in breaches:
            record.write(f"BREACH {breach}")
            print(f"BREACH {breach}")
        code = 1 if breaches else 0
        text = "the rule was broken" if code else "the rule held"
        record.write(text)
        print(text)
    finally:
        fleet.stop()
    sys.stdout.flush()
    os._exit(code)
