"""A loopback proxy that delays, resets, refuses or silences the connections through it."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio
from curio import socket

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536
"""Bytes asked of a socket at a time."""

LOOK_S = 0.02
"""Time between two looks at whether a silence is over, in seconds."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""Option that makes a close a reset."""

BACKLOG = 256
"""Connections that may wait to be accepted."""


@dataclass(frozen=True)
class LinkTrouble:
    """What is wrong with a link.

    Attributes:
        delay_s: Time by which each part is late, in seconds.
        holds_requests: Whether nothing goes from the end that connected.
        holds_answers: Whether nothing goes back to it.
        refuses: Whether new connections are reset.
    """

    delay_s: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


CALM = LinkTrouble()


class Proxy:
    """One address in front of another.

    Args:
        address: Where it listens.
        target: Where it leads.
    """

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.trouble = CALM
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
            server = await curio.open_connection(*self._target)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            return
        pair = (client, server)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.add(pair)
        try:
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(_pass, client, server, lambda: self.trouble.holds_requests, self)
                await group.spawn(_pass, server, client, lambda: self.trouble.holds_answers, self)
        finally:
            self._pairs.discard(pair)
            await server.close()


async def _pass(source: Any, sink: Any, is_held: Callable[[], bool], proxy: Proxy) -> None:
    try:
        while data := await source.recv(READ_BYTES):
            if proxy.trouble.delay_s:
                await curio.sleep(proxy.trouble.delay_s)
            while is_held():
                await curio.sleep(LOOK_S)
            await sink.sendall(data)
        await sink.shutdown(socket.SHUT_WR)
    except OSError:
        # Whatever broke one side is passed on to the other.
        _reset(source)
        _reset(sink)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock._socket.shutdown(socket.SHUT_RDWR)
    except (OSError, AttributeError):
        return
