import pytest

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import Manifest, SectionRef, compute_digest
from trefoilpick.versions import VersionStore, prepare_snapshot

OWNER = b'{"team":"a","upstreams":[{"name":"u"}]}'
ROUTE = (
    b'{"team":"%s","routes":[{"name":"r","match":{"path_prefix":"/","methods":["GET"]},'
    b'"upstream":"%s","contract":{"idempotent":true}}]}'
)


def prepare(*texts: bytes, teams: str) -> None:
    store = VersionStore()
    refs = tuple(
        SectionRef(team, compute_digest(text), len(text))
        for team, text in zip(teams, texts, strict=True)
    )
    for ref, text in zip(refs, texts, strict=True):
        store.add_text(ref, text)
    manifest = Manifest(1, 0, refs)
    assert store.hold(manifest)
    snapshot = prepare_snapshot(manifest, store, former=None)
    assert [section.team for section in snapshot.document.sections] == list(teams)


@pytest.mark.parametrize(
    ("texts", "teams", "problem"),
    [
        ((ROUTE % (b"b", b"u"),), "b", 'upstream "u" is not defined'),
        ((OWNER, OWNER.replace(b'"a"', b'"b"')), "ab", 'owned by section "a"'),
        ((OWNER, ROUTE % (b"b", b"u"), ROUTE % (b"c", b"u")), "abc", "overlaps route"),
        ((OWNER.replace(b'"u"', b'"u","slotz":1'),), "a", "slotz"),
        ((OWNER,), "b", 'stands under team "b"'),
        ((b"{",), "a", "section"),
    ],
)
def test_nodes_refuse_a_faulty_version(texts: tuple[bytes, ...], teams: str, problem: str) -> None:
    with pytest.raises(TrefoilpickError, match=problem) as caught:
        prepare(*texts, teams=teams)
    assert caught.value.kind is ErrorKind.DOCUMENT_FAULTY


def test_nodes_prepare_a_sound_version() -> None:
    prepare(OWNER, ROUTE % (b"b", b"u"), teams="ab")
