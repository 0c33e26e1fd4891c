"""Poison requests: a load in which one request ends every worker that runs it.

It comes again and again, at any node, beside ordinary requests, popular ones and workers that end
by chance. All sizes of the users' sites, and that of the target, without network.
"""

from __future__ import annotations

import pytest
from fakes_quarantine import ModelFleet, Request, list_late_arrivals, run_now

from trefoilpick.quarantine import TRIAL_DELAYS_S, Case, CaseState

CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
"""Arrivals allowed later than `CONTACT_S` after a request has ended its third worker."""
MAX_BYTES_PER_S = 3_000
"""Control bytes that a node may send per second."""
DURATION_S = sum(TRIAL_DELAYS_S) + 35.0
"""Time for which a poison request comes, in seconds: longer than all of its trials take."""
POISON = Request("poison", ends_worker=True, service_share=(0.05, 1.0))
POPULAR = Request("popular")
SITES = {
    6: {"services": 2, "centres": 3},
    76: {"services": 2, "centres": 4},
    195: {"services": 2, "centres": 5},
    1_100: {"services": 160, "centres": 11, "regions": 3},
}


def open_fleet(size: int, seed: int) -> ModelFleet:
    return ModelFleet(size, seed=seed, **SITES[size])


def send_ordinary(fleet: ModelFleet, *, per_s: float, until_s: float) -> None:
    """Send requests that each come once, but for their clients' repeats."""
    if fleet.now_s < until_s:
        fleet.send(Request(f"o{len(fleet.outcomes)}"))
        gap_s = fleet.random.expovariate(per_s)
        fleet.at(gap_s, lambda: send_ordinary(fleet, per_s=per_s, until_s=until_s))


# A request that ended its workers reached one after the other, at every node anew.
@pytest.mark.parametrize("size", SITES)
@pytest.mark.parametrize(("per_s", "seed"), [(0.2, 1), (2.0, 2), (2.0, 3), (20.0, 4)])
def test_poison_request_reaches_few_workers_after_its_third_end(
    size: int, per_s: float, seed: int
) -> None:
    fleet = open_fleet(size, seed)
    fleet.repeat(POISON, per_s=per_s, until_s=DURATION_S)
    send_ordinary(fleet, per_s=20.0, until_s=20.0)
    fleet.run_until(DURATION_S)
    assert len(fleet.ends["poison"]) >= 3
    late = list(list_late_arrivals(fleet, POISON, CONTACT_S))
    assert len(late) <= MAX_LATE_ARRIVALS


# Many runs of a request that ends its workers late begin before the first of them has ended.
@pytest.mark.parametrize("size", [6, 76, 195])
@pytest.mark.parametrize("per_s", [2.0, 20.0])
def test_poison_request_that_ends_its_workers_late_is_found_as_soon(
    size: int, per_s: float
) -> None:
    fleet = open_fleet(size, 10)
    poison = Request("poison", ends_worker=True, service_s=2.5, service_share=(0.95, 1.0))
    fleet.repeat(poison, per_s=per_s, until_s=DURATION_S)
    fleet.run_until(DURATION_S)
    assert len(list(list_late_arrivals(fleet, poison, CONTACT_S))) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("size", SITES)
def test_quarantine_is_known_to_every_node_within_contact(size: int) -> None:
    fleet = open_fleet(size, 5)
    fleet.repeat(POISON, per_s=2.0, until_s=20.0)
    while len(fleet.ends.get("poison", [])) < 3:
        fleet.run_until(fleet.now_s + 0.01)
    fleet.run_until(fleet.ends["poison"][2] + CONTACT_S)
    assert set(fleet.list_states(POISON)) == {CaseState.QUARANTINED}


def test_spread_stays_within_the_control_bytes_of_the_target() -> None:
    fleet = open_fleet(1_100, 6)
    poisons = [
        Request(f"poison-{i}", f"s-{i}", ends_worker=True, service_share=(0.05, 1.0))
        for i in range(3)
    ]
    for poison in poisons:
        fleet.repeat(poison, per_s=2.0, until_s=30.0)
    send_ordinary(fleet, per_s=50.0, until_s=30.0)
    span_s = 10.0
    sent = dict.fromkeys(fleet.nodes, 0)
    for until_s in (10.0, 20.0, 30.0):
        fleet.run_until(until_s)
        rates = {n: (node.bytes_sent - sent[n]) / span_s for n, node in fleet.nodes.items()}
        assert max(rates.values()) < MAX_BYTES_PER_S
        sent = {n: node.bytes_sent for n, node in fleet.nodes.items()}


# A popular request runs on nearly every worker that ends, whatever ends it.
@pytest.mark.parametrize("seed", range(8))
def test_popular_request_is_served_while_workers_end_by_chance(seed: int) -> None:
    fleet = ModelFleet(5, seed=seed, services=1)
    fleet.repeat(POPULAR, per_s=4.0, until_s=60.0)
    for _ in range(24):
        node = fleet.random.choice(list(fleet.nodes.values()))
        fleet.at(fleet.random.uniform(0.0, 55.0), lambda node=node: fleet.end_worker(node))
    fleet.run_until(65.0)
    results = fleet.count_results(POPULAR)
    assert results.get("refused", 0) == 0, results


@pytest.mark.parametrize("size", [6, 76, 195])
def test_popular_request_is_not_blamed_for_the_end_of_all_workers_at_once(size: int) -> None:
    fleet = open_fleet(size, 7)
    fleet.repeat(POPULAR, per_s=20.0 * size, until_s=6.0)
    fleet.run_until(1.0)
    for node in fleet.list_workers("s-0"):
        fleet.end_worker(node)
    fleet.run_until(8.0)
    assert CaseState.QUARANTINED not in fleet.list_states(POPULAR)
    assert "refused" not in fleet.count_results(POPULAR)


@pytest.mark.parametrize("seed", range(8))
def test_ordinary_requests_are_served_beside_a_poison_request(seed: int) -> None:
    fleet = ModelFleet(10, seed=seed, services=2)
    fleet.repeat(POISON, per_s=2.0, until_s=60.0)
    fleet.repeat(POPULAR, per_s=4.0, until_s=60.0)
    send_ordinary(fleet, per_s=60.0, until_s=60.0)
    fleet.run_until(70.0)
    third_s = fleet.ends["poison"][2]
    ordinary = [o for name, os in fleet.outcomes.items() if name != "poison" for o in os]
    refused = sum(outcome.result == "refused" for outcome in ordinary)
    assert refused <= 5 + len(ordinary) / 500
    late = [outcome for outcome in ordinary if outcome.sent_s > third_s + 2 * CONTACT_S]
    served = sum(outcome.result == "served" for outcome in late)
    assert served >= 0.995 * len(late)


# What a wrong verdict costs: the request is refused until its first trial is answered.
@pytest.mark.parametrize("size", SITES)
def test_wrongly_quarantined_request_is_released_by_its_first_trial(size: int) -> None:
    fleet = open_fleet(size, 8)
    began_s = 1.0
    fleet.run_until(began_s)
    counting = next(iter(fleet.nodes.values()))
    case = counting.gate.table.escalate(
        POPULAR.fingerprint, CaseState.QUARANTINED, service="s-0", route="r", ends=3
    )
    assert case is not None
    fleet.at(0.0, lambda: spread(fleet, counting.vm.name, case))
    fleet.run_until(began_s + CONTACT_S)
    fleet.repeat(POPULAR, per_s=8.0, until_s=20.0)
    fleet.run_until(25.0)
    released_s = began_s + TRIAL_DELAYS_S[0] + 1.0
    assert set(fleet.count_results(POPULAR)) == {"refused", "served"}
    assert set(fleet.count_results(POPULAR, since_s=released_s)) == {"served"}


def spread(fleet: ModelFleet, name: str, case: Case) -> None:
    run_now(fleet.nodes[name].gate.on_change(case))


@pytest.mark.parametrize("size", [6, 195])
def test_restarted_node_learns_the_quarantine(size: int) -> None:
    fleet = open_fleet(size, 9)
    fleet.repeat(POISON, per_s=2.0, until_s=10.0)
    fleet.run_until(10.0)
    name = fleet.vms[0].name
    fleet.restart_node(name)
    assert fleet.nodes[name].gate.is_open
    fleet.run_until(10.0 + CONTACT_S)
    assert fleet.nodes[name].gate.table.find_quarantined(POISON.fingerprint) is not None


@pytest.mark.parametrize("seed", range(4))
def test_poison_request_stays_quarantined_while_counting_nodes_restart(seed: int) -> None:
    fleet = ModelFleet(20, seed=seed, services=2)
    fleet.repeat(POISON, per_s=2.0, until_s=150.0)
    for at_s in range(150):
        name = fleet.random.choice(fleet.vms).name
        fleet.at(at_s + 0.5, lambda name=name: fleet.restart_node(name))
    fleet.run_until(150.0)
    assert len(list(list_late_arrivals(fleet, POISON, CONTACT_S))) <= MAX_LATE_ARRIVALS
