"""Conversion of worker entries in the platform's store to a list of VMs."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Literal

import msgspec

from trefoilpick.addresses import split_address
from trefoilpick.errors import TrefoilpickError
from trefoilpick.logs import SubjectWarnings
from trefoilpick.platform.evacuations import Evacuations
from trefoilpick.platform.names import convert_name
from trefoilpick.vms import Vm, VmList, VmState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.settings import Settings

ENTRY_PREFIX = "servers/"
"""Key prefix of worker entries."""

EXPIRED_ENTRY_RETENTION_S = 2.5
"""Time for which expired entries are retained after an outage of the store, in seconds: live
workers register again within two seconds of its end."""

COLD_STEP_MS = 500
"""Step to which a worker's remaining cold time is rounded up, in milliseconds: it changes with each
heartbeat, and each change of the list is announced to all nodes."""

MAX_OTHERS = 16
"""Largest number of further entries that are listed for one address, in the order of their rank:
another writer may write any number."""

MAX_COLD_MS = 3_600_000
"""Longest remaining cold time that is listed, in milliseconds."""

ENTRY_EVENT = "unreadable_entry"
"""Event of log lines about entries that cannot be decoded."""

UNREADABLE_ENTRY_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, TrefoilpickError)
"""Errors of an entry that cannot be decoded; `ValueError` includes those of Unicode."""

STATES = {"ready": VmState.LIVE, "draining": VmState.LEAVING}
"""VM states by entry state."""


class _Entry(msgspec.Struct, frozen=True, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    sequence: int
    born: int
    """Start time of the worker's incarnation, in milliseconds since the Unix epoch."""
    cold_remaining: msgspec.Raw = msgspec.Raw(b"0")
    """Time for which the worker stays cold, in milliseconds; decoded apart, as it may be faulty."""


_DECODER = msgspec.json.Decoder(_Entry)


@dataclass(frozen=True)
class WorkerEntry:
    """A registered worker.

    Attributes:
        worker: Identity of its incarnation.
        vm: The VM that it runs on.
        started_ms: Start time of the incarnation, in milliseconds since the Unix epoch.
        revision: Revision of the entry.
    """

    worker: str
    vm: Vm
    started_ms: int
    revision: int


@dataclass(frozen=True)
class RetainedEntry:
    """An expired entry that is still listed.

    Attributes:
        entry: The entry.
        until_s: Time until which it is listed, in seconds on the node's clock.
    """

    entry: WorkerEntry
    until_s: float


class WorkerEntries:
    """Workers registered in the store, and retained ones whose entries expired.

    Args:
        settings: Settings of the node; its ports apply to the nodes of all VMs.

    Attributes:
        services: Names of the services in the configuration; empty before it is known.
        regions: Region by data centre; entries of other data centres name no worker. Empty if the
            settings name none.
        evacuations: Evacuated data centres, whose workers are listed as leaving.
        revision: Revision of the newest change.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._entries: dict[str, WorkerEntry] = {}
        self._retained: dict[str, RetainedEntry] = {}
        self._retain_until_s = float("-inf")
        self._revision_before_outage = 0
        self._warnings = SubjectWarnings(ENTRY_EVENT)
        self.services: frozenset[str] = frozenset()
        self.regions = settings.source.regions
        self.evacuations = Evacuations()
        self.revision = 0

    def handle_outage_end(self, now_s: float) -> None:
        """Start to retain expired entries, as their workers may register again after an outage."""
        self._retain_until_s = now_s + EXPIRED_ENTRY_RETENTION_S
        if not self._retained:
            self._revision_before_outage = self.revision

    def begin_era(self, now_s: float) -> None:
        """Handle a store that was restored from an older copy: its revisions start anew.

        What the copy lacks is corrected by the list's user; what expires shortly afterwards is
        retained.
        """
        self._retained.clear()
        self._entries.clear()
        self.evacuations.clear()
        self.revision = 0
        self.handle_outage_end(now_s)

    def replace_all(self, items: dict[str, tuple[bytes, int]], revision: int, now_s: float) -> None:
        """Replace all entries with those read from the store.

        Args:
            items: Value and revision by key.
            revision: Revision of the store when the read began; later changes still have to be
                applied.
            now_s: Time on the node's clock, in seconds.
        """
        for key in self._entries.keys() - items.keys():
            self.remove(key, now_s)
        for key, (value, item_revision) in items.items():
            self.put(key, value, item_revision, now_s)
        self.revision = max(self.revision, revision)

    def put(self, key: str, value: bytes, revision: int, now_s: float) -> None:
        """Add or replace an entry; an entry that cannot be decoded is treated as removed."""
        try:
            entry = self._decode(key.removeprefix(ENTRY_PREFIX), value, revision)
        except UNREADABLE_ENTRY_ERRORS as error:
            self._warnings.warn(key, f"entry {key!r} names no worker: {error!s:.200}")
            self.remove(key, now_s)
            return
        self._warnings.forget(key)
        self._entries[key] = entry
        self._retained.pop(key, None)

    def remove(self, key: str, now_s: float) -> None:
        """Remove an entry; shortly after an outage of the store, retain it for a while."""
        entry = self._entries.pop(key, None)
        if entry is not None and now_s < self._retain_until_s:
            self._retained[key] = RetainedEntry(entry, self._retain_until_s)

    def get_remaining_retention_s(self, now_s: float) -> float | None:
        """Return the time until a retained entry is overdue, in seconds; None without one."""
        deadlines = [retained.until_s for retained in self._retained.values()]
        return max(min(deadlines) - now_s, 0.0) if deadlines else None

    def remove_overdue(self, now_s: float) -> bool:
        """Remove entries whose retention time is over; return whether there were any."""
        overdue = [key for key, retained in self._retained.items() if retained.until_s <= now_s]
        for key in overdue:
            del self._retained[key]
        return bool(overdue)

    def build_vm_list(self) -> VmList:
        """Return the list of VMs.

        Of several entries with a VM's address, one of a service that is in the configuration comes
        first, and then the one of the worker that was started last. The record of the first one
        holds those of the others.

        Its revision is odd if no expired entries are retained. Otherwise it is even and derived
        from the store's revision before the outage, so that the list of a node that reached the
        store during the outage takes precedence.
        """
        found: dict[str, WorkerEntry] = {}
        shared: dict[str, list[WorkerEntry]] = {}
        for entry in self._list_entries():
            first = found.setdefault(entry.vm.name, entry)
            if first is not entry:
                shared.setdefault(entry.vm.name, [first]).append(entry)
        mark = self.evacuations.mark
        vms = tuple(
            self._build_shared_record(shared[name]) if name in shared else mark(found[name].vm)
            for name in sorted(found)
        )
        if self._retained:
            return VmList(2 * self._revision_before_outage, vms)
        return VmList(2 * self.revision + 1, vms)

    def is_any_address_shared(self) -> bool:
        """Return whether several entries have the address of the same VM."""
        names = [entry.vm.name for entry in self._list_entries()]
        return len(set(names)) < len(names)

    def _build_shared_record(self, entries: list[WorkerEntry]) -> Vm:
        """Return the record of a VM with several entries."""
        ranked = sorted(entries, key=self._rank, reverse=True)[: 1 + MAX_OTHERS]
        first, *others = (self.evacuations.mark(entry.vm) for entry in ranked)
        return replace(first, others=tuple(others))

    def _rank(self, entry: WorkerEntry) -> tuple[bool, int, int]:
        return entry.vm.service in self.services, entry.started_ms, entry.revision

    def _list_entries(self) -> Iterator[WorkerEntry]:
        yield from self._entries.values()
        for retained in self._retained.values():
            yield retained.entry

    def _decode(self, worker: str, value: bytes, revision: int) -> WorkerEntry:
        """Decode an entry.

        Raises:
            Exception: One of `UNREADABLE_ENTRY_ERRORS`; the entry names no worker.
        """
        entry = _DECODER.decode(value)
        host, _ = split_address(entry.address)
        if not (entry.service and entry.zone and entry.slots > 0 and worker):
            raise ValueError("it has no service, zone, slots or name")
        if self.regions and entry.zone not in self.regions:
            raise ValueError(f"its zone {entry.zone!r:.100} is not in the settings")
        listen = self._settings.listen
        vm = Vm(
            name=host,
            region=self.regions.get(entry.zone, convert_name(entry.zone)),
            data_centre=convert_name(entry.zone),
            service=convert_name(entry.service),
            host=host,
            control_port=listen.control_port,
            hop_port=listen.hop_port,
            state=STATES[entry.state],
            worker=worker,
            slots=entry.slots,
            started_ms=entry.born,
            cold_ms=_decode_cold_ms(entry.cold_remaining),
        )
        msgspec.convert(msgspec.to_builtins(vm), Vm)
        return WorkerEntry(worker, vm, entry.born, revision)


def _decode_cold_ms(value: msgspec.Raw) -> int:
    """Return a remaining cold time, rounded up to a step; 0 if it is unreadable."""
    try:
        cold_ms = msgspec.json.decode(value, type=float)
    except UNREADABLE_ENTRY_ERRORS:
        return 0
    if not 0 < cold_ms < math.inf:
        return 0
    return min(math.ceil(cold_ms / COLD_STEP_MS) * COLD_STEP_MS, MAX_COLD_MS)
