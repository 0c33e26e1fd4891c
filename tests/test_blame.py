from __future__ import annotations

from random import Random

import pytest

from trefoilpick.blame import MAX_COUNTED, MAX_ENDS, MAX_RUNS, BlameCounter, EndReport, Suspect
from trefoilpick.fingerprints import Fingerprint
from trefoilpick.quarantine import EVIDENCE_S, RELEASED_S, Case, CaseState, QuarantineTable

RUNS_S = (0.01, 0.1, 0.3, RELEASED_S + 1.3)
"""Times for which requests had run when their worker ended, in seconds; the last one began before
the end of another worker."""


class Bench:
    """A counter with a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.table = QuarantineTable(lambda: self.now_s)
        self.counter = BlameCounter(self.table, lambda: self.now_s)
        self.number = 0

    def end(self, *names: str, ran_s: float = 0.01, after_s: float = 1.0) -> list[Case]:
        """Report an end of a worker that ran requests; return the changed cases."""
        self.now_s += after_s
        self.number += 1
        return self.repeat(self.number, *names, ran_s=ran_s)

    def repeat(self, number: int, *names: str, ran_s: float = 0.01) -> list[Case]:
        return self.record(number, [Suspect(make_fingerprint(name), "r", ran_s) for name in names])

    def record(self, number: int, ran: list[Suspect], *, after_s: float = 0.0) -> list[Case]:
        self.now_s += after_s
        return list(self.counter.record(EndReport(number, "encargos", tuple(ran))))

    def list_quarantined(self) -> set[Fingerprint]:
        return {case.fingerprint for case in self.table if case.state is CaseState.QUARANTINED}

    def state(self, name: str) -> CaseState | None:
        states = [c.state for c in self.table if c.fingerprint == make_fingerprint(name)]
        return states[0] if states else None


def make_fingerprint(name: str) -> Fingerprint:
    """Return the fingerprint of "content" or "content/caller"."""
    content, _, caller = name.partition("/")
    return Fingerprint(content.encode().ljust(8), (caller or "x").encode().ljust(8))


def test_third_end_after_each_other_quarantines_a_request() -> None:
    bench = Bench()
    assert bench.end("p") == []
    assert [case.state for case in bench.end("p")] == [CaseState.SUSPECTED]
    (case,) = bench.end("p")
    assert (case.state, case.ends, case.service) == (CaseState.QUARANTINED, 3, "encargos")
    assert bench.end("p") == []


def test_end_that_is_reported_again_counts_once() -> None:
    bench = Bench()
    bench.end("p")
    for _ in range(5):
        assert bench.repeat(bench.number, "p") == []
    assert bench.end("p", "p")[0].ends == 2


# Workers that end together end for another reason than what each of them was running.
def test_ends_at_the_same_time_count_as_one() -> None:
    bench = Bench()
    for _ in range(20):
        bench.end("popular", ran_s=0.2, after_s=0.001)
    assert bench.state("popular") is None


def test_request_that_ran_beside_a_suspected_one_is_not_blamed() -> None:
    bench = Bench()
    bench.end("p", "a")
    bench.end("p", "b")
    bench.end("p", "a", "b")
    assert bench.state("p") is CaseState.QUARANTINED
    bench.end("p", "a", "b")
    bench.end("p", "a", "b")
    assert (bench.state("a"), bench.state("b")) == (None, None)


def test_answer_between_the_ends_clears_a_request() -> None:
    bench = Bench()
    for _ in range(10):
        bench.end("popular")
        bench.end("popular")
        bench.counter.clear(make_fingerprint("popular"))
        bench.table.release(make_fingerprint("popular"))
    assert bench.state("popular") is CaseState.RELEASED


def test_ends_far_apart_do_not_add_up() -> None:
    bench = Bench()
    for _ in range(5):
        assert bench.end("p", after_s=EVIDENCE_S + 1.0) == []


# The same content from one caller after the other would end three workers for each of them.
def test_same_content_from_further_callers_is_quarantined_sooner_and_then_for_any() -> None:
    bench = Bench()
    for _ in range(3):
        bench.end("p/first")
    assert bench.state("p/second") is None
    cases = bench.end("p/second")
    assert {case.fingerprint.caller for case in cases} == {b"second".ljust(8), b""}
    assert bench.table.find_quarantined(make_fingerprint("p/third")) is not None
    assert bench.table.find_quarantined(make_fingerprint("q/third")) is None


# A request comes at any VM, so that each of its callers might end only one or two workers.
def test_ends_under_one_content_add_up_whatever_its_callers() -> None:
    bench = Bench()
    for caller in ("first", "second", "third"):
        bench.end(f"p/{caller}")
    assert bench.table.find_quarantined(make_fingerprint("p/fourth")) is not None


def test_caller_whose_request_was_answered_is_not_blamed_for_the_content() -> None:
    bench = Bench()
    bench.end("p/first", "p/second")
    bench.counter.clear(make_fingerprint("p/second"))
    bench.end("p/first")
    bench.end("p/first", "p/second")
    assert bench.table.find_quarantined(make_fingerprint("p/first")) is not None
    assert bench.table.find_quarantined(make_fingerprint("p/second")) is None


def test_content_that_was_answered_for_another_caller_is_not_quarantined_for_any() -> None:
    bench = Bench()
    for caller in ("first", "second", "first"):
        bench.end(f"p/{caller}")
    bench.table.release(make_fingerprint("p/second").for_any_caller)
    bench.table.release(make_fingerprint("p/second"))
    bench.counter.clear(make_fingerprint("p/second"))
    for _ in range(3):
        bench.end("p/third")
    assert bench.table.find_quarantined(make_fingerprint("p/third")) is not None
    assert bench.table.find_quarantined(make_fingerprint("p/second")) is None


# The requests of one end are lost one after the other, so that they come in reports of their own.
# Guards against a caller being blamed for an end, the third one or that of a trial, under a request
# that was already at fault.
@pytest.mark.parametrize("earlier", [2, 3], ids=["third end", "trial"])
@pytest.mark.parametrize("names", [("p/first", "p/other"), ("p/other", "p/first")])
def test_caller_beside_another_is_not_blamed_by_a_report_of_its_own(
    names: tuple[str, str], earlier: int
) -> None:
    bench = Bench()
    for _ in range(earlier):
        bench.end("p/first")
    bench.end(names[0])
    bench.repeat(bench.number, names[1])
    bench.repeat(bench.number, *names)
    assert bench.table.find_quarantined(make_fingerprint("p/first")) is not None
    assert bench.table.find_quarantined(make_fingerprint("p/other")) is None


# Guards against requests that run beside a poison request adding up to a quarantine of their own.
@pytest.mark.parametrize("names", [("p", "a"), ("a", "p")])
def test_other_requests_of_an_end_are_not_blamed_by_reports_of_their_own(
    names: tuple[str, str],
) -> None:
    bench = Bench()
    bench.end("p")
    bench.end("p")
    for _ in range(3):
        bench.end(names[0])
        bench.repeat(bench.number, names[1])
    assert bench.state("p") is CaseState.QUARANTINED
    assert bench.state("a") is None


# Guards against a verdict being taken back by a later report of the end that led to it.
def test_verdict_stays_when_further_requests_of_the_same_end_are_reported() -> None:
    bench = Bench()
    for _ in range(3):
        bench.end("p")
    for name in ("a", "b", "p/other"):
        assert bench.repeat(bench.number, name) == []
    assert bench.state("p") is CaseState.QUARANTINED
    bench.end("p")
    assert bench.state("p") is CaseState.QUARANTINED


# Guards against a late report of an earlier end lifting the quarantine that rests on it.
def test_verdict_stays_when_further_requests_of_earlier_ends_are_reported() -> None:
    bench = Bench()
    for _ in range(3):
        bench.end("p")
    for number in (1, 3, 2, 3):
        assert bench.repeat(number, f"late-{number}-{bench.now_s}") == []
        bench.now_s += 0.001
    assert bench.state("p") is CaseState.QUARANTINED


# Guards against a request that was answered being blamed again with the rest of the same end.
def test_answered_request_stays_cleared_when_further_requests_of_its_end_are_reported() -> None:
    bench = Bench()
    bench.end("p")
    bench.counter.clear(make_fingerprint("p"))
    bench.repeat(bench.number, "a", "p")
    bench.end("p")
    bench.end("p")
    assert bench.state("p") is CaseState.SUSPECTED


# Guards against a verdict that depends on how the requests of an end are spread over reports.
def test_verdicts_do_not_depend_on_how_ends_are_reported() -> None:
    names = ["p/first", "p/other", "q/first", "a", "b"]
    for seed in range(500):
        random = Random(seed)
        whole, split = Bench(), Bench()
        for number in range(random.randrange(2, 9)):
            ran = [
                Suspect(make_fingerprint(random.choice(names)), "r", random.choice(RUNS_S))
                for _ in range(random.randrange(1, 5))
            ]
            whole.record(number, ran, after_s=RELEASED_S + 1.0)
            split.record(number, ran[:1], after_s=RELEASED_S + 1.0)
            for count in range(1, len(ran)):
                split.record(number, ran[random.choice((0, count)) : count + 1])
            assert split.list_quarantined() == whole.list_quarantined(), f"seed {seed}"


def test_counted_requests_are_bounded() -> None:
    bench = Bench()
    for number in range(MAX_COUNTED + 100):
        bench.end(f"{number}")
    assert len(bench.counter._tallies) == MAX_COUNTED
    assert len(bench.counter._ends) == MAX_ENDS
    for number in range(MAX_RUNS + 100):
        bench.repeat(bench.number, f"{number}")
    assert len(bench.counter._ends[bench.number]) == MAX_RUNS
