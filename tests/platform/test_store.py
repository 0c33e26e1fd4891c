from __future__ import annotations

import base64
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace

import curio
import msgspec
import pytest
from fakes_proxy import SilencingProxy
from fakes_store import (
    FakeStore,
    Fault,
    make_configuration,
    make_entry,
    make_settings,
    run_store,
)

from trefoilpick._clock import read_clock
from trefoilpick._source_connection import SourceReply
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import decode_manifest
from trefoilpick.platform.entries import EXPIRED_ENTRY_RETENTION_S
from trefoilpick.platform.store import (
    CONFIGURATION_KEY,
    MIN_EXPIRY_OUTAGE_S,
    MIN_RESPONSE_TIMEOUT_S,
    StoreSource,
    open_store,
)
from trefoilpick.sections import decode_section
from trefoilpick.source import (
    MANIFEST_KEY,
    VMS_KEY,
    SourceClient,
    SourceValue,
    build_section_key,
)
from trefoilpick.vms import VmList, VmState

PROXY_HOST = "127.0.55.1"

Scenario = Callable[[FakeStore, StoreSource], Awaitable[None]]


class SilencingScenario:
    """A source that reaches the store through a proxy."""

    def __init__(self, store: FakeStore) -> None:
        host, port = store.address.split(":")
        self.proxy = SilencingProxy((PROXY_HOST, int(port)), (host, int(port)))
        settings = make_settings(f"{PROXY_HOST}:{port}", read_timeout_ms=1_000, watch_ms=1_400)
        self.source = open_store(settings, random=random.Random(1))

    async def hold_connections(self) -> None:
        """Read both values and watch once, so that connections are kept."""
        await self.source.read_value(MANIFEST_KEY)
        await self.source.read_value(VMS_KEY)
        await self.source.watch_value(MANIFEST_KEY, after=0)


def run_scenario(scenario: Scenario, **fields: object) -> None:
    async def main(store: FakeStore) -> None:
        store.put(CONFIGURATION_KEY, make_configuration())
        store.put("servers/i-1", make_entry())
        store.put("servers/i-2", make_entry("10.2.0.1:8080", zone="lima-b"))
        await scenario(store, open_store(make_settings(store.address), random=random.Random(1)))

    run_store(main, **fields)


def set_timeouts(source: StoreSource, *, read_timeout_ms: int, watch_ms: int) -> None:
    """Change the timeouts; calls that are expected to time out use short ones."""
    settings = replace(source._settings, read_timeout_ms=read_timeout_ms, watch_ms=watch_ms)
    source.apply_settings(settings)


def decode_vm_list(value: SourceValue | None) -> VmList:
    assert value is not None
    return msgspec.json.decode(value.data, type=VmList)


def list_workers(value: SourceValue | None) -> list[str]:
    return [vm.worker for vm in decode_vm_list(value).vms]


def test_configuration_is_read_with_one_section_per_service() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        manifest = decode_manifest((await source.read_value(MANIFEST_KEY)).data)
        assert manifest.number == 3
        assert [ref.team for ref in manifest.sections] == ["encargos", "portafolio"]
        for ref in manifest.sections:
            value = await source.read_value(build_section_key(ref.digest))
            assert decode_section(value.data).team == ref.team
        assert len(store.calls) == 1

    run_scenario(scenario)


def test_missing_configuration_is_awaited_without_polling() -> None:
    """At the start of a fleet all nodes wait for the first configuration."""

    async def scenario(store: FakeStore, source: StoreSource) -> None:
        configuration = store.items.pop(CONFIGURATION_KEY)
        store.events = [event for event in store.events if event["key"] != CONFIGURATION_KEY]
        await source.read_value(VMS_KEY)
        task = await curio.spawn(source.read_value(MANIFEST_KEY))
        await curio.sleep(0.3)
        store.put("servers/i-3", make_entry("10.1.0.3:8080"))
        await curio.sleep(0.3)
        store.put(CONFIGURATION_KEY, base64.b64decode(configuration["value"]))
        with suppress(curio.TaskError):
            await task.join()
        value = await source.read_value(MANIFEST_KEY)
        assert decode_manifest(value.data).number == 3
        workers = list_workers(await source.watch_value(VMS_KEY, after=0))
        assert sorted(workers) == ["i-1", "i-2", "i-3"]
        assert len(store.calls) <= 5, store.calls

    run_scenario(scenario)


def test_missing_configuration_is_an_error_after_one_watch() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        del store.items[CONFIGURATION_KEY]
        await source.read_value(VMS_KEY)
        set_timeouts(source, read_timeout_ms=10_000, watch_ms=200)
        for _ in range(2):
            with pytest.raises(TrefoilpickError, match="no value"):
                await source.read_value(MANIFEST_KEY)
        assert sum("kv-watch" in call for call in store.calls) == 2

    run_scenario(scenario)


def test_watch_reports_only_changes_of_its_value() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        first = await source.read_value(MANIFEST_KEY)
        store.put("servers/i-3", make_entry("10.1.0.3:8080"))
        assert await source.watch_value(MANIFEST_KEY, after=first.revision) is None
        store.put(CONFIGURATION_KEY, make_configuration(9))
        store.put(CONFIGURATION_KEY, make_configuration(12))
        value = await source.watch_value(MANIFEST_KEY, after=first.revision)
        assert value is not None
        assert decode_manifest(value.data).number == 12

    run_scenario(scenario)


def test_watch_resumes_at_the_last_revision_so_that_history_can_be_discarded() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        value = await source.read_value(MANIFEST_KEY)
        store.put("servers/i-3", make_entry("10.1.0.3:8080"))
        assert await source.watch_value(MANIFEST_KEY, after=value.revision) is None
        store.oldest_revision = store.revision
        set_timeouts(source, read_timeout_ms=10_000, watch_ms=500)
        assert await source.watch_value(MANIFEST_KEY, after=value.revision) is None
        assert not any("kv-key" in call for call in store.calls[1:])

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.NONE])
def test_store_failure_is_reported_and_recovery_is_detected(fault: Fault) -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        value = await source.read_value(MANIFEST_KEY)
        store.fault = fault
        if fault in (Fault.UNRESPONSIVE, Fault.LOSE_RESPONSE):
            set_timeouts(source, read_timeout_ms=500, watch_ms=500)
        limited = fault is Fault.RATE_LIMIT
        kind = ErrorKind.SOURCE_RATE_LIMITED if limited else ErrorKind.SOURCE_UNAVAILABLE
        for call in (
            source.read_value(MANIFEST_KEY),
            source.watch_value(MANIFEST_KEY, after=value.revision),
        ):
            with pytest.raises(TrefoilpickError) as caught:
                await call
            assert caught.value.kind is kind
        store.fault = Fault.NONE
        set_timeouts(source, read_timeout_ms=10_000, watch_ms=10_000)
        store.put(CONFIGURATION_KEY, make_configuration(20))
        newer = await source.watch_value(MANIFEST_KEY, after=value.revision)
        assert newer is not None
        assert decode_manifest(newer.data).number == 20

    run_scenario(scenario)


@pytest.mark.parametrize("is_first", [True, False], ids=["first read", "read after a failure"])
def test_change_received_by_a_watch_during_a_read_is_not_lost(
    is_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A read returns an old configuration after a watch has received the new one."""
    call = SourceClient.call
    read_received = curio.Event()
    watch_received = curio.Event()

    async def call_with_delay(
        client: SourceClient, connection_name: str, target: str, **times: float
    ) -> SourceReply:
        reply = await call(client, connection_name, target, **times)
        if "kv-key" in target and not watch_received.is_set():
            await read_received.set()
            await watch_received.wait()
        return reply

    async def scenario(store: FakeStore, source: StoreSource) -> None:
        if not is_first:
            await source.read_value(MANIFEST_KEY)
        vms = await source.read_value(VMS_KEY)
        monkeypatch.setattr(SourceClient, "call", call_with_delay)
        reading = await curio.spawn(source.read_value, MANIFEST_KEY)
        await read_received.wait()
        store.put(CONFIGURATION_KEY, make_configuration(20))
        assert await source.watch_value(VMS_KEY, after=vms.revision) is None
        await watch_received.set()
        older = await reading.join()
        assert decode_manifest(older.data).number == 3
        value = await source.watch_value(MANIFEST_KEY, after=older.revision)
        assert value is not None
        assert decode_manifest(value.data).number == 20

    run_scenario(scenario)


def test_slow_response_is_accepted() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        set_timeouts(source, read_timeout_ms=3_000, watch_ms=10_000)
        store.delay_s = 2.0
        assert decode_manifest((await source.read_value(MANIFEST_KEY)).data).number == 3

    run_scenario(scenario)


def test_discarded_history_causes_a_new_read_that_includes_missed_removals() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        first = await source.read_value(VMS_KEY)
        await source.read_value(MANIFEST_KEY)
        store.put("servers/i-1", make_entry(state="draining"))
        store.delete("servers/i-2", record=False)
        store.put(CONFIGURATION_KEY, make_configuration(5))
        store.discard_history()
        vms = decode_vm_list(await source.watch_value(VMS_KEY, after=first.revision))
        assert [(vm.worker, vm.state) for vm in vms.vms] == [("i-1", VmState.LEAVING)]
        value = await source.watch_value(MANIFEST_KEY, after=0)
        assert value is not None
        assert decode_manifest(value.data).number == 5

    run_scenario(scenario)


def test_pages_are_joined_and_later_changes_are_watched() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        store.put("servers/i-3", make_entry("10.1.0.3:8080"))
        value = await source.read_value(VMS_KEY)
        assert list_workers(value) == ["i-1", "i-3", "i-2"]
        assert sum("kv-range" in call for call in store.calls) == 2
        store.delete("servers/i-1")
        value = await source.watch_value(VMS_KEY, after=value.revision)
        assert list_workers(value) == ["i-3", "i-2"]

    run_scenario(scenario, page_size=2)


def test_entries_that_expire_in_an_outage_are_retained_until_live_workers_register_again() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        before = decode_vm_list(await source.read_value(VMS_KEY))
        store.fault = Fault.UNAVAILABLE
        with pytest.raises(TrefoilpickError):
            await source.read_value(VMS_KEY)
        store.delete("servers/i-1")
        store.delete("servers/i-2")
        await curio.sleep(MIN_EXPIRY_OUTAGE_S)
        store.fault = Fault.NONE
        retained = await source.read_value(VMS_KEY)
        assert list_workers(retained) == ["i-1", "i-2"]
        store.put("servers/i-2", make_entry("10.2.0.1:8080", zone="lima-b"))
        reregistered = await source.watch_value(VMS_KEY, after=retained.revision)
        assert list_workers(reregistered) == ["i-1", "i-2"]
        began = await curio.clock()
        value = None
        while value is None:
            value = await source.watch_value(VMS_KEY, after=retained.revision)
        assert list_workers(value) == ["i-2"]
        assert await curio.clock() - began < EXPIRED_ENTRY_RETENTION_S + 1
        assert decode_vm_list(value).revision > before.revision
        assert (
            before.revision
            > decode_vm_list(reregistered).revision
            == decode_vm_list(retained).revision
        )

    run_scenario(scenario)


def test_list_with_retained_entries_does_not_override_the_list_of_a_connected_node() -> None:
    """A worker leaves while a node has no access to the store; later changes raise its revision."""

    async def scenario(store: FakeStore, source: StoreSource) -> None:
        await source.read_value(VMS_KEY)
        other = open_store(make_settings(store.address), random=random.Random(2))
        store.fault = Fault.RESET
        with pytest.raises(TrefoilpickError):
            await source.read_value(VMS_KEY)
        await curio.sleep(MIN_EXPIRY_OUTAGE_S)
        store.fault = Fault.NONE
        store.delete("servers/i-1")
        connected_list = decode_vm_list(await other.read_value(VMS_KEY))
        store.put(CONFIGURATION_KEY, make_configuration(20))
        reconnected_list = decode_vm_list(await source.read_value(VMS_KEY))
        assert [vm.worker for vm in reconnected_list.vms] == ["i-1", "i-2"]
        assert reconnected_list.revision < connected_list.revision

    run_scenario(scenario)


def test_worker_that_leaves_after_a_short_failure_is_removed_immediately() -> None:
    """No entry of a live worker can expire during a failure as short as a single watch."""

    async def scenario(store: FakeStore, source: StoreSource) -> None:
        vms = await source.read_value(VMS_KEY)
        store.fault = Fault.RESET
        with pytest.raises(TrefoilpickError):
            await source.watch_value(VMS_KEY, after=vms.revision)
        store.fault = Fault.NONE
        assert list_workers(await source.read_value(VMS_KEY)) == ["i-1", "i-2"]
        store.delete("servers/i-1")
        assert list_workers(await source.watch_value(VMS_KEY, after=vms.revision)) == ["i-2"]

    run_scenario(scenario)


def test_list_with_retained_entries_never_takes_precedence_over_one_without() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        await source.read_value(VMS_KEY)
        store.delete("servers/i-1")
        other = open_store(make_settings(store.address), random=random.Random(2))
        current_list = decode_vm_list(await other.read_value(VMS_KEY))
        store.fault = Fault.RESET
        with pytest.raises(TrefoilpickError):
            await source.read_value(VMS_KEY)
        await curio.sleep(MIN_EXPIRY_OUTAGE_S)
        store.fault = Fault.NONE
        retained_list = decode_vm_list(await source.read_value(VMS_KEY))
        assert [vm.worker for vm in retained_list.vms] == ["i-1", "i-2"]
        assert retained_list.revision < current_list.revision

    run_scenario(scenario)


def test_unresponsive_watch_ends_in_time_after_a_slow_store() -> None:
    """Failed watches raise the response timeout; their wait is shortened by as much."""

    async def scenario(store: FakeStore, source: StoreSource) -> None:
        settings = replace(source._settings, watch_ms=1_000, read_timeout_ms=1_000)
        vms = await source.read_value(VMS_KEY)
        await source.read_value(MANIFEST_KEY)
        source.apply_settings(settings)
        store.fault = Fault.UNRESPONSIVE
        for _ in range(4):
            began_at = read_clock()
            with pytest.raises(TrefoilpickError):
                await source._watch()
            assert read_clock() - began_at < settings.watch_ms / 1000 + MIN_RESPONSE_TIMEOUT_S + 0.2
            source._watch_revision = vms.revision

    run_scenario(scenario)


def test_failed_watch_causes_both_values_to_be_read_again() -> None:
    async def scenario(store: FakeStore, source: StoreSource) -> None:
        vms = await source.read_value(VMS_KEY)
        manifest = await source.read_value(MANIFEST_KEY)
        store.fault = Fault.UNRESPONSIVE
        set_timeouts(source, read_timeout_ms=500, watch_ms=500)
        with pytest.raises(TrefoilpickError):
            await source.watch_value(MANIFEST_KEY, after=manifest.revision)
        store.fault = Fault.NONE
        set_timeouts(source, read_timeout_ms=10_000, watch_ms=10_000)
        del store.calls[:]
        assert list_workers(await source.watch_value(VMS_KEY, after=vms.revision))
        assert any("kv-range" in call for call in store.calls)
        assert not any("kv-watch" in call for call in store.calls)

    run_scenario(scenario)


# Guards against one timeout after the other for each kept connection that fell silent.
@pytest.mark.parametrize("key", [MANIFEST_KEY, VMS_KEY])
def test_a_read_after_a_silent_watch_meets_no_other_silent_connection(key: str) -> None:
    async def scenario(store: FakeStore, _source: StoreSource) -> None:
        silencing = SilencingScenario(store)
        proxy = await curio.spawn(silencing.proxy.run, daemon=True)
        await silencing.hold_connections()
        silencing.proxy.silence()
        with pytest.raises(TrefoilpickError, match="did not answer"):
            await silencing.source.watch_value(MANIFEST_KEY, after=0)
        began_s = read_clock()
        await silencing.source.read_value(key)
        assert read_clock() - began_s < 0.5
        await proxy.cancel()

    run_scenario(scenario)
