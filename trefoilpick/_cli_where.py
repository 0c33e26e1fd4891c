"""The command `where`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated
from urllib.parse import urlencode

import curio
import typer
from rich.text import Text

from trefoilpick._console import ExitCode, console, create_table, report_errors
from trefoilpick.addresses import split_address
from trefoilpick.fleet import query_node
from trefoilpick.status import Choice, UpstreamChoice, encode_status

if TYPE_CHECKING:
    from rich.table import Table


def where(
    address: Annotated[str, typer.Argument(help="Operators' port of the node, as ip:port.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    host: Annotated[str, typer.Option(help="Host header of the request.")] = "*",
    method: Annotated[str, typer.Option(help="HTTP method of the request.")] = "GET",
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    timeout_s: Annotated[
        float, typer.Option("--timeout", min=0.1, max=600.0, help="Time limit, in seconds.")
    ] = 5.0,
) -> None:
    """Show where a node would send a request now, and why, without sending it.

    Exit code 0 if a worker may get it, 1 if none may or no route matches, 3 if the node cannot be
    reached.
    """
    with report_errors():
        split_address(address)
    target = "/where?" + urlencode({"host": host, "method": method, "path": path})
    with report_errors(ExitCode.UNAVAILABLE):
        choice: Choice = curio.run(query_node(address, target, Choice, timeout_s=timeout_s))
    if as_json:
        typer.echo(encode_status(choice).decode())
    else:
        _print_choice(choice)
    if not choice.has_available:
        raise typer.Exit(ExitCode.FAULTY)


def _print_choice(choice: Choice) -> None:
    version = choice.version if choice.version is not None else "none"
    console.print(f"Node {choice.vm}, version {version}", highlight=False, markup=False)
    if choice.refusal:
        console.print(f"The request is refused: {choice.refusal}", highlight=False, markup=False)
        return
    console.print(f"Route {choice.route} of team {choice.team}", highlight=False, markup=False)
    for upstream in choice.upstreams:
        console.print(_build_candidate_table(upstream))


def _build_candidate_table(upstream: UpstreamChoice) -> Table:
    table = create_table(f"Workers of {upstream.upstream} (weight {upstream.weight})")
    for heading in ("VM", "data centre", "excluded"):
        table.add_column(heading, overflow="fold")
    for heading in ("cost", "utilisation", "limit 1/s"):
        table.add_column(heading, justify="right")
    for candidate in upstream.candidates:
        limit = "" if candidate.rate_limit is None else f"{candidate.rate_limit:g}"
        table.add_row(
            candidate.vm,
            candidate.data_centre,
            Text(candidate.excluded, "yellow"),
            f"{candidate.cost:.3f}",
            f"{candidate.utilisation:.2f}",
            limit,
        )
    return table
