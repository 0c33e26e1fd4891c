"""HTTP/1.1 connection of the client library."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
import h11
from curio import socket

from trefoilpick._connections import has_ended_in_order
from trefoilpick._time_slices import yield_if_due
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Sequence

READ_BYTES = 65_536
"""Bytes to read from the socket at a time."""

SEND_BYTES = 262_144
"""Size of the parts in which a request's body is encoded and sent, in bytes."""

PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
"""Flags that peek at a connection's input without consuming it or blocking."""


@dataclass(frozen=True)
class RawAnswer:
    """A complete answer as received.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case, and values.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get_header(self, name: str) -> str | None:
        """Return the value of a header; None if it is missing."""
        for header, value in self.headers:
            if header == name:
                return value
        return None


class ClientConnection:
    """A connection to one node.

    Args:
        sock: A connected curio socket.
        address: Address of the node, as "ip:port".

    Attributes:
        was_sent: Whether the operating system accepted any byte of the last request.
    """

    def __init__(self, sock: socket.socket, address: str) -> None:
        self.was_sent = False
        self._sock = sock
        self._address = address
        self._http = h11.Connection(h11.CLIENT)
        self._was_reset = False

    async def exchange(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> RawAnswer:
        """Send a request and receive its complete answer.

        Raises:
            TrefoilpickError: `UPSTREAM_LOST`, `ANSWER_MALFORMED` or `ANSWER_CUT`, each with the
                known outcome of the request.
        """
        self.was_sent = False
        request = h11.Request(method=method, target=target, headers=list(headers))
        uploader = None
        data = self._encode(request, body[:SEND_BYTES], is_complete=len(body) <= SEND_BYTES)
        try:
            await self._send_first(data)
            if len(body) > SEND_BYTES:
                uploader = await curio.spawn(self._send_rest, body, daemon=True)
            return await self._receive_answer()
        finally:
            if uploader is not None:
                await uploader.cancel()

    def prepare_reuse(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if http.trailing_data[0]:
            return False
        http.start_next_cycle()
        return True

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread input."""
        try:
            self._sock._socket.recv(1, PEEK_FLAGS)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    def _encode(self, request: h11.Request, part: bytes, *, is_complete: bool) -> bytes:
        data = self._http.send(request) or b""
        if part:
            data += self._http.send(h11.Data(data=part)) or b""
        if is_complete:
            data += self._http.send(h11.EndOfMessage()) or b""
        return data

    async def _send_first(self, data: bytes) -> None:
        try:
            sent = await self._sock.send(data)
        except OSError as error:
            text = f'connection to "{self._address}" broke before the request was sent'
            raise TrefoilpickError(
                ErrorKind.UPSTREAM_LOST, text, outcome=Outcome.NOT_RUN
            ) from error
        self.was_sent = True
        try:
            await self._sock.sendall(memoryview(data)[sent:])
        except OSError as error:
            self._handle_failed_send(error)

    async def _send_rest(self, body: bytes) -> None:
        try:
            for start in range(SEND_BYTES, len(body), SEND_BYTES):
                part = h11.Data(data=body[start : start + SEND_BYTES])
                await self._sock.sendall(self._http.send(part) or b"")
            await self._sock.sendall(self._http.send(h11.EndOfMessage()) or b"")
        except OSError as error:
            self._handle_failed_send(error)
        except h11.LocalProtocolError:
            return

    def _handle_failed_send(self, error: OSError) -> None:
        # The node may have answered before the connection ended, so the answer is still read.
        self._was_reset = self._was_reset or not has_ended_in_order(error)

    async def _receive_answer(self) -> RawAnswer:
        head: h11.Response | None = None
        parts: list[bytes] = []
        while True:
            event = await self._receive_event(head)
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return RawAnswer(head.status_code, _decode_headers(head), b"".join(parts))
            elif not isinstance(event, h11.InformationalResponse):
                raise self._build_loss_error(head)

    async def _receive_event(self, head: h11.Response | None) -> object:
        await yield_if_due()
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                data = await self._sock.recv(READ_BYTES)
                if not data and self._was_reset:
                    raise self._build_loss_error(head)
                self._http.receive_data(data)
                await yield_if_due()
        except OSError as error:
            raise self._build_loss_error(head) from error
        except h11.RemoteProtocolError as error:
            if head is not None:
                raise self._build_loss_error(head) from error
            if not self._http.trailing_data[0]:
                raise self._build_loss_error(None) from error
            text = f'malformed answer from "{self._address}": {error}'
            raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text) from error
        return event

    def _build_loss_error(self, head: h11.Response | None) -> TrefoilpickError:
        if head is None:
            text = f'connection to "{self._address}" broke before the answer'
            return TrefoilpickError(ErrorKind.UPSTREAM_LOST, text)
        text = f'the answer from "{self._address}" was truncated'
        outcome = read_outcome(_decode_headers(head))
        return TrefoilpickError(ErrorKind.ANSWER_CUT, text, outcome=outcome)


async def open_client_connection(address: str, *, timeout_s: float) -> ClientConnection:
    """Connect to a node.

    Args:
        address: Address of the node, as "ip:port".
        timeout_s: Time to connect, in seconds.

    Raises:
        TrefoilpickError: `PEER_UNREACHABLE`; the request did not run.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await curio.timeout_after(max(timeout_s, 0.0), sock.connect, (host, int(port)))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        text = f'node at "{address}" is unreachable'
        raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text, outcome=Outcome.NOT_RUN) from error
    except BaseException:
        await sock.close()
        raise
    return ClientConnection(sock, address)


def read_outcome(headers: Sequence[tuple[str, str]]) -> Outcome:
    """Return the outcome of a request from its answer's headers; unknown if they have none."""
    for name, value in headers:
        if name == "x-trefoilpick-outcome":
            try:
                return Outcome(value)
            except ValueError:
                return Outcome.UNKNOWN
    return Outcome.UNKNOWN


def _decode_headers(head: h11.Response) -> tuple[tuple[str, str], ...]:
    return tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers)
