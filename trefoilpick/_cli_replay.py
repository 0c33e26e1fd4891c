"""The command `replay`."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer
from rich.table import Table

from trefoilpick._console import ExitCode, console, report_errors
from trefoilpick.logs import LOGGER_NAME

if TYPE_CHECKING:
    from trefoilpick.replay import ReplayReport

DEFAULT_SEED = 1


def replay(
    traces: Annotated[
        list[Path], typer.Argument(help="Trace files, as JSON lines.", dir_okay=False)
    ],
    seed: Annotated[int, typer.Option(help="Seed of every random choice.")] = DEFAULT_SEED,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON line per trace.")] = False,
) -> None:
    """Replay traces against the code of the nodes and check the expected outcomes.

    Exits with code 0 if all of them hold, and with 1 otherwise.
    """
    # Imported here so that a node does not load the replay into its memory.
    from trefoilpick.replay import replay_trace
    from trefoilpick.traces import read_trace

    logging.getLogger(LOGGER_NAME).addHandler(logging.NullHandler())
    holds = True
    for path in traces:
        with report_errors():
            report = replay_trace(read_trace(path), seed=seed)
        holds = holds and report.holds
        _show_report(path.name, report, as_json=as_json)
    if not holds:
        raise typer.Exit(ExitCode.FAULTY)


def _show_report(name: str, report: ReplayReport, *, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
        return
    table = Table(title=name, title_justify="left")
    table.add_column("holds")
    table.add_column("expected outcome")
    table.add_column("observed")
    for verdict in report.verdicts:
        mark = "[green]yes[/]" if verdict.holds else "[bold red]no[/]"
        table.add_row(mark, verdict.outcome, verdict.detail)
    console.print(table)
