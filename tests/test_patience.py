from __future__ import annotations

import pytest

from trefoilpick.patience import MEMORY_S, PatienceTable, advise_pause


def test_elapsed_time_is_the_difference_to_the_longest_deadline() -> None:
    table = PatienceTable()
    assert table.measure_elapsed("t", "r", 2_500, 0.0) == 0
    assert table.measure_elapsed("t", "r", 2_000, 1.0) == 500
    assert table.measure_elapsed("t", "r", 2_500, 2.0) == 0
    assert table.measure_elapsed("t", "other", 400, 2.0) == 0
    assert table.measure_elapsed("t", "r", None, 2.0) == 0


def test_the_longest_deadline_expires() -> None:
    table = PatienceTable()
    table.measure_elapsed("t", "r", 2_500, 0.0)
    assert table.measure_elapsed("t", "r", 1_000, MEMORY_S + 1) == 0
    assert table.measure_elapsed("t", "r", 900, MEMORY_S + 2) == 100


def test_the_first_retry_is_early_and_later_ones_are_spread() -> None:
    """In a burst longer than the objective, the last attempt must come after the burst."""
    fresh = advise_pause(0.05, elapsed_ms=0, objective_ms=400, left_s=2.4)
    assert fresh == 0.05
    again = advise_pause(0.05, elapsed_ms=120, objective_ms=400, left_s=2.4)
    assert again == pytest.approx(0.8)
    assert advise_pause(1.5, elapsed_ms=900, objective_ms=400, left_s=1.2) == 1.5
