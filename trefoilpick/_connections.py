"""TCP connections to IP addresses."""

from __future__ import annotations

import socket

from curio.io import Socket


async def open_connection(host: str, port: int) -> Socket:
    """Connect to an IP address.

    `curio.open_connection` looks up even IP addresses in a worker thread, whose start can take
    more than 100 ms on a busy machine.

    Args:
        host: IPv4 or IPv6 address.
        port: TCP port.

    Returns:
        The connected socket, without Nagle's algorithm.

    Raises:
        OSError: The connection cannot be established.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = Socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock
