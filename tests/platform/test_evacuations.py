"""Evacuations requested in the store, and failures that must not end one."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from fakes_store import FakeStore, Fault, make_configuration, make_entry, make_settings, run_store

from trefoilpick.errors import TrefoilpickError
from trefoilpick.list_corrections import EVACUATION_RETENTION_S
from trefoilpick.membership import MembershipTable
from trefoilpick.node import build_own_vm
from trefoilpick.platform.evacuations import EVACUATION_PREFIX, Evacuations
from trefoilpick.platform.store import CONFIGURATION_KEY, StoreSource, open_store
from trefoilpick.revisions import compose_revision
from trefoilpick.source import VMS_KEY, SourceValue
from trefoilpick.vms import Vm, VmList, VmState

KEY = f"{EVACUATION_PREFIX}lima-b"


class Reader:
    """A node that reads the list of VMs from the store."""

    def __init__(self, store: FakeStore, *, evacuations: bool = True) -> None:
        settings = make_settings(
            store.address,
            evacuations=evacuations,
            watch_ms=300,
            read_timeout_ms=500,
            regions=dict.fromkeys(("lima-a", "lima-b", "Lima C", "zz"), "lima"),
        )
        self.now_s = 0.0
        self.source: StoreSource = open_store(settings, random=random.Random(1))
        self.membership = MembershipTable(
            build_own_vm(settings), listed_only=True, clock=lambda: self.now_s
        )
        self.revision = 0

    async def read(self) -> list[str]:
        """Read the list; return the evacuated data centres."""
        self._adopt(await self.source.read_value(VMS_KEY))
        return list(self.membership.list_evacuated())

    async def watch(self) -> list[str]:
        """Wait for the end of one watch; return the evacuated data centres."""
        value = await self.source.watch_value(VMS_KEY, after=0)
        if value is not None:
            self._adopt(value)
        return list(self.membership.list_evacuated())

    def list_workers(self) -> list[str]:
        """Return the workers that may get requests."""
        return [vm.worker for vm in self.membership.list_endpoints("encargos")]

    def _adopt(self, value: SourceValue) -> None:
        vms = msgspec.json.decode(value.data, type=VmList)
        self.revision = compose_revision(value.era, vms.revision)
        self.membership.adopt_list(VmList(self.revision, vms.vms))


def run_scenario(scenario: Callable[[FakeStore], Awaitable[None]], **fields: Any) -> None:
    async def main(store: FakeStore) -> None:
        store.put(CONFIGURATION_KEY, make_configuration())
        store.put("servers/i-1", make_entry())
        store.put("servers/i-2", make_entry("10.2.0.1:8080", zone="lima-b"))
        await scenario(store)

    run_store(main, **fields)


def test_key_evacuates_its_data_centre_until_it_is_deleted() -> None:
    async def scenario(store: FakeStore) -> None:
        reader = Reader(store)
        assert await reader.read() == []
        for _ in range(2):
            before = reader.revision
            store.put(KEY, {})
            assert await reader.watch() == ["lima-b"]
            assert reader.revision > before
            vm = reader.membership.find_listed("10.2.0.1")
            assert vm is not None
            assert (vm.state, vm.evacuated) == (VmState.LEAVING, True)
            assert reader.list_workers() == ["i-1"]
            store.put("servers/i-2", make_entry("10.2.0.1:8080", zone="lima-b", sequence=9))
            assert await reader.watch() == ["lima-b"]
            store.delete(KEY)
            assert await reader.watch() == []
            assert reader.list_workers() == ["i-1", "i-2"]

    run_scenario(scenario)


def test_evacuations_are_read_at_the_start_by_one_more_call() -> None:
    async def scenario(store: FakeStore) -> None:
        for zone in ("lima-a", "lima-b"):
            store.put(f"{EVACUATION_PREFIX}{zone}", b"not json")
        reader = Reader(store)
        assert await reader.read() == ["lima-a", "lima-b"]
        assert reader.list_workers() == []
        assert sum("kv-range" in call for call in store.calls) == 2

    run_scenario(scenario)


def test_without_the_setting_the_keys_are_neither_read_nor_followed() -> None:
    """Guards deployments without evacuations against another read and another meaning of a key."""

    async def scenario(store: FakeStore) -> None:
        store.put(KEY, {})
        reader = Reader(store, evacuations=False)
        assert await reader.read() == []
        store.put(f"{EVACUATION_PREFIX}lima-a", {})
        assert await reader.watch() == []
        assert not any("evacuate" in call for call in store.calls)

    run_scenario(scenario)


def test_setting_that_is_switched_on_takes_effect_in_a_running_node() -> None:
    async def scenario(store: FakeStore) -> None:
        store.put(KEY, {})
        reader = Reader(store, evacuations=False)
        assert await reader.read() == []
        reader.source.apply_settings(replace(reader.source._settings, evacuations=True))
        store.put("servers/i-1", make_entry(sequence=9))
        assert await reader.watch() == ["lima-b"]

    run_scenario(scenario)


@pytest.mark.parametrize(
    "zone", ["", "lima-", "LIMA-B", "lima-b/", "%6cima-b", "\n", "é", "x" * 99]
)
def test_unreadable_zone_evacuates_nothing_else(zone: str) -> None:
    async def scenario(store: FakeStore) -> None:
        store.put(f"{EVACUATION_PREFIX}{zone}", {})
        reader = Reader(store)
        assert await reader.read() == []
        store.put(KEY, {})
        assert await reader.watch() == ["lima-b"]

    run_scenario(scenario)


def test_zone_that_is_no_valid_name_is_converted_like_that_of_an_entry() -> None:
    async def scenario(store: FakeStore) -> None:
        store.put("servers/i-3", make_entry("10.3.0.1:8080", zone="Lima C"))
        store.put(f"{EVACUATION_PREFIX}Lima C", {})
        reader = Reader(store)
        assert len(await reader.read()) == 1
        assert reader.list_workers() == ["i-1", "i-2"]

    run_scenario(scenario)


@pytest.mark.parametrize("is_deleted", [False, True], ids=["kept", "deleted"])
def test_lost_history_ends_an_evacuation_only_if_its_key_is_gone(is_deleted: bool) -> None:
    async def scenario(store: FakeStore) -> None:
        store.put(KEY, {})
        reader = Reader(store)
        await reader.read()
        if is_deleted:
            store.delete(KEY, record=False)
        store.put("servers/i-1", make_entry(sequence=9))
        store.discard_history()
        assert await reader.watch() == ([] if is_deleted else ["lima-b"])

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.NONE])
def test_failing_store_ends_no_evacuation(fault: Fault) -> None:
    async def scenario(store: FakeStore) -> None:
        store.put(KEY, {})
        reader = Reader(store)
        await reader.read()
        store.fault = fault
        for call in (reader.watch, reader.read):
            with pytest.raises(TrefoilpickError):
                await call()
        assert reader.list_workers() == ["i-1"]
        store.fault = Fault.NONE
        assert await reader.watch() == ["lima-b"]
        store.delete(KEY)
        assert await reader.watch() == []

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["empty page", "refused", "restored"])
def test_read_that_ends_halfway_ends_no_evacuation(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The entries are read and the keys of evacuations are not, or only in part."""

    async def scenario(store: FakeStore) -> None:
        store.put(KEY, {})
        reader = Reader(store)
        await reader.read()
        copy = store.copy()
        handle_call = store._handle_call

        async def handle_partly(target: str) -> tuple[int, Any]:
            if "evacuate" not in target:
                return await handle_call(target)
            if fault == "restored":
                store.restore(copy)
            body = {"items": [], "has-more": True, "store-revision": store.revision}
            return (503, {}) if fault == "refused" else (200, body)

        store.put("servers/i-1", make_entry(sequence=9))
        monkeypatch.setattr(store, "_handle_call", handle_partly)
        with pytest.raises(TrefoilpickError):
            await reader.read()
        monkeypatch.undo()
        assert await reader.watch() == ["lima-b"]
        assert reader.list_workers() == ["i-1"]

    run_scenario(scenario, era=3)


def test_pages_of_evacuations_are_joined() -> None:
    async def scenario(store: FakeStore) -> None:
        for number in range(4):
            store.put(f"{EVACUATION_PREFIX}other-{number}", {})
        store.put(f"{EVACUATION_PREFIX}zz", {})
        store.put(KEY, {})
        store.put("servers/i-3", make_entry("10.3.0.1:8080", zone="zz"))
        assert await Reader(store).read() == ["lima-b", "zz"]

    run_scenario(scenario, page_size=2)


def test_event_that_the_last_read_includes_is_ignored() -> None:
    """Guards against traffic to an evacuated data centre while older events are replayed."""
    evacuations = Evacuations()
    evacuations.replace_all([KEY], 20)
    evacuations.apply_change(KEY, 19, deleted=True)
    vm = Vm("b-1", "lima", "lima-b", "encargos", "10.2.0.1", 7381, 7380)
    assert evacuations.mark(vm).evacuated
    evacuations.apply_change(KEY, 21, deleted=True)
    assert not evacuations.mark(vm).evacuated


def test_restored_store_without_the_key_keeps_the_evacuation_for_a_limited_time() -> None:
    async def scenario(store: FakeStore) -> None:
        reader = Reader(store)
        copy = store.copy()
        store.put(KEY, {})
        await reader.read()
        store.restore(copy)
        assert await reader.read() == ["lima-b"]
        reader.now_s = 6.5
        store.put("servers/i-2", make_entry("10.2.0.1:8080", zone="lima-b", slots=4))
        assert await reader.watch() == ["lima-b"]
        assert reader.list_workers() == ["i-1"]
        reader.now_s = EVACUATION_RETENTION_S + 0.1
        assert reader.membership.list_evacuated() == ()
        assert reader.list_workers() == ["i-1", "i-2"]

    run_scenario(scenario, era=3)


def test_key_that_is_written_again_after_a_restore_lasts_until_its_deletion() -> None:
    async def scenario(store: FakeStore) -> None:
        reader = Reader(store)
        copy = store.copy()
        store.put(KEY, {})
        await reader.read()
        store.restore(copy)
        await reader.read()
        store.put(KEY, {})
        await reader.watch()
        reader.now_s = 2 * EVACUATION_RETENTION_S
        assert reader.list_workers() == ["i-1"]
        store.delete(KEY)
        assert await reader.watch() == []
        assert reader.list_workers() == ["i-1", "i-2"]

    run_scenario(scenario, era=3)


def test_evacuation_in_the_restored_copy_applies_to_workers_that_the_copy_lacks() -> None:
    async def scenario(store: FakeStore) -> None:
        store.put(KEY, {})
        copy = store.copy()
        store.delete(KEY)
        store.put("servers/i-4", make_entry("10.2.0.4:8080", zone="lima-b"))
        reader = Reader(store)
        assert await reader.read() == []
        store.restore(copy)
        assert await reader.read() == ["lima-b"]
        assert reader.list_workers() == ["i-1"]

    run_scenario(scenario, era=3)


def test_read_of_an_earlier_era_ends_no_evacuation() -> None:
    async def scenario(store: FakeStore) -> None:
        store.restore(store.copy())
        store.put(KEY, {})
        reader = Reader(store)
        await reader.read()
        store.era = 3
        del store.items[KEY]
        with suppress(TrefoilpickError):
            await reader.read()
        assert reader.list_workers() == ["i-1"]

    run_scenario(scenario, era=3)


def test_record_of_the_former_release_decodes() -> None:
    vm = Vm("b-1", "lima", "lima-b", "encargos", "10.2.0.1", 7381, 7380)
    fields = msgspec.to_builtins(vm)
    del fields["evacuated"]
    del fields["cold_ms"]
    assert msgspec.json.decode(msgspec.json.encode(fields), type=Vm) == vm
