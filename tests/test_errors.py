from pathlib import Path

from trefoilpick import errors
from trefoilpick.errors import ANSWERS, ErrorKind, Outcome, TrefoilpickError, find_answer


def test_documentation_lists_the_answer_of_every_kind() -> None:
    page = (Path(errors.__file__).parents[1] / "docs" / "answers.md").read_text()
    for kind, answer in ANSWERS.items():
        retry = "–" if answer.retry_after_s is None else f"{answer.retry_after_s:g} s"
        row = f"| `{kind.value}` | {answer.status} | `{answer.outcome.value}` | {retry} |"
        assert row in page


def test_status_agrees_with_the_outcome() -> None:
    for kind in ErrorKind:
        for outcome in (None, *Outcome):
            answer = find_answer(TrefoilpickError(kind, "x", outcome=outcome))
            if answer.status in (408, 421, 429, 503):
                assert answer.outcome is Outcome.NOT_RUN
            if answer.outcome is Outcome.NOT_RUN:
                assert answer.status not in (500, 502, 504)


def test_error_overrides_the_defaults_of_its_kind_and_unlisted_kinds_are_internal() -> None:
    with_outcome = TrefoilpickError(ErrorKind.ANSWER_MALFORMED, "x", outcome=Outcome.RUN)
    assert find_answer(with_outcome).outcome is Outcome.RUN
    with_retry_after = TrefoilpickError(ErrorKind.SHED, "x", retry_after_s=9.0)
    assert find_answer(with_retry_after).retry_after_s == 9.0
    unlisted = TrefoilpickError(ErrorKind.TRACE_FAULTY, "x")
    assert find_answer(unlisted) == ANSWERS[ErrorKind.INTERNAL]
