from pathlib import Path

from trefoilpick import errors
from trefoilpick.errors import ANSWERS, ErrorKind, Outcome, TrefoilpickError, find_answer


def test_page_gives_the_answer_of_every_kind() -> None:
    page = (Path(errors.__file__).parents[1] / "docs" / "answers.md").read_text()
    for kind, answer in ANSWERS.items():
        retry = "–" if answer.retry_after_s is None else f"{answer.retry_after_s:g} s"
        row = f"| `{kind.value}` | {answer.status} | `{answer.outcome.value}` | {retry} |"
        assert row in page


def test_status_promises_no_more_and_no_less_than_the_outcome() -> None:
    for kind in ErrorKind:
        for outcome in (None, *Outcome):
            answer = find_answer(TrefoilpickError(kind, "x", outcome=outcome))
            if answer.status in (408, 421, 429, 503):
                assert answer.outcome is Outcome.NOT_RUN
            if answer.outcome is Outcome.NOT_RUN:
                assert answer.status not in (500, 502, 504)


def test_error_may_be_stronger_than_its_kind_and_a_kind_without_a_row_is_internal() -> None:
    stronger = TrefoilpickError(ErrorKind.ANSWER_MALFORMED, "x", outcome=Outcome.RUN)
    assert find_answer(stronger).outcome is Outcome.RUN
    late = TrefoilpickError(ErrorKind.SHED, "x", retry_after_s=9.0)
    assert find_answer(late).retry_after_s == 9.0
    other = TrefoilpickError(ErrorKind.TRACE_FAULTY, "x")
    assert find_answer(other) == ANSWERS[ErrorKind.INTERNAL]
