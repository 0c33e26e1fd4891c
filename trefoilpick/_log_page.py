"""The report on logs as a self-contained HTML page."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from trefoilpick._burn_fleet import CONVERGENCE_BOUND_MS
from trefoilpick._burn_format import format_duration, format_ms
from trefoilpick._html_page import frame_page
from trefoilpick._plots import Bar, draw_bars, draw_distribution, draw_line

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.logreports import LogReport, Rollout

MARKED_QUANTILE = 0.99
"""Quantile of the latencies that the plot marks."""

MAX_ROLLOUTS = 40
"""Largest number of versions in the plot; the newest are kept."""

MS_PER_S = 1_000


def build_log_page(report: LogReport) -> Iterator[str]:
    """Yield the page as parts of HTML."""
    yield from frame_page("Logs of nodes", _build_parts(report))


def _build_parts(report: LogReport) -> Iterator[str]:
    yield "<h1>Logs of nodes</h1>"
    yield (
        f"<p>From {escape(report.began_at.isoformat(timespec='seconds'))} on for"
        f" {format_duration(report.span_s)}: {report.nodes} nodes, {report.requests:,} logged"
        f" requests, {report.failed:,} of them failed. Nodes omitted {report.omitted:,} lines to"
        " bound their logs.</p>"
    )
    yield from _draw_load(report)
    yield from _draw_causes(report)
    yield from _draw_latencies(report)
    yield from _draw_versions(report)


def _draw_load(report: LogReport) -> Iterator[str]:
    yield "<section><h2>Logged requests</h2><p>Requests per second, by time before the end; the"
    yield " mark is the highest rate of failures.</p>"
    yield from draw_line(
        [(part.age_s, part.per_s) for part in report.slices],
        title="Requests per second over time",
        bound=max(part.failed_per_s for part in report.slices),
        bound_text="most failures per second",
        format_x=format_duration,
        format_y=lambda value: f"{value:.0f}",
    )
    yield "</section>"


def _draw_causes(report: LogReport) -> Iterator[str]:
    yield "<section><h2>Why requests failed</h2>"
    if report.causes:
        bars = [
            Bar(cause, count / report.failed, f"{count:,}", "bad") for cause, count in report.causes
        ]
        yield from draw_bars(bars, title="Failed requests by cause")
    else:
        yield "<p>No request failed.</p>"
    yield "</section>"


def _draw_latencies(report: LogReport) -> Iterator[str]:
    yield "<section><h2>Latency of answers</h2>"
    if report.latencies:
        marked_ms = find_marked_latency(report.latencies)
        yield from draw_distribution(
            report.latencies,
            title="Share of answers within a time",
            bound=marked_ms,
            bound_text=f"{MARKED_QUANTILE:.0%} within {format_ms(marked_ms)}",
            format_x=format_ms,
        )
    else:
        yield "<p>The logs contain no answered request.</p>"
    yield "</section>"


def _draw_versions(report: LogReport) -> Iterator[str]:
    yield "<section><h2>Versions in force</h2><p>Time from the first node to the last.</p>"
    bars = [_draw_rollout(rollout, report.nodes) for rollout in report.rollouts[-MAX_ROLLOUTS:]]
    yield from draw_bars(bars, title="Time from the first node to the last, by version")
    yield "</section>"


def _draw_rollout(rollout: Rollout, nodes: int) -> Bar:
    label = f"version {rollout.number}, {rollout.nodes} of {nodes} nodes"
    took_ms = rollout.took_s * MS_PER_S
    style = "good" if took_ms <= CONVERGENCE_BOUND_MS else "bad"
    return Bar(label, took_ms / CONVERGENCE_BOUND_MS, format_ms(took_ms), style)


def find_marked_latency(latencies: tuple[tuple[float, int], ...]) -> float:
    """Return the upper end of the bucket with `MARKED_QUANTILE`, in milliseconds."""
    total = sum(count for _, count in latencies)
    cumulative = 0
    for upper, count in latencies:
        cumulative += count
        if cumulative >= MARKED_QUANTILE * total:
            return upper
    return latencies[-1][0]
