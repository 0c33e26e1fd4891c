from __future__ import annotations

from fakes_hop import Bench, FakeHop, connect, run_bench


def test_answers_come_back_whole_on_one_connection() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        for number in range(3):
            told = await caller.ask("POST", "/advance/x?y=1", b"abc", x_request_id=str(number))
            assert (told.status, told.body, told.whole) == (200, b"vm-1:abc", True)
            assert told.headers["x-trefoilpick-version"] == "7"
            assert told.outcome == "run"

    bench = run_bench(main, FakeHop())
    fake = bench.fakes[0]
    assert fake.connections == 1
    assert bench.runs == {"0": 1, "1": 1, "2": 1}
    assert fake.seen[0].head.target == "/advance/x?y=1"
    assert bench.metrics.get_count("trefoilpick_requests_total", result="good") == 3
