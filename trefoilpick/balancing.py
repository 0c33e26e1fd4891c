"""The choice of a worker, by what this node itself saw of each.

A worker's node reports its load in every answer. Together with this node's own requests in
flight and the latencies that it measured, this is first-hand evidence; health and load endpoints
of workers play no part. Two random candidates of the nearest zone are compared and the less
loaded one is taken; a zone that is nearly full spills over to the next one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from trefoilpick.ejection import Ejection
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.sightings import ignore_version
from trefoilpick.vms import VmState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterator

    from trefoilpick.document import Upstream
    from trefoilpick.hops import Load
    from trefoilpick.settings import VmSettings
    from trefoilpick.vms import Vm

FULL_UTILISATION = 2.0
"""Requests over slots of a worker from which another refusal is expected: a queue of as many as run
already takes the whole of a usual objective."""


@dataclass(frozen=True)
class Spill:
    """When a request leaves its data centre, in shares of a worker's slots.

    Attributes:
        utilisation: Use of the near worker from which a farther one is considered.
        gain: How much less used the farther one must be.
    """

    utilisation: float
    gain: float


LIGHT_SPILL = Spill(utilisation=0.8, gain=0.3)
"""For requests that move few bytes: a free slot far away beats a busy one nearby, and less gains
no more time than the way there takes."""

HEAVY_SPILL = Spill(utilisation=1.2, gain=0.8)
"""For requests that move many bytes, which cost between data centres: the light ones make room for
them first, so that they leave only for most of a service time."""

LOAD_HALF_LIFE_S = 1.0
"""Time in which a reported load loses half of its weight, in seconds."""

LOAD_LIFE_S = 8.0
"""Time after which a reported load no longer counts, in seconds."""

LATENCY_HALF_LIFE_S = 5.0
"""Time in which a measured latency loses half of its weight, in seconds."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the moving mean."""

WARM_UP_S = 10.0
"""Time in which a new worker's share grows to the full one, in seconds."""

WARM_UP_START = 0.1
"""Share of a new worker at its start."""

REFRESH_S = 0.5
"""Time between two readings of a service's VMs, in seconds."""

LEAVING_HOLD_S = 1.0
"""Time for which a node's word that it is leaving holds here, in seconds.

The directory is told of it and leaves the VM out until its node restarts; this bridges the time
until the next reading.
"""

EJECTED_DIVISOR = 2
"""At most the total divided by this many of a service's workers are ejected at a time."""

FAILING_PERCENT = 50
"""Failing share of a worker's answers at which its own node's report ejects it."""


class Nearness(IntEnum):
    """How near a worker stands to this node."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER = 2


class Directory(Protocol):
    """What the node knows of other VMs."""

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs that hold a worker of a service."""

    def count_vms(self) -> int:
        """Return how many VMs the fleet has."""

    def note_refused(self, vm: str) -> None:
        """Note that a VM refused a connection."""

    def note_leaving(self, vm: str) -> None:
        """Note that a VM's node said that it takes no new work."""

    def note_alive(self, vm: str, incarnation: int) -> None:
        """Note that a VM's node answered."""


class WorkerRecord:
    """What this node saw of one worker.

    Args:
        vm: The worker's VM.
        now: Time of the first sight, in seconds on the node's clock.
    """

    def __init__(self, vm: Vm, now: float) -> None:
        self.vm = vm
        self.in_flight = 0
        self._latency_s: float | None = None
        self._measured_at = now
        self.ejection = Ejection()
        self.incarnation = 0
        self._leaving_until = now
        self._unwilling_until = now
        self._warm_at = now
        self._slots: int | None = None
        self._others = 0.0
        self._reported_at = now

    def begin(self, now: float) -> None:
        """Note that a request goes to the worker."""
        self.in_flight += 1
        self.ejection.begin(now)

    def end(self) -> None:
        """Note that a request to the worker is over."""
        self.in_flight -= 1

    def is_leaving(self, now: float) -> bool:
        """Tell whether the worker's node said lately that it takes no new work."""
        return now < self._leaving_until

    def is_unwilling(self, now: float) -> bool:
        """Tell whether the worker's node lately refused a request because the worker leaves."""
        return now < self._unwilling_until

    def note_unwilling(self, now: float) -> None:
        """Take note that the worker's node refused a request because the worker leaves."""
        self._unwilling_until = now + LEAVING_HOLD_S

    def begin_warm_up(self, now: float) -> None:
        """Let the worker's share grow from the small one of a new worker."""
        self._warm_at = now + WARM_UP_S

    def note_load(self, load: Load, now: float) -> bool:
        """Take over the load that the worker's node reported.

        Returns:
            Whether the report came from an incarnation that was not known before.
        """
        is_new = load.incarnation != self.incarnation
        if is_new and self.incarnation:
            self.begin_warm_up(now)
            self._latency_s = None
        self.incarnation = load.incarnation
        self._leaving_until = now + LEAVING_HOLD_S if load.leaving else now
        self._slots = max(load.slots, 1)
        self._others = float(max(load.in_flight + load.queued - self.in_flight, 0))
        self._reported_at = now
        return is_new

    def note_latency(self, latency_s: float, now: float) -> None:
        """Take a measured latency into the moving mean, in seconds."""
        if self._latency_s is None:
            self._latency_s = latency_s
        else:
            self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._measured_at = now

    def estimate_latency(self, now: float, usual_s: float | None) -> float | None:
        """Return the expected latency, in seconds; an old mean gives way to the usual one."""
        own_s = self._latency_s
        if own_s is None or usual_s is None:
            return usual_s if own_s is None else own_s
        return usual_s + (own_s - usual_s) * 0.5 ** (
            (now - self._measured_at) / LATENCY_HALF_LIFE_S
        )

    def estimate_utilisation(self, now: float, slots: int) -> float:
        """Return the requests at the worker over its slots.

        Args:
            now: Time on the node's clock, in seconds.
            slots: Slots of a worker that has not reported its own yet.
        """
        return self._estimate_requests(now) / (self._slots or slots)

    def estimate_cost(self, now: float, slots: int, usual_s: float | None) -> float:
        """Return the expected cost of the next request; only its order has a meaning."""
        latency_s = self.estimate_latency(now, usual_s) or 1.0
        requests = (self._estimate_requests(now) + 1.0) / (self._slots or slots)
        return requests * latency_s / self._compute_share(now)

    def _estimate_requests(self, now: float) -> float:
        if not self._others:
            return self.in_flight
        age_s = now - self._reported_at
        if age_s > LOAD_LIFE_S:
            self._others = 0.0
        return self.in_flight + self._others * 0.5 ** (age_s / LOAD_HALF_LIFE_S)

    def _compute_share(self, now: float) -> float:
        left_s = self._warm_at - now
        if left_s <= 0:
            return 1.0
        return max(WARM_UP_START, 1.0 - left_s / WARM_UP_S)


class Service:
    """The workers of one service, as this node sees them.

    Args:
        name: Name of the service.
        now: Time on the node's clock, in seconds.
    """

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.records: dict[str, WorkerRecord] = {}
        self.zones: tuple[tuple[WorkerRecord, ...], ...] = ()
        self._endpoints: tuple[Vm, ...] = ()
        self._refreshed_at = now - REFRESH_S
        self._absent: dict[str, WorkerRecord] = {}

    def is_due(self, now: float) -> bool:
        """Tell whether the list of VMs must be read again."""
        return now - self._refreshed_at >= REFRESH_S or not self._endpoints

    def update(self, endpoints: tuple[Vm, ...], own: VmSettings, now: float) -> None:
        """Take over a list of VMs; records of known VMs stay, also while they are absent."""
        self._refreshed_at = now
        if endpoints == self._endpoints:
            return
        known = self._absent | self.records
        is_first = not self._endpoints
        self._endpoints = endpoints
        self.records = {}
        for vm in endpoints:
            record = known.pop(vm.name, None)
            if record is None:
                record = WorkerRecord(vm, now)
                if not is_first:
                    record.begin_warm_up(now)
            record.vm = vm
            self.records[vm.name] = record
        self._absent = dict(list(known.items())[-len(endpoints) :])
        self.zones = tuple(self._split_by_nearness(own))

    def list_available(self, now: float) -> Iterator[tuple[WorkerRecord, ...]]:
        """Yield, nearest first, the workers of each zone that may get a request."""
        ejected = self.list_ejected(now)
        found = False
        unwilling: list[tuple[WorkerRecord, ...]] = []
        for zone in self.zones:
            available = tuple(record for record in zone if _is_available(record, ejected, now))
            willing = tuple(record for record in available if not record.is_unwilling(now))
            if willing:
                found = True
                yield willing
            elif available:
                unwilling.append(available)
        if not found:
            # A refusal may be over by now, and nobody else is left to ask.
            yield from unwilling

    def compute_usual_latency(self, now: float) -> float | None:
        """Return the mean latency of the workers, in seconds; None before any was measured."""
        known = [
            latency_s
            for record in self.records.values()
            if (latency_s := record.estimate_latency(now, None)) is not None
        ]
        return sum(known) / len(known) if known else None

    def list_ejected(self, now: float) -> frozenset[str]:
        """Return the names of the VMs that get nothing now: never more than the bound."""
        limit = len(self.records) // EJECTED_DIVISOR
        blocked = [record for record in self.records.values() if record.ejection.is_blocked(now)]
        if len(blocked) > limit:
            blocked.sort(key=lambda record: record.ejection.ejected_at)
        return frozenset(record.vm.name for record in blocked[:limit])

    def _split_by_nearness(self, own: VmSettings) -> Iterator[tuple[WorkerRecord, ...]]:
        zones: dict[Nearness, list[WorkerRecord]] = {}
        for record in self.records.values():
            zones.setdefault(_measure_nearness(record.vm, own), []).append(record)
        for nearness in sorted(zones):
            yield tuple(zones[nearness])


class Balancer:
    """Chooses workers and keeps what was seen of them.

    Args:
        own: Which VM this is.
        directory: What the node knows of other VMs.
        random: Source of random choices.
        note_version: Called with the VM, number and digest of each version that a load names.
    """

    def __init__(
        self,
        own: VmSettings,
        directory: Directory,
        random: random.Random,
        *,
        note_version: Callable[[str, int, str], None] = ignore_version,
    ) -> None:
        self._own = own
        self._note_version = note_version
        self._directory = directory
        self._random = random
        self._services: dict[str, Service] = {}

    def choose(
        self,
        upstream: Upstream,
        now: float,
        *,
        avoid: Collection[str] = (),
        is_heavy: bool = False,
    ) -> WorkerRecord:
        """Choose a worker for the next request.

        Args:
            upstream: The service.
            now: Time on the node's clock, in seconds.
            avoid: Names of VMs that are taken only where no other is available.
            is_heavy: Whether the request moves many bytes.

        Raises:
            TrefoilpickError: `NO_UPSTREAM`, where no worker may get a request.
        """
        service = self._update_service(upstream.name, now)
        usual_s = service.compute_usual_latency(now)
        spill = HEAVY_SPILL if is_heavy else LIGHT_SPILL
        best: WorkerRecord | None = None
        best_utilisation = 0.0
        for zone in service.list_available(now):
            record = self._choose_of_two(zone, upstream, now, usual_s, avoid)
            if record is None:
                continue
            utilisation = record.estimate_utilisation(now, upstream.slots)
            if utilisation < spill.utilisation:
                return record
            if best is None or utilisation < best_utilisation - spill.gain:
                best, best_utilisation = record, utilisation
        if best is not None:
            return best
        if avoid:
            return self.choose(upstream, now, is_heavy=is_heavy)
        text = f'upstream "{upstream.name}" has no worker that takes requests'
        raise TrefoilpickError(ErrorKind.NO_UPSTREAM, text)

    @property
    def own_vm(self) -> str:
        """Name of the VM of this node."""
        return self._own.name

    def find(self, service_name: str, vm: str, now: float) -> WorkerRecord | None:
        """Return the record of a named VM; None where the service does not have it."""
        return self._update_service(service_name, now).records.get(vm)

    def note_load(self, record: WorkerRecord, load: Load, now: float) -> None:
        """Take over a load report and tell the directory what is new in it."""
        self._note_version(load.vm, load.number, load.digest)
        was_leaving = record.is_leaving(now)
        if record.note_load(load, now):
            self._directory.note_alive(load.vm, load.incarnation)
        if load.leaving and not was_leaving:
            self._directory.note_leaving(load.vm)
        if load.failing_percent >= FAILING_PERCENT:
            record.ejection.note_report(now, self._random)

    def is_full(self, record: WorkerRecord, upstream: Upstream, now: float) -> bool:
        """Tell whether a worker would hardly take a request that another one refused."""
        return record.estimate_utilisation(now, upstream.slots) >= FULL_UTILISATION

    def note_notice(self, vm: Vm, load: Load, now: float) -> None:
        """Take over a load report that came between requests."""
        service = self._services.get(vm.service)
        record = service.records.get(vm.name) if service is not None else None
        if record is not None:
            self.note_load(record, load, now)

    def note_success(self, record: WorkerRecord, latency_s: float, now: float) -> None:
        """Note an answer of a worker and its latency, in seconds."""
        record.note_latency(latency_s, now)
        if record.ejection.is_ejected:
            self._directory.note_alive(record.vm.name, record.incarnation)
        record.ejection.note_success()

    def note_failure(self, record: WorkerRecord, now: float, *, refused: bool = False) -> None:
        """Note a failure of a worker or of its node."""
        record.ejection.note_failure(now, self._random)
        name = record.vm.name
        service = self._services.get(record.vm.service)
        if refused and service is not None and name in service.list_ejected(now):
            self._directory.note_refused(name)

    def note_silence(self, record: WorkerRecord, now: float) -> None:
        """Note that a worker's VM is cut off: no further request needs to find that out."""
        record.ejection.note_report(now, self._random)

    def _update_service(self, name: str, now: float) -> Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = Service(name, now)
        if service.is_due(now):
            service.update(self._directory.list_endpoints(name), self._own, now)
        return service

    def _choose_of_two(
        self,
        zone: tuple[WorkerRecord, ...],
        upstream: Upstream,
        now: float,
        usual_s: float | None,
        avoid: Collection[str],
    ) -> WorkerRecord | None:
        if avoid:
            zone = tuple(record for record in zone if record.vm.name not in avoid)
        if len(zone) < 2:
            return zone[0] if zone else None
        first, second = self._random.sample(zone, 2)
        first_cost = first.estimate_cost(now, upstream.slots, usual_s)
        second_cost = second.estimate_cost(now, upstream.slots, usual_s)
        return first if first_cost <= second_cost else second


def _measure_nearness(vm: Vm, own: VmSettings) -> Nearness:
    if vm.region != own.region:
        return Nearness.OTHER
    if vm.data_centre != own.data_centre:
        return Nearness.REGION
    return Nearness.DATA_CENTRE


def _is_available(record: WorkerRecord, ejected: frozenset[str], now: float) -> bool:
    if record.vm.state is VmState.LEAVING or record.is_leaving(now):
        return False
    return record.vm.name not in ejected
