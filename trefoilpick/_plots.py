"""Plots as inline SVG, yielded in parts; colours come from the page's style sheet."""

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
"""Height of the row of one bar, in pixels."""

BAR_HEIGHT = 16
"""Height of one bar, in pixels."""

LABEL_WIDTH = 230
"""Width of the column of bar labels, in pixels."""

VALUE_WIDTH = 80
"""Width of the column of bar values, in pixels."""

MAX_INTERVALS = 4
"""Maximum number of intervals of a value axis."""

MAX_AGE_INTERVALS = 6
"""Maximum number of intervals of an age axis."""

AGE_STEPS_S = (30, 60, 120, 300, 600, 1_200, 1_800, 3_600, 7_200)
"""Possible distances between the ticks of an age axis, in seconds."""


@dataclass(frozen=True)
class Bar:
    """A labelled bar.

    Attributes:
        label: Label to the left of the bar.
        share: Length of the bar, clamped to the range from 0 to 1.
        text: Formatted value.
        style: CSS class: "good", "warn" or "bad".
    """

    label: str
    share: float
    text: str
    style: str


@dataclass(frozen=True)
class Axis:
    """A linear axis that starts at 0.

    Attributes:
        end: Largest value.
        step: Distance between two ticks.
    """

    end: float
    step: float

    def list_ticks(self) -> Iterator[float]:
        """Yield the value at each tick."""
        for index in range(int(round(self.end / self.step)) + 1):
            yield index * self.step


def build_axis(largest: float) -> Axis:
    """Build an axis that includes a value, with ticks at round numbers."""
    if largest <= 0:
        return Axis(1.0, 0.5)
    min_step = largest / MAX_INTERVALS
    power = 10.0 ** math.floor(math.log10(min_step))
    step = next(power * factor for factor in (1, 2, 2.5, 5, 10) if power * factor >= min_step)
    return Axis(step * math.ceil(largest / step - 1e-9), step)


def build_age_axis(largest_s: float) -> Axis:
    """Build an axis that includes an age in seconds, with ticks at `AGE_STEPS_S`."""
    step = next(
        (step for step in AGE_STEPS_S if step * MAX_AGE_INTERVALS >= largest_s), AGE_STEPS_S[-1]
    )
    return Axis(step * max(1, math.ceil(largest_s / step)), step)


def draw_bars(bars: Sequence[Bar], *, title: str) -> Iterator[str]:
    """Yield a plot of horizontal bars.

    Args:
        bars: The bars, from top to bottom.
        title: Description of the plot for screen readers.
    """
    height = max(1, len(bars)) * ROW_HEIGHT
    track_width = WIDTH - LABEL_WIDTH - VALUE_WIDTH
    yield from _open_plot(height, title)
    for index, bar in enumerate(bars):
        top = index * ROW_HEIGHT + (ROW_HEIGHT - BAR_HEIGHT) / 2
        middle = top + BAR_HEIGHT / 2
        length = track_width * min(max(bar.share, 0.0), 1.0)
        yield _draw_text(LABEL_WIDTH - 10, middle, bar.label, anchor="end")
        yield _draw_box("track", LABEL_WIDTH, top, track_width, BAR_HEIGHT)
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
    """Yield a plot of values by age, with the newest value on the right.

    Args:
        points: Ages and values, the oldest first.
        title: Description of the plot for screen readers.
        bound: Value that is marked by a line.
        bound_text: Label of that line.
        format_x: Formats an age.
        format_y: Formats a value.
    """
    ages = build_age_axis(max((age for age, _ in points), default=0.0))
    values = build_axis(max([bound * 1.1, *(value for _, value in points)]))
    scale = _Scale(ages, values, is_age=True)
    yield from _open_plot(HEIGHT, title)
    yield from _draw_axes(scale, format_x, format_y)
    path = " ".join(f"{scale.x(age):.1f},{scale.y(value):.1f}" for age, value in points)
    yield f'<polyline class="line" points="{path}"/>'
    for age, value in points:
        yield f'<circle class="dot" cx="{scale.x(age):.1f}" cy="{scale.y(value):.1f}" r="2.5"/>'
    yield from _draw_bound(LEFT, scale.y(bound), WIDTH - RIGHT, scale.y(bound), bound_text)
    yield "</svg>"


def draw_distribution(
    buckets: Sequence[tuple[float, int]],
    *,
    title: str,
    bound: float,
    bound_text: str,
    format_x: Callable[[float], str],
) -> Iterator[str]:
    """Yield a plot of a cumulative distribution.

    Args:
        buckets: Upper ends and counts of the buckets, in ascending order.
        title: Description of the plot for screen readers.
        bound: Value that is marked by a line.
        bound_text: Label of that line.
        format_x: Formats a value.
    """
    largest = max([bound * 1.1, *(upper for upper, _ in buckets)])
    scale = _Scale(build_axis(largest), Axis(1.0, 0.25), is_age=False)
    yield from _open_plot(HEIGHT, title)
    yield from _draw_axes(scale, format_x, lambda share: f"{share:.0%}")
    vertices = [f"{scale.x(0):.1f},{scale.y(0):.1f}"]
    for upper, before, after in _accumulate(buckets):
        vertices.append(f"{scale.x(upper):.1f},{scale.y(before):.1f}")
        vertices.append(f"{scale.x(upper):.1f},{scale.y(after):.1f}")
    if buckets:
        vertices.append(f"{scale.x(scale.x_axis.end):.1f},{scale.y(1):.1f}")
    yield f'<polyline class="line" points="{" ".join(vertices)}"/>'
    yield from _draw_bound(
        scale.x(bound), HEIGHT - BOTTOM, scale.x(bound), TOP, bound_text, is_vertical=True
    )
    yield "</svg>"


@dataclass(frozen=True)
class _Scale:
    x_axis: Axis
    y_axis: Axis
    is_age: bool

    def x(self, value: float) -> float:
        share = value / self.x_axis.end
        return LEFT + (WIDTH - LEFT - RIGHT) * (1.0 - share if self.is_age else share)

    def y(self, value: float) -> float:
        return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * value / self.y_axis.end


def _accumulate(buckets: Iterable[tuple[float, int]]) -> Iterator[tuple[float, float, float]]:
    entries = list(buckets)
    total = sum(count for _, count in entries)
    cumulative = 0
    for upper, count in entries:
        yield upper, cumulative / total, (cumulative + count) / total
        cumulative += count


def _open_plot(height: float, title: str) -> Iterator[str]:
    yield f'<svg viewBox="0 0 {WIDTH} {height}" role="img" aria-label="{escape(title)}">'


def _draw_axes(
    scale: _Scale, format_x: Callable[[float], str], format_y: Callable[[float], str]
) -> Iterator[str]:
    for value in scale.y_axis.list_ticks():
        y = scale.y(value)
        yield f'<path class="grid" d="M{LEFT} {y:.1f}H{WIDTH - RIGHT}"/>'
        yield _draw_text(LEFT - 8, y, format_y(value), anchor="end", style="tick")
    for value in scale.x_axis.list_ticks():
        x = scale.x(value)
        yield _draw_text(x, HEIGHT - BOTTOM + 18, format_x(value), anchor="middle", style="tick")


def _draw_bound(
    x1: float, y1: float, x2: float, y2: float, text: str, *, is_vertical: bool = False
) -> Iterator[str]:
    yield f'<path class="bound" d="M{x1:.1f} {y1:.1f}L{x2:.1f} {y2:.1f}"/>'
    if is_vertical:
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
