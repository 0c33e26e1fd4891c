"""Traffic splitting: divides a route's requests between upstreams by weight."""

from __future__ import annotations

from math import gcd
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from trefoilpick.snapshots import TeamRoute

MAX_PHASE = 1_000
"""Largest number of requests by which a sequence is advanced at its start."""


class Splitter:
    """Assigns requests of split routes to upstreams by smooth weighted round robin.

    Every request adds each upstream's weight to its credit. The upstream with the most credit gets
    the request, and the sum of all weights is subtracted from its credit, so that no upstream is
    ever more than one request off its exact share of the sequence.

    Each node begins the sequence at a random request. If all began at its first, a fleet in which
    each node gets a few requests would send nearly all of them to the upstream with the most
    weight.

    Args:
        random: Random number generator for the first request.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._credits: dict[tuple[str, str], tuple[dict[str, int], dict[str, int]]] = {}

    def choose(self, team_route: TeamRoute) -> TeamRoute:
        """Return the route with the upstream for its next request."""
        if not team_route.shares:
            return team_route
        weights = {share.upstream.name: weight for share, weight in team_route.shares}
        if not any(weights.values()):
            return team_route
        chosen = _advance(weights, self._find_credits(team_route, weights))
        return next(share for share, _ in team_route.shares if share.upstream.name == chosen)

    def _find_credits(self, team_route: TeamRoute, weights: dict[str, int]) -> dict[str, int]:
        key = (team_route.team, team_route.route.name)
        known_weights, credits = self._credits.get(key, (None, {}))
        if known_weights != weights:
            credits = dict.fromkeys(weights, 0)
            period = sum(weights.values()) // gcd(*weights.values())
            for _ in range(self._random.randrange(min(period, MAX_PHASE))):
                _advance(weights, credits)
            self._credits[key] = (weights, credits)
        return credits


def _advance(weights: dict[str, int], credits: dict[str, int]) -> str:
    """Return the upstream for the next request, and update the credits."""
    for name, weight in weights.items():
        credits[name] += weight
    chosen = max(weights, key=credits.__getitem__)
    credits[chosen] -= sum(weights.values())
    return chosen
