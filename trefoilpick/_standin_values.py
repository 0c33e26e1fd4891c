"""Values, faults and counts of the platform's stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from trefoilpick.source import SourceValue

KEPT_SECONDS = 600
"""Seconds for which calls are kept by second."""


KEY_GROUPS = ("manifest", "sections", "vms")
"""Groups of keys that calls are counted by; other keys are counted together."""


@dataclass(frozen=True)
class Faults:
    """What is wrong with the stand-in.

    Attributes:
        delay_ms: Delay of each answer, in milliseconds.
        down: Whether every call is answered with status 503.
        stale: Whether values stay as they were when this was switched on.
        truncated: Whether a body is cut in half and its connection closed.
        wrong: Whether a body's bytes are changed.
        backwards: Whether the value before the newest is served, with its lower revision.
        prefix: Start of the keys that the faults, but for `stale`, apply to.
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
    """Calls that the stand-in had.

    Attributes:
        calls: All calls for values; a waiting watch is one.
        reads: Calls that did not wait.
        watches: Calls that could wait.
        watching: Watches that wait now.
        rate_limited: Calls refused with status 429.
        bytes_sent: Bytes of values sent.
        peak: Most calls within one second.
        by_key: Calls by key; those for sections as one.
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
    """Counts calls as they come."""

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
            Calls within this second, with this one.
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
        """Return the counts of this moment."""
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


class Values:
    """Values by key, with their revisions and the ones before them."""

    def __init__(self) -> None:
        self.counts = CallCounter()
        self._newest: dict[str, SourceValue] = {}
        self._former: dict[str, SourceValue] = {}
        self._frozen: dict[str, SourceValue] | None = None

    def put(self, key: str, data: bytes) -> int:
        """Publish a value; the same bytes again change nothing.

        Returns:
            The value's revision.
        """
        newest = self._newest.get(key)
        if newest is not None and newest.data == data:
            return newest.revision
        if newest is not None:
            self._former[key] = newest
        value = SourceValue(data, 1 if newest is None else newest.revision + 1)
        self._newest[key] = value
        return value.revision

    def get(self, key: str) -> SourceValue | None:
        """Return the value that is served; None for an unknown key."""
        values = self._newest if self._frozen is None else self._frozen
        return values.get(key)

    def get_former(self, key: str) -> SourceValue | None:
        """Return the value before the newest; None where there was none."""
        return self._former.get(key)

    def freeze(self, *, is_frozen: bool) -> None:
        """Serve values as they are now, or the newest again."""
        if not is_frozen:
            self._frozen = None
        elif self._frozen is None:
            self._frozen = dict(self._newest)
