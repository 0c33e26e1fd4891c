"""The platform's store, as the configuration service that a node reads."""

from __future__ import annotations

import base64
import binascii
import math
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import curio
import msgspec

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import Manifest, SectionRef, compute_digest, encode_manifest
from trefoilpick.platform.configuration import decode_configuration, list_sections
from trefoilpick.platform.entries import ENTRY_PREFIX, WorkerEntries
from trefoilpick.source import (
    MANIFEST_KEY,
    READS,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_RATE_LIMITED,
    VMS_KEY,
    SourceValue,
    name_section_key,
    open_client,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from trefoilpick._source_connection import SourceReply
    from trefoilpick.settings import Settings, SourceSettings
    from trefoilpick.source import SourceClient

BodyT = TypeVar("BodyT", bound=msgspec.Struct)

CONFIGURATION_KEY = "op/config"
"""Key of the operators' configuration."""

KEY_PATH = "/trefoilpick/kv-key"
RANGE_PATH = "/trefoilpick/kv-range"
WATCH_PATH = "/trefoilpick/kv-watch"

STATUS_HISTORY_GONE = 410
"""Status of a watch whose start the store no longer remembers."""

SHORTEST_ANSWER_S = 0.25
"""Shortest time that a watch leaves for its answer besides its wait, in seconds: the store answers
in milliseconds, and a silent watch must be noticed soon after its wait."""

ANSWER_FACTOR = 4.0
"""Multiple of the store's last time for an answer that the next one gets."""

ANSWER_DECAY = 0.8
"""Part of a longer time for answers that stays after each quick one."""

SHORTEST_WAIT = 0.6
"""Smallest part of the settings' wait that a watch takes: nodes that heard of one change together
do not all ask again together."""

SHORTEST_LAPSE_S = 1.5
"""Time that the store must be away before entries of live workers lapse, in seconds: they do after
three heartbeats without a word, one of which may have passed before, and those of the users'
deployments are 0.87 s and more."""

KEPT_SECTIONS = 3
"""Versions whose sections can be read."""


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str = ""
    """The value's bytes in base64."""
    deleted: bool = False


class _OneItem(msgspec.Struct, frozen=True, rename="kebab"):
    value: str
    revision: int
    store_revision: int


class _Page(msgspec.Struct, frozen=True, rename="kebab"):
    items: tuple[_Item, ...]
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True, rename="kebab"):
    events: tuple[_Item, ...]
    store_revision: int


class StoreSource:
    """The platform's store, translated to the values that a node reads.

    One watch serves both values. A watch may fall silent for good, so it is short, and the time
    that its answer may take follows the store's own.

    Args:
        client: Makes the calls.
        entries: The workers that the store names.
        settings: Times.
        random: Source of the jitter of waits.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(
        self,
        client: SourceClient,
        entries: WorkerEntries,
        settings: SourceSettings,
        *,
        random: random.Random,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._client = client
        self._entries = entries
        self._settings = settings
        self._random = random
        self._clock = clock
        self._answer_s = SHORTEST_ANSWER_S
        self._heard_at = -math.inf
        self._failing_since: float | None = None
        self._watching = curio.Lock()
        self._position: int | None = None
        self._read_at: dict[str, int] = {}
        self._changes: dict[str, list[_Item]] = {MANIFEST_KEY: [], VMS_KEY: []}
        self._sections: list[dict[str, bytes]] = []

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times."""
        self._client.apply_settings(settings)
        self._settings = settings

    async def read_value(self, key: str) -> SourceValue:
        """Read a value now.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE`, `SOURCE_RATE_LIMITED` or `MANIFEST_FAULTY`.
        """
        if key == MANIFEST_KEY:
            return await self._read_configuration()
        if key == VMS_KEY:
            return await self._read_entries()
        for sections in reversed(self._sections):
            if key in sections:
                return SourceValue(sections[key], 0)
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no value "{key}"')

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value changes after what was last returned of it.

        Returns:
            The value; None where the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE`, `SOURCE_RATE_LIMITED` or `MANIFEST_FAULTY`.
        """
        async with self._watching:
            if key in self._read_at and not self._changes[key]:
                await self._watch()
        if key not in self._read_at:
            return await self.read_value(key)
        changes, self._changes[key] = self._changes[key], []
        if key == MANIFEST_KEY:
            return self._take_configuration(changes[-1]) if changes else None
        return self._take_entries(changes)

    async def _read_configuration(self) -> SourceValue:
        reply = await self._call(READS, f"{KEY_PATH}?key={quote(CONFIGURATION_KEY, safe='')}")
        item = _decode(reply, _OneItem)
        self._note_read(MANIFEST_KEY, item.store_revision)
        return self._take_configuration(_Item(CONFIGURATION_KEY, item.revision, item.value))

    def _take_configuration(self, item: _Item) -> SourceValue:
        configuration = decode_configuration(_decode_base64(item.value))
        refs: list[SectionRef] = []
        texts: dict[str, bytes] = {}
        for section in list_sections(configuration):
            text = msgspec.json.encode(section)
            digest = compute_digest(text)
            refs.append(SectionRef(section.team, digest, len(text)))
            texts[name_section_key(digest)] = text
        self._sections = [*self._sections, texts][-KEPT_SECTIONS:]
        manifest = Manifest(configuration.version, 0, tuple(refs))
        return SourceValue(encode_manifest(manifest), item.revision)

    async def _read_entries(self) -> SourceValue:
        items: dict[str, tuple[bytes, int]] = {}
        prefix = quote(ENTRY_PREFIX, safe="")
        target = f"{RANGE_PATH}?path-prefix={prefix}"
        page = _decode(await self._call(READS, target), _Page)
        # Pages are not of one moment: what changed since the first is told again.
        revision = page.store_revision
        while True:
            for item in page.items:
                items[item.key] = (_decode_base64(item.value), item.revision)
            if not page.has_more or not page.items:
                break
            after = quote(page.items[-1].key, safe="")
            page = _decode(await self._call(READS, f"{target}&after={after}"), _Page)
        now = self._clock()
        self._entries.replace_all(items, revision, now)
        self._entries.drop_held(now)
        self._note_read(VMS_KEY, revision)
        return self._tell_entries()

    def _take_entries(self, changes: list[_Item]) -> SourceValue | None:
        now = self._clock()
        for item in changes:
            if item.deleted:
                self._entries.remove(item.key, now)
            else:
                self._entries.put(item.key, _decode_base64(item.value), item.revision, now)
            self._entries.revision = max(self._entries.revision, item.revision)
        if self._entries.drop_held(now) or changes:
            return self._tell_entries()
        return None

    def _tell_entries(self) -> SourceValue:
        vms = self._entries.build_list()
        return SourceValue(msgspec.json.encode(vms), vms.revision)

    def _note_read(self, key: str, revision: int) -> None:
        self._read_at[key] = revision
        # The other value's watch may have heard of later changes while the read was under way.
        self._changes[key] = [item for item in self._changes[key] if item.revision > revision]
        if self._position is None:
            self._position = revision

    async def _watch(self) -> None:
        """Wait for changes of either value, and keep them until they are taken."""
        # Changes in quick succession are heard together.
        await curio.sleep(
            max(self._heard_at + self._settings.watch_gap_ms / 1000 - self._clock(), 0)
        )
        wait_ms = self._draw_wait()
        began_at = self._clock()
        target = f"{WATCH_PATH}?path-prefix=&after={self._position}&wait-ms={wait_ms}"
        try:
            reply = await self._call(WATCH_PATH, target, wait_s=wait_ms / 1000)
        except TrefoilpickError:
            # A silent watch may have missed what the next one is not told either.
            self._forget_reads()
            raise
        if reply.status == STATUS_HISTORY_GONE:
            self._forget_reads()
            return
        told = _decode(reply, _Events)
        if told.events:
            self._heard_at = self._clock()
        else:
            self._note_answer_time(self._clock() - began_at - wait_ms / 1000)
        self._position = max(self._position or 0, told.store_revision)
        for item in told.events:
            key = _find_value(item)
            if key is not None and item.revision > self._read_at.get(key, 0):
                self._changes[key].append(item)

    def _forget_reads(self) -> None:
        """Let both values be read anew."""
        self._read_at.clear()
        self._position = None

    def _draw_wait(self) -> int:
        # Whatever its answer may take, a silent watch ends as soon as one of a quick store.
        longest_ms = self._settings.watch_ms - 1000 * (self._answer_s - SHORTEST_ANSWER_S)
        wait_ms = longest_ms * self._random.uniform(SHORTEST_WAIT, 1.0)
        hold_s = self._entries.find_hold_s(self._clock())
        if hold_s is not None:
            wait_ms = min(wait_ms, hold_s * 1000)
        return max(1, int(wait_ms))

    def _note_answer_time(self, took_s: float) -> None:
        wanted_s = max(SHORTEST_ANSWER_S, ANSWER_FACTOR * took_s)
        self._answer_s = max(wanted_s, self._answer_s * ANSWER_DECAY)

    async def _call(self, use: str, target: str, *, wait_s: float = 0.0) -> SourceReply:
        longest_s = self._settings.read_timeout_ms / 1000
        answer_s = min(self._answer_s, longest_s) if wait_s else longest_s
        try:
            reply = await self._client.call(use, target, wait_s=wait_s, answer_s=answer_s)
            _check_status(reply, target)
        except TrefoilpickError:
            if self._failing_since is None:
                self._failing_since = self._clock()
            if wait_s:
                self._answer_s = min(2 * self._answer_s, longest_s)
            raise
        self._note_return()
        return reply

    def _note_return(self) -> None:
        """Note that the store answers; entries may have lapsed only while it was away for long."""
        since, self._failing_since = self._failing_since, None
        now = self._clock()
        if since is not None and now - since >= SHORTEST_LAPSE_S:
            self._entries.note_return(now)


def _find_value(item: _Item) -> str | None:
    """Return the value that an item belongs to; None for one that names nothing of it."""
    if item.key == CONFIGURATION_KEY:
        return None if item.deleted else MANIFEST_KEY
    return VMS_KEY if item.key.startswith(ENTRY_PREFIX) else None


def _check_status(reply: SourceReply, target: str) -> None:
    if reply.status in (STATUS_OK, STATUS_HISTORY_GONE):
        return
    path = target.partition("?")[0]
    if reply.status == STATUS_RATE_LIMITED:
        text = f"store refused {path}: rate limit"
        raise TrefoilpickError(ErrorKind.SOURCE_RATE_LIMITED, text)
    reason = "it has no value" if reply.status == STATUS_NOT_FOUND else f"status {reply.status}"
    raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f"store answered {path}: {reason}")


def _decode(reply: SourceReply, kind: type[BodyT]) -> BodyT:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = f"store's answer {kind.__name__}: {error}"
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text) from error


def _decode_base64(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        # Bytes that cannot be read name nothing, and harm no other value.
        return b""


def open_store(settings: Settings, *, random: random.Random) -> StoreSource:
    """Build the store as a node's source; it connects at the first call.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, where an address is not of the form ip:port.
    """
    return StoreSource(
        open_client(settings.source),
        WorkerEntries(settings),
        settings.source,
        random=random,
    )
