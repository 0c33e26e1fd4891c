"""Free TCP ports on loopback addresses, for fleets that run within one process."""

from __future__ import annotations

import random
import socket
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

PORT_RANGE = range(10_000, 32_768)
"""Ports to choose from, below those of outgoing connections, one of which could take a port between
the choice and its use, or while a listener is closed and opened again."""

BLOCK_PORTS = 512
"""Number of ports that a process claims at a time."""

CLAIM_HOST = "127.255.255.1"
"""Address on which a process binds the first port of each block that it has claimed."""


class PortChooser:
    """Chooses free ports from blocks that no other process chooses from meanwhile.

    A port is not bound until its listener opens, so that two processes which choose from the same
    ports may choose the same one. Each port of a block comes once before one comes again. They come
    in random order: callers that also need the next port up would otherwise meet it in each choice.

    Args:
        ports: Ports to choose from.
        block_ports: Number of ports to claim at a time.
    """

    def __init__(self, ports: Sequence[int] = PORT_RANGE, block_ports: int = BLOCK_PORTS) -> None:
        starts = range(0, len(ports), block_ports)
        self._ports = ports
        self._unclaimed = [ports[start : start + block_ports] for start in starts]
        random.shuffle(self._unclaimed)
        self._claimed: deque[int] = deque()
        self._claims: list[socket.socket] = []

    def find(self, host: str, count: int) -> list[int]:
        """Return distinct TCP ports that are free at the time of the call.

        If other processes have claimed all blocks, ports are chosen from the whole range.

        Args:
            host: IP address on which the ports are to be free.
            count: Number of ports.
        """
        free: list[int] = []
        while len(free) < count:
            free = []
            for _ in range(len(self._claimed)):
                port = self._claimed[0]
                self._claimed.rotate(-1)
                free += [port] if _is_free(host, port) else []
                if len(free) == count:
                    return free
            if not self._claim_block():
                return self._choose_unclaimed(host, count)
        return free

    def close(self) -> None:
        """Release all blocks."""
        for claim in self._claims:
            claim.close()
        self._claims.clear()
        self._claimed.clear()

    def _claim_block(self) -> bool:
        while self._unclaimed:
            block = self._unclaimed.pop()
            claim = socket.socket()
            try:
                claim.bind((CLAIM_HOST, block[0]))
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            self._claimed.extendleft(random.sample(block, len(block)))
            return True
        return False

    def _choose_unclaimed(self, host: str, count: int) -> list[int]:
        ports: list[int] = []
        while len(ports) < count:
            port = random.choice(self._ports)
            if port not in ports and _is_free(host, port):
                ports.append(port)
        return ports


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe, suppress(OSError):
        probe.bind((host, port))
        return True
    return False


_chooser = PortChooser()


def find_free_ports(host: str, count: int) -> list[int]:
    """Return distinct TCP ports that are free and that no other process gets from this function.

    Args:
        host: IP address on which the ports are to be free.
        count: Number of ports.
    """
    return _chooser.find(host, count)
