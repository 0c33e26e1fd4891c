"""Entries of other writers: each costs what it touches, and nothing else stops."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest
from fakes_store import FakeStore, make_configuration, make_entry, make_settings
from test_path import HOSTS, UPLOAD_HEAD, Platform, add_route, run_platform

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
from trefoilpick.platform.store import CONFIGURATION_KEY
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
