"""How the burn report writes its figures, in the terminal and on the page."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.burn import Burner

NOTHING = "–"
"""Stands for a figure that does not exist."""

MAX_SECONDS = 120
"""Spans from here on are written in minutes or hours."""

WARN_LEFT = 0.5
"""Share of the error budget below which a contract is marked."""


def write_share(share: float | None, *, digits: int = 2) -> str:
    """Write a share in percent."""
    return NOTHING if share is None else f"{share * 100:.{digits}f}%"


def write_rate(rate: float | None) -> str:
    """Write a burn rate."""
    return NOTHING if rate is None else f"{rate:.2f}"


def write_ms(value_ms: float | None) -> str:
    """Write a time that is given in milliseconds."""
    if value_ms is None:
        return NOTHING
    if value_ms < 100:
        return f"{value_ms:.3g} ms"
    if value_ms < 1_000:
        return f"{value_ms:.0f} ms"
    seconds = value_ms / 1_000
    return f"{seconds:.3g} s" if seconds < MAX_SECONDS else write_span(seconds)


def write_bytes(bytes_per_s: float) -> str:
    """Write a rate of bytes."""
    return f"{bytes_per_s:,.0f} B/s"


def write_span(seconds: float) -> str:
    """Write a span of time in its customary unit."""
    if seconds < MAX_SECONDS:
        return f"{seconds:.0f} s"
    if seconds < 3_600:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3_600:.3g} h"


def write_burner(burner: Burner) -> str:
    """Write who burns, how much and where."""
    return f"{burner.kind} in {burner.data_centre}: {burner.requests:,} ({burner.share:.0%})"


def grade_budget(left: float | None) -> str:
    """Return "good", "warn" or "bad" for what is left of an error budget."""
    if left is None or left >= WARN_LEFT:
        return "good"
    return "warn" if left > 0 else "bad"
