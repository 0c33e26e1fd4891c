from __future__ import annotations

from trefoilpick.patience import MEMORY_S, PatienceTable


def test_a_caller_that_comes_back_leaves_less_time_than_at_first() -> None:
    table = PatienceTable()
    assert table.measure_elapsed("t", "r", 2_500, 0.0) == 0
    assert table.measure_elapsed("t", "r", 2_000, 1.0) == 500
    assert table.measure_elapsed("t", "r", 2_500, 2.0) == 0
    assert table.measure_elapsed("t", "other", 400, 2.0) == 0
    assert table.measure_elapsed("t", "r", None, 2.0) == 0


def test_shorter_deadlines_are_taken_for_whole_ones_after_a_while() -> None:
    table = PatienceTable()
    table.measure_elapsed("t", "r", 2_500, 0.0)
    assert table.measure_elapsed("t", "r", 1_000, MEMORY_S + 1) == 0
    assert table.measure_elapsed("t", "r", 900, MEMORY_S + 2) == 100
