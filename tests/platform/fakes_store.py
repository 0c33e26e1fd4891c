"""A fake of the platform's store with injectable faults."""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio
import h11
import msgspec
from curio import socket
from curio.io import Socket

from trefoilpick.settings import Settings, check_settings

HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.005


class Fault(Enum):
    """Fault injected into calls to the store."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    RATE_LIMIT = "rate limit"
    UNRESPONSIVE = "unresponsive"
    LOSE_RESPONSE = "lost response"
    RESET = "reset"


@dataclass(frozen=True)
class StoreCopy:
    """Contents of a store at one moment."""

    revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]


@dataclass
class FakeStore:
    """A key-value store with a revision and a history of changes.

    Attributes:
        fault: Fault injected into every call.
        delay_s: Additional delay of each response, in seconds.
        page_size: Maximum number of items per page.
        revision: Revision of the latest change.
        oldest_revision: Oldest revision from which a watch can start.
        items: Current items by key.
        events: Changes in the history, oldest first.
        era: How often the store was restored from a copy; None if responses do not name it.
        calls: Targets (path and query) of all calls.
        address: Address of the store, as "ip:port".
    """

    fault: Fault = Fault.NONE
    delay_s: float = 0.0
    page_size: int = 500
    revision: int = 7
    oldest_revision: int = 0
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    era: int | None = None
    calls: list[str] = field(default_factory=list)
    address: str = ""

    def put(self, key: str, value: Any) -> None:
        """Write an item; bytes are stored as they are, other values as JSON."""
        self.revision += 1
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        text = base64.b64encode(data).decode()
        item = {"key": key, "value": text, "revision": self.revision, "lease-id": 0}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key: str, *, record: bool = True) -> None:
        """Remove an item and, by default, record its removal in the history."""
        self.revision += 1
        del self.items[key]
        if record:
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def discard_history(self) -> None:
        """Discard the history, so that older watches get status 410."""
        self.oldest_revision = self.revision
        self.events.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the contents, to restore later."""
        return StoreCopy(self.revision, dict(self.items), list(self.events))

    def restore(self, copy: StoreCopy) -> None:
        """Return to an older copy: later changes are lost and their revisions assigned again."""
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self.era = (self.era or 0) + 1

    async def serve(self, client: Socket, _address: Any) -> None:
        """Serve one connection."""
        protocol = h11.Connection(h11.SERVER)
        with suppress(OSError, h11.RemoteProtocolError):
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(await client.recv(65_536))
                elif isinstance(event, h11.Request):
                    if not await self._respond(client, protocol, event.target.decode()):
                        return
                elif isinstance(event, h11.EndOfMessage):
                    protocol.start_next_cycle()
                elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return

    async def _respond(self, client: Socket, protocol: h11.Connection, target: str) -> bool:
        self.calls.append(target)
        await curio.sleep(self.delay_s)
        if self.fault is Fault.RESET:
            return False
        if self.fault is Fault.UNRESPONSIVE:
            await curio.sleep(60)
        status, body = 503, {"error": "unavailable"}
        if self.fault is Fault.RATE_LIMIT:
            status = 429
        elif self.fault in (Fault.NONE, Fault.LOSE_RESPONSE):
            status, body = await self._handle_call(target)
        if self.fault is Fault.LOSE_RESPONSE:
            await curio.sleep(60)
        data = msgspec.json.encode(body)
        headers = [("content-length", str(len(data)))]
        if self.era is not None:
            headers.append(("Store-Era", str(self.era)))
        head = h11.Response(status_code=status, headers=headers)
        parts = [protocol.send(head), protocol.send(h11.Data(data=data))]
        parts.append(protocol.send(h11.EndOfMessage()))
        await client.sendall(b"".join(part or b"" for part in parts))
        return True

    async def _handle_call(self, target: str) -> tuple[int, Any]:
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/trefoilpick/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "store-revision": self.revision})
        prefix = query["path-prefix"]
        if parts.path == "/trefoilpick/kv-range":
            return 200, self._list(prefix, query.get("after", ""))
        return await self._watch(prefix, int(query["after"]), int(query["wait-ms"]) / 1000)

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
        return {
            "items": [self.items[key] for key in keys[: self.page_size]],
            "has-more": len(keys) > self.page_size,
            "store-revision": self.revision,
        }

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, Any]:
        end_s = await curio.clock() + wait_s
        while True:
            if not self.oldest_revision <= after <= self.revision:
                return 410, {}
            matching = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if matching or await curio.clock() >= end_s:
                return 200, {"events": matching, "store-revision": self.revision}
            await curio.sleep(POLL_INTERVAL_S)


def run_store(scenario: Callable[[FakeStore], Awaitable[None]], **fields: Any) -> None:
    """Run a scenario against a fake store."""
    store = FakeStore(**fields)

    async def main() -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind((HOST, 0))
        sock.listen(64)
        store.address = f"{HOST}:{sock.getsockname()[1]}"
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(curio.network.run_server, sock, store.serve)
            await tasks.spawn(scenario, store)
        if tasks.exception is not None:
            raise tasks.exception

    curio.run(main)


def make_settings(address: str = "127.0.0.1:9", **source: Any) -> Settings:
    """Return the settings of a node in lima-a."""
    defaults = {"read_timeout_ms": 10_000, "watch_ms": 10_000, "backoff_ms": 100}
    return check_settings(
        {
            "vm": {
                "name": "10.1.0.1",
                "region": "lima",
                "data_centre": "lima-a",
                "service": "encargos",
            },
            "listen": {"host": "10.1.0.1", "hop_port": 7380, "control_port": 7381},
            "worker": {"host": "10.1.0.1", "port": 8080},
            "source": {
                "addresses": [address],
                "regions": {"lima-a": "lima", "lima-b": "lima"},
                **defaults,
                **source,
            },
        }
    )


def make_entry(address: str = "10.1.0.1:8080", **fields: Any) -> dict[str, Any]:
    """Return a worker entry."""
    return {
        "service": "encargos",
        "address": address,
        "zone": "lima-a",
        "version": "v1",
        "slots": 9,
        "state": "ready",
        "cold-remaining": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
        **fields,
    }


def make_configuration(version: int = 3, **fields: Any) -> dict[str, Any]:
    """Return a configuration with two routes, one of them with a traffic split."""
    route = {
        "name": "r-1",
        "hostname": "ficu.example",
        "path-prefix": "/upload/",
        "kind": "non_idempotent",
        "timeout": 800,
        "target-latency": 250,
        "priority": 0,
        "max-attempts": 2,
        "service": "encargos",
    }
    shares = [{"service": "portafolio", "weight": 90}, {"service": "encargos", "weight": 10}]
    split_route = {
        **route,
        "name": "r-2",
        "path-prefix": "/read/",
        "kind": "idempotent",
        "priority": 4,
        "traffic-split": shares,
    }
    del split_route["service"]
    service = {"health-path": "/healthz", "max-connections": 120, "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": [route, split_route],
        "services": [{"name": name, **service} for name in ("portafolio", "encargos")],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 67_108_864,
            "header-timeout": 3_000,
            "idle-timeout": 15_000,
        },
        **fields,
    }
