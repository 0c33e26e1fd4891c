import tracemalloc

import pytest
from returns.result import Failure, Success

from trefoilpick.checks import SectionText, check_document, check_sections
from trefoilpick.sections import decode_section, encode_section

INVALID = """{
  // Confirmations of commissions.
  "team": "encargos",
  "upstreams": [{"name": "encargos", "slots": 0}],
  "routes": [
    {
      "name": "advances", /* not idempotent */
      "match": {"path_prefix": "/advances", "methods": ["POST"]},
      "upstream": "pagos",
      "contract": {"idempotent": "no", "retrys": 2}
    },
    {
      "name": "advances",
      "match": {"path_prefix": "/sketches", "methods": ["GET"]},
      "upstream": "encargos",
    }
  ]
}"""
VALID = """{
  "team": "portafolio",
  "upstreams": [{"name": "portafolio"}, {"name": "encargos"}],
  "routes": [{"name": "sketches", "match": {"path_prefix": "/sketches", "methods": ["HEAD", "GET"]},
              "upstream": "portafolio", "contract": {"idempotent": true}}],
}"""


def test_all_faults_are_reported_with_line_numbers() -> None:
    texts = (SectionText("encargos.jsonc", INVALID), SectionText("portafolio.jsonc", VALID))
    faults = check_document(texts, owners={"encargos": "encargos"}).failure()
    assert [(fault.section, fault.line, fault.path) for fault in faults] == [
        ("encargos", 4, "upstreams[0].slots"),
        ("encargos", 9, "routes[0].upstream"),
        ("encargos", 10, "routes[0].contract.idempotent"),
        ("encargos", 10, "routes[0].contract.retrys"),
        ("encargos", 12, "routes[1].contract"),
        ("encargos", 13, "routes[1].name"),
        ("portafolio", 3, "upstreams[1].name"),
        ("portafolio", 4, "routes[0].match"),
    ]
    fault_texts = " ".join(fault.text for fault in faults)
    assert 'unknown field "retrys", did you mean "retries"?' in fault_texts
    assert 'route "advances": upstream "pagos" is not defined in any section' in fault_texts
    assert 'upstream "encargos" is owned by section "encargos"' in fault_texts
    assert 'overlaps route "advances" of section "encargos": both match GET' in fault_texts


def test_check_sections_finds_the_same_conflicts_in_decoded_sections() -> None:
    (section,) = check_document((SectionText("a", VALID),)).unwrap().sections
    decoded = decode_section(encode_section(section))
    assert check_sections((section,)) == ()
    kinds = {fault.text.partition(" ")[0] for fault in check_sections((section, decoded))}
    assert kinds == {"section", "upstream", "route"}


@pytest.mark.parametrize(
    ("text", "line", "problem"),
    [
        ('{"team": "a",\n "routes" 2}', 2, "malformed JSON"),
        ("[" * 100_000, 1, "nested too deeply"),
        ("1" * 5_000, 1, "malformed JSON"),
        ("[]", 1, "expected an object"),
        ('{"team": "a"\n// " comment\n, "team": "b"}', 3, 'field "team" is given twice'),
        ('{"team": "a", "routes": [\n{"match": {"methods": []}}]}', 2, "lists no method"),
    ],
)
def test_malformed_text_is_a_fault(text: str, line: int, problem: str) -> None:
    faults = check_document((SectionText("a.jsonc", text),)).failure()
    assert any(problem in fault.text and fault.line == line for fault in faults), faults


@pytest.mark.parametrize(
    "text",
    [
        '"' + '\\"' * 200_000,
        "/*" * 200_000,
        "{" + ",".join(f'"a{index}": 0' for index in range(50_000)) + "}",
        "[" * 500 + "1," * 100_000 + "1" + "]" * 500,
        '{"' + "k" * 100_000 + '": [' + "1," * 100_000 + "1]}",
    ],
    ids=["quotes", "comments", "unknown", "deep", "key"],
)
def test_hostile_text_is_checked_in_bounded_time_and_memory(text: str) -> None:
    tracemalloc.start()
    faults = check_document((SectionText("a.jsonc", text),)).failure()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert 1 <= len(faults) <= 1_001
    assert peak_bytes < 100 * len(text)


def test_unclosed_comment_is_malformed() -> None:
    for text in ('{"team": "a"}/* open', '{"team": "a"}/*/'):
        (fault,) = check_document((SectionText("a.jsonc", text),)).failure()
        assert "malformed JSON" in fault.text


def test_section_over_the_size_limit_is_a_fault() -> None:
    upstreams = ",".join(f'{{"name": "{"u" * 40}{index}"}}' for index in range(20_000))
    result = check_document((SectionText("a", f'{{"team": "a", "upstreams": [{upstreams}]}}'),))
    assert [fault.path for fault in result.failure()] == [""]
    assert "over 1000000" in result.failure()[0].text


def test_undefined_upstreams_are_not_reported_if_a_section_is_unreadable() -> None:
    unreadable = SectionText("b.jsonc", "{")
    readable = SectionText("a.jsonc", INVALID)
    paths = [fault.path for fault in check_document((unreadable, readable)).failure()]
    assert "routes[0].upstream" not in paths
    assert isinstance(check_document((SectionText("p", VALID),)), Success)
    assert isinstance(check_document((readable,)), Failure)
