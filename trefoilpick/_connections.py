"""TCP connections to IP addresses, and how they end."""

from __future__ import annotations

import errno
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


def has_ended_in_order(error: OSError) -> bool:
    """Return whether the peer had ended its side in order before a send failed.

    The operating system reports a reset once. If that is to a send, the next read returns no bytes,
    as it does after an orderly end, so that only the send's error tells the two apart.

    Args:
        error: Error of the first send that failed on a connection; in Linux it is `EPIPE` if the
            peer had ended its side, also if it reset the connection afterwards.
    """
    return error.errno == errno.EPIPE
