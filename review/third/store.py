"""Stand-in for the platform's store: read calls for nodes, and writes by the test's own process."""

from __future__ import annotations

import asyncio
import base64
import json
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit


class Store:
    """Key-value store with a revision and a history, served over HTTP/1.1.

    Attributes:
        answer_s: Time that an answer takes, in seconds (the pages say 4 ms).
        page_items: Largest number of items on a page of a range.
        on_call: Called with the path and query of each call after its answer was computed.
        log: Changes, as (seconds since the start of the event loop, key, value or None, revision).
    """

    def __init__(self, *, answer_s: float = 0.004, page_items: int = 500) -> None:
        self.answer_s = answer_s
        self.page_items = page_items
        self.revision = 100
        self.oldest = 0
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.on_call = lambda target: None
        self.log: list[tuple] = []
        self._changed = asyncio.Event()
        self._drops: set[asyncio.Event] = set()

    def put(self, key: str, value: object) -> None:
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        created = self.items.get(key, {}).get("create-revision", self.revision)
        item = {
            "key": key,
            "value": data,
            "revision": self.revision,
            "create-revision": created,
            "lease-id": 0,
        }
        self.items[key] = item
        self._record(item, value)

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "deleted": True}, None)

    def forget_history(self) -> None:
        """Drop the history and cut the waiting watches."""
        self.events.clear()
        self.oldest = self.revision
        for drop in list(self._drops):
            drop.set()

    async def start(self, host: str) -> int:
        server = await asyncio.start_server(self._serve, host, 0)
        return server.sockets[0].getsockname()[1]

    def _record(self, event: dict, value: object) -> None:
        self.events.append(event)
        self.log.append((asyncio.get_running_loop().time(), event["key"], value, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                if body is None:
                    return
                await asyncio.sleep(self.answer_s)
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with suppress(RuntimeError):
                writer.close()

    async def _answer(self, target: str) -> tuple[int, dict | None]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, True).items()}
        if parts.path.endswith("/kv-key"):
            item = self.items.get(query["key"])
            answer = (404, {}) if item is None else (200, {**item, "store-revision": self.revision})
        elif parts.path.endswith("/kv-range"):
            answer = 200, self._list(query["path-prefix"], query.get("after", ""))
        else:
            answer = await self._watch(
                query["path-prefix"], int(query["after"]), int(query["wait-ms"]) / 1000
            )
        self.on_call(target)
        return answer

    def _list(self, prefix: str, after: str) -> dict:
        keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
        return {
            "items": [self.items[key] for key in keys[: self.page_items]],
            "has-more": len(keys) > self.page_items,
            "store-revision": self.revision,
        }

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict | None]:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        drop = asyncio.Event()
        self._drops.add(drop)
        try:
            while True:
                if after < self.oldest:
                    return 410, {}
                events = [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = until - loop.time()
                if events or left <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                waits = [
                    asyncio.ensure_future(self._changed.wait()),
                    asyncio.ensure_future(drop.wait()),
                ]
                await asyncio.wait(waits, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                for wait in waits:
                    wait.cancel()
                if drop.is_set():
                    return 200, None
        finally:
            self._drops.discard(drop)
