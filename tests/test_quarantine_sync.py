"""Reports of ends and cases between nodes with real distributors, in virtual time."""

from __future__ import annotations

import curio
import msgspec
import pytest
from fakes_fleet import FakeFleet, FakeNode, make_version, make_vms

from trefoilpick._virtual_time import run_virtual
from trefoilpick.blame import EndReport, Suspect
from trefoilpick.errors import TrefoilpickError
from trefoilpick.fingerprints import Fingerprint
from trefoilpick.messages import (
    MAX_EXCHANGED_CASES,
    CaseNotice,
    EndReports,
    Envelope,
    WireCase,
    decode_envelope,
    encode_envelope,
)

POISON = Fingerprint(b"poison--", b"caller--")
CONTACT_S = 3.0


async def end_workers(fleet: FakeFleet, names: list[str], fingerprint: Fingerprint) -> None:
    for number, name in enumerate(names):
        suspect = Suspect(fingerprint, "advance", 0.02)
        report = EndReport(hash((name, number)) % 2**60, "encargos", (suspect,))
        await fleet.nodes[name].distributor.quarantine.report_end(report)
        await curio.sleep(0.2)


def count_quarantined(nodes: list[FakeNode], fingerprint: Fingerprint = POISON) -> int:
    tables = (node.distributor.quarantine.gate.table for node in nodes)
    return sum(table.find_quarantined(fingerprint) is not None for table in tables)


async def start_fleet(size: int) -> FakeFleet:
    fleet = FakeFleet(make_vms(3, size // 3))
    await fleet.publish_vms(1)
    await fleet.source.accept(*make_version(1, {"team-1": 1}))
    await fleet.start()
    await fleet.wait_all(1, 10.0)
    await curio.sleep(5.0)
    return fleet


@pytest.mark.parametrize("size", [3, 24, 60])
def test_third_end_of_different_workers_is_known_to_all_nodes_within_contact(size: int) -> None:
    async def test() -> None:
        fleet = await start_fleet(size)
        names = list(fleet.nodes)
        await end_workers(fleet, names[:2], POISON)
        await curio.sleep(1.0)
        assert count_quarantined(list(fleet.nodes.values())) == 0
        await end_workers(fleet, names[2:3], POISON)
        await curio.sleep(CONTACT_S)
        assert count_quarantined(list(fleet.nodes.values())) == size

    run_virtual(test)


async def start_quarantining_fleet() -> tuple[FakeFleet, list[str]]:
    """Return a fleet whose nodes all have the request quarantined, and their names."""
    fleet = await start_fleet(12)
    names = list(fleet.nodes)
    await end_workers(fleet, names[:3], POISON)
    await curio.sleep(CONTACT_S)
    return fleet, names


def test_node_that_restarts_knows_the_cases_before_it_is_ready() -> None:
    async def test() -> None:
        fleet, names = await start_quarantining_fleet()
        await fleet.kill(names[5])
        await fleet.start(names[5])
        node = fleet.nodes[names[5]]
        while not node.distributor.is_ready:
            await curio.sleep(0.01)
        assert count_quarantined([node]) == 1

    run_virtual(test)


def test_node_that_was_cut_off_learns_the_cases_after_it() -> None:
    async def test() -> None:
        fleet = await start_fleet(12)
        names = list(fleet.nodes)
        sync = fleet.nodes[names[0]].distributor.quarantine
        counting = {vm.name for vm in sync.list_counting_nodes("encargos")}
        cut = fleet.nodes[next(name for name in names if name not in counting)]
        merge = cut.distributor.quarantine.gate.table.merge
        cut.distributor.quarantine.gate.table.merge = lambda cases: ()  # type: ignore
        await end_workers(fleet, names[:3], POISON)
        await curio.sleep(CONTACT_S)
        assert count_quarantined([cut]) == 0
        cut.distributor.quarantine.gate.table.merge = merge  # type: ignore
        await curio.sleep(CONTACT_S)
        assert count_quarantined([cut]) == 1

    run_virtual(test)


def test_answer_at_any_node_releases_the_request_everywhere() -> None:
    async def test() -> None:
        fleet, names = await start_quarantining_fleet()
        await fleet.nodes[names[7]].distributor.quarantine.gate.record_answer(POISON)
        await curio.sleep(CONTACT_S)
        assert count_quarantined(list(fleet.nodes.values())) == 0
        await end_workers(fleet, names[:2], POISON)
        await curio.sleep(CONTACT_S)
        assert count_quarantined(list(fleet.nodes.values())) == 0

    run_virtual(test)


def make_wire_case(number: int = 0) -> WireCase:
    return WireCase(b"%08d" % number, b"caller--", "encargos", "r", 1, 1, 3, 0, 5_000, 80_000_000)


# A VM that is not in the fleet, and with keys a peer without them, must not quarantine anything.
def test_cases_of_an_unknown_vm_are_ignored() -> None:
    async def test() -> None:
        fleet = await start_fleet(3)
        node = next(iter(fleet.nodes.values()))
        for body in (CaseNotice((make_wire_case(),)), EndReports(())):
            envelope = Envelope("stranger", 1, 1, 0, is_answer=False, body=body)
            await node.distributor._handle_request(envelope)
        assert node.distributor.quarantine.gate.is_open

    run_virtual(test)


def test_exchanges_name_all_cases_in_turn() -> None:
    async def test() -> None:
        fleet = await start_fleet(3)
        node = next(iter(fleet.nodes.values()))
        sync = node.distributor.quarantine
        count = 2 * MAX_EXCHANGED_CASES + 1
        for number in range(count):
            await sync.handle_cases([make_wire_case(number)], "vm")
        seen: set[bytes] = set()
        for _ in range(3):
            cases = node.distributor.build_state().cases
            assert len(cases) == MAX_EXCHANGED_CASES
            seen |= {case.content for case in cases}
        assert len(seen) == count
        await curio.sleep(1.0)

    run_virtual(test)


class FormerExchange(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first fields of an exchange, as nodes of the former release know it."""

    held: tuple
    enforced: tuple
    vms_revision: int
    reader_age_ms: int
    leaving: bool


class FormerEnvelope(msgspec.Struct, frozen=True, array_like=True):
    vm: str
    incarnation: int
    sequence: int
    request: int
    is_answer: bool
    body: FormerExchange


def test_nodes_of_the_former_release_ignore_cases() -> None:
    async def test() -> None:
        fleet = await start_fleet(3)
        node = next(iter(fleet.nodes.values()))
        await node.distributor.quarantine.handle_cases([make_wire_case()], "vm")
        state = node.distributor.build_state()
        assert state.cases
        encoded = encode_envelope(Envelope("vm-1", 1, 1, 0, is_answer=False, body=state))
        assert msgspec.msgpack.decode(encoded, type=FormerEnvelope).body.leaving is False
        await curio.sleep(1.0)

    run_virtual(test)


@pytest.mark.parametrize(
    "case",
    [
        (b"x" * 9, b"", "encargos", "r", 1, 1, 3, 0, 0, 0),
        (b"x" * 8, b"", "encargos", "r", 7, 1, 3, 0, 0, 0),
        (b"x" * 8, b"", "encargos", "r" * 500, 1, 1, 3, 0, 0, 0),
        (b"x" * 8, b"", "encargos", "r", 1, 1, 3, 0, -1, 10**12),
    ],
)
def test_malformed_cases_are_refused(case: tuple) -> None:
    data = msgspec.msgpack.encode(["vm-1", 1, 1, 0, False, [15, [list(case)]]])
    with pytest.raises(TrefoilpickError):
        decode_envelope(data)
