from random import Random

from trefoilpick.ejection import Ejection
from trefoilpick.health import WorkerHealth


def test_failure_rate_needs_several_answers_and_decays() -> None:
    health = WorkerHealth(0.0)
    health.record_result(0.0, failed=True)
    assert health.compute_failing_percent(0.0) == 0
    health.record_result(0.0, failed=True)
    health.record_result(0.0, failed=False)
    health.record_result(0.0, failed=False)
    assert health.compute_failing_percent(0.0) == 50
    assert health.compute_failing_percent(60.0) == 0


def test_new_answers_outweigh_old_failures() -> None:
    health = WorkerHealth(0.0)
    for _ in range(10):
        health.record_result(0.0, failed=True)
    for second in range(1, 21):
        health.record_result(float(second), failed=False)
    assert health.compute_failing_percent(20.0) < 10


def test_a_reported_failure_rate_ejects_at_once_and_a_successful_probe_ends_it() -> None:
    ejection = Ejection()
    ejection.eject(0.0, Random(1))
    assert ejection.is_blocked(0.0)
    assert not ejection.is_blocked(1.0)
    ejection.record_request(1.0)
    assert ejection.is_blocked(1.1)
    ejection.record_success()
    assert not ejection.is_blocked(1.1)
