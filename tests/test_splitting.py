from __future__ import annotations

from collections import Counter

import pytest

from trefoilpick.document import Contract, Match, Route, Upstream
from trefoilpick.snapshots import TeamRoute
from trefoilpick.splitting import Splitter


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
    splitter, route = Splitter(), make_route(**weights)
    total, counts = sum(weights.values()), Counter[str]()
    for number in range(1, 500):
        counts[splitter.choose(route).upstream.name] += 1
        for name, weight in weights.items():
            assert abs(counts[name] - number * weight / total) <= 1.0


def test_changed_weights_apply_at_once() -> None:
    splitter = Splitter()
    for _ in range(77):
        splitter.choose(make_route(a=90, b=10))
    counts = Counter(splitter.choose(make_route(a=10, b=90)).upstream.name for _ in range(200))
    assert abs(counts["b"] - 180) <= 2


def test_a_route_without_shares_is_unchanged() -> None:
    route = TeamRoute("t", make_route(a=1).route, Upstream("a"))
    assert Splitter().choose(route) is route
