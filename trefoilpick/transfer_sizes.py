"""Mean number of bytes that the requests of each route transfer, including their answers."""

from __future__ import annotations

from trefoilpick.averages import MovingAverages

HEAVY_BYTES = 2_000
"""Mean transfer size from which requests of a route count as heavy, in bytes: several times the
size of the heads. When requests overflow to other data centres, lighter ones are sent first."""


class TransferSizes:
    """Moving averages of transferred bytes by route."""

    def __init__(self) -> None:
        self._means: MovingAverages[tuple[str, str]] = MovingAverages()

    def record(self, team: str, route: str, size: int) -> None:
        """Add the bytes of a request and its answer to the average of its route."""
        self._means.add((team, route), size)

    def is_heavy(self, team: str, route: str) -> bool:
        """Return whether requests of a route transfer many bytes; False for an unknown route."""
        return self._means.get((team, route), 0.0) >= HEAVY_BYTES
