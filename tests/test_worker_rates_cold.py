"""The limit on the requests to a cold worker, also across the moment at which it becomes cold."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from trefoilpick.worker_rates import ColdLimit, WorkerRate

COLD_LIMIT = ColdLimit(rate=3.15 * 1.5, slack=8.0)
MAX_PER_S = 3.15 * 1.5 + 8.0


class Sender:
    """Sends as much as the rate allows, on a clock that is advanced by hand."""

    def __init__(self, *, cold_limit: ColdLimit | None = COLD_LIMIT) -> None:
        self.now_s = 1_000.0
        self.rate = WorkerRate(clock=lambda: self.now_s)
        self.rate.set_cold_limit(cold_limit)
        self.sent: list[tuple[float, bool]] = []
        """Time of each request, and whether the worker was cold then."""

    def send(self) -> bool:
        if not self.rate.try_acquire():
            return False
        self.pass_turn()
        return True

    def pass_turn(self) -> bool:
        if not self.rate.try_send():
            return False
        self.sent.append((self.now_s, self.rate.cold_rate is not None))
        return True

    def send_for(self, duration_s: float, *, gap_s: float = 0.01) -> None:
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.send()
            self.now_s += gap_s

    def count_most(self) -> int:
        """Return the most requests in a second that ends with a request to the cold worker."""
        return max(
            sum(end_s - 1.0 <= sent_s <= end_s for sent_s, _ in self.sent)
            for end_s, is_cold in self.sent
            if is_cold
        )


# Guards against crashing a worker that turns cold while it is under full load.
@pytest.mark.parametrize("warm_gap_s", [0.01, 0.05, 0.1, 0.3, 3.0])
def test_no_sliding_second_exceeds_the_bound_when_the_worker_becomes_cold(
    warm_gap_s: float,
) -> None:
    sender = Sender()
    sender.send_for(3.0, gap_s=warm_gap_s)
    sender.rate.set_cold(True)
    sender.send_for(5.0)
    assert sender.count_most() <= MAX_PER_S
    cold = [sent_s for sent_s, is_cold in sender.sent if is_cold]
    first_s = sender.sent[0][0] + 3.0
    assert sum(sent_s - first_s >= 1.2 for sent_s in cold) >= 0.9 * COLD_LIMIT.rate * 3.7


# Guards against a bound that holds only for one change, or only for requests sent at once.
@pytest.mark.parametrize("seed", range(30))
def test_bound_holds_with_any_changes_and_delays_before_sending(seed: int) -> None:
    sender, choices = Sender(), random.Random(seed)
    waiting: list[float] = []
    for _ in range(6_000):
        if choices.random() < 0.002:
            sender.rate.set_cold(sender.rate.cold_rate is None)
        if choices.random() < 0.5 and sender.rate.try_acquire():
            waiting.append(sender.now_s + choices.choice((0.0, 0.0, 0.3, 2.0, 5.0)))
        due = [at_s for at_s in waiting if at_s <= sender.now_s]
        waiting = [at_s for at_s in waiting if at_s > sender.now_s]
        waiting += [at_s for at_s in due if not sender.pass_turn()]
        sender.now_s += choices.expovariate(100.0)
    assert sender.count_most() <= MAX_PER_S


def test_cold_rate_is_used_up_to_its_sustained_rate() -> None:
    sender = Sender()
    sender.rate.set_cold(True)
    sender.send_for(20.0)
    assert len(sender.sent) == pytest.approx(20.0 * COLD_LIMIT.rate, abs=1.5)


# Guards against adding a burst to what the node sent before its restart.
def test_a_node_that_has_just_started_begins_without_burst() -> None:
    sender = Sender()
    sender.rate.set_cold(True)
    assert not sender.send()
    assert sender.rate.estimate_wait() == pytest.approx(1 / COLD_LIMIT.rate)


def test_an_idle_worker_that_becomes_cold_gets_half_of_the_slack_at_once() -> None:
    sender = Sender()
    sender.now_s += 10.0
    sender.rate.set_cold(True)
    assert [sender.send() for _ in range(5)] == [True] * 4 + [False]


# Guards against sending more than a stated limit because the cold rate allows it, and vice versa.
@pytest.mark.parametrize(("stated", "lower"), [(2.0, 2.0), (50.0, COLD_LIMIT.rate)])
def test_the_lower_of_stated_and_cold_rate_applies(stated: float, lower: float) -> None:
    sender = Sender()
    sender.rate.set_limit(stated)
    sender.rate.set_cold(True)
    sender.send_for(10.0)
    assert len(sender.sent) == pytest.approx(10.0 * lower, abs=1.5)
    sender.rate.set_cold(False)
    assert sender.rate.is_limited and sender.rate.limit == stated


# Guards against limiting or counting requests of services without cold workers.
def test_nothing_changes_without_a_cold_limit() -> None:
    sender = Sender(cold_limit=None)
    sender.rate.set_cold(True)
    assert not sender.rate.is_limited and sender.rate.cold_rate is None
    assert all(sender.send() for _ in range(1_000))
    assert sender.rate.estimate_wait(1_000) == 0.0


def test_waits_that_are_estimated_suffice_and_grow_with_the_number() -> None:
    sender = Sender()
    sender.now_s += 10.0
    sender.send_for(0.3)
    sender.rate.set_cold(True)
    waits = [sender.rate.estimate_wait(count) for count in range(1, 40)]
    assert all(earlier <= later for earlier, later in pairwise(waits))
    sender.now_s += waits[0] + 1e-6
    assert sender.send()
