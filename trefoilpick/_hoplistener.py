"""The port on which a node takes hops."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import curio
from curio.io import Socket

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

ACCEPT_PAUSE_S = 0.05
"""Time to the next attempt where a connection cannot be accepted, in seconds."""

KEEPALIVE_IDLE_S = 30
"""Idle time after which the system probes the peer, in seconds."""

KEEPALIVE_INTERVAL_S = 10
"""Time between two probes, in seconds."""

KEEPALIVE_PROBES = 3
"""Unanswered probes after which a connection is broken."""

BACKLOG = 1_024
"""Connections that wait to be accepted."""


async def accept_sockets(
    listener: Socket, *, note_error: Callable[[], None]
) -> AsyncIterator[Socket]:
    """Yield connections as they come, with the options that a hop needs.

    Args:
        listener: A listening socket.
        note_error: Called where a connection cannot be accepted.

    Yields:
        Connected sockets.
    """
    while True:
        try:
            sock, _ = await listener.accept()
        except OSError:
            # Out of descriptors, most likely: those that wait keep their place.
            note_error()
            await curio.sleep(ACCEPT_PAUSE_S)
            continue
        _set_options(sock)
        yield sock


def _set_options(sock: Socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
