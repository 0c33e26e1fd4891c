"""The platform's store, as the configuration service that a node reads."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

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

SHORTEST_WAIT = 0.6
"""Smallest part of the settings' wait that a watch takes: nodes that heard of one change together
do not all ask again together."""

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


class _Changes(msgspec.Struct, frozen=True, rename="kebab"):
    events: tuple[_Item, ...]
    store_revision: int


class StoreSource:
    """The platform's store, translated to the values that a node reads.

    Args:
        client: Makes the calls.
        entries: The workers that the store names.
        watch_ms: Longest wait of a watch, in milliseconds.
        random: Source of the jitter of waits.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(
        self,
        client: SourceClient,
        entries: WorkerEntries,
        *,
        watch_ms: int,
        random: random.Random,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._client = client
        self._entries = entries
        self._watch_ms = watch_ms
        self._random = random
        self._clock = clock
        self._is_failing = False
        self._positions: dict[str, int] = {}
        self._sections: list[dict[str, bytes]] = []

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times."""
        self._client.apply_settings(settings)
        self._watch_ms = settings.watch_ms

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
        if key not in self._positions:
            return await self.read_value(key)
        if key == MANIFEST_KEY:
            return await self._watch_configuration()
        return await self._watch_entries()

    async def _read_configuration(self) -> SourceValue:
        reply = await self._call(READS, f"{KEY_PATH}?key={quote(CONFIGURATION_KEY, safe='')}")
        item = _decode(reply, _OneItem)
        self._positions[MANIFEST_KEY] = item.store_revision
        return self._take_configuration(item.value, item.revision)

    async def _watch_configuration(self) -> SourceValue | None:
        changes = await self._watch(MANIFEST_KEY, CONFIGURATION_KEY, self._watch_ms)
        if changes is None:
            return await self._read_configuration()
        written = [
            item for item in changes.events if item.key == CONFIGURATION_KEY and not item.deleted
        ]
        if not written:
            return None
        return self._take_configuration(written[-1].value, written[-1].revision)

    def _take_configuration(self, value: str, revision: int) -> SourceValue:
        configuration = decode_configuration(_decode_base64(value))
        refs: list[SectionRef] = []
        texts: dict[str, bytes] = {}
        for section in list_sections(configuration):
            text = msgspec.json.encode(section)
            digest = compute_digest(text)
            refs.append(SectionRef(section.team, digest, len(text)))
            texts[name_section_key(digest)] = text
        self._sections = [*self._sections, texts][-KEPT_SECTIONS:]
        manifest = Manifest(configuration.version, 0, tuple(refs))
        return SourceValue(encode_manifest(manifest), revision)

    async def _read_entries(self) -> SourceValue:
        items: dict[str, tuple[bytes, int]] = {}
        prefix = quote(ENTRY_PREFIX, safe="")
        target = f"{RANGE_PATH}?path-prefix={prefix}"
        page = _decode(await self._call(READS, target), _Page)
        # Pages are not of one moment: what changed since the first is told again.
        position = page.store_revision
        while True:
            for item in page.items:
                items[item.key] = (_decode_base64(item.value), item.revision)
            if not page.has_more or not page.items:
                break
            after = quote(page.items[-1].key, safe="")
            page = _decode(await self._call(READS, f"{target}&after={after}"), _Page)
        now = self._clock()
        self._entries.replace_all(items, position, now)
        self._entries.drop_held(now)
        self._positions[VMS_KEY] = position
        return self._tell_entries()

    async def _watch_entries(self) -> SourceValue | None:
        hold_s = self._entries.find_hold_s(self._clock())
        wait_ms = self._watch_ms
        if hold_s is not None:
            wait_ms = min(wait_ms, int(hold_s * 1000) + 1)
        changes = await self._watch(VMS_KEY, ENTRY_PREFIX, wait_ms)
        if changes is None:
            return await self._read_entries()
        now = self._clock()
        for item in changes.events:
            if item.deleted:
                self._entries.remove(item.key, now)
            else:
                self._entries.put(item.key, _decode_base64(item.value), item.revision, now)
        self._entries.revision = max(self._entries.revision, changes.store_revision)
        if self._entries.drop_held(now) or changes.events:
            return self._tell_entries()
        return None

    def _tell_entries(self) -> SourceValue:
        vms = self._entries.build_list()
        return SourceValue(msgspec.json.encode(vms), vms.revision)

    async def _watch(self, key: str, prefix: str, wait_ms: int) -> _Changes | None:
        """Wait for changes; None where the store no longer remembers the position."""
        wait_ms = max(1, int(wait_ms * self._random.uniform(SHORTEST_WAIT, 1.0)))
        target = (
            f"{WATCH_PATH}?path-prefix={quote(prefix, safe='')}"
            f"&after={self._positions[key]}&wait-ms={wait_ms}"
        )
        reply = await self._call(key, target, wait_s=wait_ms / 1000)
        if reply.status == STATUS_HISTORY_GONE:
            return None
        changes = _decode(reply, _Changes)
        self._positions[key] = max(self._positions[key], changes.store_revision)
        return changes

    async def _call(self, use: str, target: str, *, wait_s: float = 0.0) -> SourceReply:
        try:
            reply = await self._client.call(use, target, wait_s=wait_s)
            _check_status(reply, target)
        except TrefoilpickError:
            self._is_failing = True
            raise
        if self._is_failing:
            self._is_failing = False
            self._entries.note_return(self._clock())
        return reply


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
        watch_ms=settings.source.watch_ms,
        random=random,
    )
