from __future__ import annotations

import curio
import pytest

from trefoilpick.caller_connections import CallerConnection, CoarseClock
from trefoilpick.errors import ErrorKind, TrefoilpickError

UPLOAD_HEAD = b"PUT /a HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 9\r\n\r\n"


class ResetSocket:
    """A socket whose peer has reset the connection after a request's head."""

    async def recv(self, size: int) -> bytes:
        return UPLOAD_HEAD

    async def sendall(self, data: bytes) -> None:
        raise ConnectionResetError


def test_caller_that_left_before_it_could_continue_is_gone() -> None:
    async def main() -> None:
        connection = CallerConnection(
            ResetSocket(), "127.0.0.1", find_max_head_bytes=lambda: 10_000, clock=CoarseClock(0.0)
        )
        assert await connection.receive_request() is not None
        with pytest.raises(TrefoilpickError) as caught:
            await connection.receive_body()
        assert caught.value.kind is ErrorKind.CALLER_GONE

    curio.run(main)
