import itertools
import os

import msgspec
import pytest
from fakes_fleet import make_section, make_version
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import (
    Manifest,
    SectionRef,
    VersionId,
    compute_digest,
    identify_version,
)
from trefoilpick.revisions import compose_revision
from trefoilpick.sections import encode_section
from trefoilpick.snapshots import Snapshot
from trefoilpick.versions import KEPT_MANIFESTS, VersionStore, prepare_snapshot

VARIANTS = st.dictionaries(
    st.sampled_from([f"team-{number}" for number in range(5)]), st.integers(0, 2), max_size=5
)


def open_store(*versions: tuple[Manifest, dict[str, bytes]]) -> VersionStore:
    store = VersionStore()
    for manifest, texts in versions:
        for ref in store.list_missing(manifest):
            store.add_text(ref, texts[ref.digest])
        assert store.add_version(manifest)
    return store


@settings(derandomize=True, deadline=None, max_examples=60)
@given(VARIANTS, VARIANTS, st.booleans())
def test_delivery_against_any_base_yields_the_version(
    one: dict, other: dict, has_base: bool
) -> None:
    first, second = make_version(1, one), make_version(2, other)
    store = open_store(first, second)
    follower = open_store(first) if has_base else VersionStore()
    delivery = store.build_delivery(identify_version(second[0]), follower.newest)
    assert delivery is not None
    manifest = follower.resolve_manifest(delivery)
    assert manifest == second[0]
    refs = {ref.digest: ref for ref in manifest.sections}
    for section in delivery.sections:
        follower.add_packed(refs[section.digest.hex()], section.packed)
    assert follower.add_version(manifest)
    snapshot = prepare_snapshot(manifest, follower, enforced=None)
    assert [section.team for section in snapshot.document.sections] == sorted(other)
    if has_base:
        assert {s.digest.hex() for s in delivery.sections} <= set(second[1]) - set(first[1])


def test_inconsistent_delivery_is_refused() -> None:
    first, second = make_version(1, {"a": 0, "b": 0}), make_version(2, {"a": 1, "b": 0})
    store, follower = open_store(first, second), open_store(first)
    delivery = store.build_delivery(identify_version(second[0]), follower.newest)
    assert delivery is not None
    inconsistent = [
        msgspec.structs.replace(delivery, refs=()),
        msgspec.structs.replace(delivery, removed=("b",)),
        msgspec.structs.replace(delivery, accepted_at_ms=5),
        msgspec.structs.replace(delivery, base=delivery.version),
    ]
    for changed in inconsistent:
        with pytest.raises(TrefoilpickError) as caught:
            follower.resolve_manifest(changed)
        assert caught.value.kind is ErrorKind.DIGEST_MISMATCH
    manifest = follower.resolve_manifest(delivery)
    with pytest.raises(TrefoilpickError):
        follower.add_text(manifest.sections[0], make_section("a", 2))
    assert follower.list_missing(manifest) == manifest.sections[:1]
    assert not follower.add_version(manifest)


def test_only_newer_versions_are_added() -> None:
    one, other = make_version(2, {"a": 1}), make_version(2, {"a": 2})
    low, high = sorted((one, other), key=lambda version: identify_version(version[0]))
    store = open_store(low, high)
    assert store.newest == identify_version(high[0])
    assert not store.add_version(low[0])
    assert not store.add_version(make_version(1, {"a": 1})[0])


# Guards against going back to content that the source shows again only because it was restored.
def test_later_confirmation_wins_unless_the_source_was_restored() -> None:
    one, other = make_version(2, {"a": 1})[0], make_version(2, {"a": 2})[0]
    store = VersionStore()
    first = identify_version(one, confirmed_at=compose_revision(0, 30))
    copied = identify_version(one, confirmed_at=compose_revision(1, 30))
    second = identify_version(other, confirmed_at=compose_revision(1, 31))
    again = identify_version(one, confirmed_at=compose_revision(1, 33))
    add_confirmed(store, one, first)
    assert not store.is_newer(copied)
    store.record_confirmation(copied)
    assert store.newest is not None and store.newest.confirmed_at == first.confirmed_at
    assert store.is_newer(second)
    add_confirmed(store, other, second)
    assert not store.is_newer(first) and not store.is_newer(copied)
    assert store.is_newer(again)
    add_confirmed(store, one, again)
    assert not store.is_newer(second)


# Guards against a confirmation that is lost because its revision is that of an earlier era.
def test_content_confirmed_again_at_its_former_revision_wins() -> None:
    one, other = make_version(2, {"a": 1})[0], make_version(2, {"a": 2})[0]
    store = VersionStore()
    first = identify_version(one, confirmed_at=compose_revision(0, 30))
    second = identify_version(other, confirmed_at=compose_revision(1, 20))
    again = identify_version(one, confirmed_at=compose_revision(1, 30))
    add_confirmed(store, one, first)
    assert not store.is_newer(again)
    add_confirmed(store, other, second)
    assert not store.is_newer(first)
    assert store.is_newer(again)
    add_confirmed(store, one, again)
    assert not store.is_newer(second)


def test_version_confirmed_again_keeps_its_identity_and_supersedes_earlier_content() -> None:
    one, other = make_version(2, {"a": 1})[0], make_version(2, {"a": 2})[0]
    store = VersionStore()
    add_confirmed(store, one, identify_version(one, confirmed_at=compose_revision(0, 30)))
    again = identify_version(one, confirmed_at=compose_revision(1, 25))
    assert not store.is_newer(again)
    store.record_confirmation(again)
    assert store.newest == again and store.newest.confirmed_at == again.confirmed_at
    assert not store.is_newer(identify_version(other, confirmed_at=compose_revision(1, 24)))


# A node of an earlier release neither sends nor reads when a version was confirmed.
@pytest.mark.parametrize("variant", [1, 2])
def test_offer_without_a_confirmation_never_supersedes_a_confirmed_version(variant: int) -> None:
    one, other = make_version(2, {"a": variant})[0], make_version(2, {"a": 3 - variant})[0]
    store = VersionStore()
    add_confirmed(store, one, identify_version(one, confirmed_at=7))
    assert not store.is_newer(identify_version(other))
    assert store.is_newer(identify_version(make_version(3, {})[0]))


@st.composite
def draw_confirmations(draw: st.DrawFn) -> list[tuple[Manifest, int]]:
    """Return what a source shows over time: increasing numbers, a restore, and further ones."""
    kept: list[tuple[Manifest, int]] = [(Manifest(1, 0, ()), 5)]
    shown = [(kept[0][0], compose_revision(0, 5))]
    steps = st.tuples(st.integers(1, 2), st.integers(1, 2), st.integers(1, 2))
    for era, count in enumerate((draw(st.integers(1, 3)), draw(st.integers(1, 3)))):
        if era:
            kept = kept[: draw(st.integers(1, len(kept)))]
            shown.append((kept[-1][0], compose_revision(era, kept[-1][1])))
        for _ in range(count):
            number, revision, content = draw(steps)
            manifest = Manifest(kept[-1][0].number + number, content, ())
            kept.append((manifest, kept[-1][1] + revision))
            shown.append((manifest, compose_revision(era, kept[-1][1])))
    return shown


# Guards against nodes that never agree, as they heard of confirmations in different orders.
@settings(max_examples=300, deadline=None)
@given(shown=draw_confirmations(), data=st.data())
def test_stores_agree_whichever_confirmations_they_saw_first(
    shown: list[tuple[Manifest, int]], data: st.DataObject
) -> None:
    stores = [VersionStore() for _ in range(4)]
    for store in stores:
        for manifest, confirmed_at in data.draw(st.lists(st.sampled_from(shown), max_size=6)):
            offer(store, manifest, confirmed_at)
    offer(stores[0], *shown[-1])
    for _ in range(4):
        for store in stores:
            for other in stores:
                if other.newest is not None:
                    manifest = other.find_manifest(other.newest)
                    assert manifest is not None
                    offer(store, manifest, other.newest.confirmed_at)
    assert len({store.newest for store in stores}) == 1


def offer(store: VersionStore, manifest: Manifest, confirmed_at: int) -> None:
    """Offer a version without sections to a store, as a reader or a peer does."""
    version = identify_version(manifest, confirmed_at=confirmed_at)
    if store.is_newer(version):
        assert store.add_version(manifest, confirmed_at=confirmed_at)
        store.drop_unused(enforced=version)
    else:
        store.record_confirmation(version)


def add_confirmed(store: VersionStore, manifest: Manifest, version: VersionId) -> None:
    for ref in store.list_missing(manifest):
        text = make_section("a", 1)
        store.add_text(ref, text if compute_digest(text) == ref.digest else make_section("a", 2))
    assert store.add_version(manifest, confirmed_at=version.confirmed_at)


def test_section_listed_under_another_team_is_refused() -> None:
    text = make_section("a", 0)
    ref = SectionRef("b", compute_digest(text), len(text))
    manifest = Manifest(1, 0, (ref,))
    store = open_store((manifest, {ref.digest: text}))
    with pytest.raises(TrefoilpickError, match='"a" is listed under team "b"'):
        prepare_snapshot(manifest, store, enforced=None)


def make_document(*sections: Section) -> tuple[Manifest, dict[str, bytes]]:
    """Return a version with the given sections, and their texts by digest."""
    texts = {section.team: encode_section(section) for section in sections}
    refs = tuple(
        SectionRef(team, compute_digest(texts[team]), len(texts[team])) for team in sorted(texts)
    )
    manifest = Manifest(next(NUMBERS), 0, refs)
    return manifest, {compute_digest(text): text for text in texts.values()}


def prepare(*versions: tuple[Manifest, dict[str, bytes]]) -> Snapshot:
    """Enforce versions one after the other, each as a change of the one before."""
    store, snapshot = open_store(*versions), None
    for manifest, _ in versions:
        snapshot = prepare_snapshot(manifest, store, enforced=snapshot)
    assert snapshot is not None
    return snapshot


NUMBERS = itertools.count(1)
UPSTREAMS = Section("up", (Upstream("u"), Upstream("v")))


def make_routes(team: str, *prefixes: str, upstream: str = "u") -> Section:
    routes = (
        Route(f"r{number}", Match(prefix, ("*",)), upstream, Contract(True))
        for number, prefix in enumerate(prefixes)
    )
    return Section(team, routes=tuple(routes))


PREFIX_SETS = st.dictionaries(st.sampled_from("abc"), st.sets(st.sampled_from("123456")))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(PREFIX_SETS, PREFIX_SETS)
def test_change_of_an_enforced_version_gives_the_same_as_the_whole(one: dict, other: dict) -> None:
    def build(prefixes: dict) -> tuple[Manifest, dict[str, bytes]]:
        sections = [
            make_routes(team, *(f"/{p}" for p in sorted(prefixes[team]))) for team in prefixes
        ]
        return make_document(UPSTREAMS, *sections)

    first, second = build(one), build(other)
    try:
        before = prepare(first)
    except TrefoilpickError:
        return
    results = []
    for enforced in (None, before):
        store = open_store(first, second)
        try:
            snapshot = prepare_snapshot(second[0], store, enforced=enforced)
            results.append({(e.team, e.route.match.path_prefix) for e in snapshot.routes})
        except TrefoilpickError as error:
            results.append(error.kind)
    assert results[0] == results[1]


def test_overlap_with_a_section_that_did_not_change_is_found() -> None:
    first = make_document(UPSTREAMS, make_routes("a", "/x"), make_routes("b", "/y"))
    second = make_document(UPSTREAMS, make_routes("a", "/x"), make_routes("b", "/y", "/x"))
    with pytest.raises(TrefoilpickError, match='overlaps route "r0" of section "a"'):
        prepare(first, second)


def test_upstream_that_an_unchanged_section_needs_cannot_be_removed() -> None:
    first = make_document(UPSTREAMS, make_routes("a", "/x", upstream="v"))
    second = make_document(Section("up", (Upstream("u"),)), make_routes("a", "/x", upstream="v"))
    with pytest.raises(TrefoilpickError, match='upstream "v" is not defined'):
        prepare(first, second)


def test_changed_upstream_reaches_the_routes_of_unchanged_sections() -> None:
    first = make_document(UPSTREAMS, make_routes("a", "/x"))
    changed = Section("up", (Upstream("u", slots=77), Upstream("v")))
    second = make_document(changed, make_routes("a", "/x"))
    assert prepare(first, second).find_route("h", "GET", "/x").upstream.slots == 77


def test_store_drops_sections_that_no_remaining_version_references() -> None:
    versions = [make_version(number, {"a": number, "b": 0}) for number in range(1, 30)]
    store = open_store(*versions)
    store.drop_unused(enforced=identify_version(versions[0][0]))
    remaining = [v for v in versions if store.find_manifest(identify_version(v[0])) is not None]
    assert remaining == [versions[0], *versions[-KEPT_MANIFESTS:]]
    digests = {digest for _, texts in versions for digest in texts}
    referenced = {digest for _, texts in remaining for digest in texts}
    assert {s.digest.hex() for s in store.list_packed(sorted(digests))} == referenced


def test_delivery_size_is_bounded_and_remaining_sections_are_fetched_by_digest() -> None:
    texts = [f'{{"team":"t{n}","x":"{os.urandom(150_000).hex()}"}}'.encode() for n in range(6)]
    refs = tuple(SectionRef(f"t{n}", compute_digest(t), len(t)) for n, t in enumerate(texts))
    manifest = Manifest(1, 0, refs)
    store = open_store((manifest, {compute_digest(text): text for text in texts}))
    delivery = store.build_delivery(identify_version(manifest), None)
    assert delivery is not None and 0 < len(delivery.sections) < 6
    follower = VersionStore()
    for section in delivery.sections:
        by_digest = {ref.digest: ref for ref in follower.resolve_manifest(delivery).sections}
        follower.add_packed(by_digest[section.digest.hex()], section.packed)
    while missing := follower.list_missing(manifest):
        for section in store.list_packed(ref.digest for ref in missing):
            follower.add_packed(by_digest[section.digest.hex()], section.packed)
    assert follower.add_version(manifest)
