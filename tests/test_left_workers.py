"""Workers that stated that they are leaving, in the records and lists of a node."""

from __future__ import annotations

from dataclasses import replace

import pytest
from fakes_fleet import make_vms

from trefoilpick.left_workers import MAX_LEFT_WORKERS, LeftWorkers
from trefoilpick.vms import UNKNOWN_WORKER, VmState, WorkerIdentity

VM = replace(make_vms(1, 1)[0], worker="i-1", started_ms=100)


def test_a_vm_is_leaving_if_its_listed_worker_is() -> None:
    left = LeftWorkers()
    assert left.record(VM.name, VM.worker_identity)
    assert not left.record(VM.name, VM.worker_identity)
    assert left.apply(VM) == replace(VM, state=VmState.LEAVING)
    assert list(left.list_listed({VM.name: VM})) == [(VM.name, VM.worker_identity)]


@pytest.mark.parametrize("changes", [{"started_ms": 200}, {"worker": "i-2"}, {"name": "other"}])
def test_another_worker_or_vm_is_not_leaving(changes: dict[str, object]) -> None:
    left = LeftWorkers()
    left.record(VM.name, VM.worker_identity)
    other = replace(VM, **changes)
    assert left.apply(other) == other
    assert list(left.list_listed({other.name: other})) == []


def test_a_late_report_of_an_earlier_worker_does_not_replace_a_later_one() -> None:
    left = LeftWorkers()
    left.record(VM.name, WorkerIdentity("i-2", 200))
    assert not left.record(VM.name, WorkerIdentity("i-1", 100))
    assert left.apply(replace(VM, worker="i-2", started_ms=200)).state is VmState.LEAVING


def test_workers_without_identity_are_not_recorded() -> None:
    left = LeftWorkers()
    assert not left.record(VM.name, UNKNOWN_WORKER)
    unknown = replace(VM, worker="", started_ms=0)
    assert left.apply(unknown) == unknown


def test_the_number_of_remembered_workers_is_bounded() -> None:
    left = LeftWorkers()
    names = [f"vm-{number}" for number in range(MAX_LEFT_WORKERS + 1)]
    for name in names:
        left.record(name, VM.worker_identity)
    listed = {name: replace(VM, name=name) for name in names}
    assert [name for name, _ in left.list_listed(listed)] == names[1:]
