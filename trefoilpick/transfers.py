"""How many bytes the requests of each route move, request and answer together."""

from __future__ import annotations

MAX_ROUTES = 4_096
"""Routes that are remembered: more than a document of the target's size has."""

NEWEST_WEIGHT = 0.1
"""Weight of the newest request in the mean."""

HEAVY_BYTES = 2_000
"""Bytes from which a request is better kept in its own data centre, where others can move instead:
several times those of heads."""


class TransferSizes:
    """Mean bytes by route."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def note(self, team: str, route: str, size: int) -> None:
        """Take the bytes of a request and its answer into the mean of its route."""
        key = (team, route)
        mean = self._means.get(key)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                self._means.pop(next(iter(self._means)))
            self._means[key] = size
        else:
            self._means[key] = mean + NEWEST_WEIGHT * (size - mean)

    def is_heavy(self, team: str, route: str) -> bool:
        """Tell whether requests of a route move many bytes; those of an unknown one do not."""
        return self._means.get((team, route), 0.0) >= HEAVY_BYTES
