import json
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import msgspec
import pytest
from fakes_fleet import make_vms

from trefoilpick._standin_values import Faults
from trefoilpick.errors import TrefoilpickError
from trefoilpick.settings import SourceSettings
from trefoilpick.source import MANIFEST_KEY, VMS_KEY, HttpSource, SourceValue, open_source
from trefoilpick.standin import Standin, open_standin
from trefoilpick.vms import VmList, VmState

DIGEST = "0123456789abcdef0123456789abcdef"


def run_scenario(
    scenario: Callable[[Standin, HttpSource], Awaitable[None]], *, folder: Path | None = None
) -> None:
    async def run() -> None:
        async with open_standin(folder=folder) as standin:
            source = open_source(SourceSettings((standin.address,)))
            await scenario(standin, source)
            await source.client.close()

    curio.run(run)


async def fetch(url: str, body: bytes | None = None) -> tuple[int, dict]:
    def request() -> tuple[int, dict]:
        try:
            with urllib.request.urlopen(url, body, timeout=60) as answer:
                return answer.status, json.load(answer)
        except urllib.error.HTTPError as error:
            return error.code, {}

    return await curio.run_in_thread(request)


def test_changed_files_of_the_folder_are_served(tmp_path: Path) -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        (tmp_path / "manifest").write_bytes(b"one")
        first = await source.watch_value(MANIFEST_KEY, after=0)
        assert first == SourceValue(b"one", 1)
        (tmp_path / "new").write_bytes(b"two")
        (tmp_path / "new").replace(tmp_path / "manifest")
        assert await source.watch_value(MANIFEST_KEY, after=1) == SourceValue(b"two", 2)
        (tmp_path / "sections").mkdir()
        (tmp_path / "sections" / DIGEST).write_bytes(b"{}")
        assert (await source.read_value(f"sections/{DIGEST}")).data == b"{}"
        with pytest.raises(TrefoilpickError, match="no value"):
            await source.read_value("sections/../manifest")

    run_scenario(scenario, folder=tmp_path)


def test_restored_values_are_read_again_in_a_new_era() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"one")
        await standin.put_value(VMS_KEY, b"list")
        await curio.sleep(0.3)
        for text in (b"two", b"three", b"four"):
            await standin.put_value(MANIFEST_KEY, text)
        assert (await source.read_value(MANIFEST_KEY)).revision == 4
        await source.read_value(VMS_KEY)
        watch = await curio.spawn(source.watch_value(MANIFEST_KEY, after=4))
        while standin.counts.watching == 0:
            await curio.sleep(0.001)
        await standin.restore(0.25)
        assert await watch.join() == SourceValue(b"one", 1, 1)
        assert await source.watch_value(VMS_KEY, after=1) == SourceValue(b"list", 1, 1)
        await standin.put_value(MANIFEST_KEY, b"two")
        assert await source.watch_value(MANIFEST_KEY, after=1) == SourceValue(b"two", 2, 1)

    run_scenario(scenario)


def test_value_of_an_earlier_era_is_rejected() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"one")
        await standin.restore(0.0)
        await source.read_value(MANIFEST_KEY)
        standin.values.era = 0
        with pytest.raises(TrefoilpickError, match="era"):
            await source.read_value(MANIFEST_KEY)

    run_scenario(scenario)


def test_faults_change_the_served_values() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"one")
        await standin.put_value(MANIFEST_KEY, b"two")
        await standin.put_value(VMS_KEY, b"list")
        await standin.set_faults(Faults(backwards=True))
        assert await source.read_value(MANIFEST_KEY) == SourceValue(b"one", 1)
        await standin.set_faults(Faults(wrong=True, prefix="manifest"))
        assert (await source.read_value(MANIFEST_KEY)).data != b"two"
        assert (await source.read_value(VMS_KEY)).data == b"list"
        await standin.set_faults(Faults(stale=True))
        await standin.put_value(MANIFEST_KEY, b"three")
        assert await source.read_value(MANIFEST_KEY) == SourceValue(b"two", 2)
        watch = await curio.spawn(source.watch_value(MANIFEST_KEY, after=2))
        while standin.counts.watching == 0:
            await curio.sleep(0.001)
        await standin.set_faults(Faults())
        assert await watch.join() == SourceValue(b"three", 3)

    run_scenario(scenario)


def test_watch_ends_when_the_service_goes_down() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        watch = await curio.spawn(source.watch_value(MANIFEST_KEY, after=0))
        while standin.counts.watching == 0:
            await curio.sleep(0.001)
        await standin.set_faults(Faults(down=True))
        with pytest.raises(curio.TaskError) as caught:
            await watch.join()
        assert "status 503" in str(caught.value.__cause__)

    run_scenario(scenario)


def test_faults_and_counts_are_available_over_http() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"one")
        url = f"http://{standin.address}"
        code, faults = await fetch(f"{url}/standin/faults", b'{"down": true}')
        assert (code, faults["down"], faults["stale"]) == (200, True, False)
        assert (await fetch(f"{url}/v1/values/manifest"))[0] == 503
        assert (await fetch(f"{url}/standin/faults", b"[" * 60_000))[0] == 400
        assert (await fetch(f"{url}/standin/faults", b'{"dwn": true}'))[0] == 400
        assert (await fetch(f"{url}/elsewhere"))[0] == 404
        assert (await fetch(f"{url}/v1/values/manifest?after=x&wait_ms=1"))[0] == 503
        _, counts = await fetch(f"{url}/standin/counts")
        assert (counts["calls"], counts["reads"], counts["watches"]) == (2, 1, 1)
        assert counts["by_key"] == {"manifest": 2}
        assert sum(counts["by_second"].values()) == 2
        assert 1 <= counts["peak"] <= 2

    run_scenario(scenario)


def test_evacuated_data_centres_are_listed_until_an_operator_ends_the_evacuation() -> None:
    """Guards against an evacuation that a new list ends, or whose list nodes ignore as old."""

    async def scenario(standin: Standin, source: HttpSource) -> None:
        url = f"http://{standin.address}/standin/evacuations"
        vms = make_vms(2, 1)
        await standin.put_vms(5, vms)
        seen = [await read_list(source, 0)]
        assert (await fetch(url, b'["centre-1"]'))[0] == 200
        seen.append(await read_list(source, 1))
        await standin.put_vms(6, vms)
        seen.append(await read_list(source, 2))
        for body in (b"{}", b'["Centre 1"]', b"\xff", b"[" * 5_000):
            assert (await fetch(url, body))[0] == 400
        assert (await fetch(url, b"[]"))[0] == 200
        seen.append(await read_list(source, 3))
        assert [names for _, names in seen] == [[], ["vm-1-0"], ["vm-1-0"], []]
        revisions = [revision for revision, _ in seen]
        assert revisions == sorted(set(revisions))

    run_scenario(scenario)


async def read_list(source: HttpSource, after: int) -> tuple[int, list[str]]:
    """Wait for a list of VMs; return its revision and the names of evacuated VMs."""
    value = await source.watch_value(VMS_KEY, after=after)
    assert value is not None
    vms = msgspec.json.decode(value.data, type=VmList)
    evacuated = [vm.name for vm in vms.vms if vm.evacuated and vm.state is VmState.LEAVING]
    return vms.revision, evacuated


def test_address_in_use_is_reported() -> None:
    async def run() -> None:
        async with open_standin() as standin:
            host, port = standin.address.split(":")
            with pytest.raises(TrefoilpickError, match="cannot listen"):
                open_standin(host, int(port))

    curio.run(run)
