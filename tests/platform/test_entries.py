from __future__ import annotations

from typing import Any

import msgspec
import pytest
from fakes_store import make_entry, make_settings

from trefoilpick.platform.entries import WorkerEntries
from trefoilpick.platform.names import convert_name
from trefoilpick.vms import Vm, VmState


def read_entries(*values: Any, **source: Any) -> dict[str, Vm]:
    entries = WorkerEntries(make_settings(**source))
    for number, value in enumerate(values):
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        entries.put(f"servers/i-{number}", data, 10 + number, 0.0)
    return {vm.worker: vm for vm in entries.build_vm_list().vms}


def test_entry_is_converted_to_a_vm() -> None:
    vms = read_entries(make_entry("10.2.0.9:8080", zone="lima-b", state="draining"))
    assert vms["i-0"] == Vm(
        name="10.2.0.9",
        region="lima",
        data_centre="lima-b",
        service="encargos",
        host="10.2.0.9",
        control_port=7381,
        hop_port=7380,
        state=VmState.LEAVING,
        worker="i-0",
        slots=9,
        started_ms=1_700_000_000_000,
    )


@pytest.mark.parametrize(
    "invalid",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {},
        make_entry("10.1.0.5"),
        make_entry("worker.example:8080"),
        make_entry("10.1.0.5:99999999"),
        make_entry(5),
        make_entry("10.1.0.5:8080", state="asleep"),
        make_entry("10.1.0.5:8080", service=None),
        make_entry("10.1.0.5:8080", service=""),
        make_entry("10.1.0.5:8080", slots="9"),
        make_entry("10.1.0.5:8080", slots=0),
        make_entry("10.1.0.5:8080", born="now"),
        make_entry("10.1.0.5:8080", born=1.5),
        make_entry("10.1.0.5:8080", sequence=None),
        {name: value for name, value in make_entry().items() if name != "born"},
    ],
    ids=repr,
)
def test_invalid_entry_is_ignored_without_affecting_others(invalid: Any) -> None:
    assert list(read_entries(make_entry("10.1.0.4:8080"), invalid)) == ["i-0"]


def test_latest_worker_at_an_address_is_listed() -> None:
    old = make_entry("10.1.0.4:8080", born=1_000)
    new = make_entry("10.1.0.4:8080", born=2_000, service="portafolio")
    for order in ((old, new), (new, old)):
        (vm,) = read_entries(*order).values()
        assert vm.service == "portafolio"


def test_restarted_worker_with_the_same_name_is_live() -> None:
    entries = WorkerEntries(make_settings())
    for revision, fields in enumerate(({"state": "draining"}, {"born": 1_800_000_000_000}), 1):
        data = msgspec.json.encode(make_entry(**fields))
        entries.put("servers/i-0", data, revision, 0.0)
    (vm,) = entries.build_vm_list().vms
    assert vm.state is VmState.LIVE


def test_removed_entry_is_not_listed() -> None:
    entries = WorkerEntries(make_settings())
    entries.put("servers/i-0", msgspec.json.encode(make_entry()), 1, 0.0)
    entries.remove("servers/i-0", 1.0)
    assert entries.build_vm_list().vms == ()


def test_service_and_zone_with_unusual_names_are_listed() -> None:
    entry = make_entry("10.1.0.4:8080", service="Encargos/2", zone="LIMA A")
    (vm,) = read_entries(entry, regions={"LIMA A": "lima"}).values()
    assert vm.service == convert_name("Encargos/2")
    assert vm.data_centre == convert_name("LIMA A")


# Guards against dropping a worker for a field that only slows it down.
@pytest.mark.parametrize(
    ("value", "cold_ms"),
    [
        (0, 0),
        (1, 500),
        (500, 500),
        (2_300.5, 2_500),
        (1e30, 3_600_000),
        (-5, 0),
        ("soon", 0),
        (None, 0),
        (True, 0),
        ([3_000], 0),
    ],
)
def test_remaining_cold_time_is_rounded_up_and_0_if_unreadable(value: Any, cold_ms: int) -> None:
    vms = read_entries(make_entry(**{"cold-remaining": value}))
    assert vms["i-0"].cold_ms == cold_ms


def test_entry_without_or_with_an_excessive_cold_time_is_usable() -> None:
    entry = make_entry()
    del entry["cold-remaining"]
    huge = msgspec.json.encode({**entry, "address": "10.1.0.9:8080"})[:-1]
    vms = read_entries(entry, huge + b',"cold-remaining":1e999}')
    assert [vm.cold_ms for vm in vms.values()] == [0, 0]
