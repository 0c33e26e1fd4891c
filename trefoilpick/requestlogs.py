"""Rate-limited log lines, one for the end of each request.

Successful requests have a smaller budget of lines than failed ones. Lines beyond the budget are
omitted and counted, and the next line of the same kind gives their number.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.logs import LOGGER_NAME
from trefoilpick.ratelimits import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from trefoilpick.metrics import Metrics


class RequestEvent(Enum):
    """Events of a request that are logged."""

    REQUEST = "request"
    """The end of a caller's request, at the node that received it from the caller."""
    RUN = "run"
    """The end of a request at the node beside the worker."""


SUCCESSFUL_RESULTS = frozenset({"good", "slow"})
"""Results of requests that a worker answered."""

SUCCESS_LINES_PER_S = 2.0
"""Lines per second and event of successful requests: a sample that costs 0.01% of a core at 50 us
per line."""

FAILURE_LINES_PER_S = 20.0
"""Lines per second and event of failed requests: 0.1% of a core at 50 us per line."""

BURST_S = 10.0
"""Burst of lines, in seconds at the full rate: covers a whole window of failures."""


class RequestLog:
    """Writes log lines of requests, limited to a rate for each event and result.

    Args:
        fields: Fields of every line.
        metrics: Counters of the node; omitted lines are counted there.
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
        self._budgets: dict[tuple[RequestEvent, bool], TokenBucket] = {}
        self._omitted: Counter[tuple[RequestEvent, bool]] = Counter()

    def try_acquire(self, event: RequestEvent, *, failed: bool) -> bool:
        """Use up budget for one line, and return whether the line may be written.

        Call this before collecting the fields of the line. If it returns False, the line is counted
        as omitted.
        """
        budget = self._budgets.get((event, failed))
        if budget is None:
            rate = FAILURE_LINES_PER_S if failed else SUCCESS_LINES_PER_S
            budget = TokenBucket(rate, rate * BURST_S, clock=self._clock)
            self._budgets[event, failed] = budget
        if budget.try_acquire():
            return True
        self._omitted[event, failed] += 1
        self._metrics.count("trefoilpick_log_lines_omitted_total", event=event.value)
        return False

    def write(self, event: RequestEvent, value: str, *, failed: bool, **fields: object) -> None:
        """Write a line that `try_acquire` allowed.

        Args:
            event: The event.
            value: How the request ended.
            failed: Whether the request failed.
            fields: Further fields of the line.
        """
        omitted = self._omitted.pop((event, failed), 0)
        if omitted:
            fields["omitted_before"] = omitted
        level = logging.WARNING if failed else logging.INFO
        extra = {**self._fields, **fields, "event": event.value, "value": value}
        self._logger.log(level, f"{event.value}: {value}", extra=extra)


def open_request_log(vm: str, *, incarnation: int, metrics: Metrics) -> RequestLog:
    """Open the request log of one node."""
    return RequestLog({"vm": vm, "incarnation": incarnation}, metrics)
