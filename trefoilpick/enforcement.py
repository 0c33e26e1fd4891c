"""Enforcing of held versions: whole and checked, or not at all."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock, read_wall_ms
from trefoilpick.errors import TrefoilpickError
from trefoilpick.versions import prepare_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.manifest import VersionId
    from trefoilpick.metrics import Metrics
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.versions import VersionStore

KEPT_RECORDS = 16
"""Enforced and refused versions that are remembered."""

logger = logging.getLogger("trefoilpick")


@dataclass(frozen=True)
class Convergence:
    """How long an accepted version took to be in force on this node.

    Attributes:
        number: Version number.
        milliseconds: From the manifest's time of acceptance.
    """

    number: int
    milliseconds: int


@dataclass(frozen=True)
class RefusedVersion:
    """A version that was held and is not enforced.

    Attributes:
        version: Its identity.
        reason: Its first fault.
    """

    version: VersionId
    reason: str


class Enforcer:
    """Puts the newest held version in force, where it has no fault.

    Args:
        store: The held versions.
        cell: Where the enforced snapshot is.
        metrics: Where changes are counted.
        wall_clock: Reads milliseconds since the Unix epoch.
    """

    def __init__(
        self,
        *,
        store: VersionStore,
        cell: SnapshotCell,
        metrics: Metrics,
        wall_clock: Callable[[], int] = read_wall_ms,
    ) -> None:
        self._store = store
        self._cell = cell
        self._metrics = metrics
        self._wall_clock = wall_clock
        self.enforced_s = read_clock()
        self.convergences: tuple[Convergence, ...] = ()
        self.refused: tuple[RefusedVersion, ...] = ()

    @property
    def enforced(self) -> VersionId | None:
        """The version in force."""
        snapshot = self._cell.current
        return None if snapshot is None else snapshot.version

    def find_refusal(self, version: VersionId | None) -> str:
        """Return why a version was refused; empty where it was not."""
        return next((entry.reason for entry in self.refused if entry.version == version), "")

    def enforce_newest(self) -> None:
        """Check the newest held version and enforce it, or keep the former and remember why."""
        version = self._store.newest
        manifest = None if version is None else self._store.find_manifest(version)
        if version is None or manifest is None or version == self.enforced:
            return
        try:
            snapshot = prepare_snapshot(manifest, self._store, former=self._cell.current)
        except TrefoilpickError as error:
            self._refuse(version, error)
            return
        if self._cell.replace(snapshot):
            self._note_enforced(version, manifest.accepted_at_ms)

    def _note_enforced(self, version: VersionId, accepted_at_ms: int) -> None:
        self.enforced_s = read_clock()
        took = max(0, self._wall_clock() - accepted_at_ms)
        self.convergences = (*self.convergences, Convergence(version.number, took))[-KEPT_RECORDS:]
        self._metrics.count("trefoilpick_versions_enforced_total")
        self._metrics.set_gauge("trefoilpick_version_number", version.number)
        self._metrics.observe("trefoilpick_convergence_microseconds", took * 1_000)
        logger.info("version enforced", extra={"version": version.number, "digest": version.digest})

    def _refuse(self, version: VersionId, error: TrefoilpickError) -> None:
        if self.find_refusal(version):
            return
        self.refused = (*self.refused, RefusedVersion(version, error.text))[-KEPT_RECORDS:]
        self._metrics.count("trefoilpick_versions_refused_total")
        fields = {"version": version.number, "digest": version.digest, "text": error.text}
        logger.warning("version refused", extra=fields)
