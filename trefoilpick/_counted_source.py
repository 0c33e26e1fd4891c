"""Wrapper around the configuration service that counts its bytes as control traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpick.links import CONTROL_BYTES

if TYPE_CHECKING:
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import SourceSettings
    from trefoilpick.source import Source, SourceValue

VALUE_HEAD_BYTES = 180
"""Estimated size of the heads of a request and its response, in bytes."""


class CountedSource:
    """Forwards reads and counts their bytes.

    Args:
        source: The service.
        metrics: Receives the byte counts.
    """

    def __init__(self, source: Source, metrics: Metrics) -> None:
        self._source = source
        self._metrics = metrics

    async def read_value(self, key: str) -> SourceValue:
        """Read the current value of a key."""
        value = await self._source.read_value(key)
        self._count(value)
        return value

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a newer revision than the given one."""
        value = await self._source.watch_value(key, after=after)
        self._count(value)
        return value

    def find_held(self, key: str) -> bytes | None:
        """Return a value that needs no call; its bytes were counted before."""
        return self._source.find_held(key)

    def apply_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and intervals."""
        self._source.apply_settings(settings)

    def _count(self, value: SourceValue | None) -> None:
        amount = VALUE_HEAD_BYTES + (len(value.data) if value is not None else 0)
        self._metrics.count(CONTROL_BYTES, amount, direction="source")
