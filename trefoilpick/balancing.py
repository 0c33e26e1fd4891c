"""Load balancing across the workers of a service.

Workers are compared by the load that their nodes report in every answer, by this node's own
requests in flight and by the latencies that it measures; workers' health and load endpoints are not
used. The balancer picks the less loaded of two random workers in the nearest zone (power of two
choices), and a zone that is nearly full spills over to the next one.

With the setting `requests.balance_by_work`, it picks the one of a few random workers that is
expected to answer first, by the work and speed that their nodes report.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from functools import partial
from typing import TYPE_CHECKING, Protocol

from trefoilpick.averages import ServiceTimes
from trefoilpick.ejection import Ejection
from trefoilpick.eligibility import Exclusion, find_exclusion
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.reported_work import MAX_LOAD_AGE_S, ReportedWork
from trefoilpick.version_observer import ignore_version
from trefoilpick.vms import UNIDENTIFIED_LEAVING_S, UNKNOWN_WORKER

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Iterator

    from trefoilpick.document import Upstream
    from trefoilpick.hops import Load
    from trefoilpick.settings import VmSettings
    from trefoilpick.vms import Vm, WorkerIdentity

FULL_UTILISATION = 2.0
"""Requests per slot from which a worker is expected to refuse: a queue as long as the number of
running requests already uses up a typical latency objective."""


@dataclass(frozen=True)
class SpilloverThresholds:
    """Thresholds for sending a request to another data centre, as shares of a worker's slots.

    Attributes:
        utilisation: Utilisation of the nearer worker from which a farther one is considered.
        gain: How much lower the utilisation of the farther one must be.
    """

    utilisation: float
    gain: float


LIGHT_SPILLOVER = SpilloverThresholds(utilisation=0.8, gain=0.3)
"""For requests that transfer few bytes: a free slot in a farther zone beats a busy one nearby. A
smaller gain would save no more time than the longer round trip costs."""

HEAVY_SPILLOVER = SpilloverThresholds(utilisation=1.2, gain=0.8)
"""For requests that transfer many bytes, which are costly between data centres: light requests
spill over first, and heavy ones only when it saves most of a service time."""

BODY_GAIN_SHARE = 0.25
"""Share of the latency objective by which a farther worker must be expected to answer earlier to
get a large body, whose bytes between data centres are costly."""

LOAD_HALF_LIFE_S = 1.0
"""Half-life of the weight of a reported load, in seconds."""

LATENCY_HALF_LIFE_S = 5.0
"""Half-life of the weight of a measured latency, in seconds."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the exponential moving average."""

WARM_UP_S = 10.0
"""Time in which a new worker's share of requests ramps up to the full one, in seconds."""

INITIAL_SHARE = 0.1
"""Share of requests that a new worker starts with."""

REFRESH_INTERVAL_S = 0.5
"""Interval between reads of a service's VM list, in seconds."""

LEAVING_TTL_S = 1.0
"""Time for which a worker is avoided after its node reported that it is leaving, in seconds.

The directory is notified and omits the VM until its node restarts; this covers the time until
the next read of the VM list.
"""

MAX_EJECTED_DIVISOR = 2
"""At most the number of a service's workers divided by this may be ejected at a time."""

EJECTION_PERCENT = 50
"""Percentage of failed answers reported by a worker's own node at which the worker is ejected."""

BODY_SAMPLE_SIZE = 2
"""Number of workers of a zone that are compared for a request with a large body."""

MS_PER_S = 1_000

SAMPLE_SIZE = 3
"""Number of workers of a zone that are compared by expected time."""

OVERVIEW_TTL_S = 0.1
"""Time for which the overview of a service is used, in seconds. Its cost grows with the number of
workers; that of a choice from it does not."""

MIN_EFFECTIVE_SLOTS = 0.05
"""Fewest slots that are assumed for a worker with a limited rate, so that its cost is finite."""


class Locality(IntEnum):
    """How near a worker is to this node."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER = 2


class Directory(Protocol):
    """The fleet's VMs as known to this node, and reports about their state."""

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs that run a worker of a service."""

    def count_vms(self) -> int:
        """Return the number of VMs in the fleet."""

    def record_connection_refused(self, vm: str) -> None:
        """Record that a VM refused a connection."""

    def record_leaving(self, vm: str) -> None:
        """Record that a VM's node reported that it accepts no new work."""

    def record_alive(self, vm: str, incarnation: int) -> None:
        """Record that a VM's node answered."""

    def record_worker_left(self, vm: str, worker: WorkerIdentity) -> None:
        """Record that a VM's worker stated that it is leaving."""


class WorkerRecord:
    """Load, latency and failures of one worker as observed by this node.

    Args:
        vm: The worker's VM.
        now: When the worker was first listed, in seconds on the node's clock.

    Attributes:
        in_flight: Requests of this node that are in flight at the worker.
        ejection: Ejection state of the worker.
        incarnation: Start of the node's process, in nanoseconds since the Unix epoch; 0 before the
            first report.
        rate_limit: Requests per second that the worker accepts, as reported last; None without
            limit.
        cold_rate: Requests per second that the worker may get while it is cold, as reported last;
            None while it is warm.
        rate_limited_until: When the worker's limited rate allows the next request, in seconds.
        left_worker: The worker that stated last that it is leaving; None if none did.
        work: Expected work of the worker.
        limits_bodies: Whether the VM asks for the large bodies of requests when its link is free;
            None before its first report.
    """

    def __init__(self, vm: Vm, now: float) -> None:
        self.vm = vm
        self.in_flight = 0
        self._latency_s: float | None = None
        self._measured_at = now
        self.ejection = Ejection()
        self.incarnation = 0
        self.rate_limit: float | None = None
        self.cold_rate: float | None = None
        self._leaving_until = now
        self._refusing_until = now
        self.rate_limited_until = now
        self.left_worker: WorkerIdentity | None = None
        self._unidentified_left_until = now
        self._warm_up_ends_at = now
        self._slots: int | None = None
        self._other_requests = 0.0
        self._reported_at = now
        self.work = ReportedWork()
        self.limits_bodies: bool | None = None
        self._body_wait_s = 0.0

    def update_vm(self, vm: Vm, now: float) -> None:
        """Apply the VM's newest record; another worker does not inherit a limited rate."""
        if vm.worker_identity != self.vm.worker_identity:
            self.rate_limit = None
            self.rate_limited_until = now
        self.vm = vm

    def begin_request(self, now: float, *, expected_s: float | None = None) -> None:
        """Count a request that is about to be sent to the worker.

        Args:
            now: Time on the node's clock, in seconds.
            expected_s: Its expected time on an average worker, in seconds; None if unknown.
        """
        self.in_flight += 1
        self.work.add_sent(expected_s or 0.0)
        self.ejection.record_request(now)

    def end_request(self) -> None:
        """Count a request to the worker as finished."""
        self.in_flight -= 1

    def is_leaving(self, now: float) -> bool:
        """Return whether the worker's node recently reported that it accepts no new work."""
        return now < self._leaving_until

    def has_left(self, now: float) -> bool:
        """Return whether the listed worker stated in an answer that it is leaving."""
        if self.left_worker is None or self.left_worker != self.vm.worker_identity:
            return False
        return self.left_worker != UNKNOWN_WORKER or now < self._unidentified_left_until

    def has_refused(self, now: float) -> bool:
        """Return whether the node recently refused a request because its worker is leaving."""
        return now < self._refusing_until

    def record_refusal(self, now: float) -> None:
        """Record that the node refused a request because its worker is leaving."""
        self._refusing_until = now + LEAVING_TTL_S

    def record_rate_refusal(self, now: float, retry_after_s: float) -> None:
        """Record that the worker's limited rate is used up for a time, in seconds."""
        self.rate_limited_until = now + min(retry_after_s, MAX_LOAD_AGE_S)

    def find_exclusion(self, ejected: frozenset[str], now: float) -> Exclusion | None:
        """Return why the worker may not get a request; None if it may.

        Args:
            ejected: Names of the VMs whose workers are ejected.
            now: Time on the node's clock, in seconds.
        """
        return find_exclusion(
            self.vm,
            is_leaving=self.is_leaving(now) or self.has_left(now),
            rate_wait_s=self.rate_limited_until - now,
            is_ejected=self.vm.name in ejected,
            has_refused=self.has_refused(now),
        )

    def begin_warm_up(self, now: float) -> None:
        """Ramp the worker's share of requests up from that of a new worker."""
        self._warm_up_ends_at = now + WARM_UP_S

    def record_load(self, load: Load, now: float) -> bool:
        """Update the load from a report of the worker's node.

        Returns:
            Whether the report came from a new incarnation of the node.
        """
        is_new = load.incarnation != self.incarnation
        if is_new and self.incarnation:
            self.begin_warm_up(now)
            self._latency_s = None
            self.work = ReportedWork()
        self.work.record(load, now)
        self.incarnation = load.incarnation
        self._leaving_until = now + LEAVING_TTL_S if load.leaving else now
        self._slots = max(load.slots, 1)
        self.rate_limit = load.rate_limit
        self.cold_rate = load.cold_rate
        self.limits_bodies = load.body_kbps > 0
        self._body_wait_s = load.body_wait_ms / MS_PER_S
        if load.leaving_worker is not None:
            is_known = load.leaving_worker != UNKNOWN_WORKER
            self.left_worker = load.leaving_worker if is_known else self.vm.worker_identity
            self._unidentified_left_until = now + UNIDENTIFIED_LEAVING_S
        self._other_requests = float(max(load.in_flight + load.queued - self.in_flight, 0))
        self._reported_at = now
        return is_new

    def record_latency(self, latency_s: float, now: float) -> None:
        """Add a measured latency, in seconds, to the moving average."""
        if self._latency_s is None:
            self._latency_s = latency_s
        else:
            self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._measured_at = now

    def estimate_latency(self, now: float, mean_latency_s: float | None) -> float | None:
        """Return the expected latency, in seconds; it decays to the mean of all workers."""
        own_s = self._latency_s
        if own_s is None or mean_latency_s is None:
            return mean_latency_s if own_s is None else own_s
        return mean_latency_s + (own_s - mean_latency_s) * 0.5 ** (
            (now - self._measured_at) / LATENCY_HALF_LIFE_S
        )

    def estimate_utilisation(self, now: float, slots: int) -> float:
        """Return the number of requests at the worker divided by its slots.

        Args:
            now: Time on the node's clock, in seconds.
            slots: Slots to assume for a worker that has not reported any yet.
        """
        return self._estimate_requests(now) / self._estimate_slots(now, slots)

    def estimate_cost(self, now: float, slots: int, mean_latency_s: float | None) -> float:
        """Return the relative cost of the next request, for comparing workers."""
        latency_s = self.estimate_latency(now, mean_latency_s) or 1.0
        requests = (self._estimate_requests(now) + 1.0) / self._estimate_slots(now, slots)
        return requests * latency_s / self._compute_share(now)

    def estimate_body_wait(self, now: float) -> float:
        """Return the time for which a large body is expected to wait for the VM's link.

        Args:
            now: Time on the node's clock, in seconds.

        Returns:
            The time, in seconds; 0 if the last report is outdated.
        """
        return self._body_wait_s if now - self._reported_at <= MAX_LOAD_AGE_S else 0.0

    def estimate_time(self, now: float, slots: int, expected_s: float) -> float | None:
        """Return the expected time to the answer of the next request; None if it is unknown.

        Args:
            now: Time on the node's clock, in seconds.
            slots: Slots to assume for a worker that has not reported any yet.
            expected_s: Expected time of the request on an average worker, in seconds.
        """
        wait_s = self.work.estimate_wait(now)
        if wait_s is None:
            return None
        # A limited rate leaves fewer slots than those that share the reported work.
        wait_s *= (self._slots or slots) / self._estimate_slots(now, slots)
        return (wait_s + self.work.estimate_service(expected_s)) / self._compute_share(now)

    def _estimate_slots(self, now: float, slots: int) -> float:
        """Return the number of requests that the worker can run at a time.

        A limited rate allows as many as start within one latency (Little's law).
        """
        own_slots = self._slots or slots
        rates = [rate for rate in (self.rate_limit, self.cold_rate) if rate is not None]
        if not rates or now - self._reported_at > MAX_LOAD_AGE_S:
            return own_slots
        latency_s = self._latency_s or 1.0
        return min(own_slots, max(min(rates) * latency_s, MIN_EFFECTIVE_SLOTS))

    def _estimate_requests(self, now: float) -> float:
        if not self._other_requests:
            return self.in_flight
        age_s = now - self._reported_at
        if age_s > MAX_LOAD_AGE_S:
            self._other_requests = 0.0
        return self.in_flight + self._other_requests * 0.5 ** (age_s / LOAD_HALF_LIFE_S)

    def _compute_share(self, now: float) -> float:
        remaining_s = self._warm_up_ends_at - now
        if remaining_s <= 0:
            return 1.0
        return max(INITIAL_SHARE, 1.0 - remaining_s / WARM_UP_S)


@dataclass(frozen=True)
class Overview:
    """What choices need to know of all workers of a service.

    Attributes:
        zones: Workers of each zone that may get a request, nearest zone first.
        ejected: Names of the VMs whose workers are ejected.
        mean_latency_s: Mean latency of the workers, in seconds; None before any was measured.
        built_at: When it was built, in seconds on the node's clock.
    """

    zones: tuple[tuple[WorkerRecord, ...], ...]
    ejected: frozenset[str]
    mean_latency_s: float | None
    built_at: float

    def covers(self, record: WorkerRecord, now: float) -> bool:
        """Return whether a worker may still get a request."""
        exclusion = record.find_exclusion(self.ejected, now)
        return exclusion is None and not record.ejection.is_blocked(now)


class Service:
    """Workers of one service, grouped into zones by distance.

    Args:
        name: Name of the service.
        now: Time on the node's clock, in seconds.

    Attributes:
        records: Listed workers by the name of their VM.
        zones: The same workers grouped by locality, nearest zone first.
        service_times: Service times at the workers, as their nodes report them, by route.
    """

    def __init__(self, name: str, now: float) -> None:
        self.service_times = ServiceTimes()
        self._overview: Overview | None = None
        self.name = name
        self.records: dict[str, WorkerRecord] = {}
        self.zones: tuple[tuple[WorkerRecord, ...], ...] = ()
        self._endpoints: tuple[Vm, ...] = ()
        self._refreshed_at = now - REFRESH_INTERVAL_S
        self._unlisted: dict[str, WorkerRecord] = {}

    def needs_refresh(self, now: float) -> bool:
        """Return whether the list of VMs must be read again."""
        return now - self._refreshed_at >= REFRESH_INTERVAL_S or not self._endpoints

    def update(self, endpoints: tuple[Vm, ...], own: VmSettings, now: float) -> None:
        """Apply a new list of VMs; records of VMs that are no longer listed are kept.

        At most as many of those are kept as VMs are listed.
        """
        self._refreshed_at = now
        if endpoints == self._endpoints:
            return
        self._overview = None
        known = self._unlisted | self.records
        is_first = not self._endpoints
        self._endpoints = endpoints
        self.records = {}
        for vm in endpoints:
            record = known.pop(vm.name, None)
            if record is None:
                record = WorkerRecord(vm, now)
                if not is_first:
                    record.begin_warm_up(now)
            record.update_vm(vm, now)
            self.records[vm.name] = record
        self._unlisted = dict(list(known.items())[-len(endpoints) :])
        self.zones = tuple(self._group_by_locality(own))

    @property
    def limits_bodies(self) -> bool:
        """Whether the link of any worker's VM limits the large bodies of requests."""
        return any(record.limits_bodies for record in self.records.values())

    def find_overview(self, now: float) -> Overview:
        """Return an overview that is at most `OVERVIEW_TTL_S` old."""
        overview = self._overview
        if overview is None or now - overview.built_at > OVERVIEW_TTL_S:
            overview = self.rebuild_overview(now)
        return overview

    def rebuild_overview(self, now: float) -> Overview:
        """Return a new overview."""
        self._overview = Overview(
            tuple(self.list_available(now)),
            self.list_ejected(now),
            self.compute_mean_latency(now),
            now,
        )
        return self._overview

    def list_available(self, now: float) -> Iterator[tuple[WorkerRecord, ...]]:
        """Yield the workers of each zone that may get a request, nearest zone first."""
        ejected = self.list_ejected(now)
        has_accepting = False
        refusing: list[tuple[WorkerRecord, ...]] = []
        for zone in self.zones:
            exclusions = [(record, record.find_exclusion(ejected, now)) for record in zone]
            accepting = tuple(record for record, exclusion in exclusions if exclusion is None)
            if accepting:
                has_accepting = True
                yield accepting
                continue
            refused = tuple(
                record for record, exclusion in exclusions if exclusion is Exclusion.REFUSED
            )
            if refused:
                refusing.append(refused)
        if not has_accepting:
            # All available workers refused recently, and may accept requests again by now.
            yield from refusing

    def compute_mean_latency(self, now: float) -> float | None:
        """Return the mean latency of the workers, in seconds; None before any was measured."""
        latencies_s = [
            latency_s
            for record in self.records.values()
            if (latency_s := record.estimate_latency(now, None)) is not None
        ]
        return sum(latencies_s) / len(latencies_s) if latencies_s else None

    def list_ejected(self, now: float) -> frozenset[str]:
        """Return the names of the ejected VMs, at most the limit of `MAX_EJECTED_DIVISOR`."""
        limit = len(self.records) // MAX_EJECTED_DIVISOR
        blocked = [record for record in self.records.values() if record.ejection.is_blocked(now)]
        if len(blocked) > limit:
            blocked.sort(key=lambda record: record.ejection.ejected_at)
        return frozenset(record.vm.name for record in blocked[:limit])

    def raise_if_limited(self, now: float) -> None:
        """Raise an error if any worker accepts requests again soon by its limited rate.

        Raises:
            TrefoilpickError: `UPSTREAM_LIMITED`.
        """
        ends_at = [
            r.rate_limited_until for r in self.records.values() if now < r.rate_limited_until
        ]
        if ends_at:
            text = f'every worker of upstream "{self.name}" has a limited rate that is used up'
            raise TrefoilpickError(
                ErrorKind.UPSTREAM_LIMITED, text, retry_after_s=min(ends_at) - now
            )

    def _group_by_locality(self, own: VmSettings) -> Iterator[tuple[WorkerRecord, ...]]:
        zones: dict[Locality, list[WorkerRecord]] = {}
        for record in self.records.values():
            zones.setdefault(_find_locality(record.vm, own), []).append(record)
        for locality in sorted(zones):
            yield tuple(zones[locality])


class Balancer:
    """Chooses workers and records their load, latency and failures.

    Args:
        own: This node's VM.
        directory: The fleet's VMs, and where observed states are reported.
        random: Random number generator.
        record_version: Called with the VM, number and digest of the version in each load report.
        by_work: Whether workers are compared by their expected work.
    """

    def __init__(
        self,
        own: VmSettings,
        directory: Directory,
        random: random.Random,
        *,
        record_version: Callable[[str, int, str], None] = ignore_version,
        by_work: bool = False,
    ) -> None:
        self._own = own
        self._by_work = by_work
        self._record_version = record_version
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
        route: str = "",
        body_objective_s: float | None = None,
    ) -> WorkerRecord:
        """Choose a worker for the next request.

        Args:
            upstream: The service.
            now: Time on the node's clock, in seconds.
            avoid: Names of VMs to use only if no other is available.
            is_heavy: Whether the request transfers many bytes.
            route: Name of the request's route.
            body_objective_s: Latency objective of a request with a large body, in seconds; None for
                any other request.

        Raises:
            TrefoilpickError: `NO_UPSTREAM` or `UPSTREAM_LIMITED`, if no worker may get a request.
        """
        service = self._update_service(upstream.name, now)
        spillover = HEAVY_SPILLOVER if is_heavy else LIGHT_SPILLOVER
        if body_objective_s is not None and service.limits_bodies:
            gain_s = BODY_GAIN_SHARE * body_objective_s
            best = self._choose_for_body(service, upstream, now, avoid, gain_s)
        elif self._by_work:
            expected_s = self.estimate_service(upstream.name, route)
            best = self._choose_by_work(service, upstream, now, expected_s, avoid, spillover)
        else:
            choose = partial(
                self._choose_of_two,
                upstream=upstream,
                now=now,
                mean_latency_s=service.compute_mean_latency(now),
                avoid=avoid,
            )
            best = _choose_zone(service.list_available(now), choose, spillover, upstream, now)
        if best is not None:
            return best
        if avoid:
            return self.choose(
                upstream, now, is_heavy=is_heavy, route=route, body_objective_s=body_objective_s
            )
        service.raise_if_limited(now)
        text = f'upstream "{upstream.name}" has no worker that accepts requests'
        raise TrefoilpickError(ErrorKind.NO_UPSTREAM, text)

    def estimate_service(self, service_name: str, route: str) -> float | None:
        """Return the expected time of a request on an average worker, in seconds.

        Returns:
            None while it is unknown, or if workers are not compared by work.
        """
        service = self._services.get(service_name)
        if not self._by_work or service is None:
            return None
        return service.service_times.estimate(route) or None

    def _choose_for_body(
        self,
        service: Service,
        upstream: Upstream,
        now: float,
        avoid: Collection[str],
        gain_s: float,
    ) -> WorkerRecord | None:
        """Choose by the expected wait for the link and for a slot.

        A worker of a farther zone must be expected to answer earlier by `gain_s`, in seconds.
        """
        mean_latency_s = service.compute_mean_latency(now)
        best: WorkerRecord | None = None
        best_s = 0.0
        for zone in service.list_available(now):
            candidates = [record for record in zone if record.vm.name not in avoid]
            sampled = self._random.sample(candidates, min(BODY_SAMPLE_SIZE, len(candidates)))
            times_s = [
                record.estimate_cost(now, upstream.slots, mean_latency_s)
                + record.estimate_body_wait(now)
                for record in sampled
            ]
            if times_s and (best is None or min(times_s) < best_s - gain_s):
                best_s = min(times_s)
                best = sampled[times_s.index(best_s)]
        return best

    def _choose_by_work(
        self,
        service: Service,
        upstream: Upstream,
        now: float,
        expected_s: float | None,
        avoid: Collection[str],
        spillover: SpilloverThresholds,
    ) -> WorkerRecord | None:
        """Choose from an overview; from a new one if a worker has changed since the last one."""
        overview = service.find_overview(now)
        for _ in range(2):
            choose = partial(
                self._choose_of_few,
                upstream=upstream,
                now=now,
                overview=overview,
                expected_s=expected_s,
                avoid=avoid,
            )
            best = _choose_zone(overview.zones, choose, spillover, upstream, now)
            if best is not None and overview.covers(best, now):
                break
            overview = service.rebuild_overview(now)
        return best

    @property
    def own_vm(self) -> str:
        """Name of the VM of this node."""
        return self._own.name

    def get_service(self, name: str, now: float) -> Service:
        """Return the workers of a service as known now."""
        return self._update_service(name, now)

    def find(self, service_name: str, vm: str, now: float) -> WorkerRecord | None:
        """Return the record of a named VM; None if the VM has no worker of the service."""
        return self._update_service(service_name, now).records.get(vm)

    def record_load(self, record: WorkerRecord, load: Load, now: float) -> None:
        """Apply a load report and notify the directory of what changed."""
        self._record_version(load.vm, load.number, load.digest)
        was_leaving = record.is_leaving(now)
        if record.record_load(load, now):
            self._directory.record_alive(load.vm, load.incarnation)
        if load.leaving and not was_leaving:
            self._directory.record_leaving(load.vm)
        if load.leaving_worker is not None:
            self._directory.record_worker_left(load.vm, load.leaving_worker)
        if load.failing_percent >= EJECTION_PERCENT:
            record.ejection.eject(now, self._random)

    def is_full(self, record: WorkerRecord, upstream: Upstream, now: float) -> bool:
        """Return whether a worker is too full to accept a request that another one refused."""
        return record.estimate_utilisation(now, upstream.slots) >= FULL_UTILISATION

    def record_load_notice(self, vm: Vm, load: Load, now: float) -> None:
        """Apply a load report that arrived between requests."""
        service = self._services.get(vm.service)
        record = service.records.get(vm.name) if service is not None else None
        if record is not None:
            self.record_load(record, load, now)

    def record_success(
        self,
        record: WorkerRecord,
        latency_s: float,
        now: float,
        *,
        route: str = "",
        served_s: float | None = None,
    ) -> None:
        """Record a worker's answer.

        Args:
            record: The worker.
            latency_s: Latency of the answer, in seconds.
            now: Time on the node's clock, in seconds.
            route: Name of the request's route.
            served_s: Time that the worker took, in seconds; None if unknown.
        """
        record.record_latency(latency_s, now)
        service = self._services.get(record.vm.service)
        if self._by_work and served_s is not None and service is not None:
            service.service_times.record(route, served_s)
        if record.ejection.is_ejected:
            self._directory.record_alive(record.vm.name, record.incarnation)
        record.ejection.record_success()

    def record_failure(self, record: WorkerRecord, now: float, *, refused: bool = False) -> None:
        """Record a failure of a worker or of its node."""
        record.ejection.record_failure(now, self._random)
        name = record.vm.name
        service = self._services.get(record.vm.service)
        if refused and service is not None and name in service.list_ejected(now):
            self._directory.record_connection_refused(name)

    def record_unresponsive(self, record: WorkerRecord, now: float) -> None:
        """Eject a worker whose VM is unresponsive, so that no more requests fail there."""
        record.ejection.eject(now, self._random)

    def _update_service(self, name: str, now: float) -> Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = Service(name, now)
        if service.needs_refresh(now):
            service.update(self._directory.list_endpoints(name), self._own, now)
        return service

    def _choose_of_two(
        self,
        zone: tuple[WorkerRecord, ...],
        *,
        upstream: Upstream,
        now: float,
        mean_latency_s: float | None,
        avoid: Collection[str],
    ) -> WorkerRecord | None:
        if avoid:
            zone = tuple(record for record in zone if record.vm.name not in avoid)
        if len(zone) < 2:
            return zone[0] if zone else None
        first, second = self._random.sample(zone, 2)
        first_cost = first.estimate_cost(now, upstream.slots, mean_latency_s)
        second_cost = second.estimate_cost(now, upstream.slots, mean_latency_s)
        return first if first_cost <= second_cost else second

    def _choose_of_few(
        self,
        zone: tuple[WorkerRecord, ...],
        *,
        upstream: Upstream,
        now: float,
        overview: Overview,
        expected_s: float | None,
        avoid: Collection[str],
    ) -> WorkerRecord | None:
        """Choose by expected time; by requests if the time of any sampled worker is unknown."""
        if avoid:
            zone = tuple(record for record in zone if record.vm.name not in avoid)
        sampled = self._random.sample(zone, min(SAMPLE_SIZE, len(zone)))
        times_s = [
            (None if expected_s is None else record.estimate_time(now, upstream.slots, expected_s))
            for record in sampled
        ]
        costs = [time_s for time_s in times_s if time_s is not None]
        if len(costs) < len(sampled):
            # As many as without reports: more choices by old counts send to the same workers.
            costs = [
                record.estimate_cost(now, upstream.slots, overview.mean_latency_s)
                for record in sampled[:2]
            ]
        return sampled[costs.index(min(costs))] if sampled else None


def _choose_zone(
    zones: Iterable[tuple[WorkerRecord, ...]],
    choose: Callable[[tuple[WorkerRecord, ...]], WorkerRecord | None],
    spillover: SpilloverThresholds,
    upstream: Upstream,
    now: float,
) -> WorkerRecord | None:
    """Return the chosen worker of the nearest zone with capacity; None if there is no worker."""
    best: WorkerRecord | None = None
    best_utilisation = 0.0
    for zone in zones:
        record = choose(zone)
        if record is None:
            continue
        utilisation = record.estimate_utilisation(now, upstream.slots)
        if utilisation < spillover.utilisation:
            return record
        if best is None or utilisation < best_utilisation - spillover.gain:
            best, best_utilisation = record, utilisation
    return best


def _find_locality(vm: Vm, own: VmSettings) -> Locality:
    if vm.region != own.region:
        return Locality.OTHER
    if vm.data_centre != own.data_centre:
        return Locality.REGION
    return Locality.DATA_CENTRE
