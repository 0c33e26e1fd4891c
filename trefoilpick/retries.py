"""When a request is tried again: only where nothing can run twice, and within a budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer

if TYPE_CHECKING:
    import random

    from trefoilpick.calls import Call

RETRIABLE = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.NOT_LEVEL,
        ErrorKind.DRAINING,
        ErrorKind.TOO_MANY_CONNECTIONS,
        ErrorKind.QUEUE_FULL,
        ErrorKind.SHED,
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_SHED,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.ANSWER_MALFORMED,
        ErrorKind.INTERNAL,
    }
)
"""Errors after which another worker, or another moment, may do better."""

WORTH_THE_SAME_VM = frozenset({ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_MALFORMED})
"""Errors after which the same VM may do better."""

FIRST_PAUSE_S = 0.005
"""Upper bound of the first pause, in seconds; it doubles for each further one."""

MAX_PAUSE_S = 0.25
"""Longest upper bound of a pause, in seconds."""

BUDGET_WINDOW_S = 10.0
"""Time in which an unused budget fades, in seconds."""

BUDGET_FLOOR_PER_S = 0.2
"""Further attempts per second that are allowed whatever the number of requests."""


class RetryBudget:
    """Further attempts that one upstream may get: a share of its recent requests.

    Args:
        share: Further attempts for each request, from 0 to 1.
        now: Time on the node's clock, in seconds.
    """

    def __init__(self, share: float, now: float) -> None:
        self._share = share
        self._tokens = BUDGET_FLOOR_PER_S * BUDGET_WINDOW_S
        self._limit = self._tokens
        self._updated_at = now

    def note_request(self, now: float) -> None:
        """Add the share of one request."""
        self._update(now)
        self._tokens += self._share

    def take(self, now: float) -> bool:
        """Spend a further attempt, if the budget has one."""
        self._update(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _update(self, now: float) -> None:
        passed_s = max(now - self._updated_at, 0.0)
        self._updated_at = now
        faded = self._tokens * max(1.0 - passed_s / BUDGET_WINDOW_S, 0.0)
        self._tokens = faded + BUDGET_FLOOR_PER_S * min(passed_s, BUDGET_WINDOW_S)


class RetryBudgets:
    """The budgets of all upstreams.

    Args:
        percent: Further attempts as a share of requests, in percent.
    """

    def __init__(self, percent: int) -> None:
        self._share = percent / 100.0
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, upstream: str, now: float) -> None:
        """Note a request to an upstream."""
        self._find(upstream, now).note_request(now)

    def take(self, upstream: str, now: float) -> bool:
        """Spend a further attempt of an upstream's budget, if there is one."""
        return self._find(upstream, now).take(now)

    def _find(self, upstream: str, now: float) -> RetryBudget:
        budget = self._budgets.get(upstream)
        if budget is None:
            budget = self._budgets[upstream] = RetryBudget(self._share, now)
        return budget


def may_run_again(call: Call, error: TrefoilpickError) -> bool:
    """Tell whether a further attempt can do no harm after an error.

    The attempt provably did not run, or the route is idempotent; and the body can be sent again.
    With a token only the VM that gave it can do better: where it refuses work, the caller does
    best to take another token.
    """
    if error.kind not in RETRIABLE or not call.body.is_replayable:
        return False
    if call.head.token is not None:
        return error.kind in WORTH_THE_SAME_VM
    if find_answer(error).outcome is Outcome.NOT_RUN:
        return True
    return call.team_route.route.contract.idempotent


def plan_retry(
    call: Call,
    error: TrefoilpickError,
    *,
    attempts: int,
    now: float,
    budgets: RetryBudgets,
    random: random.Random,
) -> float | None:
    """Decide on a further attempt.

    Args:
        call: The request.
        error: What ended the last attempt.
        attempts: Attempts that were made.
        now: Time on the node's clock, in seconds.
        budgets: Bounds of further attempts.
        random: Source of the jitter.

    Returns:
        The pause before the next attempt, in seconds; None where there must be none.
    """
    if call.link.head_sent or call.link.is_gone or call.head.is_retry:
        return None
    call.link.is_exhausted = attempts > 1
    if attempts > call.team_route.route.contract.retries or not may_run_again(call, error):
        return None
    pause_s = random.uniform(0.0, min(FIRST_PAUSE_S * 2 ** (attempts - 1), MAX_PAUSE_S))
    if now + pause_s >= call.deadline_at:
        return None
    if not budgets.take(call.team_route.upstream.name, now):
        call.link.is_exhausted = True
        return None
    return pause_s
