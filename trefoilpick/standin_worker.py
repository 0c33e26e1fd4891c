"""A stand-in for an upstream's worker: a small HTTP server that counts the requests it runs.

The demo, the benchmarks and the replay use it in place of a real service. It counts the
runs of each request by its `x-request-id`, so that duplicated and lost requests are detected.
"""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import curio
import h11
import msgspec
from curio import socket

from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.worker_statements import LEAVING_MARK

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

REQUEST_ID_HEADER = b"x-request-id"
"""Request header with the ID by which runs are counted."""

ANSWER_BYTES_HEADER = b"x-answer-bytes"
"""Request header with the length of the answer's body, in bytes."""

READ_BYTES = 65_536
"""Maximum number of bytes read from the socket at a time."""

CHUNK = b"\x2e" * 65_536
"""Padding of answers that are longer than their receipt, sent in parts of this size."""

BACKLOG = 128
"""Length of the listen queue, in connections."""


@dataclass(frozen=True)
class WorkerReport:
    """Counts of a worker.

    Attributes:
        vm: Name of the VM that the worker runs on.
        runs: Number of requests that it ran, including repeated ones.
        peak_in_flight: Highest number of concurrent requests.
        peak_connections: Highest number of concurrent connections.
        body_bytes: Total size of the request bodies that it received, in bytes.
    """

    vm: str
    runs: int
    peak_in_flight: int
    peak_connections: int
    body_bytes: int


@dataclass(frozen=True)
class RunReceipt:
    """The body of a worker's answer to one request.

    Attributes:
        vm: Name of the VM that ran it.
        service: Name of the upstream.
        request_id: The request's `x-request-id`.
        body_bytes: Size of the request's body, in bytes.
        body_digest: BLAKE2b digest of the request's body, in hexadecimal.
    """

    vm: str
    service: str
    request_id: str
    body_bytes: int
    body_digest: str


@dataclass
class _Counters:
    runs: Counter[str] = field(default_factory=Counter)
    in_flight: int = 0
    connections: int = 0
    peak_in_flight: int = 0
    peak_connections: int = 0
    body_bytes: int = 0


class Worker:
    """An HTTP server that stands in for a worker of one upstream.

    Args:
        vm: Name of its VM.
        service: Name of its upstream.
        host: IP address to listen on.
        port: Port to listen on.
        service_time_s: Time that it takes to run a request, in seconds.
        rate_limit: Requests per second that it states that it accepts; None states no limit.

    Attributes:
        is_leaving: Whether it states that it is leaving.
        copy_delay_s: Delay after which it sends a second copy of each answer, in seconds; None for
            no copies.
        lethal_target: Path and query of the requests under which it ends; empty for none.
        end: Ends it, when it begins to run such a request.
    """

    def __init__(
        self,
        vm: str,
        service: str,
        host: str,
        port: int,
        *,
        service_time_s: float = 0.0,
        rate_limit: float | None = None,
    ) -> None:
        self.vm = vm
        self.service = service
        self.host = host
        self.port = port
        self.service_time_s = service_time_s
        self.rate_limit = rate_limit
        self.is_leaving = False
        self.copy_delay_s: float | None = None
        self.lethal_target = b""
        self.end: Callable[[], Awaitable[None]] | None = None
        self._counters = _Counters()

    @property
    def runs(self) -> Counter[str]:
        """Number of runs by request ID."""
        return self._counters.runs

    def report(self) -> WorkerReport:
        """Return the counts so far."""
        counters = self._counters
        return WorkerReport(
            self.vm,
            counters.runs.total(),
            counters.peak_in_flight,
            counters.peak_connections,
            counters.body_bytes,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        await curio.tcp_server(
            self.host, self.port, self._serve_connection, backlog=BACKLOG, reuse_address=True
        )

    async def _serve_connection(self, client: Any, _address: object) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        counters = self._counters
        counters.connections += 1
        counters.peak_connections = max(counters.peak_connections, counters.connections)
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(client, connection):
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            counters.connections -= 1

    async def _serve_request(self, client: Any, connection: h11.Connection) -> bool:
        request = await _receive_event(client, connection)
        if not isinstance(request, h11.Request):
            return False
        counters = self._counters
        counters.in_flight += 1
        counters.peak_in_flight = max(counters.peak_in_flight, counters.in_flight)
        try:
            await self._run_request(client, connection, request)
        finally:
            counters.in_flight -= 1
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    async def _run_request(
        self, client: Any, connection: h11.Connection, request: h11.Request
    ) -> None:
        headers = dict(request.headers)
        request_id = headers.get(REQUEST_ID_HEADER, b"").decode("latin-1")
        self._counters.runs[request_id] += 1
        if self.end is not None and request.target == self.lethal_target:
            await self.end()
            raise ConnectionResetError("the worker ended")
        if connection.they_are_waiting_for_100_continue:
            await client.sendall(
                connection.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        receipt = await self._receive_body(client, connection, request_id)
        if self.service_time_s:
            await curio.sleep(self.service_time_s)
        length = int(headers.get(ANSWER_BYTES_HEADER, b"0"))
        answer = [*self._list_statements(), (REQUEST_ID_HEADER, request_id.encode("latin-1"))]
        parts = list(_encode_answer(connection, receipt, length, answer))
        for part in parts:
            await client.sendall(part)
        if self.copy_delay_s is not None:
            await curio.spawn(self._send_copy, client, b"".join(parts), daemon=True)

    def _list_statements(self) -> Iterator[tuple[bytes, bytes]]:
        if self.rate_limit is not None:
            yield DEFAULT_CONVENTIONS.rate_limit, b"%g" % self.rate_limit
        if self.is_leaving:
            yield DEFAULT_CONVENTIONS.leaving, LEAVING_MARK

    async def _send_copy(self, client: Any, answer: bytes) -> None:
        await curio.sleep(self.copy_delay_s or 0.0)
        with suppress(OSError):
            await client.sendall(answer)

    async def _receive_body(
        self, client: Any, connection: h11.Connection, request_id: str
    ) -> RunReceipt:
        digest = blake2b(digest_size=16)
        received = 0
        while True:
            event = await _receive_event(client, connection)
            if not isinstance(event, h11.Data):
                break
            digest.update(event.data)
            received += len(event.data)
        self._counters.body_bytes += received
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError("connection ended within the body of the request")
        return RunReceipt(self.vm, self.service, request_id, received, digest.hexdigest())


async def _receive_event(client: Any, connection: h11.Connection) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await client.recv(READ_BYTES))


def _encode_answer(
    connection: h11.Connection,
    receipt: RunReceipt,
    length: int,
    headers: list[tuple[bytes, bytes]],
) -> Iterator[bytes]:
    """Yield the parts of an answer whose body has at least the given length, in bytes."""
    body = msgspec.json.encode(receipt)
    head = h11.Response(
        status_code=200,
        headers=[
            (b"content-type", b"application/json"),
            (b"content-length", str(max(length, len(body))).encode()),
            *headers,
        ],
    )
    first = connection.send(head) or b""
    for part in _split_body(body, length):
        yield first + (connection.send(h11.Data(data=part)) or b"")
        first = b""
    yield first + (connection.send(h11.EndOfMessage()) or b"")


def _split_body(body: bytes, length: int) -> Iterator[bytes]:
    yield body
    remaining = length - len(body)
    while remaining > 0:
        part = CHUNK[:remaining]
        remaining -= len(part)
        yield part
