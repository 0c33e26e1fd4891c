"""The caller's end of hops: a pool of connections to the nodes beside workers.

A connection is used again only after a whole answer. One on which anything timed out, was cut
short or was left unread is closed.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import curio
from curio import socket

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.hops import FrameKind, Hop, Load, decode_head

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from trefoilpick.settings import RequestSettings
    from trefoilpick.vms import Vm

MS_PER_S = 1_000
"""Milliseconds in a second."""

PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
"""Flags that look at a connection's input without taking it or waiting."""

SILENCE_MS = 500
"""Time for which a node may leave bytes unacknowledged before its hop breaks, in milliseconds: over
twice the shortest retransmission timeout, so that one lost packet breaks none."""

NOTICE_TIMEOUT_S = 0.05
"""Time to receive the rest of a notice that has begun, in seconds."""


class ClientHop(Hop):
    """One connection to the node beside a worker.

    Args:
        sock: A connected curio socket.
        vm: The VM at the other end.

    Attributes:
        is_handed_over: Whether the operating system took any byte of the last request.
        is_clean: Whether the last request and its answer were both whole.
        released_at: When it became unused, in seconds on the node's clock.
    """

    def __init__(self, sock: socket.socket, vm: Vm) -> None:
        super().__init__(sock)
        self.vm = vm
        self.is_handed_over = False
        self.is_clean = True
        self.released_at = 0.0

    async def send_first(self, data: bytes) -> None:
        """Send the first bytes of a request.

        `is_handed_over` tells afterwards, also after an error, whether the operating system took
        any of them: if not, the request cannot have run.
        """
        self.is_handed_over = False
        self.is_clean = False
        data = self.pack(data)
        sent = await self.sock.send(data)
        self.is_handed_over = True
        if sent < len(data):
            await self.sock.sendall(memoryview(data)[sent:])

    def has_input(self) -> bool:
        """Tell whether input, the end or an error waits on the connection."""
        if self._buffer:
            return True
        try:
            self.sock._socket.recv(1, PEEK_FLAGS)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def abort(self) -> None:
        """Break the connection under whatever task waits on it."""
        try:
            self.sock._socket.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            return


class HopPool:
    """Unused connections, by VM.

    Args:
        settings: Settings of requests.
        note_load: Called with the VM's name and the load of each notice.
        data_centre: Where this node stands; heads to other data centres are compressed. Empty
            where it does not matter.
    """

    def __init__(
        self,
        settings: RequestSettings,
        note_load: Callable[[Vm, Load, float], None],
        *,
        data_centre: str = "",
    ) -> None:
        self._settings = settings
        self._data_centre = data_centre
        self._note_load = note_load
        self._idle: dict[str, deque[ClientHop]] = {}

    async def acquire(self, vm: Vm, *, timeout_s: float) -> ClientHop:
        """Return a connection to a VM's node: an unused one, or a new one.

        Raises:
            TrefoilpickError: `UPSTREAM_REFUSED`.
        """
        idle = self._idle.get(vm.name)
        while idle:
            hop = idle.pop()
            if (hop.vm.host, hop.vm.hop_port) == (vm.host, vm.hop_port) and (
                not hop.has_input() or await self._read_notices(hop)
            ):
                return hop
            await hop.close()
        hop = await open_hop(vm, timeout_s=timeout_s)
        if self._data_centre and vm.data_centre != self._data_centre:
            hop.begin_packing()
        return hop

    async def release(self, hop: ClientHop, now: float) -> None:
        """Take back a connection, to keep it if its last exchange was whole."""
        idle = self._idle.setdefault(hop.vm.name, deque())
        if not hop.is_clean or len(idle) >= self._settings.idle_hops:
            await hop.close()
            return
        hop.released_at = now
        idle.append(hop)

    async def sweep(self, now: float) -> None:
        """Read notices on unused connections; close those that ended or stayed unused long."""
        oldest = now - self._settings.hop_idle_ms / MS_PER_S
        for name, idle in list(self._idle.items()):
            for hop in list(idle):
                if hop not in idle or (hop.released_at >= oldest and not hop.has_input()):
                    continue
                idle.remove(hop)
                if hop.released_at >= oldest and await self._read_notices(hop):
                    idle.appendleft(hop)
                    continue
                await hop.close()
            if not idle and self._idle.get(name) is idle:
                del self._idle[name]

    async def close(self) -> None:
        """Close all unused connections."""
        for hop in self._take_all():
            await hop.close()

    def _take_all(self) -> Iterator[ClientHop]:
        for idle in self._idle.values():
            while idle:
                yield idle.pop()

    async def _read_notices(self, hop: ClientHop) -> bool:
        """Read waiting notices; tell whether the connection may be used afterwards."""
        try:
            while hop.has_input():
                frame = await curio.timeout_after(NOTICE_TIMEOUT_S, hop.receive)
                if frame is None or frame.kind is not FrameKind.NOTICE:
                    return False
                load = decode_head(frame.payload, Load)
                self._note_load(hop.vm, load, read_clock())
                if load.leaving:
                    return False
        except (OSError, TrefoilpickError, curio.TaskTimeout):
            return False
        return True


async def open_hop(vm: Vm, *, timeout_s: float) -> ClientHop:
    """Connect to a VM's node.

    Args:
        vm: The VM.
        timeout_s: Time to connect, in seconds.

    Raises:
        TrefoilpickError: `UPSTREAM_REFUSED`.
    """
    family = socket.AF_INET6 if ":" in vm.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        await curio.timeout_after(max(timeout_s, 0.0), sock.connect, (vm.host, vm.hop_port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        text = f'node of VM "{vm.name}" does not take a connection: {error!r}'
        raise TrefoilpickError(ErrorKind.UPSTREAM_REFUSED, text) from error
    except BaseException:
        await sock.close()
        raise
    return ClientHop(sock, vm)
