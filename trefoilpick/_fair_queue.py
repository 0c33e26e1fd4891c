"""Queue of waiting requests that is fair to callers; admission uses one for each priority."""

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
    """A request that waits for a slot.

    Attributes:
        caller: Identity of the caller, for fairness.
        priority: Name of its queue: a value of `Priority`, or another queue of admission.
        deadline_s: Clock reading at which the request expires, in seconds.
        objective_s: Clock reading after which its answer is late, in seconds.
        service_s: Expected service time, in seconds.
        wait_until_s: Clock reading until which it may wait in the delayed queue, in seconds.
        decided: Set once the request is admitted or refused.
        refusal: Why it was refused; None if it was admitted.
    """

    caller: str
    priority: str
    deadline_s: float
    objective_s: float = math.inf
    service_s: float = 0.0
    wait_until_s: float = math.inf
    decided: curio.Event = field(default_factory=curio.Event)
    refusal: TrefoilpickError | None = None


class FairQueue:
    """Waiting requests of one priority, served round robin by caller and FIFO within a caller."""

    def __init__(self) -> None:
        self._callers: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self._length = 0
        self.work_s = 0.0
        """Expected service time of all waiting requests, in seconds."""

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Waiter]:
        for waiters in list(self._callers.values()):
            yield from list(waiters)

    def append(self, waiter: Waiter) -> None:
        """Add a request behind the waiting ones of the same caller."""
        self._callers.setdefault(waiter.caller, deque()).append(waiter)
        self._update_totals(waiter, 1)

    def pop_next(self) -> Waiter:
        """Remove and return the next request to be served."""
        caller, waiters = next(iter(self._callers.items()))
        waiter = waiters.popleft()
        self._update_totals(waiter, -1)
        if waiters:
            self._callers.move_to_end(caller)
        else:
            del self._callers[caller]
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request at any position."""
        waiters = self._callers[waiter.caller]
        waiters.remove(waiter)
        self._update_totals(waiter, -1)
        if not waiters:
            del self._callers[waiter.caller]

    def count_caller(self, caller: str) -> int:
        """Return the number of waiting requests of a caller."""
        return len(self._callers.get(caller, ()))

    def count_ahead(self, caller: str) -> int:
        """Return the number of waiting requests that are served before a new one of a caller."""
        own = self.count_caller(caller)
        return sum(min(len(waiters), own + 1) for waiters in self._callers.values())

    def estimate_ahead(self, caller: str) -> float:
        """Return the expected total service time of the requests of `count_ahead`, in seconds."""
        if not self._length:
            return 0.0
        return self.work_s * self.count_ahead(caller) / self._length

    def _update_totals(self, waiter: Waiter, change: int) -> None:
        self._length += change
        self.work_s = self.work_s + change * waiter.service_s if self._length else 0.0

    def find_newest_of_longest(self) -> Waiter:
        """Return the newest request of the caller with the most waiting requests."""
        return max(self._callers.values(), key=len)[-1]
