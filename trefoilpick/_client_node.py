"""A node as the caller library sees it."""

from __future__ import annotations

from collections import deque

from trefoilpick._client_connection import ClientConnection, open_client_connection

IDLE_CONNECTIONS = 8
"""Unused connections that are kept to one node."""

FIRST_AVOIDANCE_S = 0.5
"""Time for which a node that broke is avoided, in seconds; it doubles for each further break."""

MAX_AVOIDANCE_S = 30.0
"""Longest time for which a node is avoided, in seconds."""


class ClientNode:
    """One node that the library knows, with unused connections to it.

    Args:
        address: Address of the node, as "ip:port".
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: deque[ClientConnection] = deque()
        self.avoided_until = 0.0
        self._breaks = 0

    async def acquire(self, *, timeout_s: float) -> ClientConnection:
        """Return a connection: an unused one, or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_quiet():
                return connection
            await connection.close()
        return await open_client_connection(self.address, timeout_s=timeout_s)

    async def release(self, connection: ClientConnection) -> None:
        """Take back a connection after a whole answer."""
        self._breaks = 0
        if len(self.idle) < IDLE_CONNECTIONS and connection.prepare_reuse():
            self.idle.append(connection)
        else:
            await connection.close()

    def avoid(self, now: float) -> None:
        """Let other nodes go first for a while, longer after each break."""
        pause_s = min(FIRST_AVOIDANCE_S * 2**self._breaks, MAX_AVOIDANCE_S)
        self._breaks = min(self._breaks + 1, 16)
        self.avoided_until = now + pause_s
