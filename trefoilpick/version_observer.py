"""Newer versions named by other nodes in requests and answers, which a lagging node fetches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick.manifest import VersionId

if TYPE_CHECKING:
    from trefoilpick.metrics import Metrics
    from trefoilpick.snapshots import SnapshotCell

POLL_INTERVAL_S = 0.1
"""Interval between checks for a new observation, in seconds."""


@dataclass(frozen=True)
class VersionObservation:
    """A version newer than the enforced one, and the VM whose node named it."""

    vm: str
    version: VersionId


class VersionObserver:
    """Keeps the newest version that other nodes named, until `pop` returns it.

    Args:
        cell: Holds the enforced snapshot.
        metrics: Metrics of the node.
    """

    def __init__(self, cell: SnapshotCell, metrics: Metrics) -> None:
        self._cell = cell
        self._metrics = metrics
        self._newest: VersionObservation | None = None

    def record(self, vm: str, number: int, digest: str) -> None:
        """Record the version that a node named, if it is newer than the enforced one.

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
            self._newest = VersionObservation(vm, version)
            self._metrics.count("trefoilpick_sightings_total")

    def pop(self) -> VersionObservation | None:
        """Return and clear the newest observation, or return None if there is none."""
        observation, self._newest = self._newest, None
        return observation


def ignore_version(vm: str, number: int, digest: str) -> None:
    """Discard a version; the default if no `VersionObserver` is used."""
