"""Seeds that once failed; each run of the soak begins with them."""

from __future__ import annotations

from dataclasses import dataclass

from soak.runs import RunPlan


@dataclass(frozen=True)
class Regression:
    """A seed that once failed.

    Attributes:
        plan: How to run it.
        cause: Why it failed.
    """

    plan: RunPlan
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()
"""All of them, the eldest first."""
