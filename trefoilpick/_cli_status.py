"""The command `status`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import curio
import typer
from rich.text import Text

from trefoilpick._console import ExitCode, console, create_table, report_errors
from trefoilpick.addresses import split_address
from trefoilpick.fleet import FleetView, NodeView, fetch_fleet_view
from trefoilpick.status import Standing, VersionRef, encode_status

if TYPE_CHECKING:
    from rich.table import Table

STYLES = {
    Standing.UP_TO_DATE: "green",
    Standing.LAGGING: "yellow",
    Standing.REFUSING: "red",
    Standing.UNREACHABLE: "red",
}
"""Colour of each standing."""


def status(
    address: Annotated[str, typer.Argument(help="Operators' port of any node, as ip:port.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    timeout_s: Annotated[
        float, typer.Option("--timeout", min=0.1, max=600.0, help="Time for one node, in seconds.")
    ] = 5.0,
) -> None:
    """Show the versions in force across the fleet, and the lagging nodes with the reasons.

    Exit code 0 if every node enforces the newest version, 1 if a node does not, 3 if the queried
    node cannot be reached.
    """
    with report_errors():
        split_address(address)
    with report_errors(ExitCode.UNAVAILABLE):
        view: FleetView = curio.run(fetch_fleet_view(address, timeout_s=timeout_s))
    if as_json:
        typer.echo(encode_status(view).decode())
    else:
        _print_view(view)
    if view.lagging:
        raise typer.Exit(ExitCode.FAULTY)


def _print_view(view: FleetView) -> None:
    newest = _format_version(view.newest)
    up_to_date = len(view.nodes) - len(view.lagging)
    console.print(
        f"Version [bold]{newest}[/] is in force on {up_to_date} of {len(view.nodes)} nodes,"
        f" as seen from {view.asked}.",
        highlight=False,
    )
    for entry in view.evacuated:
        console.print(
            f'Data centre "{entry.data_centre}" is evacuated, as {entry.nodes} of'
            f" {len(view.nodes)} nodes know.",
            highlight=False,
            markup=False,
        )
    console.print(_build_version_table(view))
    if view.lagging:
        console.print(_build_node_table("Nodes that lag", view.lagging))
    unconfirmed = tuple(node for node in view.nodes if node.unconfirmed)
    if unconfirmed:
        console.print(_build_node_table("Nodes with an unconfirmed version", unconfirmed))
    if view.refused:
        console.print(_build_refusal_table(view))
    if view.quarantine:
        console.print(_build_quarantine_table(view))
    ages = [node.source_age_s for node in view.nodes if node.source_age_s is not None]
    if ages:
        console.print(f"Last confirmed by the source: at most {max(ages):.0f} s ago.")


def _build_version_table(view: FleetView) -> Table:
    convergence = {entry.version: entry for entry in view.convergence}
    nodes = {entry.version: entry.nodes for entry in view.versions}
    table = create_table("Versions")
    for heading in ("version", "nodes", "p50 ms", "max ms", "nodes measured"):
        table.add_column(heading, justify="right")
    for version in sorted({*convergence, *nodes}, reverse=True):
        times = convergence.get(version)
        cells = [f"{times.p50_ms:.0f}", f"{times.max_ms:.0f}", str(times.nodes)] if times else []
        table.add_row(str(version), str(nodes.get(version, 0)), *cells)
    return table


def _build_node_table(title: str, nodes: tuple[NodeView, ...]) -> Table:
    table = create_table(title)
    for heading in ("VM", "data centre", "service", "standing"):
        table.add_column(heading, overflow="fold")
    table.add_column("version", justify="right", no_wrap=True)
    table.add_column("reason", overflow="fold")
    for node in nodes:
        table.add_row(
            node.vm,
            node.data_centre,
            node.service,
            Text(node.standing.value, STYLES[node.standing]),
            str(node.version.number) if node.version else "none",
            Text(node.reason),
        )
    return table


def _build_refusal_table(view: FleetView) -> Table:
    table = create_table("Refused versions")
    table.add_column("version", no_wrap=True)
    table.add_column("nodes", justify="right")
    table.add_column("reason", overflow="fold")
    for entry in view.refused:
        table.add_row(str(entry.version), str(entry.nodes), Text(f"{entry.kind}: {entry.text}"))
    return table


def _build_quarantine_table(view: FleetView) -> Table:
    table = create_table("Requests under which workers ended")
    table.add_column("request", overflow="fold")
    for heading in ("state", "service", "route"):
        table.add_column(heading, overflow="fold")
    for heading in ("ends", "trials", "next trial s", "nodes"):
        table.add_column(heading, justify="right")
    for entry in view.quarantine:
        case = entry.case
        numbers = (case.ends, case.trials, f"{case.wait_s:.0f}", entry.nodes)
        table.add_row(case.fingerprint, case.state, case.service, case.route, *map(str, numbers))
    return table


def _format_version(version: VersionRef | None) -> str:
    return str(version) if version is not None else "none"
