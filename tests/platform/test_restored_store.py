"""The store comes back from an older copy: its revisions go back and its era rises."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

import curio
import msgspec
import pytest
from fakes_store import (
    FakeStore,
    make_configuration,
    make_entry,
    make_settings,
    run_store,
)

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import decode_manifest
from trefoilpick.membership import MembershipTable
from trefoilpick.node import build_own_vm
from trefoilpick.platform.store import CONFIGURATION_KEY, StoreSource, open_store
from trefoilpick.revisions import compose_revision
from trefoilpick.source import MANIFEST_KEY, VMS_KEY, SourceValue
from trefoilpick.vms import VmList, VmState

OLD, NEW = "10.1.0.5:8080", "10.2.0.1:8080"


def run_scenario(scenario: Callable[[FakeStore, StoreSource], Awaitable[None]]) -> None:
    async def main(store: FakeStore) -> None:
        store.put(CONFIGURATION_KEY, make_configuration())
        store.put("servers/i-1", make_entry(OLD))
        await scenario(store, open_store(make_settings(store.address), random=random.Random(1)))

    run_store(main, era=3)


def adopt(membership: MembershipTable, value: SourceValue | None) -> bool:
    assert value is not None
    vms = msgspec.json.decode(value.data, type=VmList)
    return membership.adopt_list(VmList(compose_revision(value.era, vms.revision), vms.vms))


def list_workers(membership: MembershipTable) -> dict[str, VmState]:
    return {vm.worker: vm.state for vm in membership.list_vms() if vm.worker}


def open_table(clock: Callable[[], float] = lambda: 0.0) -> MembershipTable:
    return MembershipTable(build_own_vm(make_settings()), listed_only=True, clock=clock)


def test_list_is_read_again_after_the_store_went_back() -> None:
    """Without eras, nothing is adopted until the revisions exceed the former ones."""

    async def scenario(store: FakeStore, source: StoreSource) -> None:
        membership = open_table()
        copy = store.copy()
        for number in range(20):
            store.put("servers/i-1", make_entry(OLD, sequence=10 + number))
        first = await source.read_value(VMS_KEY)
        assert adopt(membership, first)
        store.restore(copy)
        store.put("servers/i-2", make_entry(NEW, zone="lima-b"))
        source.apply_settings(replace(source._settings, watch_ms=300))
        for _ in range(3):
            value = await source.watch_value(VMS_KEY, after=first.revision)
            if value is not None:
                break
        assert adopt(membership, value)
        assert list_workers(membership) == {"i-1": VmState.LIVE, "i-2": VmState.LIVE}

    run_scenario(scenario)


def test_changes_are_watched_in_the_new_era() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        copy = store.copy()
        store.put(CONFIGURATION_KEY, make_configuration(9))
        store.put("servers/i-2", make_entry(NEW))
        value = await source.read_value(MANIFEST_KEY)
        vms = await source.read_value(VMS_KEY)
        store.restore(copy)
        assert (await source.read_value(VMS_KEY)).era == 4 > vms.era
        store.put(CONFIGURATION_KEY, make_configuration(11))
        numbers = []
        for _ in range(3):
            newer = await source.watch_value(MANIFEST_KEY, after=value.revision)
            numbers += [] if newer is None else [decode_manifest(newer.data).number]
            if numbers:
                break
        assert numbers == [11]
        assert sum("kv-watch" in call for call in store.calls) <= 1

    run_scenario(scenario)


def test_response_of_the_earlier_era_is_rejected() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        await source.read_value(VMS_KEY)
        store.restore(store.copy())
        await source.read_value(VMS_KEY)
        store.era = 3
        with pytest.raises(TrefoilpickError) as caught:
            await source.read_value(VMS_KEY)
        assert caught.value.kind is ErrorKind.SOURCE_UNAVAILABLE
        store.era = 4
        assert (await source.read_value(VMS_KEY)).era == 4

    run_scenario(scenario)


def test_watch_that_waits_while_the_store_goes_back_reads_again() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        await source.read_value(MANIFEST_KEY)
        vms = await source.read_value(VMS_KEY)
        source.apply_settings(replace(source._settings, watch_ms=400))
        task = await curio.spawn(source.watch_value(VMS_KEY, after=vms.revision))
        await curio.sleep(0.05)
        store.restore(store.copy())
        value = await task.join()
        assert value is not None and value.era == 4
        assert await source.watch_value(MANIFEST_KEY, after=0) is not None
        paths = [call.partition("?")[0].rpartition("-")[2] for call in store.calls]
        assert paths == ["key", "range", "watch", "range", "key"]

    run_scenario(scenario)


def test_entries_that_expire_after_the_return_are_retained() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        store.put("servers/i-2", make_entry(NEW))
        await source.read_value(VMS_KEY)
        store.restore(store.copy())
        await source.read_value(VMS_KEY)
        store.delete("servers/i-2")
        value = await source.read_value(VMS_KEY)
        vms = msgspec.json.decode(value.data, type=VmList)
        assert [vm.worker for vm in vms.vms] == ["i-1", "i-2"]

    run_scenario(scenario)


def test_response_without_an_era_changes_nothing() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        vms = await source.read_value(VMS_KEY)
        store.era = None
        assert (await source.read_value(VMS_KEY)).revision == vms.revision

    run_scenario(scenario)
