"""Balancing by expected work against the existing policy, under named loads, without a network."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from trefoilpick._experiment_nodes import CurrentPolicy, PerfectPolicy, WorkPolicy
from trefoilpick._experiment_workload import MeshShape
from trefoilpick.experiments import Pattern, find_patterns, run_experiment

SEEDS = (1, 2, 3)
"""Seeds whose results are averaged: one run of 10 s varies by about 0.01."""

TARGETS = {0.6: 0.01, 0.8: 0.01, 0.95: 0.015, 1.1: 0.015}
"""Largest distance from the perfect policy in the share of the worth earned, by load."""

FLEET = MeshShape(36, 3, (0.5, 1.0, 1.0, 1.5), 20.0)


@dataclass(frozen=True)
class LoadCase:
    """A named load."""

    name: str
    pattern: str
    load: float
    shape: MeshShape

    def __str__(self) -> str:
        return self.name


CASES = (
    LoadCase("unequal workers", "steady", 0.8, MeshShape(12, 3, (0.5, 1.0, 1.0, 1.5), 10.0)),
    LoadCase(
        "unequal requests of one route",
        "steady",
        0.8,
        MeshShape(12, 3, (1.0,), 10.0, work_sigma=1.0),
    ),
    LoadCase("a worker that turns slow", "slow", 0.8, MeshShape(12, 3, (1.0,), 15.0)),
    LoadCase("few requests a sender", "steady", 0.8, MeshShape(36, 1, (0.5, 1.0, 1.5), 10.0)),
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
    assert work >= today


@pytest.mark.parametrize("load", TARGETS, ids=str)
def test_expected_work_is_nearly_as_good_as_perfect_knowledge(load: float) -> None:
    """Guards against a choice that wastes what reports could tell, at the users' target."""
    pattern: Pattern = replace(find_patterns(["steady"])[0], load=load)
    perfect, work = (
        run_experiment(pattern, policy, seed=3, shape=FLEET).earned_share
        for policy in (PerfectPolicy(), WorkPolicy())
    )
    print(f"load {load}: perfect {perfect:.3f}, work {work:.3f}")
    assert work >= perfect - TARGETS[load]
