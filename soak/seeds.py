"""Seeds that failed in the past; the soak runs them first."""

from __future__ import annotations

from dataclasses import dataclass

from soak.runs import RunPlan, draw_topology


@dataclass(frozen=True)
class Regression:
    """A seed that failed in the past.

    Attributes:
        plan: Parameters of the run.
        cause: Why it failed.
    """

    plan: RunPlan
    cause: str


def _build_regression(seed: int, cause: str) -> Regression:
    plan = RunPlan(seed, nodes=6, seconds=20.0, topology=draw_topology(seed))
    return Regression(plan, cause)


REGRESSIONS = (
    _build_regression(502, "after a restore the lost content of a number won by its digest"),
    _build_regression(505, "a node that does not read the source kept its silent links"),
    _build_regression(506, "a node with silent links enforced no further version"),
    _build_regression(508, "a request waited on a silent hop until the drain's limit"),
    _build_regression(611, "calls waited on silent hops of one peer, one after the other"),
)
"""Regression seeds, oldest first."""
