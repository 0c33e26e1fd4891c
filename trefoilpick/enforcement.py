"""Enforcement of stored versions: a version is checked, and enforced or refused as a whole."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock, read_wall_ms
from trefoilpick.errors import TrefoilpickError
from trefoilpick.logs import Event
from trefoilpick.status import EnforcedVersion, RefusedVersion
from trefoilpick.versions import prepare_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.logs import StateLog
    from trefoilpick.manifest import VersionId
    from trefoilpick.metrics import Metrics
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.versions import VersionStore

MAX_RECORDS = 16
"""Largest number of enforced versions, and of refused ones, that are kept for status reports."""


class Enforcer:
    """Enforces the newest stored version if it is valid.

    Args:
        store: The stored versions.
        cell: Holds the enforced snapshot.
        metrics: Metrics of the node.
        log: Log of state changes.
        wall_clock: Returns milliseconds since the Unix epoch.

    Attributes:
        enforced_s: Clock reading at the last enforcement, or at the start, in seconds.
        enforced_versions: Most recently enforced versions, newest first.
        refused_versions: Most recently refused versions, newest first.
    """

    def __init__(
        self,
        *,
        store: VersionStore,
        cell: SnapshotCell,
        metrics: Metrics,
        log: StateLog,
        wall_clock: Callable[[], int] = read_wall_ms,
    ) -> None:
        self._store = store
        self._cell = cell
        self._metrics = metrics
        self._log = log
        self._wall_clock = wall_clock
        self.enforced_s = read_clock()
        self._started_ms = wall_clock()
        self.enforced_versions: tuple[EnforcedVersion, ...] = ()
        self.refused_versions: tuple[RefusedVersion, ...] = ()

    @property
    def enforced(self) -> VersionId | None:
        """The version in force."""
        snapshot = self._cell.current
        return None if snapshot is None else snapshot.version

    def find_refusal(self, version: VersionId | None) -> str:
        """Return why a version was refused, or an empty string if it was not."""
        for entry in self.refused_versions:
            if version is not None and entry.digest == version.digest:
                return entry.text
        return ""

    def enforce_newest(self) -> None:
        """Check and enforce the newest stored version, or record why it is refused."""
        version = self._store.newest
        manifest = None if version is None else self._store.find_manifest(version)
        if version is None or manifest is None or version == self.enforced:
            return
        try:
            snapshot = prepare_snapshot(
                manifest,
                self._store,
                enforced=self._cell.current,
                confirmed_at=version.confirmed_at,
            )
        except TrefoilpickError as error:
            self._refuse(version, error)
            return
        if self._cell.replace(snapshot):
            self._record_enforced(version, manifest.accepted_at_ms)

    def _record_enforced(self, version: VersionId, accepted_at_ms: int) -> None:
        self.enforced_s = read_clock()
        took_ms = None
        if accepted_at_ms >= self._started_ms:
            took_ms = float(max(0, self._wall_clock() - accepted_at_ms))
            self._metrics.observe("trefoilpick_convergence_microseconds", took_ms * 1_000)
        entry = EnforcedVersion(version.number, version.digest, accepted_at_ms, took_ms)
        self.enforced_versions = (entry, *self.enforced_versions)[:MAX_RECORDS]
        self._metrics.count("trefoilpick_versions_enforced_total")
        self._metrics.set_gauge("trefoilpick_version_number", version.number)
        self._log.report(Event.VERSION, version.number, digest=version.digest)

    def _refuse(self, version: VersionId, error: TrefoilpickError) -> None:
        if self.find_refusal(version):
            return
        entry = RefusedVersion(version.number, version.digest, error.kind.value, error.text)
        self.refused_versions = (entry, *self.refused_versions)[:MAX_RECORDS]
        self._metrics.count("trefoilpick_versions_refused_total")
        fields = {"digest": version.digest, "text": error.text}
        self._log.report(Event.VERSION_REFUSED, version.number, level=logging.WARNING, **fields)
