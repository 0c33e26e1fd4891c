"""Retry decisions: whether a request can be retried safely and within its budget."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from trefoilpick.calls import Call

RETRIABLE = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.NOT_LEVEL,
        ErrorKind.DRAINING,
        ErrorKind.TOO_MANY_CONNECTIONS,
        ErrorKind.QUEUE_FULL,
        ErrorKind.SHED,
        ErrorKind.RATE_LIMITED,
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_SHED,
        ErrorKind.UPSTREAM_REPLACED,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_ENDED,
        ErrorKind.UPSTREAM_SILENT,
        ErrorKind.UPSTREAM_FAILED,
        ErrorKind.ANSWER_MALFORMED,
        ErrorKind.INTERNAL,
    }
)
"""Errors after which another worker, or the same one later, may succeed."""

RETRIABLE_ON_SAME_VM = frozenset(
    {ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_ENDED, ErrorKind.ANSWER_MALFORMED}
)
"""Errors after which a retry on the same VM may succeed."""

UNSENT_ERRORS = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.NOT_LEVEL,
        ErrorKind.DRAINING,
        ErrorKind.TOO_MANY_CONNECTIONS,
        ErrorKind.QUEUE_FULL,
        ErrorKind.SHED,
        ErrorKind.RATE_LIMITED,
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.QUARANTINED,
    }
)
"""Errors raised before any worker received the request, so that no worker has spent time on it."""

OVERLOAD_ERRORS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.SHED})
"""Errors that are likely to recur at the next worker."""

LOAD_ERRORS = OVERLOAD_ERRORS | {ErrorKind.RATE_LIMITED, ErrorKind.UPSTREAM_LIMITED}
"""Errors after which callers are advised when to return by the load."""

MAX_WORKER_ENDS = 2
"""Ends of workers under one request after which it is not sent to another one, which would end as
well if the request is at fault."""

MAX_REDIRECTS = 4
"""Redirects to another worker before the error of a refusal is returned to the caller."""

INITIAL_BACKOFF_S = 0.005
"""Upper bound of the first backoff, in seconds; it doubles with each further one."""

MAX_BACKOFF_S = 0.25
"""Largest upper bound of a backoff, in seconds."""

BUDGET_WINDOW_S = 10.0
"""Window over which retries are limited, in seconds."""

SHARED_DECAY_S = 3.0
"""Decay time of the unused part of a budget that all nodes share, in seconds: unused retries
add to those earned within a window, so it is a small fraction of the window."""

MIN_RETRIES_PER_S = 0.2
"""Retries per second that are allowed regardless of the number of requests."""


class RetryBudget:
    """Retry budget of one upstream: a share of its recent requests.

    Args:
        share: Retries per request, from 0 to 1.
        now: Time on the node's clock, in seconds.
        min_per_s: Retries per second that are allowed regardless of the number of requests.
        decay_s: Decay time of the unused budget, in seconds.
    """

    def __init__(
        self,
        share: float,
        now: float,
        *,
        min_per_s: float = MIN_RETRIES_PER_S,
        decay_s: float = BUDGET_WINDOW_S,
    ) -> None:
        self._share = share
        self._min_per_s = min_per_s
        self._decay_s = decay_s
        self._tokens = min_per_s * decay_s
        self._limit = self._tokens
        self._updated_at = now

    def record_request(self, now: float) -> None:
        """Add the share of one request to the budget."""
        self._update(now)
        self._tokens += self._share

    def consume(self, now: float) -> bool:
        """Consume one retry; return False if the budget has none left."""
        self._update(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _update(self, now: float) -> None:
        elapsed_s = max(now - self._updated_at, 0.0)
        self._updated_at = now
        # One retry never decays; otherwise a low request rate would never accumulate a whole one.
        decayed = self._tokens * max(1.0 - elapsed_s / self._decay_s, 0.0)
        retained = min(self._tokens + self._min_per_s * elapsed_s, 1.0)
        self._tokens = max(decayed + self._min_per_s * min(elapsed_s, self._decay_s), retained)


class RetryBudgets:
    """Retry budgets by upstream.

    Args:
        percent: Retries as a percentage of requests.
        reserve: Additional retries that all nodes together may make in `BUDGET_WINDOW_S`; 0
            leaves each node `MIN_RETRIES_PER_S`.
        count_vms: Returns the number of nodes that share the reserve.
    """

    def __init__(
        self, percent: int, *, reserve: int = 0, count_vms: Callable[[], int] = lambda: 1
    ) -> None:
        self._share = percent / 100.0
        self._reserve = reserve
        self._count_vms = count_vms
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, upstream: str, now: float) -> None:
        """Count a request to an upstream."""
        self._find(upstream, now).record_request(now)

    def consume(self, upstream: str, now: float) -> bool:
        """Consume one retry of an upstream's budget; return False if none is left."""
        return self._find(upstream, now).consume(now)

    def _find(self, upstream: str, now: float) -> RetryBudget:
        budget = self._budgets.get(upstream)
        if budget is None:
            budget = self._budgets[upstream] = self._create(now)
        return budget

    def _create(self, now: float) -> RetryBudget:
        if not self._reserve:
            return RetryBudget(self._share, now)
        min_per_s = self._reserve / BUDGET_WINDOW_S / max(self._count_vms(), 1)
        return RetryBudget(self._share, now, min_per_s=min_per_s, decay_s=SHARED_DECAY_S)


def is_retry_safe(call: Call, error: TrefoilpickError) -> bool:
    """Return whether a request can be retried safely after an error.

    That requires that the body can be sent again, and that the attempt is known not to have run or
    the route is idempotent.
    A request with a token can only be retried on the VM that issued the token: if that VM refuses
    work, the caller should request another token.
    """
    if error.kind not in RETRIABLE or not call.body.is_replayable:
        return False
    if call.head.token is not None:
        return error.kind in RETRIABLE_ON_SAME_VM
    if find_answer(error).outcome is Outcome.NOT_RUN:
        return True
    return call.team_route.route.contract.idempotent


@dataclass
class AttemptHistory:
    """Attempts made for one request.

    Attributes:
        vms: Names of the VMs that were tried, in order.
        sent: Attempts that may have reached a worker.
        overload_refusals: Refusals caused by overload.
        max_retry_after_s: Longest retry delay advised by a node that refused, in seconds; 0 if none
            was advised.
        ends: Errors of the failed attempts, each as "VM: kind".
        worker_ends: Attempts during which the worker ended.
        is_trial: Whether the request is tried although it is quarantined.
        fingerprint: Identity of the request, if workers ended under it; empty otherwise.
    """

    vms: list[str] = field(default_factory=list)
    sent: int = 0
    overload_refusals: int = 0
    max_retry_after_s: float = 0.0
    ends: list[str] = field(default_factory=list)
    worker_ends: int = 0
    is_trial: bool = False
    fingerprint: str = ""

    def record_failure(self, error: TrefoilpickError) -> None:
        """Record the error that ended the last attempt."""
        self.ends.append(f"{self.vms[-1] if self.vms else '-'}: {error.kind.value}")
        self.worker_ends += error.kind is ErrorKind.UPSTREAM_ENDED
        if is_unsent(error):
            self.overload_refusals += error.kind in OVERLOAD_ERRORS
            self.max_retry_after_s = max(self.max_retry_after_s, error.retry_after_s or 0.0)
        else:
            self.sent += 1


def is_unsent(error: TrefoilpickError) -> bool:
    """Return whether an attempt failed before any worker received it."""
    return error.kind in UNSENT_ERRORS and find_answer(error).outcome is Outcome.NOT_RUN


def plan_retry(
    call: Call,
    error: TrefoilpickError,
    *,
    attempts: AttemptHistory,
    now: float,
    budgets: RetryBudgets,
    random: random.Random,
) -> float | None:
    """Decide whether to make another attempt.

    Args:
        call: The request.
        error: The error that ended the last attempt.
        attempts: The attempts made so far.
        now: Time on the node's clock, in seconds.
        budgets: Retry budgets.
        random: Random number generator for the jitter.

    Returns:
        The backoff before the next attempt, in seconds; None if no further attempt is made.
    """
    if call.connection.is_head_sent or call.connection.is_disconnected or call.head.is_retry:
        return None
    call.connection.is_exhausted = (
        len(attempts.vms) > 1 or error.kind is ErrorKind.QUARANTINED or attempts.is_trial
    )
    if attempts.is_trial or attempts.worker_ends >= MAX_WORKER_ENDS:
        return None
    if not is_retry_safe(call, error):
        return None
    if is_unsent(error):
        return _plan_redirect(call, attempts, now)
    if attempts.sent > call.team_route.route.contract.retries:
        return None
    backoff_s = random.uniform(
        0.0, min(INITIAL_BACKOFF_S * 2 ** (attempts.sent - 1), MAX_BACKOFF_S)
    )
    if now + backoff_s >= call.deadline_at:
        return None
    if not budgets.consume(call.team_route.upstream.name, now):
        call.connection.is_exhausted = True
        return None
    return backoff_s


def _plan_redirect(call: Call, attempts: AttemptHistory, now: float) -> float | None:
    counted = attempts.sent + attempts.overload_refusals
    if len(attempts.vms) > MAX_REDIRECTS or counted > call.team_route.route.contract.retries:
        return None
    return 0.0 if now < call.deadline_at else None
