"""The burn report as one HTML page that needs nothing else."""

from __future__ import annotations

from dataclasses import dataclass
from html import escape
from typing import TYPE_CHECKING

from trefoilpick._burn_texts import (
    NOTHING,
    grade_budget,
    write_burner,
    write_bytes,
    write_ms,
    write_rate,
    write_share,
    write_span,
)
from trefoilpick._periods import PERIODS_S
from trefoilpick._plots import Bar, draw_bars, draw_distribution, draw_line

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.burn import BurnReport, ContractBurn

STYLE = """
:root { --ink: #1c2430; --soft: #5b6675; --page: #f6f7f9; --card: #ffffff; --rule: #dde2e8;
  --track: #e9edf2; --good: #2b8a5b; --warn: #c07a0a; --bad: #c2353b; --line: #2f6fb3; }
@media (prefers-color-scheme: dark) {
  :root { --ink: #e6eaf0; --soft: #9aa6b5; --page: #12161c; --card: #1b212a; --rule: #2c3541;
    --track: #28303b; --good: #4cb782; --warn: #e0a23c; --bad: #ea6a6f; --line: #6aa5e3; } }
* { box-sizing: border-box; }
body { margin: 0; padding: 32px 16px; background: var(--page); color: var(--ink);
  font: 15px/1.5 system-ui, "DejaVu Sans", sans-serif; }
main { max-width: 1080px; margin: 0 auto; }
h1 { margin: 0 0 4px; font-size: 26px; } h2 { margin: 0 0 12px; font-size: 18px; }
h3 { margin: 20px 0 4px; font-size: 15px; }
p { margin: 0 0 12px; color: var(--soft); }
section { margin: 20px 0; padding: 20px 24px; background: var(--card); border-radius: 10px;
  border: 1px solid var(--rule); overflow-x: auto; }
.tiles { display: grid; grid-template-columns: repeat(auto-fit, minmax(200px, 1fr)); gap: 16px; }
.tile { padding: 16px 20px; background: var(--card); border: 1px solid var(--rule);
  border-radius: 10px; }
.tile b { display: block; font-size: 24px; } .tile span { color: var(--soft); font-size: 13px; }
table { width: 100%; border-collapse: collapse; font-size: 13px;
  font-variant-numeric: tabular-nums; }
th { color: var(--soft); font-weight: 600; text-align: right; vertical-align: bottom; }
td { text-align: right; white-space: nowrap; }
th, td { padding: 6px 8px; border-bottom: 1px solid var(--rule); }
th.text, td.text { text-align: left; } td.wide { text-align: left; white-space: normal; }
b.good, td.good { color: var(--good); } b.warn, td.warn { color: var(--warn); }
b.bad, td.bad { color: var(--bad); }
svg { display: block; width: 100%; height: auto; }
svg text { fill: var(--ink); font-size: 12.5px; } svg .tick { fill: var(--soft); font-size: 11px; }
svg .track { fill: var(--track); } svg rect.good { fill: var(--good); }
svg rect.warn { fill: var(--warn); } svg rect.bad { fill: var(--bad); }
svg .value { font-weight: 600; } svg .value.bad { fill: var(--bad); }
svg .grid { stroke: var(--rule); stroke-width: 1; fill: none; }
svg .line { stroke: var(--line); stroke-width: 2; fill: none; stroke-linejoin: round; }
svg .dot { fill: var(--line); }
svg .bound { stroke: var(--bad); stroke-width: 1.5; stroke-dasharray: 5 4; fill: none; }
svg .note { fill: var(--bad); font-size: 11px; }
"""
"""Style sheet of the page."""

MAX_TIMELINES = 8
"""Largest number of contracts whose burn is drawn over time."""


@dataclass(frozen=True)
class Cell:
    """A cell of a table: its text, and its class in the style sheet."""

    text: str
    style: str = ""


def build_page(report: BurnReport) -> Iterator[str]:
    """Yield the parts of the page."""
    yield '<!DOCTYPE html>\n<html lang="en">\n<head><meta charset="utf-8">'
    yield '<meta name="viewport" content="width=device-width, initial-scale=1">'
    yield f"<title>Service-level burn</title><style>{STYLE}</style></head>\n<body><main>"
    yield from _build_head(report)
    yield from _build_tiles(report)
    yield from _build_contracts(report)
    yield from _build_timelines(report)
    yield from _build_convergence(report)
    yield from _build_control(report)
    yield "</main></body>\n</html>\n"


def _build_head(report: BurnReport) -> Iterator[str]:
    yield "<h1>Service-level burn</h1>"
    yield (
        f"<p>Made at {escape(report.made_at)} from {report.nodes} nodes. Nodes keep figures in"
        f" memory only: the oldest are {write_span(report.since_s)} old.</p>"
    )
    if report.unreachable:
        yield "<section><h2>Nodes without figures</h2><ul>"
        for text in report.unreachable:
            yield f"<li>{escape(text)}</li>"
        yield "</ul></section>"


def _build_tiles(report: BurnReport) -> Iterator[str]:
    lefts = [entry.budget_left for entry in report.contracts]
    spent = [left for left in lefts if left is not None and left <= 0]
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
        write_ms(convergence.p99_ms),
        f"convergence, 99 in 100 (bound {write_ms(convergence.bound_ms)})",
        "bad" if is_late else "good",
    )
    yield _build_tile(
        write_bytes(mean),
        f"control traffic of a node (bound {write_bytes(control.bound_bytes_per_s)})",
        "bad" if mean > control.bound_bytes_per_s else "good",
    )
    yield "</div>"


def _build_tile(value: str, text: str, style: str) -> str:
    return (
        f'<div class="tile"><b class="{style}">{escape(value)}</b>'
        f"<span>{escape(text)}</span></div>"
    )


def _build_contracts(report: BurnReport) -> Iterator[str]:
    yield "<section><h2>Error budget left</h2>"
    bars = [
        Bar(
            f"{entry.team} / {entry.route}",
            entry.budget_left or 0.0,
            write_share(entry.budget_left, digits=0),
            grade_budget(entry.budget_left),
        )
        for entry in report.contracts
    ]
    yield from draw_bars(bars, title="Share of the error budget that is left, by contract")
    yield "</section><section><h2>Contracts</h2>"
    headings = ["team", "route", "objective", "met", *(f"burn {write_span(p)}" for p in PERIODS_S)]
    headings += ["p50", "p99", "requests", "bad", "greatest burner"]
    yield from _build_table(headings, (_list_cells(entry) for entry in report.contracts), texts=2)
    yield "<p>Burn 1 spends the budget exactly within its period. Callers' own faults count for"
    yield " nothing. Latencies run since each node's start.</p>"
    if report.unrouted:
        yield "<h3>Bad requests without a contract in force</h3>"
        rows = [[Cell(write_burner(entry))] for entry in report.unrouted]
        yield from _build_table(["who"], rows, texts=1)
    yield "</section>"


def _list_cells(entry: ContractBurn) -> list[Cell]:
    rates = {rate.period_s: rate.rate for rate in entry.rates}
    return [
        Cell(entry.team),
        Cell(entry.route),
        Cell(f"{entry.availability * 100:g}% in {write_ms(entry.latency_ms)}"),
        Cell(write_share(entry.met, digits=3), grade_budget(entry.budget_left)),
        *(Cell(write_rate(rates.get(period_s))) for period_s in PERIODS_S),
        Cell(write_ms(entry.p50_ms)),
        Cell(write_ms(entry.p99_ms)),
        Cell(f"{entry.requests:,}"),
        Cell(f"{entry.bad:,}"),
        Cell(write_burner(entry.burners[0]) if entry.burners else NOTHING, "wide"),
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
            format_x=_write_age,
            format_y=lambda value: f"{value:g}",
        )
    yield "</section>"


def _build_convergence(report: BurnReport) -> Iterator[str]:
    burn = report.convergence
    yield "<section><h2>Convergence</h2>"
    yield (
        f"<p>{burn.enforcements:,} enforcements (nodes times versions), {burn.late:,} later than"
        f" {write_ms(burn.bound_ms)}. Objective {write_share(burn.share)}, met"
        f" {write_share(burn.met)}, budget left {write_share(burn.budget_left, digits=0)}."
        f" Median {write_ms(burn.p50_ms)}, longest {write_ms(burn.max_ms)}.</p>"
    )
    yield from draw_distribution(
        [(bucket.upper_ms, bucket.count) for bucket in burn.distribution],
        title="Share of enforcements up to a time from acceptance",
        bound=burn.bound_ms,
        bound_text=f"bound {write_ms(burn.bound_ms)}",
        format_x=lambda value: f"{value / 1_000:g} s",
    )
    rows = [
        [Cell(entry.data_centre), Cell(f"{entry.enforcements:,}"), Cell(f"{entry.late:,}")]
        for entry in burn.data_centres
    ]
    yield from _build_table(["data centre", "enforcements", "late"], rows, texts=1)
    yield "</section>"


def _build_control(report: BurnReport) -> Iterator[str]:
    burn = report.control
    yield f"<section><h2>Control traffic</h2><p>{burn.total_bytes:,} bytes of all nodes.</p>"
    yield from draw_line(
        [(point.age_s, point.value) for point in burn.timeline],
        title="Control traffic of a node by age",
        bound=burn.bound_bytes_per_s,
        bound_text=f"bound {write_bytes(burn.bound_bytes_per_s)}",
        format_x=_write_age,
        format_y=lambda value: f"{value:,.0f}",
    )
    rows = [
        [
            Cell(write_span(rate.period_s)),
            Cell(write_bytes(rate.mean_bytes_per_s)),
            Cell(write_rate(rate.rate)),
            Cell(f"{write_bytes(rate.max_bytes_per_s)} ({rate.max_vm})"),
            Cell(str(rate.nodes_over)),
        ]
        for rate in burn.rates
    ]
    yield from _build_table(
        ["period", "mean of a node", "burn", "most of a node", "nodes over"], rows, texts=1
    )
    yield "</section>"


def _build_table(headings: list[str], rows: Iterable[list[Cell]], *, texts: int) -> Iterator[str]:
    yield "<table><thead><tr>"
    for index, heading in enumerate(headings):
        is_text = index < texts or heading == "greatest burner"
        yield f'<th class="{"text" if is_text else ""}">{escape(heading)}</th>'
    yield "</tr></thead><tbody>"
    for row in rows:
        yield "<tr>"
        for index, cell in enumerate(row):
            style = "text" if index < texts else cell.style
            yield f'<td class="{style}">{escape(cell.text)}</td>'
        yield "</tr>"
    yield "</tbody></table>"


def _write_age(age_s: float) -> str:
    return "now" if age_s == 0 else f"-{write_span(age_s)}"
