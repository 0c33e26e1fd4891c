import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.metrics import Metrics
from trefoilpick.windows import (
    TIERS,
    WINDOW_S,
    SeriesRef,
    SeriesTable,
    Window,
    merge_histograms,
    open_window_history,
)

REQUESTS = "trefoilpick_requests_total"
CONVERGENCE = "trefoilpick_convergence_microseconds"


def sum_counters(windows: list[Window]) -> int:
    return sum(part.amount for window in windows for part in window.counters)


def list_encoded(windows: list[Window]) -> list[str]:
    return [part.encoded for window in windows for part in window.histograms]


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.lists(st.integers(1, 60_000_000), max_size=4), max_size=70))
def test_windows_sum_to_the_totals(steps: list[list[int]]) -> None:
    metrics = Metrics()
    windows = open_window_history(metrics, now_s=0.0)
    for index, values in enumerate(steps):
        for value in values:
            metrics.count(REQUESTS, value, team="a", route="r", result="good")
            metrics.observe(CONVERGENCE, value)
        windows.advance((index + 1) * WINDOW_S)
    now_s = (len(steps) + 1) * WINDOW_S
    recorded = list(windows.read(now_s, SeriesTable()))
    total = metrics.get_histogram(CONVERGENCE)
    merged = merge_histograms(list_encoded(recorded))
    assert sum_counters(recorded) == metrics.get_count(REQUESTS)
    assert merged.get_total_count() == total.get_total_count()
    assert list(merged.counts) == list(total.counts)
    assert [window.ended_s for window in recorded[:-1]] == [
        window.begun_s for window in recorded[1:]
    ]
    assert (recorded[0].begun_s, recorded[-1].ended_s) == (now_s, 0.0)


def test_history_is_bounded_and_drops_the_oldest() -> None:
    metrics = Metrics()
    windows = open_window_history(metrics, now_s=0.0)
    steps = 50 * 40
    for index in range(steps):
        metrics.count(REQUESTS, team="a", route="r", result="good")
        windows.advance((index + 1) * WINDOW_S)
    recorded = list(windows.read(steps * WINDOW_S, SeriesTable()))
    assert len(recorded) <= sum(tier.max_windows for tier in TIERS)
    assert recorded[0].begun_s >= 6 * 3_600
    assert sum_counters(recorded) * WINDOW_S == recorded[0].begun_s < steps * WINDOW_S


def test_window_closes_after_its_width_and_spans_a_long_pause() -> None:
    metrics = Metrics()
    metrics.count(REQUESTS, 5, team="a", route="r", result="good")
    windows = open_window_history(metrics, now_s=100.0)
    metrics.count(REQUESTS, 2, team="a", route="r", result="good")
    metrics.count("trefoilpick_operator_requests_total", status="200")
    assert not windows.advance(100.0 + WINDOW_S - 1)
    assert windows.advance(100.0 + 3_600)
    table = SeriesTable()
    first, current = windows.read(100.0 + 3_700, table)
    assert (first.begun_s, first.ended_s, current.counters) == (3_700, 100, ())
    assert [(part.series, part.amount) for part in first.counters] == [(0, 2)]
    labels = {"team": "a", "route": "r", "result": "good"}
    assert list(table.list_series()) == [SeriesRef(REQUESTS, labels)]


@pytest.mark.parametrize("text", ["", "???", "HISTFAAA", "AAAA" * 20])
def test_malformed_histogram_is_refused(text: str) -> None:
    with pytest.raises(TrefoilpickError) as caught:
        merge_histograms([text])
    assert caught.value.kind is ErrorKind.MESSAGE_MALFORMED
