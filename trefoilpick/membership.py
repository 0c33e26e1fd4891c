"""Fleet membership: the platform's list of VMs, corrected by the node's own observations."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.left_workers import LeftWorkers
from trefoilpick.list_corrections import DEFAULT_EXPIRY_S, ListCorrections, find_evacuated
from trefoilpick.revisions import get_era
from trefoilpick.vms import Vm, VmList, VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from trefoilpick.vms import WorkerIdentity

DEAD_AFTER_MISSES = 3
"""Consecutive missed heartbeats after which a VM is considered dead."""

BACKOFF_MIN_S = 1.0
"""Initial delay before a VM that refused a connection or is dead is tried again, in seconds."""

BACKOFF_MAX_S = 60.0
"""Maximum delay before a VM that refused a connection or is dead is tried again, in seconds."""

UNLISTED_TIMEOUT_S = 120.0
"""Time after the last message for which a VM that is not on the list is kept, and for which
messages of an earlier incarnation are ignored, in seconds."""

MAX_PREVIOUS_INCARNATIONS = 4
"""Previous incarnations kept per VM, to recognize their late messages: more than a VM restarts
while a message is in flight."""

MAX_TOMBSTONES = 4_096
"""Maximum number of removals kept to compute changes of the list."""


@dataclass
class ObservedState:
    """State of one VM as observed by this node.

    Attributes:
        incarnation: Current incarnation; 0 if none was seen.
        previous: Previous incarnations, which late messages may still name. Their numbers come from
            a wall clock, which may jump, so they cannot be ordered.
        is_leaving: Whether the current incarnation accepts no new work.
        misses: Consecutive missed heartbeats.
        refusals: Consecutive refused connections.
        retry_at_s: Time of the next attempt after misses or refusals, by the monotonic clock, in
            seconds.
        received_s: Arrival time of its last message, by the monotonic clock, in seconds.
        has_low_bandwidth_link: Whether it reported a low-bandwidth link; None if unknown.
    """

    incarnation: int = 0
    previous: tuple[int, ...] = ()
    is_leaving: bool = False
    misses: int = 0
    refusals: int = 0
    retry_at_s: float = 0.0
    received_s: float = float("-inf")
    has_low_bandwidth_link: bool | None = None


@dataclass(frozen=True)
class VmsChange:
    """Change of the list of VMs between two revisions.

    Attributes:
        revision: The newer revision.
        base: The older revision; 0 if the change is the complete list.
        changed: New and changed records.
        removed: Names of removed VMs.
    """

    revision: int
    base: int
    changed: tuple[Vm, ...]
    removed: tuple[str, ...]


class MembershipTable:
    """The VMs of the fleet as known to one node.

    Args:
        own: The node's own VM.
        listed_only: Whether only VMs on the platform's list get requests.
        expiry_s: Time within which the platform removes VMs that no longer exist from its list, in
            seconds.
        names_service: Returns whether a service is defined. Listed VMs of other services are not
            used: another writer's entries must not take the places of readers and neighbours.
        clock: Returns the monotonic time in seconds.

    Attributes:
        revision: Revision of the list, ordered by the source's era first; 0 without a list.
    """

    def __init__(
        self,
        own: Vm,
        *,
        listed_only: bool = False,
        expiry_s: float = DEFAULT_EXPIRY_S,
        names_service: Callable[[str], bool] = lambda service: True,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self.own = own
        self._listed_only = listed_only
        self._names_service = names_service
        self._clock = clock
        self._listed: dict[str, Vm] = {}
        self._corrections = ListCorrections(expiry_s=expiry_s, clock=clock)
        self._left_workers = LeftWorkers()
        self._corrected: dict[str, Vm] = self._listed
        self._evacuated: frozenset[str] = frozenset()
        self._changed_at: dict[str, int] = {}
        self._removed_at: dict[str, int] = {}
        self._oldest_base = 0
        self._unlisted: dict[str, Vm] = {}
        self._observed: dict[str, ObservedState] = {}
        self._services: dict[str, list[Vm]] | None = None
        self.revision = 0

    def list_vms(self) -> tuple[Vm, ...]:
        """Return all VMs that are on the list or announced themselves, and the node's own."""
        return tuple(self._iterate())

    def list_alive(self) -> tuple[Vm, ...]:
        """Return the VMs considered alive or due for a retry, including leaving ones."""
        return tuple(vm for vm in self._iterate() if self._is_usable(vm.name))

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs of a service that accept new work."""
        listed = self._get_corrected()
        if self._services is None:
            usable = listed.values() if self._listed_only else self._iterate()
            self._services = _group_by_service(usable)
        return tuple(
            vm
            for vm in self._services.get(service, ())
            if self._is_usable(vm.name) and not self.is_leaving(vm.name)
        )

    def count_vms(self) -> int:
        """Return the number of VMs that are listed or announced themselves."""
        return sum(1 for _ in self._iterate())

    def find_listed(self, name: str) -> Vm | None:
        """Return a VM's record on the platform's list, or None if it is not listed."""
        return self._get_corrected().get(name)

    def find_vm(self, name: str) -> Vm | None:
        """Return a VM's record, or None if it is unknown."""
        return self._get_corrected().get(name) or self._unlisted.get(name)

    def is_leaving(self, name: str) -> bool:
        """Return whether a VM accepts no new work, as announced by itself or stated on the list."""
        observed = self._observed.get(name)
        if observed is not None and observed.is_leaving:
            return True
        listed = self._get_corrected().get(name)
        if listed is not None:
            return listed.state is VmState.LEAVING
        unlisted = self._unlisted.get(name)
        return unlisted is not None and unlisted.data_centre in self._evacuated

    def list_evacuated(self) -> tuple[str, ...]:
        """Return the evacuated data centres, in order."""
        self._get_corrected()
        return tuple(sorted(self._evacuated))

    def is_dead(self, name: str) -> bool:
        """Return whether a VM has missed so many heartbeats that it is considered dead."""
        observed = self._observed.get(name)
        return observed is not None and observed.misses >= DEAD_AFTER_MISSES

    def record_alive(self, name: str, incarnation: int, *, is_current: bool = False) -> None:
        """Record a message of a VM; a new incarnation is no longer leaving.

        Args:
            name: The VM.
            incarnation: Incarnation that sent the message.
            is_current: Whether the message answers a request just made, which proves that the
                incarnation is the current one even if its start is earlier by the VM's wall clock,
                which may jump.
        """
        observed = self._ensure_observed(name)
        is_expired = observed.received_s < self._clock() - UNLISTED_TIMEOUT_S
        is_older = incarnation < observed.incarnation and not is_current
        if (is_older or incarnation in observed.previous) and not is_expired:
            return
        if incarnation != observed.incarnation:
            observed.is_leaving = False
            observed.previous = (*observed.previous, observed.incarnation)[
                -MAX_PREVIOUS_INCARNATIONS:
            ]
        observed.incarnation = incarnation
        observed.misses = 0
        observed.refusals = 0
        observed.received_s = self._clock()

    def record_missed_heartbeat(self, name: str) -> None:
        """Record that a VM did not answer a heartbeat."""
        observed = self._ensure_observed(name)
        observed.misses += 1
        if observed.misses >= DEAD_AFTER_MISSES:
            observed.retry_at_s = self._clock() + _compute_backoff(
                observed.misses - DEAD_AFTER_MISSES
            )

    def record_connection_refused(self, name: str) -> None:
        """Record that a VM refused a connection."""
        observed = self._ensure_observed(name)
        observed.refusals += 1
        observed.retry_at_s = self._clock() + _compute_backoff(observed.refusals - 1)

    def record_leaving(self, name: str) -> None:
        """Record that the current incarnation of a VM accepts no new work."""
        self._ensure_observed(name).is_leaving = True

    def record_worker_left(self, name: str, worker: WorkerIdentity) -> None:
        """Record that a VM's worker stated that it is leaving."""
        if self._left_workers.record(name, worker):
            self._correct()

    def list_left_workers(self) -> tuple[tuple[str, WorkerIdentity], ...]:
        """Return the listed VMs whose worker stated that it is leaving, with the worker."""
        return tuple(self._left_workers.list_listed(self._listed))

    def record_link(self, name: str, *, is_low_bandwidth: bool) -> None:
        """Record whether a VM has a low-bandwidth link."""
        self._ensure_observed(name).has_low_bandwidth_link = is_low_bandwidth

    def list_low_bandwidth(self, *, is_low_bandwidth: bool) -> frozenset[str]:
        """Return the VMs that are assumed to have low-bandwidth links.

        The assumption about VMs that reported nothing yet spares low-bandwidth links: a node on
        such a link assumes that they have none; any other node assumes that they have one as soon
        as any VM has.

        Args:
            is_low_bandwidth: Whether the node's own link is a low-bandwidth one.
        """
        reports = {
            name: observed.has_low_bandwidth_link for name, observed in self._observed.items()
        }
        low_bandwidth = {name for name, reported in reports.items() if reported}
        if is_low_bandwidth:
            low_bandwidth.add(self.own.name)
        elif low_bandwidth:
            low_bandwidth |= {vm.name for vm in self._iterate() if reports.get(vm.name) is None}
            low_bandwidth.discard(self.own.name)
        return frozenset(low_bandwidth)

    def add_unlisted(self, vm: Vm) -> None:
        """Record a VM that announced itself and may be missing from the list."""
        if vm.name != self.own.name and vm.name not in self._get_corrected():
            self._unlisted[vm.name] = vm
            self._services = None

    def adopt_list(self, vms: VmList) -> bool:
        """Adopt a complete list if it is newer than the known one.

        A list of a later era comes from a source that was restored from an older copy. What was
        known before corrects it for a while.

        Returns:
            Whether it was adopted.
        """
        if vms.revision <= self.revision:
            return False
        new = {vm.name: vm for vm in vms.vms}
        if self.revision and get_era(vms.revision) > get_era(self.revision):
            self._adopt_restored(vms.revision, new)
            return True
        removed = tuple(name for name in self._listed if name not in new)
        changed = tuple(vm for vm in vms.vms if self._listed.get(vm.name) != vm)
        if self.revision == 0:
            self._oldest_base = vms.revision
        self._apply(VmsChange(vms.revision, self.revision, changed, removed))
        return True

    def adopt_change(self, change: VmsChange) -> bool:
        """Adopt a change of the list if its base is the known list.

        Returns:
            Whether it was adopted.
        """
        if change.revision <= self.revision:
            return False
        if change.base == 0:
            return self.adopt_list(VmList(change.revision, change.changed))
        if change.base != self.revision:
            return False
        self._apply(change)
        return True

    def compute_change(self, base: int) -> VmsChange:
        """Return the change since a revision, or the complete list if the change is not known."""
        if base < self._oldest_base or base > self.revision:
            return VmsChange(self.revision, 0, tuple(self._listed.values()), ())
        changed = tuple(vm for vm in self._listed.values() if self._changed_at[vm.name] > base)
        removed = tuple(name for name, at in self._removed_at.items() if at > base)
        return VmsChange(self.revision, base, changed, removed)

    def _adopt_restored(self, revision: int, restored: dict[str, Vm]) -> None:
        self._corrections.begin(self._get_corrected(), self._select_own(restored))
        self._listed = restored
        self._changed_at = dict.fromkeys(restored, revision)
        self._removed_at.clear()
        # A peer may hold a list of the earlier era that this node never had.
        self._oldest_base = revision
        self.revision = revision
        self._correct()
        self._drop_expired()

    def _get_corrected(self) -> dict[str, Vm]:
        """Return the listed VMs by name, with the corrections in effect."""
        if self._corrections.end_overdue():
            self._correct()
        return self._corrected

    def _correct(self) -> None:
        listed = self._select_own(self._listed)
        self._corrected = {
            vm.name: self._left_workers.apply(vm) for vm in self._corrections.apply(listed)
        }
        self._evacuated = find_evacuated(self._corrected.values())
        for name in self._corrected.keys() & self._unlisted.keys():
            del self._unlisted[name]
        self._services = None

    def _select_own(self, listed: dict[str, Vm]) -> dict[str, Vm]:
        """Return a list that has the node's own record under its name, or none.

        A record that contradicts the node's settings is of another writer, or of a VM that has its
        address from now on.
        """
        name = self.own.name
        first = listed.get(name)
        own = self._find_own(first)
        if own is first:
            return listed
        rest = {other: vm for other, vm in listed.items() if other != name}
        return rest if own is None else {**rest, name: own}

    def _find_own(self, vm: Vm | None) -> Vm | None:
        """Return the node's own record, of all records with its address; None if there is none."""
        records = () if vm is None else (vm, *vm.others)
        return next((record for record in records if self._is_own(record)), None)

    def _is_own(self, vm: Vm) -> bool:
        return (vm.service, vm.data_centre) == (self.own.service, self.own.data_centre)

    def _apply(self, change: VmsChange) -> None:
        for name in change.removed:
            vm = self._select_record(name, self._listed.pop(name, None))
            if vm is not None:
                self._corrections.release(name)
                self._corrections.record_removed(vm)
            self._changed_at.pop(name, None)
            self._removed_at[name] = change.revision
            if vm is not None and self._is_recent(name):
                self._unlisted[name] = vm
            else:
                self._observed.pop(name, None)
        for vm in change.changed:
            self._release_changed(vm)
            if vm.evacuated:
                self._corrections.release_evacuation(vm.data_centre)
            self._listed[vm.name] = vm
            self._changed_at[vm.name] = change.revision
            self._removed_at.pop(vm.name, None)
            self._unlisted.pop(vm.name, None)
        while len(self._removed_at) > MAX_TOMBSTONES:
            oldest = min(self._removed_at, key=self._removed_at.__getitem__)
            self._oldest_base = max(self._oldest_base, self._removed_at.pop(oldest))
        self.revision = change.revision
        self._correct()
        self._drop_expired()

    def _release_changed(self, vm: Vm) -> None:
        """End the correction of a VM whose record changes; another entry with its address may not.

        Args:
            vm: The new record.
        """
        before = self._select_record(vm.name, self._listed.get(vm.name))
        after = self._select_record(vm.name, vm)
        if before == after:
            return
        self._corrections.release(vm.name)
        if before is not None and after is None:
            self._corrections.record_removed(before)

    def _select_record(self, name: str, vm: Vm | None) -> Vm | None:
        """Return the record that is used of those with an address, without the others."""
        used = self._find_own(vm) if name == self.own.name else vm
        return used if used is None or not used.others else replace(used, others=())

    def _drop_expired(self) -> None:
        for name in [name for name in self._unlisted if not self._is_recent(name)]:
            del self._unlisted[name]
            self._observed.pop(name, None)

    def _is_recent(self, name: str) -> bool:
        observed = self._observed.get(name)
        return observed is not None and observed.received_s > self._clock() - UNLISTED_TIMEOUT_S

    def _iterate(self) -> Iterator[Vm]:
        listed = self._get_corrected()
        if self.own.name not in listed:
            yield self.own
        for vm in listed.values():
            if vm.name == self.own.name or self._names_service(vm.service):
                yield vm
        yield from self._unlisted.values()

    def _is_usable(self, name: str) -> bool:
        observed = self._observed.get(name)
        if observed is None or name == self.own.name:
            return True
        if name in self._unlisted:
            # The VM is not on the list: a single unanswered request is enough to exclude it.
            return observed.misses == 0 and observed.refusals == 0
        if observed.misses < DEAD_AFTER_MISSES and observed.refusals == 0:
            return True
        return observed.retry_at_s <= self._clock()

    def _ensure_observed(self, name: str) -> ObservedState:
        """Return the state of a VM, creating it if necessary; that of an unknown VM is not kept."""
        if self.find_vm(name) is None:
            return ObservedState()
        return self._observed.setdefault(name, ObservedState())


def _group_by_service(vms: Iterable[Vm]) -> dict[str, list[Vm]]:
    services: dict[str, list[Vm]] = {}
    for vm in vms:
        services.setdefault(vm.service, []).append(vm)
    return services


def _compute_backoff(step: int) -> float:
    return min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(step, 10))
