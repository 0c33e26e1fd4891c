import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import curio
import pytest
from typer.testing import CliRunner

from trefoilpick.cli import app
from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.manifest import Manifest, identify_version
from trefoilpick.metrics import Metrics
from trefoilpick.operatorserver import OperatorServer, open_operator_server
from trefoilpick.settings import KeySettings, Settings, parse_settings
from trefoilpick.snapshots import SnapshotCell, build_snapshot
from trefoilpick.status import (
    FleetStatus,
    NodeStatus,
    PeerStatus,
    QuarantineCase,
    Standing,
    VersionRef,
)

runner = CliRunner()


def read_settings(vm: str, *fragments: str) -> Settings:
    vm_settings = (
        f'vm: {{name: "{vm}", region: "lima", data_centre: "lima-a", service: "portafolio"}}'
    )
    listen = 'listen: {host: "127.0.0.1"}, worker: {host: "127.0.0.1", port: 9100}'
    source = 'source: {addresses: ["127.0.0.1:9000"]}'
    return parse_settings("{" + ",\n".join((vm_settings, listen, source, *fragments)) + "}")


class FakeNode:
    """Operators' port of a node whose status is set by the test."""

    def __init__(self, vm: str, version: VersionRef, *, bad: int) -> None:
        self.vm, self.version = vm, version
        self.peers: tuple[PeerStatus, ...] = ()
        self.metrics = Metrics()
        self._bad = bad
        settings = read_settings(vm)
        self.server: OperatorServer = open_operator_server(
            settings,
            metrics=self.metrics,
            describe=self.describe,
            cell=build_cell(),
            query_fleet=self.query_fleet,
            port=0,
        )

    @property
    def address(self) -> str:
        host, port = self.server.address
        return f"{host}:{port}"

    def describe(self) -> NodeStatus:
        identity = (self.vm, "lima", "lima-a", "portafolio", 1, 1.0, True)
        case = QuarantineCase("aa/bb", "quarantined", "encargos", "advance", 3, 1, 55.0)
        return NodeStatus(*identity, version=self.version, newest=self.version, quarantine=(case,))

    async def query_fleet(self) -> FleetStatus:
        return FleetStatus(self.describe(), self.peers)

    async def run(self) -> None:
        running = await curio.spawn(self.server.run)
        await curio.sleep(0)
        labels = {"team": "arte", "route": "sketches"}
        self.metrics.count("trefoilpick_requests_total", 100 - self._bad, **labels, result="good")
        self.metrics.count("trefoilpick_requests_total", self._bad, **labels, result="shed")
        await running.join()


def build_cell() -> SnapshotCell:
    route = Route("sketches", Match("/", ("GET",)), "portafolio", Contract(idempotent=True))
    document = Document((Section("arte", (Upstream("portafolio"),), (route,)),))
    manifest = Manifest(3, 0, ())
    cell = SnapshotCell()
    cell.replace(build_snapshot(identify_version(manifest), manifest, document))
    return cell


def describe_peer(node: FakeNode) -> PeerStatus:
    return PeerStatus(
        node.vm, "lima-a", "portafolio", Standing.UP_TO_DATE, operator_address=node.address
    )


@contextmanager
def serve(*nodes: FakeNode) -> Iterator[None]:
    stopped = threading.Event()

    async def main() -> None:
        tasks = [await curio.spawn(node.run) for node in nodes]
        while not stopped.is_set():
            await curio.sleep(0.005)
        for task in tasks:
            await task.cancel()

    thread = threading.Thread(target=curio.run, args=(main,))
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


def build_pair(second: VersionRef, *, bad: int = 0) -> tuple[FakeNode, FakeNode]:
    first = FakeNode("w1", VersionRef(3, "bb" * 16), bad=0)
    second_node = FakeNode("w2", second, bad=bad)
    first.peers = (describe_peer(second_node),)
    return first, second_node


def test_status_of_an_up_to_date_fleet() -> None:
    first, second_node = build_pair(VersionRef(3, "bb" * 16))
    with serve(first, second_node):
        result = runner.invoke(app, ["status", first.address])
    assert result.exit_code == 0, result.output
    assert "Version 3 (bbbbbbbb) is in force on 2 of 2 nodes" in result.output
    assert "Requests under which workers ended" in result.output
    assert "aa/bb" in result.output


def test_status_lists_the_lagging_node() -> None:
    first, second_node = build_pair(VersionRef(2, "aa" * 16))
    with serve(first, second_node):
        text_result = runner.invoke(app, ["status", first.address])
        json_result = runner.invoke(app, ["status", "--json", first.address])
    assert (text_result.exit_code, json_result.exit_code) == (1, 1)
    assert "Nodes that lag" in text_result.output
    view = json.loads(json_result.output)
    assert [(node["vm"], node["standing"]) for node in view["nodes"]] == [
        ("w1", "level"),
        ("w2", "lagging"),
    ]


def test_burn_merges_the_reports_of_all_peers_of_one_node(tmp_path: Path) -> None:
    first, second_node = build_pair(VersionRef(3, "bb" * 16), bad=20)
    page = tmp_path / "burn.html"
    with serve(first, second_node):
        json_result = runner.invoke(
            app, ["report", "burn", "--json", "--html", str(page), first.address]
        )
        text_result = runner.invoke(app, ["report", "burn", first.address, second_node.address])
    assert (json_result.exit_code, text_result.exit_code) == (1, 1), json_result.output
    (contract,) = json.loads(json_result.output)["contracts"]
    assert (contract["requests"], contract["bad"]) == (200, 20)
    assert "arte / sketches" in text_result.output and "2 nodes" in text_result.output
    assert page.read_text().startswith("<!DOCTYPE html>")


def test_burn_lists_nodes_without_figures() -> None:
    first, second_node = build_pair(VersionRef(3, "bb" * 16))
    missing = PeerStatus("w3", "lima-b", "portafolio", Standing.UNREACHABLE, reason="no answer")
    first.peers = (*first.peers, missing)
    with serve(first, second_node):
        result = runner.invoke(app, ["report", "burn", first.address])
    assert result.exit_code == 3
    assert "no figures: w3: no answer" in result.output


@pytest.mark.parametrize("command", [["status"], ["report", "burn"]])
def test_unreachable_or_malformed_address_is_a_one_line_error(command: list[str]) -> None:
    stopped_node = FakeNode("w1", VersionRef(3, "bb" * 16), bad=0)
    address = stopped_node.address
    curio.run(stopped_node.server._sock.close())
    unreachable = runner.invoke(app, [*command, address])
    malformed = runner.invoke(app, [*command, "nowhere"])
    assert (unreachable.exit_code, malformed.exit_code) == (3, 2)
    assert f'"{address}" cannot be reached' in unreachable.stderr
    assert malformed.stderr.count("\n") == 1


def test_keys_are_printed_as_a_fragment_of_settings() -> None:
    text_result = runner.invoke(app, ["keys"])
    json_result = runner.invoke(app, ["keys", "--json"])
    pair = json.loads(json_result.output)
    assert KeySettings(**pair).public != KeySettings(**pair).secret
    key_settings = read_settings("w1", text_result.output).keys
    assert key_settings is not None and len(key_settings.secret) == 40
