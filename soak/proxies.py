"""A loopback proxy that can delay, stall, silence, reset or refuse the connections through it."""

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


@dataclass(eq=False)
class Relay:
    """A connection through a proxy.

    Attributes:
        proxy: The proxy.
        client: Socket of the connecting side.
        server: Socket of the other side.
        is_silent: Whether it discards all that it receives, also the end of either side.
    """

    proxy: Proxy
    client: Any
    server: Any
    is_silent: bool = False

    def reset(self) -> None:
        """Reset both sides, unless it is silent."""
        if not self.is_silent:
            _reset(self.client)
            _reset(self.server)


class Proxy:
    """Forwards connections from one address to another.

    Args:
        address: Host and port on which it listens.
        target: Host and port to which it connects.

    Attributes:
        trouble: Impairment of the link.
        delivered_bytes: Bytes forwarded to the connecting sides.
    """

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.trouble = NO_TROUBLE
        self.delivered_bytes = 0
        self._address = address
        self._target = target
        self._relays: set[Relay] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self._address
        await curio.tcp_server(host, port, self._serve, backlog=BACKLOG, reuse_address=True)

    def reset(self) -> None:
        """Reset all connections."""
        for relay in list(self._relays):
            relay.reset()

    def silence(self) -> None:
        """Let all open connections carry nothing any more; neither side is told."""
        for relay in self._relays:
            relay.is_silent = True

    async def _serve(self, client: Any, _address: object) -> None:
        if self.trouble.refuses:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            return
        try:
            server = await open_connection(*self._target)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            return
        relay = Relay(self, client, server)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._relays.add(relay)
        try:
            async with curio.TaskGroup(wait=all) as group:
                await group.spawn(
                    _forward, client, server, lambda: self.trouble.holds_requests, relay
                )
                await group.spawn(
                    _forward, server, client, lambda: self.trouble.holds_answers, relay
                )
        finally:
            self._relays.discard(relay)
            await server.close()


async def _forward(source: Any, sink: Any, is_held: Callable[[], bool], relay: Relay) -> None:
    try:
        while data := await source.recv(READ_BYTES):
            if relay.proxy.trouble.delay_s:
                await curio.sleep(relay.proxy.trouble.delay_s)
            while is_held() and not relay.is_silent:
                await curio.sleep(POLL_INTERVAL_S)
            if not relay.is_silent:
                await sink.sendall(data)
                relay.proxy.delivered_bytes += len(data) if sink is relay.client else 0
        if not relay.is_silent:
            await sink.shutdown(socket.SHUT_WR)
    except OSError:
        # If one side fails, reset both.
        relay.reset()


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock._socket.shutdown(socket.SHUT_RDWR)
    except (OSError, AttributeError):
        return
