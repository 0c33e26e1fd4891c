from dataclasses import replace

import pytest
from fakes_fleet import make_vms
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.membership import DEAD_AFTER_MISSES, UNLISTED_TIMEOUT_S, MembershipTable
from trefoilpick.revisions import compose_revision
from trefoilpick.vms import VmList, VmState

VMS = make_vms(1, 9)
OWN, PEER = VMS[0], VMS[3]


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def open_membership() -> tuple[MembershipTable, Clock]:
    clock = Clock()
    membership = MembershipTable(OWN, clock=clock)
    membership.adopt_list(VmList(1, VMS))
    return membership, clock


def has_endpoint(membership: MembershipTable) -> bool:
    return PEER in membership.list_endpoints(PEER.service)


def test_refused_connection_overrides_the_list_and_is_retried_with_backoff() -> None:
    membership, clock = open_membership()
    pauses = []
    for _ in range(10):
        assert has_endpoint(membership)
        membership.record_connection_refused(PEER.name)
        refused_s = clock.now_s
        while not has_endpoint(membership):
            clock.now_s += 0.5
        pauses.append(clock.now_s - refused_s)
    assert pauses == [1, 2, 4, 8, 16, 32, 60, 60, 60, 60]
    membership.record_alive(PEER.name, 1)
    membership.record_connection_refused(PEER.name)
    clock.now_s += 1
    assert has_endpoint(membership)


def test_missed_heartbeats_make_a_vm_dead_and_one_answer_revives_it() -> None:
    membership, _ = open_membership()
    for _ in range(DEAD_AFTER_MISSES - 1):
        membership.record_missed_heartbeat(PEER.name)
    assert has_endpoint(membership) and not membership.is_dead(PEER.name)
    membership.record_missed_heartbeat(PEER.name)
    assert not has_endpoint(membership) and membership.is_dead(PEER.name)
    membership.record_alive(PEER.name, 1)
    assert has_endpoint(membership)


def test_leaving_ends_with_the_incarnation() -> None:
    membership, clock = open_membership()
    membership.record_alive(PEER.name, 5)
    membership.record_leaving(PEER.name)
    membership.record_alive(PEER.name, 5)
    membership.record_alive(PEER.name, 4)
    assert not has_endpoint(membership)
    membership.record_alive(PEER.name, 6)
    assert has_endpoint(membership)
    # A clock that was set back between two incarnations must not exclude the VM forever.
    membership.record_leaving(PEER.name)
    clock.now_s += UNLISTED_TIMEOUT_S + 1
    membership.record_alive(PEER.name, 3)
    assert has_endpoint(membership)


def test_incarnation_with_an_earlier_start_is_current_once_it_answers_a_request() -> None:
    membership, _ = open_membership()
    membership.record_alive(PEER.name, 5)
    membership.record_leaving(PEER.name)
    membership.record_alive(PEER.name, 3)
    assert not has_endpoint(membership)
    membership.record_alive(PEER.name, 3, is_current=True)
    assert has_endpoint(membership)
    # A late message of the previous incarnation changes nothing.
    membership.record_leaving(PEER.name)
    membership.record_alive(PEER.name, 5)
    assert not has_endpoint(membership)


def test_vm_listed_as_leaving_gets_no_new_work() -> None:
    membership, _ = open_membership()
    leaving = replace(PEER, state=VmState.LEAVING)
    assert membership.adopt_list(VmList(2, (*VMS[:3], leaving, *VMS[4:])))
    assert membership.list_endpoints(PEER.service) == tuple(
        vm for vm in VMS if vm.service == PEER.service and vm != PEER
    )


def test_unlisted_vm_is_used_while_it_sends_messages() -> None:
    membership, clock = open_membership()
    announced = replace(PEER, name="vm-fresh")
    membership.add_unlisted(announced)
    membership.record_alive(announced.name, 1)
    assert announced in membership.list_endpoints(PEER.service)
    membership.adopt_list(VmList(2, VMS))
    assert membership.find_vm(announced.name) == announced
    clock.now_s += UNLISTED_TIMEOUT_S + 1
    membership.adopt_list(VmList(3, VMS))
    assert membership.find_vm(announced.name) is None


def test_unresponsive_vm_that_was_removed_from_the_list_is_not_alive() -> None:
    """Removed VMs must not be ranked among the readers while versions are published quickly."""
    membership, clock = open_membership()
    membership.record_alive(PEER.name, 1)
    membership.adopt_list(VmList(2, tuple(vm for vm in VMS if vm != PEER)))
    assert PEER in membership.list_alive()
    membership.record_missed_heartbeat(PEER.name)
    assert PEER not in membership.list_alive()
    clock.now_s += UNLISTED_TIMEOUT_S - 1
    assert PEER not in membership.list_alive()
    membership.record_alive(PEER.name, 2)
    assert PEER in membership.list_alive()


def test_older_list_changes_nothing() -> None:
    membership, _ = open_membership()
    assert not membership.adopt_list(VmList(1, ()))
    assert set(membership.list_vms()) == set(VMS)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sets(st.sampled_from(VMS)), min_size=1, max_size=6), st.data())
def test_change_since_any_revision_gives_the_list(lists: list, data: st.DataObject) -> None:
    membership = MembershipTable(OWN)
    follower = MembershipTable(OWN)
    for revision, vms in enumerate(lists, start=1):
        membership.adopt_list(VmList(revision, tuple(vms)))
        if data.draw(st.booleans()):
            assert follower.adopt_change(membership.compute_change(follower.revision))
            assert set(follower.list_vms()) == vms | {OWN}


def test_assumption_about_unreported_links_spares_low_bandwidth_links() -> None:
    membership, _ = open_membership()
    everyone = {vm.name for vm in VMS}
    assert membership.list_low_bandwidth(is_low_bandwidth=False) == frozenset()
    assert membership.list_low_bandwidth(is_low_bandwidth=True) == {OWN.name}
    membership.record_link(PEER.name, is_low_bandwidth=True)
    assert membership.list_low_bandwidth(is_low_bandwidth=False) == everyone - {OWN.name}
    assert membership.list_low_bandwidth(is_low_bandwidth=True) == {OWN.name, PEER.name}
    for name in everyone - {OWN.name, PEER.name}:
        membership.record_link(name, is_low_bandwidth=False)
    assert membership.list_low_bandwidth(is_low_bandwidth=False) == {PEER.name}


def test_a_vm_whose_worker_left_is_no_endpoint_until_another_worker_is_listed() -> None:
    membership, _ = open_membership()
    first = replace(PEER, worker="i-1", started_ms=1)
    membership.adopt_list(VmList(2, (*(vm for vm in VMS if vm != PEER), first)))
    membership.record_worker_left(PEER.name, first.worker_identity)
    assert PEER.name not in {vm.name for vm in membership.list_endpoints(PEER.service)}
    assert membership.is_leaving(PEER.name)
    # Peers get the platform's own record in a delta.
    assert first in membership.compute_change(0).changed
    second = replace(first, started_ms=2)
    membership.adopt_list(VmList(3, (*(vm for vm in VMS if vm != PEER), second)))
    assert second in membership.list_endpoints(PEER.service)
    assert membership.list_left_workers() == ()


# Guards against requests to a VM of an evacuated data centre that the list does not show yet.
def test_unlisted_vm_of_an_evacuated_data_centre_gets_no_requests() -> None:
    membership, _ = open_membership()
    new = replace(PEER, name="vm-new", host="127.1.9.9")
    membership.add_unlisted(new)
    membership.record_alive(new.name, 1)
    assert new in membership.list_endpoints(PEER.service)
    evacuated = tuple(replace(vm, state=VmState.LEAVING, evacuated=True) for vm in VMS)
    membership.adopt_list(VmList(2, evacuated))
    assert membership.list_evacuated() == (PEER.data_centre,)
    assert membership.list_endpoints(PEER.service) == ()
    assert PEER.name in {vm.name for vm in membership.list_alive()}
    membership.adopt_list(VmList(3, VMS))
    assert new in membership.list_endpoints(PEER.service) and has_endpoint(membership)


# Guards against another writer's entry with a node's own address moving the node to another data
# centre or service in its own view (review/7).
@pytest.mark.parametrize("field", ["data_centre", "service"])
def test_a_record_that_contradicts_the_settings_is_not_the_nodes_own(field: str) -> None:
    foreign = replace(OWN, **{field: "elsewhere"}, worker="foreign", started_ms=9)
    others = VMS[1:]
    membership = MembershipTable(OWN)
    membership.adopt_list(VmList(1, (foreign, *others)))
    assert membership.find_listed(OWN.name) is None
    assert membership.list_alive() == (OWN, *others)
    listed = replace(OWN, worker="sound", started_ms=5)
    membership.adopt_list(VmList(2, (listed, *others)))
    membership.adopt_list(VmList(3, (replace(foreign, others=(listed,)), *others)))
    assert membership.find_listed(OWN.name) == listed
    membership.adopt_list(VmList(4, (foreign, *others)))
    assert membership.find_listed(OWN.name) is None
    membership.adopt_list(VmList(5, (replace(foreign, others=(listed,)), *others)))
    assert membership.find_listed(OWN.name) == listed
    membership.adopt_list(VmList(6, others))
    assert membership.find_listed(OWN.name) is None


OWN_LISTED = replace(OWN, worker="sound", started_ms=5)
FOREIGN = replace(OWN, service="elsewhere", worker="foreign", started_ms=9)
HIDING = replace(FOREIGN, others=(OWN_LISTED,))
LEFT = replace(OWN_LISTED, state=VmState.LEAVING)
LOST = replace(OWN_LISTED, others=(FOREIGN,))
RESTORED_BESIDE_FOREIGN = {
    "own entry lost, foreign entry written": ((OWN_LISTED,), (), (FOREIGN,), OWN_LISTED),
    "own entry lost, foreign entry kept": ((HIDING,), (FOREIGN,), (FOREIGN,), OWN_LISTED),
    "own entry lost, foreign entry removed": ((HIDING,), (FOREIGN,), (), OWN_LISTED),
    "leaving again live, foreign entry written": ((LEFT,), (OWN_LISTED,), (HIDING,), LEFT),
    "leaving again live, foreign entry ranked last": ((LEFT,), (OWN_LISTED,), (LOST,), LEFT),
    "own entry deleted, foreign entry written": ((OWN_LISTED,), (OWN_LISTED,), (FOREIGN,), None),
    "deleted entry is back, beside the foreign one": ((FOREIGN,), (HIDING,), (HIDING,), None),
    "own entry deleted with the foreign one": ((HIDING,), (HIDING,), (), None),
}
"""Records of the own address before a restore, in the copy, and in the next answer, and the record
that the node uses then."""


# Guards against a foreign entry ending the corrections of a restored list (lead-14, DRAIN).
@pytest.mark.parametrize("case", RESTORED_BESIDE_FOREIGN)
def test_foreign_entries_do_not_end_the_correction_of_the_own_record(case: str) -> None:
    before, restored, after, expected = RESTORED_BESIDE_FOREIGN[case]
    others = VMS[1:]
    membership = MembershipTable(OWN)
    membership.adopt_list(VmList(1, (OWN_LISTED, *others)))
    membership.adopt_list(VmList(2, (*before, *others)))
    membership.adopt_list(VmList(compose_revision(1, 1), (*restored, *others)))
    membership.adopt_list(VmList(compose_revision(1, 2), (*after, *others)))
    found = membership.find_listed(OWN.name)
    assert (found and replace(found, others=())) == expected


# Guards against other writers' entries taking the places of readers and neighbours, and parts of
# the read and retry budgets.
def test_vms_of_services_that_are_not_defined_are_not_used() -> None:
    foreign = tuple(replace(vm, name=f"x-{vm.name}", service="other") for vm in VMS)
    defined = {vm.service for vm in VMS}
    membership = MembershipTable(OWN, names_service=lambda service: service in defined)
    membership.adopt_list(VmList(1, (*VMS, *foreign)))
    assert membership.list_alive() == membership.list_vms() == VMS
    assert membership.count_vms() == len(VMS)
    defined.add("other")
    assert membership.list_alive() == (*VMS, *foreign)
    defined.clear()
    assert membership.list_alive() == (OWN,)
