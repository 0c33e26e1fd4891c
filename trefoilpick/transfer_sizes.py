"""Mean number of bytes that the requests of each route transfer, including their answers."""

from __future__ import annotations

from trefoilpick.averages import MovingAverages

HEAVY_BYTES = 2_000
"""Bytes from which a request should stay in its own data centre if lighter ones can leave instead:
several times the size of the heads."""


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
