"""A loopback proxy whose open connections can fall silent for good while new ones work."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass

import curio
from curio import socket
from curio.io import Socket

from trefoilpick._connections import open_connection

READ_BYTES = 65_536
"""Maximum size of a read, in bytes."""

BACKLOG = 256
"""Maximum number of connections that wait to be accepted."""

FOREVER_S = 1e6
"""Sleep that outlasts any test, in seconds."""


@dataclass
class Connection:
    """A forwarded connection.

    Attributes:
        is_silent: Whether nothing is forwarded any more, neither data nor an end.
        bytes_after_silence: Bytes that arrived after the connection fell silent.
    """

    is_silent: bool = False
    bytes_after_silence: int = 0


class SilencingProxy:
    """Forwards connections from one address to another.

    Args:
        listen: Host and port on which it listens.
        target: Host and port to which it connects.

    Attributes:
        connections: All connections that were ever accepted, in their order.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.connections: list[Connection] = []
        self._listener = curio.network.tcp_server_socket(
            *listen, backlog=BACKLOG, reuse_address=True
        )
        self._target = target

    async def run(self) -> None:
        """Serve until cancelled."""
        await curio.network.run_server(self._listener, self._serve)

    def silence(self) -> None:
        """Silence all connections that are open now; later ones are forwarded."""
        for connection in self.connections:
            connection.is_silent = True

    async def _serve(self, client: Socket, _address: object) -> None:
        connection = Connection()
        self.connections.append(connection)
        server = await open_connection(*self._target)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with server, curio.TaskGroup(wait=all) as group:
            await group.spawn(_forward, client, server, connection)
            await group.spawn(_forward, server, client, connection)


async def _forward(source: Socket, sink: Socket, connection: Connection) -> None:
    with suppress(OSError):
        while data := await source.recv(READ_BYTES):
            if connection.is_silent:
                connection.bytes_after_silence += len(data)
            else:
                await sink.sendall(data)
    if connection.is_silent:
        # The other side gets neither an end nor a reset.
        await curio.sleep(FOREVER_S)
    with suppress(OSError):
        await sink.shutdown(socket.SHUT_WR)
