"""Versions that other nodes name in requests and answers, so that a lagging node finds out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick.manifest import VersionId

if TYPE_CHECKING:
    from trefoilpick.metrics import Metrics
    from trefoilpick.snapshots import SnapshotCell

LOOK_S = 0.1
"""Time between two looks for a new sighting, in seconds."""


@dataclass(frozen=True)
class Sighting:
    """A version newer than the own, and the VM whose node named it."""

    vm: str
    version: VersionId


class Sightings:
    """Keeps the newest version that was named on hops, until it is taken.

    Args:
        cell: The enforced version.
        metrics: Where sightings are counted.
    """

    def __init__(self, cell: SnapshotCell, metrics: Metrics) -> None:
        self._cell = cell
        self._metrics = metrics
        self._newest: Sighting | None = None

    def note(self, vm: str, number: int, digest: str) -> None:
        """Take note of the version that a node named.

        Args:
            vm: The node's VM.
            number: Version number; 0 for none.
            digest: Digest of that version.
        """
        current = self._cell.current
        if current is None or number < current.version.number:
            return
        version = VersionId(number, digest)
        if version <= current.version:
            return
        if self._newest is None or version > self._newest.version:
            self._newest = Sighting(vm, version)
            self._metrics.count("trefoilpick_sightings_total")

    def take(self) -> Sighting | None:
        """Return the newest sighting since the last call; None without one."""
        found, self._newest = self._newest, None
        return found


def ignore_version(vm: str, number: int, digest: str) -> None:
    """Take no note of a version."""
