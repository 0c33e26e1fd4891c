"""Enforces timeouts of callers' connections: slow heads, unused connections, stalled bodies.

One task checks all callers' connections ten times a second, including long deadlines. The request
path therefore needs no timer unless little time is left.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.callerlinks import LinkState
from trefoilpick.calls import MS_PER_S
from trefoilpick.document import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.callerlinks import CallerLink, CoarseClock
    from trefoilpick.hopclient import HopPool
    from trefoilpick.settings import RequestSettings

CHECK_INTERVAL_S = 0.1
"""Interval between checks, in seconds."""

POOL_SWEEP_INTERVAL_S = 1.0
"""Interval between checks for unused connections to other nodes, in seconds."""

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Poll events of a connection that its caller has closed."""

POLLED_STATES = (LinkState.RUNNING, LinkState.ANSWERING)
"""States in which nothing reads from the caller, so that only polling shows a closed connection."""


class ConnectionMonitor:
    """Checks callers' connections for expired timeouts, passed deadlines and closed peers.

    Args:
        settings: Settings of requests.
        pool: Connections to other nodes.
        clock: Clock that it updates at each check.

    Attributes:
        links: All callers' connections.
        limits: Current limits of callers.
    """

    def __init__(self, settings: RequestSettings, pool: HopPool, clock: CoarseClock) -> None:
        self.links: set[CallerLink] = set()
        self.clock = clock
        self._pool = pool
        self._body_idle_s = settings.body_idle_ms / MS_PER_S
        self.limits = CallerLimits(
            settings.max_head_bytes, settings.head_timeout_ms, settings.keepalive_ms
        )

    async def run(self) -> None:
        """Check the connections until cancelled."""
        pool_swept_at = 0.0
        while True:
            now = self.clock.now = read_clock()
            for link in list(self._find_expired(now)):
                link.expire()
            for link in list(self._find_late(now)):
                link.note_late()
            for link in list(self._find_closed()):
                link.note_gone()
            if now - pool_swept_at >= POOL_SWEEP_INTERVAL_S:
                pool_swept_at = now
                await self._pool.sweep(now)
            await curio.sleep(CHECK_INTERVAL_S)

    def _find_expired(self, now: float) -> Iterator[CallerLink]:
        head_s = self.limits.head_timeout_ms / MS_PER_S
        limits_s = {
            LinkState.NEW: head_s,
            LinkState.HEAD: head_s,
            LinkState.IDLE: self.limits.idle_timeout_ms / MS_PER_S,
            LinkState.UPLOADING: self._body_idle_s,
            LinkState.ANSWERING: self._body_idle_s,
        }
        for link in self.links:
            limit_s = limits_s.get(link.state)
            if limit_s is not None and now - link.touched_at > limit_s and not link.is_expired:
                yield link

    def _find_late(self, now: float) -> Iterator[CallerLink]:
        for link in self.links:
            if link.deadline_at is not None and now > link.deadline_at and not link.is_late:
                yield link

    def _find_closed(self) -> Iterator[CallerLink]:
        watched: dict[int, list[CallerLink]] = {}
        for link in self.links:
            if link.state in POLLED_STATES and not link.is_gone:
                watched.setdefault(link.sock.fileno(), []).append(link)
        if not watched:
            return
        poller = select.poll()
        for descriptor in watched:
            poller.register(descriptor, CLOSED_EVENTS)
        for descriptor, _events in poller.poll(0):
            yield from watched[descriptor]
