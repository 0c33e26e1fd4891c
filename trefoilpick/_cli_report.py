"""The commands `report burn` and `report logs`."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import curio
import typer
from rich.text import Text

from trefoilpick._burn_format import (
    format_burn_rate,
    format_byte_rate,
    format_duration,
    format_ms,
    format_share,
    grade_budget,
)
from trefoilpick._burn_page import build_burn_page
from trefoilpick._console import ExitCode, console, create_table, report_errors
from trefoilpick._log_page import build_log_page
from trefoilpick.addresses import split_address
from trefoilpick.burn import BurnReport, build_burn_report
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.fleet import query_node, query_nodes
from trefoilpick.loglines import read_logs
from trefoilpick.logreports import build_log_report
from trefoilpick.reports import NodeReport
from trefoilpick.status import FleetStatus, Standing, encode_status

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rich.table import Table

    from trefoilpick.burn import ContractBurn

MAX_SHOWN_CONSUMERS = 3
"""Maximum number of budget consumers per contract that the terminal shows."""

STYLES = {"good": "green", "warn": "yellow", "bad": "bold red"}

report = typer.Typer(
    help="Reports on the whole fleet, merged from figures of its nodes.", no_args_is_help=True
)


@report.callback()
def choose_report() -> None:
    """Merge figures of the nodes into a report."""


@report.command()
def burn(
    addresses: Annotated[
        list[str],
        typer.Argument(help="Operators' ports as ip:port; a single node is asked for all others."),
    ],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    html: Annotated[
        Path | None, typer.Option(help="Write one HTML page to this file.", dir_okay=False)
    ] = None,
    timeout_s: Annotated[
        float,
        typer.Option(
            "--timeout", min=0.1, max=600.0, help="Timeout of the query of one node, in seconds."
        ),
    ] = 10.0,
) -> None:
    """Show error budgets, burn rates and budget consumers of every contract and of the fleet.

    Exit code 0 if the report covers every node and no budget is spent, 1 if a budget is spent, 3
    if the figures of a node are missing.
    """
    with report_errors():
        for address in addresses:
            split_address(address)
    with report_errors(ExitCode.UNAVAILABLE):
        burn_report: BurnReport = curio.run(_collect_burn(addresses, timeout_s))
    if html is not None:
        with report_errors():
            _write_file(html, build_burn_page(burn_report))
    if as_json:
        typer.echo(encode_status(burn_report).decode())
    else:
        _show_burn(burn_report)
    if burn_report.unreachable:
        raise typer.Exit(ExitCode.UNAVAILABLE)
    if burn_report.is_budget_spent:
        raise typer.Exit(ExitCode.FAULTY)


@report.command()
def logs(
    paths: Annotated[list[Path], typer.Argument(help="Logs of nodes.", dir_okay=False)],
    html: Annotated[Path, typer.Option(help="Write one HTML page to this file.", dir_okay=False)],
) -> None:
    """Plot load, failures by cause, latency and versions in force from the logs of nodes."""
    with report_errors():
        summary = build_log_report(read_logs(paths))
        _write_file(html, build_log_page(summary))
    console.print(
        f"{summary.nodes} nodes, {format_duration(summary.span_s)}: {summary.requests:,} requests,"
        f" {summary.failed:,} failed; page in {html}",
        highlight=False,
    )


async def _collect_burn(addresses: Sequence[str], timeout_s: float) -> BurnReport:
    missing: list[str] = []
    operator_addresses = list(addresses)
    if len(operator_addresses) == 1:
        fleet = await query_node(operator_addresses[0], "/fleet", FleetStatus, timeout_s=timeout_s)
        for peer in fleet.peers:
            if peer.operator_address and peer.standing is not Standing.UNREACHABLE:
                operator_addresses.append(peer.operator_address)
            else:
                missing.append(f"{peer.vm}: {peer.reason or 'unreachable'}")
    answers = await query_nodes(operator_addresses, "/report", NodeReport, timeout_s=timeout_s)
    reports = [answer for answer in answers.values() if isinstance(answer, NodeReport)]
    failed = [answer for answer in answers.values() if isinstance(answer, TrefoilpickError)]
    if not reports:
        raise failed[0]
    missing += [error.text for error in failed]
    made_at = datetime.now(UTC).isoformat(timespec="seconds")
    return build_burn_report(reports, made_at=made_at, unreachable=missing)


def _write_file(path: Path, parts: Iterable[str]) -> None:
    try:
        path.write_text("".join(parts), encoding="utf-8")
    except OSError as error:
        text = f'"{path}" cannot be written: {error.strerror}'
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text) from error


def _show_burn(burn_report: BurnReport) -> None:
    console.print(
        f"{burn_report.nodes} nodes; their figures are kept in memory only and are at most"
        f" {format_duration(burn_report.since_s)} old.",
        highlight=False,
    )
    console.print(_build_contracts_table(burn_report))
    if burn_report.unrouted or any(entry.burners for entry in burn_report.contracts):
        console.print(_build_consumers_table(burn_report))
    console.print(_build_fleet_table(burn_report))
    for text in burn_report.unreachable:
        console.print(Text(f"no figures: {text}", "yellow"))


def _build_contracts_table(burn_report: BurnReport) -> Table:
    periods = sorted({rate.period_s for entry in burn_report.contracts for rate in entry.rates})
    table = create_table("Contracts: objective, compliance, budget left, burn rate by period")
    table.add_column("contract", overflow="fold")
    for heading in ("objective", "met", "left", *(format_duration(p) for p in periods)):
        table.add_column(heading, justify="right")
    for entry in burn_report.contracts:
        table.add_row(*_build_contract_row(entry, periods))
    return table


def _build_contract_row(entry: ContractBurn, periods: list[float]) -> list[str | Text]:
    rates = {rate.period_s: rate.rate for rate in entry.rates}
    style = STYLES[grade_budget(entry.budget_left)]
    return [
        f"{entry.team} / {entry.route}",
        f"{entry.availability * 100:g}% in {format_ms(entry.latency_ms)}",
        format_share(entry.met, digits=3),
        Text(format_share(entry.budget_left, digits=0), style),
        *(format_burn_rate(rates.get(period_s)) for period_s in periods),
    ]


def _build_consumers_table(burn_report: BurnReport) -> Table:
    table = create_table("Budget consumers")
    for heading in ("contract", "data centre", "kind"):
        table.add_column(heading, overflow="fold")
    for heading in ("requests", "share"):
        table.add_column(heading, justify="right")
    consumers = [
        consumer
        for entry in burn_report.contracts
        for consumer in entry.burners[:MAX_SHOWN_CONSUMERS]
    ]
    for consumer in (*consumers, *burn_report.unrouted):
        table.add_row(
            f"{consumer.team} / {consumer.route}" if consumer.route else "no contract in force",
            consumer.data_centre,
            consumer.kind,
            f"{consumer.requests:,}",
            f"{consumer.share:.0%}",
        )
    return table


def _build_fleet_table(burn_report: BurnReport) -> Table:
    convergence, control = burn_report.convergence, burn_report.control
    table = create_table("Fleet")
    for heading in ("fleet", "bound", "met"):
        table.add_column(heading, overflow="fold")
    for heading in ("burn", "greatest"):
        table.add_column(heading, justify="right")
    for rate in convergence.rates:
        table.add_row(
            f"convergence, {format_duration(rate.period_s)}",
            f"{format_share(convergence.share, digits=1)} in {format_ms(convergence.bound_ms)}",
            f"{rate.enforcements - rate.late:,} of {rate.enforcements:,}",
            format_burn_rate(rate.rate),
            format_ms(convergence.max_ms),
        )
    for control_rate in control.rates:
        table.add_row(
            f"control traffic, {format_duration(control_rate.period_s)}",
            f"{format_byte_rate(control.bound_bytes_per_s)} per node",
            format_byte_rate(control_rate.mean_bytes_per_s),
            format_burn_rate(control_rate.rate),
            f"{format_byte_rate(control_rate.max_bytes_per_s)} ({control_rate.max_vm})",
        )
    return table
