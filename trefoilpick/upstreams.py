"""The worker beside a node: a bounded pool of kept HTTP/1.1 connections."""

from __future__ import annotations

import socket
from collections import deque

import curio
from curio.io import Socket

from trefoilpick._clock import read_clock
from trefoilpick._workerconnections import KEEP_ALIVE_MARGIN_S, WorkerConnection
from trefoilpick.conventions import OWN_CONVENTIONS, Conventions
from trefoilpick.errors import ErrorKind, TrefoilpickError

DISTRUST_S = 60.0
"""Time for which no connection is used twice after surplus bytes, in seconds."""

FORGOTTEN_WITHIN_S = 0.02
"""Time after sending within which a reset shows that the worker had forgotten the connection, in
seconds: many times the way to a worker on the same VM, and less than a request takes."""

FORGOTTEN_DIVISOR = 2
"""A forgotten connection's idle time divided by this is taken as safe: it was forgotten at some
unknown moment before."""

SHORTEST_IDLE_S = 0.05
"""Idle time that is always taken as safe, in seconds: less would end the reuse of connections."""

FORGOTTEN_HOLD_S = 10.0
"""Time for which a safe idle time is kept to, in seconds; then the worker's own word counts."""


class WorkerPool:
    """Kept connections to one worker, the longest unused first.

    A worker that sends more than its answers is distrusted: what it sends late could be taken for
    the answer to the next request, so for a while no connection to it is used twice, unless its
    answers name their requests. The longest unused connection goes first for the same reason: what
    is late shows before the next use.

    A worker may forget a connection without a word. Whatever is sent on it next is reset, which
    does not prove that nothing ran; so once that was seen, connections are trusted for less time.

    Args:
        host: IP address of the worker.
        port: Port of the worker.
        max_idle_s: Idle time after which a connection is not used again, in seconds, where the
            worker states none.
        conventions: Headers of the fleet.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        max_idle_s: float,
        conventions: Conventions = OWN_CONVENTIONS,
    ) -> None:
        self.opened = 0
        self._address = (host, port)
        self._authority = f"{host}:{port}".encode()
        self._family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._max_idle_s = max_idle_s
        self._conventions = conventions
        self._idle: deque[WorkerConnection] = deque()
        self._distrusted_until_s = 0.0
        self._safe_idle_s = 0.0
        self._safe_until_s = 0.0

    @property
    def idle(self) -> int:
        """How many connections wait for a request."""
        return len(self._idle)

    async def acquire(
        self,
        *,
        connect_timeout_s: float,
        now_s: float,
        fresh: bool = False,
        newest: bool = False,
    ) -> WorkerConnection:
        """Return a quiet kept connection, or a new one.

        Args:
            connect_timeout_s: Time to connect, in seconds.
            now_s: Reading of the clock, in seconds.
            fresh: Whether a kept connection will not do.
            newest: Whether the connection that was used last goes first: the one that is forgotten
                least likely.

        Raises:
            TrefoilpickError: `UPSTREAM_REFUSED`; nothing was sent.
        """
        while self._idle:
            connection = self._idle.pop() if newest else self._idle.popleft()
            is_quiet = connection.is_quiet()
            if connection.surplus:
                self._distrust(now_s)
            is_recent = now_s - connection.idle_since_s <= self._find_max_idle(connection, now_s)
            if is_quiet and is_recent and not fresh and now_s >= self._distrusted_until_s:
                return connection
            await self.discard(connection)
        return await self._connect(connect_timeout_s)

    async def release(
        self, connection: WorkerConnection, *, connections: int, now_s: float | None = None
    ) -> None:
        """Keep a connection for the next request, or close it.

        Args:
            connection: A connection whose request ended.
            connections: Connections that the worker takes.
            now_s: Reading of the clock, in seconds, where it is at hand.
        """
        now_s = read_clock() if now_s is None else now_s
        is_reusable = connection.prepare_reuse()
        if connection.surplus:
            self._distrust(now_s)
        if is_reusable and now_s >= self._distrusted_until_s:
            connection.idle_since_s = now_s
            self._idle.append(connection)
        else:
            await self.discard(connection)
        while self._idle and self.opened > connections:
            await self.discard(self._idle.popleft())

    async def discard(self, connection: WorkerConnection) -> None:
        """Close a connection."""
        self.opened -= 1
        await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self.discard(self._idle.pop())

    def note_lost(self, connection: WorkerConnection, *, sent_s: float, now_s: float) -> None:
        """Note that a kept connection broke before any answer.

        Args:
            connection: The connection.
            sent_s: Reading of the clock when the request was sent, in seconds.
            now_s: Reading of the clock, in seconds.
        """
        if connection.is_fresh or now_s - sent_s > FORGOTTEN_WITHIN_S:
            return
        idle_s = max(sent_s - connection.idle_since_s, 0.0)
        self._safe_idle_s = max(idle_s / FORGOTTEN_DIVISOR, SHORTEST_IDLE_S)
        self._safe_until_s = now_s + FORGOTTEN_HOLD_S

    def _find_max_idle(self, connection: WorkerConnection, now_s: float) -> float:
        stated_s = self._max_idle_s
        if connection.keep_alive_s is not None:
            stated_s = connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
        return min(stated_s, self._safe_idle_s) if now_s < self._safe_until_s else stated_s

    def _distrust(self, now_s: float) -> None:
        if not self._conventions.echoes_request_id:
            self._distrusted_until_s = now_s + DISTRUST_S

    async def _connect(self, timeout_s: float) -> WorkerConnection:
        sock = Socket(socket.socket(self._family, socket.SOCK_STREAM))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with curio.timeout_after(timeout_s):
                await sock.connect(self._address)
        except BaseException as error:
            await sock.close()
            if isinstance(error, (OSError, curio.TaskTimeout)):
                text = f"worker at {self._authority.decode()} takes no connection"
                raise TrefoilpickError(ErrorKind.UPSTREAM_REFUSED, text) from error
            raise
        self.opened += 1
        return WorkerConnection(sock, self._authority, self._conventions)


def open_pool(
    host: str, port: int, *, max_idle_s: float, conventions: Conventions = OWN_CONVENTIONS
) -> WorkerPool:
    """Open a pool of connections to a worker, without connecting yet.

    Args:
        host: IP address of the worker.
        port: Port of the worker.
        max_idle_s: Idle time after which a connection is not used again, in seconds, where the
            worker states none.
        conventions: Headers of the fleet.
    """
    return WorkerPool(host, port, max_idle_s=max_idle_s, conventions=conventions)
