"""What workers state in the headers of their answers, in every form that they may take."""

from __future__ import annotations

import pytest

from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.logs import Event, StateLog
from trefoilpick.metrics import Metrics
from trefoilpick.platform.headers import PLATFORM_CONVENTIONS
from trefoilpick.settings import VmSettings
from trefoilpick.worker_rates import WorkerRate
from trefoilpick.worker_statements import (
    NO_STATEMENT,
    WorkerStatement,
    WorkerStatements,
    read_statement,
)

LIMIT, LEAVING = DEFAULT_CONVENTIONS.rate_limit, DEFAULT_CONVENTIONS.leaving


def open_statements(rate: WorkerRate, metrics: Metrics) -> WorkerStatements:
    log = StateLog(VmSettings("vm-1", "lima", "lima-a", "encargos"), incarnation=1, metrics=metrics)
    return WorkerStatements(DEFAULT_CONVENTIONS, rate=rate, log=log, metrics=metrics)


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
    statements.record([(LIMIT, b"8.9")], has_run=True, worker="i-1")
    statements.record([], has_run=False, worker="i-1")
    statements.record([(LIMIT, b"many")], has_run=True, worker="i-1")
    assert rate.limit == 8.9
    statements.record([], has_run=True, worker="i-1")
    assert rate.limit is None


def test_a_limit_that_differs_in_each_answer_is_logged_once() -> None:
    metrics = Metrics()
    statements = open_statements(WorkerRate(), metrics)
    for tenths in range(50):
        statements.record([(LIMIT, b"8.%d" % tenths)], has_run=True, worker="i-1")
    changes = metrics.get_count("trefoilpick_state_changes_total", event=Event.WORKER_LIMIT.value)
    assert changes == 1
    assert "trefoilpick_worker_rate_limit 8.49" in list(metrics.render())
