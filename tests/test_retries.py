from __future__ import annotations

import random

import pytest

from trefoilpick.platform.settings import RETRY_SHARE
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
def test_shared_budget_holds_in_every_window_when_services_shed_and_call_each_other(
    vms: int,
) -> None:
    """Half of two services' requests are shed after a calm time, and one calls the other."""
    ratio, slack, rate, calls = 0.2, 60, 180.0, 1.4
    percent, reserve = int(100 * ratio * RETRY_SHARE), int(slack * RETRY_SHARE)
    budgets = [RetryBudgets(percent, reserve=reserve, count_vms=lambda: vms) for _ in range(vms)]
    chance = random.Random(3)
    arrived: list[float] = []
    repeated: list[float] = []

    def arrive(service: str, now: float) -> bool:
        """Note a request, and tell whether it was shed and tried again."""
        budget = budgets[chance.randrange(vms)]
        budget.note_request(service, now)
        return now > 15.0 and chance.random() < 0.55 and budget.take(service, now)

    for number in range(int(rate * 40)):
        now = number / rate
        runs = 1 + arrive("portafolio", now)
        for run in range(runs):
            for _ in range(int(calls + chance.random())):
                arrived.append(now)
                repeated += [now] * (run > 0)
                repeated += [now] * arrive("encargos", now)
    for begin in repeated[::7]:
        spent = sum(begin <= moment < begin + 10.0 for moment in repeated)
        requests = sum(begin <= moment < begin + 10.0 for moment in arrived)
        assert spent <= ratio * requests + slack
    assert len(repeated) >= 0.05 * rate * 25.0
