"""A short soak, and deliberate defects that a soak must detect."""

from __future__ import annotations

import os
from functools import partial
from pathlib import Path

import curio
import pytest

from soak.faults import (
    AnswersCopied,
    ConnectionsSilenced,
    LinksReset,
    NodeKilled,
    NodeStopped,
    SourceRestored,
    VersionsAccepted,
    WorkerLeft,
    WorkerLimited,
    WorkerTroubled,
)
from soak.fleet import Rewrite, Topology
from soak.proxies import NO_TROUBLE, Proxy
from soak.runs import RunPlan, run_soak

SEED = 1

FIRST_NETWORK, NETWORKS = 64, 120
"""First and number of values for the second octet of addresses. Each test process uses one value,
since concurrent runs must not share addresses."""

NODES = 4

RESETS = (
    *((0.1 * node, LinksReset(node, 6.0)) for node in range(NODES)),
    *((1.0 + number, VersionsAccepted(1)) for number in range(3)),
)
"""Connections are reset during calls while new versions are accepted."""

STOPS = (
    *((0.1, WorkerTroubled(node, 8.0, 0.4, NO_TROUBLE)) for node in range(NODES)),
    *((1.0 + 2.0 * node, NodeStopped(node)) for node in range(NODES)),
)
"""Nodes are stopped one after the other while their workers take 0.4 s for a request."""

NEEDS = (
    *((0.1 + node, WorkerLimited(node, 12.0, 2.5)) for node in range(2)),
    (8.0, NodeKilled(0, 0.3)),
    (8.5, WorkerLeft(2, 5.0)),
    (11.0, NodeKilled(2, 0.3)),
    *((0.1, AnswersCopied(node, 14.0, 0.01)) for node in range(NODES)),
)
"""Workers state limits and that they leave, the nodes beside them are killed meanwhile, and every
worker sends each answer twice."""

ENDS = tuple((4.0 * number, VersionsAccepted(1)) for number in range(5))
"""Versions are accepted while a request ends the workers that run it, as in every run."""

FOLLOWERS = Topology(centres=1, readers=1)
"""One node reads the source; all others learn of versions from it and from each other."""

SILENCE = (
    (1.0, ConnectionsSilenced()),
    (1.2, VersionsAccepted(1)),
    (8.0, ConnectionsSilenced()),
    (8.5, ConnectionsSilenced(0)),
    (8.7, VersionsAccepted(2)),
)
"""All open connections fall silent for good, twice, while versions are accepted."""

REWRITES = {
    "lost version unchanged": (3, 1.0, Rewrite.UNCHANGED),
    "same number 5": (3, 1.0, Rewrite.SAME_NUMBER),
    "same number 6": (4, 1.0, Rewrite.SAME_NUMBER),
    "all lost versions in series": (3, 3.2, Rewrite.SERIES),
    "higher number": (3, 1.0, Rewrite.HIGHER),
}
"""By what the operator confirms after the source came back older: versions accepted before, age of
the copy in seconds, and the version that is confirmed then."""

EXPECTED_VIOLATIONS = {
    "retry-without-proof": (RESETS, "doubled"),
    "deny-runs": (RESETS, "not run"),
    "forget-tokens": (RESETS, "doubled"),
    "go-back": (RESETS, "went back"),
    "ignore-versions": ((*RESETS, (15.0, VersionsAccepted(1))), "due"),
    "leave-at-once": (STOPS, "was cut"),
    "deny-routes": (RESETS, "was denied with 404"),
    "ignore-limits": (NEEDS, "requests in 4 s"),
    "ignore-leaving": (NEEDS, "states that it leaves"),
    "ignore-cases": (ENDS, "too late"),
}
"""By breakage, the faults that expose it and a part of the violation that the soak reports."""


def pick_network() -> int:
    return FIRST_NETWORK + os.getpid() % NETWORKS


def test_short_soak_violates_no_guarantee(tmp_path: Path) -> None:
    plan = RunPlan(SEED, NODES, seconds=8.0)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()
    assert report.faults > 3
    assert report.answered > 0


def test_stated_needs_hold_while_the_nodes_beside_the_workers_are_killed(tmp_path: Path) -> None:
    plan = RunPlan(SEED, NODES, seconds=0.0, script=NEEDS)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()
    assert report.answered > 0


async def echo(client: curio.socket.socket, _address: object) -> None:
    while data := await client.recv(100):
        await client.sendall(data)


async def exchange(client: curio.socket.socket) -> bytes:
    await client.sendall(b"fraga")
    return await curio.timeout_after(0.3, client.recv, 100)


async def check_silence(host: str) -> None:
    proxy = Proxy((host, 9001), (host, 9002))
    await curio.spawn(curio.tcp_server, host, 9002, echo, daemon=True)
    await curio.spawn(proxy.run, daemon=True)
    await curio.sleep(0.1)
    silent = await curio.open_connection(host, 9001)
    assert await exchange(silent) == b"fraga"
    proxy.silence()
    proxy.reset()
    for _attempt in range(2):
        with pytest.raises(curio.TaskTimeout):
            await exchange(silent)
    later = await curio.open_connection(host, 9001)
    assert await exchange(later) == b"fraga"


# A reset or an end of a silent connection would tell its ends that it carries nothing.
# Guards against a request that ends the workers which run it, one after the other.
def test_request_that_ends_workers_reaches_few_of_them(tmp_path: Path) -> None:
    plan = RunPlan(SEED, NODES, seconds=0.0, ends_workers=True, script=ENDS)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()


def test_silent_connections_of_a_proxy_stay_open_while_new_ones_work() -> None:
    curio.run(partial(check_silence, f"127.{pick_network()}.9.1"))


# Nodes that learn of versions from peers alone kept an older one as long as silent links lasted.
def test_versions_are_in_force_although_open_connections_fell_silent(tmp_path: Path) -> None:
    plan = RunPlan(SEED, NODES, seconds=0.0, topology=FOLLOWERS, script=SILENCE)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()


# A version that was confirmed under a former number was in force only if its digest was greater.
@pytest.mark.parametrize("case", REWRITES)
def test_last_confirmed_version_is_in_force_after_a_restore(case: str, tmp_path: Path) -> None:
    accepted, back_s, rewrite = REWRITES[case]
    restored = SourceRestored(0.0, back_s, 0.3, rewrite)
    script = ((0.5, VersionsAccepted(accepted)), (3.0, restored))
    plan = RunPlan(SEED, NODES, seconds=0.0, topology=FOLLOWERS, script=script)
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert report.violations == ()


@pytest.mark.parametrize("breakage", EXPECTED_VIOLATIONS)
def test_breakage_is_detected(breakage: str, tmp_path: Path) -> None:
    script, violation = EXPECTED_VIOLATIONS[breakage]
    plan = RunPlan(
        SEED,
        NODES,
        seconds=0.0,
        breakage=breakage,
        ends_workers=script is ENDS,
        script=script,
    )
    report = run_soak(plan, folder=tmp_path, network=pick_network())
    assert any(violation in text for text in report.violations), report
