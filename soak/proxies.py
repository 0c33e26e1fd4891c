"""A loopback proxy that can delay, stall, reset or refuse the connections through it."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio
from curio import socket

from trefoilpick._connections import open_connection

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536
"""Maximum size of a read from a socket, in bytes."""

POLL_INTERVAL_S = 0.02
"""Time between two checks whether a stalled direction may continue, in seconds."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that turns a close into a reset."""

BACKLOG = 256
"""Maximum number of connections that wait to be accepted."""


@dataclass(frozen=True)
class LinkTrouble:
    """Impairment of a link.

    Attributes:
        delay_s: Delay of each chunk of data, in seconds.
        holds_requests: Whether data from the connecting side is not forwarded.
        holds_answers: Whether data to the connecting side is not forwarded.
        refuses: Whether new connections are reset.
    """

    delay_s: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


NO_TROUBLE = LinkTrouble()


class Proxy:
    """Forwards connections from one address to another.

    Args:
        address: Host and port on which it listens.
        target: Host and port to which it connects.
    """

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.trouble = NO_TROUBLE
        self._address = address
        self._target = target
        self._pairs: set[tuple[Any, Any]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self._address
        await curio.tcp_server(host, port, self._serve, backlog=BACKLOG, reuse_address=True)

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    async def _serve(self, client: Any, _address: object) -> None:
        if self.trouble.refuses:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            return
        try:
            server = await open_connection(*self._target)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            return
        pair = (client, server)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.add(pair)
        try:
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(
                    _forward, client, server, lambda: self.trouble.holds_requests, self
                )
                await group.spawn(
                    _forward, server, client, lambda: self.trouble.holds_answers, self
                )
        finally:
            self._pairs.discard(pair)
            await server.close()


async def _forward(source: Any, sink: Any, is_held: Callable[[], bool], proxy: Proxy) -> None:
    try:
        while data := await source.recv(READ_BYTES):
            if proxy.trouble.delay_s:
                await curio.sleep(proxy.trouble.delay_s)
            while is_held():
                await curio.sleep(POLL_INTERVAL_S)
            await sink.sendall(data)
        await sink.shutdown(socket.SHUT_WR)
    except OSError:
        # If one side fails, reset both.
        _reset(source)
        _reset(sink)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock._socket.shutdown(socket.SHUT_RDWR)
    except (OSError, AttributeError):
        return
