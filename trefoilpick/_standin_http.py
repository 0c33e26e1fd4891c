"""Server side of an HTTP connection to the stand-in of the configuration service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

MAX_REQUEST_BYTES = 65_536
"""Maximum size of a request's body, in bytes."""

READ_BYTES = 65_536
"""Maximum number of bytes read from the socket at a time."""

MAX_NUMBER_DIGITS = 18
"""Maximum length of a number in a query string, in decimal digits."""

NOT_MODIFIED = 304
"""HTTP status of a watch whose value has not changed; the response has no body."""

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Call:
    """A received HTTP request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query parameters by name, the last value of each.
        body: The complete body.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def read_number(self, name: str) -> int:
        """Return a query parameter as a number; 0 if it is missing or malformed."""
        text = self.query.get(name, "0")
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
        return int(text) if is_number else 0


class CallConnection:
    """Receives the calls of one connection and sends the responses, one at a time.

    Args:
        sock: The connected curio socket.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._protocol = h11.Connection(h11.SERVER)

    async def receive(self) -> Call | None:
        """Return the next call; None if the connection ended or the body is too large.

        Raises:
            h11.ProtocolError: The request is malformed.
            OSError: The connection broke.
        """
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        request: h11.Request | None = None
        body = bytearray()
        while len(body) <= MAX_REQUEST_BYTES:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return _build_call(request, bytes(body))
            else:
                return None
        return None

    async def send(self, status: int, body: bytes = b"", *, headers: Headers = ()) -> bool:
        """Send a complete response.

        Returns:
            Whether the connection can be used for another call.
        """
        parts = (
            self._encode_head(status, len(body), headers),
            self._protocol.send(h11.Data(data=body)) if body else b"",
            self._protocol.send(h11.EndOfMessage()),
        )
        await self._sock.sendall(b"".join(part or b"" for part in parts))
        return self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE

    async def send_truncated(self, body: bytes, *, headers: Headers = ()) -> None:
        """Send a response with half of its body; the connection must be closed afterwards."""
        head = self._encode_head(200, len(body), headers)
        await self._sock.sendall(head + body[: len(body) // 2])

    def _encode_head(self, status: int, length: int, headers: Headers) -> bytes:
        length_headers = () if status == NOT_MODIFIED else (("content-length", str(length)),)
        response = h11.Response(status_code=status, headers=[*length_headers, *headers])
        return self._protocol.send(response) or b""

    async def _next_event(self) -> Any:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._sock.recv(READ_BYTES))


def _build_call(request: h11.Request, body: bytes) -> Call:
    target = urlsplit(request.target.decode("ascii", "replace"))
    query = {name: values[-1] for name, values in parse_qs(target.query).items()}
    return Call(request.method.decode("ascii"), target.path, query, body)
