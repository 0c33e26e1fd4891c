"""Bounded pool of persistent HTTP/1.1 connections to the worker of a node."""

from __future__ import annotations

import socket
from collections import deque

import curio
from curio.io import Socket

from trefoilpick._clock import read_clock
from trefoilpick._worker_connections import KEEP_ALIVE_MARGIN_S, WorkerConnection
from trefoilpick.conventions import DEFAULT_CONVENTIONS, Conventions
from trefoilpick.errors import ErrorKind, TrefoilpickError

NO_REUSE_S = 60.0
"""Time for which no connection is reused after surplus bytes, in seconds."""

DROPPED_WITHIN_S = 0.02
"""Time after sending within which a reset shows that the worker had dropped the connection, in
seconds: many times the latency to a worker on the same VM, and less than a request takes."""

SAFE_IDLE_DIVISOR = 2
"""The idle time of a dropped connection, divided by this, is assumed to be safe: the worker dropped
the connection at an unknown earlier time."""

MIN_SAFE_IDLE_S = 0.05
"""Idle time that is always assumed to be safe, in seconds: less would prevent any reuse."""

SAFE_IDLE_DURATION_S = 10.0
"""Time for which a safe idle time applies, in seconds; after it, the normal one applies again."""


class WorkerPool:
    """Pool of persistent connections to one worker; the least recently used is reused first.

    If a worker sends surplus bytes after an answer, they could be mistaken for the answer to the
    next request. So for a while no connection to it is reused, unless its answers carry request
    IDs. The least recently used connection is reused first for the same reason: late bytes become
    visible before the next use. Where answers carry IDs, only a connection with an answer that has
    none, or that refuses the request of the same ID, is not reused.

    A worker may drop a connection without closing it. The next request on it is then reset, which
    does not prove that the request did not run. So once a reset was observed, connections are
    reused only after shorter idle times.

    Args:
        host: IP address of the worker.
        port: Port of the worker.
        max_idle_s: Idle time after which a connection is not reused, in seconds, if the worker
            states none.
        conventions: Headers of the fleet.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        max_idle_s: float,
        conventions: Conventions = DEFAULT_CONVENTIONS,
    ) -> None:
        self._address = (host, port)
        self._authority = f"{host}:{port}".encode()
        self._family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._max_idle_s = max_idle_s
        self._conventions = conventions
        self._idle: deque[WorkerConnection] = deque()
        self._open: set[WorkerConnection] = set()
        self._no_reuse_until_s = 0.0
        self._safe_idle_s = 0.0
        self._safe_until_s = 0.0

    @property
    def open_count(self) -> int:
        """Number of open connections, idle or in use."""
        return len(self._open)

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(
        self,
        *,
        connect_timeout_s: float,
        now_s: float,
        must_be_new: bool = False,
        prefer_most_recent: bool = False,
        request_id: str = "",
    ) -> WorkerConnection:
        """Return an idle connection that is open and has no unread input, or a new one.

        Args:
            connect_timeout_s: Timeout of connecting, in seconds.
            now_s: Current clock reading, in seconds.
            must_be_new: Whether a new connection is required.
            prefer_most_recent: Whether to prefer the most recently used connection, which is the
                least likely to have been dropped.
            request_id: ID of the request; a connection on which the worker refused it before is
                not reused, as that refusal may arrive once more.

        Raises:
            TrefoilpickError: `UPSTREAM_REFUSED`; nothing was sent.
        """
        while self._idle:
            connection = self._idle.pop() if prefer_most_recent else self._idle.popleft()
            is_reusable = connection.is_reusable()
            if connection.has_surplus_bytes:
                self._suspend_reuse(now_s)
            is_recent = now_s - connection.idle_since_s <= self._find_max_idle(connection, now_s)
            is_safe = not must_be_new and now_s >= self._no_reuse_until_s
            if is_reusable and is_recent and is_safe and not connection.has_refused(request_id):
                return connection
            await self.discard(connection)
        return await self._connect(connect_timeout_s)

    async def release(
        self, connection: WorkerConnection, *, max_connections: int, now_s: float | None = None
    ) -> None:
        """Keep a connection for the next request, or close it.

        Args:
            connection: A connection whose request ended.
            max_connections: Number of connections that the worker accepts.
            now_s: Current clock reading, in seconds; by default the clock is read.
        """
        now_s = read_clock() if now_s is None else now_s
        is_reusable = connection.prepare_reuse()
        if connection.has_surplus_bytes:
            self._suspend_reuse(now_s)
        if is_reusable and now_s >= self._no_reuse_until_s:
            connection.idle_since_s = now_s
            self._idle.append(connection)
        else:
            await self.discard(connection)
        while self._idle and self.open_count > max_connections:
            await self.discard(self._idle.popleft())

    async def discard(self, connection: WorkerConnection) -> None:
        """Close a connection that this pool opened."""
        self._open.discard(connection)
        await connection.close()

    async def drop_idle(self, *, before_s: float) -> None:
        """Close the idle connections on which nothing arrived since a time.

        Args:
            before_s: Clock reading, in seconds; connections idle since before it are closed.
        """
        for connection in [c for c in self._idle if c.idle_since_s < before_s]:
            self._idle.remove(connection)
            await self.discard(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self.discard(self._idle.pop())

    async def is_refused(self, timeout_s: float) -> bool:
        """Return whether the worker refuses a new connection and has closed all of its others.

        A worker at its limit refuses connections as well, but keeps those that it has.

        Args:
            timeout_s: Timeout of connecting, in seconds.
        """
        try:
            await self.discard(await self._connect(timeout_s))
        except TrefoilpickError as error:
            is_refused = isinstance(error.__cause__, ConnectionError)
            return is_refused and not self.has_open_connection()
        return False

    def has_open_connection(self) -> bool:
        """Return whether the worker has left any connection open."""
        return any(connection.is_open() for connection in self._open)

    def record_lost_connection(
        self, connection: WorkerConnection, *, sent_s: float, now_s: float
    ) -> None:
        """Record that a connection broke before the worker answered on it.

        Args:
            connection: The connection.
            sent_s: Clock reading when the request was sent, in seconds.
            now_s: Current clock reading, in seconds.
        """
        if connection.is_fresh or now_s - sent_s > DROPPED_WITHIN_S:
            return
        idle_s = max(sent_s - connection.idle_since_s, 0.0)
        self._safe_idle_s = max(idle_s / SAFE_IDLE_DIVISOR, MIN_SAFE_IDLE_S)
        self._safe_until_s = now_s + SAFE_IDLE_DURATION_S

    def _find_max_idle(self, connection: WorkerConnection, now_s: float) -> float:
        stated_s = self._max_idle_s
        if connection.keep_alive_s is not None:
            stated_s = connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
        return min(stated_s, self._safe_idle_s) if now_s < self._safe_until_s else stated_s

    def _suspend_reuse(self, now_s: float) -> None:
        if not self._conventions.echoes_request_id:
            self._no_reuse_until_s = now_s + NO_REUSE_S

    async def _connect(self, timeout_s: float) -> WorkerConnection:
        sock = Socket(socket.socket(self._family, socket.SOCK_STREAM))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with curio.timeout_after(timeout_s):
                await sock.connect(self._address)
        except BaseException as error:
            await sock.close()
            if isinstance(error, (OSError, curio.TaskTimeout)):
                text = f"worker at {self._authority.decode()} does not accept a connection"
                raise TrefoilpickError(ErrorKind.UPSTREAM_REFUSED, text) from error
            raise
        connection = WorkerConnection(sock, self._authority, self._conventions)
        self._open.add(connection)
        return connection


def open_pool(
    host: str, port: int, *, max_idle_s: float, conventions: Conventions = DEFAULT_CONVENTIONS
) -> WorkerPool:
    """Create an empty pool of connections to a worker.

    Args:
        host: IP address of the worker.
        port: Port of the worker.
        max_idle_s: Idle time after which a connection is not reused, in seconds, if the worker
            states none.
        conventions: Headers of the fleet.
    """
    return WorkerPool(host, port, max_idle_s=max_idle_s, conventions=conventions)
