"""Order of nested calls and new requests in the queue for a worker.

A nested call belongs to a request that holds a slot elsewhere and fails with it, so it goes before
requests of its priority that have not begun. A fixed share of turns and places is left to these.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from trefoilpick.document import Priority

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpick._fair_queue import FairQueue

PRIORITIES = (Priority.INTERACTIVE.value, Priority.NORMAL.value, Priority.DEFERRABLE.value)
"""Values of `Priority`, highest first."""

NESTED_QUEUES = {priority: f"nested {priority}" for priority in PRIORITIES}
"""Names of the queues of nested calls by priority."""

NESTED_NAMES = frozenset(NESTED_QUEUES.values())
"""Names of the queues of nested calls."""

QUEUE_NAMES = tuple(chain.from_iterable((NESTED_QUEUES[name], name) for name in PRIORITIES))
"""Names of the queues of nested calls and new requests, in the order in which they are served."""

MAX_NESTED_TURNS = 3
"""Largest number of turns in succession that nested calls get while new requests wait, so that
these get at least one turn in four."""

MAX_NESTED_SHARE = MAX_NESTED_TURNS / (MAX_NESTED_TURNS + 1)
"""Largest share of the places in the queue that nested calls take, so that new requests still get
a place and with it their turns."""


FEW_NESTED_PER_SLOT = 1
"""Waiting nested calls per slot below which they are few: a further one is expected to begin within
about one service time."""


class NestedTurns:
    """Chooses the queue whose turn is next.

    Args:
        queues: Queues by name, in the order in which they are served.
    """

    def __init__(self, queues: Mapping[str, FairQueue]) -> None:
        self._queues = queues
        self._nested_turns = 0

    def choose_queue(self) -> FairQueue | None:
        """Return the queue whose next request gets the next slot; None if all are empty."""
        first = next((name for name, queue in self._queues.items() if queue), None)
        if first is None:
            return None
        if first not in NESTED_NAMES or self._nested_turns < MAX_NESTED_TURNS:
            return self._queues[first]
        return self._queues[self._find_new() or first]

    def record_turn(self, name: str) -> None:
        """Record that a request of a queue got a slot."""
        if name in NESTED_NAMES and self._find_new() is not None:
            self._nested_turns += 1
        else:
            self._nested_turns = 0

    def are_nested_few(self, slots: int) -> bool:
        """Return whether so few nested calls wait that a further one begins soon."""
        return self._count_nested() < FEW_NESTED_PER_SLOT * slots

    def has_place(self, limit: int) -> bool:
        """Return whether a queue with a limited number of places has one for a nested call."""
        return self._count_nested() < max(1, int(limit * MAX_NESTED_SHARE))

    def estimate_ahead(self, name: str, caller: str) -> tuple[int, float]:
        """Return the number and work of the requests that go before a new one.

        Args:
            name: Queue of the new request.
            caller: Caller of the new request.

        Returns:
            Number of requests, and their expected total service time, in seconds.
        """
        nested, new, later = _Ahead(), _Ahead(), _Ahead()
        is_before = True
        for queue_name, queue in self._queues.items():
            is_own = queue_name == name
            if is_own:
                ahead = queue.count_ahead(caller), queue.estimate_ahead(caller)
            else:
                ahead = len(queue), queue.work_s
            if is_before:
                (nested if queue_name in NESTED_NAMES else new).add(*ahead)
            elif queue_name in PRIORITIES:
                later.add(*ahead)
            is_before = is_before and not is_own
        if name in NESTED_NAMES:
            later.limit(nested.count // MAX_NESTED_TURNS)
        else:
            nested.limit(MAX_NESTED_TURNS * (new.count + 1))
            later.limit(0)
        parts = (nested, new, later)
        return sum(part.count for part in parts), sum(part.work_s for part in parts)

    def _count_nested(self) -> int:
        return sum(len(self._queues[name]) for name in NESTED_NAMES)

    def _find_new(self) -> str | None:
        """Return the first queue of new requests that is not empty, of any priority."""
        return next((name for name in PRIORITIES if self._queues[name]), None)


class _Ahead:
    """A number of waiting requests and their expected work, in seconds."""

    def __init__(self) -> None:
        self.count = 0
        self.work_s = 0.0

    def add(self, count: int, work_s: float) -> None:
        self.count += count
        self.work_s += work_s

    def limit(self, count: int) -> None:
        """Reduce the number to a maximum, with requests of the mean work."""
        if self.count > count:
            self.work_s *= count / self.count
            self.count = count
