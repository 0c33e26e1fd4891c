"""Live nodes in two data centres, one of which an operator evacuates by a key in the store."""

from __future__ import annotations

import logging

import curio
import pytest
from test_path import HOSTS, REQUEST_ID, STATUS_OK, UPLOAD_HEAD, Answer, Platform, run_platform

from trefoilpick._clock import read_clock
from trefoilpick.logs import LOGGER_NAME
from trefoilpick.platform.evacuations import EVACUATION_PREFIX

KEY = f"{EVACUATION_PREFIX}lima-b"

IN_FORCE_S = 2.0
"""Time within which an evacuation is in force after the store's acknowledgement, in seconds."""


class Callers:
    """Callers at both nodes, each of which sends one request after the other."""

    def __init__(self, platform: Platform) -> None:
        self.answers: list[tuple[str, Answer]] = []
        self.last_s = 0.0
        """Time of the last answer of the worker in lima-b."""
        self._platform = platform

    async def run(self, for_s: float) -> None:
        """Send requests for some time, in seconds."""
        self.answers.clear()
        async with curio.TaskGroup() as group:
            for host in HOSTS * 2:
                await group.spawn(self._call_until, host, read_clock() + for_s)

    async def _call_until(self, host: str, end_s: float) -> None:
        while read_clock() < end_s:
            self._platform.sent += 1
            head = UPLOAD_HEAD + REQUEST_ID + b": call-%d\r\n" % self._platform.sent
            answer = await self._platform.send_request(host, head, b"ab")
            self.answers.append((host, answer))
            if answer.body == b"i-1":
                self.last_s = read_clock()

    def list_results(self) -> set[tuple[str, int, bytes]]:
        """Return what callers at each node got: status and worker."""
        return {(host, answer.status, answer.body) for host, answer in self.answers}


# Guards against traffic to an evacuated data centre, and against failures of the callers there.
def test_evacuated_data_centre_gets_no_requests_until_an_operator_removes_the_key(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, LOGGER_NAME)

    async def test(platform: Platform) -> None:
        callers = Callers(platform)
        await callers.run(1.0)
        assert {answer.body for _, answer in callers.answers} == {b"i-0", b"i-1"}
        began_s = read_clock()
        platform.store.put(KEY, {})
        await callers.run(IN_FORCE_S)
        assert {answer.status for _, answer in callers.answers} == {STATUS_OK}
        assert callers.last_s < began_s + IN_FORCE_S
        before = len(platform.workers[1].heads)
        await callers.run(1.5)
        assert callers.list_results() == {(host, STATUS_OK, b"i-0") for host in HOSTS}
        assert len(platform.workers[1].heads) == before
        assert all(node.is_ready for node in platform.nodes)
        assert platform.nodes[0].describe().evacuated == ("lima-b",)
        gauge = "trefoilpick_evacuated_data_centres 1"
        assert all(gauge in node.metrics.render() for node in platform.nodes)
        platform.store.delete(KEY)
        await curio.sleep(IN_FORCE_S)
        await callers.run(1.0)
        assert {answer.body for _, answer in callers.answers} == {b"i-0", b"i-1"}

    run_platform(test, evacuations=True)
    lines = [record.message for record in caplog.records if record.message.startswith("evac")]
    assert lines == ["evacuation lima-b: begun"] * 2 + ["evacuation lima-b: ended"] * 2


def test_requests_are_refused_at_once_if_all_data_centres_are_evacuated() -> None:
    async def test(platform: Platform) -> None:
        for zone in ("lima-a", "lima-b"):
            platform.store.put(f"{EVACUATION_PREFIX}{zone}", {})
        await curio.sleep(IN_FORCE_S)
        before = [len(worker.heads) for worker in platform.workers]
        began_s = read_clock()
        for host in HOSTS:
            head = UPLOAD_HEAD + REQUEST_ID + b": none\r\n"
            answer = await platform.send_request(host, head, b"ab")
            assert answer.status == 503
        assert read_clock() - began_s < 0.5
        assert [len(worker.heads) for worker in platform.workers] == before

    run_platform(test, evacuations=True)


def test_keys_have_no_effect_without_the_bound_in_the_facts() -> None:
    async def test(platform: Platform) -> None:
        platform.store.put(KEY, {})
        await curio.sleep(1.0)
        callers = Callers(platform)
        await callers.run(1.0)
        assert {answer.body for _, answer in callers.answers} == {b"i-0", b"i-1"}
        assert not any("evacuate" in call for call in platform.store.calls)

    run_platform(test)
