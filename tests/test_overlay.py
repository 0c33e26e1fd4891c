from math import log2
from random import Random

import pytest
from fakes_fleet import make_vms

from trefoilpick.overlay import OVERLAYS, OverlayView, find_rank, is_regular_reader, list_targets
from trefoilpick.ranks import list_fingers, rank_vms
from trefoilpick.vms import Vm


def flood(vms: tuple[Vm, ...], overlay: str, first: Vm) -> dict[str, int]:
    """Return the VMs that an announcement reaches and the number of hops to each."""
    random = Random(3)
    hops = {first.name: 0}
    waiting = [first]
    while waiting:
        vm = waiting.pop(0)
        for target in list_targets(OVERLAYS[overlay], OverlayView(vm, vms, 2), random):
            if target.name not in hops:
                hops[target.name] = hops[vm.name] + 1
                waiting.append(target)
    return hops


@pytest.mark.parametrize("overlay", ["fingers", "tree"])
@pytest.mark.parametrize("centres,each", [(1, 1), (1, 2), (2, 1), (4, 17), (11, 100)])
def test_announcement_reaches_the_fleet_in_logarithmic_hops(
    overlay: str, centres: int, each: int
) -> None:
    vms = make_vms(centres, each)
    readers = [vm for vm in vms if find_rank(OverlayView(vm, vms, 2)) < 2]
    assert len(readers) == min(2, each) * centres
    hops = flood(vms, overlay, readers[0])
    assert len(hops) == len(vms)
    assert max(hops.values()) <= log2(each) + log2(centres) + 3


def test_degree_is_logarithmic() -> None:
    vms = make_vms(11, 100)
    degrees = [
        len(list_targets(OVERLAYS["fingers"], OverlayView(vm, vms, 2), Random(1)))
        for vm in vms[:100]
    ]
    assert sorted(degrees)[:98] == [7] * 98
    assert max(degrees) <= 7 + 2 * 4


def test_removing_a_vm_does_not_change_the_order_of_the_others() -> None:
    vms = make_vms(1, 50)
    ranked = rank_vms(vms, "centre-0")
    removed = ranked[20]
    assert rank_vms(set(vms) - {removed}, "centre-0") == ranked[:20] + ranked[21:]


def test_name_that_is_not_on_the_ring_has_no_fingers() -> None:
    assert list_fingers(("a", "b", "c"), "d") == ()
    assert list_fingers(("a", "b", "c"), "c") == ("a", "b")


@pytest.mark.parametrize(("each", "readers"), [(5, 15), (6, 9)])
def test_every_node_of_a_small_fleet_reads(each: int, readers: int) -> None:
    vms = make_vms(3, each)
    overlay = OVERLAYS["fingers"]
    views = [OverlayView(vm, vms, 3, small_fleet=16) for vm in vms]
    assert sum(is_regular_reader(overlay, view, find_rank(view)) for view in views) == readers


def test_vms_on_low_bandwidth_links_rank_behind_all_others() -> None:
    vms = make_vms(2, 6)
    high_bandwidth = vms[0]
    low_bandwidth = frozenset(vm.name for vm in vms if vm is not high_bandwidth)
    views = [OverlayView(vm, vms, 1, low_bandwidth=low_bandwidth) for vm in vms]
    readers = [
        view.own for view in views if is_regular_reader(OVERLAYS["fingers"], view, find_rank(view))
    ]
    assert high_bandwidth in readers
    assert len(readers) == 2
