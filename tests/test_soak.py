"""A short seeded soak, and breakages of the product that a soak must catch."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from soak.runs import RunPlan, run_soak

SEED = 1

FIRST_NETWORK, NETWORKS = 64, 120
"""Second numbers of addresses: a run at a time in each test process has its own."""

CAUGHT_BY = {
    "retry-without-proof": "doubled",
    "deny-runs": "false not run",
    "forget-tokens": "doubled",
    "leave-at-once": "was cut",
    "ignore-versions": "due",
    "go-back": "went back",
}
"""Breakages, and a word of what the soak says of each."""


def pick_network() -> int:
    return FIRST_NETWORK + os.getpid() % NETWORKS


def test_a_short_soak_keeps_every_promise(tmp_path: Path) -> None:
    plan = RunPlan(SEED, nodes=4, seconds=8.0)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()
    assert report.faults > 3
    assert report.answered > 0


@pytest.mark.parametrize(("breakage", "word"), CAUGHT_BY.items())
def test_a_breakage_is_caught(breakage: str, word: str, tmp_path: Path) -> None:
    plan = RunPlan(SEED, nodes=4, seconds=12.0, breakage=breakage)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert any(word in text for text in report.violations), report
