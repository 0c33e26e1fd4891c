from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.document import MAX_PREFIX_LENGTH, Contract, Match, Route, Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.route_index import RouteIndex, list_prefixes
from trefoilpick.snapshots import TeamRoute

UPSTREAM = Upstream("u")


def make_route(prefix: str, host: str = "h", methods: tuple[str, ...] = ("*",)) -> TeamRoute:
    route = Route(f"r{prefix}", Match(prefix, methods, host), "u", Contract(True))
    return TeamRoute("t", route, UPSTREAM)


def matches(prefix: str, path: str) -> bool:
    """Return whether a path starts with a prefix that ends at a segment boundary."""
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


PATHS = st.text(alphabet="/ab", max_size=9).map(lambda text: f"/{text}")


@settings(derandomize=True, deadline=None, max_examples=300)
@given(PATHS, PATHS)
def test_prefixes_are_those_at_segment_boundaries(path: str, prefix: str) -> None:
    assert (prefix in list_prefixes(path)) == matches(prefix, path)


@given(PATHS)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_prefixes_come_longest_first_and_once(path: str) -> None:
    prefixes = list(list_prefixes(path))
    assert prefixes == sorted(set(prefixes), key=len, reverse=True)


def test_prefixes_of_a_long_path_are_bounded() -> None:
    path = "/a" * 20_000
    prefixes = list(list_prefixes(path))
    assert len(prefixes) <= MAX_PREFIX_LENGTH
    assert max(map(len, prefixes)) == MAX_PREFIX_LENGTH


def test_successor_changes_nothing_in_its_predecessor() -> None:
    first, second, other = make_route("/a"), make_route("/b"), make_route("/a", "other")
    index = RouteIndex().replace((), (first, other))
    successor = index.replace((first,), (second,))
    assert set(index) == {first, other}
    assert set(successor) == {second, other}
    assert successor.find("h", "/a") == ()
    assert successor.find("h", "/b") == (second,)
    assert not successor.replace((second,), ()).has_host("h")


def test_routes_with_other_methods_share_a_prefix() -> None:
    index = RouteIndex().replace((), (make_route("/a", methods=("GET",)),))
    both = index.replace((), (make_route("/a", methods=("PUT",)),))
    assert len(both.find("h", "/a")) == 2
    with pytest.raises(TrefoilpickError, match='match GET "/a"') as caught:
        both.replace((), (make_route("/a", methods=("GET", "POST")),))
    assert caught.value.kind is ErrorKind.DOCUMENT_FAULTY
