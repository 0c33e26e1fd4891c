"""Lists that were restored from an older copy, corrected by what a node knew before."""

from dataclasses import replace

import pytest
from fakes_fleet import make_vms

from trefoilpick.list_corrections import DEFAULT_EXPIRY_S, REGISTRATION_S
from trefoilpick.membership import MembershipTable
from trefoilpick.revisions import compose_revision, format_revision, get_era
from trefoilpick.vms import Vm, VmList, VmState

VMS = tuple(replace(vm, worker=f"i-{vm.name}", started_ms=100) for vm in make_vms(1, 9))
OWN, PEER = VMS[0], VMS[3]
LEAVING = replace(PEER, state=VmState.LEAVING)
WITHOUT_PEER = tuple(vm for vm in VMS if vm != PEER)


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def open_membership(*lists: tuple[Vm, ...]) -> tuple[MembershipTable, Clock]:
    """Return the table of a node that adopted the given lists in the first era."""
    clock = Clock()
    membership = MembershipTable(OWN, listed_only=True, clock=clock)
    for revision, vms in enumerate(lists, start=90):
        assert membership.adopt_list(VmList(compose_revision(1, revision), vms))
    return membership, clock


def restore(membership: MembershipTable, vms: tuple[Vm, ...], revision: int = 5) -> None:
    assert membership.adopt_list(VmList(compose_revision(2, revision), vms))


def replace_peer(vm: Vm) -> tuple[Vm, ...]:
    return (*VMS[:3], vm, *VMS[4:])


def test_later_era_takes_precedence_over_any_revision_of_an_earlier_one() -> None:
    membership, _ = open_membership(VMS)
    restore(membership, VMS, revision=1)
    assert not membership.adopt_list(VmList(compose_revision(1, 2**39), ()))
    assert not membership.adopt_list(VmList(compose_revision(2, 1), ()))


def test_leaving_vm_stays_leaving_until_the_platform_repeats_it_or_drops_it() -> None:
    membership, clock = open_membership(VMS, replace_peer(LEAVING))
    restore(membership, VMS)
    assert PEER.name not in {vm.name for vm in membership.list_endpoints(PEER.service)}
    assert membership.is_leaving(PEER.name)
    clock.now_s += DEFAULT_EXPIRY_S - 0.1
    assert membership.is_leaving(PEER.name)
    clock.now_s += 0.2
    assert not membership.is_leaving(PEER.name)


def test_vm_that_has_left_stays_away_until_the_copy_has_expired() -> None:
    membership, clock = open_membership(VMS, WITHOUT_PEER)
    restore(membership, VMS)
    assert membership.find_listed(PEER.name) is None
    assert PEER not in membership.list_endpoints(PEER.service)
    clock.now_s += DEFAULT_EXPIRY_S + 0.1
    assert membership.find_listed(PEER.name) == PEER
    assert PEER in membership.list_endpoints(PEER.service)


def test_new_incarnation_of_a_vm_that_has_left_is_used_at_once() -> None:
    membership, _ = open_membership(VMS, WITHOUT_PEER)
    restarted = replace(PEER, worker="i-new", started_ms=200)
    restore(membership, replace_peer(restarted))
    assert membership.find_listed(PEER.name) == restarted


def test_vm_that_the_copy_lacks_is_kept_until_it_could_register_again() -> None:
    membership, clock = open_membership(VMS)
    restore(membership, WITHOUT_PEER)
    assert PEER in membership.list_endpoints(PEER.service)
    assert len(membership.list_vms()) == len(VMS)
    clock.now_s += REGISTRATION_S + 0.1
    assert membership.find_listed(PEER.name) is None


def test_worker_that_the_copy_shows_at_a_reused_address_does_not_return() -> None:
    newer = replace(PEER, worker="i-new", started_ms=200, service="encargos")
    membership, _ = open_membership(VMS, replace_peer(newer))
    restore(membership, VMS)
    assert membership.find_listed(PEER.name) == newer


@pytest.mark.parametrize("vm", [LEAVING, replace(PEER, worker="i-new", started_ms=300)])
def test_change_in_the_new_era_ends_the_correction(vm: Vm) -> None:
    membership, clock = open_membership(VMS, WITHOUT_PEER)
    restore(membership, VMS)
    assert membership.adopt_list(VmList(compose_revision(2, 6), replace_peer(vm)))
    assert membership.find_listed(PEER.name) == vm
    clock.now_s += DEFAULT_EXPIRY_S + 1
    assert membership.find_listed(PEER.name) == vm


def test_peer_with_another_list_of_the_earlier_era_gets_the_complete_list() -> None:
    """A peer may have adopted a revision that this node never had before the store went back."""
    membership, _ = open_membership(VMS)
    peer, _ = open_membership(VMS, VMS, WITHOUT_PEER)
    restore(membership, VMS)
    change = membership.compute_change(peer.revision)
    assert change.base == 0
    assert peer.adopt_change(change)
    assert peer.revision == membership.revision
    assert peer.compute_change(0).changed == membership.compute_change(0).changed


def test_first_list_of_a_node_needs_no_correction() -> None:
    membership = MembershipTable(OWN, listed_only=True)
    restore(membership, WITHOUT_PEER)
    assert membership.find_listed(PEER.name) is None


def test_composed_revision_is_shown_with_its_era() -> None:
    assert get_era(compose_revision(3, 17)) == 3
    assert format_revision(compose_revision(3, 17)) == "3:17"
    assert format_revision(compose_revision(0, 17)) == "17"
