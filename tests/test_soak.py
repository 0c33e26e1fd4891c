"""A short seeded soak, and breakages of the product that a soak must catch."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from soak.faults import LinksReset, NodeStopped, VersionsAccepted, WorkerTroubled
from soak.proxies import CALM
from soak.runs import RunPlan, run_soak

SEED = 1

FIRST_NETWORK, NETWORKS = 64, 120
"""Second numbers of addresses: a run at a time in each test process has its own."""

NODES = 4

TROUBLES = (
    *((0.1 * node, LinksReset(node, 6.0)) for node in range(NODES)),
    *((1.0 + number, VersionsAccepted(1)) for number in range(3)),
)
"""Calls are hit while they run, and versions come meanwhile."""

STOPS = (
    *((0.1, WorkerTroubled(node, 8.0, 0.4, CALM)) for node in range(NODES)),
    *((1.0 + 2.0 * node, NodeStopped(node)) for node in range(NODES)),
)
"""Nodes are told to stop one after the other, while their workers take 0.4 s for a request."""

CAUGHT_BY = {
    "retry-without-proof": (TROUBLES, "doubled"),
    "deny-runs": (TROUBLES, "not run"),
    "forget-tokens": (TROUBLES, "doubled"),
    "go-back": (TROUBLES, "went back"),
    "ignore-versions": ((*TROUBLES, (15.0, VersionsAccepted(1))), "due"),
    "leave-at-once": (STOPS, "was cut"),
}
"""Breakages, what happens, and a word of what the soak says of it."""


def pick_network() -> int:
    return FIRST_NETWORK + os.getpid() % NETWORKS


def test_a_short_soak_keeps_every_promise(tmp_path: Path) -> None:
    plan = RunPlan(SEED, NODES, seconds=8.0)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()
    assert report.faults > 3
    assert report.answered > 0


@pytest.mark.parametrize("breakage", CAUGHT_BY)
def test_a_breakage_is_caught(breakage: str, tmp_path: Path) -> None:
    script, word = CAUGHT_BY[breakage]
    plan = RunPlan(SEED, NODES, seconds=0.0, breakage=breakage, script=script)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert any(word in text for text in report.violations), report
