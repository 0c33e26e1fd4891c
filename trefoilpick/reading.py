"""Reads and watches of the configuration service, by the few nodes that read it."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

import curio
import msgspec

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import run_until_first_ends
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import Event
from trefoilpick.manifest import decode_manifest, identify_version
from trefoilpick.ratelimits import Backoff, TokenBucket
from trefoilpick.source import MANIFEST_KEY, VMS_KEY, name_section_key
from trefoilpick.vms import VmList

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from trefoilpick.logs import StateLog
    from trefoilpick.manifest import Manifest, VersionId
    from trefoilpick.metrics import Metrics
    from trefoilpick.roster import Roster
    from trefoilpick.settings import SourceSettings
    from trefoilpick.source import Source, SourceValue
    from trefoilpick.versions import VersionStore

FEW_SECTIONS = 8
"""Missing sections that a reader reads at once, whatever its rank."""

REREAD_MANIFEST = 0.2
"""Share of idle watches of the manifest after which it is read: a service that lost its
revisions would never end a watch."""

REREAD_LIST = 0.01
"""Share of idle watches of the list of VMs after which it is read."""

TURN_LOOK_S = 0.05
"""Time between two looks for a version from a peer, in seconds."""

TURN_S = 1.5
"""Time that a reader leaves to the one before it when much is missing, in seconds."""


class SourceReader:
    """Reads the source for one node, within its budget.

    Args:
        source: The configuration service.
        store: Where sections are gathered.
        roster: Where the list of VMs goes.
        budget: Limits the reads.
        metrics: Where reads are counted.
        log: Where changes of state are told.
        random: Source of draws.
        note_held: Called when a new version is held.
        note_list: Called when a new list of VMs is taken.
        settings: Pauses between reads.
    """

    def __init__(
        self,
        source: Source,
        *,
        store: VersionStore,
        roster: Roster,
        budget: TokenBucket,
        metrics: Metrics,
        log: StateLog,
        random: Random,
        note_held: Callable[[], Awaitable[None]],
        note_list: Callable[[], Awaitable[None]],
        settings: SourceSettings,
    ) -> None:
        self._gap_s = settings.watch_gap_ms / 1000
        self._backoff_s = settings.backoff_ms / 1000
        self._source = source
        self._store = store
        self._roster = roster
        self._budget = budget
        self._metrics = metrics
        self._log = log
        self._random = random
        self._note_held = note_held
        self._note_list = note_list
        self._reading = curio.Event()
        self.turn = 0
        self.answered_s = float("-inf")
        self.asked_s = float("-inf")
        self.failing = False
        self.newest: VersionId | None = None
        self.gathering: VersionId | None = None
        """Version whose few missing sections this reader reads now."""

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times."""
        self._gap_s = settings.watch_gap_ms / 1000
        self._backoff_s = settings.backoff_ms / 1000
        self._source.apply_settings(settings)

    @property
    def is_reading(self) -> bool:
        """Whether the node reads the source and the source answers."""
        return self._reading.is_set() and not self.failing

    def hears(self, within_s: float) -> bool:
        """Tell whether the node reads the source and had an answer within a time, in seconds."""
        return self.is_reading and read_clock() - self.answered_s < within_s

    async def start(self, turn: int) -> None:
        """Begin to read and watch.

        Args:
            turn: Readers of the fleet that go before this one when much is to be read.
        """
        self.turn = turn
        await self._reading.set()
        self._log.report(Event.READER, "reading")

    def stop(self) -> None:
        """Cease to read once the present watch ends."""
        self._reading.clear()
        self._log.report(Event.READER, "following")

    async def run(self) -> None:
        """Read and watch while it is this node's turn, until cancelled."""
        await run_until_first_ends(
            partial(self._watch, MANIFEST_KEY, self._take_manifest, REREAD_MANIFEST),
            partial(self._watch, VMS_KEY, self._take_list, REREAD_LIST),
        )

    async def read_manifest(self) -> None:
        """Read the manifest once.

        Raises:
            TrefoilpickError: The source did not answer, or not with a manifest.
        """
        value = await self._read(MANIFEST_KEY)
        self.newest = identify_version(decode_manifest(value.data))

    async def read_list(self) -> None:
        """Read the list of VMs once.

        Raises:
            TrefoilpickError: The source did not answer, or not with a list.
        """
        value = await self._read(VMS_KEY)
        await self._take_list(value.data)

    async def _watch(
        self, key: str, take: Callable[[bytes], Awaitable[None]], reread_share: float
    ) -> None:
        backoff = Backoff(self._random, max_s=self._backoff_s)
        revision: int | None = None
        while True:
            await self._reading.wait()
            try:
                value = await self._read_or_watch(key, revision)
                if value is not None:
                    revision = value.revision
                    await take(value.data)
                    # Changes in quick succession are read together.
                    await curio.sleep(self._gap_s)
                elif self._random.random() < reread_share:
                    revision = None
                backoff.reset()
            except TrefoilpickError as error:
                revision = None
                self._note_failure(error)
                await backoff.wait()

    async def _read_or_watch(self, key: str, revision: int | None) -> SourceValue | None:
        if revision is None:
            return await self._read(key)
        await self._budget.acquire()
        self._metrics.count("trefoilpick_source_reads_total", kind="watch")
        asked_s = read_clock()
        value = await self._source.watch_value(key, after=revision)
        self._note_answer(asked_s)
        return value

    async def _read(self, key: str) -> SourceValue:
        await self._budget.acquire()
        self._metrics.count("trefoilpick_source_reads_total", kind="read")
        asked_s = read_clock()
        value = await self._source.read_value(key)
        self._note_answer(asked_s)
        return value

    async def _take_manifest(self, data: bytes) -> None:
        manifest = decode_manifest(data)
        version = identify_version(manifest)
        self.newest = version
        if self._store.newest is not None and version < self._store.newest:
            self._metrics.count("trefoilpick_source_stale_total")
        if self._is_newer(version):
            await self._gather(manifest, version)

    async def _gather(self, manifest: Manifest, version: VersionId) -> None:
        is_large = len(self._store.list_missing(manifest)) > FEW_SECTIONS
        if is_large:
            await self._wait_turn(version)
        # Much is gathered from whoever is first: a peer that holds it all, or the source.
        self.gathering = None if is_large else version
        try:
            while (missing := self._store.list_missing(manifest)) and self._is_newer(version):
                value = await self._read(name_section_key(missing[0].digest))
                self._store.add_text(missing[0], value.data)
        finally:
            self.gathering = None
        if self._store.hold(manifest):
            await self._note_held()

    async def _wait_turn(self, version: VersionId) -> None:
        """Leave the reading to the readers before, unless their version does not come."""
        until = read_clock() + (self.turn + self._random.random() / 2) * TURN_S
        while read_clock() < until and self._is_newer(version):
            await curio.sleep(TURN_LOOK_S)

    def _is_newer(self, version: VersionId) -> bool:
        return self._store.newest is None or version > self._store.newest

    async def _take_list(self, data: bytes) -> None:
        try:
            vms = msgspec.json.decode(data, type=VmList)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, f"list of VMs: {error}") from error
        if self._roster.adopt_list(vms):
            await self._note_list()

    def _note_answer(self, asked_s: float) -> None:
        self.answered_s = read_clock()
        self.asked_s = asked_s
        self.failing = False
        self._log.report(Event.SOURCE, "up")

    def _note_failure(self, error: TrefoilpickError) -> None:
        self._metrics.count("trefoilpick_source_failures_total", kind=error.kind.value)
        self.failing = True
        fields = {"kind": error.kind.value, "text": error.text}
        self._log.report(Event.SOURCE, "down", level=logging.WARNING, **fields)
