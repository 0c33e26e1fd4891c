"""Open hops, and the one task that notices which of them their callers' nodes closed."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from curio.traps import _read_wait

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick._hoplinks import HopLink

_DEPARTED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLONESHOT


class OpenHops:
    """All open hops of a node.

    An epoll instance of its own tells of closed hops while the tasks that serve them wait for
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
        """Watch a hop."""
        descriptor = link.hop.sock.fileno()
        self._links[descriptor] = link
        self._events.register(descriptor, _DEPARTED)

    def remove(self, link: HopLink) -> None:
        """Watch a hop no longer; it must not be closed yet."""
        descriptor = link.hop.sock.fileno()
        del self._links[descriptor]
        self._events.unregister(descriptor)

    async def watch(self) -> None:
        """Give up requests whose caller's node closed the hop, until cancelled."""
        while True:
            await _read_wait(self._events)
            for descriptor, _ in self._events.poll(0):
                link = self._links.get(descriptor)
                if link is None:
                    continue
                link.departed = True
                if link.cancellable and not link.idle:
                    await link.task.cancel(blocking=False)
