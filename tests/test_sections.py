import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.checks import SectionText, check_document
from trefoilpick.document import Contract, Match, Priority, Route, Section, Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import MAX_MANIFEST_BYTES, decode_manifest
from trefoilpick.sections import decode_section, encode_complete, encode_section

PLAIN = Section(
    "encargos",
    (Upstream("encargos"),),
    (Route("pay", Match("/pay", ("POST",)), "encargos", Contract(idempotent=False)),),
)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(min_value=-(10**40), max_value=10**40)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["encargos", "/a", "GET", "interactive", 0, 1e999, 10**30])
)
FIELDS = st.sampled_from(
    ["team", "upstreams", "routes", "name", "match", "contract", "upstream", "methods", "host"]
    + ["path_prefix", "idempotent", "deadline_ms", "priority", "objective", "slots", "number"]
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(FIELDS | st.text(max_size=5), inner, max_size=5),
    max_leaves=30,
)
SECTIONS = st.fixed_dictionaries(
    {},
    optional={
        "team": SCALARS,
        "upstreams": st.lists(
            st.fixed_dictionaries({}, optional={"name": SCALARS, "slots": VALUES})
        ),
        "routes": st.lists(
            st.fixed_dictionaries(
                {},
                optional={"name": SCALARS, "match": VALUES, "contract": VALUES, "upstream": VALUES},
            )
        ),
    },
)
TEXTS = (
    (VALUES | SECTIONS).map(json.dumps)
    | st.text(alphabet="{}[]:,\"'/*\\ \n\x00truefalsnINy019.eEx-+é", max_size=200)
    | st.integers(min_value=1, max_value=100_000).map(lambda depth: '{"a":[' * depth)
)
FUZZ = settings(derandomize=True, deadline=None, max_examples=300)


def test_encoding_is_canonical_and_omits_defaults() -> None:
    explicit = decode_section(
        b'{"routes":[{"name":"pay","upstream":"encargos","match":{"methods":["POST"],"host":"*",'
        b'"path_prefix":"/pay"},"contract":{"idempotent":false,"deadline_ms":5000,"objective":{},'
        b'"priority":"normal"}}],"upstreams":[{"name":"encargos","slots":10}],"team":"encargos"}'
    )
    assert explicit == PLAIN
    assert encode_section(explicit) == encode_section(PLAIN)
    assert b"deadline_ms" not in encode_section(PLAIN)
    with_deadline = Section("a", (), (Route("r", Match("/", ("GET",)), "u", Contract(True, 7)),))
    assert decode_section(encode_section(with_deadline)) == with_deadline
    assert with_deadline.routes[0].contract.priority is Priority.NORMAL


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b'{"team":"a","upstreams":[{"name":"u","slotz":1}]}', r"upstreams\[0\]\.slotz"),
        (b'{"team":"a","upstreams":[{"name":"u","slots":0}]}', r"upstreams\[0\]\.slots"),
        (b'{"team":"a",}', "malformed"),
        (b"\xff", "section"),
        (b"[" * 200_000, "section"),
        (b" " * 1_000_001, "over 1000000"),
    ],
)
def test_invalid_sections_are_rejected(data: bytes, expected: str) -> None:
    with pytest.raises(TrefoilpickError, match=expected) as caught:
        decode_section(data)
    assert caught.value.kind is ErrorKind.DOCUMENT_FAULTY


@FUZZ
@given(st.lists(TEXTS, max_size=3))
def test_any_text_yields_a_document_or_faults(texts: list[str]) -> None:
    sections = tuple(SectionText(str(index), text) for index, text in enumerate(texts))
    result = check_document(sections)
    for fault in result.swap().value_or(()):
        assert fault.line >= 1
        assert fault.text
        assert len(fault.text) < 1_000
    for section in getattr(result.value_or(None), "sections", ()):
        assert decode_section(encode_section(section)) == section


@FUZZ
@given(st.binary(max_size=300) | TEXTS.map(lambda text: text.encode("utf-8", "replace")))
def test_any_bytes_decode_or_raise_a_known_error(data: bytes) -> None:
    for decode in (decode_section, decode_manifest):
        try:
            decode(data)
        except TrefoilpickError as error:
            assert error.kind in (ErrorKind.DOCUMENT_FAULTY, ErrorKind.MANIFEST_FAULTY)


def test_manifest_size_and_section_order_are_checked() -> None:
    ref = '{"team":"%s","digest":"0123456789abcdef0123456789abcdef","size":1}'
    teams = ",".join(ref % team for team in ("b", "a"))
    text = f'{{"number":1,"accepted_at_ms":0,"sections":[{teams}]}}'
    with pytest.raises(TrefoilpickError, match='"a" is duplicated or out of order'):
        decode_manifest(text.encode())
    with pytest.raises(TrefoilpickError, match="over"):
        decode_manifest(b" " * (MAX_MANIFEST_BYTES + 1))


# Guards against nodes of the former release refusing a section that uses none of the newer fields,
# and against a newer field being lost where it is used.
def test_unused_newer_fields_are_omitted() -> None:
    text = encode_complete(PLAIN)
    assert not any(
        name in text
        for name in (b"large_answers", b"large_bodies", b"cold_start_ms", b"cold_rate_per_s")
    )
    assert decode_section(text) == PLAIN
    upstream = Upstream("encargos", cold_start_ms=3_000, cold_rate_per_s=3.15)
    contract = Contract(idempotent=True, large_answers=True, large_bodies=True)
    route = Route("list", Match("/list", ("GET",)), "encargos", contract)
    used = Section("encargos", (upstream,), (route,))
    assert decode_section(encode_complete(used)) == used
