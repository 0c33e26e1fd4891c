"""The division of a route's requests between upstreams, exact over a few requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.snapshots import TeamRoute


class Splitter:
    """Deals the requests of divided routes by smooth weighted round robin.

    Each share gains its weight with every request; the one with the most gets the request and
    pays the sum of all weights. So no share is ever more than one request from its due.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, str], dict[str, int]] = {}

    def choose(self, team_route: TeamRoute) -> TeamRoute:
        """Return the route with the upstream that gets its next request."""
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
