"""How many bytes the requests of each route move, request and answer together."""

from __future__ import annotations

from trefoilpick.means import MovingMeans

HEAVY_BYTES = 2_000
"""Bytes from which a request is better kept in its own data centre, where others can move instead:
several times those of heads."""


class TransferSizes:
    """Mean bytes by route."""

    def __init__(self) -> None:
        self._means: MovingMeans[tuple[str, str]] = MovingMeans()

    def note(self, team: str, route: str, size: int) -> None:
        """Take the bytes of a request and its answer into the mean of its route."""
        self._means.note((team, route), size)

    def is_heavy(self, team: str, route: str) -> bool:
        """Tell whether requests of a route move many bytes; those of an unknown one do not."""
        return self._means.get((team, route), 0.0) >= HEAVY_BYTES
