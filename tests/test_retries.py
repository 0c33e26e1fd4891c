from __future__ import annotations

import random

import pytest

from trefoilpick.retries import BUDGET_FLOOR_PER_S, RetryBudget, RetryBudgets


@pytest.mark.parametrize("rate", [10, 100, 1_000])
def test_budget_bounds_further_attempts_to_a_share(rate: int) -> None:
    budget = RetryBudget(0.1, 0.0)
    taken = 0
    for number in range(rate * 60):
        now = number / rate
        budget.note_request(now)
        taken += budget.take(now)
    assert taken <= 0.1 * rate * 60 + BUDGET_FLOOR_PER_S * 75
    assert taken >= 0.09 * rate * 60


def test_unused_budget_fades_and_upstreams_do_not_share_it() -> None:
    budgets = RetryBudgets(50)
    for _ in range(10_000):
        budgets.note_request("busy", 0.0)
    assert budgets.take("busy", 0.0)
    later = sum(budgets.take("busy", 30.0) for _ in range(10_000))
    assert later <= BUDGET_FLOOR_PER_S * 10
    quiet = sum(budgets.take("quiet", 0.0) for _ in range(10_000))
    assert quiet <= BUDGET_FLOOR_PER_S * 10


def test_levels_do_not_multiply_attempts() -> None:
    chance = random.Random(1)
    runs = 0

    def call(level: int, *, is_retry: bool) -> bool:
        nonlocal runs
        if level == 0:
            runs += 1
            return False
        if call(level - 1, is_retry=is_retry):
            return True
        return not is_retry and budgets[level].take(0.0) and call(level - 1, is_retry=True)

    budgets = [RetryBudget(0.1, 0.0) for _ in range(20)]
    for budget in budgets:
        for _ in range(chance.randrange(400, 600)):
            budget.take(0.0)
            budget.note_request(0.0)
    for _ in range(100):
        call(19, is_retry=False)
    assert runs <= 100 * (1 + 19 * 0.1) + 19 * 60


@pytest.mark.parametrize("vms", [2, 10, 79])
def test_shared_budget_holds_in_every_window_when_a_service_sheds_half(vms: int) -> None:
    """All nodes meet a service that sheds every other arrival, after a calm time to save in."""
    share, reserve, rate = 0.13, 39, 320.0
    budgets = [RetryBudgets(13, reserve=reserve, count_vms=lambda: vms) for _ in range(vms)]
    chance = random.Random(3)
    taken: list[float] = []
    for number in range(int(rate * 40)):
        now = number / rate
        budget = budgets[chance.randrange(vms)]
        budget.note_request("encargos", now)
        if now > 15.0 and chance.random() < 0.55 and budget.take("encargos", now):
            taken.append(now)
    for begin in taken:
        spent = sum(begin <= moment < begin + 10.0 for moment in taken)
        assert spent <= share / 0.65 * rate * 10.0 + reserve / 0.65
    assert len(taken) >= 0.9 * share * rate * 25.0
