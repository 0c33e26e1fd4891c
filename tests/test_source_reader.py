from __future__ import annotations

import logging

import curio
import pytest
from fakes_fleet import FakeFleet, make_version, make_vms

from trefoilpick._virtual_time import run_virtual
from trefoilpick.settings import SourceSettings
from trefoilpick.source import MANIFEST_KEY, VMS_KEY

TEAMS = {"team-1": 1}


def test_reader_that_waits_in_a_watch_has_a_recent_answer() -> None:
    """A fetch from a peer waits for the node's own watch, whatever the length of that watch."""

    async def run() -> None:
        fleet = FakeFleet(make_vms(1, 2))
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, TEAMS))
        await fleet.start()
        await curio.sleep(5.0)
        readers = [node.distributor.reader for node in fleet.nodes.values()]
        assert all(reader.is_reading for reader in readers)
        reader = max(readers, key=lambda reader: reader.answered_s)
        watch_s = SourceSettings(("127.0.0.1:1",)).watch_ms / 1000
        await curio.sleep(reader.answered_s + watch_s - await curio.clock())
        assert reader.has_recent_answer()
        await curio.sleep(1.0)
        assert not reader.has_recent_answer()
        await fleet.kill()

    run_virtual(run())


def test_log_shows_how_versions_of_the_source_compare(caplog: pytest.LogCaptureFixture) -> None:
    """Without these lines, a version that lost against another one left no trace."""

    async def run() -> None:
        fleet = FakeFleet(make_vms(1, 1))
        await fleet.publish_vms(1)
        for number, variant in ((2, 1), (3, 1), (3, 2), (1, 1)):
            await fleet.source.accept(*make_version(number, {"team-1": variant}))
            if not fleet.nodes:
                await fleet.start()
            await curio.sleep(5.0)
        await fleet.kill()

    with caplog.at_level(logging.INFO):
        run_virtual(run())
    lines = [
        (record.value.partition("/")[0], record.order)
        for record in caplog.records
        if getattr(record, "event", "") == "source_version"
    ]
    assert lines == [("2", "newer"), ("3", "newer"), ("3", "replacing"), ("1", "older")]


# Guards against an unexpected error in one value of the source ending the reading of the other.
@pytest.mark.task_errors
@pytest.mark.parametrize("key", [VMS_KEY, MANIFEST_KEY])
def test_each_value_is_read_while_reading_the_other_fails(key: str) -> None:
    async def run() -> None:
        vms = make_vms(1, 2)
        fleet = FakeFleet(vms)
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, TEAMS))
        await fleet.start()
        await fleet.wait_all(1, 10.0)

        def fail(read: str, data: bytes) -> bytes:
            if read == key:
                raise ZeroDivisionError
            return data

        fleet.source.corrupt = fail
        for _ in range(20):
            await fleet.source.put(key, b"unreadable")
            await curio.sleep(1.0)
        nodes = fleet.nodes.values()
        if key == VMS_KEY:
            await fleet.source.accept(*make_version(2, TEAMS))
            await fleet.wait_all(2, 2.0)
            await fleet.publish_vms(2, vms[:1])
        else:
            await fleet.publish_vms(2, vms[:1])
            await fleet.wait_for(lambda: all(n.membership.revision == 2 for n in nodes), 2.0)
            await fleet.source.accept(*make_version(2, TEAMS))
        fleet.source.corrupt = lambda read, data: data
        await fleet.wait_all(2, 2.0)
        await fleet.wait_for(lambda: all(n.membership.revision == 2 for n in nodes), 2.0)
        await fleet.kill()

    run_virtual(run())
