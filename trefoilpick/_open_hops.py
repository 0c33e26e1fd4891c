"""Open hops, and the task that detects which of them were closed by their peers."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from curio.traps import _read_wait

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick._hop_links import HopLink

_CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLONESHOT


class OpenHops:
    """All open hops of a node.

    A separate epoll instance detects closed hops while the tasks that serve them wait for
    something else.
    """

    def __init__(self) -> None:
        self._links: dict[int, HopLink] = {}
        self._events = select.epoll()

    def __len__(self) -> int:
        return len(self._links)

    def __iter__(self) -> Iterator[HopLink]:
        return iter(list(self._links.values()))

    def add(self, link: HopLink) -> None:
        """Add a hop and watch whether it is closed."""
        descriptor = link.hop.sock.fileno()
        self._links[descriptor] = link
        self._events.register(descriptor, _CLOSED_EVENTS)

    def remove(self, link: HopLink) -> None:
        """Stop watching a hop, before its socket is closed."""
        descriptor = link.hop.sock.fileno()
        del self._links[descriptor]
        self._events.unregister(descriptor)

    async def watch(self) -> None:
        """Cancel the requests of hops that the caller's node closed, until cancelled itself."""
        while True:
            await _read_wait(self._events)
            for descriptor, _ in self._events.poll(0):
                link = self._links.get(descriptor)
                if link is None:
                    continue
                link.closed_by_peer = True
                if link.cancellable and not link.idle:
                    await link.task.cancel(blocking=False)
