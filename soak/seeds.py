"""Seeds that failed in the past; the soak runs them first."""

from __future__ import annotations

from dataclasses import dataclass

from soak.runs import RunPlan


@dataclass(frozen=True)
class Regression:
    """A seed that failed in the past.

    Attributes:
        plan: Parameters of the run.
        cause: Why it failed.
    """

    plan: RunPlan
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()
"""Regression seeds, oldest first."""
