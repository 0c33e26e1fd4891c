from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import msgspec
import pytest

from trefoilpick.balancing import (
    REFRESH_INTERVAL_S,
    WARM_UP_S,
    Balancer,
    WorkerRecord,
)
from trefoilpick.document import Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.hops import Load
from trefoilpick.reported_work import MAX_LOAD_AGE_S
from trefoilpick.settings import VmSettings
from trefoilpick.vms import (
    UNIDENTIFIED_LEAVING_S,
    UNKNOWN_WORKER,
    Vm,
    VmState,
    WorkerIdentity,
)

OWN = VmSettings("vm-0", "lima", "lima-a", "portafolio")
UPSTREAM = Upstream("encargos", slots=10)


class Fleet:
    """Fake directory with a balancer and a clock."""

    def __init__(
        self, count: int, *, data_centres: tuple[str, ...] = ("lima-a",), by_work: bool = False
    ) -> None:
        self.now = 100.0
        self.vms = tuple(
            Vm(
                f"vm-{i}",
                "lima",
                data_centres[i % len(data_centres)],
                "encargos",
                "127.0.0.1",
                1,
                2,
            )
            for i in range(1, count + 1)
        )
        self.notified: list[tuple[str, str]] = []
        self.reads = 0
        self.balancer = Balancer(OWN, self, random.Random(3), by_work=by_work)

    def list_endpoints(self, service: str) -> tuple[Vm, ...]:
        self.reads += 1
        return self.vms

    def count_vms(self) -> int:
        return 1

    def record_connection_refused(self, vm: str) -> None:
        self.notified.append(("refused", vm))

    def record_leaving(self, vm: str) -> None:
        self.notified.append(("leaving", vm))

    def record_alive(self, vm: str, incarnation: int) -> None:
        self.notified.append(("alive", vm))

    def record_worker_left(self, vm: str, worker: WorkerIdentity) -> None:
        self.notified.append(("worker left", vm))

    def choose(self) -> WorkerRecord:
        return self.balancer.choose(UPSTREAM, self.now)

    def find(self, name: str) -> WorkerRecord:
        record = self.balancer.find("encargos", name, self.now)
        assert record is not None
        return record

    def count_choices(self, count: int = 400) -> Counter[str]:
        return Counter(self.choose().vm.name for _ in range(count))

    def report(self, name: str, **changes: object) -> None:
        load = Load(name, 1, 7, "d", 0, 0, 10, False)
        load = Load(*{**{f: getattr(load, f) for f in load.__struct_fields__}, **changes}.values())
        self.balancer.record_load(self.find(name), load, self.now)

    def fail(self, name: str, count: int = 3) -> None:
        for _ in range(count):
            self.balancer.record_failure(self.find(name), self.now, refused=True)


def test_requests_in_flight_are_balanced() -> None:
    fleet = Fleet(4)
    begun = [fleet.choose() for _ in range(1)]
    for _ in range(200):
        record = fleet.choose()
        record.begin_request(fleet.now)
        begun.append(record)
    in_flight = [fleet.find(vm.name).in_flight for vm in fleet.vms]
    assert max(in_flight) - min(in_flight) <= 6


def test_reported_load_counts_and_decays() -> None:
    fleet = Fleet(2)
    fleet.report("vm-1", in_flight=10, queued=20)
    assert fleet.count_choices()["vm-1"] == 0
    fleet.now += 20.0
    assert fleet.count_choices()["vm-1"] > 100


def test_a_slow_worker_gets_few_requests_but_is_not_starved() -> None:
    fleet = Fleet(4)
    running: list[tuple[float, WorkerRecord]] = []
    served: Counter[str] = Counter()
    for _ in range(4_000):
        fleet.now += 0.002
        for item in [item for item in running if item[0] <= fleet.now]:
            running.remove(item)
            item[1].end_request()
        record = fleet.choose()
        service_s = 0.2 if record.vm.name == "vm-1" else 0.02
        record.begin_request(fleet.now)
        running.append((fleet.now + service_s, record))
        fleet.balancer.record_success(record, service_s, fleet.now)
        served[record.vm.name] += 1
    assert 0 < served["vm-1"] < 0.08 * served.total()


def test_nearest_zone_first_and_spillover_before_overload() -> None:
    fleet = Fleet(4, data_centres=("lima-a", "lima-b"))
    near = {"vm-2", "vm-4"}
    assert set(fleet.count_choices()) == near
    for name in near:
        fleet.report(name, in_flight=9)
    assert set(fleet.count_choices()) == {"vm-1", "vm-3"}
    for vm in fleet.vms:
        fleet.report(vm.name, in_flight=9, queued=5 if vm.name in near else 9)
    assert set(fleet.count_choices()) == near


def test_at_most_half_are_ejected_and_one_probe_at_a_time() -> None:
    fleet = Fleet(4)
    for vm in fleet.vms[:3]:
        fleet.choose()
        fleet.fail(vm.name)
        fleet.now += 0.01
    assert set(fleet.count_choices()) == {"vm-3", "vm-4"}
    assert fleet.notified == [("refused", "vm-1"), ("refused", "vm-2")]
    fleet.now += 2.0
    probe = fleet.find("vm-1")
    probe.begin_request(fleet.now)
    assert "vm-1" not in fleet.count_choices()
    probe.end_request()
    fleet.balancer.record_success(probe, 0.01, fleet.now)
    assert fleet.notified[-1] == ("alive", "vm-1")
    assert fleet.count_choices()["vm-1"] > 0


def test_pauses_grow_with_each_ejection() -> None:
    fleet = Fleet(2)
    fleet.choose()
    pauses = []
    for _ in range(5):
        fleet.fail("vm-1")
        began_at = fleet.now
        while "vm-1" not in fleet.count_choices(20):
            fleet.now += 0.1
        pauses.append(fleet.now - began_at)
    assert pauses[0] <= 1.2
    assert pauses == sorted(pauses)
    assert pauses[-1] >= 8.0


def test_a_new_worker_and_a_restarted_one_warm_up() -> None:
    fleet = Fleet(4)
    fleet.count_choices(10)
    newcomer = replace(fleet.vms[0], name="vm-9")
    fleet.vms = (*fleet.vms, newcomer)
    fleet.now += REFRESH_INTERVAL_S
    for vm in fleet.vms:
        fleet.balancer.record_success(fleet.find(vm.name), 0.01, fleet.now)
        fleet.find(vm.name).begin_request(fleet.now)
    assert fleet.count_choices()["vm-9"] == 0
    fleet.now += WARM_UP_S
    assert fleet.count_choices()["vm-9"] > 20
    fleet.report("vm-9", in_flight=1, incarnation=1)
    fleet.report("vm-9", in_flight=1, incarnation=2)
    assert fleet.count_choices()["vm-9"] == 0


@pytest.mark.parametrize("source", ["load", "list"])
def test_a_leaving_worker_gets_no_new_requests(source: str) -> None:
    fleet = Fleet(2)
    fleet.choose()
    if source == "load":
        fleet.report("vm-1", leaving=True)
        assert ("leaving", "vm-1") in fleet.notified
    else:
        fleet.vms = (replace(fleet.vms[0], state=VmState.LEAVING), fleet.vms[1])
        fleet.now += REFRESH_INTERVAL_S
    assert set(fleet.count_choices()) == {"vm-2"}


def test_the_vm_list_is_cached_and_no_available_worker_is_an_error() -> None:
    fleet = Fleet(2)
    fleet.count_choices(1_000)
    assert fleet.reads == 1
    for vm in fleet.vms:
        fleet.report(vm.name, leaving=True)
    with pytest.raises(TrefoilpickError) as caught:
        fleet.choose()
    assert caught.value.kind is ErrorKind.NO_UPSTREAM


def test_requests_stay_in_the_data_centre_when_all_workers_are_overloaded() -> None:
    """With all workers over their slots, slightly less load elsewhere is not worth the latency."""
    fleet = Fleet(6, data_centres=("lima-a", "lima-b", "lima-c"))
    for name in ("vm-3", "vm-6"):
        fleet.report(name, in_flight=10, queued=3)
    for name in ("vm-1", "vm-2", "vm-4", "vm-5"):
        fleet.report(name, in_flight=10, queued=0)
    assert fleet.count_choices().keys() <= {"vm-3", "vm-6"}
    for name in ("vm-3", "vm-6"):
        fleet.report(name, in_flight=10, queued=9)
    assert not fleet.count_choices().keys() & {"vm-3", "vm-6"}


def test_a_worker_counts_as_full_until_its_reported_load_decays() -> None:
    fleet = Fleet(2)
    fleet.report("vm-1", in_flight=10, queued=14)
    assert fleet.balancer.is_full(fleet.find("vm-1"), UPSTREAM, fleet.now)
    assert not fleet.balancer.is_full(fleet.find("vm-2"), UPSTREAM, fleet.now)
    fleet.now += 3.0
    assert not fleet.balancer.is_full(fleet.find("vm-1"), UPSTREAM, fleet.now)


def test_a_worker_that_refused_is_chosen_only_if_all_refused() -> None:
    fleet = Fleet(2)
    fleet.choose()
    fleet.find("vm-1").record_refusal(fleet.now)
    assert fleet.count_choices().keys() == {"vm-2"}
    fleet.find("vm-2").record_refusal(fleet.now)
    assert fleet.count_choices().keys() == {"vm-1", "vm-2"}


def test_an_unresponsive_worker_is_ejected_at_once() -> None:
    fleet = Fleet(4)
    fleet.balancer.record_unresponsive(fleet.find("vm-2"), fleet.now)
    assert fleet.count_choices()["vm-2"] == 0


def test_light_requests_spill_over_before_heavy_ones() -> None:
    """Transfers between data centres are costly, so light requests spill over first."""
    fleet = Fleet(4, data_centres=("lima-a", "lima-b"))
    near, far = {"vm-2", "vm-4"}, {"vm-1", "vm-3"}
    for name in near:
        fleet.report(name, in_flight=10)
    for name in far:
        fleet.report(name, in_flight=3)
    chosen = {fleet.balancer.choose(UPSTREAM, fleet.now, is_heavy=True).vm.name for _ in range(50)}
    assert chosen <= near
    assert set(fleet.count_choices()) <= far
    for name in near:
        fleet.report(name, in_flight=10, queued=4)
    chosen = {fleet.balancer.choose(UPSTREAM, fleet.now, is_heavy=True).vm.name for _ in range(50)}
    assert chosen <= far


def test_a_worker_with_a_limited_rate_gets_a_share_that_fits_it() -> None:
    fleet = Fleet(5)
    for vm in fleet.vms:
        fleet.balancer.record_success(fleet.find(vm.name), 0.1, fleet.now)
    fleet.report("vm-1", rate_limit=10.0)
    chosen: Counter[str] = Counter()
    for _ in range(30):
        record = fleet.choose()
        record.begin_request(fleet.now)
        chosen[record.vm.name] += 1
    # 10 requests a second at 0.1 s each are one at a time; the others have 10 slots each.
    assert chosen["vm-1"] <= 2
    assert min(chosen[name] for name in ("vm-2", "vm-3", "vm-4", "vm-5")) >= 5


# Guards against sending a cold worker what its node refuses, and carrying back the cold rate.
def test_a_cold_worker_is_weighed_by_the_lower_of_both_rates() -> None:
    fleet = Fleet(2)
    fleet.report("vm-1", rate_limit=100.0, cold_rate=4.0)
    fleet.report("vm-2", rate_limit=4.0)
    costs = [fleet.find(vm).estimate_cost(fleet.now, 10, 0.1) for vm in ("vm-1", "vm-2")]
    assert costs[0] == costs[1]
    fleet.report("vm-1", cold_rate=4.0)
    assert fleet.find("vm-1").rate_limit is None
    assert fleet.find("vm-1").estimate_cost(fleet.now, 10, 0.1) == costs[0]
    fleet.report("vm-1")
    assert fleet.find("vm-1").estimate_cost(fleet.now, 10, 0.1) < costs[0]


def test_an_old_report_of_a_limited_rate_is_ignored() -> None:
    fleet = Fleet(2)
    fleet.report("vm-1", rate_limit=0.1)
    fleet.now += MAX_LOAD_AGE_S + 1
    assert fleet.find("vm-1").estimate_cost(fleet.now, 10, 0.1) == pytest.approx(0.01)


def test_a_worker_whose_rate_is_used_up_is_avoided_until_the_advised_time() -> None:
    fleet = Fleet(2)
    fleet.find("vm-1").record_rate_refusal(fleet.now, 0.5)
    assert set(fleet.count_choices(50)) == {"vm-2"}
    fleet.now += 0.6
    assert set(fleet.count_choices(50)) == {"vm-1", "vm-2"}


def test_a_request_is_refused_at_once_if_the_rate_of_every_worker_is_used_up() -> None:
    fleet = Fleet(2)
    fleet.find("vm-1").record_rate_refusal(fleet.now, 0.5)
    fleet.find("vm-2").record_rate_refusal(fleet.now, 0.3)
    with pytest.raises(TrefoilpickError) as raised:
        fleet.choose()
    assert raised.value.kind is ErrorKind.UPSTREAM_LIMITED
    assert raised.value.retry_after_s == pytest.approx(0.3)


def test_a_worker_that_stated_that_it_leaves_is_avoided_after_its_node_has_restarted() -> None:
    fleet = Fleet(2)
    worker = WorkerIdentity("i-1", 100)
    leaving = replace(fleet.vms[0], worker=worker.worker, started_ms=worker.started_ms)
    fleet.vms = (leaving, fleet.vms[1])
    fleet.report("vm-1", leaving_worker=worker)
    fleet.report("vm-1", incarnation=2)
    fleet.now += 100.0
    assert set(fleet.count_choices(50)) == {"vm-2"}


def test_a_worker_that_left_is_avoided_although_the_list_omitted_it_for_a_while() -> None:
    fleet = Fleet(3)
    worker = WorkerIdentity("i-1", 100)
    leaving = replace(fleet.vms[0], worker=worker.worker, started_ms=worker.started_ms)
    others = fleet.vms[1:]
    fleet.vms = (leaving, *others)
    fleet.report("vm-1", leaving_worker=worker)
    for vms in (others, (leaving, *others)):
        fleet.vms = vms
        fleet.now += REFRESH_INTERVAL_S
        fleet.choose()
    assert "vm-1" not in fleet.count_choices(50)


def test_a_new_worker_on_the_vm_of_one_that_left_is_used() -> None:
    fleet = Fleet(2)
    leaving = replace(fleet.vms[0], worker="i-1", started_ms=100)
    fleet.vms = (leaving, fleet.vms[1])
    fleet.report("vm-1", leaving_worker=leaving.worker_identity)
    fleet.vms = (replace(leaving, started_ms=200), fleet.vms[1])
    fleet.now += REFRESH_INTERVAL_S
    assert "vm-1" in fleet.count_choices(200)


def test_a_leaving_worker_without_identity_is_avoided_for_a_limited_time() -> None:
    fleet = Fleet(2)
    fleet.report("vm-1", leaving_worker=UNKNOWN_WORKER)
    assert set(fleet.count_choices(50)) == {"vm-2"}
    fleet.now += UNIDENTIFIED_LEAVING_S
    assert set(fleet.count_choices(50)) == {"vm-1", "vm-2"}


def test_a_new_worker_on_a_vm_does_not_inherit_the_limit_of_the_one_before() -> None:
    fleet = Fleet(2)
    fleet.report("vm-1", rate_limit=0.1)
    fleet.find("vm-1").record_rate_refusal(fleet.now, 5.0)
    fleet.vms = (replace(fleet.vms[0], worker="i-2", started_ms=2), fleet.vms[1])
    fleet.now += REFRESH_INTERVAL_S
    assert fleet.find("vm-1").rate_limit is None
    assert "vm-1" in fleet.count_choices(200)


def open_work_fleet(count: int, *, by_work: bool = True, service_s: float = 0.1) -> Fleet:
    """Return a fleet whose service times are known."""
    fleet = Fleet(count, by_work=by_work)
    fleet.balancer.record_success(fleet.find("vm-1"), service_s, fleet.now, served_s=service_s)
    return fleet


def test_workers_are_compared_by_work_only_with_the_setting() -> None:
    """Three short requests are less work than a long one; without the setting, counts decide."""
    for by_work, best in ((True, "vm-2"), (False, "vm-1")):
        fleet = open_work_fleet(2, by_work=by_work)
        fleet.report("vm-1", in_flight=1, slots=3, work_s=3.0, speed=1.0)
        fleet.report("vm-2", in_flight=3, slots=3, work_s=0.3, speed=1.0)
        assert fleet.count_choices(20) == {best: 20}


def test_faster_worker_gets_the_request_while_it_answers_first() -> None:
    """A worker of thrice the speed answers first until its own queue outweighs that."""
    fleet = open_work_fleet(2)
    fleet.report("vm-1", slots=1, work_s=0.0, speed=0.5)
    fleet.report("vm-2", slots=1, work_s=0.0, speed=1.5)
    chosen = []
    for _ in range(4):
        chosen.append(fleet.choose())
        chosen[-1].begin_request(fleet.now, expected_s=0.1)
    assert [record.vm.name for record in chosen] == ["vm-2", "vm-2", "vm-1", "vm-2"]


@pytest.mark.parametrize("fault", ["former release", "old report", "no service time"])
def test_unknown_work_falls_back_to_counts(fault: str) -> None:
    """A worker without usable work must neither attract all requests nor get none."""
    fleet = open_work_fleet(2, service_s=0.0 if fault == "no service time" else 0.1)
    old = 50.0
    fleet.report("vm-2", slots=3, work_s=None if fault == "former release" else old, speed=1.0)
    if fault == "old report":
        fleet.now += MAX_LOAD_AGE_S + 1
    fleet.report("vm-1", in_flight=2, slots=3, work_s=0.0, speed=1.0)
    assert fleet.count_choices(20) == {"vm-2": 20}


def test_worker_that_leaves_is_not_chosen_from_an_older_overview() -> None:
    """The overview of a service saves time, and must not delay an exclusion."""
    fleet = open_work_fleet(3)
    assert len(fleet.count_choices()) == 3
    fleet.report("vm-1", leaving=True)
    fleet.find("vm-2").record_refusal(fleet.now)
    assert fleet.count_choices() == {"vm-3": 400}
    fleet.fail("vm-3", 20)
    assert fleet.choose().vm.name == "vm-2"


def test_cost_of_a_choice_does_not_grow_with_the_number_of_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Walking all workers for each request uses up a node's share of the processor."""
    checks: list[str] = []
    find_exclusion = WorkerRecord.find_exclusion

    def count_check(record: WorkerRecord, ejected: frozenset[str], now: float) -> object:
        checks.append(record.vm.name)
        return find_exclusion(record, ejected, now)

    monkeypatch.setattr(WorkerRecord, "find_exclusion", count_check)
    for count in (10, 200):
        fleet = open_work_fleet(count)
        fleet.choose()
        checks.clear()
        fleet.count_choices(100)
        assert len(checks) == 100


@pytest.mark.parametrize(
    ("near_wait_ms", "near_share"), [(0, 1.0), (150, 1.0), (300, 0.0), (900, 0.0)]
)
def test_large_bodies_leave_a_data_centre_whose_links_are_full(
    near_wait_ms: int, near_share: float
) -> None:
    """One data centre sent all its uploads to its own worker, over a link of two thirds their rate.

    Bodies between data centres are costly, so that a shorter wait is no reason to send them there.
    """
    fleet = Fleet(4, data_centres=("lima-a", "lima-b"))
    for vm in fleet.vms:
        is_near = vm.data_centre == "lima-a"
        load = Load(vm.name, 1, 1, "d", 0, 0, 10, False, body_kbps=3_000)
        load = msgspec.structs.replace(load, body_wait_ms=near_wait_ms if is_near else 0)
        fleet.balancer.get_service("encargos", fleet.now)
        record = fleet.balancer.find("encargos", vm.name, fleet.now)
        assert record is not None
        fleet.balancer.record_load(record, load, fleet.now)
    chosen = [
        fleet.balancer.choose(UPSTREAM, fleet.now, is_heavy=True, body_objective_s=0.8)
        for _ in range(50)
    ]
    near = sum(record.vm.data_centre == "lima-a" for record in chosen)
    assert near / len(chosen) == near_share
