"""Small HTTP/1.1 exchanges with h11 on curio: one request per connection, all sizes bounded."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from socket import SHUT_WR
from typing import TYPE_CHECKING

import curio
import h11

from trefoilpick._connections import open_connection
from trefoilpick._time_slices import yield_if_due
from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from curio.io import Socket

READ_BYTES = 16_384
"""Largest number of bytes that one call reads from a socket."""

MAX_HEAD_BYTES = 8_192
"""Largest request head that the server side reads, in bytes."""

MAX_DISCARDED_BYTES = 65_536
"""Largest number of bytes that are discarded while a connection closes."""

LINGER_S = 1.0
"""Time that the client has to close the connection after the answer, in seconds."""


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer.

    Attributes:
        status: HTTP status code.
        body: The body's bytes.
        content_type: Media type of the body.
        headers: Further headers.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


async def receive_request(sock: Socket, protocol: h11.Connection) -> h11.Request | None:
    """Return the head of the next request; None if the client closed the connection first.

    Raises:
        h11.RemoteProtocolError: The head is malformed or too large.
        OSError: The connection broke.
    """
    while True:
        event = protocol.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        await yield_if_due()
        protocol.receive_data(await sock.recv(READ_BYTES))


async def send_answer(sock: Socket, protocol: h11.Connection, answer: HttpAnswer) -> None:
    """Send an answer, and close the connection once the client has read it.

    Raises:
        OSError: The connection broke.
    """
    headers = [
        ("content-type", answer.content_type),
        ("content-length", str(len(answer.body))),
        ("connection", "close"),
        *answer.headers,
    ]
    parts = (
        protocol.send(h11.Response(status_code=answer.status, headers=headers)),
        protocol.send(h11.Data(data=answer.body)),
        protocol.send(h11.EndOfMessage()),
    )
    await sock.sendall(b"".join(part or b"" for part in parts))
    await _linger(sock)


async def fetch(
    host: str, port: int, target: str, *, timeout_s: float, max_bytes: int
) -> HttpAnswer:
    """Send a GET request on a new connection, and return the complete answer.

    Args:
        host: IP address of the server.
        port: Its port.
        target: Path and query.
        timeout_s: Time for the whole exchange, in seconds.
        max_bytes: Largest body, in bytes.

    Raises:
        TrefoilpickError: `PEER_UNREACHABLE`, `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
    """
    address = f"{host}:{port}"
    try:
        async with curio.timeout_after(timeout_s), await open_connection(host, port) as sock:
            return await _exchange(sock, address, target, max_bytes)
    except curio.TaskTimeout as error:
        text = f'"{address}" did not answer {target} within {timeout_s:g} s'
        raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text) from error
    except OSError as error:
        text = f'"{address}" cannot be reached: {error.strerror or error}'
        raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text) from error
    except h11.RemoteProtocolError as error:
        text = f'"{address}" sent no HTTP answer for {target}: {error}'
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error


async def _exchange(sock: Socket, address: str, target: str, max_bytes: int) -> HttpAnswer:
    protocol = h11.Connection(h11.CLIENT)
    headers = [("host", address), ("connection", "close")]
    request = h11.Request(method="GET", target=target, headers=headers)
    head, end = protocol.send(request), protocol.send(h11.EndOfMessage())
    await sock.sendall((head or b"") + (end or b""))
    status, content_type = 0, ""
    has_received = False
    body = bytearray()
    while True:
        await yield_if_due()
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            data = await sock.recv(READ_BYTES)
            if not data and not has_received:
                text = f'"{address}" closed the connection before an answer to {target}'
                raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text)
            has_received = True
            protocol.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
            content_type = dict(event.headers).get(b"content-type", b"").decode("latin-1")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_bytes:
                text = f'"{address}" answered {target} with more than {max_bytes} bytes'
                raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
        elif isinstance(event, h11.EndOfMessage):
            return HttpAnswer(status, bytes(body), content_type)


async def _linger(sock: Socket) -> None:
    # Closing the socket with unread bytes would reset the connection, and the client could lose its
    # answer.
    with suppress(OSError):
        await sock.shutdown(SHUT_WR)
        async with curio.ignore_after(LINGER_S):
            discarded = 0
            while discarded < MAX_DISCARDED_BYTES:
                data = await sock.recv(READ_BYTES)
                if not data:
                    return
                discarded += len(data)
