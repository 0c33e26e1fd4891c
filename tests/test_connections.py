import socket
from collections.abc import Iterator
from typing import Any

import curio
import pytest
from curio.network import tcp_server_socket

from trefoilpick._connections import open_connection
from trefoilpick._http import fetch
from trefoilpick._source_connection import open_source_connection

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture(autouse=True)
def forbid_lookups(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Guard against address lookups, which run in a thread and can outlast a connect timeout."""

    def refuse(*args: Any, **kwargs: Any) -> None:
        raise AssertionError(f"looked up {args[:2]}")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "getaddrinfo", refuse)
        yield


@pytest.mark.parametrize("host", ["127.0.0.1", "::ffff:127.0.0.1"])
def test_connects_to_an_ip_address_without_a_lookup(host: str) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            async with await open_connection(host, listener.getsockname()[1]) as sock:
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    curio.run(main)


def test_a_refused_connection_is_an_os_error() -> None:
    async def main() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            with pytest.raises(OSError):
                await open_connection("127.0.0.1", unused.getsockname()[1])

    curio.run(main)


def test_a_source_connection_needs_no_lookup() -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = await open_source_connection(f"127.0.0.1:{listener.getsockname()[1]}")
            await connection.close()

    curio.run(main)


def test_an_http_request_needs_no_lookup() -> None:
    async def main() -> None:
        listener = tcp_server_socket("127.0.0.1", 0)

        async def answer() -> None:
            client, _ = await listener.accept()
            async with client:
                await client.recv(65_536)
                await client.sendall(ANSWER)

        server = await curio.spawn(answer)
        host, port = listener.getsockname()
        answered = await fetch(host, port, "/status", timeout_s=20, max_bytes=10)
        assert answered.body == b"ok"
        await server.cancel()
        await listener.close()

    curio.run(main)
