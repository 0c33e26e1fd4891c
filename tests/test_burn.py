from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick._samples import CALLER_FAULTS
from trefoilpick.burn import BurnReport, build_burn_report, compute_burn_rate
from trefoilpick.errors import ANSWERS, ErrorKind, TrefoilpickError
from trefoilpick.metrics import open_histogram
from trefoilpick.reports import ContractObjective, NodeReport
from trefoilpick.windows import CounterDelta, EncodedHistogram, SeriesRef, Window, encode_histogram

CONTRACT = ContractObjective("arte", "sketches", 0.99, 500)
RESULTS = ("good", "slow", "shed", "upstream_lost", "caller_gone", "body_too_large", "no_route")
REFUSED, CONTROL, CONVERGENCE, LATENCY = range(len(RESULTS), len(RESULTS) + 4)
LABELS = {"team": "arte", "route": "sketches"}
SERIES = (
    *(SeriesRef("trefoilpick_requests_total", {**LABELS, "result": name}) for name in RESULTS),
    SeriesRef("trefoilpick_refused_total", {"kind": "not_ready"}),
    SeriesRef("trefoilpick_control_bytes_total", {"direction": "sent"}),
    SeriesRef("trefoilpick_convergence_microseconds", {}),
    SeriesRef("trefoilpick_request_microseconds", LABELS),
)
MADE_AT = "2026-12-03T20:00:00+00:00"


def build_window(
    results: dict[str, int],
    *,
    begun_s: float = 60,
    ended_s: float = 0,
    convergence_ms: tuple[int, ...] = (),
    control_bytes: int = 0,
    refused: int = 0,
) -> Window:
    counters = [CounterDelta(RESULTS.index(name), amount) for name, amount in results.items()]
    counters += [CounterDelta(REFUSED, refused), CounterDelta(CONTROL, control_bytes)]
    histogram = open_histogram()
    for time_ms in convergence_ms:
        histogram.record_value(time_ms * 1_000)
    histograms = (EncodedHistogram(CONVERGENCE, encode_histogram(histogram)),)
    return Window(begun_s, ended_s, tuple(counters), histograms)


def build_report(*windows: Window, vm: str = "w1", data_centre: str = "lima-a") -> NodeReport:
    histogram = open_histogram()
    histogram.record_value(40_000)
    latency = EncodedHistogram(LATENCY, encode_histogram(histogram))
    return NodeReport(vm, data_centre, 1, 3, (CONTRACT,), 60.0, (latency,), SERIES, windows)


def merge_reports(*reports: NodeReport) -> BurnReport:
    return build_burn_report(reports, made_at=MADE_AT)


def test_error_budget_of_a_contract() -> None:
    # At 99%, 1,000 requests have a budget of 10 bad requests; with 4 bad ones, 60% is left.
    window = build_window({"good": 996, "slow": 1, "upstream_lost": 3, "no_route": 50})
    (contract,) = merge_reports(build_report(window)).contracts
    assert (contract.requests, contract.bad, contract.caller_faults) == (1_000, 4, 50)
    assert contract.met == pytest.approx(0.996)
    assert contract.budget_left == pytest.approx(0.6)
    assert [(entry.kind, entry.requests) for entry in contract.burners] == [
        ("upstream_lost", 3),
        ("slow", 1),
    ]
    assert contract.burners[0].share == pytest.approx(0.75)
    assert contract.p99_ms == pytest.approx(40, rel=0.01)


def test_burn_rates_are_limited_to_the_history() -> None:
    old = build_window({"good": 800, "shed": 100}, begun_s=4_000, ended_s=400)
    new = build_window({"good": 98, "shed": 2}, begun_s=400, ended_s=0)
    (contract,) = merge_reports(build_report(old, new)).contracts
    rates = [(rate.period_s, rate.covered_s, rate.requests, rate.bad) for rate in contract.rates]
    assert rates == [
        (300, 400, 100, 2),
        (3_600, 4_000, 1_000, 102),
        (21_600, 4_000, 1_000, 102),
    ]
    assert [rate.rate for rate in contract.rates] == pytest.approx([2.0, 10.2, 10.2])
    recent = merge_reports(build_report(build_window({"good": 1})))
    assert [rate.period_s for rate in recent.contracts[0].rates] == [300]
    assert recent.since_s == 60


def test_burners_are_listed_by_data_centre() -> None:
    reports = [
        build_report(build_window({"good": 10, "shed": 1}), vm="w1", data_centre="lima-a"),
        build_report(build_window({"good": 10, "shed": 5}), vm="w2", data_centre="lima-b"),
        build_report(build_window({}, refused=7), vm="w3", data_centre="lima-c"),
    ]
    report = merge_reports(*reports)
    (contract,) = report.contracts
    assert [(entry.data_centre, entry.requests) for entry in contract.burners] == [
        ("lima-b", 5),
        ("lima-a", 1),
    ]
    (unrouted,) = report.unrouted
    assert (unrouted.data_centre, unrouted.kind, unrouted.requests) == ("lima-c", "not_ready", 7)


def test_report_with_unknown_series_is_rejected() -> None:
    window = Window(60, 0, (CounterDelta(len(SERIES), 1),), ())
    with pytest.raises(TrefoilpickError, match='report of VM "w1" refers to series 11 of 11'):
        merge_reports(build_report(window))


def test_no_rate_without_requests() -> None:
    (contract,) = merge_reports(build_report(build_window({}))).contracts
    assert contract.met is None and contract.budget_left is None
    assert contract.rates[0].rate is None
    assert merge_reports().contracts == ()


def test_convergence_burn_with_one_late_enforcement() -> None:
    within_bound = tuple([400] * 999)
    reports = [
        build_report(build_window({}, convergence_ms=within_bound)),
        build_report(build_window({}, convergence_ms=(9_000,)), vm="w2", data_centre="lima-b"),
    ]
    convergence = merge_reports(*reports).convergence
    assert (convergence.enforcements, convergence.late) == (1_000, 1)
    assert convergence.budget_left == pytest.approx(0.0, abs=1e-9)
    assert convergence.rates[0].rate == pytest.approx(1.0)
    assert convergence.data_centres[0].data_centre == "lima-b"
    assert convergence.p50_ms == pytest.approx(400, rel=0.01)
    assert convergence.max_ms == pytest.approx(9_000, rel=0.01)


def test_control_rate_is_the_mean_of_the_nodes_rates() -> None:
    reports = [
        build_report(build_window({}, begun_s=100, control_bytes=100_000)),
        build_report(build_window({}, begun_s=10, control_bytes=50_000), vm="w2"),
    ]
    control = merge_reports(*reports).control
    (rate,) = control.rates
    assert control.total_bytes == 150_000
    assert (rate.mean_bytes_per_s, rate.max_bytes_per_s, rate.max_vm) == (3_000, 5_000, "w2")
    assert (rate.rate, rate.nodes_over) == (1.0, 1)


PARTS = st.lists(
    st.dictionaries(st.sampled_from(RESULTS[:-1]), st.integers(1, 1_000_000)),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, max_examples=20, deadline=None)
@given(PARTS, st.lists(st.integers(1, 60_000), max_size=20))
def test_merged_reports_equal_one_combined_report(
    parts: list[dict[str, int]], times_ms: list[int]
) -> None:
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part)
    separate = [
        build_report(
            build_window(part, convergence_ms=tuple(times_ms[index :: len(parts)])), vm=f"w{index}"
        )
        for index, part in enumerate(parts)
    ]
    combined = build_report(build_window(dict(total), convergence_ms=tuple(times_ms)))
    merged, single = merge_reports(*separate), merge_reports(combined)
    assert merged.contracts == single.contracts
    assert merged.convergence == single.convergence
    assert merge_reports(*separate, *separate) == merged


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(0, 10**9), st.integers(0, 10**9), st.floats(0.5, 0.9999))
def test_budget_is_spent_exactly_at_the_objective(good: int, bad: int, objective: float) -> None:
    rate = compute_burn_rate(good + bad, bad, objective)
    if rate is None:
        assert good + bad == 0
        return
    met = good / (good + bad)
    assert 1.0 - rate == pytest.approx((met - objective) / (1.0 - objective), abs=1e-6)


def test_caller_faults_are_client_errors_except_answer_not_kept() -> None:
    kinds = {ErrorKind(value) for value in CALLER_FAULTS}
    assert all(400 <= ANSWERS[kind].status < 500 for kind in kinds)
    other_kinds = {kind for kind, answer in ANSWERS.items() if 400 <= answer.status < 500} - kinds
    assert other_kinds == {ErrorKind.ANSWER_NOT_KEPT}
