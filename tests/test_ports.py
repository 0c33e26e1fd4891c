"""Ports for fleets that run within one process."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from trefoilpick._ports import PORT_RANGE, find_free_ports

HOST = "127.0.61.1"
OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")


# Guards against "Address already in use" as a listener opens its port again: the port of an
# outgoing connection of another process on the same machine had taken it.
def test_ports_are_none_of_those_of_outgoing_connections() -> None:
    first = int(OUTGOING.read_text().split()[0]) if OUTGOING.exists() else PORT_RANGE.stop
    ports = find_free_ports(HOST, 2_000)
    assert len(set(ports)) == 2_000
    assert max(ports) < first


def test_ports_that_are_in_use_are_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    used, *others = find_free_ports(HOST, 4)
    monkeypatch.setattr("trefoilpick._ports.PORT_RANGE", (used, *others))
    with socket.create_server((HOST, used)):
        assert sorted(find_free_ports(HOST, 3)) == sorted(others)
