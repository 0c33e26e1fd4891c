from __future__ import annotations

import random

import pytest

from trefoilpick.platform.settings import RETRY_BUDGET_FRACTION
from trefoilpick.retries import MIN_RETRIES_PER_S, RetryBudget, RetryBudgets


@pytest.mark.parametrize("rate", [10, 100, 1_000])
def test_budget_limits_retries_to_a_share_of_requests(rate: int) -> None:
    budget = RetryBudget(0.1, 0.0)
    retry_count = 0
    for number in range(rate * 60):
        now = number / rate
        budget.record_request(now)
        retry_count += budget.consume(now)
    assert retry_count <= 0.1 * rate * 60 + MIN_RETRIES_PER_S * 75
    assert retry_count >= 0.09 * rate * 60


def test_unused_budget_decays_and_is_per_upstream() -> None:
    budgets = RetryBudgets(50)
    for _ in range(10_000):
        budgets.record_request("busy", 0.0)
    assert budgets.consume("busy", 0.0)
    later = sum(budgets.consume("busy", 30.0) for _ in range(10_000))
    assert later <= MIN_RETRIES_PER_S * 10
    quiet = sum(budgets.consume("quiet", 0.0) for _ in range(10_000))
    assert quiet <= MIN_RETRIES_PER_S * 10


def test_retries_are_not_multiplied_across_call_levels() -> None:
    rng = random.Random(1)
    runs = 0

    def call_service(level: int, *, is_retry: bool) -> bool:
        nonlocal runs
        if level == 0:
            runs += 1
            return False
        if call_service(level - 1, is_retry=is_retry):
            return True
        return (
            not is_retry and budgets[level].consume(0.0) and call_service(level - 1, is_retry=True)
        )

    budgets = [RetryBudget(0.1, 0.0) for _ in range(20)]
    for budget in budgets:
        for _ in range(rng.randrange(400, 600)):
            budget.consume(0.0)
            budget.record_request(0.0)
    for _ in range(100):
        call_service(19, is_retry=False)
    assert runs <= 100 * (1 + 19 * 0.1) + 19 * 60


@pytest.mark.parametrize("vms", [2, 10, 79])
def test_shared_budget_holds_in_every_window_under_shedding(
    vms: int,
) -> None:
    """Two services, one calling the other, shed half of their requests after a quiet period."""
    ratio, slack, rate, calls = 0.2, 60, 180.0, 1.4
    percent, reserve = int(100 * ratio * RETRY_BUDGET_FRACTION), int(slack * RETRY_BUDGET_FRACTION)
    budgets = [RetryBudgets(percent, reserve=reserve, count_vms=lambda: vms) for _ in range(vms)]
    rng = random.Random(3)
    requested: list[float] = []
    retried: list[float] = []

    def arrive(service: str, now: float) -> bool:
        """Count a request, and return whether it was shed and retried."""
        budget = budgets[rng.randrange(vms)]
        budget.record_request(service, now)
        return now > 15.0 and rng.random() < 0.55 and budget.consume(service, now)

    for number in range(int(rate * 40)):
        now = number / rate
        runs = 1 + arrive("portafolio", now)
        for run in range(runs):
            for _ in range(int(calls + rng.random())):
                requested.append(now)
                retried += [now] * (run > 0)
                retried += [now] * arrive("encargos", now)
    for begin in retried[::7]:
        retries = sum(begin <= moment < begin + 10.0 for moment in retried)
        requests = sum(begin <= moment < begin + 10.0 for moment in requested)
        assert retries <= ratio * requests + slack
    assert len(retried) >= 0.05 * rate * 25.0
