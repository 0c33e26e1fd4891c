import io
import json
import logging
from pathlib import Path

import pytest

from trefoilpick import logs
from trefoilpick.logs import (
    EVENTS,
    MAX_WARNED_SUBJECTS,
    Event,
    SubjectWarnings,
    open_log,
    open_state_log,
)
from trefoilpick.metrics import Metrics
from trefoilpick.settings import VmSettings

VM = VmSettings("w1", "lima", "lima-a", "portafolio")


def read_lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_only_state_changes_are_logged_and_counted() -> None:
    stream, metrics = io.StringIO(), Metrics()
    open_log(stream=stream)
    log = open_state_log(VM, incarnation=7, metrics=metrics)
    reported = [
        log.report(Event.PEER, "up", subject="w2", rtt_ms=3),
        log.report(Event.PEER, "up", subject="w2"),
        log.report(Event.PEER, "up", subject="w3"),
        log.report(Event.PEER, "down", subject="w2", level=logging.WARNING),
    ]
    assert reported == [True, False, True, True]
    lines = read_lines(stream)
    assert [(line["subject"], line["value"], line["level"]) for line in lines] == [
        ("w2", "up", "INFO"),
        ("w3", "up", "INFO"),
        ("w2", "down", "WARNING"),
    ]
    assert (
        lines[0].items()
        >= {
            "event": "peer",
            "vm": "w1",
            "data_centre": "lima-a",
            "incarnation": 7,
            "rtt_ms": 3,
            "message": "peer w2: up",
        }.items()
    )
    assert str(lines[0]["time"]).endswith("+00:00")
    assert metrics.get_count("trefoilpick_state_changes_total", event="peer") == 3


def test_forgotten_subject_is_logged_again() -> None:
    open_log(stream=io.StringIO())
    log = open_state_log(VM, incarnation=7, metrics=Metrics())
    assert log.report(Event.PEER, "up", subject="w2")
    log.forget(Event.PEER, "w2")
    assert log.report(Event.PEER, "up", subject="w2")


def test_second_open_replaces_the_handler_and_keeps_extra_fields() -> None:
    first, second = io.StringIO(), io.StringIO()
    open_log(stream=first)
    open_log(stream=second, incarnation=9)
    logging.getLogger("trefoilpick").info("version is enforced", extra={"number": 4})
    assert first.getvalue() == ""
    (line,) = read_lines(second)
    assert (line["number"], line["incarnation"], line["event"]) == (4, 9, "message")


def test_every_event_is_reported_somewhere() -> None:
    package = Path(logs.__file__).parent
    text = "".join(path.read_text() for path in package.glob("*.py") if path.name != "logs.py")
    assert {event for event in Event if f"Event.{event.name}" not in text} == set()


def test_every_event_is_in_the_table_and_in_the_documentation() -> None:
    page = (Path(logs.__file__).parents[1] / "docs" / "logs.md").read_text()
    assert set(EVENTS) == set(Event)
    for event, info in EVENTS.items():
        assert f"| `{event.value}` |" in page
        assert f"| {info.meaning} | {info.advice} |" in page


# Guards against a log line for each of many reads of the same faulty text.
def test_a_subject_is_warned_of_once_until_it_is_forgotten(
    caplog: pytest.LogCaptureFixture,
) -> None:
    warnings = SubjectWarnings("unreadable_entry")
    for subject in ("a", "b", "a"):
        warnings.warn(subject, f"entry {subject} is faulty")
    warnings.forget("a")
    warnings.warn("a", "entry a is faulty")
    assert [record.subject for record in caplog.records] == ["a", "b", "a"]
    for number in range(2 * MAX_WARNED_SUBJECTS):
        warnings.warn(str(number), "faulty")
    assert len(warnings._subjects) <= MAX_WARNED_SUBJECTS
