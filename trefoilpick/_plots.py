"""Plots as inline SVG, yielded part by part; colours come from the page's style sheet."""

from __future__ import annotations

import math
from dataclasses import dataclass
from html import escape
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

WIDTH = 760
"""Width of a plot, in pixels."""

HEIGHT = 220
"""Height of a line plot, in pixels."""

LEFT, RIGHT, TOP, BOTTOM = 64, 24, 16, 36
"""Margins of a line plot, in pixels."""

ROW_HEIGHT = 26
"""Height of one bar with its gap, in pixels."""

BAR_HEIGHT = 16
"""Height of one bar, in pixels."""

LABEL_WIDTH = 230
"""Room for the labels of bars, in pixels."""

VALUE_WIDTH = 80
"""Room for the values of bars, in pixels."""

TICKS = 4
"""Largest number of intervals of an axis."""

AGE_TICKS = 6
"""Largest number of intervals of an axis of ages."""

AGE_STEPS_S = (30, 60, 120, 300, 600, 1_200, 1_800, 3_600, 7_200)
"""Distances of the ticks of an axis of ages, in seconds."""


@dataclass(frozen=True)
class Bar:
    """A bar with its label.

    Attributes:
        label: What it stands for.
        share: Its length, from 0 to 1; longer ones are cut.
        text: Its value as shown.
        style: Class in the style sheet: "good", "warn" or "bad".
    """

    label: str
    share: float
    text: str
    style: str


@dataclass(frozen=True)
class Axis:
    """A linear axis from 0.

    Attributes:
        end: Its largest value.
        step: Distance of its ticks.
    """

    end: float
    step: float

    def list_ticks(self) -> Iterator[float]:
        """Yield the values of its ticks."""
        for index in range(int(round(self.end / self.step)) + 1):
            yield index * self.step


def build_axis(largest: float) -> Axis:
    """Build an axis that holds a value, with round ticks."""
    if largest <= 0:
        return Axis(1.0, 0.5)
    rough = largest / TICKS
    power = 10.0 ** math.floor(math.log10(rough))
    step = next(power * factor for factor in (1, 2, 2.5, 5, 10) if power * factor >= rough)
    return Axis(step * math.ceil(largest / step - 1e-9), step)


def build_age_axis(largest_s: float) -> Axis:
    """Build an axis that holds an age in seconds, with ticks at customary spans."""
    step = next((step for step in AGE_STEPS_S if step * AGE_TICKS >= largest_s), AGE_STEPS_S[-1])
    return Axis(step * max(1, math.ceil(largest_s / step)), step)


def draw_bars(bars: Sequence[Bar], *, title: str) -> Iterator[str]:
    """Yield a plot of horizontal bars.

    Args:
        bars: The bars, the first on top.
        title: What the plot shows, for readers that hear the page.
    """
    height = max(1, len(bars)) * ROW_HEIGHT
    room = WIDTH - LABEL_WIDTH - VALUE_WIDTH
    yield from _open_plot(height, title)
    for index, bar in enumerate(bars):
        top = index * ROW_HEIGHT + (ROW_HEIGHT - BAR_HEIGHT) / 2
        middle = top + BAR_HEIGHT / 2
        length = room * min(max(bar.share, 0.0), 1.0)
        yield _draw_text(LABEL_WIDTH - 10, middle, bar.label, anchor="end")
        yield _draw_box("track", LABEL_WIDTH, top, room, BAR_HEIGHT)
        if length > 0:
            yield _draw_box(bar.style, LABEL_WIDTH, top, length, BAR_HEIGHT)
        yield _draw_text(WIDTH - VALUE_WIDTH + 10, middle, bar.text, style=f"value {bar.style}")
    yield "</svg>"


def draw_line(
    points: Sequence[tuple[float, float]],
    *,
    title: str,
    bound: float,
    bound_text: str,
    format_x: Callable[[float], str],
    format_y: Callable[[float], str],
) -> Iterator[str]:
    """Yield a plot of values over their age, the newest at the right.

    Args:
        points: Ages and values, the oldest first.
        title: What the plot shows, for readers that hear the page.
        bound: A value that is marked by a line.
        bound_text: What that line means.
        format_x: Writes an age.
        format_y: Writes a value.
    """
    ages = build_age_axis(max((age for age, _ in points), default=0.0))
    values = build_axis(max([bound * 1.1, *(value for _, value in points)]))
    place = _Placement(ages, values, is_age=True)
    yield from _open_plot(HEIGHT, title)
    yield from _draw_axes(place, format_x, format_y)
    path = " ".join(f"{place.x(age):.1f},{place.y(value):.1f}" for age, value in points)
    yield f'<polyline class="line" points="{path}"/>'
    for age, value in points:
        yield f'<circle class="dot" cx="{place.x(age):.1f}" cy="{place.y(value):.1f}" r="2.5"/>'
    yield from _draw_bound(LEFT, place.y(bound), WIDTH - RIGHT, place.y(bound), bound_text)
    yield "</svg>"


def draw_distribution(
    buckets: Sequence[tuple[float, int]],
    *,
    title: str,
    bound: float,
    bound_text: str,
    format_x: Callable[[float], str],
) -> Iterator[str]:
    """Yield a plot of the share of values up to each value.

    Args:
        buckets: Upper ends of buckets and counts, in rising order.
        title: What the plot shows, for readers that hear the page.
        bound: A value that is marked by a line.
        bound_text: What that line means.
        format_x: Writes a value.
    """
    largest = max([bound * 1.1, *(upper for upper, _ in buckets)])
    place = _Placement(build_axis(largest), Axis(1.0, 0.25), is_age=False)
    yield from _open_plot(HEIGHT, title)
    yield from _draw_axes(place, format_x, lambda share: f"{share:.0%}")
    corners = [f"{place.x(0):.1f},{place.y(0):.1f}"]
    for upper, before, after in _accumulate(buckets):
        corners.append(f"{place.x(upper):.1f},{place.y(before):.1f}")
        corners.append(f"{place.x(upper):.1f},{place.y(after):.1f}")
    if buckets:
        corners.append(f"{place.x(place.across.end):.1f},{place.y(1):.1f}")
    yield f'<polyline class="line" points="{" ".join(corners)}"/>'
    yield from _draw_bound(
        place.x(bound), HEIGHT - BOTTOM, place.x(bound), TOP, bound_text, is_upright=True
    )
    yield "</svg>"


@dataclass(frozen=True)
class _Placement:
    across: Axis
    up: Axis
    is_age: bool

    def x(self, value: float) -> float:
        share = value / self.across.end
        return LEFT + (WIDTH - LEFT - RIGHT) * (1.0 - share if self.is_age else share)

    def y(self, value: float) -> float:
        return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * value / self.up.end


def _accumulate(buckets: Iterable[tuple[float, int]]) -> Iterator[tuple[float, float, float]]:
    known = list(buckets)
    total = sum(count for _, count in known)
    seen = 0
    for upper, count in known:
        yield upper, seen / total, (seen + count) / total
        seen += count


def _open_plot(height: float, title: str) -> Iterator[str]:
    yield f'<svg viewBox="0 0 {WIDTH} {height}" role="img" aria-label="{escape(title)}">'


def _draw_axes(
    place: _Placement, format_x: Callable[[float], str], format_y: Callable[[float], str]
) -> Iterator[str]:
    for value in place.up.list_ticks():
        y = place.y(value)
        yield f'<path class="grid" d="M{LEFT} {y:.1f}H{WIDTH - RIGHT}"/>'
        yield _draw_text(LEFT - 8, y, format_y(value), anchor="end", style="tick")
    for value in place.across.list_ticks():
        x = place.x(value)
        yield _draw_text(x, HEIGHT - BOTTOM + 18, format_x(value), anchor="middle", style="tick")


def _draw_bound(
    x1: float, y1: float, x2: float, y2: float, text: str, *, is_upright: bool = False
) -> Iterator[str]:
    yield f'<path class="bound" d="M{x1:.1f} {y1:.1f}L{x2:.1f} {y2:.1f}"/>'
    if is_upright:
        yield _draw_text(x1 - 6, y2 + 12, text, anchor="end", style="note")
    else:
        yield _draw_text(x1 + 6, y1 - 9, text, style="note")


def _draw_text(x: float, y: float, text: str, *, anchor: str = "start", style: str = "") -> str:
    return (
        f'<text class="{style}" x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}"'
        f' dominant-baseline="central">{escape(text)}</text>'
    )


def _draw_box(style: str, x: float, y: float, width: float, height: float) -> str:
    return (
        f'<rect class="{style}" x="{x:.1f}" y="{y:.1f}" width="{width:.1f}"'
        f' height="{height}" rx="3"/>'
    )
