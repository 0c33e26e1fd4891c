"""A single HTTP connection to the platform's configuration service."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)
from typing import Any

import curio
import h11

from trefoilpick._clock import read_clock
from trefoilpick._connections import open_connection
from trefoilpick._time_slices import yield_if_due
from trefoilpick.addresses import split_address
from trefoilpick.errors import ErrorKind, TrefoilpickError

MAX_RESPONSE_BYTES = 8_000_000
"""Maximum size of a response with its head, in bytes: several values at the platform's limit of one
megabyte, with the overhead of encodings, as other writers may put among those that are read."""

MAX_FRAMING_BYTES = 65_536
"""Maximum size of a response's head and framing beyond that of its body, in bytes."""

KEEPALIVE_IDLE_S = 2
"""Idle time before the kernel sends the first TCP keepalive probe, in seconds."""

KEEPALIVE_INTERVAL_S = 1
"""Interval between keepalive probes, in seconds."""

KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which the connection is considered broken."""

RESPONSE_IDLE_TIMEOUT_S = 1.0
"""Idle timeout of a response that has begun, in seconds, and timeout of its head."""

MIN_BYTES_PER_S = 25_000
"""Lowest mean rate at which a response's body must arrive, in bytes per second. The total time is
not limited otherwise, as a long response takes many times the service's own time over a
low-bandwidth link."""

READ_BYTES = 65_536
"""Maximum bytes read from the socket at a time."""


@dataclass(frozen=True)
class SourceReply:
    """A complete response of the service.

    Attributes:
        status: HTTP status code.
        headers: Response headers by name, in lower case.
        body: Bytes of the value.
        may_reuse: Whether the connection can be used for another call.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    may_reuse: bool


class SourceConnection:
    """A connection that carries one call at a time.

    Args:
        address: IP address and port, as "ip:port".
        sock: The connected socket.

    Attributes:
        address: IP address and port, as "ip:port".
        is_fresh: Whether no call has completed on it yet.
        bytes_received: Bytes received from the service.
        bytes_sent: Bytes sent to the service.
    """

    def __init__(self, address: str, sock: Any) -> None:
        self.address = address
        self.is_fresh = True
        self.bytes_received = 0
        self.bytes_sent = 0
        self._sock = sock
        self._response_timeout_s = 0.0
        self._response_began_s: float | None = None
        self._response_bytes = 0
        self._body_bytes = 0
        self._protocol = h11.Connection(h11.CLIENT)

    async def call(self, target: str, *, response_timeout_s: float) -> SourceReply:
        """Send a GET request and return the complete response.

        Args:
            target: Path and query.
            response_timeout_s: Timeout until the response begins, in seconds.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` if the response is malformed, truncated, too
                large or too slow.
            OSError: The connection failed.
            curio.TaskTimeout: The response did not begin in time, or exceeded the idle timeout.
        """
        self._response_timeout_s = response_timeout_s
        self._response_began_s = None
        self._response_bytes = self._body_bytes = 0
        try:
            await self._send(target)
            return await self._receive()
        except h11.ProtocolError as error:
            raise self._make_error(f"{error}") from error

    async def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            await self._sock.close()

    async def _send(self, target: str) -> None:
        headers = [("host", self.address), ("accept", "application/octet-stream")]
        head = self._protocol.send(h11.Request(method="GET", target=target, headers=headers))
        end = self._protocol.send(h11.EndOfMessage())
        data = (head or b"") + (end or b"")
        self.bytes_sent += len(data)
        await self._sock.sendall(data)

    async def _receive(self) -> SourceReply:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += event.data
                self._body_bytes = len(body)
            elif isinstance(event, h11.EndOfMessage):
                return SourceReply(status, headers, bytes(body), self._prepare_next_call())
            elif isinstance(event, h11.ConnectionClosed):
                raise self._make_error("connection closed before an answer")

    async def _next_event(self) -> Any:
        while True:
            await yield_if_due()
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await curio.timeout_after(self._find_time_left(), self._sock.recv, READ_BYTES)
            if self._response_began_s is None:
                self._response_began_s = read_clock()
            self.bytes_received += len(data)
            self._response_bytes += len(data)
            if self._response_bytes > MAX_RESPONSE_BYTES:
                raise self._make_error(f"answer is over {MAX_RESPONSE_BYTES} bytes")
            if self._response_bytes > MAX_FRAMING_BYTES + len(data) + 2 * self._body_bytes:
                # Each chunk takes time, whatever its size.
                raise self._make_error("its chunks are too small")
            self._protocol.receive_data(data)

    def _find_time_left(self) -> float:
        """Return the timeout for the next part of the response, in seconds."""
        if self._response_began_s is None:
            return self._response_timeout_s
        allowed_s = RESPONSE_IDLE_TIMEOUT_S + self._body_bytes / MIN_BYTES_PER_S
        left_s = self._response_began_s + allowed_s - read_clock()
        if left_s <= 0:
            raise self._make_error("it arrives too slowly")
        return min(left_s, RESPONSE_IDLE_TIMEOUT_S)

    def _prepare_next_call(self) -> bool:
        self.is_fresh = False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    def _make_error(self, text: str) -> TrefoilpickError:
        return TrefoilpickError(
            ErrorKind.SOURCE_UNAVAILABLE, f'source "{self.address}" sent no complete answer: {text}'
        )


async def open_source_connection(address: str) -> SourceConnection:
    """Connect to the configuration service.

    Args:
        address: IP address and port, as "ip:port".

    Raises:
        OSError: The connection cannot be established.
    """
    host, port = split_address(address)
    sock = await open_connection(host, port)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    return SourceConnection(address, sock)
