"""Enforces timeouts of callers' connections: slow heads, unused connections, stalled bodies.

One task checks all callers' connections ten times a second, including their deadlines. A request
needs a timer of its own only if little time is left until its deadline.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.caller_connections import ConnectionState
from trefoilpick.calls import MS_PER_S
from trefoilpick.document import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.caller_connections import CallerConnection, CoarseClock
    from trefoilpick.hopclient import HopPool
    from trefoilpick.settings import RequestSettings
    from trefoilpick.snapshots import SnapshotCell

CHECK_INTERVAL_S = 0.1
"""Interval between checks, in seconds."""

POOL_SWEEP_INTERVAL_S = 1.0
"""Interval between checks for unused connections to other nodes, in seconds."""

RESET_EVENTS = select.POLLHUP | select.POLLERR
"""Poll events of a connection that can no longer be written to."""

CLOSED_EVENTS = select.POLLRDHUP | RESET_EVENTS
"""Poll events of a connection that its caller has closed."""

POLLED_STATES = (ConnectionState.RUNNING, ConnectionState.ANSWERING)
"""States in which nothing reads from the caller, so that only polling shows a closed connection."""

BODY_STATES = (ConnectionState.UPLOADING, ConnectionState.ANSWERING)
"""States in which the idle timeout of bodies applies."""


class ConnectionMonitor:
    """Checks callers' connections for expired timeouts, passed deadlines and closed peers.

    Args:
        settings: Settings of requests.
        pool: Connections to other nodes.
        clock: Clock that it updates at each check.
        cell: Snapshot of the enforced version, which may set limits of callers.

    Attributes:
        connections: All callers' connections.
    """

    def __init__(
        self, settings: RequestSettings, pool: HopPool, clock: CoarseClock, cell: SnapshotCell
    ) -> None:
        self.connections: set[CallerConnection] = set()
        self.clock = clock
        self._cell = cell
        self._pool = pool
        self._body_idle_s = settings.body_idle_ms / MS_PER_S
        self._default_limits = CallerLimits(
            settings.max_head_bytes, settings.head_timeout_ms, settings.keepalive_ms
        )

    @property
    def limits(self) -> CallerLimits:
        """Current limits of callers."""
        snapshot = self._cell.current
        return (snapshot and snapshot.caller_limits) or self._default_limits

    async def run(self) -> None:
        """Check the connections until cancelled."""
        pool_swept_at = 0.0
        expected_at = read_clock()
        while True:
            now = self.clock.now = read_clock()
            self._exclude_delay(now, now - expected_at)
            for connection in list(self._find_expired(now)):
                connection.expire()
            for connection in list(self._find_late(now)):
                connection.handle_deadline()
            for connection in list(self._find_closed()):
                connection.handle_disconnect()
            if now - pool_swept_at >= POOL_SWEEP_INTERVAL_S:
                pool_swept_at = now
                await self._pool.sweep(now)
            expected_at = read_clock() + CHECK_INTERVAL_S
            await curio.sleep(CHECK_INTERVAL_S)

    def _exclude_delay(self, now: float, delay_s: float) -> None:
        """Exclude from the connections' idle times a delay in which the node itself did not run.

        What callers sent in that time may not have been read yet.
        """
        if delay_s <= 0:
            return
        for connection in self.connections:
            connection.last_active_at = min(connection.last_active_at + delay_s, now)

    def _find_expired(self, now: float) -> Iterator[CallerConnection]:
        limits = self.limits
        head_s = limits.head_timeout_ms / MS_PER_S
        limits_s = {
            ConnectionState.NEW: head_s,
            ConnectionState.HEAD: head_s,
            ConnectionState.IDLE: limits.idle_timeout_ms / MS_PER_S,
            ConnectionState.UPLOADING: self._body_idle_s,
            ConnectionState.ANSWERING: self._body_idle_s,
        }
        for connection in self.connections:
            limit_s = limits_s.get(connection.state)
            if connection.state in BODY_STATES and not connection.awaits_caller:
                # It waits for the worker, the link or its turn, which says nothing of the caller.
                continue
            if (
                limit_s is not None
                and now - connection.last_active_at > limit_s
                and not connection.is_expired
            ):
                yield connection

    def _find_late(self, now: float) -> Iterator[CallerConnection]:
        for connection in self.connections:
            if (
                connection.deadline_at is not None
                and now > connection.deadline_at
                and not connection.is_past_deadline
            ):
                yield connection

    def _find_closed(self) -> Iterator[CallerConnection]:
        watched: dict[int, list[CallerConnection]] = {}
        for connection in self.connections:
            if connection.state in POLLED_STATES and not connection.is_disconnected:
                watched.setdefault(connection.sock.fileno(), []).append(connection)
        if not watched:
            return
        poller = select.poll()
        for descriptor in watched:
            poller.register(descriptor, CLOSED_EVENTS)
        for descriptor, events in poller.poll(0):
            for connection in watched[descriptor]:
                if events & RESET_EVENTS or not connection.is_input_shut_down:
                    yield connection
