from __future__ import annotations

from trefoilpick.fingerprints import Fingerprint
from trefoilpick.recent_answers import MAX_ANSWERS, RECENT_S, RecentAnswers


def make_fingerprint(number: int) -> Fingerprint:
    return Fingerprint(b"%08d" % number, b"caller--")


def test_answer_counts_for_a_short_time() -> None:
    answers = RecentAnswers()
    answers.record(make_fingerprint(1), 10.0)
    assert answers.has_answered(make_fingerprint(1), 10.0 + RECENT_S)
    assert not answers.has_answered(make_fingerprint(1), 10.1 + RECENT_S)
    assert not answers.has_answered(make_fingerprint(2), 10.0)


def test_oldest_answers_are_forgotten_first() -> None:
    answers = RecentAnswers()
    for number in range(MAX_ANSWERS + 1):
        answers.record(make_fingerprint(number), 1.0)
    assert not answers.has_answered(make_fingerprint(0), 1.0)
    assert answers.has_answered(make_fingerprint(1), 1.0)
