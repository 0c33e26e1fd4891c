from dataclasses import replace
from functools import partial

import curio
import pytest
from fakes_fleet import FakeFleet, FakeNode, ProxiedFleet, make_version, make_vms

from trefoilpick._virtual_time import run_virtual
from trefoilpick.distribution import Distributor
from trefoilpick.list_corrections import mark_evacuated
from trefoilpick.local_network import LocalSource, SourceFault
from trefoilpick.manifest import VersionId, identify_version
from trefoilpick.overlay import list_local
from trefoilpick.revisions import get_era
from trefoilpick.settings import ControlSettings
from trefoilpick.source import MANIFEST_KEY, SourceValue
from trefoilpick.status import Standing

REPAIR_S = 3.0
"""Time within which nodes replace connections that fell silent, in seconds."""

IN_FORCE_S = 2.5
"""Time within which an accepted version is in force on nodes with sound connections, in seconds."""

VARIANTS = {f"team-{number}": 0 for number in range(12)}


async def start_fleet(centres: int = 3, each: int = 8) -> FakeFleet:
    fleet = FakeFleet(make_vms(centres, each))
    await fleet.publish_vms(1)
    await fleet.source.accept(*make_version(1, VARIANTS))
    await fleet.start()
    await fleet.wait_all(1, 20)
    await fleet.wait_for(lambda: all(n.distributor.is_ready for n in fleet.nodes.values()), 20)
    return fleet


async def accept(fleet: FakeFleet, number: int, *, broken: str | None = None) -> None:
    variants = VARIANTS | {"team-3": number}
    await fleet.source.accept(*make_version(number, variants, broken=broken))


async def lose_version(fleet: FakeFleet, variant: int) -> dict[str, SourceValue]:
    """Put versions 2 and 3 in force, then restore the source as it was before version 3.

    Returns:
        The values before they were lost.
    """
    await accept(fleet, 2)
    await fleet.wait_all(2, 8)
    copy = dict(fleet.source.values)
    await fleet.source.accept(*make_version(3, VARIANTS | {"team-1": variant}))
    await fleet.wait_all(3, 8)
    lost = dict(fleet.source.values)
    await fleet.source.restore(copy)
    await curio.sleep(1.0)
    return lost


async def confirm_variant(fleet: FakeFleet, variant: int) -> VersionId:
    """Publish version 3 with a variant of a section."""
    manifest, texts = make_version(3, VARIANTS | {"team-1": variant})
    await fleet.source.accept(manifest, texts)
    return identify_version(manifest)


def test_lists_in_quick_succession_are_announced_together() -> None:
    """VMs register one after the other, and every reader adopts lists of its own."""

    async def main() -> None:
        fleet = await start_fleet()
        await curio.sleep(5.0)
        messages = fleet.network.messages
        began_s = await curio.clock()
        for revision in range(2, 102):
            await fleet.publish_vms(revision)
            await curio.sleep(0.01)
        await fleet.wait_for(
            lambda: all(
                get_era(node.membership.revision) == 0 and node.membership.revision == 101
                for node in fleet.nodes.values()
            ),
            2,
        )
        seconds = await curio.clock() - began_s
        # Each node sends at most 5 announcements, each answered by at most one fetch of two
        # messages, ten times a second, besides its exchanges.
        assert fleet.network.messages - messages < 24 * (5 * 3 * 10 + 2) * seconds / 2

    run_virtual(main())


def test_only_readers_read_the_source_and_all_nodes_converge() -> None:
    async def main() -> None:
        fleet = await start_fleet()
        calls, messages = len(fleet.source.call_times_s), fleet.network.messages
        for number in range(2, 6):
            await accept(fleet, number)
            await fleet.wait_all(number, 1)
        assert len(fleet.list_readers()) == 6
        # For each version, a reader makes at most two watches and reads one section.
        assert len(fleet.source.call_times_s) - calls <= 4 * 6 * 3
        # A ring of eight nodes has three fingers, the ring of data centres two.
        assert fleet.network.messages - messages < 4 * 24 * (5 + 2) * 2
        peers = await fleet.nodes["vm-0-0"].distributor.collect_peer_statuses()
        assert [peer.number for peer in peers] == [5] * 23

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.003, 0.005, 0.008])
def test_readers_that_die_during_distribution_cause_only_a_short_delay(delay_s: float) -> None:
    async def main() -> None:
        fleet = await start_fleet()
        await accept(fleet, 2)
        await curio.sleep(delay_s)
        await fleet.kill(*[name for name in fleet.list_readers() if name.startswith("vm-1")])
        await fleet.wait_all(2, 8)
        await accept(fleet, 3)
        await fleet.wait_all(3, 8)

    run_virtual(main())


def test_substitutes_take_over_from_dead_readers() -> None:
    async def main() -> None:
        fleet = await start_fleet()
        await fleet.kill(*fleet.list_readers())
        await accept(fleet, 2)
        await fleet.wait_all(2, 60)
        await curio.sleep(120)
        assert 3 <= len(fleet.list_readers()) <= 9

    run_virtual(main())


@pytest.mark.parametrize(
    "key,corrupt",
    [
        ("manifest", lambda data: data[: len(data) // 2]),
        ("manifest", lambda data: b"\xff" * len(data)),
        ("sections", lambda data: data[: len(data) // 2]),
        ("sections", lambda data: data.replace(b"GET", b"PUT")),
    ],
)
def test_corrupt_source_values_are_refused(key: str, corrupt) -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        fleet.source.corrupt = lambda name, data: corrupt(data) if name.startswith(key) else data
        await accept(fleet, 2)
        await curio.sleep(30)
        assert set(fleet.list_numbers().values()) == {1}
        fleet.source.corrupt = lambda name, data: data
        await fleet.wait_all(2, 45)

    run_virtual(main())


def test_source_that_serves_an_older_version_does_not_downgrade_nodes() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        old = dict(fleet.source.values)
        await accept(fleet, 2)
        await fleet.wait_all(2, 8)
        await fleet.source.serve_old_values(old)
        await curio.sleep(200)
        await fleet.start()
        await curio.sleep(5)
        assert max(fleet.list_numbers().values()) == 1
        await fleet.source.end_fault(SourceFault.STALE)
        await fleet.wait_all(2, 60)

    run_virtual(main())


def test_lost_duplicated_late_and_reordered_messages() -> None:
    async def main() -> None:
        fleet = await start_fleet()
        fleet.network.loss, fleet.network.duplication = 0.2, 0.3
        fleet.network.delay_s = (0.001, 0.6)
        for number in range(2, 12):
            await accept(fleet, number)
            await curio.sleep(0.3)
        await fleet.wait_all(11, 30)

    run_virtual(main())


def test_corrupt_messages_are_refused() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        fleet.network.corrupt = lambda data: data[:-1] + bytes([data[-1] ^ 0xFF])
        await accept(fleet, 2)
        await curio.sleep(5)
        fleet.network.corrupt = lambda data: data
        await fleet.wait_all(2, 20)

    run_virtual(main())


def test_faulty_version_is_refused_as_a_whole_and_the_next_good_one_is_enforced() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        await accept(fleet, 2, broken="team-5")
        await curio.sleep(5)
        assert set(fleet.list_numbers().values()) == {1}
        for node in fleet.nodes.values():
            status = node.distributor.describe()
            assert [entry.number for entry in status.refused] == [2]
            assert 'upstream "nowhere" is not defined' in status.refused[0].text
            assert node.metrics.get_count("trefoilpick_versions_refused_total") == 1
        peers = await fleet.nodes["vm-0-0"].distributor.collect_peer_statuses()
        assert {peer.standing for peer in peers} == {Standing.REFUSING}
        await accept(fleet, 3)
        await fleet.wait_all(3, 8)

    run_virtual(main())


def test_two_versions_with_one_number_converge_to_the_higher_digest() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        fleet.network.is_partitioned = lambda one, other: one[:7] != other[:7]
        other = fleet.source.copy()
        for node in fleet.nodes.values():
            if node.own.data_centre == "centre-1":
                node.distributor.reader._source = other
        await curio.sleep(35)
        await fleet.source.accept(*make_version(2, VARIANTS | {"team-1": 1}))
        await other.accept(*make_version(2, VARIANTS | {"team-1": 2}))
        await curio.sleep(40)
        digests = {node.cell.history[-1].digest for node in fleet.nodes.values()}
        assert len(digests) == 2
        fleet.network.is_partitioned = lambda one, other: False

        def has_converged() -> bool:
            return {n.cell.history[-1].digest for n in fleet.nodes.values()} == {max(digests)}

        await fleet.wait_for(has_converged, 60)
        await curio.sleep(60)
        assert has_converged()
        assert all(len(node.cell.history) <= 3 for node in fleet.nodes.values())

    run_virtual(main())


# Guards against a confirmed version that is never in force, because the fleet holds another one of
# its number that was confirmed before the source was restored.
@pytest.mark.parametrize(("before", "after"), [(1, 2), (2, 1)])
def test_version_confirmed_with_a_former_number_is_in_force_on_all_nodes(
    before: int, after: int
) -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 12)
        await lose_version(fleet, before)
        version = await confirm_variant(fleet, after)

        def is_in_force() -> bool:
            return all(node.cell.history[-1] == version for node in fleet.nodes.values())

        assert await fleet.wait_for(is_in_force, 8) < 2.5
        await curio.sleep(60)
        assert is_in_force()
        assert {len(node.cell.history) for node in fleet.nodes.values()} == {4}

    run_virtual(main())


def test_data_centre_without_the_source_follows_peers_and_catches_up_after_a_partition() -> None:
    async def main() -> None:
        fleet = await start_fleet()
        down = LocalSource()
        await down.begin_fault(SourceFault.DOWN)
        for node in fleet.nodes.values():
            if node.own.data_centre == "centre-2":
                node.distributor.reader._source = down
        await curio.sleep(40)
        await accept(fleet, 2)
        await fleet.wait_all(2, 8)
        isolated = fleet.nodes["vm-2-0"]
        fleet.network.is_partitioned = lambda one, other: ("127.1.2." in one) != (
            "127.1.2." in other
        )
        await accept(fleet, 3)
        connected = [name for name in fleet.nodes if not name.startswith("vm-2")]
        await fleet.wait_all(3, 8, *connected)
        await curio.sleep(300)
        assert isolated.number == 2
        status = isolated.distributor.describe()
        assert status.source_age_s is not None and status.source_age_s > 250
        calls = fleet.network.messages
        fleet.network.is_partitioned = lambda one, other: False
        await fleet.wait_all(3, 30)
        assert fleet.network.messages - calls < 24 * 100

    run_virtual(main())


def test_restart_of_the_fleet_stays_within_the_read_budget() -> None:
    async def main() -> None:
        fleet = FakeFleet(make_vms(4, 15))
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, {f"team-{n}": 0 for n in range(150)}))
        await fleet.start()
        await fleet.wait_all(1, 30)
        await fleet.wait_for(lambda: all(n.distributor.is_ready for n in fleet.nodes.values()), 30)
        await fleet.kill()
        fleet.source.call_times_s.clear()
        await fleet.start()
        await fleet.wait_all(1, 30)
        assert fleet.source.count_peak_calls() <= fleet.control.source_reads_per_s
        # One or two readers read the document; every node reads the manifest and the list.
        assert len(fleet.source.call_times_s) < 3 * 150 + 4 * 60

    run_virtual(main())


def test_joining_node_enforces_the_newest_version_of_peers_and_source() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        stale = fleet.source.copy()
        await accept(fleet, 2)
        await fleet.wait_all(2, 8)
        await fleet.kill("vm-1-3")
        await fleet.start("vm-1-3", source=stale)
        joining = fleet.nodes["vm-1-3"]
        await fleet.wait_for(lambda: joining.distributor.is_ready, 10)
        assert joining.number == 2
        assert not joining.distributor.is_unconfirmed

    run_virtual(main())


def test_joining_node_with_only_a_stale_source_serves_unconfirmed_after_a_wait() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        stale = fleet.source.copy()
        await accept(fleet, 2)
        await fleet.wait_all(2, 8)
        await fleet.kill("vm-1-3")
        fleet.network.is_partitioned = lambda one, other: "127.1.1.4" in one + other
        await fleet.start("vm-1-3", source=stale)
        joining = fleet.nodes["vm-1-3"].distributor
        await curio.sleep(4)
        assert not joining.is_ready
        await fleet.wait_for(lambda: joining.is_ready, 40)
        assert joining.describe().unconfirmed
        fleet.network.is_partitioned = lambda one, other: False
        await fleet.wait_for(lambda: fleet.nodes["vm-1-3"].number == 2, 40)
        await fleet.wait_for(lambda: not joining.is_unconfirmed, 40)

    run_virtual(main())


def test_joining_node_that_reaches_nothing_is_not_ready() -> None:
    async def main() -> None:
        control = ControlSettings(seeds=("127.1.0.2:8082",), join_wait_ms=1_000)
        fleet = FakeFleet(make_vms(1, 2), control=control)
        await fleet.start("vm-0-0")
        await curio.sleep(300)
        assert not fleet.nodes["vm-0-0"].distributor.is_ready
        assert len(fleet.source.call_times_s) < 300
        # A single seed that has the list and a version is enough to get both.
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, VARIANTS))
        await fleet.start("vm-0-1")
        await fleet.wait_all(1, 60)
        await fleet.wait_for(lambda: fleet.nodes["vm-0-0"].distributor.is_ready, 60)

    run_virtual(main())


def test_paused_node_is_up_to_date_only_after_a_request_made_since_the_pause_is_answered() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        node = fleet.nodes["vm-0-1"]
        assert node.distributor.is_up_to_date
        fleet.network.is_suspended = lambda address: "127.1.0.2" in address
        await accept(fleet, 2)
        await fleet.wait_all(2, 8, *[name for name in fleet.nodes if name != "vm-0-1"])
        node.suspended_s = 600.0
        assert not node.distributor.is_up_to_date
        await curio.sleep(1)
        assert not node.distributor.is_up_to_date
        fleet.network.is_suspended = lambda address: False
        await fleet.wait_for(lambda: node.distributor.is_up_to_date, 8)
        assert node.number == 2

    run_virtual(main())


# A node that knew of a newer version, or had no answer of the source yet, answered 404.
def test_node_may_be_behind_until_it_enforces_the_newest_version_that_it_knows() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        node = fleet.nodes["vm-0-1"].distributor
        await fleet.wait_for(lambda: not node.may_be_behind, 8)
        await node.record_version("vm-0-2", 5, "d" * 32)
        assert node.may_be_behind
        assert node.is_ready and node.is_up_to_date
        await accept(fleet, 6)
        await fleet.wait_all(6, 8)
        assert not node.may_be_behind

    run_virtual(main())


def test_node_that_the_source_has_not_answered_yet_may_be_behind() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        await fleet.kill("vm-1-3")
        source = fleet.source.copy()
        await source.begin_fault(SourceFault.DOWN)
        await fleet.start("vm-1-3", source=source)
        node = fleet.nodes["vm-1-3"].distributor
        await fleet.wait_for(lambda: node.is_ready, 40)
        assert fleet.nodes["vm-1-3"].number == 1
        assert node.may_be_behind
        await source.end_fault(SourceFault.DOWN)
        await fleet.wait_for(lambda: not node.may_be_behind, 40)

    run_virtual(main())


# A refused version has no routes to come, but every unknown path would be answered with 503.
def test_node_that_refused_the_newest_version_is_not_behind() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        await accept(fleet, 2, broken="team-5")
        await curio.sleep(5)
        assert {node.distributor.store.newest.number for node in fleet.nodes.values()} == {2}
        assert not [n.own.name for n in fleet.nodes.values() if n.distributor.may_be_behind]
        await accept(fleet, 3)
        await fleet.wait_all(3, 8)

    run_virtual(main())


# A node that starts while the source shows a faulty value would answer unknown paths with 503.
def test_node_that_starts_while_the_value_is_faulty_is_not_behind_for_good() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        await fleet.source.put(MANIFEST_KEY, b"{}")
        await curio.sleep(5)
        assert not [n.own.name for n in fleet.nodes.values() if n.distributor.may_be_behind]
        await fleet.kill("vm-1-3")
        await fleet.start("vm-1-3")
        node = fleet.nodes["vm-1-3"].distributor
        await fleet.wait_for(lambda: node.is_ready, 40)
        await fleet.wait_for(lambda: not node.may_be_behind, 60)

    run_virtual(main())


# A version that was lost in a restore before any node fetched it would be awaited for good.
def test_version_known_by_name_only_delays_a_node_for_a_bounded_time() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        node = fleet.nodes["vm-0-1"]
        await node.distributor.record_version("vm-0-2", 5, "d" * 32)
        node.suspended_s = 600.0
        assert not node.distributor.is_up_to_date
        await fleet.wait_for(lambda: node.distributor.is_up_to_date, 40)
        await fleet.kill("vm-1-3")
        await fleet.start("vm-1-3")
        joining = fleet.nodes["vm-1-3"].distributor
        await fleet.wait_for(lambda: joining.membership.revision > 0, 40)
        await joining.record_version("vm-0-2", 5, "d" * 32)
        assert not joining.is_ready
        await fleet.wait_for(lambda: joining.is_ready, 40)
        for behind in (node.distributor, joining):
            assert behind.may_be_behind
            await fleet.wait_for(partial(is_not_behind, behind), 10)

    run_virtual(main())


# A node that relied on readers would answer 503 for unknown paths during an outage of the source.
def test_node_that_relied_on_readers_is_not_behind_because_the_source_is_down() -> None:
    async def main() -> None:
        vms = make_vms(1, 6)
        fleet = FakeFleet(vms, low_bandwidth={"vm-0-5"})
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, VARIANTS))
        await fleet.start(*(vm.name for vm in vms[:-1]))
        await fleet.wait_all(1, 20)
        await curio.sleep(20)
        await fleet.start("vm-0-5")
        node = fleet.nodes["vm-0-5"].distributor
        await fleet.wait_for(lambda: node.is_ready and not node.may_be_behind, 40)
        assert node.reader.newest is None
        await fleet.source.begin_fault(SourceFault.DOWN)
        await curio.sleep(60)
        assert not [n.own.name for n in fleet.nodes.values() if n.distributor.may_be_behind]

    run_virtual(main())


# Nodes that hold a version from before a restore, and those that joined since, would disagree.
@pytest.mark.parametrize(("before", "after"), [(1, 2), (2, 1)])
def test_node_that_joined_later_agrees_after_the_source_returned_to_a_later_copy(
    before: int, after: int
) -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        later_copy = await lose_version(fleet, before)
        await confirm_variant(fleet, after)
        await curio.sleep(5.0)
        await fleet.kill("vm-1-3")
        await fleet.start("vm-1-3")
        await fleet.wait_all(3, 40)
        await fleet.source.restore(later_copy)
        await curio.sleep(120)
        assert len({node.cell.history[-1] for node in fleet.nodes.values()}) == 1

    run_virtual(main())


# Content that a restore lost and that is confirmed again at its former revision would not win.
@pytest.mark.parametrize(("lost", "between"), [(1, 2), (2, 1)])
def test_content_confirmed_again_at_its_former_revision_is_in_force(
    lost: int, between: int
) -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        await accept(fleet, 2)
        await fleet.wait_all(2, 8)
        copy = dict(fleet.source.values)
        again = make_version(3, VARIANTS | {"team-1": lost})
        for revision in range(2, len(again[1]) + 3):
            await fleet.publish_vms(revision)
        await fleet.source.accept(*again)
        await fleet.wait_all(3, 8)
        revision = fleet.source.values[MANIFEST_KEY].revision
        await fleet.source.restore(copy)
        await fleet.source.accept(*make_version(3, VARIANTS | {"team-1": between}))
        await curio.sleep(5.0)
        await fleet.source.accept(*again)
        assert fleet.source.values[MANIFEST_KEY].revision == revision
        await curio.sleep(60)
        version = identify_version(again[0])
        assert {node.cell.history[-1] for node in fleet.nodes.values()} == {version}

    run_virtual(main())


# Nodes of the former release drop the revision of a confirmation, and send versions without it.
@pytest.mark.parametrize(("before", "after"), [(1, 2), (2, 1)])
def test_nodes_of_this_release_agree_although_others_omit_confirmations(
    before: int, after: int
) -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 8)
        former = [node for node in fleet.nodes.values() if int(node.own.name[-1]) % 2]
        for node in former:
            omit_confirmations(node)
        await lose_version(fleet, before)
        version = await confirm_variant(fleet, after)
        present = [node for node in fleet.nodes.values() if node not in former]
        await fleet.wait_for(lambda: all(n.cell.history[-1] == version for n in present), 8)
        messages = fleet.network.messages
        await curio.sleep(60)
        assert all(len(node.cell.history) == 4 for node in present)
        # Exchanges only: each has a request and an answer, about one a second and node.
        assert fleet.network.messages - messages < 16 * 60 * 3
        await accept(fleet, 4)
        await fleet.wait_all(4, 8)

    run_virtual(main())


def is_not_behind(distributor: Distributor) -> bool:
    return not distributor.may_be_behind


def omit_confirmations(node: FakeNode) -> None:
    """Cause a node to order, keep and send versions like the former release."""
    store, reader, versions = (
        node.distributor.store,
        node.distributor.reader,
        node.distributor._versions,
    )
    identify, add_offer, add_version = reader._identify, versions.add_offer, store.add_version

    def strip(version: VersionId) -> VersionId:
        return replace(version, confirmed_at=0)

    reader._identify = lambda manifest, value: strip(identify(manifest, value))
    versions.add_offer = lambda version, address: add_offer(strip(version), address)
    store.add_version = lambda manifest, confirmed_at=0: add_version(manifest)
    store.correct_confirmation = strip
    for version in store._confirmed_at:
        store._confirmed_at[version] = 0
    if store.newest is not None:
        store.newest = strip(store.newest)
    current = node.cell.current
    assert current is not None
    node.cell._snapshot = replace(current, version=strip(current.version))


def test_leaving_node_gets_no_work_until_its_next_incarnation() -> None:
    async def main() -> None:
        fleet = await start_fleet(1, 4)
        await fleet.nodes["vm-0-1"].distributor.announce_leaving()
        others = [node for name, node in fleet.nodes.items() if name != "vm-0-1"]

        def has_endpoint(node) -> bool:
            return "vm-0-1" in {vm.name for vm in node.membership.list_endpoints("service-1")}

        await fleet.wait_for(lambda: not any(has_endpoint(node) for node in others), 8)
        await fleet.kill("vm-0-1")
        await fleet.start("vm-0-1")
        await fleet.wait_for(lambda: all(has_endpoint(node) for node in others), 30)

    run_virtual(main())


@pytest.mark.parametrize("overlay", ["tree", "gossip", "every-node-watches"])
def test_other_overlays_converge_too(overlay: str) -> None:
    async def main() -> None:
        control = ControlSettings(overlay=overlay, expected_vms=24)
        fleet = FakeFleet(make_vms(3, 8), control=control)
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, VARIANTS))
        await fleet.start()
        await fleet.wait_all(1, 30)
        await accept(fleet, 2)
        await fleet.wait_all(2, 30)

    run_virtual(main())


def test_changes_of_the_vm_list_reach_all_nodes() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        await fleet.publish_vms(2, fleet.vms[:-1])
        await fleet.wait_for(
            lambda: all(node.membership.revision == 2 for node in fleet.nodes.values()), 8
        )
        removed = fleet.vms[-1].name
        await fleet.kill(removed)
        await curio.sleep(200)
        await fleet.publish_vms(3, fleet.vms[:-2])
        await curio.sleep(10)
        assert all(node.membership.find_vm(removed) is None for node in fleet.nodes.values())

    run_virtual(main())


def test_nodes_on_low_bandwidth_links_read_only_when_other_readers_are_dead() -> None:
    """A reader on a low-bandwidth link would have no bandwidth left for callers' requests."""

    async def main() -> None:
        vms = make_vms(2, 8)
        high_bandwidth = {"vm-0-3", "vm-1-5"}
        fleet = FakeFleet(vms, low_bandwidth={vm.name for vm in vms} - high_bandwidth)
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, VARIANTS))
        await fleet.start()
        await fleet.wait_all(1, 10)
        await curio.sleep(10.0)
        readers = set(fleet.list_readers())
        assert high_bandwidth <= readers
        assert len(readers) <= 4
        await fleet.kill(*readers)
        await accept(fleet, 2)
        await fleet.wait_all(2, 30)

    run_virtual(main())


# Guards against using a worker that has left again because the nodes that knew were restarted.
def test_a_restarted_node_learns_from_its_peers_which_workers_have_left() -> None:
    async def main() -> None:
        fleet = await start_fleet()
        name = fleet.vms[3].name
        leaving = replace(fleet.vms[3], worker="i-1", started_ms=1)
        vms = (*fleet.vms[:3], leaving, *fleet.vms[4:])
        await fleet.publish_vms(2, vms)
        nodes = fleet.nodes.values()
        await fleet.wait_for(lambda: all(n.membership.revision == 2 for n in nodes), 10)
        first = fleet.nodes[fleet.vms[0].name]
        first.membership.record_worker_left(name, leaving.worker_identity)
        await fleet.wait_for(lambda: all(n.membership.is_leaving(name) for n in nodes), 20)
        await fleet.kill(name)
        await fleet.start(name)
        restarted = fleet.nodes[name]
        await fleet.wait_for(lambda: restarted.distributor.is_ready, 20)
        assert restarted.membership.is_leaving(name)

    run_virtual(main())


# Guards against nodes that never hear of a version again after their links fell silent.
@pytest.mark.parametrize(("silent_s", "net"), [(0.0, "127.0.47"), (3.0, "127.0.48")])
def test_version_reaches_nodes_that_do_not_read_after_their_links_fell_silent(
    silent_s: float, net: str
) -> None:
    async def main() -> None:
        control = ControlSettings(readers=1, exchange_ms=1_000, answer_ms=500, expected_vms=4)
        vms = (replace(vm, host=f"{net}.{number}") for number, vm in enumerate(make_vms(1, 5), 1))
        fleet = ProxiedFleet(tuple(vms), control=control)
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, VARIANTS))
        await fleet.start()
        await fleet.wait_all(1, 20)
        await fleet.wait_for(lambda: len(fleet.list_readers()) == 1, 20)
        # Opens all links between the nodes.
        await accept(fleet, 2)
        await fleet.wait_all(2, 20)
        await curio.sleep(4.0)
        fleet.silence_links()
        await curio.sleep(silent_s)
        await accept(fleet, 3)
        await fleet.wait_all(3, REPAIR_S - silent_s + IN_FORCE_S)
        await fleet.kill()

    curio.run(main())


EVACUATION_S = 2.0
"""Time within which all connected nodes know of an evacuation, in seconds."""


class ChangingList:
    """The platform's list, which changes with each heartbeat of a worker."""

    def __init__(self, fleet: FakeFleet) -> None:
        self.evacuated = ""
        self._fleet = fleet
        self._revision = 1

    async def run(self) -> None:
        while True:
            await self.publish()
            await curio.sleep(0.1)

    async def publish(self) -> None:
        self._revision += 1
        vms = (
            mark_evacuated(vm) if vm.data_centre == self.evacuated else vm for vm in self._fleet.vms
        )
        await self._fleet.publish_vms(self._revision, tuple(vms))

    async def evacuate(self, data_centre: str, *names: str) -> float:
        """Change the evacuated data centre; return the time until the named nodes know."""
        self.evacuated = data_centre
        await self.publish()
        return await self.wait_for(*names)

    async def wait_for(self, *names: str) -> float:
        """Return the time until the named nodes know the evacuated data centre, in seconds."""
        expected = (self.evacuated,) if self.evacuated else ()
        nodes = [self._fleet.nodes[name].membership for name in names]
        return await self._fleet.wait_for(
            lambda: all(node.list_evacuated() == expected for node in nodes), EVACUATION_S
        )


# Guards against traffic to an evacuated data centre from nodes that do not read the source, cannot
# reach it, or slept meanwhile, and against nodes that never learn of the end.
def test_evacuation_and_its_end_reach_all_connected_nodes_in_time() -> None:
    async def main() -> None:
        fleet = await start_fleet()
        down = LocalSource()
        await down.begin_fault(SourceFault.DOWN)
        for node in fleet.nodes.values():
            if node.own.data_centre == "centre-2":
                node.distributor.reader._source = down
        await curio.sleep(40)
        vms = ChangingList(fleet)
        await curio.spawn(vms.run, daemon=True)
        await curio.sleep(5)
        sleeping = "vm-0-1"
        awake = [name for name in fleet.nodes if name != sleeping]
        for begin, end in (("centre-1", ""), ("centre-0", "centre-1")):
            fleet.network.is_suspended = lambda address: "127.1.0.2" in address
            await vms.evacuate(begin, *awake)
            assert fleet.nodes[sleeping].membership.list_evacuated() == ()
            fleet.network.is_suspended = lambda address: False
            await vms.wait_for(sleeping)
            fleet.network.is_suspended = lambda address: "127.1.0.2" in address
            await vms.evacuate(end, *awake)
            fleet.network.is_suspended = lambda address: False
            await vms.wait_for(sleeping)
            await vms.evacuate("", *fleet.nodes)

    run_virtual(main())


# Open: an operator who numbers on from the restored copy confirms numbers that nodes hold already.
def test_version_confirmed_below_a_lost_number_is_in_force() -> None:
    async def main() -> None:
        fleet = await start_fleet(2, 4)
        copy = dict(fleet.source.values)
        for number in (2, 3):
            await accept(fleet, number)
            await fleet.wait_all(number, 8)
        await fleet.source.restore(copy)
        await curio.sleep(1.0)
        confirmed = make_version(2, VARIANTS | {"team-1": 1})
        await fleet.source.accept(*confirmed)
        version = identify_version(confirmed[0])
        await fleet.wait_for(
            lambda: all(node.cell.history[-1] == version for node in fleet.nodes.values()), 8
        )

    run_virtual(main())


async def share_values(fleet: FakeFleet, sources: dict[str, LocalSource]) -> None:
    """Show the values of the fleet's source in all others."""
    for source in sources.values():
        source.values = dict(fleet.source.values)
        await source._wake()


# Guards against a version that waits for readers while the source turns them, and only them, away.
@pytest.mark.parametrize("served_rank", [2, 4, 7, 11])
@pytest.mark.parametrize("fast_each", [12, 2])
def test_version_is_in_force_while_the_source_turns_most_nodes_away(
    served_rank: int, fast_each: int
) -> None:
    async def main() -> None:
        control = ControlSettings(exchange_ms=1_000, answer_ms=500, expected_vms=24)
        vms = make_vms(2, 12)
        slow = {vm.name for vm in vms if int(vm.name.rpartition("-")[2]) >= fast_each}
        fleet = FakeFleet(vms, control=control, low_bandwidth=slow)
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, VARIANTS))
        sources: dict[str, LocalSource] = {vm.name: LocalSource() for vm in fleet.vms}
        await share_values(fleet, sources)
        for name, source in sources.items():
            await fleet.start(name, source=source)
        await fleet.wait_all(1, 20)
        await curio.sleep(20)
        assert len(fleet.list_readers()) == 4
        view = fleet.nodes["vm-0-0"].distributor.build_view()
        served = list_local(view)[served_rank].name
        for name, source in sources.items():
            if name != served:
                await source.begin_fault(SourceFault.DOWN)
        # The readers' watches end at once; the version is confirmed a little later.
        await curio.sleep(1.0)
        await accept(fleet, 2)
        await share_values(fleet, sources)
        await fleet.wait_all(2, IN_FORCE_S)
        for source in sources.values():
            await source.end_fault(SourceFault.DOWN)
        await curio.sleep(20)
        assert len(fleet.list_readers()) == 4

    run_virtual(main())


# Guards against a version that is held but never in force as its announcement failed (review/3).
@pytest.mark.task_errors
@pytest.mark.parametrize("error", [KeyError("unexpected"), curio.TaskCancelled()], ids=repr)
def test_version_is_in_force_if_its_announcement_fails(error: BaseException) -> None:
    async def main() -> None:
        fleet = await start_fleet(1, 2)
        node = next(iter(fleet.nodes.values()))

        async def fail() -> None:
            node.distributor._announce = announce
            raise error

        announce = node.distributor._announce
        node.distributor._announce = fail
        await accept(fleet, 2)
        await fleet.wait_all(2, 8)

    run_virtual(main())


CONFIG_APPLY_S = 2.0
"""Time within which a version must be in force in the users' deployments, in seconds."""


# Guards against a list that shows nodes in a data centre of another writer: no node read the
# source any more, also after the list was right again (review/7).
@pytest.mark.parametrize("shown", [1, 2, 3])
def test_nodes_that_the_list_shows_in_another_data_centre_follow_the_source(shown: int) -> None:
    async def run() -> None:
        vms = make_vms(3, 1)
        fleet = FakeFleet(vms, control=ControlSettings(small_fleet=16, expected_vms=3))
        foreign = tuple(replace(vm, data_centre="elsewhere", service="other") for vm in vms)
        await fleet.publish_vms(1, (*foreign[:shown], *vms[shown:]))
        await fleet.source.accept(*make_version(1, {"team-1": 1}))
        await fleet.start()
        await fleet.wait_all(1, 10.0)
        await curio.sleep(5.0)
        await fleet.source.accept(*make_version(2, {"team-1": 2}))
        await fleet.wait_all(2, CONFIG_APPLY_S)
        await fleet.publish_vms(2)
        await curio.sleep(5.0)
        await fleet.source.accept(*make_version(3, {"team-1": 3}))
        await fleet.wait_all(3, CONFIG_APPLY_S)
        for name, node in fleet.nodes.items():
            assert node.membership.find_listed(name) == node.own
        await fleet.kill()

    run_virtual(run())
