"""Accepts hop connections from other nodes."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import curio
from curio.io import Socket

from trefoilpick._time_slices import yield_if_due

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

ACCEPT_PAUSE_S = 0.05
"""Delay after a failure to accept a connection, in seconds."""

KEEPALIVE_IDLE_S = 30
"""Idle time after which the kernel probes the peer, in seconds."""

KEEPALIVE_INTERVAL_S = 10
"""Interval between probes, in seconds."""

KEEPALIVE_PROBES = 3
"""Number of unanswered probes after which the kernel closes a connection."""

BACKLOG = 1_024
"""Longest queue of connections that wait to be accepted."""


async def accept_sockets(
    listener: Socket, *, on_error: Callable[[], None]
) -> AsyncIterator[Socket]:
    """Yield accepted connections with the socket options of a hop.

    Args:
        listener: A listening socket.
        on_error: Called if a connection cannot be accepted.

    Yields:
        Connected sockets.
    """
    while True:
        await yield_if_due()
        try:
            sock, _ = await listener.accept()
            _set_options(sock)
        except OSError:
            # Most likely out of file descriptors; pending connections stay in the backlog.
            on_error()
            await curio.sleep(ACCEPT_PAUSE_S)
            continue
        yield sock


def _set_options(sock: Socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
