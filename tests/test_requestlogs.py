from __future__ import annotations

import io
import json
import os
from collections import Counter

from trefoilpick.logs import open_log
from trefoilpick.metrics import Metrics
from trefoilpick.requestlogs import (
    BURST_S,
    FAILURE_LINES_PER_S,
    SUCCESS_LINES_PER_S,
    RequestEvent,
    RequestLog,
)


class FakeClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def write_all(log: RequestLog, count: int, *, failed: bool) -> int:
    written = 0
    for number in range(count):
        if log.try_acquire(RequestEvent.REQUEST, failed=failed):
            log.write(RequestEvent.REQUEST, "shed", failed=failed, request_id=str(number))
            written += 1
    return written


def test_lines_of_failures_are_limited_and_omitted_lines_are_reported() -> None:
    stream, metrics, clock = io.StringIO(), Metrics(), FakeClock()
    open_log(stream=stream)
    log = RequestLog({"vm": "w1"}, metrics, clock=clock)
    assert write_all(log, 10_000, failed=True) == FAILURE_LINES_PER_S * BURST_S
    clock.now += 1.0
    assert write_all(log, 10_000, failed=True) == FAILURE_LINES_PER_S
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    reported = [line["omitted_before"] for line in lines if "omitted_before" in line]
    assert reported == [10_000 - FAILURE_LINES_PER_S * BURST_S]
    omitted = metrics.get_count("trefoilpick_log_lines_omitted_total", event="request")
    assert omitted == 20_000 - len(lines)
    assert lines[0].items() >= {"vm": "w1", "event": "request", "request_id": "0"}.items()


def test_successful_requests_do_not_consume_the_budget_of_failures() -> None:
    open_log(stream=io.StringIO())
    log = RequestLog({}, Metrics(), clock=FakeClock())
    assert write_all(log, 10_000, failed=False) == SUCCESS_LINES_PER_S * BURST_S
    assert write_all(log, 1, failed=True) == 1


def test_full_pipe_drops_whole_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        logger = open_log(stream=stream)
        for number in range(20_000):
            logger.info("line %d", number)
        received = os.read(reader, 1_000_000)
        logger.info("after")
        received += os.read(reader, 1_000_000)
    os.close(reader)
    lines = [json.loads(line) for line in received.splitlines()]
    numbers = Counter(line["message"] for line in lines)
    assert max(numbers.values()) == 1
    assert lines[-1]["message"] == "after"
    assert lines[-1]["dropped_before"] == 20_000 - (len(lines) - 1)
