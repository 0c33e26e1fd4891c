"""The connections to the store fall silent for good, while new ones work."""

from __future__ import annotations

import random

import curio
import pytest
from fakes_proxy import SilencingProxy
from fakes_store import (
    FakeStore,
    make_configuration,
    make_entry,
    make_settings,
    run_store,
)

from trefoilpick.logs import StateLog
from trefoilpick.membership import MembershipTable
from trefoilpick.metrics import Metrics
from trefoilpick.node import build_own_vm
from trefoilpick.platform.store import CONFIGURATION_KEY, open_store
from trefoilpick.ratelimits import TokenBucket
from trefoilpick.source_reader import SourceReader
from trefoilpick.versions import VersionStore

PROXY_HOST = "127.0.60.1"

REPAIR_S = 3.0
"""Time within which a node replaces connections that fell silent, in seconds."""

IN_FORCE_S = 2.5
"""Time within which a reader with sound connections holds a confirmed version, in seconds."""


async def ignore() -> None:
    return


def open_reader(address: str, versions: VersionStore) -> SourceReader:
    """Return a reader with the intervals of the deployment."""
    settings = make_settings(
        address, read_timeout_ms=1_000, watch_ms=1_400, watch_gap_ms=300, backoff_ms=1_000
    )
    metrics = Metrics()
    return SourceReader(
        open_store(settings, random=random.Random(2)),
        store=versions,
        membership=MembershipTable(build_own_vm(settings), listed_only=True),
        budget=TokenBucket(200.0, 200.0),
        metrics=metrics,
        log=StateLog(settings.vm, incarnation=1, metrics=metrics),
        random=random.Random(3),
        on_version_added=ignore,
        on_list_adopted=ignore,
        on_availability_changed=ignore,
        settings=settings.source,
    )


# Guards against a reader that hears of no version while its connections to the store are silent.
@pytest.mark.parametrize("silent_s", [0.0, REPAIR_S])
def test_a_reader_holds_a_version_in_time_after_its_connections_fell_silent(
    silent_s: float,
) -> None:
    async def main(store: FakeStore) -> None:
        store.put(CONFIGURATION_KEY, make_configuration(3))
        store.put("servers/i-1", make_entry())
        host, port = store.address.split(":")
        proxy = SilencingProxy((PROXY_HOST, int(port)), (host, int(port)))
        versions = VersionStore()
        reader = open_reader(f"{PROXY_HOST}:{port}", versions)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(proxy.run)
            await group.spawn(reader.run)
            await reader.start(0)
            await curio.sleep(4.0)
            assert versions.newest is not None
            proxy.silence()
            await curio.sleep(silent_s)
            store.put(CONFIGURATION_KEY, make_configuration(4))
            async with curio.timeout_after(REPAIR_S - silent_s + IN_FORCE_S):
                while versions.newest.number < 4:
                    await curio.sleep(0.01)
            await group.cancel_remaining()

    run_store(main)
