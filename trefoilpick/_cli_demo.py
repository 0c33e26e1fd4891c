"""The command `demo`."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Annotated

import curio
import msgspec
import typer

from trefoilpick._console import ExitCode, console, report_errors
from trefoilpick.logs import LOGGER_NAME

if TYPE_CHECKING:
    from trefoilpick.demo import DemoResult


def demo(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object as the last line.")
    ] = False,
) -> None:
    """Run the fleet of Quillqa in this process, with several versions, a drain and a killed VM.

    Exit code 0 if all guarantees were met, 1 otherwise.
    """
    # Imported here to keep the demo out of a node's memory.
    from trefoilpick.demo import run_demo

    logging.getLogger(LOGGER_NAME).addHandler(logging.NullHandler())
    with report_errors(ExitCode.UNAVAILABLE):
        result: DemoResult = curio.run(run_demo(on_step=_print_step))
    if as_json:
        typer.echo(msgspec.json.encode(result).decode())
    else:
        _show_result(result)
    if not result.has_met_guarantees:
        raise typer.Exit(ExitCode.FAULTY)


def _print_step(line: str) -> None:
    console.print(f"[cyan]•[/] {line}", highlight=False)


def _show_result(result: DemoResult) -> None:
    requests = result.requests
    console.print(
        f"\n{requests.sent} requests: {requests.answered} answered, {requests.not_run} not run,"
        f" {requests.unknown} unknown; [bold]{requests.lost} lost, {requests.doubled} doubled,"
        f" {requests.cut} cut[/]"
    )
    console.print(
        f"{result.source_reads} reads of the source, {result.control_bytes} bytes of control"
    )
    console.print(
        "[green]all guarantees met[/]"
        if result.has_met_guarantees
        else "[red]a guarantee was violated[/]"
    )
