"""Entries of other writers: each costs what it touches, and nothing else stops."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import product
from random import Random
from typing import Any

import curio
import msgspec
import pytest
from fakes_store import FakeStore, make_configuration, make_entry, make_settings, run_store
from test_path import HOSTS, REQUEST_ID, UPLOAD_HEAD, Platform, add_route, run_platform

from trefoilpick._clock import read_clock
from trefoilpick.membership import MembershipTable
from trefoilpick.messages import (
    NO_VERSION,
    Exchange,
    LeftWorker,
    pack_bytes,
    pack_vms,
    unpack_vms,
)
from trefoilpick.node import Node
from trefoilpick.platform.entries import WorkerEntries
from trefoilpick.platform.store import CONFIGURATION_KEY, open_store
from trefoilpick.source import VMS_KEY
from trefoilpick.vms import VmList, VmState

DRAIN_S = 2.0
"""Time within which a draining worker must be known, in seconds."""

ADDRESSES = [
    "127.0.0.9\n:8080",
    "127.0.0.9:8080\n",
    "127.0.0.9:" + "9" * 5_000,
    "127.0.0.9:65536",
    "127.0.0.9:0",
    "127.0.0.9:８０80",
    "1.2.3.4.5:8080",
    "127.1:8080",
    "300.1.1.1:8080",
    "dead:8080",
    "....:8080",
    "0.0.0.0:8080",
    "224.0.0.1:8080",
    "127.0.0.9%lo:8080",
    "127.0.0.9\0:8080",
]
FIELDS: dict[str, list[Any]] = {
    "address": ADDRESSES,
    "slots": [10**20, 2**63, 2**64, -1, True, 1e300],
    "born": [10**30, 2**64, 2**63, -1, 1e30],
    "sequence": [1e30, "1", [[]]],
}
IDENTITIES = ["a\nb", "a\rb", "\0", "é", " a", "x" * 201]


def put_entry(entry: Any, identity: str = "foreign") -> VmList:
    """Return the list of VMs with a worker and another writer's entry."""
    entries = WorkerEntries(make_settings())
    entries.put("servers/i-0", msgspec.json.encode(make_entry("10.1.0.4:8080")), 10, 0.0)
    data = entry if isinstance(entry, bytes) else msgspec.json.encode(entry)
    entries.put(f"servers/{identity}", data, 11, 0.0)
    return entries.build_vm_list()


def encode_number(field: str, text: str) -> bytes:
    """Return an entry with a number that no encoder writes."""
    entry = msgspec.json.encode(make_entry("10.1.0.9:8080", **{field: "@"}))
    return entry.replace(b'"@"', text.encode())


# Guards against an address or a number that no peer's link or message takes (review/3).
@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field, values in FIELDS.items() for value in values]
)
def test_entry_with_an_unusable_value_names_no_worker(field: str, value: Any) -> None:
    if isinstance(value, int) and abs(value) >= 2**63:
        entry: Any = encode_number(field, str(value))
    else:
        entry = make_entry(**{"address": "10.1.0.9:8080", field: value})
    assert [vm.worker for vm in put_entry(entry).vms] == ["i-0"]


# Guards against an identity that cannot be stated in a header to the worker.
@pytest.mark.parametrize("identity", IDENTITIES)
def test_entry_with_an_unusable_name_names_no_worker(identity: str) -> None:
    assert [vm.worker for vm in put_entry(make_entry("10.1.0.9:8080"), identity).vms] == ["i-0"]


# Guards against values that are legal and yet stop the list: it must always be passed on.
@pytest.mark.parametrize(
    "entry",
    [
        encode_number("sequence", "9" * 4_000),
        encode_number("sequence", "9" * 9_000),
        encode_number("cold-remaining", "1e400"),
        encode_number("cold-remaining", "9" * 9_000),
        encode_number("cold-remaining", "[" * 50_000 + "]" * 50_000),
        b"[" * 100_000,
        b'{"service":' * 50_000,
        b'{"service":"\\ud800","address":"10.1.0.9:80","zone":"z","slots":1,"state":"ready",'
        b'"sequence":1,"born":1}',
        make_entry("10.1.0.9:8080", service="x" * 100_000, zone="\0\n"),
        make_entry("10.1.0.9:8080", slots=1_000_000, born=2**62),
    ],
    ids=range(10),
)
def test_list_with_an_odd_entry_can_be_passed_on(entry: Any) -> None:
    vms = msgspec.json.decode(msgspec.json.encode(put_entry(entry)), type=VmList).vms
    assert unpack_vms(pack_vms(vms)) == vms
    assert "i-0" in [vm.worker for vm in vms]
    left = tuple(LeftWorker(vm.name, vm.worker, vm.started_ms) for vm in vms)
    state = Exchange(NO_VERSION, NO_VERSION, 1, 1, leaving=False, left_workers=left)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=Exchange) == state


# Guards against an odd entry that keeps nodes from a new version (review/3).
@pytest.mark.parametrize(
    "entry",
    [
        make_entry("127.0.0.9\n:8080"),
        make_entry("127.0.0.9:" + "9" * 5_000),
        encode_number("slots", str(10**20)),
        encode_number("born", str(10**30)),
        encode_number("cold-remaining", "[" * 50_000 + "]" * 50_000),
    ],
    ids=["line feed", "port", "slots", "born", "nested"],
)
def test_version_is_in_force_beside_an_odd_entry(entry: Any) -> None:
    async def test(platform: Platform) -> None:
        platform.store.put("servers/foreign", entry)
        await curio.sleep(0.5)
        platform.store.put(CONFIGURATION_KEY, add_route(make_configuration(5), "added"))
        await platform.wait_for_route("added")

    run_platform(test)


# Guards against large values, written together, that keep nodes from reading the list of workers.
def test_worker_drains_beside_values_of_the_largest_size() -> None:
    def is_leaving(node: Node) -> bool:
        vm = node.membership.find_listed(HOSTS[0])
        return vm is not None and vm.state is VmState.LEAVING

    async def test(platform: Platform) -> None:
        for number in range(4):
            platform.store.put(f"servers/foreign-{number}", b"x" * 1_048_576)
        platform.register(0, state="draining")
        async with curio.timeout_after(DRAIN_S):
            while not all(is_leaving(node) for node in platform.nodes):
                await curio.sleep(0.02)

    run_platform(test)


# Guards against an odd entry that was there before the nodes started.
def test_nodes_become_ready_beside_an_odd_entry() -> None:
    async def test(platform: Platform) -> None:
        await platform.request_until(lambda answer: answer.status == 200, UPLOAD_HEAD)

    store = FakeStore()
    store.put("servers/foreign", make_entry("127.0.0.9\n:8080"))
    run_platform(test, items=store.items, revision=store.revision)


# Guards against one invalid record of a peer's list making the node refuse the whole list.
def test_an_invalid_record_of_a_peer_is_left_out() -> None:
    vms = put_entry(make_entry("10.1.0.9:8080")).vms
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(vms))
    raw[0]["host"] = "127.0.0.1\n"
    raw.append({**raw[1], "slots": 2**63})
    assert unpack_vms(pack_bytes(msgspec.msgpack.encode(raw))) == vms[1:]


LATER_BORN = 1_800_000_000_000
TAKING_A_PLACE: dict[str, dict[str, Any]] = {
    "service and zone that are not named": {"service": "agente", "zone": "otra"},
    "service that is not named": {"service": "agente"},
    "zone that is not named": {"zone": "otra"},
    "zone that is not named, draining": {"zone": "otra", "state": "draining"},
    "zone with a blank": {"zone": "lima-a "},
    "start in the far future": {"zone": "otra", "born": 2**61},
    "service that is not named, start in the far future": {"service": "agente", "born": 2**61},
}
"""Fields by which another writer's entry with the address of a worker differs from the worker's."""


# Guards against another writer's entry taking the place of a worker that has the same address, by
# its later start (review/7).
@pytest.mark.parametrize("kind", TAKING_A_PLACE)
@pytest.mark.parametrize("port", [8080, 9])
def test_entry_with_a_workers_address_does_not_take_its_place(kind: str, port: int) -> None:
    foreign = make_entry(f"10.1.0.4:{port}", **{"born": LATER_BORN, **TAKING_A_PLACE[kind]})
    own = make_entry("10.1.0.4:8080")
    for values in ((own, foreign), (foreign, own)):
        entries = WorkerEntries(make_settings())
        entries.services = frozenset({"encargos"})
        for number, value in enumerate(values):
            entries.put(f"servers/{number}", msgspec.json.encode(value), 10 + number, 0.0)
        assert [vm.started_ms for vm in entries.build_vm_list().vms] == [own["born"]]


OWN_KEY, FOREIGN_KEY = "servers/i-0", "servers/foreign"
OWN_EVENTS = {
    "deleted": ("delete",),
    "deleted, registered again": ("delete", "register"),
    "deleted, registered again, deleted": ("delete", "register", "delete"),
    "draining": ("drain",),
    "draining, deleted": ("drain", "delete"),
    "draining, deleted, registered again": ("drain", "delete", "register"),
}
"""What happens to a worker's own entry."""

FOREIGN_EVENTS = {
    "written": ("write",),
    "written, removed": ("write", "remove"),
    "there from the start, removed": ("remove",),
    "there from the start": (),
}
"""What happens to another writer's entry with the worker's address."""


def interleave(first: tuple[str, ...], second: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
    """Yield all orders of the events of two series."""
    if not (first and second):
        yield first + second
        return
    for rest in interleave(first[1:], second):
        yield first[0], *rest
    for rest in interleave(first, second[1:]):
        yield second[0], *rest


def split_answers(events: tuple[str, ...]) -> Iterator[list[tuple[str, ...]]]:
    """Yield all ways to divide events among answers of the store."""
    for ends in product((False, True), repeat=len(events) - 1):
        answers: list[tuple[str, ...]] = [events[:1]]
        for event, is_next in zip(events[1:], ends, strict=True):
            if is_next:
                answers.append((event,))
            else:
                answers[-1] += (event,)
        yield answers


@dataclass
class AddressHistory:
    """The entries of one address, as a node beside the worker and a peer of it learn them."""

    kind: str
    own: dict[str, Any] | None = field(default_factory=lambda: make_entry("10.1.0.4:8080"))
    foreign: dict[str, Any] | None = None
    revision: int = 10

    def __post_init__(self) -> None:
        self.entries = WorkerEntries(make_settings())
        self.entries.services = frozenset({"encargos"})
        self.put(OWN_KEY, self.own)
        vm = self.entries.build_vm_list().vms[0]
        self.table, self.peer = MembershipTable(vm), MembershipTable(vm)

    def put(self, key: str, value: dict[str, Any] | None) -> None:
        self.revision += 1
        if value is None:
            self.entries.remove(key, 0.0)
        else:
            self.entries.put(key, msgspec.json.encode(value), self.revision, 0.0)
        self.entries.revision = self.revision

    def handle(self, event: str) -> None:
        if event in ("write", "remove"):
            fields = {"born": LATER_BORN, **TAKING_A_PLACE[self.kind]}
            self.foreign = make_entry("10.1.0.4:9", **fields) if event == "write" else None
            self.put(FOREIGN_KEY, self.foreign)
            return
        if event == "delete":
            self.own = None
        elif event == "register":
            self.own = make_entry("10.1.0.4:8080", born=LATER_BORN - self.revision)
        else:
            self.own = make_entry("10.1.0.4:8080", state="draining")
        self.put(OWN_KEY, self.own)

    def check(self) -> None:
        """Check that the worker is listed as its own entry says, at its node and at a peer."""
        self.table.adopt_list(self.entries.build_vm_list())
        self.peer.adopt_change(self.table.compute_change(self.peer.revision))
        for table in (self.table, self.peer):
            vm = table.find_listed(table.own.name)
            if self.own is None:
                assert vm is None
            else:
                assert vm is not None and vm.started_ms == self.own["born"]
                assert (vm.state is VmState.LEAVING) is (self.own["state"] == "draining")


# Guards against a worker that is deleted while another writer's entry takes its address going on to
# get work, in whichever order and in however many answers the changes come (lead-14, DRAIN).
@pytest.mark.parametrize("zones", [True, False], ids=["zones in the settings", "any zone"])
@pytest.mark.parametrize("kind", TAKING_A_PLACE)
@pytest.mark.parametrize("foreign", FOREIGN_EVENTS)
@pytest.mark.parametrize("own", OWN_EVENTS)
def test_worker_is_listed_as_its_own_entry_says(
    own: str, foreign: str, kind: str, zones: bool
) -> None:
    for events in interleave(OWN_EVENTS[own], FOREIGN_EVENTS[foreign]):
        for answers in split_answers(events):
            history = AddressHistory(kind)
            if not zones:
                history.entries.regions = {}
            if foreign.startswith("there"):
                history.handle("write")
            history.check()
            for answer in answers:
                for event in answer:
                    history.handle(event)
                history.check()


# Guards against the same if the list is read anew, because the store's history is gone.
@pytest.mark.parametrize("kind", TAKING_A_PLACE)
@pytest.mark.parametrize("is_deleted", [True, False])
def test_worker_is_listed_as_its_own_entry_says_after_the_history_is_gone(
    kind: str, is_deleted: bool
) -> None:
    history = AddressHistory(kind)
    history.entries.regions = {}
    history.check()
    foreign = make_entry("10.1.0.4:9", **{"born": LATER_BORN, **TAKING_A_PLACE[kind]})
    items = {FOREIGN_KEY: (msgspec.json.encode(foreign), 20)}
    if is_deleted:
        history.own = None
    else:
        items[OWN_KEY] = (msgspec.json.encode(history.own), 11)
    history.entries.replace_all(items, 20, 0.0)
    history.check()


# Guards against one writer's many entries with a worker's address hiding the worker's own.
def test_own_entry_is_found_among_many_with_its_address() -> None:
    history = AddressHistory("service that is not named")
    for number in range(200):
        history.put(f"servers/x-{number}", make_entry("10.1.0.4:9", service="x", born=LATER_BORN))
    history.check()


# Guards against requests that reach a worker later than `drain` after its entry was deleted, where
# a foreign entry takes its address at once (lead-14).
@pytest.mark.parametrize("service", ["agente", "portafolio"])
def test_deleted_worker_gets_no_requests_beside_a_foreign_entry(service: str) -> None:
    async def test(platform: Platform) -> None:
        configuration = make_configuration(5)
        for route in configuration["routes"]:
            route |= {"timeout": 12_000, "target-latency": 12_000}
        platform.store.put(CONFIGURATION_KEY, add_route(configuration, "added"))
        await platform.wait_for_route("added")
        for worker in platform.workers:
            worker.service_s = 0.8
        for number in range(len(HOSTS)):
            platform.register(number, slots=1)
        await curio.sleep(0.5)
        async with curio.TaskGroup() as group:
            for number in range(12):
                head = UPLOAD_HEAD + REQUEST_ID + b": q-%d\r\n" % number
                await group.spawn(platform.send_request, HOSTS[number % 2], head, b"ab")
            await curio.sleep(0.4)
            platform.store.delete(OWN_KEY)
            foreign = make_entry(f"{HOSTS[0]}:9", service=service, born=LATER_BORN)
            platform.store.put(FOREIGN_KEY, foreign)
            deleted_s = read_clock()
        arrived_s = platform.workers[0].arrived_s
        assert arrived_s and max(arrived_s) < deleted_s + DRAIN_S

    run_platform(test)


# Guards against an entry of a zone that settings name since then being left out for good.
def test_entries_of_a_zone_are_read_once_the_settings_name_it() -> None:
    async def main(store: FakeStore) -> None:
        store.put("servers/i-0", make_entry(zone="lima-c"))
        settings = make_settings(store.address)
        source = open_store(settings, random=Random(1))
        assert msgspec.json.decode((await source.read_value(VMS_KEY)).data)["vms"] == []
        regions = {**settings.source.regions, "lima-c": "lima"}
        source.apply_settings(replace(settings.source, regions=regions))
        value = await source.watch_value(VMS_KEY, after=0)
        assert value is not None
        (vm,) = msgspec.json.decode(value.data)["vms"]
        assert vm["data_centre"] == "lima-c"

    run_store(main)


# Guards against the list being read before it is known which services are named.
def test_list_that_is_read_first_shows_the_worker_of_a_named_service() -> None:
    async def main(store: FakeStore) -> None:
        store.put(CONFIGURATION_KEY, make_configuration())
        store.put("servers/i-0", make_entry())
        store.put("servers/foreign", make_entry(service="agente", born=LATER_BORN))
        source = open_store(make_settings(store.address), random=Random(1))
        (vm,) = msgspec.json.decode((await source.read_value(VMS_KEY)).data)["vms"]
        assert vm["worker"] == "i-0"
        store.put(CONFIGURATION_KEY, b"unreadable")
        source = open_store(make_settings(store.address), random=Random(1))
        assert len(msgspec.json.decode((await source.read_value(VMS_KEY)).data)["vms"]) == 1

    run_store(main)


def put_foreign_entries(store: FakeStore, fields: dict[str, Any]) -> None:
    for number, host in enumerate(HOSTS):
        entry = make_entry(f"{host}:9", **{"born": LATER_BORN, **fields})
        store.put(f"servers/foreign-{number}", entry)


# Guards against nodes that started beside such entries reading the store no more and refusing all
# requests, also after the entries are gone (review/7).
@pytest.mark.parametrize("kind", [*TAKING_A_PLACE, "usable in every respect", "each other's zone"])
def test_nodes_that_started_beside_entries_with_their_addresses_follow_versions(kind: str) -> None:
    fields = TAKING_A_PLACE.get(kind, {})

    async def test(platform: Platform) -> None:
        platform.store.put(CONFIGURATION_KEY, add_route(make_configuration(5), "beside"))
        if kind in TAKING_A_PLACE:
            await platform.wait_for_route("beside")
        for number in range(len(HOSTS)):
            platform.store.delete(f"servers/foreign-{number}")
        await curio.sleep(0.5)
        platform.store.put(CONFIGURATION_KEY, add_route(make_configuration(8), "after"))
        await platform.wait_for_route("after")

    store = FakeStore()
    put_foreign_entries(store, fields)
    if kind == "each other's zone":
        for number, zone in enumerate(("lima-b", "lima-a")):
            entry = make_entry(f"{HOSTS[number]}:9", zone=zone, born=LATER_BORN)
            store.put(f"servers/foreign-{number}", entry)
    run_platform(
        test,
        items=store.items,
        revision=store.revision,
        are_ready=kind in TAKING_A_PLACE,
    )
