"""From a confirmed configuration to the route of a request: nothing confirmed may be lost."""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest
from fakes_store import make_configuration
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.document import MAX_WEIGHT
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import (
    Manifest,
    SectionRef,
    compute_digest,
    decode_manifest,
    encode_manifest,
    identify_version,
)
from trefoilpick.platform.configuration import convert_configuration
from trefoilpick.platform.configuration_fields import decode_configuration
from trefoilpick.platform.names import convert_name
from trefoilpick.snapshots import Snapshot
from trefoilpick.versions import VersionStore, prepare_snapshot

MAX_VALUE_BYTES = 1_000_000


@dataclass
class Follower:
    """The part of a node between the store's value and the enforced snapshot."""

    store: VersionStore = field(default_factory=VersionStore)
    snapshot: Snapshot | None = None

    def enforce(self, configuration: dict[str, Any]) -> Snapshot:
        """Enforce a configuration as a change of the one before."""
        converted = convert_configuration(decode_configuration(msgspec.json.encode(configuration)))
        texts = [msgspec.json.encode(section) for section in converted.sections]
        refs = tuple(
            SectionRef(section.team, compute_digest(text), len(text))
            for section, text in zip(converted.sections, texts, strict=True)
        )
        manifest = decode_manifest(
            encode_manifest(Manifest(configuration["version"], 0, refs)),
        )
        for ref, text in zip(refs, texts, strict=True):
            self.store.add_text(ref, text)
        assert self.store.add_version(manifest)
        self.snapshot = prepare_snapshot(manifest, self.store, enforced=self.snapshot)
        self.store.drop_unused(enforced=identify_version(manifest))
        return self.snapshot


def enforce(**fields: Any) -> Snapshot:
    return Follower().enforce(make_configuration(**fields))


def look_up(snapshot: Snapshot, host: str, path: str) -> object:
    """Return everything that decides how a request is handled."""
    try:
        return snapshot.find_route(host.lower(), "GET", path)
    except TrefoilpickError as error:
        return error.kind, error.text


def list_services(snapshot: Snapshot, host: str, path: str) -> list[str]:
    route = snapshot.find_route(host.lower(), "GET", path)
    return [share.upstream.name for share, _ in route.shares] or [route.upstream.name]


def make_routes(**changes: Any) -> list[dict[str, Any]]:
    first, second = make_configuration()["routes"]
    return [{**first, **changes}, second]


NAMES = st.text(min_size=1, max_size=80)
HOSTS = st.text("abzAZ059-._", min_size=1, max_size=253)
PREFIXES = st.lists(st.text("abZ09-._~%:@!$&'()*+,;=é", max_size=12), max_size=6).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)
TIMES = st.one_of(
    st.integers(1, 2**70),
    st.floats(1e-6, 1e300, allow_nan=False, allow_infinity=False, exclude_min=True),
)
WEIGHTS = st.one_of(
    st.sampled_from([0, 0.0, 1, 2**60, 1e-9, 5e-324, 1e308]),
    st.integers(0, 200),
    st.floats(0, 1),
)
LIMITS = st.fixed_dictionaries(
    {},
    optional={
        "max-header-bytes": st.integers(1, 2**70),
        "max-body-bytes": st.integers(0, 2**70),
        "header-timeout": TIMES,
        "idle-timeout": TIMES,
        "unknown": st.none(),
    },
)


@st.composite
def draw_configurations(draw: st.DrawFn) -> dict[str, Any]:
    names = draw(st.lists(NAMES, min_size=1, max_size=5, unique=True))
    services = [
        {"name": name, "max-connections": draw(st.integers(1, 2**70)), "extra": [name]}
        for name in names
    ]
    matches = draw(st.lists(st.tuples(HOSTS, PREFIXES), max_size=12, unique=True))
    matches = list({(host.lower(), prefix): (host, prefix) for host, prefix in matches}.values())
    keys = draw(st.lists(NAMES, min_size=len(matches), max_size=len(matches), unique=True))
    routes = []
    for name, (host, prefix) in zip(keys, matches, strict=True):
        route = {
            "name": name,
            "hostname": host,
            "path-prefix": prefix,
            "kind": draw(st.sampled_from(["idempotent", "non_idempotent", "other"])),
            "timeout": draw(TIMES),
            "target-latency": draw(TIMES),
            "priority": draw(st.integers(-(2**70), 2**70)),
            "max-attempts": draw(st.integers(-(2**70), 2**70)),
            "note": None,
        }
        weights = draw(st.lists(WEIGHTS, max_size=4))
        if any(weights):
            route["traffic-split"] = [
                {"service": draw(st.sampled_from(names)), "weight": weight} for weight in weights
            ]
        else:
            route["service"] = draw(st.sampled_from(names))
        for optional in ("kind", "target-latency", "priority", "max-attempts", "name"):
            if draw(st.integers(0, 9)) == 0:
                del route[optional]
        routes.append(route)
    configuration = {"version": 5, "routes": routes, "services": services, "other": {"a": 1}}
    if draw(st.booleans()):
        configuration["limits"] = draw(LIMITS)
    return configuration


def convert_to_tables(configuration: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration with tables by name in place of lists."""
    tables = {
        part: {
            entry.get("name", f"key-{number}"): {k: v for k, v in entry.items() if k != "name"}
            for number, entry in enumerate(configuration[part])
        }
        for part in ("routes", "services")
    }
    return {**configuration, **tables}


def check_all_routes(snapshot: Snapshot, routes: list[dict[str, Any]]) -> None:
    for route in routes:
        shares = route.get("traffic-split") or [route]
        found = list_services(snapshot, route["hostname"], route["path-prefix"] + "x")
        assert found == [convert_name(share["service"]) for share in shares]
        found = list_services(snapshot, route["hostname"], route["path-prefix"])
        assert found == [convert_name(share["service"]) for share in shares]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(draw_configurations(), st.booleans())
def test_every_route_of_any_valid_configuration_is_found(
    configuration: dict[str, Any], is_table: bool
) -> None:
    written = convert_to_tables(configuration) if is_table else configuration
    check_all_routes(Follower().enforce(written), configuration["routes"])


FAULTS = st.tuples(
    st.sampled_from(
        ["timeout", "hostname", "path-prefix", "service", "traffic-split", "name", "kind"]
    ),
    st.one_of(st.none(), st.integers(), st.text(max_size=3), st.lists(st.none(), max_size=2)),
    st.booleans(),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(draw_configurations(), st.lists(FAULTS, min_size=1, max_size=3), st.randoms())
def test_no_route_of_a_configuration_with_faulty_routes_is_unknown(
    configuration: dict[str, Any], faults: list[tuple[str, Any, bool]], rng: random.Random
) -> None:
    """A route that cannot be used is refused as not run; its requests do not get 404."""
    routes = configuration["routes"]
    original = copy.deepcopy(routes)
    if not routes:
        return
    for name, value, is_dropped in faults:
        faulty = rng.choice(routes)
        faulty.pop(name, None)
        if not is_dropped:
            faulty[name] = value
    snapshot = Follower().enforce(configuration)
    moved = {
        (route["hostname"], route["path-prefix"])
        for route, before in zip(routes, original, strict=True)
        if (route.get("hostname"), route.get("path-prefix"))
        != (before["hostname"], before["path-prefix"])
        and is_match(route)
    }
    for before, route in zip(original, routes, strict=True):
        if is_match(route) and (route["hostname"], route["path-prefix"]) in moved:
            continue
        outcome = look_up(snapshot, before["hostname"], before["path-prefix"] + "x")
        assert not isinstance(outcome, tuple) or outcome[0] is ErrorKind.ROUTE_UNUSABLE
        if route == before:
            assert not isinstance(outcome, tuple) or moved or len(routes) > 1


def is_match(route: dict[str, Any]) -> bool:
    """Return whether a route's host and path can be read, whatever they are."""
    host, prefix = route.get("hostname"), route.get("path-prefix")
    return isinstance(host, str) and isinstance(prefix, str) and bool(host) and prefix[:1] == "/"


# A limit of 2**40 bytes on bodies made the whole document invalid.
@pytest.mark.parametrize("limit", [2**40 + 1, 2**63, 2**70])
def test_very_large_body_limit_does_not_cost_the_document(limit: int) -> None:
    limits = {**make_configuration()["limits"], "max-body-bytes": limit}
    route = enforce(limits=limits).find_route("ficu.example", "PUT", "/upload/1").route
    assert route.contract.body_limit_bytes == 2**40


# Weights below 0.0005 were all rounded to 0, so that the route was refused.
@pytest.mark.parametrize("largest", [5e-324, 1e-9, 0.0004])
def test_route_with_very_small_weights_keeps_their_proportion(largest: float) -> None:
    split = [{"service": "encargos", "weight": largest}, {"service": "portafolio", "weight": 0}]
    route = enforce(routes=make_routes(**{"traffic-split": split}))
    shares = route.find_route("ficu.example", "PUT", "/upload/1").route.shares
    assert shares[0].weight > 0 == shares[1].weight
    assert shares[0].weight <= MAX_WEIGHT


# Without readable tables a configuration was enforced as one without routes: 404 for all requests.
@pytest.mark.parametrize("part", ["routes", "services"])
@pytest.mark.parametrize("value", [None, 5, "r-1", True, ...])
def test_configuration_without_a_readable_table_is_refused_whole(part: str, value: object) -> None:
    configuration = make_configuration()
    configuration[part] = value
    if value is ...:
        del configuration[part]
    with pytest.raises(TrefoilpickError) as caught:
        decode_configuration(msgspec.json.encode(configuration))
    assert caught.value.kind is ErrorKind.MANIFEST_FAULTY


@pytest.mark.parametrize("empty", [[], {}], ids=["list", "table"])
def test_empty_tables_are_valid(empty: object) -> None:
    snapshot = enforce(routes=empty, services=empty)
    assert look_up(snapshot, "ficu.example", "/upload/1")[0] is ErrorKind.NO_ROUTE  # type: ignore


def test_configuration_that_was_cut_short_is_refused_whole() -> None:
    data = msgspec.json.encode(make_configuration())
    for length in range(len(data)):
        with pytest.raises(TrefoilpickError) as caught:
            decode_configuration(data[:length])
        assert caught.value.kind is ErrorKind.MANIFEST_FAULTY


def make_large(
    count: int, services: int, seed: int, longest_prefix: int = 20
) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    rng = random.Random(seed)
    names = [f"svc-{number}" for number in range(services)]
    base = make_configuration()
    routes = []
    for number in range(count):
        prefix = f"/{number}" + "x" * rng.randrange(longest_prefix) + "/"
        host = f"H{rng.randrange(9)}.example"
        route = {**base["routes"][0], "name": f"r{number}", "hostname": host}
        routes.append({**route, "path-prefix": prefix, "service": rng.choice(names)})
    return routes, [{**base["services"][0], "name": name} for name in names]


@pytest.mark.parametrize(
    ("count", "services", "prefix"), [(4_700, 1, 20), (4_400, 800, 20), (800, 3, 1_000)]
)
def test_routes_of_a_value_of_a_megabyte_are_found(count: int, services: int, prefix: int) -> None:
    routes, service_list = make_large(count, services, seed=count, longest_prefix=prefix)
    configuration = make_configuration(routes=routes, services=service_list)
    assert 0.5 * MAX_VALUE_BYTES < len(msgspec.json.encode(configuration)) <= MAX_VALUE_BYTES
    check_all_routes(Follower().enforce(configuration), routes)


# A manifest lists each service, and one over 256,000 bytes was refused with its document.
def test_document_with_thousands_of_services_is_not_refused() -> None:
    base = make_configuration()
    services = [
        *base["services"],
        *({"name": f"svc-{n}", "max-connections": 9} for n in range(5_000)),
    ]
    configuration = make_configuration(services=services)
    assert len(msgspec.json.encode(configuration)) <= MAX_VALUE_BYTES
    check_all_routes(Follower().enforce(configuration), base["routes"])


# A section of unusable routes is not divided, and one over a megabyte cost the whole document.
def test_document_with_a_megabyte_of_unusable_routes_is_not_refused() -> None:
    base = make_configuration()["routes"]
    faulty = [{"name": f"x{n}", "hostname": "h", "path-prefix": f"/{n}/"} for n in range(17_000)]
    configuration = make_configuration(routes=[*base, *faulty])
    assert len(msgspec.json.encode(configuration)) <= MAX_VALUE_BYTES
    snapshot = Follower().enforce(configuration)
    check_all_routes(snapshot, base)
    assert look_up(snapshot, "h", "/16999/x")[0] is ErrorKind.ROUTE_UNUSABLE  # type: ignore


def change(configuration: dict[str, Any], rng: random.Random, spare: list[dict[str, Any]]) -> None:
    """Apply one random change to a configuration."""
    routes, services = configuration["routes"], configuration["services"]
    names = [service["name"] for service in services]
    kind = rng.choice(["add", "remove", "move", "split", "rename", "same", "break", "service"])
    if kind == "add" and spare:
        routes.insert(rng.randrange(len(routes) + 1), spare.pop())
    elif kind == "remove" and routes:
        spare.append(routes.pop(rng.randrange(len(routes))))
    elif kind == "service" and rng.random() < 0.5:
        services.append({**services[0], "name": f"new-{rng.randrange(10)}"})
    elif kind == "service" and len(services) > 1:
        services.pop(rng.randrange(len(services)))
    elif routes and kind in ("move", "split", "rename", "break"):
        route = rng.choice(routes)
        route.pop("traffic-split", None)
        if kind == "move":
            route["service"] = rng.choice(names)
        elif kind == "split":
            chosen = rng.choices(names, k=rng.randrange(1, 4))
            weights = [{"service": name, "weight": rng.randrange(5)} for name in chosen]
            route["traffic-split"] = weights
        elif kind == "rename":
            route["name"] = rng.choice(["same", f"r{rng.randrange(60)}"])
        else:
            route["timeout"] = rng.choice([None, 700, 900])


@pytest.mark.parametrize("seed", range(8))
def test_changes_lead_to_the_same_lookups_as_a_snapshot_built_from_scratch(seed: int) -> None:
    rng = random.Random(seed)
    routes, services = make_large(90, 4, seed)
    configuration = make_configuration(routes=routes[:60], services=services)
    spare = routes[60:]
    matches = {(route["hostname"], route["path-prefix"]) for route in routes}
    follower = Follower()
    for version in range(1, 61):
        for _ in range(rng.randrange(4)):
            change(configuration, rng, spare)
        configuration["version"] = version
        changed = follower.enforce(copy.deepcopy(configuration))
        whole = Follower().enforce(copy.deepcopy(configuration))
        for host, prefix in matches:
            for path in (prefix, prefix + "x", prefix[:-1]):
                assert look_up(changed, host, path) == look_up(whole, host, path)
        assert changed.caller_limits == whole.caller_limits
        assert changed.version == whole.version
