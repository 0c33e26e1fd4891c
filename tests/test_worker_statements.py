"""What workers state in the headers of their answers, in every form that they may take."""

from __future__ import annotations

import pytest

from trefoilpick import worker_statements
from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.logs import Event, StateLog
from trefoilpick.metrics import Metrics
from trefoilpick.platform.headers import PLATFORM_CONVENTIONS
from trefoilpick.settings import VmSettings
from trefoilpick.vms import UNIDENTIFIED_LEAVING_S, UNKNOWN_WORKER, WorkerIdentity
from trefoilpick.worker_rates import WorkerRate
from trefoilpick.worker_statements import (
    NO_STATEMENT,
    WorkerStatement,
    WorkerStatements,
    read_statement,
)

LIMIT, LEAVING = DEFAULT_CONVENTIONS.rate_limit, DEFAULT_CONVENTIONS.leaving


def open_statements(
    rate: WorkerRate, metrics: Metrics, *, wall_ms: int = 1_000
) -> WorkerStatements:
    log = StateLog(VmSettings("vm-1", "lima", "lima-a", "encargos"), incarnation=1, metrics=metrics)
    return WorkerStatements(
        DEFAULT_CONVENTIONS, rate=rate, log=log, metrics=metrics, read_wall_ms=lambda: wall_ms
    )


@pytest.mark.parametrize(("value", "rate"), [(b"8.9", 8.9), (b"20", 20.0), (b"0", 0.0)])
def test_a_limit_is_a_decimal_number(value: bytes, rate: float) -> None:
    assert read_statement([(LIMIT, value)], DEFAULT_CONVENTIONS) == WorkerStatement(rate)


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e9", b"8,9", b"\xff", b"8.9 a second", b"9" * 400]
)
def test_an_unreadable_limit_is_none(value: bytes) -> None:
    statement = read_statement([(LIMIT, value)], DEFAULT_CONVENTIONS)
    assert statement.rate_limit is None
    assert 0 < len(statement.unreadable) <= 40


def test_only_the_mark_states_that_a_worker_leaves() -> None:
    assert read_statement([(LEAVING, b"1")], DEFAULT_CONVENTIONS).is_leaving
    assert read_statement([(LEAVING, b"0")], DEFAULT_CONVENTIONS) == NO_STATEMENT
    assert read_statement([(b"server", b"x")], DEFAULT_CONVENTIONS) == NO_STATEMENT


def test_the_platforms_workers_use_its_header_names() -> None:
    headers = [(b"server-limit", b"8.9"), (b"server-leaving", b"1")]
    assert read_statement(headers, PLATFORM_CONVENTIONS) == WorkerStatement(8.9, is_leaving=True)


def test_a_limit_holds_until_an_answer_to_a_request_that_ran_names_none() -> None:
    rate = WorkerRate()
    statements = open_statements(rate, Metrics())
    statements.record([(LIMIT, b"8.9")], has_run=True, worker=UNKNOWN_WORKER)
    statements.record([], has_run=False, worker=UNKNOWN_WORKER)
    statements.record([(LIMIT, b"many")], has_run=True, worker=UNKNOWN_WORKER)
    assert rate.limit == 8.9
    statements.record([], has_run=True, worker=UNKNOWN_WORKER)
    assert rate.limit is None


def test_a_limit_that_differs_in_each_answer_is_logged_once() -> None:
    metrics = Metrics()
    statements = open_statements(WorkerRate(), metrics)
    for tenths in range(50):
        statements.record([(LIMIT, b"8.%d" % tenths)], has_run=True, worker=UNKNOWN_WORKER)
    changes = metrics.get_count("trefoilpick_state_changes_total", event=Event.WORKER_LIMIT.value)
    assert changes == 1
    assert "trefoilpick_worker_rate_limit 8.49" in list(metrics.render())


FIRST, SECOND = WorkerIdentity("i-1", 100), WorkerIdentity("i-2", 200)


def test_a_worker_that_left_is_not_used_again_although_another_was_listed_meanwhile() -> None:
    statements = open_statements(WorkerRate(), Metrics())
    statements.handle_listing(FIRST)
    statements.record([(LEAVING, b"1")], has_run=True, worker=FIRST)
    assert statements.has_left
    statements.handle_listing(SECOND)
    assert not statements.has_left
    statements.handle_listing(FIRST)
    assert statements.has_left


def test_a_worker_that_starts_again_under_its_id_has_not_left() -> None:
    statements = open_statements(WorkerRate(), Metrics())
    statements.handle_listing(FIRST)
    statements.record([(LEAVING, b"1")], has_run=True, worker=FIRST)
    statements.handle_listing(WorkerIdentity("i-1", 300))
    assert not statements.has_left


def test_a_late_statement_of_the_former_worker_does_not_concern_the_new_one() -> None:
    rate = WorkerRate()
    statements = open_statements(rate, Metrics())
    statements.handle_listing(FIRST)
    statements.handle_listing(SECOND)
    headers = [(LEAVING, b"1"), (LIMIT, b"1")]
    statements.record(headers, has_run=True, worker=FIRST)
    assert not statements.has_left
    assert rate.limit is None


@pytest.mark.parametrize(("started_ms", "has_left"), [(900, True), (1_100, False)])
def test_a_worker_that_left_before_it_was_listed_is_found_by_its_start(
    started_ms: int, has_left: bool
) -> None:
    statements = open_statements(WorkerRate(), Metrics(), wall_ms=1_000)
    statements.record([(LEAVING, b"1")], has_run=True, worker=UNKNOWN_WORKER)
    assert statements.has_left
    statements.handle_listing(WorkerIdentity("i-1", started_ms))
    assert statements.has_left == has_left


def test_a_worker_without_identity_has_left_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    monkeypatch.setattr(worker_statements, "read_clock", lambda: now_s)
    statements = open_statements(WorkerRate(), Metrics())
    statements.record([(LEAVING, b"1")], has_run=True, worker=UNKNOWN_WORKER)
    assert statements.has_left
    now_s += UNIDENTIFIED_LEAVING_S
    assert not statements.has_left
