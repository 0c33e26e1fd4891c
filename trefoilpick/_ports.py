"""Free TCP ports on loopback addresses, for fleets that run within one process."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def find_free_ports(host: str, count: int) -> list[int]:
    """Return distinct TCP ports that are free at the time of the call."""
    with ExitStack() as probes:
        sockets = [probes.enter_context(socket.socket()) for _ in range(count)]
        for probe in sockets:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in sockets]
