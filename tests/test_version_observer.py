from collections.abc import Callable
from random import Random

import curio

from trefoilpick._call_recorder import CallPlan, CallRecorder
from trefoilpick._replay_fleet import ReplayFleet
from trefoilpick._virtual_time import run_virtual
from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.manifest import Manifest, SectionRef, VersionId, compute_digest
from trefoilpick.messages import Announcement, Exchange, decode_envelope
from trefoilpick.metrics import Metrics
from trefoilpick.sections import encode_section
from trefoilpick.snapshots import SnapshotCell, build_snapshot
from trefoilpick.traces import VmJoins
from trefoilpick.version_observer import VersionObservation, VersionObserver


def test_only_the_newest_version_after_the_enforced_one_is_kept() -> None:
    cell = SnapshotCell()
    metrics = Metrics()
    version_observer = VersionObserver(cell, metrics)
    version_observer.record("early", 9, "ff")
    assert version_observer.pop() is None
    cell.replace(build_snapshot(VersionId(3, "bb"), Manifest(3, 0, ()), Document()))
    for vm, number, digest in [("a", 3, "aa"), ("b", 5, "aa"), ("c", 3, "cc"), ("d", 0, "")]:
        version_observer.record(vm, number, digest)
    assert version_observer.pop() == VersionObservation("b", VersionId(5, "aa"))
    assert version_observer.pop() is None
    assert metrics.get_count("trefoilpick_sightings_total") == 1


async def drop_announcements(fleet: ReplayFleet, name: str) -> None:
    """Drop all announcements and exchanges of one node; answers to its fetches still arrive."""
    deliver = fleet.network.deliver
    host = fleet.vms[name].vm.host

    async def drop(data: bytes, sender: str, receiver: str, arrive: Callable) -> None:
        body = decode_envelope(data).body
        if host in (sender.split(":")[0], receiver.split(":")[0]) and isinstance(
            body, Announcement | Exchange
        ):
            return
        await deliver(data, sender, receiver, arrive)

    fleet.network.deliver = drop


def test_node_without_announcements_learns_of_a_version_from_its_traffic() -> None:
    async def main() -> None:
        fleet = ReplayFleet(5)
        for number in range(6):
            name, centre = f"vm-{number}", f"lima-{number % 2}"
            await fleet.join(VmJoins(0.0, name, "lima", centre, "portafolio"))
        await fleet.publish_list()
        await accept(fleet, 1)
        await curio.sleep(15)
        name = next(n for n, vm in fleet.vms.items() if not vm.node.describe().reads_source)
        await drop_announcements(fleet, name)
        await accept(fleet, 2)
        await curio.sleep(4)
        assert fleet.vms[name].incarnation.history[-1].version.number == 1
        recorder = CallRecorder("c", fleet.list_addresses(name), Random(1))
        for number in range(12):
            await recorder.make_call(CallPlan("GET", "q", "/x", True, 0), number, 5.0)
        await recorder.close()
        await curio.sleep(2)
        assert fleet.vms[name].incarnation.history[-1].version.number == 2
        for each in fleet.vms:
            await fleet.kill(each)

    run_virtual(main())


async def accept(fleet: ReplayFleet, number: int) -> None:
    contract = Contract(idempotent=True, deadline_ms=1_000 + number)
    route = Route("all", Match("/", ("GET",)), "portafolio", contract)
    text = encode_section(Section("portafolio", (Upstream("portafolio"),), (route,)))
    digest = compute_digest(text)
    manifest = Manifest(number, number, (SectionRef("portafolio", digest, len(text)),))
    await fleet.source.accept(manifest, {digest: text})
