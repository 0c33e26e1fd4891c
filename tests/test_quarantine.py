from __future__ import annotations

import itertools

import curio
import pytest

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.fingerprints import Fingerprint
from trefoilpick.metrics import Metrics
from trefoilpick.quarantine import (
    MAX_CASES,
    QUARANTINE_S,
    RELEASED_S,
    TRIAL_DELAYS_S,
    Case,
    CaseState,
    QuarantineTable,
)
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.vms import Vm

POISON = Fingerprint(b"poison--", b"caller--")
VMS = tuple(Vm(f"vm-{i}", "lima", "lima-a", "encargos", "127.0.0.1", 1, 2) for i in range(5))


class Bench:
    """A table with a clock that the test sets, and gates of several VMs on it."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self.table = QuarantineTable(lambda: self.now_s)
        self.gates = {
            vm.name: QuarantineGate(
                vm.name,
                self.table,
                list_endpoints=lambda service: VMS if service == "encargos" else (),
                metrics=Metrics(),
                clock=lambda: self.now_s,
            )
            for vm in VMS
        }

    def quarantine(self, fingerprint: Fingerprint = POISON, service: str = "encargos") -> Case:
        case = self.table.escalate(
            fingerprint, CaseState.QUARANTINED, service=service, route="r", ends=3
        )
        assert case is not None
        return case

    def find_hosts(self) -> set[str | None]:
        """Return the VMs to which the gates send the request; "refused" for a refusal."""
        hosts: set[str | None] = set()
        for gate in self.gates.values():
            try:
                hosts.add(gate.check(POISON))
            except TrefoilpickError as error:
                assert error.kind is ErrorKind.QUARANTINED
                hosts.add("refused")
        return hosts

    def admit(self) -> list[str]:
        """Return the VMs whose gates admit the request beside their workers."""
        admitted = []
        for name, gate in self.gates.items():
            try:
                curio.run(gate.admit, POISON)
                admitted.append(name)
            except TrefoilpickError:
                pass
        return admitted


def test_quarantined_request_is_refused_as_not_run_until_its_trial() -> None:
    bench = Bench()
    assert bench.find_hosts() == {None}
    bench.quarantine()
    with pytest.raises(TrefoilpickError) as caught:
        bench.gates["vm-0"].check(POISON)
    answer = find_answer(caught.value)
    assert (answer.status, answer.outcome) == (503, Outcome.NOT_RUN)
    assert answer.retry_after_s == pytest.approx(TRIAL_DELAYS_S[0])
    assert bench.admit() == []


def test_each_trial_is_admitted_once_in_the_fleet_and_there_are_two() -> None:
    bench = Bench()
    bench.quarantine()
    for delay_s in TRIAL_DELAYS_S:
        bench.now_s += delay_s
        (host,) = bench.find_hosts()
        assert bench.admit() == [host]
        assert bench.find_hosts() == {"refused"}
    bench.now_s += QUARANTINE_S / 2
    assert bench.find_hosts() == {"refused"}


def test_trial_without_workers_is_not_made() -> None:
    bench = Bench()
    bench.quarantine(service="gone")
    bench.now_s += 2 * TRIAL_DELAYS_S[0]
    assert bench.find_hosts() == {"refused"}
    assert bench.admit() == []


def test_answer_releases_a_request_for_its_caller_and_for_any() -> None:
    bench = Bench()
    bench.quarantine()
    bench.quarantine(POISON.for_any_caller)
    curio.run(bench.gates["vm-0"].record_answer, POISON)
    assert bench.find_hosts() == {None}
    assert all(gate.is_open for gate in bench.gates.values())


def test_same_content_of_another_caller_passes() -> None:
    bench = Bench()
    bench.quarantine()
    assert bench.gates["vm-0"].check(Fingerprint(POISON.content, b"another-")) is None


def test_quarantine_lasts_while_the_request_comes_and_ends_after_it() -> None:
    bench = Bench()
    bench.quarantine()
    for _ in range(4):
        bench.now_s += 0.9 * QUARANTINE_S
        assert bench.find_hosts() <= {"refused", *bench.gates}
    bench.now_s += QUARANTINE_S + 1.0
    assert bench.find_hosts() == {None}
    assert [case.fingerprint for case in bench.table.drop_expired()] == [POISON]


def test_cases_are_bounded_and_released_ones_go_first() -> None:
    bench = Bench()
    bench.quarantine()
    for number in range(MAX_CASES):
        fingerprint = Fingerprint(b"%08d" % number, b"")
        bench.quarantine(fingerprint)
        bench.table.release(fingerprint)
        bench.now_s += 0.01
    assert len(list(bench.table)) == MAX_CASES
    assert bench.table.find_quarantined(POISON) is not None


def make_case(revision: int, state: CaseState) -> Case:
    return Case(POISON, "encargos", "r", state, revision, 3, 0, 1_005.0, 9_000.0)


# Nodes hear of changes in any order, and must agree afterwards.
def test_merging_in_any_order_gives_the_same_state() -> None:
    cases = [make_case(r, state) for r in (1, 2) for state in CaseState]
    results = set()
    for order in itertools.permutations(cases):
        bench = Bench()
        for case in order:
            bench.table.merge([case])
            bench.table.merge([case])
        (found,) = bench.table
        results.add((found.revision, found.state))
    assert results == {(2, CaseState.RELEASED)}


def test_released_request_can_be_quarantined_again() -> None:
    bench = Bench()
    first = bench.quarantine()
    released = bench.table.release(POISON)
    assert released is not None
    again = bench.quarantine()
    assert first.revision < released.revision < again.revision
    assert bench.table.merge([first, released]) == ()
    bench.table.release(POISON)
    bench.now_s += RELEASED_S + 1.0
    assert bench.table.find(POISON) is None
