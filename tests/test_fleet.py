from dataclasses import replace

import pytest

from trefoilpick.addresses import split_address
from trefoilpick.errors import TrefoilpickError
from trefoilpick.fleet import build_fleet_view
from trefoilpick.status import (
    EnforcedVersion,
    FleetStatus,
    NodeStatus,
    PeerStatus,
    QuarantineCase,
    RefusedVersion,
    Standing,
    VersionRef,
)

V2, V3 = VersionRef(2, "aa" * 16), VersionRef(3, "bb" * 16)
FAULT = RefusedVersion(3, V3.digest, "document_faulty", 'upstream "x" is not defined')


def build_node(vm: str, version: VersionRef | None, **fields: object) -> NodeStatus:
    status = NodeStatus(
        vm=vm,
        region="lima",
        data_centre="lima-a",
        service="portafolio",
        incarnation=1,
        uptime_s=1.0,
        ready=True,
        version=version,
        newest=version,
    )
    return replace(status, **fields)


def build_peer(vm: str, standing: Standing, version: VersionRef | None) -> PeerStatus:
    number, digest = (version.number, version.digest) if version else (None, None)
    reason = "no answer" if standing is Standing.UNREACHABLE else ""
    return PeerStatus(vm, "lima-b", "portafolio", standing, number, digest, 4.0, reason)


def test_nodes_without_the_newest_version_lag_with_a_reason() -> None:
    fleet = FleetStatus(
        build_node("w1", V2, newest=V3, reasons=("waits for sections",)),
        (
            build_peer("w2", Standing.UP_TO_DATE, V3),
            build_peer("w3", Standing.UNREACHABLE, V2),
            build_peer("w4", Standing.UP_TO_DATE, V2),
        ),
    )
    view = build_fleet_view(fleet, {"w4": build_node("w4", V2)})
    assert view.newest == V3
    assert [(entry.version, entry.nodes) for entry in view.versions] == [(V3, 1), (V2, 2)]
    assert {node.vm: (node.standing, node.reason) for node in view.lagging} == {
        "w1": (
            Standing.LAGGING,
            "knows of version 3 but does not enforce it yet; waits for sections",
        ),
        "w3": (Standing.UNREACHABLE, "no answer"),
        "w4": (Standing.LAGGING, "does not know of version 3"),
    }


def test_no_node_lags_behind_a_version_that_every_node_refused() -> None:
    refusing = {"newest": V3, "refused": (FAULT,)}
    fleet = FleetStatus(
        build_node("w1", V2, **refusing), (build_peer("w2", Standing.UP_TO_DATE, V2),)
    )
    view = build_fleet_view(fleet, {"w2": build_node("w2", V2, **refusing)})
    assert (view.newest, view.lagging) == (V2, ())
    (refusal,) = view.refused
    assert (refusal.version, refusal.text, refusal.nodes) == (V3, FAULT.text, 2)


def test_node_that_refused_the_newest_version_lags() -> None:
    fleet = FleetStatus(build_node("w1", V3), ())
    view = build_fleet_view(fleet, {"w2": build_node("w2", V2, newest=V3, refused=(FAULT,))})
    (lagging,) = view.lagging
    assert (lagging.vm, lagging.standing) == ("w2", Standing.REFUSING)
    assert FAULT.text in lagging.reason


def test_convergence_includes_only_nodes_that_measured_it() -> None:
    def build_status(vm: str, *times: float | None) -> NodeStatus:
        versions = tuple(EnforcedVersion(3, V3.digest, 0, time) for time in times)
        return build_node(vm, V3, versions=versions)

    statuses = {
        "w2": build_status("w2", 300.0),
        "w3": build_status("w3", 900.0),
        "w4": build_status("w4", None),
    }
    view = build_fleet_view(FleetStatus(build_status("w1", 100.0), ()), statuses)
    (convergence,) = view.convergence
    assert (convergence.nodes, convergence.p50_ms, convergence.max_ms) == (3, 300.0, 900.0)


def test_fleet_without_a_version() -> None:
    view = build_fleet_view(FleetStatus(build_node("w1", None), ()), {})
    assert (view.newest, view.versions) == (None, ())
    assert view.lagging[0].reason == "does not know of any version"


@pytest.mark.parametrize("address", ["", "a", ":80", "a:", "a:0", "a:65536", "a:x", "a:²"])
def test_malformed_address_is_refused(address: str) -> None:
    with pytest.raises(TrefoilpickError, match="is not of the form ip:port"):
        split_address(address)


def test_addresses_of_both_families() -> None:
    assert split_address("127.0.0.1:80") == ("127.0.0.1", 80)
    assert split_address("[::1]:80") == ("::1", 80)


def test_quarantined_requests_are_shown_once_with_the_nodes_that_know_them() -> None:
    old = QuarantineCase("aa/bb", "quarantined", "encargos", "advance", 3, 0, 2.0)
    new = replace(old, trials=1, wait_s=55.0)
    suspected = replace(old, fingerprint="cc/dd", state="suspected")
    fleet = FleetStatus(build_node("w1", V2, quarantine=(suspected, old)), ())
    view = build_fleet_view(fleet, {"w2": build_node("w2", V2, quarantine=(new,))})
    assert [(entry.case, entry.nodes) for entry in view.quarantine] == [(new, 2), (suspected, 1)]


def test_evacuated_data_centres_are_shown_with_the_nodes_that_know_them() -> None:
    fleet = FleetStatus(build_node("w1", V2, evacuated=("lima-a", "lima-b")), ())
    view = build_fleet_view(fleet, {"w2": build_node("w2", V2, evacuated=("lima-b",))})
    counts = [(entry.data_centre, entry.nodes) for entry in view.evacuated]
    assert counts == [("lima-a", 1), ("lima-b", 2)]
