"""Responses of the configuration service that do not end."""

from __future__ import annotations

import random
import tracemalloc
from collections.abc import Awaitable, Callable

import curio
import pytest
from curio import socket
from curio.io import Socket

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.settings import SourceSettings
from trefoilpick.source import SourceClient

HOST = "127.0.0.1"
MAX_CALL_S = 6.0
"""Longest time that a call may take with a read timeout of 300 ms, in seconds."""
MAX_MEMORY_BYTES = 12_000_000
"""Memory that a call may use, in bytes: several copies of the longest response."""
MAX_TINY_CHUNKS_BYTES = 400_000
"""Bytes that may be received of a response whose chunks have one byte each: processing them costs
much more than their size suggests."""

STARTS = {
    "header line": (b"HTTP/1.1 200 OK\r\nx-long: ", b"x"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
    "chunk size": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"0"),
    "chunks": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "trailers": (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x-a: b\r\n"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "length": (b"HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n", b"x"),
    "junk": (b"", b"\x00\xff"),
}


class EndlessService:
    """Sends a start and then the same bytes without end, fast or slowly."""

    def __init__(self, start: bytes, part: bytes, gap_s: float) -> None:
        self.start, self.part, self.gap_s = start, part, gap_s
        self.is_sound = False
        self.open_connections = 0

    async def serve(self, client: Socket, _address: object) -> None:
        self.open_connections += 1
        try:
            await client.recv(10_000)
            if self.is_sound:
                await client.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                await client.recv(10_000)
                return
            await client.sendall(self.start)
            part = self.part if self.gap_s else self.part * (60_000 // len(self.part))
            while True:
                await client.sendall(part)
                await curio.sleep(self.gap_s)
        except OSError:
            return
        finally:
            self.open_connections -= 1


def run_service(service: EndlessService, test: Callable[[SourceClient], Awaitable[None]]) -> None:
    async def main() -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind((HOST, 0))
        sock.listen(64)
        address = f"{HOST}:{sock.getsockname()[1]}"
        server = await curio.spawn(curio.network.run_server, sock, service.serve, daemon=True)
        try:
            await test(SourceClient(SourceSettings((address,), read_timeout_ms=300)))
        finally:
            await server.cancel()

    curio.run(main)


# A response that trickled in, or interim responses without end, held a call and its watch for good.
@pytest.mark.parametrize("gap_s", [0.0, 0.25], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", STARTS)
def test_response_without_end_is_given_up_and_the_next_call_succeeds(
    kind: str, gap_s: float
) -> None:
    service = EndlessService(*STARTS[kind], gap_s)

    async def test(client: SourceClient) -> None:
        tracemalloc.start()
        began_s = read_clock()
        try:
            async with curio.timeout_after(MAX_CALL_S):
                with pytest.raises(TrefoilpickError) as caught:
                    await client.call("read", "/value")
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert caught.value.kind is ErrorKind.SOURCE_UNAVAILABLE
        assert read_clock() - began_s < MAX_CALL_S
        assert peak < MAX_MEMORY_BYTES
        await curio.sleep(0.5 + gap_s)
        assert service.open_connections == 0
        if kind == "chunks":
            assert client.bytes_received < MAX_TINY_CHUNKS_BYTES
        service.is_sound = True
        assert (await client.call("read", "/value")).body == b"ok"

    run_service(service, test)


@pytest.mark.parametrize("seed", range(2))
def test_long_response_over_a_link_of_one_megabit_is_received(seed: int) -> None:
    """Parts of uneven sizes and gaps; the whole takes many times the read timeout."""
    rng = random.Random(seed)
    body = rng.randbytes(400_000)

    async def serve(client: Socket, _address: object) -> None:
        await client.recv(10_000)
        await client.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        sent = 0
        while sent < len(body):
            size = rng.randrange(1, 60_000)
            await client.sendall(body[sent : sent + size])
            sent += size
            await curio.sleep(size / 125_000)

    service = EndlessService(b"", b"", 0.0)
    service.serve = serve  # type: ignore[method-assign]

    async def test(client: SourceClient) -> None:
        assert (await client.call("read", "/value")).body == body

    run_service(service, test)
