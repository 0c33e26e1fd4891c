"""A node and its idle connections, as used by the client library."""

from __future__ import annotations

from collections import deque

from trefoilpick._client_connection import ClientConnection, open_client_connection

MAX_IDLE_CONNECTIONS = 8
"""Idle connections that are kept for each node."""

FIRST_AVOIDANCE_S = 0.5
"""Time for which a failed node is avoided, in seconds; it doubles with each further failure."""

MAX_AVOIDANCE_S = 30.0
"""Longest time for which a node is avoided, in seconds."""


class ClientNode:
    """One node, with a pool of idle connections to it.

    Args:
        address: Address of the node, as "ip:port".

    Attributes:
        idle_connections: Open connections without a request in flight.
        avoided_until: Time until which other nodes are preferred, in seconds on curio's clock.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_connections: deque[ClientConnection] = deque()
        self.avoided_until = 0.0
        self._failures = 0

    async def acquire(self, *, timeout_s: float) -> ClientConnection:
        """Return an idle connection, or open a new one."""
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_reusable():
                return connection
            await connection.close()
        return await open_client_connection(self.address, timeout_s=timeout_s)

    async def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after a complete answer."""
        self._failures = 0
        if len(self.idle_connections) < MAX_IDLE_CONNECTIONS and connection.prepare_reuse():
            self.idle_connections.append(connection)
        else:
            await connection.close()

    def avoid(self, now: float) -> None:
        """Prefer other nodes for a time that doubles with each consecutive failure."""
        avoidance_s = min(FIRST_AVOIDANCE_S * 2**self._failures, MAX_AVOIDANCE_S)
        self._failures = min(self._failures + 1, 16)
        self.avoided_until = now + avoidance_s
