"""Log lines of single requests: one for each decision that ends one, within a budget.

Lines of requests that went well are few, those of failures many; what a budget leaves out is
counted and told with the next line of its kind.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.budgets import Budget
from trefoilpick.logs import LOGGER_NAME

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from trefoilpick.metrics import Metrics


class RequestEvent(Enum):
    """What a line of a request tells."""

    REQUEST = "request"
    """How a caller's request ended, at the node that took it."""
    RUN = "run"
    """How a request ended at the node beside the worker."""


GOOD_RESULTS = frozenset({"good", "slow"})
"""Results of requests that a worker answered."""

GOOD_PER_S = 2.0
"""Lines per second and event of requests that went well: a sample, at 0.01% of a core where a line
takes 50 us."""

FAILED_PER_S = 20.0
"""Lines per second and event of requests that failed: 0.1% of a core."""

BURST_S = 10.0
"""Time whose lines may come at once, in seconds: a whole window of a burst of failures."""


class RequestLog:
    """Writes lines of requests.

    Args:
        fields: Fields that every line has.
        metrics: Where lines that were left out are counted.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(
        self,
        fields: Mapping[str, object],
        metrics: Metrics,
        *,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._fields = dict(fields)
        self._metrics = metrics
        self._clock = clock
        self._logger = logging.getLogger(LOGGER_NAME)
        self._budgets: dict[tuple[RequestEvent, bool], Budget] = {}
        self._omitted: Counter[tuple[RequestEvent, bool]] = Counter()

    def take(self, event: RequestEvent, *, failed: bool) -> bool:
        """Tell whether a line may be written now, before its fields are gathered."""
        budget = self._budgets.get((event, failed))
        if budget is None:
            rate = FAILED_PER_S if failed else GOOD_PER_S
            budget = Budget(rate, rate * BURST_S, clock=self._clock)
            self._budgets[event, failed] = budget
        if budget.try_take():
            return True
        self._omitted[event, failed] += 1
        self._metrics.count("trefoilpick_log_lines_omitted_total", event=event.value)
        return False

    def write(self, event: RequestEvent, value: str, *, failed: bool, **fields: object) -> None:
        """Write a line for which `take` gave leave.

        Args:
            event: What the line tells.
            value: How it ended.
            failed: Whether it ended badly.
            fields: What decided it.
        """
        omitted = self._omitted.pop((event, failed), 0)
        if omitted:
            fields["omitted_before"] = omitted
        level = logging.WARNING if failed else logging.INFO
        extra = {**self._fields, **fields, "event": event.value, "value": value}
        self._logger.log(level, f"{event.value}: {value}", extra=extra)


def open_request_log(vm: str, *, incarnation: int, metrics: Metrics) -> RequestLog:
    """Open the log of one node's requests."""
    return RequestLog({"vm": vm, "incarnation": incarnation}, metrics)
