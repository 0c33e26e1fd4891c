"""Client side of hops: a pool of connections to workers' nodes.

A connection is reused only after a complete answer. After a timeout, a truncated answer or with
unread input it is closed.
"""

from __future__ import annotations

from collections import deque
from contextlib import suppress
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
"""Flags that peek at a connection's input without consuming it or blocking."""

UNACKED_TIMEOUT_MS = 500
"""TCP user timeout of a hop, in milliseconds: over twice the minimum retransmission timeout, so
that a single lost packet does not break the connection."""

UPLOAD_UNACKED_TIMEOUT_MS = 5_000
"""TCP user timeout of a hop while a body is sent, in milliseconds. It also ends a connection whose
peer stops reading, as the node of a worker that pauses within a body does."""

NOTICE_TIMEOUT_S = 0.05
"""Time to receive the rest of a partly received notice, in seconds."""


MAX_NOTICES = 64
"""Largest number of notices that are read on an idle connection; a peer that sends more is faulty:
it sends one when it begins to leave."""


class ClientHop(Hop):
    """Connection to a worker's node.

    Args:
        sock: A connected curio socket.
        vm: The VM at the other end.

    Attributes:
        has_sent_bytes: Whether the operating system accepted any byte of the last request.
        is_clean: Whether the last request and its answer were both complete.
        released_at: When it became idle, in seconds on the node's clock.
    """

    def __init__(self, sock: socket.socket, vm: Vm) -> None:
        super().__init__(sock)
        self.vm = vm
        self.has_sent_bytes = False
        self.is_clean = True
        self.released_at = 0.0

    async def send_first(self, data: bytes) -> None:
        """Send the first bytes of a request.

        `has_sent_bytes` is set, even if sending fails later, once the operating system has accepted
        any of them; until then the request cannot have run.
        """
        self.has_sent_bytes = False
        self.is_clean = False
        data = self.compress_head(data)
        sent = await self.sock.send(data)
        self.has_sent_bytes = True
        if sent < len(data):
            await self.sock.sendall(memoryview(data)[sent:])

    def set_uploading(self, is_uploading: bool) -> None:
        """Tolerate a peer that pauses while a body is sent, or no longer."""
        timeout_ms = UPLOAD_UNACKED_TIMEOUT_MS if is_uploading else UNACKED_TIMEOUT_MS
        with suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def has_input(self) -> bool:
        """Return whether the connection has unread input, was closed or has an error."""
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
        """Shut down the connection, which wakes any task that waits on it."""
        try:
            self.sock._socket.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            return


class HopPool:
    """Pool of idle connections by VM.

    Args:
        settings: Request settings.
        record_load: Called for each notice with the VM, its load and the time, in seconds on the
            node's clock.
        data_centre: Data centre of this node; heads to other data centres are compressed. Empty
            to compress none.
    """

    def __init__(
        self,
        settings: RequestSettings,
        record_load: Callable[[Vm, Load, float], None],
        *,
        data_centre: str = "",
    ) -> None:
        self._settings = settings
        self._data_centre = data_centre
        self._record_load = record_load
        self._idle: dict[str, deque[ClientHop]] = {}

    async def acquire(self, vm: Vm, *, timeout_s: float) -> ClientHop:
        """Return an idle connection to a VM's node, or open a new one.

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
            hop.start_compression()
        return hop

    async def release(self, hop: ClientHop, now: float) -> None:
        """Return a connection to the pool if its last exchange was complete; otherwise close it."""
        idle = self._idle.setdefault(hop.vm.name, deque())
        if not hop.is_clean or len(idle) >= self._settings.idle_hops:
            await hop.close()
            return
        hop.released_at = now
        idle.append(hop)

    async def drop_idle(self, vm: Vm, *, before: float) -> None:
        """Close the idle connections to a VM's node on which nothing arrived since a time.

        Args:
            vm: The VM.
            before: Clock reading, in seconds; connections released earlier are closed.
        """
        idle = self._idle.get(vm.name, deque())
        for hop in [hop for hop in idle if hop.released_at < before]:
            idle.remove(hop)
            await hop.close()

    async def sweep(self, now: float) -> None:
        """Read notices on idle connections; close those that ended or reached the idle timeout."""
        expired_before = now - self._settings.hop_idle_ms / MS_PER_S
        for name, idle in list(self._idle.items()):
            for hop in list(idle):
                if hop not in idle or (hop.released_at >= expired_before and not hop.has_input()):
                    continue
                idle.remove(hop)
                if hop.released_at >= expired_before and await self._read_notices(hop):
                    idle.appendleft(hop)
                    continue
                await hop.close()
            if not idle and self._idle.get(name) is idle:
                del self._idle[name]

    async def close(self) -> None:
        """Close all idle connections."""
        for hop in self._pop_all():
            await hop.close()

    def _pop_all(self) -> Iterator[ClientHop]:
        for idle in self._idle.values():
            while idle:
                yield idle.pop()

    async def _read_notices(self, hop: ClientHop) -> bool:
        """Read received notices; return whether the connection can still be used."""
        try:
            for _ in range(MAX_NOTICES):
                if not hop.has_input():
                    return True
                frame = await curio.timeout_after(NOTICE_TIMEOUT_S, hop.receive)
                if frame is None or frame.kind is not FrameKind.NOTICE:
                    return False
                load = decode_head(frame.payload, Load)
                self._record_load(hop.vm, load, read_clock())
                if load.leaving:
                    return False
        except (OSError, TrefoilpickError, curio.TaskTimeout):
            return False
        return False


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
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
        await curio.timeout_after(max(timeout_s, 0.0), sock.connect, (vm.host, vm.hop_port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        text = f'cannot connect to the node of VM "{vm.name}": {error!r}'
        raise TrefoilpickError(ErrorKind.UPSTREAM_REFUSED, text) from error
    except BaseException:
        await sock.close()
        raise
    return ClientHop(sock, vm)
