"""Starts nodes as the deploy file says, on loopback addresses, with settings as the pages show."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
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
    "retry-budget-slack": 64,
    "recovery": 15,
}


def find_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts; the platform uses the same ones on each machine."""
    found: list[int] = []
    candidate = 20_000 + os.getpid() % 8_000
    while len(found) < count:
        candidate += 1
        socks = []
        try:
            for host in hosts:
                sock = socket.socket()
                socks.append(sock)
                sock.bind((host, candidate))
        except OSError:
            continue
        else:
            found.append(candidate)
        finally:
            for sock in socks:
                sock.close()
    return found


class Fleet:
    """Machines of a small deployment, each with one node process and one worker process."""

    def __init__(
        self,
        count: int,
        *,
        octet: int,
        zones: int = 3,
        bounds: dict | None = None,
        link_mbps: float = 1000.0,
    ) -> None:
        self.link_mbps = link_mbps
        self.hosts = [f"127.0.{octet}.{index + 1}" for index in range(count)]
        self.zones = [f"z-{'abc'[index % zones]}" for index in range(count)]
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = Path(tempfile.mkdtemp(prefix="trefoilpick-review-"))
        ports = find_ports(self.hosts, 4)
        self.outbound, self.ready, self.app, self.inbound = ports
        self.internal = self._find_range()
        self.processes: list[subprocess.Popen] = []
        self.nodes: dict[int, subprocess.Popen] = {}

    def _find_range(self) -> int:
        first = 30_000 + os.getpid() % 8_000
        while True:
            socks = []
            try:
                for host in self.hosts:
                    for port in (first, first + 1):
                        sock = socket.socket()
                        socks.append(sock)
                        sock.bind((host, port))
                return first
            except OSError:
                first += 16
            finally:
                for sock in socks:
                    sock.close()

    def start_node(self, index: int, *, service: str, store: str) -> subprocess.Popen:
        host = self.hosts[index]
        names = sorted(set(self.zones))
        facts = {
            "node-name": f"sidecar-{self.zones[index]}-{index}",
            "role": "node",
            "machine-class": "sidecar",
            "serves": ["sidecar"],
            "ip": host,
            "zone": self.zones[index],
            "region": "r-1",
            "zones": {name: "r-1" for name in names},
            "listen": {
                "inbound": f"{host}:{self.inbound}",
                "outbound": f"{host}:{self.outbound}",
                "ready": f"{host}:{self.ready}",
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
                "link-mbps": self.link_mbps,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry-mode": "static",
            "heartbeat": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "app-addr": f"{host}:{self.app}",
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
        template = (ROOT / "deploy/node.jsonc").read_text()
        path = self.folder / f"node-{index}.jsonc"
        path.write_text(template.replace("{{.|json}}", json.dumps(facts)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TREFOILPICK_SETTINGS"] = str(path)
        log = (self.folder / f"node-{index}.log").open("ab")
        process = subprocess.Popen(
            ["python3", "-m", "trefoilpick.platform"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.processes.append(process)
        self.nodes[index] = process
        return process

    def start_worker(self, *words: str) -> subprocess.Popen:
        process = subprocess.Popen([sys.executable, *words], stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    async def wait_until_ready(self, index: int, limit_s: float = 20.0) -> None:
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _, _, _ = await exchange(
                    self.hosts[index], self.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0
                )
                if status == 200:
                    return
            except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"node {index} did not get ready")

    def read_log(self, index: int) -> str:
        return (self.folder / f"node-{index}.log").read_text(errors="replace")

    def stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes, bool]:
    """Read one answer; return its status, headers, body, and whether its framing is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    }
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return status, headers, body, True
                body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return status, headers, body, False
    if "content-length" in headers:
        size = int(headers["content-length"])
        try:
            return status, headers, await reader.readexactly(size), True
        except asyncio.IncompleteReadError as error:
            return status, headers, error.partial, False
        except ConnectionError:
            return status, headers, b"", False
    try:
        return status, headers, await reader.read(-1), True
    except ConnectionError:
        return status, headers, b"", False


async def exchange(
    host: str, port: int, request: bytes, limit_s: float
) -> tuple[int, dict[str, str], bytes, bool]:
    """Send one request on a new connection and return its answer."""

    async def run() -> tuple[int, dict[str, str], bytes, bool]:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), limit_s)


def make_entry(host: str, port: int, *, service: str, zone: str, **fields: object) -> dict:
    """Return a worker's entry as PROTOCOL.md describes it."""
    return {
        "service": service,
        "address": f"{host}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 9,
        "state": "ready",
        "cold-remaining": 0,
        "sequence": 4,
        "born": int(time.time() * 1000),
        **fields,
    }


def make_configuration(routes: list[dict], services: list[str], version: int = 7) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 130,
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
        },
    }
