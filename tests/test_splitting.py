from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from trefoilpick.document import Contract, Match, Route, Upstream
from trefoilpick.snapshots import TeamRoute
from trefoilpick.splitting import Splitter

SHARES = {"a": 1 / 7, "b": 1 / 7, "c": 5 / 7}


class FirstPhase(Random):
    """Begins every sequence at its first request."""

    def randrange(self, *args: int, **kwargs: int) -> int:
        return 0


def make_route(**weights: int) -> TeamRoute:
    route = Route("r", Match("/", ("GET",)), next(iter(weights)), Contract(True))
    shares = tuple(
        (TeamRoute("t", route, Upstream(name)), weight) for name, weight in weights.items()
    )
    return TeamRoute("t", route, Upstream(next(iter(weights))), shares)


@pytest.mark.parametrize(
    "weights", [{"a": 90, "b": 10}, {"a": 1, "b": 1, "c": 5}, {"a": 0, "b": 3}]
)
def test_every_upstream_stays_within_one_request_of_its_exact_share(
    weights: dict[str, int],
) -> None:
    splitter, route = Splitter(FirstPhase()), make_route(**weights)
    total, counts = sum(weights.values()), Counter[str]()
    for number in range(1, 500):
        counts[splitter.choose(route).upstream.name] += 1
        for name, weight in weights.items():
            assert abs(counts[name] - number * weight / total) <= 1.0


@pytest.mark.parametrize("seed", range(20))
def test_any_run_of_requests_is_less_than_two_off(seed: int) -> None:
    """A node that begins in the middle differs by the debts of two moments."""
    splitter, route = Splitter(Random(seed)), make_route(a=1, b=1, c=5)
    counts = Counter[str]()
    for number in range(1, 100):
        counts[splitter.choose(route).upstream.name] += 1
        assert all(abs(counts[name] - number * share) < 2 for name, share in SHARES.items())


def test_changed_weights_apply_at_once() -> None:
    splitter = Splitter(Random(3))
    for _ in range(77):
        splitter.choose(make_route(a=90, b=10))
    counts = Counter(splitter.choose(make_route(a=10, b=90)).upstream.name for _ in range(200))
    assert abs(counts["b"] - 180) <= 2


def test_a_route_without_shares_is_unchanged() -> None:
    route = TeamRoute("t", make_route(a=1).route, Upstream("a"))
    assert Splitter(Random(3)).choose(route) is route


FLEET_TOLERANCE = 0.1
"""Largest deviation of an upstream's share of a fleet's requests."""


@pytest.mark.parametrize("nodes", [14, 80, 195, 1_100])
@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 1, 2), (75, 20, 5), (997, 3)])
def test_fleet_keeps_the_weights_though_each_node_sees_few_requests(
    nodes: int, weights: tuple[int, ...]
) -> None:
    """300 requests of a whole fleet, after a change of weights that reached all nodes."""
    names = [f"u{number}" for number in range(len(weights))]
    before = make_route(**dict.fromkeys(names, 1))
    after = make_route(**dict(zip(names, weights, strict=True)))
    for seed in range(8):
        rng = Random(seed)
        fleet = [Splitter(Random(f"{seed}-{node}")) for node in range(nodes)]
        for splitter in fleet:
            splitter.choose(before)
        counts = Counter(rng.choice(fleet).choose(after).upstream.name for _ in range(300))
        for name, weight in zip(names, weights, strict=True):
            assert abs(counts[name] / 300 - weight / sum(weights)) < FLEET_TOLERANCE, counts


def test_earlier_weights_leave_no_debt() -> None:
    """Credits that were collected under large weights must not last under small ones."""
    splitter = Splitter(Random(3))
    for _ in range(77):
        splitter.choose(make_route(a=900_000, b=100_000))
    chosen = [splitter.choose(make_route(a=1, b=1)).upstream.name for _ in range(20)]
    assert Counter(chosen) == {"a": 10, "b": 10}
