"""Output of the command line: consoles, tables and errors."""

from __future__ import annotations

from contextlib import contextmanager
from enum import IntEnum
from typing import TYPE_CHECKING

import typer
from rich import box
from rich.console import Console
from rich.table import Table

from trefoilpick.errors import TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Iterator

console = Console()
error_console = Console(stderr=True)


def create_table(title: str) -> Table:
    """Return an empty table with a title and without a frame."""
    return Table(title=title, title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAULTY = 1
    """The input has faults, or a checked condition is not met."""
    USAGE = 2
    """The arguments of the command are invalid."""
    UNAVAILABLE = 3
    """A node or the platform did not answer."""


@contextmanager
def report_errors(code: ExitCode = ExitCode.USAGE) -> Iterator[None]:
    """Print a `TrefoilpickError` on one line and exit with a code."""
    try:
        yield
    except TrefoilpickError as error:
        error_console.print(f"[bold red]error[/] ({error.kind.value}): ", end="")
        error_console.print(error.text, markup=False, highlight=False, soft_wrap=True)
        raise typer.Exit(code) from error
