import socket
from dataclasses import replace

import curio
import pytest

from trefoilpick._demo_fleet import build_fleet
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.node import open_node
from trefoilpick.settings import Settings
from trefoilpick.standin import open_standin

HOST = "127.0.61.1"


async def make_settings() -> Settings:
    """Return settings of a node with free ports on `HOST`."""
    async with open_standin() as standin:
        built = build_fleet(standin, seed=1).vms["encargos-lima-a"].settings
    return replace(built, listen=replace(built.listen, host=HOST))


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


def test_failure_of_a_part_stops_the_node_with_its_error() -> None:
    async def main() -> None:
        node = open_node(await make_settings())

        async def fail() -> None:
            raise RuntimeError("a part of the node failed")

        node.distributor.reader.run = fail
        async with curio.timeout_after(60):
            await node.run()

    with pytest.raises(RuntimeError, match="a part of the node failed"):
        curio.run(main)
