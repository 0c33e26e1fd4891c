"""Explanations of choices, from a balancer with known loads and through the command."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from test_balancing import Fleet
from test_cli_operators import FakeNode, runner, serve

from trefoilpick.choices import explain_choice
from trefoilpick.cli import app
from trefoilpick.document import Contract, Document, Match, Route, Section, Share, Upstream
from trefoilpick.errors import TrefoilpickError
from trefoilpick.hops import Load
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.snapshots import Snapshot, build_snapshot
from trefoilpick.status import Choice, VersionRef
from trefoilpick.vms import VmState


def build_version() -> Snapshot:
    shares = (Share("encargos", 9), Share("portafolio", 1), Share("archivo", 0))
    route = Route("pay", Match("/pay", ("POST",)), "encargos", Contract(idempotent=False), shares)
    upstreams = tuple(Upstream(share.upstream, slots=10) for share in shares)
    section = Section("encargos", upstreams, (route,))
    return build_snapshot(VersionId(7, "ab" * 16), Manifest(7, 0, ()), Document((section,)))


def explain(fleet: Fleet, *, path: str = "/pay/now") -> Choice:
    return explain_choice(
        fleet.balancer,
        build_version(),
        fleet.vms,
        host="*",
        method="post",
        path=path,
        now=fleet.now,
    )


# Guards against an explanation that differs from the choice: the worker shown first must be the one
# that gets the request when it is compared with any other.
def test_cheapest_worker_is_listed_first_and_chosen() -> None:
    fleet = Fleet(2)
    busy, idle = (fleet.balancer.find("encargos", vm.name, fleet.now) for vm in fleet.vms)
    assert busy is not None and idle is not None
    busy.record_load(Load("vm-1", 5, 7, "", 8, 0, 10, leaving=False), fleet.now)
    choice = explain(fleet)
    shares = [(upstream.upstream, upstream.weight) for upstream in choice.upstreams]
    assert shares == [("encargos", 9), ("portafolio", 1)]
    first, second = choice.upstreams[0].candidates
    assert (first.vm, second.vm, second.utilisation) == ("vm-2", "vm-1", 0.8)
    assert first.cost < second.cost
    assert fleet.balancer.choose(Upstream("encargos", slots=10), fleet.now).vm.name == first.vm
    assert choice.has_available


# Guards against an operator being told that a worker may get a request although a gate excludes it.
def test_excluded_workers_are_listed_with_the_reason() -> None:
    fleet = Fleet(4)
    evacuated = replace(fleet.vms[2], state=VmState.LEAVING, evacuated=True)
    limited = fleet.balancer.find("encargos", "vm-1", fleet.now)
    leaving = fleet.balancer.find("encargos", "vm-2", fleet.now)
    assert limited is not None and leaving is not None
    limited.record_rate_refusal(fleet.now, 2.0)
    leaving.record_load(Load("vm-2", 5, 7, "", 0, 0, 10, leaving=True), fleet.now)
    unreachable = fleet.vms[3]
    fleet.vms = fleet.vms[:2]
    fleet.now += 0.6
    fleet.balancer.get_service("encargos", fleet.now)
    fleet.vms = (*fleet.vms, evacuated, unreachable)
    choice = explain(fleet)
    reasons = {found.vm: found.excluded for found in choice.upstreams[0].candidates}
    assert reasons == {
        "vm-1": "rate_limited",
        "vm-2": "leaving",
        "vm-3": "evacuated",
        "vm-4": "unreachable",
    }
    assert not replace(choice, upstreams=choice.upstreams[:1]).has_available


# Guards against a path without a route being shown as served.
def test_request_without_a_route_is_refused() -> None:
    with pytest.raises(TrefoilpickError, match="no route"):
        explain(Fleet(1), path="/other")


# Guards against the command reporting success where no worker may get the request, and against
# output that does not fit a terminal of 80 columns.
def test_command_shows_the_choice_of_a_running_node() -> None:
    choice = explain(Fleet(2))
    requests: list[tuple[str, str, str]] = []

    def answer(host: str, method: str, path: str) -> Choice:
        requests.append((host, method, path))
        return choice if path == "/pay" else Choice("w1", refusal=f'no route for "{path}"')

    node = FakeNode("w1", VersionRef(3, "bb" * 16), bad=0)
    node.server._explain = answer
    command = ["where", node.address, "/pay", "--host", "a.example", "--method", "POST"]
    with serve(node):
        shown = runner.invoke(app, command, env={"COLUMNS": "80"})
        as_json = runner.invoke(app, [*command, "--json"])
        refused = runner.invoke(app, ["where", node.address, "/other?page=1"])
    assert (shown.exit_code, as_json.exit_code, refused.exit_code) == (0, 0, 1), shown.output
    assert requests[0] == ("a.example", "POST", "/pay") and requests[2][2] == "/other"
    assert "Route pay of team encargos" in shown.output
    assert all(len(line) <= 80 for line in shown.output.splitlines())
    assert json.loads(as_json.output)["upstreams"][0]["candidates"][0]["vm"] == "vm-1"
    assert 'The request is refused: no route for "/other"' in refused.output
