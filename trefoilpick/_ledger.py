"""The ledger of the demo: what callers sent and were told, against what workers ran."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from trefoilpick.errors import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class CallEnd(Enum):
    """How a call ended, as its caller saw it."""

    ANSWERED = "answered"
    """A whole answer of the worker to this very request."""
    NOT_RUN = "not_run"
    """The system said that it did not run."""
    RUN = "run"
    """The system said that it ran, without the worker's answer."""
    UNKNOWN = "unknown"
    """The system said that it may have run, or the connection broke visibly."""
    CUT = "cut"
    """An answer that looked whole but was not the worker's whole answer to this request."""


@dataclass(frozen=True)
class Call:
    """One call as its caller saw it.

    Attributes:
        request_id: Identity in the `x-request-id` header.
        idempotent: Whether it may run more than once.
        end: How it ended.
        service: Service that answered; empty for none.
    """

    request_id: str
    idempotent: bool
    end: CallEnd
    service: str = ""


@dataclass(frozen=True)
class CallTotals:
    """Totals over all calls.

    Attributes:
        sent: Calls that were made.
        answered: Calls with a whole answer.
        not_run: Calls that were told "not run".
        unknown: Calls that were told "unknown", or "run" without the answer.
        lost: Calls that were answered or told "run" but that no worker ran.
        doubled: Non-idempotent calls that ran more than once.
        cut: Calls whose answer was not whole though it looked whole.
        false_not_run: Calls that were told "not run" but that a worker ran.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    cut: int
    false_not_run: int


END_BY_OUTCOME: dict[Outcome, CallEnd] = {
    Outcome.NOT_RUN: CallEnd.NOT_RUN,
    Outcome.RUN: CallEnd.RUN,
    Outcome.UNKNOWN: CallEnd.UNKNOWN,
}
"""How a call ended that the system answered with an outcome."""


def total_calls(calls: Iterable[Call], runs: Mapping[str, int]) -> CallTotals:
    """Compare what callers were told with what workers ran.

    Args:
        calls: All calls.
        runs: Runs by request identity, summed over all workers.

    Returns:
        The totals.
    """
    ends: Counter[CallEnd] = Counter()
    lost = doubled = false_not_run = 0
    for call in calls:
        ran = runs.get(call.request_id, 0)
        ends[call.end] += 1
        lost += ran == 0 and call.end in (CallEnd.ANSWERED, CallEnd.RUN)
        doubled += ran > 1 and not call.idempotent
        false_not_run += ran > 0 and call.end is CallEnd.NOT_RUN
    return CallTotals(
        sent=ends.total(),
        answered=ends[CallEnd.ANSWERED],
        not_run=ends[CallEnd.NOT_RUN],
        unknown=ends[CallEnd.UNKNOWN] + ends[CallEnd.RUN],
        lost=lost,
        doubled=doubled,
        cut=ends[CallEnd.CUT],
        false_not_run=false_not_run,
    )
