"""Reading and watching of the configuration service by the few nodes that are readers."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import keep_running, run_until_first_ends
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import Event
from trefoilpick.manifest import decode_manifest, identify_version
from trefoilpick.ratelimits import Backoff, TokenBucket
from trefoilpick.revisions import compose_revision, format_revision
from trefoilpick.source import MANIFEST_KEY, VMS_KEY, build_section_key
from trefoilpick.vms import VmList

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from trefoilpick.logs import StateLog
    from trefoilpick.manifest import Manifest, VersionId
    from trefoilpick.membership import MembershipTable
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import SourceSettings
    from trefoilpick.source import Source, SourceValue
    from trefoilpick.versions import VersionStore

SMALL_CHANGE_SECTIONS = 8
"""Largest number of missing sections that a reader reads immediately, regardless of its rank."""

MANIFEST_REREAD_FRACTION = 0.2
"""Fraction of watches without a change after which the manifest is read: if the service lost its
revisions, a watch would never return a change."""

LIST_REREAD_FRACTION = 0.01
"""Fraction of watches without a change after which the list of VMs is read."""

POLL_INTERVAL_S = 0.05
"""Interval between checks for a version from a peer, in seconds."""

UNANSWERED_KINDS = frozenset((ErrorKind.SOURCE_UNAVAILABLE, ErrorKind.SOURCE_RATE_LIMITED))
"""Errors of calls to which the source gave no answer."""

ANSWER_MARGIN_S = 0.3
"""Time after the longest watch within which its answer arrives, in seconds."""

READER_STAGGER_S = 1.5
"""Delay between consecutive readers before they read many missing sections, in seconds, so that the
preceding reader can distribute them."""


class SourceReader:
    """Reads the source for one node, within its read budget.

    Args:
        source: The configuration service.
        store: Collects the sections that are read.
        membership: Receives the list of VMs.
        budget: Limits the reads.
        metrics: Metrics of the node.
        log: Log of state changes.
        random: Random number generator.
        on_version_added: Called after a new version has been added to the store.
        on_list_adopted: Called when a new list of VMs has been adopted.
        on_availability_changed: Called when `is_unavailable` has changed.
        settings: Interval between watches and maximum backoff.

    Attributes:
        read_order: Number of readers that precede this one when many sections are to be read.
        answered_s: Time of the source's last answer, by the monotonic clock, in seconds.
        answered_request_s: Time at which the call with that answer was made, by the monotonic
            clock, in seconds.
        is_failing: Whether the last read or watch in `run` failed or returned a faulty value.
        is_unavailable: Whether the source gave no answer to the last call in `run`, though the node
            holds a version and so has reached the fleet's source or a peer before.
        newest: Version that the source reported last; None if it has reported none.
        has_shown_fault: Whether the source has answered with a value that is not a version.
        reading_version: Version whose few missing sections are being read; None if there is none.
    """

    def __init__(
        self,
        source: Source,
        *,
        store: VersionStore,
        membership: MembershipTable,
        budget: TokenBucket,
        metrics: Metrics,
        log: StateLog,
        random: Random,
        on_version_added: Callable[[], Awaitable[None]],
        on_list_adopted: Callable[[], Awaitable[None]],
        on_availability_changed: Callable[[], Awaitable[None]],
        settings: SourceSettings,
    ) -> None:
        self._settings = settings
        self._source = source
        self._store = store
        self._membership = membership
        self._budget = budget
        self._metrics = metrics
        self._log = log
        self._random = random
        self._on_version_added = on_version_added
        self._on_list_adopted = on_list_adopted
        self._on_availability_changed = on_availability_changed
        self._reading = curio.Event()
        self.read_order = 0
        self.answered_s = float("-inf")
        self.answered_request_s = float("-inf")
        self.is_failing = False
        self.is_unavailable = False
        self.newest: VersionId | None = None
        self.has_shown_fault = False
        self.reading_version: VersionId | None = None

    def apply_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and intervals."""
        self._settings = settings
        self._source.apply_settings(settings)

    @property
    def is_started(self) -> bool:
        """Whether the node reads the source, regardless of whether it answers."""
        return self._reading.is_set()

    @property
    def is_reading(self) -> bool:
        """Whether the node reads the source and the source answers."""
        return self._reading.is_set() and not self.is_failing

    def has_recent_answer(self) -> bool:
        """Return whether the source is read and has answered within the longest watch."""
        settings = self._settings
        longest_s = (settings.watch_ms + settings.watch_gap_ms) / 1000 + ANSWER_MARGIN_S
        return self.is_reading and read_clock() - self.answered_s < longest_s

    async def start(self, read_order: int) -> None:
        """Start reading and watching.

        Args:
            read_order: Number of readers that precede this one when many sections are to be read.
        """
        self.read_order = read_order
        if not self.is_started:
            self.is_unavailable = False
        await self._reading.set()
        self._log.report(Event.READER, "reading")

    def stop(self) -> None:
        """Stop reading when the current watch ends."""
        self._reading.clear()
        self._log.report(Event.READER, "following")

    async def run(self) -> None:
        """Read and watch while started, until cancelled."""
        watches = {
            "read_versions": partial(
                self._watch, MANIFEST_KEY, self._handle_manifest, MANIFEST_REREAD_FRACTION
            ),
            "read_vms": partial(self._watch, VMS_KEY, self._handle_list, LIST_REREAD_FRACTION),
        }
        # Apart, so that an error in one value does not end the reading of the other.
        await run_until_first_ends(
            *(
                keep_running(part, name=name, metrics=self._metrics)
                for name, part in watches.items()
            )
        )

    async def read_manifest(self) -> None:
        """Read the manifest once.

        Raises:
            TrefoilpickError: The source did not answer, or its value is not a manifest.
        """
        try:
            value = await self._read(MANIFEST_KEY)
            self.newest = self._identify(decode_manifest(value.data), value)
        except TrefoilpickError as error:
            self._record_fault(MANIFEST_KEY, error)
            raise

    async def read_list(self) -> None:
        """Read the list of VMs once.

        Raises:
            TrefoilpickError: The source did not answer, or its value is not a list.
        """
        value = await self._read(VMS_KEY)
        await self._handle_list(value)

    async def _watch(
        self, key: str, handle: Callable[[SourceValue], Awaitable[None]], reread_fraction: float
    ) -> None:
        backoff = Backoff(self._random, max_s=self._settings.backoff_ms / 1000)
        revision: int | None = None
        while True:
            await self._reading.wait()
            try:
                value = await self._read_or_watch(key, revision)
                if value is not None:
                    revision = value.revision
                    await handle(value)
                    # Batches changes in quick succession into one read.
                    await curio.sleep(self._settings.watch_gap_ms / 1000)
                elif self._random.random() < reread_fraction:
                    revision = None
                backoff.reset()
            except TrefoilpickError as error:
                revision = None
                self._record_fault(key, error)
                await self._record_failure(error)
                await backoff.wait()

    async def _read_or_watch(self, key: str, revision: int | None) -> SourceValue | None:
        if revision is None:
            return await self._read(key)
        await self._budget.acquire()
        self._metrics.count("trefoilpick_source_reads_total", kind="watch")
        requested_s = read_clock()
        value = await self._source.watch_value(key, after=revision)
        await self._record_answer(requested_s)
        return value

    async def _read(self, key: str) -> SourceValue:
        await self._budget.acquire()
        self._metrics.count("trefoilpick_source_reads_total", kind="read")
        requested_s = read_clock()
        value = await self._source.read_value(key)
        await self._record_answer(requested_s)
        return value

    async def _handle_manifest(self, value: SourceValue) -> None:
        manifest = decode_manifest(value.data)
        version = self._identify(manifest, value)
        self.newest = version
        self._report_version(version)
        if self._store.newest is not None and version < self._store.newest:
            self._metrics.count("trefoilpick_source_stale_total")
        if self._store.is_newer(version):
            await self._read_sections(manifest, version)
        else:
            self._store.record_confirmation(version)

    def _identify(self, manifest: Manifest, value: SourceValue) -> VersionId:
        version = identify_version(manifest, confirmed_at=value.composed_revision)
        return self._store.correct_confirmation(version)

    async def _read_sections(self, manifest: Manifest, version: VersionId) -> None:
        for ref in self._store.list_missing(manifest):
            text = self._source.find_held(build_section_key(ref.digest))
            if text is not None:
                self._store.add_text(ref, text)
        is_large = len(self._store.list_missing(manifest)) > SMALL_CHANGE_SECTIONS
        if is_large:
            await self._wait_for_preceding_readers(version)
        # A large change comes from whichever is first: a peer that holds all of it, or the source.
        self.reading_version = None if is_large else version
        try:
            while (missing := self._store.list_missing(manifest)) and self._store.is_newer(version):
                value = await self._read(build_section_key(missing[0].digest))
                self._store.add_text(missing[0], value.data)
        finally:
            self.reading_version = None
        if self._store.add_version(manifest, confirmed_at=version.confirmed_at):
            await self._on_version_added()

    async def _wait_for_preceding_readers(self, version: VersionId) -> None:
        """Wait for the preceding readers to read and distribute a version, for a bounded time."""
        until_s = read_clock() + (self.read_order + self._random.random() / 2) * READER_STAGGER_S
        while read_clock() < until_s and self._store.is_newer(version):
            await curio.sleep(POLL_INTERVAL_S)

    async def _handle_list(self, value: SourceValue) -> None:
        try:
            vms = msgspec.json.decode(value.data, type=VmList)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, f"list of VMs: {error}") from error
        revision = compose_revision(value.era, vms.revision)
        if self._membership.adopt_list(VmList(revision, vms.vms)):
            await self._on_list_adopted()

    def _report_version(self, version: VersionId) -> None:
        """Log a version that the source shows, and how it compares with the one held."""
        held = self._store.newest
        self._log.report(
            Event.SOURCE_VERSION,
            f"{version.number}/{version.digest}",
            revision=format_revision(version.confirmed_at),
            held="" if held is None else f"{held.number}/{held.digest}",
            order=_compare_versions(version, held),
        )

    async def _record_answer(self, requested_s: float) -> None:
        self.answered_s = read_clock()
        self.answered_request_s = requested_s
        self.is_failing = False
        self._log.report(Event.SOURCE, "up")
        await self._set_unavailable(is_unavailable=False)

    def _record_fault(self, key: str, error: TrefoilpickError) -> None:
        if key == MANIFEST_KEY and error.kind not in UNANSWERED_KINDS:
            self.has_shown_fault = True

    async def _record_failure(self, error: TrefoilpickError) -> None:
        self._metrics.count("trefoilpick_source_failures_total", kind=error.kind.value)
        self.is_failing = True
        fields = {"kind": error.kind.value, "text": error.text}
        self._log.report(Event.SOURCE, "down", level=logging.WARNING, **fields)
        if error.kind in UNANSWERED_KINDS and self._store.newest is not None:
            await self._set_unavailable(is_unavailable=True)

    async def _set_unavailable(self, *, is_unavailable: bool) -> None:
        if is_unavailable != self.is_unavailable:
            self.is_unavailable = is_unavailable
            await self._on_availability_changed()


def _compare_versions(version: VersionId, held: VersionId | None) -> str:
    """Return how a version of the source compares with the one that the node holds."""
    if held is None or version.number > held.number:
        return "newer"
    if version.number < held.number:
        return "older"
    if version == held:
        return "held"
    return "replacing" if version > held else "replaced"
