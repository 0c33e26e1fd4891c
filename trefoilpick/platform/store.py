"""Adapter that presents the platform's store as a node's configuration source."""

from __future__ import annotations

import base64
import binascii
import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import curio
import msgspec

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import LOGGER_NAME
from trefoilpick.manifest import Manifest, SectionRef, compute_digest, encode_manifest
from trefoilpick.platform.configuration import convert_configuration
from trefoilpick.platform.configuration_fields import decode_configuration
from trefoilpick.platform.entries import ENTRY_PREFIX, WorkerEntries
from trefoilpick.platform.evacuations import EVACUATION_PREFIX
from trefoilpick.platform.names import convert_name
from trefoilpick.sections import encode_complete
from trefoilpick.source import (
    MANIFEST_KEY,
    READ_CONNECTION,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_RATE_LIMITED,
    VMS_KEY,
    SourceValue,
    build_section_key,
    make_earlier_era_error,
    open_client,
    read_era,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from trefoilpick._source_connection import SourceReply
    from trefoilpick.platform.configuration_fields import Configuration, ConfigurationFault
    from trefoilpick.settings import Settings, SourceSettings
    from trefoilpick.source import SourceClient

BodyT = TypeVar("BodyT", bound=msgspec.Struct)

CONFIGURATION_KEY = "op/config"
"""Key of the operators' configuration."""

KEY_PATH = "/trefoilpick/kv-key"
RANGE_PATH = "/trefoilpick/kv-range"
WATCH_PATH = "/trefoilpick/kv-watch"

ERA_HEADER = "store-era"
"""Header with the number of times that the store was restored from an older copy, in lower case."""

STATUS_HISTORY_GONE = 410
"""HTTP status of a watch whose start revision is no longer in the store's history."""

MIN_RESPONSE_TIMEOUT_S = 0.25
"""Minimum timeout for the response to a watch after its wait, in seconds: the store responds within
milliseconds, and an unresponsive watch must be detected soon after its wait."""

RESPONSE_TIMEOUT_FACTOR = 4.0
"""Ratio of the next response timeout to the store's last response time."""

RESPONSE_TIMEOUT_DECAY = 0.8
"""Factor by which a raised response timeout is reduced after each fast response."""

MIN_WAIT_FACTOR = 0.6
"""Lower bound of the random factor applied to a watch's wait. The factor spreads the watches of
nodes that were notified of a change at the same time."""

MIN_EXPIRY_OUTAGE_S = 1.5
"""Shortest outage of the store in which entries of live workers can expire, in seconds. Entries
expire after three missed heartbeats, one of which may be missed before the outage; heartbeat
intervals of the users' deployments are 0.87 s or longer."""

KEPT_VERSIONS = 3
"""Number of recent versions whose sections can be read."""


MAX_LOGGED_FAULTS = 20
"""Maximum number of faults of one configuration that are logged."""

FAULT_EVENT = "configuration_fault"
"""Event of log lines about faulty entries of a configuration."""

ERA_EVENT = "source_era"
"""Event of the log line about a restored store."""

_LOGGER = logging.getLogger(LOGGER_NAME)


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str = ""
    """The bytes of the value in base64."""
    deleted: bool = False


class _KeyResponse(msgspec.Struct, frozen=True, rename="kebab"):
    value: str
    revision: int
    store_revision: int


class _RangeResponse(msgspec.Struct, frozen=True, rename="kebab"):
    items: tuple[_Item, ...]
    store_revision: int
    has_more: bool = False


class _WatchResponse(msgspec.Struct, frozen=True, rename="kebab"):
    events: tuple[_Item, ...]
    store_revision: int


@dataclass(frozen=True)
class _Range:
    """Items of a prefix, read page by page.

    Attributes:
        items: The items.
        revision: Revision of the store at the first page. Pages are not read atomically: a watch
            from this revision reports all changes made since.
        is_complete: Whether the last page was read.
    """

    items: tuple[_Item, ...]
    revision: int
    is_complete: bool


class MissingValueError(TrefoilpickError):
    """The store has no value for a key.

    Args:
        path: Path of the call.
    """

    def __init__(self, path: str) -> None:
        text = f"store answered {path}: it has no value"
        super().__init__(ErrorKind.SOURCE_UNAVAILABLE, text)


class StoreSource:
    """Source that translates the contents of the platform's store to the values that a node reads.

    One watch covers both values: the manifest and the list of VMs. A watch may stop responding
    permanently, so its wait is short and its response timeout adapts to the store's response time.

    Args:
        client: HTTP client of the store.
        entries: Worker entries of the store.
        settings: Timeouts and other settings of the source.
        random: Random number generator for the jitter of waits.
        clock: Returns the time on the node's clock, in seconds.
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
        self._response_timeout_s = MIN_RESPONSE_TIMEOUT_S
        self._last_change_s = -math.inf
        self._failing_since_s: float | None = None
        self._era: int | None = None
        self._watch_lock = curio.Lock()
        self._watch_revision: int | None = None
        self._read_revisions: dict[str, int] = {}
        self._pending_changes: dict[str, list[_Item]] = {MANIFEST_KEY: [], VMS_KEY: []}
        self._sections: list[dict[str, bytes]] = []
        self._logged_version: int | None = None

    def apply_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and timeouts."""
        self._client.apply_settings(settings)
        if settings.evacuations is not self._settings.evacuations:
            self._entries.evacuations.clear()
            self._invalidate_reads()
        if settings.regions != self._settings.regions:
            self._entries.regions = settings.regions
            self._invalidate_reads()
        self._settings = settings

    async def read_value(self, key: str) -> SourceValue:
        """Read the current value.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE`, `SOURCE_RATE_LIMITED` or `MANIFEST_FAULTY`.
        """
        if key == MANIFEST_KEY:
            return await self._read_configuration()
        if key == VMS_KEY:
            return await self._read_entries()
        text = self.find_held(key)
        if text is None:
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no value "{key}"')
        return SourceValue(text, 0)

    def find_held(self, key: str) -> bytes | None:
        """Return a section of a configuration that was read; None if there is none."""
        for sections in reversed(self._sections):
            if key in sections:
                return sections[key]
        return None

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value differs from the one that was last returned.

        Args:
            key: Key of the value.
            after: Ignored; the source tracks the revisions that it returned.

        Returns:
            The value; None if the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE`, `SOURCE_RATE_LIMITED` or `MANIFEST_FAULTY`.
        """
        async with self._watch_lock:
            if key in self._read_revisions and not self._pending_changes[key]:
                await self._watch()
        if key not in self._read_revisions:
            return await self.read_value(key)
        changes, self._pending_changes[key] = self._pending_changes[key], []
        if key == MANIFEST_KEY:
            return self._convert_configuration(changes[-1]) if changes else None
        return self._apply_entry_changes(changes)

    async def _read_configuration(self) -> SourceValue:
        target = f"{KEY_PATH}?key={quote(CONFIGURATION_KEY, safe='')}"
        try:
            reply = await self._call(READ_CONNECTION, target)
        except MissingValueError:
            return await self._await_configuration()
        item = _decode(reply, _KeyResponse)
        self._record_read(MANIFEST_KEY, item.store_revision)
        return self._convert_configuration(_Item(CONFIGURATION_KEY, item.revision, item.value))

    async def _await_configuration(self) -> SourceValue:
        """Wait for the first configuration, as long as one watch lasts.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` if there is still none.
        """
        async with self._watch_lock:
            if self._watch_revision is not None and not self._pending_changes[MANIFEST_KEY]:
                # The watch starts before the read that found no value.
                self._read_revisions.setdefault(MANIFEST_KEY, self._watch_revision)
                await self._watch()
            changes, self._pending_changes[MANIFEST_KEY] = self._pending_changes[MANIFEST_KEY], []
            if not changes:
                self._read_revisions.pop(MANIFEST_KEY, None)
                raise MissingValueError(KEY_PATH)
        return self._convert_configuration(changes[-1])

    def _convert_configuration(self, item: _Item) -> SourceValue:
        configuration = self._decode_configuration(item)
        refs: list[SectionRef] = []
        texts: dict[str, bytes] = {}
        converted = convert_configuration(configuration)
        self._log_faults(configuration.version, converted.faults)
        for section in converted.sections:
            text = encode_complete(section)
            digest = compute_digest(text)
            refs.append(SectionRef(section.team, digest, len(text)))
            texts[build_section_key(digest)] = text
        self._sections = [*self._sections, texts][-KEPT_VERSIONS:]
        manifest = Manifest(configuration.version, 0, tuple(refs))
        return SourceValue(encode_manifest(manifest), item.revision, self._era or 0)

    def _decode_configuration(self, item: _Item) -> Configuration:
        configuration = decode_configuration(_decode_base64(item.value))
        names = (convert_name(service.name) for service in configuration.services)
        self._entries.services = frozenset(names)
        return configuration

    def _log_faults(self, version: int, faults: tuple[ConfigurationFault, ...]) -> None:
        if version == self._logged_version:
            return
        self._logged_version = version
        for fault in faults[:MAX_LOGGED_FAULTS]:
            _LOGGER.warning(
                "configuration %d: %s: %s",
                version,
                fault.entry,
                fault.text,
                extra={"event": FAULT_EVENT, "subject": fault.entry, "version": version},
            )
        if len(faults) > MAX_LOGGED_FAULTS:
            _LOGGER.warning(
                "configuration %d: %d further faults",
                version,
                len(faults) - MAX_LOGGED_FAULTS,
                extra={"event": FAULT_EVENT, "version": version},
            )

    async def _read_entries(self) -> SourceValue:
        # No list is built from entries and evacuations unless both reads are complete.
        read = await self._read_range(ENTRY_PREFIX)
        era = self._era
        evacuations = await self._read_evacuations()
        self._check_era_unchanged(era)
        now_s = self._clock()
        items = {item.key: (_decode_base64(item.value), item.revision) for item in read.items}
        self._entries.replace_all(items, read.revision, now_s)
        self._entries.remove_overdue(now_s)
        if evacuations is not None:
            keys = (item.key for item in evacuations.items)
            self._entries.evacuations.replace_all(keys, evacuations.revision)
        if self._entries.is_any_address_shared() and not self._entries.services:
            await self._read_services()
        self._record_read(VMS_KEY, read.revision)
        return self._build_vms_value()

    async def _read_services(self) -> None:
        """Read the names of the services, by which entries with the same address are told apart.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """
        target = f"{KEY_PATH}?key={quote(CONFIGURATION_KEY, safe='')}"
        try:
            item = _decode(await self._call(READ_CONNECTION, target), _KeyResponse)
            self._decode_configuration(_Item(CONFIGURATION_KEY, item.revision, item.value))
        except MissingValueError:
            return
        except TrefoilpickError as error:
            if error.kind is not ErrorKind.MANIFEST_FAULTY:
                raise

    async def _read_evacuations(self) -> _Range | None:
        """Read the keys of all evacuations; return None if the source holds none by its settings.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` if the store did not return all of them.
        """
        if not self._settings.evacuations:
            return None
        read = await self._read_range(EVACUATION_PREFIX)
        if not read.is_complete:
            text = "store returned only a part of the evacuations"
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)
        return read

    async def _read_range(self, prefix: str) -> _Range:
        """Read all items of a prefix.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """
        items: list[_Item] = []
        target = f"{RANGE_PATH}?path-prefix={quote(prefix, safe='')}"
        page = _decode(await self._call(READ_CONNECTION, target), _RangeResponse)
        revision, era = page.store_revision, self._era
        while True:
            self._check_era_unchanged(era)
            items += page.items
            if not page.has_more or not page.items:
                return _Range(tuple(items), revision, is_complete=not page.has_more)
            after = quote(page.items[-1].key, safe="")
            page = _decode(
                await self._call(READ_CONNECTION, f"{target}&after={after}"), _RangeResponse
            )

    def _check_era_unchanged(self, era: int | None) -> None:
        """Check that the store was not restored since a read began.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` if it was.
        """
        if self._era != era:
            text = "store was restored while its entries were read"
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)

    def _apply_entry_changes(self, changes: list[_Item]) -> SourceValue | None:
        now_s = self._clock()
        for item in changes:
            if item.key.startswith(EVACUATION_PREFIX):
                self._entries.evacuations.apply_change(
                    item.key, item.revision, deleted=item.deleted
                )
            elif item.deleted:
                self._entries.remove(item.key, now_s)
            else:
                self._entries.put(item.key, _decode_base64(item.value), item.revision, now_s)
            self._entries.revision = max(self._entries.revision, item.revision)
        if self._entries.remove_overdue(now_s) or changes:
            return self._build_vms_value()
        return None

    def _build_vms_value(self) -> SourceValue:
        vms = self._entries.build_vm_list()
        return SourceValue(msgspec.json.encode(vms), vms.revision, self._era or 0)

    def _record_read(self, key: str, revision: int) -> None:
        self._read_revisions[key] = revision
        # The watch of the other value may have received later changes during the read.
        self._pending_changes[key] = [
            item for item in self._pending_changes[key] if item.revision > revision
        ]
        if self._watch_revision is None:
            self._watch_revision = revision

    async def _watch(self) -> None:
        """Wait for changes of either value and add them to the pending changes."""
        # Combine changes that follow each other quickly into one response.
        await curio.sleep(
            max(self._last_change_s + self._settings.watch_gap_ms / 1000 - self._clock(), 0)
        )
        wait_ms = self._choose_wait_ms()
        era = self._era
        began_s = self._clock()
        target = f"{WATCH_PATH}?path-prefix=&after={self._watch_revision}&wait-ms={wait_ms}"
        try:
            reply = await self._call(WATCH_PATH, target, wait_s=wait_ms / 1000)
        except TrefoilpickError:
            # A failed watch may have lost changes that the next one does not report again.
            self._invalidate_reads()
            raise
        if reply.status == STATUS_HISTORY_GONE or self._era != era:
            self._invalidate_reads()
            return
        response = _decode(reply, _WatchResponse)
        if response.events:
            self._last_change_s = self._clock()
        else:
            self._record_response_time(self._clock() - began_s - wait_ms / 1000)
        self._watch_revision = max(self._watch_revision or 0, response.store_revision)
        for item in response.events:
            key = self._find_value_key(item)
            if key is not None and item.revision > self._read_revisions.get(key, 0):
                self._pending_changes[key].append(item)

    def _find_value_key(self, item: _Item) -> str | None:
        """Return the key of the value that an item belongs to; None if it belongs to none."""
        if item.key == CONFIGURATION_KEY:
            return None if item.deleted else MANIFEST_KEY
        is_evacuation = item.key.startswith(EVACUATION_PREFIX) and self._settings.evacuations
        return VMS_KEY if is_evacuation or item.key.startswith(ENTRY_PREFIX) else None

    def _invalidate_reads(self) -> None:
        """Cause both values to be read again."""
        self._read_revisions.clear()
        self._watch_revision = None

    def _choose_wait_ms(self) -> int:
        # A longer response timeout shortens the wait, so that an unresponsive watch always ends
        # within the same time.
        longest_ms = self._settings.watch_ms - 1000 * (
            self._response_timeout_s - MIN_RESPONSE_TIMEOUT_S
        )
        wait_ms = longest_ms * self._random.uniform(MIN_WAIT_FACTOR, 1.0)
        retention_s = self._entries.get_remaining_retention_s(self._clock())
        if retention_s is not None:
            wait_ms = min(wait_ms, retention_s * 1000)
        return max(1, int(wait_ms))

    def _record_response_time(self, response_time_s: float) -> None:
        target_s = max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * response_time_s)
        self._response_timeout_s = max(target_s, self._response_timeout_s * RESPONSE_TIMEOUT_DECAY)

    async def _call(self, connection: str, target: str, *, wait_s: float = 0.0) -> SourceReply:
        longest_timeout_s = self._settings.read_timeout_ms / 1000
        response_timeout_s = (
            min(self._response_timeout_s, longest_timeout_s) if wait_s else longest_timeout_s
        )
        try:
            reply = await self._client.call(
                connection, target, wait_s=wait_s, response_timeout_s=response_timeout_s
            )
            self._check_era(reply)
            _check_status(reply, target)
        except MissingValueError:
            self._handle_success()
            raise
        except TrefoilpickError:
            if self._failing_since_s is None:
                self._failing_since_s = self._clock()
            if wait_s:
                self._response_timeout_s = min(2 * self._response_timeout_s, longest_timeout_s)
            raise
        self._handle_success()
        return reply

    def _check_era(self, reply: SourceReply) -> None:
        """Record the store's era; if it has risen, everything has to be read again.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` if the response is of an earlier era.
        """
        era = read_era(reply, ERA_HEADER)
        if era is None or era == self._era:
            return
        known_era, self._era = self._era, max(era, self._era or 0)
        if known_era is None:
            return
        if era < known_era:
            raise make_earlier_era_error(era, known_era)
        _LOGGER.warning(
            "store was restored from an older copy",
            extra={"event": ERA_EVENT, "era": era, "previous_era": known_era},
        )
        self._invalidate_reads()
        for changes in self._pending_changes.values():
            changes.clear()
        self._entries.begin_era(self._clock())

    def _handle_success(self) -> None:
        """Handle a successful call: if it ends a long outage, entries may have expired."""
        failing_since_s, self._failing_since_s = self._failing_since_s, None
        now_s = self._clock()
        if failing_since_s is not None and now_s - failing_since_s >= MIN_EXPIRY_OUTAGE_S:
            self._entries.handle_outage_end(now_s)


def _check_status(reply: SourceReply, target: str) -> None:
    if reply.status in (STATUS_OK, STATUS_HISTORY_GONE):
        return
    path = target.partition("?")[0]
    if reply.status == STATUS_RATE_LIMITED:
        text = f"store refused {path}: rate limit"
        raise TrefoilpickError(ErrorKind.SOURCE_RATE_LIMITED, text)
    if reply.status == STATUS_NOT_FOUND:
        raise MissingValueError(path)
    text = f"store answered {path}: status {reply.status}"
    raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)


def _decode(reply: SourceReply, kind: type[BodyT]) -> BodyT:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = f"store's response cannot be decoded as {kind.__name__}: {error}"
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text) from error


def _decode_base64(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError):
        # Undecodable bytes are treated as empty, so that they do not affect other values.
        return b""


def open_store(settings: Settings, *, random: random.Random) -> StoreSource:
    """Build a node's source that reads the platform's store; it connects on the first call.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY` if an address is not of the form ip:port.
    """
    return StoreSource(
        open_client(settings.source),
        WorkerEntries(settings),
        settings.source,
        random=random,
    )
