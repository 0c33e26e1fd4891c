"""Until when a worker is assumed cold, and what shows it."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from trefoilpick.cold_starts import PROBE_RETRY_S, ColdStarts, ProbeAnswer
from trefoilpick.document import Upstream
from trefoilpick.logs import open_state_log
from trefoilpick.metrics import Metrics
from trefoilpick.settings import HopSettings, VmSettings
from trefoilpick.vms import Vm
from trefoilpick.worker_rates import WorkerRate

COLD_S = 3.0
UPSTREAM = Upstream("ledger", health_path="/health", cold_start_ms=3_000, cold_rate_per_s=3.15)
VM = Vm("w", "lima", "lima-a", "ledger", "127.0.0.1", 1, 2, worker="i-1", started_ms=1_000)
WARM, UNKNOWN, REFUSED = ProbeAnswer(0.0), ProbeAnswer(), ProbeAnswer(was_refused=True)


class Bench:
    """Cold starts on a clock that is advanced by hand."""

    def __init__(self, upstream: Upstream = UPSTREAM) -> None:
        self.now_s = 1_000.0
        self.rate = WorkerRate(clock=lambda: self.now_s)
        self.metrics = Metrics()
        log = open_state_log(
            VmSettings("w", "lima", "lima-a", "ledger"), incarnation=1, metrics=self.metrics
        )
        self.cold_starts = ColdStarts(
            self.rate,
            HopSettings(cold_overage=1.5, cold_slack=8.0),
            log=log,
            metrics=self.metrics,
            clock=lambda: self.now_s,
        )
        self.cold_starts.apply_upstream(upstream)

    @property
    def is_cold(self) -> bool:
        return self.rate.cold_rate is not None

    def list(self, **fields: Any) -> None:
        self.cold_starts.handle_listing(replace(VM, **fields))

    def answer_probe(self, answer: ProbeAnswer) -> bool:
        occasion = self.cold_starts.begin_probe()
        if occasion is not None:
            self.cold_starts.record_probe(occasion, answer)
        return occasion is not None

    def measure_cold(self, limit_s: float = 20.0) -> float:
        """Return how long the worker stays cold, in seconds; infinite if beyond the limit."""
        began_s = self.now_s
        while self.is_cold:
            self.now_s += 0.1
            if self.now_s - began_s > limit_s:
                return math.inf
            self.cold_starts.refresh()
        return self.now_s - began_s


def open_warm(**fields: Any) -> Bench:
    """Return a bench whose worker is listed and has answered a probe that it is warm."""
    bench = Bench()
    bench.list(**fields)
    assert bench.answer_probe(WARM) and not bench.is_cold
    bench.now_s += 5.0
    return bench


# Guards against full load on a worker that started with its node.
def test_a_node_that_starts_assumes_a_cold_worker_until_it_knows() -> None:
    bench = Bench()
    assert bench.is_cold and bench.rate.cold_rate == pytest.approx(3.15 * 1.5)
    assert bench.answer_probe(UNKNOWN)
    assert bench.measure_cold() == pytest.approx(COLD_S, abs=0.11)
    assert not bench.answer_probe(WARM)


@pytest.mark.parametrize("remaining_ms", [0.0, 700.0, 9_000.0])
def test_an_answer_to_the_probe_sets_the_time(remaining_ms: float) -> None:
    bench = Bench()
    assert bench.answer_probe(ProbeAnswer(remaining_ms))
    assert bench.measure_cold() == pytest.approx(remaining_ms / 1_000, abs=0.11)


OCCASIONS = {
    "another start": lambda bench: bench.list(started_ms=2_000),
    "another worker": lambda bench: bench.list(worker="i-2"),
    "end of an evacuation": lambda bench: (bench.list(evacuated=True), bench.list()),
}


# Guards against each way in which a worker may have started unseen, and more than one probe.
@pytest.mark.parametrize("occasion", OCCASIONS)
def test_each_occasion_makes_the_worker_cold_and_is_probed_once(occasion: str) -> None:
    bench = open_warm()
    OCCASIONS[occasion](bench)
    assert bench.is_cold
    assert bench.answer_probe(UNKNOWN) and not bench.answer_probe(UNKNOWN)
    assert bench.measure_cold() == pytest.approx(COLD_S, abs=0.11)


def test_a_listed_time_is_counted_from_its_arrival_and_needs_no_probe() -> None:
    bench = open_warm()
    bench.list(started_ms=2_000, cold_ms=1_500)
    assert not bench.answer_probe(WARM)
    assert bench.measure_cold() == pytest.approx(1.5, abs=0.11)
    bench.list(started_ms=2_000, cold_ms=500)
    assert bench.measure_cold() == pytest.approx(0.5, abs=0.11)


# Guards against an old entry that ends an assumption: entries are seconds late.
@pytest.mark.parametrize("cold_ms", [0, 500])
def test_a_listed_time_never_shortens_what_is_known_of_the_same_worker(cold_ms: int) -> None:
    bench = open_warm()
    bench.cold_starts.handle_refusal()
    bench.cold_starts.handle_answer(bench.now_s + 0.1)
    bench.list(cold_ms=cold_ms)
    assert bench.measure_cold() == pytest.approx(COLD_S, abs=0.11)


# Guards against full load on a worker that starts longer after the refusal than a cold start takes.
def test_a_worker_that_refused_is_cold_from_its_first_answer_on() -> None:
    bench = open_warm()
    bench.cold_starts.handle_refusal()
    assert bench.measure_cold() == math.inf
    bench.cold_starts.handle_answer(bench.now_s - 60.0)
    assert bench.measure_cold() == math.inf
    bench.cold_starts.handle_answer(bench.now_s)
    assert bench.measure_cold() == pytest.approx(COLD_S, abs=0.11)


def test_a_refused_probe_is_sent_once_more() -> None:
    bench = open_warm()
    bench.cold_starts.handle_ends(1)
    assert bench.answer_probe(REFUSED) and not bench.answer_probe(REFUSED)
    bench.now_s += PROBE_RETRY_S
    bench.cold_starts.handle_refusal()
    assert bench.answer_probe(REFUSED)
    bench.now_s += PROBE_RETRY_S
    assert not bench.answer_probe(REFUSED)


# Guards against an answer of the former worker that declares the new one warm.
def test_an_answer_to_the_probe_of_an_earlier_occasion_ends_nothing() -> None:
    bench = open_warm()
    bench.list(started_ms=2_000)
    occasion = bench.cold_starts.begin_probe()
    assert occasion is not None
    bench.cold_starts.handle_refusal()
    bench.cold_starts.record_probe(occasion, WARM)
    assert bench.is_cold


def test_nothing_happens_for_a_service_without_cold_workers() -> None:
    bench = Bench(replace(UPSTREAM, cold_rate_per_s=0.0))
    for occasion in OCCASIONS.values():
        occasion(bench)
    bench.list(cold_ms=3_000)
    bench.cold_starts.handle_refusal()
    bench.cold_starts.refresh()
    assert not bench.is_cold and not bench.answer_probe(WARM)
    assert not any("cold" in line for line in bench.metrics.render())


def test_a_document_without_cold_workers_ends_the_limit() -> None:
    bench = Bench()
    bench.cold_starts.apply_upstream(replace(UPSTREAM, cold_rate_per_s=0.0))
    assert not bench.is_cold and bench.rate.estimate_wait(100) == 0.0
