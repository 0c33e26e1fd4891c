"""Balancing by expected work against the existing policy, under named loads, without a network."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from trefoilpick._experiment_nodes import CurrentPolicy, WorkPolicy
from trefoilpick._experiment_workload import MeshShape
from trefoilpick.experiments import Pattern, find_patterns, run_experiment

SEEDS = (1, 2, 3)
"""Seeds whose results are averaged: one run of 10 s varies by about 0.01."""

MAX_LOSS = 0.01
"""Largest share of the worth by which the new policy may fall behind where workers are equal or
their reports are too old to tell them apart."""


@dataclass(frozen=True)
class LoadCase:
    """A load, and the least gain of the share earned over the existing policy."""

    name: str
    pattern: str
    load: float
    shape: MeshShape
    min_gain: float

    def __str__(self) -> str:
        return self.name


CASES = (
    LoadCase("unequal workers", "steady", 0.8, MeshShape(12, 3, (0.5, 1.0, 1.0, 1.5), 10.0), 0.0),
    LoadCase(
        "unequal requests of one route",
        "steady",
        0.8,
        MeshShape(12, 3, (1.0,), 10.0, work_sigma=1.0),
        -MAX_LOSS,
    ),
    LoadCase("a worker that turns slow", "slow", 0.8, MeshShape(12, 3, (1.0,), 15.0), -MAX_LOSS),
    LoadCase(
        "few requests a sender", "steady", 0.8, MeshShape(36, 1, (0.5, 1.0, 1.5), 10.0), -MAX_LOSS
    ),
)


@pytest.mark.parametrize("case", CASES, ids=str)
def test_expected_work_against_requests(case: LoadCase) -> None:
    """Guards against a policy that is worse than the one that it replaces."""
    pattern: Pattern = replace(find_patterns([case.pattern])[0], load=case.load)
    today, work = (
        sum(run_experiment(pattern, policy, seed=s, shape=case.shape).earned_share for s in SEEDS)
        / len(SEEDS)
        for policy in (CurrentPolicy(), WorkPolicy())
    )
    print(f"{case}: today {today:.3f}, work {work:.3f}")
    assert work >= today + case.min_gain
