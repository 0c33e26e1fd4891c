"""Values, faults and counts of the stand-in of the configuration service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from trefoilpick._clock import read_clock
from trefoilpick.document import Name
from trefoilpick.list_corrections import mark_evacuated
from trefoilpick.source import VMS_KEY, SourceValue
from trefoilpick.vms import VmList

KEPT_SECONDS = 600
"""Number of seconds for which calls are counted by second."""

MAX_CHANGES = 1_000
"""Number of recent changes that can be undone by a restore."""

EVACUATIONS_KEY = "evacuations"
"""Key of the evacuated data centres, as a JSON array. It is not served: the list of VMs shows
them."""

KEY_GROUPS = ("manifest", "sections", "vms")
"""Groups of keys by which calls are counted; all other keys are counted as "other"."""


@dataclass(frozen=True)
class Faults:
    """Faults of the stand-in.

    Attributes:
        delay_ms: Delay of each response, in milliseconds.
        down: Whether all calls get status 503.
        stale: Whether values stay as they were when this fault began.
        truncated: Whether bodies are cut in half and the connection is closed.
        wrong: Whether the bytes of bodies are corrupted.
        backwards: Whether the previous value is served, with its lower revision.
        prefix: Prefix of the keys that all faults except `stale` apply to.
    """

    delay_ms: Annotated[int, Meta(ge=0, le=600_000)] = 0
    down: bool = False
    stale: bool = False
    truncated: bool = False
    wrong: bool = False
    backwards: bool = False
    prefix: str = ""


@dataclass(frozen=True)
class StandinCounts:
    """Counts of the calls to the stand-in.

    Attributes:
        calls: All calls for values; a waiting watch counts as one.
        reads: Calls that return at once.
        watches: Long polls, including those in progress.
        watching: Long polls in progress.
        rate_limited: Calls refused with status 429.
        bytes_sent: Bytes of values sent.
        peak: Highest number of calls within one second.
        by_key: Calls by key; all sections count as one key.
        by_second: Calls by second of the monotonic clock, oldest first.
    """

    calls: int
    reads: int
    watches: int
    watching: int
    rate_limited: int
    bytes_sent: int
    peak: int
    by_key: dict[str, int]
    by_second: dict[int, int]


class CallCounter:
    """Counts the calls to the stand-in."""

    def __init__(self) -> None:
        self.reads = 0
        self.watches = 0
        self.watching = 0
        self.rate_limited = 0
        self.bytes_sent = 0
        self._peak = 0
        self._by_key: dict[str, int] = {}
        self._by_second: dict[int, int] = {}

    def add(self, second: int, key: str, *, is_watch: bool) -> int:
        """Count a call.

        Returns:
            Number of calls within this second, including this one.
        """
        self.watches += is_watch
        self.reads += not is_watch
        group = key.partition("/")[0]
        group = group if group in KEY_GROUPS else "other"
        self._by_key[group] = self._by_key.get(group, 0) + 1
        calls = self._by_second.get(second, 0) + 1
        self._by_second[second] = calls
        self._peak = max(self._peak, calls)
        if len(self._by_second) > KEPT_SECONDS:
            del self._by_second[next(iter(self._by_second))]
        return calls

    def read(self) -> StandinCounts:
        """Return the current counts."""
        return StandinCounts(
            calls=self.reads + self.watches,
            reads=self.reads,
            watches=self.watches,
            watching=self.watching,
            rate_limited=self.rate_limited,
            bytes_sent=self.bytes_sent,
            peak=self._peak,
            by_key=dict(self._by_key),
            by_second=dict(self._by_second),
        )


@dataclass(frozen=True)
class Change:
    """A published value.

    Attributes:
        at_s: Time of the change, by the monotonic clock, in seconds.
        key: Key of the value.
        before: The value that it replaced; None if there was none.
    """

    at_s: float
    key: str
    before: SourceValue | None


class StandinValues:
    """Values by key, with their revisions and their previous values.

    Attributes:
        counts: Counts of the calls.
        era: How often the values were restored from an older copy.
    """

    def __init__(self) -> None:
        self.counts = CallCounter()
        self.era = 0
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._newest: dict[str, SourceValue] = {}
        self._previous: dict[str, SourceValue] = {}
        self._frozen: dict[str, SourceValue] | None = None

    def put(self, key: str, data: bytes) -> int:
        """Publish a value; unchanged bytes do not increase the revision.

        Returns:
            The value's revision.
        """
        newest = self._newest.get(key)
        if newest is not None and newest.data == data:
            return newest.revision
        if newest is not None:
            self._previous[key] = newest
        self._changes.append(Change(read_clock(), key, newest))
        value = SourceValue(data, 1 if newest is None else newest.revision + 1)
        self._newest[key] = value
        return value.revision

    def restore(self, back_s: float) -> None:
        """Return to the values of some seconds ago; their revisions are assigned again."""
        since_s = read_clock() - back_s
        while self._changes and self._changes[-1].at_s > since_s:
            change = self._changes.pop()
            if change.before is None:
                del self._newest[change.key]
            else:
                self._newest[change.key] = change.before
        self._previous.clear()
        self.era += 1

    def get(self, key: str) -> SourceValue | None:
        """Return the value that is served; None for an unknown key."""
        values = self._newest if self._frozen is None else self._frozen
        value, evacuations = values.get(key), values.get(EVACUATIONS_KEY)
        if key != VMS_KEY or value is None or evacuations is None:
            return value
        return _mark_evacuations(value, evacuations)

    def get_previous(self, key: str) -> SourceValue | None:
        """Return the previous value; None if there was none."""
        return self._previous.get(key)

    def set_frozen(self, *, is_frozen: bool) -> None:
        """Start or stop serving the current values regardless of later changes."""
        if not is_frozen:
            self._frozen = None
        elif self._frozen is None:
            self._frozen = dict(self._newest)


def decode_evacuations(data: bytes) -> tuple[str, ...]:
    """Decode the names of evacuated data centres.

    Raises:
        msgspec.MsgspecError: It is not a JSON array of names.
    """
    return msgspec.json.decode(data, type=tuple[Name, ...])


def _mark_evacuations(value: SourceValue, evacuations: SourceValue) -> SourceValue:
    """Return a list of VMs with its evacuated ones; its revision rises with the evacuations'."""
    try:
        listed = msgspec.json.decode(value.data, type=VmList)
    except msgspec.MsgspecError:
        return value
    names = decode_evacuations(evacuations.data)
    vms = tuple(mark_evacuated(vm) if vm.data_centre in names else vm for vm in listed.vms)
    data = msgspec.json.encode(VmList(listed.revision + evacuations.revision, vms))
    return SourceValue(data, value.revision + evacuations.revision)
