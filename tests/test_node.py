import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import curio
import pytest

from trefoilpick._demo_fleet import build_fleet
from trefoilpick._ports import find_free_ports
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.node import Node, open_node
from trefoilpick.settings import Settings
from trefoilpick.standin import open_standin

HOST = "127.0.61.1"


async def make_settings() -> Settings:
    """Return settings of a node with free ports on `HOST`."""
    async with open_standin() as standin:
        built = build_fleet(standin, seed=1).vms["encargos-lima-a"].settings
    names = ("caller_port", "hop_port", "control_port", "operator_port")
    ports = dict(zip(names, find_free_ports(HOST, len(names)), strict=True))
    return replace(built, listen=replace(built.listen, host=HOST, **ports))


@pytest.mark.parametrize("port", ["caller_port", "hop_port", "control_port", "operator_port"])
def test_port_in_use_is_reported_as_faulty_settings(port: str) -> None:
    settings = curio.run(make_settings)
    with socket.socket() as occupant:
        occupant.bind((HOST, 0))
        occupant.listen()
        number = occupant.getsockname()[1]
        conflicting = replace(settings, listen=replace(settings.listen, **{port: number}))
        with pytest.raises(TrefoilpickError, match=f"{HOST}:{number}") as caught:
            open_node(conflicting)
    assert caught.value.kind is ErrorKind.SETTINGS_FAULTY


def test_failure_of_a_server_stops_the_node_with_its_error() -> None:
    async def main() -> None:
        node = open_node(await make_settings())

        async def fail() -> None:
            raise RuntimeError("a part of the node failed")

        node.caller_server.run = fail
        async with curio.timeout_after(60):
            await node.run()

    with pytest.raises(RuntimeError, match="a part of the node failed"):
        curio.run(main)


# Guards against an unexpected error in one background task that takes the whole process down.
@pytest.mark.task_errors
@pytest.mark.parametrize(
    "find_part",
    [
        lambda node: (node.distributor.reader, "run"),
        lambda node: (node.distributor._reader_election, "run"),
        lambda node: (node.distributor._versions, "run"),
        lambda node: (node.distributor._lists, "run"),
        lambda node: (node.distributor._pauses, "run"),
        lambda node: (node.distributor._joiner, "run"),
        lambda node: (node.distributor._exchanger, "run"),
        lambda node: (node.distributor, "_announce_lists"),
        lambda node: (node.distributor, "_spread_cases"),
        lambda node: (node.distributor.links, "_serve"),
        lambda node: (node.distributor.links, "_close_idle"),
        lambda node: (node.hop_server._hops, "watch"),
        lambda node: (node.hop_server, "_refuse_stale_waiters"),
        lambda node: (node.hop_server, "_accept_hops"),
        lambda node: (node.caller_server._monitor, "run"),
        lambda node: (node.caller_server, "_accept"),
        lambda node: (node._operator_server, "_roll_windows"),
        lambda node: (node._operator_server, "_accept_into"),
        lambda node: (node, "_fetch_observed_versions"),
        lambda node: (node, "_report_readiness"),
    ],
)
def test_a_background_task_that_fails_is_started_again(
    find_part: Callable[[Node], tuple[Any, str]],
) -> None:
    async def main() -> Node:
        node = open_node(await make_settings())
        part, name = find_part(node)
        run = getattr(part, name)
        calls = 0

        async def fail_once(*arguments: object) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise KeyError("an unexpected error")
            await run(*arguments)

        setattr(part, name, fail_once)
        task = await curio.spawn(node.run)
        async with curio.timeout_after(60):
            while calls < 2:
                await curio.sleep(0.01)
        assert not task.terminated
        await node.request_stop()
        await task.join()
        return node

    node = curio.run(main)
    counted = [s for s in node.metrics.counters if s.name == "trefoilpick_task_failures_total"]
    assert [node.metrics.counters[series] for series in counted] == [1]


# Guards against requests being cut as the announcement of the node's leaving fails (review/3).
def test_a_failed_announcement_does_not_end_the_drain() -> None:
    async def main() -> None:
        node = open_node(await make_settings())
        drained: list[str] = []

        async def fail() -> None:
            raise KeyError("an unexpected error")

        async def drain_callers() -> None:
            await curio.sleep(0.3)
            drained.append("callers")

        async def drain_hops() -> None:
            drained.append("hops")

        node.distributor.announce_leaving = fail
        node.caller_server.drain = drain_callers
        node.hop_server.drain = drain_hops
        task = await curio.spawn(node.run)
        await node.request_stop()
        async with curio.timeout_after(30):
            await task.join()
        assert drained == ["hops", "callers"]

    curio.run(main)
