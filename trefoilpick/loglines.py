"""History of a request and causes of failures, from the logs of all nodes."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import Event
from trefoilpick.requestlogs import SUCCESSFUL_RESULTS, RequestEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

COMMON_FIELDS = frozenset(
    {"time", "level", "message", "vm", "data_centre", "incarnation", "event", "value", "request_id"}
)
"""Fields that are left out of the details: they are shown separately, or every line has them."""


QUARANTINE_EVENTS = frozenset({Event.WORKER_END.value, Event.QUARANTINE.value})
"""Events whose subject is the fingerprint of a request."""


@dataclass(frozen=True, order=True)
class LogLine:
    """One line of a node's log.

    Attributes:
        time: When it was written, in UTC.
        vm: VM of the node.
        event: The event.
        value: How the request ended, or the new value of the state.
        request_id: Identity of the request; empty if the line concerns none.
        details: Further fields, as text.
        took_ms: Duration of the request, in milliseconds; None if the line has none.
        omitted: Number of lines that the node omitted before it.
        subject: What the line is about; the fingerprint of a request under which workers ended.
    """

    time: str
    vm: str
    event: str
    value: str
    request_id: str
    details: str
    took_ms: float | None = field(default=None, compare=False)
    omitted: int = field(default=0, compare=False)
    subject: str = field(default="", compare=False)


def explain_request(request_id: str, lines: Iterable[LogLine]) -> tuple[LogLine, ...]:
    """Return the lines of a request in order of time, with those on a quarantine of it."""
    known = [
        line for line in lines if line.request_id == request_id or line.event in QUARANTINE_EVENTS
    ]
    subjects = {line.subject for line in known if line.request_id == request_id} - {""}
    return tuple(
        sorted(line for line in known if line.request_id == request_id or line.subject in subjects)
    )


def count_causes(lines: Iterable[LogLine]) -> Iterator[tuple[str, int]]:
    """Yield the causes of callers' failed requests and their counts, the most frequent first."""
    counts: dict[str, int] = {}
    for line in lines:
        if line.event == RequestEvent.REQUEST.value and line.value not in SUCCESSFUL_RESULTS:
            counts[line.value] = counts.get(line.value, 0) + 1
    yield from sorted(counts.items(), key=lambda entry: (-entry[1], entry[0]))


def read_logs(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the lines of logs; any text before the JSON object of a line is skipped.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE`, if a file cannot be read.
    """
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from _parse_lines(file)
        except OSError as error:
            text = f'log "{path}": {error.strerror}'
            raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text) from error


def _parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        _, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield _build_line(fields)


def _build_line(fields: dict[str, Any]) -> LogLine:
    details = (
        f"{name}={json.dumps(value) if isinstance(value, (list, dict)) else value}"
        for name, value in fields.items()
        if name not in COMMON_FIELDS
    )
    return LogLine(
        time=str(fields.get("time", "")),
        vm=str(fields.get("vm", "")),
        event=str(fields["event"]),
        value=str(fields.get("value", "")),
        request_id=str(fields.get("request_id", "")),
        details=", ".join(details),
        took_ms=_read_number(fields.get("took_ms")),
        omitted=int(_read_number(fields.get("omitted_before")) or 0),
        subject=str(fields.get("subject", "")),
    )


def _read_number(value: object) -> float | None:
    return float(value) if isinstance(value, (int, float)) else None
