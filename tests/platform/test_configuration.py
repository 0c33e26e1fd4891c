from __future__ import annotations

from typing import Any

import msgspec
import pytest
from fakes_store import make_configuration
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET

from trefoilpick.checks import check_sections
from trefoilpick.document import CallerLimits, Document, Priority, Section, Share
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import Manifest, identify_version
from trefoilpick.platform.configuration import ConvertedConfiguration, convert_configuration
from trefoilpick.platform.configuration_fields import decode_configuration
from trefoilpick.platform.names import convert_name
from trefoilpick.sections import decode_section
from trefoilpick.snapshots import Snapshot, build_snapshot


def convert(**fields: object) -> ConvertedConfiguration:
    data = msgspec.json.encode(make_configuration(**fields))
    return convert_configuration(decode_configuration(data))


def build_from_configuration(**fields: object) -> Snapshot:
    sections = convert(**fields).sections
    for section in sections:
        assert decode_section(msgspec.json.encode(section)) == section
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


def find_outcome(snapshot: Snapshot, path: str, host: str = "ficu.example") -> object:
    """Return the route's name, or the kind of error that a request to the path gets."""
    try:
        return snapshot.find_route(host, "GET", path).route.name
    except TrefoilpickError as error:
        return error.kind


def make_routes(**changes: object) -> list[dict[str, Any]]:
    """Return two routes, the first with some fields changed, or dropped if UNSET."""
    first, second = make_configuration()["routes"]
    merged = {**first, **changes}
    return [{name: value for name, value in merged.items() if value is not UNSET}, second]


@pytest.mark.parametrize("kind", ["upload", "non_idempotent", "teleport", 7, None, UNSET])
def test_route_of_any_other_kind_runs_at_most_once(kind: object) -> None:
    snapshot = build_from_configuration(routes=make_routes(kind=kind))
    assert not snapshot.find_route("ficu.example", "PUT", "/upload/7").route.contract.idempotent
    assert find_outcome(snapshot, "/read/1") == "r-2"


def test_unknown_kind_is_reported_with_route_and_value() -> None:
    (fault,) = convert(routes=make_routes(kind="teleport")).faults
    assert fault.entry == 'route "r-1"'
    assert '"teleport"' in fault.text
    assert not convert(routes=make_routes(kind="upload")).faults


@pytest.mark.parametrize(
    "changes",
    [
        {"timeout": "soon"},
        {"timeout": UNSET},
        {"timeout": -1},
        {"service": "archivo"},
        {"service": UNSET},
        {"traffic-split": [{"service": "encargos", "weight": 0}]},
        {"traffic-split": [{"service": "encargos", "weight": "all"}]},
        {"traffic-split": [{"service": "archivo", "weight": 1}]},
        {"traffic-split": 5},
        {"name": "r-2", "path-prefix": "/upload/", "service": "archivo"},
    ],
    ids=repr,
)
def test_unusable_route_is_refused_and_others_hold(changes: dict[str, object]) -> None:
    snapshot = build_from_configuration(routes=make_routes(**changes))
    assert find_outcome(snapshot, "/upload/7") is ErrorKind.ROUTE_UNUSABLE
    assert find_outcome(snapshot, "/read/1") == "r-2"
    assert find_outcome(snapshot, "/elsewhere/") is ErrorKind.NO_ROUTE


@pytest.mark.parametrize(
    "changes", [{"path-prefix": 3}, {"path-prefix": UNSET}, {"path-prefix": "upload"}]
)
def test_unmatched_request_may_belong_to_a_route_without_a_path(
    changes: dict[str, object],
) -> None:
    """A request that matches nothing is refused on that host, since it may be that route's."""
    snapshot = build_from_configuration(routes=make_routes(**changes))
    assert find_outcome(snapshot, "/upload/7") is ErrorKind.ROUTE_UNUSABLE
    assert find_outcome(snapshot, "/read/1") == "r-2"
    assert find_outcome(snapshot, "/upload/7", "other.example") is ErrorKind.NO_ROUTE


@pytest.mark.parametrize("hostname", [3, UNSET, ""])
def test_unmatched_request_may_belong_to_a_route_without_a_host(hostname: object) -> None:
    snapshot = build_from_configuration(routes=make_routes(hostname=hostname))
    assert find_outcome(snapshot, "/upload/7", "any.example") is ErrorKind.ROUTE_UNUSABLE
    assert find_outcome(snapshot, "/read/1") == "r-2"


def test_unusable_route_is_not_replaced_by_one_with_a_shorter_prefix() -> None:
    unusable = {**make_routes()[0], "name": "r-3", "path-prefix": "/read/new/", "timeout": None}
    snapshot = build_from_configuration(routes=[*make_routes(), unusable])
    assert find_outcome(snapshot, "/read/new/1") is ErrorKind.ROUTE_UNUSABLE
    assert find_outcome(snapshot, "/read/1") == "r-2"


def test_routes_with_the_same_match_are_ambiguous() -> None:
    twin = {**make_routes()[0], "name": "r-3"}
    snapshot = build_from_configuration(routes=[*make_routes(), twin])
    assert find_outcome(snapshot, "/upload/7") is ErrorKind.ROUTE_UNUSABLE
    assert find_outcome(snapshot, "/read/1") == "r-2"


def test_service_without_a_name_costs_its_routes() -> None:
    services = make_configuration()["services"]
    services[1]["name"] = None
    snapshot = build_from_configuration(services=services)
    assert find_outcome(snapshot, "/upload/7") is ErrorKind.ROUTE_UNUSABLE


def test_service_and_limits_with_faulty_fields_get_cautious_values() -> None:
    services = make_configuration()["services"]
    services[1]["max-connections"] = "many"
    snapshot = build_from_configuration(services=services, limits={"max-body-bytes": "large"})
    assert find_outcome(snapshot, "/upload/7") == "r-1"
    assert snapshot.caller_limits == CallerLimits(16_384, 3_000, 15_000)
    assert snapshot.upstreams["encargos"].connections == 100


def test_tables_by_name_are_read_like_lists() -> None:
    configuration = make_configuration()
    tables = {
        name: {entry.pop("name"): entry for entry in configuration[name]}
        for name in ("routes", "services")
    }
    snapshot = build_from_configuration(**tables)
    assert find_outcome(snapshot, "/upload/7") == "r-1"
    assert find_outcome(snapshot, "/read/1") == "r-2"


def test_names_that_a_document_does_not_accept_are_replaced() -> None:
    services = make_configuration()["services"]
    services[1]["name"] = "Encargos/2"
    routes = make_routes(service="Encargos/2", name="Ruta Número 1")
    routes[1]["traffic-split"][1]["service"] = "Encargos/2"
    snapshot = build_from_configuration(services=services, routes=routes)
    route = snapshot.find_route("ficu.example", "PUT", "/upload/7")
    assert route.upstream.name == convert_name("Encargos/2")
    assert find_outcome(snapshot, "/read/1") == "r-2"


def test_fractional_weights_keep_their_proportion() -> None:
    split = [{"service": "portafolio", "weight": 0.7}, {"service": "encargos", "weight": 0.1}]
    routes = make_routes(**{"traffic-split": split})
    shares = build_from_configuration(routes=routes).find_route("ficu.example", "PUT", "/upload/7")
    assert [weight for _, weight in shares.shares] == [700, 100]


FIELDS = st.one_of(
    *(
        st.tuples(st.just(part), st.integers(0, 1), st.sampled_from(sorted(entry)))
        for part in ("routes", "services")
        for entry in (make_configuration()[part][0] | make_configuration()[part][1],)
    )
)
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=80),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=5), st.integers(), max_size=2),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(FIELDS, st.sampled_from(["drop", "rename", "replace"]), VALUES)
def test_faulty_field_changes_nothing_but_its_entry(
    field: tuple[str, int, str], change: str, value: object
) -> None:
    """Whatever is wrong with one field, the result is a valid document with all other routes."""
    part, index, name = field
    configuration = make_configuration()
    third = {**configuration["routes"][0], "name": "r-3", "path-prefix": "/third/"}
    third["service"] = "fundicion"
    configuration["routes"].append(third)
    configuration["services"].append({**configuration["services"][0], "name": "fundicion"})
    entry = configuration[part][index]
    if change == "drop":
        entry.pop(name, None)
    elif change == "rename":
        entry[f"{name}-2"] = entry.pop(name, None)
    else:
        entry[name] = value
    snapshot = build_from_configuration(**configuration)
    assert find_outcome(snapshot, "/third/1") == "r-3"
    if part == "routes":
        other = ("/read/1", "r-2") if index == 0 else ("/upload/7", "r-1")
        assert find_outcome(snapshot, other[0]) == other[1]


def make_many_routes(count: int, **changes: dict[str, object]) -> list[dict[str, Any]]:
    """Return routes to one service, some with changed fields by name."""
    route = make_configuration()["routes"][0]
    names = [f"r-{number}" for number in range(count)]
    return [
        {**route, "name": name, "path-prefix": f"/{name}/", **changes.get(name, {})}
        for name in names
    ]


def list_sections_by_name(routes: list[dict[str, Any]]) -> dict[str, Section]:
    sections = convert(routes=routes).sections
    assert [section.team for section in sections] == sorted(section.team for section in sections)
    return {section.team: section for section in sections}


@pytest.mark.parametrize("count", [300, 1_400, 10_000])
def test_change_of_one_route_changes_one_small_section(count: int) -> None:
    """Versions in quick succession, each with one changed route, to links of 5 Mbit/s."""
    before = list_sections_by_name(make_many_routes(count))
    after = list_sections_by_name(make_many_routes(count, **{"r-77": {"timeout": 900}}))
    changed = [name for name in after if after[name] != before[name]]
    assert len(changed) == 1 and before.keys() == after.keys()
    assert len(msgspec.json.encode(after[changed[0]])) < 25_000
    assert {after[changed[0]].owning_team} == {"encargos"}


def test_route_that_moves_to_another_service_is_in_one_section_only() -> None:
    moved = {"r-77": {"service": "portafolio"}}
    sections = list_sections_by_name(make_many_routes(300, **moved)).values()
    assert check_sections(tuple(sections)) == ()
    owners = [s.owning_team for s in sections for route in s.routes if route.name == "r-77"]
    assert owners == ["portafolio"]


@pytest.mark.parametrize("name", ["s" * 63, "encargos.part-0001", "Encargos"])
def test_sections_of_any_service_have_valid_and_distinct_names(name: str) -> None:
    services = make_configuration()["services"]
    services.append({**services[0], "name": name})
    routes = [*make_many_routes(200), *make_many_routes(400)[200:]]
    for route in routes[200:]:
        route["service"] = name
    snapshot = build_from_configuration(services=services, routes=routes)
    assert find_outcome(snapshot, "/r-7/1") == "r-7"
    assert snapshot.find_route("ficu.example", "GET", "/r-300/").team == convert_name(name)
