"""Comparison of the results of calls with the requests that workers ran."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from trefoilpick.errors import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class CallResult(Enum):
    """Results of a call as its caller saw it."""

    ANSWERED = "answered"
    """The worker's complete answer to this request."""
    NOT_RUN = "not_run"
    """An error that says that the request did not run."""
    RUN = "run"
    """An error that says that the request ran, without the worker's answer."""
    UNKNOWN = "unknown"
    """An error that says that the request may have run, or a broken connection."""
    CUT = "cut"
    """An answer that seemed complete but was not the worker's answer to this request."""


@dataclass(frozen=True)
class Call:
    """One call as its caller saw it.

    Attributes:
        request_id: Value of its `x-request-id` header.
        idempotent: Whether it may run more than once.
        result: How it ended.
        service: Service that answered; empty without an answer.
    """

    request_id: str
    idempotent: bool
    result: CallResult
    service: str = ""


@dataclass(frozen=True)
class CallTotals:
    """Totals over all calls.

    Attributes:
        sent: All calls.
        answered: Calls with a complete answer.
        not_run: Calls reported as "not run".
        unknown: Calls reported as "unknown", or as "run" without the answer.
        lost: Calls answered or reported as "run" that no worker ran.
        doubled: Non-idempotent calls that ran more than once.
        cut: Calls whose answer seemed complete but was not.
        false_not_run: Calls reported as "not run" that a worker ran.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    cut: int
    false_not_run: int


RESULT_BY_OUTCOME: dict[Outcome, CallResult] = {
    Outcome.NOT_RUN: CallResult.NOT_RUN,
    Outcome.RUN: CallResult.RUN,
    Outcome.UNKNOWN: CallResult.UNKNOWN,
}
"""Results of failed calls, by the outcome in the error."""


def total_calls(calls: Iterable[Call], runs: Mapping[str, int]) -> CallTotals:
    """Compare callers' results with the requests that workers ran.

    Args:
        calls: All calls.
        runs: Number of runs by request ID, summed over all workers.

    Returns:
        The totals.
    """
    results: Counter[CallResult] = Counter()
    lost = doubled = false_not_run = 0
    for call in calls:
        run_count = runs.get(call.request_id, 0)
        results[call.result] += 1
        lost += run_count == 0 and call.result in (CallResult.ANSWERED, CallResult.RUN)
        doubled += run_count > 1 and not call.idempotent
        false_not_run += run_count > 0 and call.result is CallResult.NOT_RUN
    return CallTotals(
        sent=results.total(),
        answered=results[CallResult.ANSWERED],
        not_run=results[CallResult.NOT_RUN],
        unknown=results[CallResult.UNKNOWN] + results[CallResult.RUN],
        lost=lost,
        doubled=doubled,
        cut=results[CallResult.CUT],
        false_not_run=false_not_run,
    )
