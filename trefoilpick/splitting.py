"""Traffic splitting: divides a route's requests between upstreams by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.snapshots import TeamRoute


class Splitter:
    """Assigns requests of split routes to upstreams by smooth weighted round robin.

    Every request adds each upstream's weight to its credit. The upstream with the most credit gets
    the request, and the sum of all weights is subtracted from its credit, so that no upstream is
    ever more than one request off its exact share.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, str], dict[str, int]] = {}

    def choose(self, team_route: TeamRoute) -> TeamRoute:
        """Return the route with the upstream for its next request."""
        if not team_route.shares:
            return team_route
        total = sum(weight for _, weight in team_route.shares)
        if total == 0:
            return team_route
        credits = self._find_credits(team_route)
        for share, weight in team_route.shares:
            credits[share.upstream.name] += weight
        chosen = max(team_route.shares, key=lambda entry: credits[entry[0].upstream.name])[0]
        credits[chosen.upstream.name] -= total
        return chosen

    def _find_credits(self, team_route: TeamRoute) -> dict[str, int]:
        key = (team_route.team, team_route.route.name)
        names = {share.upstream.name for share, _ in team_route.shares}
        credits = self._credits.get(key)
        if credits is None or credits.keys() != names:
            credits = self._credits[key] = dict.fromkeys(names, 0)
        return credits
