"""The command `explain`: history of a request, or causes of failures, from logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from trefoilpick._console import console, report_errors
from trefoilpick.loglines import count_causes, explain_request, read_logs

UNKNOWN_EXIT = 1
"""Exit code if no log line mentions the request."""


def explain(
    logs: Annotated[list[Path], typer.Argument(help="Logs of nodes.", dir_okay=False)],
    request: Annotated[
        str, typer.Option(help="Identity of a request; if omitted, failures are counted by cause.")
    ] = "",
) -> None:
    """Explain the outcome of a request, or count failures by cause, from the logs of nodes."""
    with report_errors():
        if not request:
            for cause, count in count_causes(read_logs(logs)):
                console.print(f"{count:8} {cause}", highlight=False)
            return
        lines = explain_request(request, read_logs(logs))
        for line in lines:
            text = f"{line.time} {line.vm} {line.event}: {line.value} ({line.details})"
            console.print(text, highlight=False, soft_wrap=True, markup=False)
        if not lines:
            console.print(f'unknown: no log line mentions request "{request}"', highlight=False)
            raise typer.Exit(UNKNOWN_EXIT)
