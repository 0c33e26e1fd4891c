"""Expected work of requests, learned beside the worker."""

from __future__ import annotations

import random

import pytest

from trefoilpick.work_estimates import (
    MAX_AGE_S,
    MAX_ROUTES,
    MAX_VALUES,
    MIN_SAMPLES,
    Estimate,
    RequestMarks,
    WorkerSpeed,
    WorkEstimator,
    WorkLedger,
)


def learn(estimator: WorkEstimator, *, times: int = 600, by_method: bool) -> None:
    """Record requests whose callers tell nothing, and whose methods tell the work if asked to."""
    source = random.Random(5)
    for number in range(times):
        method = source.choice(["GET", "POST"])
        mean_s = 0.4 if by_method and method == "POST" else 0.1
        marks = RequestMarks("r", method, "/a/b", f"caller-{source.randrange(5)}")
        estimator.record(marks, mean_s * source.lognormvariate(-0.08, 0.4), number * 0.1)


@pytest.mark.parametrize("by_method", [True, False])
def test_mark_is_used_only_if_it_lowers_the_error(by_method: bool) -> None:
    """A mark that tells nothing would only split the samples and add noise."""
    estimator = WorkEstimator()
    learn(estimator, by_method=by_method)
    useful = {name for name, mark in estimator.routes["r"].marks.items() if mark.is_useful}
    assert useful == ({"method"} if by_method else set())
    post = estimator.estimate(RequestMarks("r", "POST", "/a/b", "caller-9"), 60.0)
    assert post is not None
    assert post.mean_s == pytest.approx(0.4 if by_method else 0.1, rel=0.25)


def test_unknown_and_outdated_times_are_not_estimated() -> None:
    """A guess in place of an unknown time would be compared with real ones."""
    estimator, marks = WorkEstimator(), RequestMarks("r")
    for _ in range(MIN_SAMPLES):
        assert estimator.estimate(marks, 0.0) is None
        estimator.record(marks, 0.1, 0.0)
    assert estimator.estimate(marks, 1.0) == Estimate(pytest.approx(0.1), pytest.approx(0.0))
    assert estimator.estimate(RequestMarks("other"), 1.0) is not None
    assert estimator.estimate(marks, MAX_AGE_S + 1.0) is None


def test_memory_is_bounded() -> None:
    """Identifiers in paths must not grow the memory of a node."""
    estimator = WorkEstimator()
    for number in range(MAX_ROUTES * 2):
        estimator.record(RequestMarks(f"r-{number}"), 0.1, 0.0)
        estimator.record(RequestMarks("r", path=f"/{number}"), 0.1, 0.0)
    assert len(estimator.routes) == MAX_ROUTES
    assert len(estimator.routes["r"].marks["segment"]._times) == MAX_VALUES


def test_remaining_time_grows_once_a_request_overruns() -> None:
    """A stalled worker would otherwise look as if it were about to become idle."""
    estimate = Estimate(0.1, 0.04)
    assert estimate.estimate_remaining(0.0) == 0.1
    assert estimate.estimate_remaining(0.05) < 0.1
    remaining_s = [estimate.estimate_remaining(0.1 * times) for times in (2, 4, 8, 100)]
    assert remaining_s == sorted(remaining_s)
    assert remaining_s[-1] > 1.0


def test_speed_is_steady_under_noise_and_falls_quickly() -> None:
    """Noise must not move requests about; a worker that turns slow must lose them at once."""
    source, speed = random.Random(5), WorkerSpeed()
    speeds = []
    for _ in range(2_000):
        speed.record(0.1, 0.1 / 1.5 * source.lognormvariate(-0.08, 0.4))
        speeds.append(speed.speed)
    assert all(1.2 < value < 1.8 for value in speeds[100:] if value is not None)
    for _ in range(15):
        speed.record(0.1, 0.1 / 1.5 * 5 * source.lognormvariate(-0.08, 0.4))
    assert speed.speed is not None
    assert speed.speed < 0.6


def test_ledger_sums_running_and_waiting_work() -> None:
    """The report must cover requests that still wait, and say when anything is unknown."""
    ledger = WorkLedger()
    first, second = RequestMarks("r", expected_s=0.2), RequestMarks("r")
    assert ledger.estimate_remaining(0.0) is None
    for _ in range(MIN_SAMPLES):
        ledger.start(first, 0.0)
        ledger.finish(first, 0.1, 0.1)
    assert ledger.estimate_remaining(0.1) == 0.0
    ledger.start(first, 1.0)
    with ledger.track_waiting(second, 1.0):
        assert ledger.estimate_remaining(1.0) == pytest.approx(0.2)
    assert ledger.estimate_remaining(1.0) == pytest.approx(0.1)
    assert ledger.speed.speed == pytest.approx(2.0)
