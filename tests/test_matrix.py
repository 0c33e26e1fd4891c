import pytest
from matrix_breakages import BREAKAGES, Breakage
from matrix_cells import run_cell
from matrix_table import Cell, Expected, Fault, Step, list_cells

CELLS = list(list_cells())
POSSIBLE = [cell for cell in CELLS if cell.expected is not Expected.IMPOSSIBLE]


def test_matrix_covers_every_step_and_fault() -> None:
    single = {(cell.step, cell.fault) for cell in CELLS if cell.second_fault is None}
    assert single == {(step, fault) for step in Step for fault in Fault}
    assert all(cell.reason for cell in CELLS if cell.expected is Expected.IMPOSSIBLE)


@pytest.mark.parametrize("cell", POSSIBLE, ids=lambda cell: cell.name)
def test_expected_outcome_holds(cell: Cell) -> None:
    run_cell(cell)


@pytest.mark.task_errors
@pytest.mark.parametrize("breakage", BREAKAGES, ids=lambda breakage: breakage.name)
def test_breakage_fails_its_cell(breakage: Breakage) -> None:
    with breakage.apply(), pytest.raises(AssertionError):
        run_cell(breakage.cell)
