"""Requests that wait for a slot, in a line for each priority."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.errors import TrefoilpickError


@dataclass(eq=False)
class Waiter:
    """One request in the queue.

    Attributes:
        caller: Identity of the caller, for fairness.
        priority: Value of `Priority`.
        deadline_s: Reading of the clock at which the request is given up, in seconds.
        objective_s: Reading of the clock at which its answer is late, in seconds.
        service_s: Time that the worker is expected to take, in seconds.
        patience_s: Reading of the clock until which it waits behind all others, in seconds.
        decided: Set when the request was let in or refused.
        refusal: Why it was refused; None where it was let in.
    """

    caller: str
    priority: str
    deadline_s: float
    objective_s: float = math.inf
    service_s: float = 0.0
    patience_s: float = math.inf
    decided: curio.Event = field(default_factory=curio.Event)
    refusal: TrefoilpickError | None = None


class Line:
    """Waiting requests of one priority: callers take turns, each in order of arrival."""

    def __init__(self) -> None:
        self._callers: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self._length = 0
        self.work_s = 0.0
        """Time that the worker is expected to take for all of them, in seconds."""

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Waiter]:
        for waiters in list(self._callers.values()):
            yield from list(waiters)

    def append(self, waiter: Waiter) -> None:
        """Add a request behind those of its caller."""
        self._callers.setdefault(waiter.caller, deque()).append(waiter)
        self._note(waiter, 1)

    def take_next(self) -> Waiter:
        """Remove and return the request whose turn it is."""
        caller, waiters = next(iter(self._callers.items()))
        waiter = waiters.popleft()
        self._note(waiter, -1)
        if waiters:
            self._callers.move_to_end(caller)
        else:
            del self._callers[caller]
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request wherever it stands."""
        waiters = self._callers[waiter.caller]
        waiters.remove(waiter)
        self._note(waiter, -1)
        if not waiters:
            del self._callers[waiter.caller]

    def count_caller(self, caller: str) -> int:
        """Return how many requests of a caller wait."""
        return len(self._callers.get(caller, ()))

    def count_ahead(self, caller: str) -> int:
        """Return how many requests go before a new one of a caller."""
        own = self.count_caller(caller)
        return sum(min(len(waiters), own + 1) for waiters in self._callers.values())

    def estimate_ahead(self, caller: str) -> float:
        """Return the work of the requests that go before a new one of a caller, in seconds."""
        if not self._length:
            return 0.0
        return self.work_s * self.count_ahead(caller) / self._length

    def _note(self, waiter: Waiter, change: int) -> None:
        self._length += change
        self.work_s = self.work_s + change * waiter.service_s if self._length else 0.0

    def find_newest_of_longest(self) -> Waiter:
        """Return the newest request of the caller that has the most in the line."""
        return max(self._callers.values(), key=len)[-1]
