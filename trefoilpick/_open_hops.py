"""Open hops, and the task that detects which of them were closed by their peers."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

import curio
from curio.traps import _read_wait

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick._hop_connections import HopConnection

_CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLONESHOT


IDLE_CHECK_S = 10.0
"""Interval between checks for idle hops, in seconds."""


class OpenHops:
    """All open hops of a node.

    A separate epoll instance detects closed hops while the tasks that serve them wait for
    something else.
    """

    def __init__(self) -> None:
        self._connections: dict[int, HopConnection] = {}
        self._epoll = select.epoll()

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[HopConnection]:
        return iter(list(self._connections.values()))

    def add(self, connection: HopConnection) -> None:
        """Add a hop and start to watch whether its peer closes it."""
        descriptor = connection.hop.sock.fileno()
        self._connections[descriptor] = connection
        self._epoll.register(descriptor, _CLOSED_EVENTS)

    def remove(self, connection: HopConnection) -> None:
        """Remove a hop and stop watching it; call this before its socket is closed."""
        descriptor = connection.hop.sock.fileno()
        del self._connections[descriptor]
        self._epoll.unregister(descriptor)

    async def watch(self) -> None:
        """Cancel the requests of hops that their peers closed; run until cancelled."""
        while True:
            await _read_wait(self._epoll)
            for descriptor, _ in self._epoll.poll(0):
                connection = self._connections.get(descriptor)
                if connection is None:
                    continue
                connection.is_closed_by_peer = True
                if connection.is_cancellable and not connection.is_idle:
                    await connection.task.cancel(blocking=False)

    async def close_idle(self, idle_timeout_s: float) -> None:
        """Close hops that wait for a request for too long; run until cancelled.

        A hop whose peer is gone may stay open and silent for good.

        Args:
            idle_timeout_s: Idle timeout, in seconds; longer than that of the peers, so that no
                request is on its way.
        """
        while True:
            await curio.sleep(IDLE_CHECK_S)
            expired_s = read_clock() - idle_timeout_s
            for connection in self:
                if connection.is_idle and connection.idle_since_s < expired_s:
                    connection.shut_down()
