"""Runs one cell of the matrix; run as a script, it runs all cells and prints the matrix."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fakes_tasks import raise_task_errors
from matrix_lifecycle import run_lifecycle_cell
from matrix_requests import run_request_cell
from matrix_table import LIFECYCLE_STEPS, VERSION_STEPS, Cell, Expected, Fault, Step, list_cells
from matrix_versions import run_version_cell
from rich.console import Console
from rich.table import Table


def find_runner(cell: Cell) -> Callable[[Cell], None]:
    if cell.step in VERSION_STEPS:
        return run_version_cell
    return run_lifecycle_cell if cell.step in LIFECYCLE_STEPS else run_request_cell


def run_cell(cell: Cell) -> None:
    """Run one cell.

    Raises:
        AssertionError: The expected outcome or a guarantee does not hold.
    """
    with raise_task_errors():
        find_runner(cell)(cell)


def render_result(cell: Cell) -> str:
    if cell.expected is Expected.IMPOSSIBLE:
        return "[dim]–[/]"
    try:
        run_cell(cell)
    except AssertionError:
        return "[bold red]FAIL[/]"
    return "[green]ok[/]"


def print_matrix() -> bool:
    """Print the results of all cells by step and fault; return whether none failed."""
    logging.disable(logging.CRITICAL)
    console = Console(width=200)
    table = Table("step", *[fault.value for fault in Fault])
    marks = {cell: render_result(cell) for cell in list_cells()}
    for step in Step:
        row = [
            next(
                m
                for c, m in marks.items()
                if (c.step, c.fault, c.second_fault) == (step, fault, None)
            )
            for fault in Fault
        ]
        table.add_row(step.value, *row)
    console.print(table)
    for cell, mark in marks.items():
        if cell.second_fault:
            console.print(f"{mark} {cell.name}")
    reasons = {cell.reason for cell in marks if cell.reason}
    for reason in sorted(reasons):
        console.print(f"[dim]–[/] {reason}")
    failed = sum("FAIL" in mark for mark in marks.values())
    impossible = sum(cell.expected is Expected.IMPOSSIBLE for cell in marks)
    passed = len(marks) - failed - impossible
    console.print(f"{passed} cells passed, {failed} failed, {impossible} impossible")
    return failed == 0


if __name__ == "__main__":
    raise SystemExit(0 if print_matrix() else 1)
