from __future__ import annotations

import msgspec
import pytest
from fakes_store import make_configuration

from trefoilpick.checks import check_sections
from trefoilpick.document import CallerLimits, Document, Priority, Share
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import Manifest, identify_version
from trefoilpick.platform.configuration import decode_configuration, list_sections
from trefoilpick.snapshots import Snapshot, build_snapshot


def build_from_configuration(**fields: object) -> Snapshot:
    data = msgspec.json.encode(make_configuration(**fields))
    sections = tuple(list_sections(decode_configuration(data)))
    assert not check_sections(sections)
    manifest = Manifest(1, 0, ())
    return build_snapshot(identify_version(manifest), manifest, Document(sections))


def test_route_settings_are_converted() -> None:
    team_route = build_from_configuration().find_route("ficu.example", "PUT", "/upload/7")
    contract = team_route.route.contract
    assert (team_route.upstream.name, team_route.upstream.connections) == ("encargos", 120)
    assert (contract.idempotent, contract.deadline_ms, contract.retries) == (False, 800, 1)
    assert contract.objective.latency_ms == 250
    assert contract.priority is Priority.INTERACTIVE
    assert contract.body_limit_bytes == 67_108_864


def test_traffic_split_keeps_its_weights() -> None:
    team_route = build_from_configuration().find_route("ficu.example", "GET", "/read/1")
    assert team_route.route.shares == (Share("portafolio", 90), Share("encargos", 10))
    assert [(share.upstream.name, weight) for share, weight in team_route.shares] == [
        ("portafolio", 90),
        ("encargos", 10),
    ]
    assert team_route.route.contract.priority is Priority.DEFERRABLE


def test_caller_limits_apply_to_the_whole_document() -> None:
    assert build_from_configuration().caller_limits == CallerLimits(16_384, 3_000, 15_000)


@pytest.mark.parametrize("data", [b"", b"{}", b"\xff", b'{"version": "x"}'])
def test_invalid_configuration_is_rejected(data: bytes) -> None:
    with pytest.raises(TrefoilpickError) as caught:
        decode_configuration(data)
    assert caught.value.kind is ErrorKind.MANIFEST_FAULTY
