"""When a request is tried again: only where nothing can run twice, and within a budget."""

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
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_SHED,
        ErrorKind.UPSTREAM_REPLACED,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_SILENT,
        ErrorKind.UPSTREAM_FAILED,
        ErrorKind.ANSWER_MALFORMED,
        ErrorKind.INTERNAL,
    }
)
"""Errors after which another worker, or another moment, may do better."""

WORTH_THE_SAME_VM = frozenset({ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_MALFORMED})
"""Errors after which the same VM may do better."""

UNSENT = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.NOT_LEVEL,
        ErrorKind.DRAINING,
        ErrorKind.TOO_MANY_CONNECTIONS,
        ErrorKind.QUEUE_FULL,
        ErrorKind.SHED,
        ErrorKind.UPSTREAM_REFUSED,
    }
)
"""Errors before any worker saw the request: another worker may be asked at no cost to any."""

OVERLOADS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.SHED})
"""Errors that are likely to meet the request at the next worker too."""

MAX_REDIRECTS = 4
"""Workers whose nodes may refuse a request before its caller is told."""

FIRST_PAUSE_S = 0.005
"""Upper bound of the first pause, in seconds; it doubles for each further one."""

MAX_PAUSE_S = 0.25
"""Longest upper bound of a pause, in seconds."""

BUDGET_WINDOW_S = 10.0
"""Time over which further attempts are bounded, in seconds."""

SHARED_FADE_S = 3.0
"""Time in which an unused part of a budget that all nodes share fades, in seconds: what was saved
comes on top of what a window brings, so it is a small part of one."""

BUDGET_FLOOR_PER_S = 0.2
"""Further attempts per second that are allowed whatever the number of requests."""


class RetryBudget:
    """Further attempts that one upstream may get: a share of its recent requests.

    Args:
        share: Further attempts for each request, from 0 to 1.
        now: Time on the node's clock, in seconds.
        floor_per_s: Further attempts per second that are allowed whatever the number of requests.
        fade_s: Time in which what is unused fades, in seconds.
    """

    def __init__(
        self,
        share: float,
        now: float,
        *,
        floor_per_s: float = BUDGET_FLOOR_PER_S,
        fade_s: float = BUDGET_WINDOW_S,
    ) -> None:
        self._share = share
        self._floor_per_s = floor_per_s
        self._fade_s = fade_s
        self._tokens = floor_per_s * fade_s
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
        # A single attempt never fades, or a slow trickle would never add up to one.
        faded = self._tokens * max(1.0 - passed_s / self._fade_s, 0.0)
        single = min(self._tokens + self._floor_per_s * passed_s, 1.0)
        self._tokens = max(faded + self._floor_per_s * min(passed_s, self._fade_s), single)


class RetryBudgets:
    """The budgets of all upstreams.

    Args:
        percent: Further attempts as a share of requests, in percent.
        reserve: Further attempts that all nodes may make besides in `BUDGET_WINDOW_S`; 0 leaves
            each node `BUDGET_FLOOR_PER_S`.
        count_vms: Returns the number of nodes that share the reserve.
    """

    def __init__(
        self, percent: int, *, reserve: int = 0, count_vms: Callable[[], int] = lambda: 1
    ) -> None:
        self._share = percent / 100.0
        self._reserve = reserve
        self._count_vms = count_vms
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
            budget = self._budgets[upstream] = self._open(now)
        return budget

    def _open(self, now: float) -> RetryBudget:
        if not self._reserve:
            return RetryBudget(self._share, now)
        floor_per_s = self._reserve / BUDGET_WINDOW_S / max(self._count_vms(), 1)
        return RetryBudget(self._share, now, floor_per_s=floor_per_s, fade_s=SHARED_FADE_S)


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


@dataclass
class Tries:
    """What was tried for one request.

    Attributes:
        vms: Names of the VMs that were asked.
        sent: Attempts that may have reached a worker.
        overloaded: Nodes that refused for want of room.
        longest_advice_s: Longest time after which a node that refused wants to be asked again, in
            seconds; 0 where none said so.
        ends: Why each attempt that failed did, as "VM: kind".
    """

    vms: list[str] = field(default_factory=list)
    sent: int = 0
    overloaded: int = 0
    longest_advice_s: float = 0.0
    ends: list[str] = field(default_factory=list)

    def note(self, error: TrefoilpickError) -> None:
        """Take note of how the last attempt ended."""
        self.ends.append(f"{self.vms[-1] if self.vms else '-'}: {error.kind.value}")
        if is_unsent(error):
            self.overloaded += error.kind in OVERLOADS
            self.longest_advice_s = max(self.longest_advice_s, error.retry_after_s or 0.0)
        else:
            self.sent += 1


def is_unsent(error: TrefoilpickError) -> bool:
    """Tell whether no worker saw the attempt that an error ended."""
    return error.kind in UNSENT and find_answer(error).outcome is Outcome.NOT_RUN


def plan_retry(
    call: Call,
    error: TrefoilpickError,
    *,
    tries: Tries,
    now: float,
    budgets: RetryBudgets,
    random: random.Random,
) -> float | None:
    """Decide on a further attempt.

    Args:
        call: The request.
        error: What ended the last attempt.
        tries: Attempts that were made.
        now: Time on the node's clock, in seconds.
        budgets: Bounds of further attempts.
        random: Source of the jitter.

    Returns:
        The pause before the next attempt, in seconds; None where there must be none.
    """
    if call.link.head_sent or call.link.is_gone or call.head.is_retry:
        return None
    call.link.is_exhausted = len(tries.vms) > 1
    if not may_run_again(call, error):
        return None
    if is_unsent(error):
        return _plan_redirect(call, tries, now)
    if tries.sent > call.team_route.route.contract.retries:
        return None
    pause_s = random.uniform(0.0, min(FIRST_PAUSE_S * 2 ** (tries.sent - 1), MAX_PAUSE_S))
    if now + pause_s >= call.deadline_at:
        return None
    if not budgets.take(call.team_route.upstream.name, now):
        call.link.is_exhausted = True
        return None
    return pause_s


def _plan_redirect(call: Call, tries: Tries, now: float) -> float | None:
    weighty = tries.sent + tries.overloaded
    if len(tries.vms) > MAX_REDIRECTS or weighty > call.team_route.route.contract.retries:
        return None
    return 0.0 if now < call.deadline_at else None
