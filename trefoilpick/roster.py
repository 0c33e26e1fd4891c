"""Who is in the fleet: the platform's list of VMs, corrected by first-hand evidence."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.vms import Vm, VmList, VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

DEAD_AFTER = 3
"""Missed heartbeats in a row after which a VM is believed dead."""

FIRST_PAUSE_S = 1.0
"""Pause before a refused or dead VM is tried again, in seconds."""

MAX_PAUSE_S = 60.0
"""Longest pause before a refused or dead VM is tried again, in seconds."""

UNLISTED_S = 120.0
"""Time that a silent VM stays that the list lacks, in seconds."""

FORMER_LIVES = 4
"""Lives of one VM's process that are remembered: restarts within the time that a message takes."""

MAX_TOMBSTONES = 4_096
"""Removals that are remembered to tell a change of the list."""


@dataclass
class Evidence:
    """What a node saw of one VM itself.

    Attributes:
        incarnation: Newest life of its process; 0 where none was seen.
        former: Lives before it, which late messages may still name. Their numbers come from a wall
            clock, which jumps, and so tell no order.
        leaving: Whether that life takes no new work.
        misses: Heartbeats missed in a row.
        refusals: Connections refused in a row.
        retry_s: When to try it again after misses or refusals, by the kernel's clock.
        heard_s: When it was last heard, by the kernel's clock.
        has_thin_link: Whether it told that its link is thin; None where it told nothing.
    """

    incarnation: int = 0
    former: tuple[int, ...] = ()
    leaving: bool = False
    misses: int = 0
    refusals: int = 0
    retry_s: float = 0.0
    heard_s: float = float("-inf")
    has_thin_link: bool | None = None


@dataclass(frozen=True)
class VmsChange:
    """Change of the list of VMs between two revisions.

    Attributes:
        revision: The newer revision.
        base: The older one; 0 where the change is the whole list.
        changed: New and changed records.
        removed: Names that are gone.
    """

    revision: int
    base: int
    changed: tuple[Vm, ...]
    removed: tuple[str, ...]


class Roster:
    """The VMs of the fleet as one node believes them.

    Args:
        own: The node's own VM.
        listed_only: Whether only VMs on the platform's list get requests.
        clock: Reads the monotonic time in seconds.
    """

    def __init__(
        self,
        own: Vm,
        *,
        listed_only: bool = False,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self.own = own
        self._listed_only = listed_only
        self._clock = clock
        self._listed: dict[str, Vm] = {}
        self._changed_at: dict[str, int] = {}
        self._removed_at: dict[str, int] = {}
        self._floor = 0
        self._unlisted: dict[str, Vm] = {}
        self._evidence: dict[str, Evidence] = {}
        self._services: dict[str, list[Vm]] | None = None
        self.revision = 0

    def list_vms(self) -> tuple[Vm, ...]:
        """Return all VMs that are listed or were heard of, the own one among them."""
        return tuple(self._iterate())

    def list_alive(self) -> tuple[Vm, ...]:
        """Return the VMs not believed dead or due for a retry; leaving ones too."""
        return tuple(vm for vm in self._iterate() if self._is_usable(vm.name))

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs that may take new work of a service."""
        if self._services is None:
            usable = self._listed.values() if self._listed_only else self._iterate()
            self._services = _group_by_service(usable)
        return tuple(
            vm
            for vm in self._services.get(service, ())
            if self._is_usable(vm.name) and not self.is_leaving(vm.name)
        )

    def count_vms(self) -> int:
        """Return how many VMs are listed or were heard of."""
        return sum(1 for _ in self._iterate())

    def find_listed(self, name: str) -> Vm | None:
        """Return a VM's record in the platform's list; None where it has none."""
        return self._listed.get(name)

    def find_vm(self, name: str) -> Vm | None:
        """Return a VM's record; None where it is unknown."""
        return self._listed.get(name) or self._unlisted.get(name)

    def is_leaving(self, name: str) -> bool:
        """Tell whether a VM takes no new work, by its own word or else by the list."""
        evidence = self._evidence.get(name)
        if evidence is not None and evidence.leaving:
            return True
        listed = self._listed.get(name)
        return listed is not None and listed.state is VmState.LEAVING

    def is_dead(self, name: str) -> bool:
        """Tell whether a VM missed so many heartbeats that it is believed dead."""
        evidence = self._evidence.get(name)
        return evidence is not None and evidence.misses >= DEAD_AFTER

    def note_alive(self, name: str, incarnation: int, *, is_current: bool = False) -> None:
        """Record that a VM was heard; a new incarnation ends what was known of the former.

        Args:
            name: The VM.
            incarnation: The life of its process that was heard.
            is_current: Whether it answered what was asked just now, so that even one that began
                earlier by its own clock, which may jump, is its present life.
        """
        evidence = self._find_evidence(name)
        silent = evidence.heard_s < self._clock() - UNLISTED_S
        is_older = incarnation < evidence.incarnation and not is_current
        if (is_older or incarnation in evidence.former) and not silent:
            return
        if incarnation != evidence.incarnation:
            evidence.leaving = False
            evidence.former = (*evidence.former, evidence.incarnation)[-FORMER_LIVES:]
        evidence.incarnation = incarnation
        evidence.misses = 0
        evidence.refusals = 0
        evidence.heard_s = self._clock()

    def note_missed(self, name: str) -> None:
        """Record that a VM did not answer a heartbeat."""
        evidence = self._find_evidence(name)
        evidence.misses += 1
        if evidence.misses >= DEAD_AFTER:
            evidence.retry_s = self._clock() + _grow_pause(evidence.misses - DEAD_AFTER)

    def note_refused(self, name: str) -> None:
        """Record that a VM refused a connection."""
        evidence = self._find_evidence(name)
        evidence.refusals += 1
        evidence.retry_s = self._clock() + _grow_pause(evidence.refusals - 1)

    def note_leaving(self, name: str) -> None:
        """Record that a VM takes no new work in its present life."""
        self._find_evidence(name).leaving = True

    def note_link(self, name: str, *, is_thin: bool) -> None:
        """Record whether a VM has a thin link."""
        self._find_evidence(name).has_thin_link = is_thin

    def list_thin(self, *, is_thin: bool) -> frozenset[str]:
        """Return the VMs that are taken to have thin links.

        Of a VM that told nothing yet a node believes what keeps thin links free: one with a thin
        link that it has none; another one that it has one, where any has.

        Args:
            is_thin: Whether the node's own link is thin.
        """
        known = {name: evidence.has_thin_link for name, evidence in self._evidence.items()}
        thin = {name for name, told in known.items() if told}
        if is_thin:
            thin.add(self.own.name)
        elif thin:
            thin |= {vm.name for vm in self._iterate() if known.get(vm.name) is None}
            thin.discard(self.own.name)
        return frozenset(thin)

    def add_unlisted(self, vm: Vm) -> None:
        """Record a VM that made itself known and that the list may lack."""
        if vm.name != self.own.name and vm.name not in self._listed:
            self._unlisted[vm.name] = vm
            self._services = None

    def adopt_list(self, vms: VmList) -> bool:
        """Take a whole list, unless the known one is as new or newer.

        Returns:
            Whether it was taken.
        """
        if vms.revision <= self.revision:
            return False
        new = {vm.name: vm for vm in vms.vms}
        removed = tuple(name for name in self._listed if name not in new)
        changed = tuple(vm for vm in vms.vms if self._listed.get(vm.name) != vm)
        if self.revision == 0:
            self._floor = vms.revision
        self._apply(VmsChange(vms.revision, self.revision, changed, removed))
        return True

    def adopt_change(self, change: VmsChange) -> bool:
        """Take a change of the list, where it fits the known one.

        Returns:
            Whether it was taken.
        """
        if change.revision <= self.revision:
            return False
        if change.base == 0:
            return self.adopt_list(VmList(change.revision, change.changed))
        if change.base != self.revision:
            return False
        self._apply(change)
        return True

    def tell_change(self, base: int) -> VmsChange:
        """Return the change since a revision, or the whole list where that is not remembered."""
        if base < self._floor or base > self.revision:
            return VmsChange(self.revision, 0, tuple(self._listed.values()), ())
        changed = tuple(vm for vm in self._listed.values() if self._changed_at[vm.name] > base)
        removed = tuple(name for name, at in self._removed_at.items() if at > base)
        return VmsChange(self.revision, base, changed, removed)

    def _apply(self, change: VmsChange) -> None:
        for name in change.removed:
            gone = self._listed.pop(name, None)
            self._changed_at.pop(name, None)
            self._removed_at[name] = change.revision
            if gone is not None and self._heard_lately(name):
                self._unlisted[name] = gone
            else:
                self._evidence.pop(name, None)
        for vm in change.changed:
            self._listed[vm.name] = vm
            self._changed_at[vm.name] = change.revision
            self._removed_at.pop(vm.name, None)
            self._unlisted.pop(vm.name, None)
        while len(self._removed_at) > MAX_TOMBSTONES:
            oldest = min(self._removed_at, key=self._removed_at.__getitem__)
            self._floor = max(self._floor, self._removed_at.pop(oldest))
        self.revision = change.revision
        self._drop_silent()
        self._services = None

    def _drop_silent(self) -> None:
        for name in [name for name in self._unlisted if not self._heard_lately(name)]:
            del self._unlisted[name]
            self._evidence.pop(name, None)

    def _heard_lately(self, name: str) -> bool:
        evidence = self._evidence.get(name)
        return evidence is not None and evidence.heard_s > self._clock() - UNLISTED_S

    def _iterate(self) -> Iterator[Vm]:
        if self.own.name not in self._listed:
            yield self.own
        yield from self._listed.values()
        yield from self._unlisted.values()

    def _is_usable(self, name: str) -> bool:
        evidence = self._evidence.get(name)
        if evidence is None or name == self.own.name:
            return True
        if name in self._unlisted:
            # The list says that it is gone: one question without an answer confirms that.
            return evidence.misses == 0 and evidence.refusals == 0
        if evidence.misses < DEAD_AFTER and evidence.refusals == 0:
            return True
        return evidence.retry_s <= self._clock()

    def _find_evidence(self, name: str) -> Evidence:
        if self.find_vm(name) is None:
            return Evidence()
        return self._evidence.setdefault(name, Evidence())


def _group_by_service(vms: Iterable[Vm]) -> dict[str, list[Vm]]:
    services: dict[str, list[Vm]] = {}
    for vm in vms:
        services.setdefault(vm.service, []).append(vm)
    return services


def _grow_pause(step: int) -> float:
    return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(step, 10))
