import curio

from trefoilpick.demo import run_demo


def test_demo_meets_all_guarantees() -> None:
    lines: list[str] = []
    result = curio.run(run_demo(on_step=lines.append))
    assert result.refused == 6
    assert set(result.versions_in_force.values()) == {4}
    requests = result.requests
    assert (requests.lost, requests.doubled, requests.cut, requests.false_not_run) == (0, 0, 0, 0)
    assert requests.answered > 100
    assert len(lines) >= 8
