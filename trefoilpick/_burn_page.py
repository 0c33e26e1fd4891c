"""The burn report as one self-contained HTML page."""

from __future__ import annotations

from dataclasses import dataclass
from html import escape
from typing import TYPE_CHECKING

from trefoilpick._burn_format import (
    MISSING,
    format_burn_rate,
    format_byte_rate,
    format_consumer,
    format_duration,
    format_ms,
    format_share,
    grade_budget,
)
from trefoilpick._html_page import frame_page
from trefoilpick._periods import PERIODS_S
from trefoilpick._plots import Bar, draw_bars, draw_distribution, draw_line

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.burn import BurnReport, ContractBurn

MAX_TIMELINES = 8
"""Maximum number of contracts whose burn rate is plotted over time."""


@dataclass(frozen=True)
class TableCell:
    """Text of a table cell and its CSS class."""

    text: str
    style: str = ""


def build_burn_page(report: BurnReport) -> Iterator[str]:
    """Yield the parts of the HTML page of a burn report."""
    yield from frame_page("Service-level burn", _build_parts(report))


def _build_parts(report: BurnReport) -> Iterator[str]:
    yield from _build_head(report)
    yield from _build_tiles(report)
    yield from _build_contracts(report)
    yield from _build_timelines(report)
    yield from _build_convergence(report)
    yield from _build_control(report)


def _build_head(report: BurnReport) -> Iterator[str]:
    yield "<h1>Service-level burn</h1>"
    yield (
        f"<p>Generated at {escape(report.made_at)} from {report.nodes} nodes. Nodes keep figures in"
        f" memory only: the oldest are {format_duration(report.since_s)} old.</p>"
    )
    if report.unreachable:
        yield "<section><h2>Nodes without figures</h2><ul>"
        for text in report.unreachable:
            yield f"<li>{escape(text)}</li>"
        yield "</ul></section>"


def _build_tiles(report: BurnReport) -> Iterator[str]:
    budgets_left = [entry.budget_left for entry in report.contracts]
    spent = [left for left in budgets_left if left is not None and left <= 0]
    convergence, control = report.convergence, report.control
    mean = control.rates[-1].mean_bytes_per_s if control.rates else 0.0
    is_late = convergence.p99_ms is not None and convergence.p99_ms > convergence.bound_ms
    yield '<div class="tiles">'
    yield _build_tile(
        f"{len(spent)} of {len(report.contracts)}",
        "contracts with a spent error budget",
        "bad" if spent else "good",
    )
    yield _build_tile(
        format_ms(convergence.p99_ms),
        f"convergence, 99th percentile (bound {format_ms(convergence.bound_ms)})",
        "bad" if is_late else "good",
    )
    yield _build_tile(
        format_byte_rate(mean),
        f"mean control traffic per node (bound {format_byte_rate(control.bound_bytes_per_s)})",
        "bad" if mean > control.bound_bytes_per_s else "good",
    )
    yield "</div>"


def _build_tile(value: str, label: str, style: str) -> str:
    return (
        f'<div class="tile"><b class="{style}">{escape(value)}</b>'
        f"<span>{escape(label)}</span></div>"
    )


def _build_contracts(report: BurnReport) -> Iterator[str]:
    yield "<section><h2>Error budget left</h2>"
    bars = [
        Bar(
            f"{entry.team} / {entry.route}",
            entry.budget_left or 0.0,
            format_share(entry.budget_left, digits=0),
            grade_budget(entry.budget_left),
        )
        for entry in report.contracts
    ]
    yield from draw_bars(bars, title="Share of the error budget that is left, by contract")
    yield "</section><section><h2>Contracts</h2>"
    headings = [
        "team",
        "route",
        "objective",
        "met",
        *(f"burn {format_duration(p)}" for p in PERIODS_S),
    ]
    headings += ["p50", "p99", "requests", "bad", "largest consumer"]
    yield from _build_table(
        headings, (_list_cells(entry) for entry in report.contracts), text_columns=2
    )
    yield "<p>A burn rate of 1 spends the budget exactly within its period. Requests that failed"
    yield " through the caller's fault are not counted. Latencies count from each node's start.</p>"
    if report.unrouted:
        yield "<h3>Bad requests without a contract in force</h3>"
        rows = [[TableCell(format_consumer(entry))] for entry in report.unrouted]
        yield from _build_table(["who"], rows, text_columns=1)
    yield "</section>"


def _list_cells(entry: ContractBurn) -> list[TableCell]:
    rates = {rate.period_s: rate.rate for rate in entry.rates}
    return [
        TableCell(entry.team),
        TableCell(entry.route),
        TableCell(f"{entry.availability * 100:g}% in {format_ms(entry.latency_ms)}"),
        TableCell(format_share(entry.met, digits=3), grade_budget(entry.budget_left)),
        *(TableCell(format_burn_rate(rates.get(period_s))) for period_s in PERIODS_S),
        TableCell(format_ms(entry.p50_ms)),
        TableCell(format_ms(entry.p99_ms)),
        TableCell(f"{entry.requests:,}"),
        TableCell(f"{entry.bad:,}"),
        TableCell(format_consumer(entry.burners[0]) if entry.burners else MISSING, "wide"),
    ]


def _build_timelines(report: BurnReport) -> Iterator[str]:
    shown = [entry for entry in report.contracts if entry.bad][:MAX_TIMELINES]
    if not shown:
        return
    yield "<section><h2>Burn rate over time</h2>"
    for entry in shown:
        name = f"{entry.team} / {entry.route}"
        yield f"<h3>{escape(name)}</h3>"
        yield from draw_line(
            [(point.age_s, point.value) for point in entry.timeline],
            title=f"Burn rate of {name} by age",
            bound=1.0,
            bound_text="burn rate 1",
            format_x=_format_age,
            format_y=lambda value: f"{value:g}",
        )
    yield "</section>"


def _build_convergence(report: BurnReport) -> Iterator[str]:
    burn = report.convergence
    yield "<section><h2>Convergence</h2>"
    yield (
        f"<p>{burn.enforcements:,} enforcements (nodes times versions), {burn.late:,} later than"
        f" {format_ms(burn.bound_ms)}. Objective {format_share(burn.share)}, met"
        f" {format_share(burn.met)}, budget left {format_share(burn.budget_left, digits=0)}."
        f" Median {format_ms(burn.p50_ms)}, longest {format_ms(burn.max_ms)}.</p>"
    )
    yield from draw_distribution(
        [(bucket.upper_ms, bucket.count) for bucket in burn.distribution],
        title="Cumulative share of enforcements by time from acceptance",
        bound=burn.bound_ms,
        bound_text=f"bound {format_ms(burn.bound_ms)}",
        format_x=lambda value: f"{value / 1_000:g} s",
    )
    rows = [
        [
            TableCell(entry.data_centre),
            TableCell(f"{entry.enforcements:,}"),
            TableCell(f"{entry.late:,}"),
        ]
        for entry in burn.data_centres
    ]
    yield from _build_table(["data centre", "enforcements", "late"], rows, text_columns=1)
    yield "</section>"


def _build_control(report: BurnReport) -> Iterator[str]:
    burn = report.control
    yield f"<section><h2>Control traffic</h2><p>{burn.total_bytes:,} bytes over all nodes.</p>"
    yield from draw_line(
        [(point.age_s, point.value) for point in burn.timeline],
        title="Mean control traffic per node by age",
        bound=burn.bound_bytes_per_s,
        bound_text=f"bound {format_byte_rate(burn.bound_bytes_per_s)}",
        format_x=_format_age,
        format_y=lambda value: f"{value:,.0f}",
    )
    rows = [
        [
            TableCell(format_duration(rate.period_s)),
            TableCell(format_byte_rate(rate.mean_bytes_per_s)),
            TableCell(format_burn_rate(rate.rate)),
            TableCell(f"{format_byte_rate(rate.max_bytes_per_s)} ({rate.max_vm})"),
            TableCell(str(rate.nodes_over)),
        ]
        for rate in burn.rates
    ]
    yield from _build_table(
        ["period", "mean per node", "burn", "maximum of a node", "nodes over the bound"],
        rows,
        text_columns=1,
    )
    yield "</section>"


def _build_table(
    headings: list[str], rows: Iterable[list[TableCell]], *, text_columns: int
) -> Iterator[str]:
    yield "<table><thead><tr>"
    for index, heading in enumerate(headings):
        is_text = index < text_columns or heading == "largest consumer"
        yield f'<th class="{"text" if is_text else ""}">{escape(heading)}</th>'
    yield "</tr></thead><tbody>"
    for row in rows:
        yield "<tr>"
        for index, cell in enumerate(row):
            style = "text" if index < text_columns else cell.style
            yield f'<td class="{style}">{escape(cell.text)}</td>'
        yield "</tr>"
    yield "</tbody></table>"


def _format_age(age_s: float) -> str:
    return "now" if age_s == 0 else f"-{format_duration(age_s)}"
