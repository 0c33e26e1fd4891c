"""Ports for fleets that run within one process."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from trefoilpick._ports import CLAIM_HOST, PORT_RANGE, PortChooser, find_free_ports

HOST = "127.0.61.1"
OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.fixture
def ports() -> list[int]:
    """Return 16 ports that no other process on this machine uses."""
    return sorted(find_free_ports(CLAIM_HOST, 16))


@pytest.fixture
def chooser(ports: list[int]) -> Iterator[PortChooser]:
    chooser = PortChooser(ports, block_ports=8)
    yield chooser
    chooser.close()


# Guards against "Address already in use" as a listener opens its port again: the port of an
# outgoing connection of another process on the same machine had taken it.
def test_ports_are_none_of_those_of_outgoing_connections() -> None:
    first = int(OUTGOING.read_text().split()[0]) if OUTGOING.exists() else PORT_RANGE.stop
    ports = find_free_ports(HOST, 2_000)
    assert len(set(ports)) == 2_000
    assert max(ports) < first


# Guards against "Address already in use": two processes chose the same port before either used it.
def test_processes_choose_different_ports() -> None:
    code = f"from trefoilpick._ports import find_free_ports; print(*find_free_ports('{HOST}', 600))"
    with subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE) as other:
        ports = find_free_ports(HOST, 600)
        output, _ = other.communicate()
    others = [int(word) for word in output.split()]
    assert len(others) == 600
    assert not set(ports) & set(others)


# Guards against "Address already in use" within one process.
def test_ports_that_were_chosen_and_not_yet_used_are_not_chosen_again(
    chooser: PortChooser,
) -> None:
    chosen = [port for _ in range(4) for port in chooser.find(HOST, 2)]
    assert len(set(chosen)) == 8


def test_ports_that_are_in_use_are_left_out(chooser: PortChooser, ports: list[int]) -> None:
    used, *others = chooser.find(HOST, 4)
    with socket.create_server((HOST, used)):
        found = chooser.find(HOST, 15)
    assert sorted([used, *found]) == ports
    assert set(others) < set(found)


# Guards against a search without end for a port whose next one was not chosen with it.
def test_ports_do_not_come_in_a_row() -> None:
    choices = [find_free_ports(HOST, 4) for _ in range(128)]
    assert sum(first + 1 in others for first, *others in choices) < 64


# Guards against the search ending, or never ending, where no block is left to claim.
def test_ports_are_found_when_other_processes_have_claimed_all_blocks(
    chooser: PortChooser, ports: list[int]
) -> None:
    assert sorted(chooser.find(HOST, 16)) == ports
    late = PortChooser(ports, block_ports=8)
    assert sorted(late.find(HOST, 16)) == ports
