"""Corrections of a list of VMs that was restored from an older copy.

The copy may list VMs that have left since, list a leaving VM as live, and lack VMs that were added
since. What a node knew before takes precedence until the platform has had time to repair its list.
Evacuations of data centres that the copy lacks are kept for longer, as operators repair them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.vms import VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from trefoilpick.vms import Vm

REGISTRATION_S = 2.5
"""Time within which live VMs that the copy lacks are listed again, in seconds."""

DEFAULT_EXPIRY_S = 6.0
"""Default time within which the platform removes VMs that no longer exist, in seconds."""

EVACUATION_RETENTION_S = 30.0
"""Time for which an evacuation that the copy lacks is kept, in seconds, unless it is listed again:
operators write its key again, which takes longer than the repair of a worker's entry."""

MAX_REMOVED = 4_096
"""Maximum number of removed VMs that are remembered."""


@dataclass(frozen=True)
class Correction:
    """What applies instead of a VM's record on the list.

    Attributes:
        vm: The record; None if the VM has left.
        until_s: Time at which the correction ends, by the monotonic clock, in seconds.
    """

    vm: Vm | None
    until_s: float


class ListCorrections:
    """Corrections of the current list, which end after a while.

    Args:
        expiry_s: Time within which the platform removes VMs that no longer exist, in seconds.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self, *, expiry_s: float = DEFAULT_EXPIRY_S, clock: Callable[[], float] = read_clock
    ) -> None:
        self._expiry_s = expiry_s
        self._clock = clock
        self._removed: dict[str, Vm] = {}
        self._corrections: dict[str, Correction] = {}
        self._kept_evacuations: dict[str, float] = {}
        self._next_end_s = float("inf")

    def record_removed(self, vm: Vm) -> None:
        """Remember a VM that was removed from the list."""
        self._removed.pop(vm.name, None)
        self._removed[vm.name] = vm
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def begin(self, known: Mapping[str, Vm], restored: Mapping[str, Vm]) -> None:
        """Compare a restored list with what was known before.

        Args:
            known: VMs by name as listed before, including corrections in effect.
            restored: VMs by name as listed by the copy.
        """
        now_s = self._clock()
        names = known.keys() | restored.keys()
        self._corrections = {
            name: correction
            for name in names
            if (correction := self._correct(known.get(name), restored.get(name), now_s)) is not None
        }
        lacking = find_evacuated(known.values()) - find_evacuated(restored.values())
        until_s = now_s + EVACUATION_RETENTION_S
        self._kept_evacuations = dict.fromkeys(lacking, until_s)
        self._find_next_end()

    def release_evacuation(self, data_centre: str) -> None:
        """Cease to keep an evacuation, because the platform lists it again."""
        if self._kept_evacuations.pop(data_centre, None) is not None:
            self._find_next_end()

    def release(self, name: str) -> None:
        """End the correction of a VM, because the platform changed its record."""
        self._removed.pop(name, None)
        if self._corrections.pop(name, None) is not None:
            self._find_next_end()

    def end_overdue(self) -> bool:
        """End the corrections whose time is over; return whether there were any."""
        now_s = self._clock()
        if now_s < self._next_end_s:
            return False
        self._corrections = {
            name: correction
            for name, correction in self._corrections.items()
            if correction.until_s > now_s
        }
        self._kept_evacuations = {
            data_centre: until_s
            for data_centre, until_s in self._kept_evacuations.items()
            if until_s > now_s
        }
        self._find_next_end()
        return True

    def apply(self, listed: Mapping[str, Vm]) -> Iterator[Vm]:
        """Yield the VMs of a list with the corrections in effect."""
        evacuated = find_evacuated(listed.values()) | self._kept_evacuations.keys()
        for vm in self._apply_records(listed):
            yield mark_evacuated(vm) if vm.data_centre in evacuated else vm

    def _apply_records(self, listed: Mapping[str, Vm]) -> Iterator[Vm]:
        for name, vm in listed.items():
            if name not in self._corrections:
                yield vm
        for correction in self._corrections.values():
            if correction.vm is not None:
                yield correction.vm

    def _correct(self, known: Vm | None, restored: Vm | None, now_s: float) -> Correction | None:
        if restored is None:
            assert known is not None
            return Correction(known, now_s + REGISTRATION_S)
        if known is None:
            removed = self._removed.get(restored.name)
            if removed is None or removed.started_ms < restored.started_ms:
                return None
            return Correction(None, now_s + self._expiry_s)
        if (known.worker, known.started_ms) == (restored.worker, restored.started_ms):
            has_left = known.state is VmState.LEAVING and restored.state is VmState.LIVE
            return Correction(known, now_s + self._expiry_s) if has_left else None
        if known.started_ms > restored.started_ms:
            return Correction(known, now_s + REGISTRATION_S)
        return None

    def _find_next_end(self) -> None:
        ends = [correction.until_s for correction in self._corrections.values()]
        self._next_end_s = min([*ends, *self._kept_evacuations.values()], default=float("inf"))


def find_evacuated(vms: Iterable[Vm]) -> frozenset[str]:
    """Return the evacuated data centres of a list."""
    return frozenset(vm.data_centre for vm in vms if vm.evacuated)


def mark_evacuated(vm: Vm) -> Vm:
    """Return a VM's record as that of an evacuated data centre."""
    return vm if vm.evacuated else replace(vm, state=VmState.LEAVING, evacuated=True)
