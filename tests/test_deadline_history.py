from __future__ import annotations

import pytest

from trefoilpick.deadline_history import DEADLINE_TTL_S, DeadlineHistory, compute_retry_after


def test_elapsed_time_is_the_difference_to_the_longest_deadline() -> None:
    history = DeadlineHistory()
    assert history.estimate_elapsed("t", "r", 2_500, 0.0) == 0
    assert history.estimate_elapsed("t", "r", 2_000, 1.0) == 500
    assert history.estimate_elapsed("t", "r", 2_500, 2.0) == 0
    assert history.estimate_elapsed("t", "other", 400, 2.0) == 0
    assert history.estimate_elapsed("t", "r", None, 2.0) == 0


def test_the_longest_deadline_expires() -> None:
    history = DeadlineHistory()
    history.estimate_elapsed("t", "r", 2_500, 0.0)
    assert history.estimate_elapsed("t", "r", 1_000, DEADLINE_TTL_S + 1) == 0
    assert history.estimate_elapsed("t", "r", 900, DEADLINE_TTL_S + 2) == 100


def test_the_first_retry_is_early_and_later_ones_are_spread() -> None:
    """If an overload outlasts the objective, the last attempt should come after it."""
    fresh = compute_retry_after(0.05, elapsed_ms=0, objective_ms=400, remaining_s=2.4)
    assert fresh == 0.05
    later = compute_retry_after(0.05, elapsed_ms=120, objective_ms=400, remaining_s=2.4)
    assert later == pytest.approx(0.8)
    assert compute_retry_after(1.5, elapsed_ms=900, objective_ms=400, remaining_s=1.2) == 1.5
