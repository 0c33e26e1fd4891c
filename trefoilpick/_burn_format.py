"""Formatting of the burn report's figures, for the terminal and the HTML page."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.burn import BudgetConsumer

MISSING = "–"
"""Placeholder for a missing figure."""

MINUTES_FROM_S = 120
"""Shortest duration that is formatted in minutes or hours, in seconds."""

WARN_BUDGET_LEFT = 0.5
"""Remaining share of the error budget below which a contract is highlighted."""


def format_share(share: float | None, *, digits: int = 2) -> str:
    """Format a share as a percentage."""
    return MISSING if share is None else f"{share * 100:.{digits}f}%"


def format_burn_rate(rate: float | None) -> str:
    """Format a burn rate with two decimal places."""
    return MISSING if rate is None else f"{rate:.2f}"


def format_ms(value_ms: float | None) -> str:
    """Format a time in milliseconds, or in a larger unit if it is long."""
    if value_ms is None:
        return MISSING
    if value_ms < 100:
        return f"{value_ms:.3g} ms"
    if value_ms < 1_000:
        return f"{value_ms:.0f} ms"
    seconds = value_ms / 1_000
    return f"{seconds:.3g} s" if seconds < MINUTES_FROM_S else format_duration(seconds)


def format_byte_rate(bytes_per_s: float) -> str:
    """Format a rate in bytes per second."""
    return f"{bytes_per_s:,.0f} B/s"


def format_duration(seconds: float) -> str:
    """Format a duration in seconds, minutes or hours, depending on its length."""
    if seconds < MINUTES_FROM_S:
        return f"{seconds:.0f} s"
    if seconds < 3_600:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3_600:.3g} h"


def format_consumer(consumer: BudgetConsumer) -> str:
    """Format the kind, data centre, number and share of a budget consumer's bad requests."""
    return (
        f"{consumer.kind} in {consumer.data_centre}: {consumer.requests:,} ({consumer.share:.0%})"
    )


def grade_budget(budget_left: float | None) -> str:
    """Return "good", "warn" or "bad" for the remaining share of an error budget."""
    if budget_left is None or budget_left >= WARN_BUDGET_LEFT:
        return "good"
    return "warn" if budget_left > 0 else "bad"
