"""Evacuations of data centres that the platform's operators request in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpick.list_corrections import mark_evacuated
from trefoilpick.platform.names import convert_name

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpick.vms import Vm

EVACUATION_PREFIX = "op/evacuate/"
"""Key prefix of evacuations; the zone follows. The values do not matter."""


class Evacuations:
    """Evacuated data centres, as read from the store.

    Only a deletion event or a complete read that lacks the key ends an evacuation.
    """

    def __init__(self) -> None:
        self._data_centres: dict[str, str] = {}
        self._revision = 0

    def clear(self) -> None:
        """Forget all evacuations."""
        self._data_centres.clear()
        self._revision = 0

    def replace_all(self, keys: Iterable[str], revision: int) -> None:
        """Replace all evacuations with those of a complete read.

        Args:
            keys: Keys in the store.
            revision: Revision of the store when the read began; it includes all earlier changes.
        """
        self.clear()
        for key in keys:
            self._add(key)
        self._revision = revision

    def apply_change(self, key: str, revision: int, *, deleted: bool) -> None:
        """Apply an event of a key; one that the last read includes is ignored."""
        if revision <= self._revision:
            return
        if deleted:
            self._data_centres.pop(key, None)
        else:
            self._add(key)

    def mark(self, vm: Vm) -> Vm:
        """Return a VM's record, as evacuated if its data centre is."""
        return mark_evacuated(vm) if vm.data_centre in self._data_centres.values() else vm

    def _add(self, key: str) -> None:
        zone = key.removeprefix(EVACUATION_PREFIX)
        if zone:
            self._data_centres[key] = convert_name(zone)
