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
    """Return settings of a node whose ports are free but for those in use."""
    async with open_standin() as standin:
        built = build_fleet(standin, seed=1).vms["encargos-lima-a"].settings
    return replace(built, listen=replace(built.listen, host=HOST))


@pytest.mark.parametrize("port", ["caller_port", "hop_port", "control_port", "operator_port"])
def test_port_in_use_is_a_fault_of_the_settings(port: str) -> None:
    settings = curio.run(make_settings)
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        taken.listen()
        number = taken.getsockname()[1]
        clash = replace(settings, listen=replace(settings.listen, **{port: number}))
        with pytest.raises(TrefoilpickError, match=f"{HOST}:{number}") as caught:
            open_node(clash)
    assert caught.value.kind is ErrorKind.SETTINGS_FAULTY


def test_part_that_fails_ends_the_node_with_its_error() -> None:
    async def main() -> None:
        node = open_node(await make_settings())

        async def fail() -> None:
            raise RuntimeError("a part of the node failed")

        node.distributor.reader.run = fail
        async with curio.timeout_after(60):
            await node.run()

    with pytest.raises(RuntimeError, match="a part of the node failed"):
        curio.run(main)
