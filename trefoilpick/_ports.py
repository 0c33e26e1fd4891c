"""Free TCP ports on loopback addresses, for fleets that run within one process."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

PORT_RANGE = range(10_000, 32_768)
"""Ports to choose from, below those of outgoing connections, one of which could take a port between
the choice and its use, or while a listener is closed and opened again."""


def find_free_ports(host: str, count: int) -> list[int]:
    """Return distinct TCP ports that are free at the time of the call.

    Args:
        host: IP address on which the ports are to be free.
        count: Number of ports.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(PORT_RANGE)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, port))
            ports += [port] if port not in ports else []
    return ports
