"""The node's log: JSON lines, one for each state change.

Counters record how often something happens, and a log line records that a state changed, so a
stable node logs nothing. `Event` lists all states.
"""

from __future__ import annotations

import logging
import os
import sys
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from typing import TYPE_CHECKING, Any, TextIO

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import Settings, VmSettings

LOGGER_NAME = "trefoilpick"
"""Name of the package's logger."""

MAX_WARNED_SUBJECTS = 256
"""Largest number of subjects that one `SubjectWarnings` remembers."""

MAX_SUBJECTS = 10_000
"""Largest number of states whose last values one `StateLog` keeps."""


class Event(Enum):
    """Every state whose change is logged."""

    NODE = "node"
    READINESS = "readiness"
    VERSION = "version"
    VERSION_REFUSED = "version_refused"
    SOURCE = "source"
    SOURCE_VERSION = "source_version"
    VM_LIST = "vm_list"
    READER = "reader"
    PEER = "peer"
    WORKER = "worker"
    WORKER_LIMIT = "worker_limit"
    WORKER_LEAVING = "worker_leaving"
    WORKER_END = "worker_end"
    WORKER_COLD = "worker_cold"
    QUARANTINE = "quarantine"
    EVACUATION = "evacuation"


@dataclass(frozen=True)
class EventInfo:
    """Description of the log lines of one event.

    Attributes:
        meaning: What changed.
        values: The possible values of the state; empty if there is no fixed list.
        advice: What an operator should do about it.
    """

    meaning: str
    values: tuple[str, ...]
    advice: str


EVENTS: dict[Event, EventInfo] = {
    Event.NODE: EventInfo(
        "The lifecycle state of the node's process changed.",
        ("serving", "draining", "stopped"),
        "None during a start or a planned stop.",
    ),
    Event.READINESS: EventInfo(
        "The node started or stopped accepting callers' requests.",
        ("ready", "not_ready"),
        "Read the reasons in the line; /ready returns the same.",
    ),
    Event.VERSION: EventInfo(
        "The node enforces another version completely.",
        (),
        "None. `trefoilpick status` shows which nodes enforce it too.",
    ),
    Event.VERSION_REFUSED: EventInfo(
        "The node read a version that has faults and keeps the one it enforces.",
        (),
        "Correct the section that the text names and accept a new version.",
    ),
    Event.SOURCE: EventInfo(
        "The configuration service started or stopped responding to this node.",
        ("up", "down"),
        "While it is down, the node keeps its version; restore the service.",
    ),
    Event.SOURCE_VERSION: EventInfo(
        "The configuration service showed this node another version, as number/digest.",
        (),
        "None unless its order is older or replaced: then see OPERATIONS.md.",
    ),
    Event.VM_LIST: EventInfo(
        "The node applied another revision of the list of VMs.",
        (),
        "None.",
    ),
    Event.READER: EventInfo(
        "The node started or stopped reading the source for its data centre.",
        ("reading", "following"),
        "None. Frequent changes mean that nodes often fail to reach each other.",
    ),
    Event.PEER: EventInfo(
        "Another node started or stopped responding on the control link.",
        ("up", "down"),
        "If the platform's list still shows that VM as live, look at the VM.",
    ),
    Event.WORKER: EventInfo(
        "The node's worker started or stopped accepting connections.",
        ("up", "down"),
        "Restart the worker; in the meantime the node forwards requests to other VMs.",
    ),
    Event.WORKER_LIMIT: EventInfo(
        "The node's worker stated how many requests per second it accepts, or ceased to.",
        ("limited", "unlimited", "unreadable"),
        "Find out why the worker is in need; unreadable means that the worker's header is faulty.",
    ),
    Event.WORKER_LEAVING: EventInfo(
        "The worker that the value names stated that it is leaving, or another has its address.",
        (),
        "None during a planned stop.",
    ),
    Event.WORKER_END: EventInfo(
        "The node's worker ended, as numbered in the value, while it ran the request that the"
        " subject identifies.",
        (),
        "If the same subject is in the lines of several VMs, that request may end the workers.",
    ),
    Event.WORKER_COLD: EventInfo(
        "The node assumes that its worker is cold and limits its requests, or no longer does; the"
        " source says why.",
        ("cold", "warm"),
        "None after a start. If it recurs, find out why the worker restarts.",
    ),
    Event.QUARANTINE: EventInfo(
        "A request under which workers ended is suspected, quarantined, tried or released: its"
        " state and revision.",
        (),
        "Find the request by its subject in the worker_end lines, and mend the worker.",
    ),
    Event.EVACUATION: EventInfo(
        "The evacuation of the data centre that the subject names began or ended at this node.",
        ("begun", "ended"),
        "None if an operator asked for it; otherwise look at the keys in the source.",
    ),
}
"""Meaning of each event."""


class StateLog:
    """Logs and counts state changes.

    Args:
        vm: The node's VM.
        incarnation: Start of the node's process, in nanoseconds since the Unix epoch.
        metrics: Counters of the node.
    """

    def __init__(self, vm: VmSettings, *, incarnation: int, metrics: Metrics) -> None:
        self._fields = {
            "vm": vm.name,
            "data_centre": vm.data_centre,
            "incarnation": incarnation,
        }
        self._metrics = metrics
        self._values: dict[tuple[Event, str], object] = {}
        self._logger = logging.getLogger(LOGGER_NAME)

    def report(
        self,
        event: Event,
        value: object,
        *,
        subject: str = "",
        level: int = logging.INFO,
        **fields: object,
    ) -> bool:
        """Log a state if it differs from the last report.

        Args:
            event: The state.
            value: Its current value.
            subject: What the state belongs to, if there are several, for example a peer's name.
            level: Level of the line.
            fields: Further fields of the line.

        Returns:
            Whether the state changed.
        """
        key = (event, subject)
        if key in self._values and self._values[key] == value:
            return False
        if key not in self._values and len(self._values) >= MAX_SUBJECTS:
            self._values.pop(next(iter(self._values)))
        self._values[key] = value
        self._metrics.count("trefoilpick_state_changes_total", event=event.value)
        named = {"subject": subject} if subject else {}
        extra = {**fields, **named, **self._fields, "event": event.value, "value": value}
        text = f"{event.value} {subject}: {value}" if subject else f"{event.value}: {value}"
        self._logger.log(level, text, extra=extra)
        return True

    def forget(self, event: Event, subject: str) -> None:
        """Drop the last value of a state whose subject no longer exists."""
        self._values.pop((event, subject), None)


class SubjectWarnings:
    """Warnings about subjects that are faulty from outside; each subject is logged once.

    Args:
        event: Event of the log lines.
    """

    def __init__(self, event: str) -> None:
        self._event = event
        self._subjects: set[str] = set()

    def warn(self, subject: str, text: str) -> None:
        """Log a warning about a subject, unless it was the subject of one."""
        if subject in self._subjects:
            return
        if len(self._subjects) >= MAX_WARNED_SUBJECTS:
            self._subjects.clear()
        self._subjects.add(subject)
        fields = {"event": self._event, "subject": subject}
        logging.getLogger(LOGGER_NAME).warning("%s", text, extra=fields)

    def forget(self, subject: str) -> None:
        """Log the next warning about a subject again."""
        self._subjects.discard(subject)


class _LineFormatter(JsonFormatter):
    def __init__(self, defaults: Mapping[str, object]) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
        self._line_defaults = dict(defaults)

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time of a record in UTC, in ISO 8601 with milliseconds."""
        moment = datetime.fromtimestamp(record.created, UTC)
        return moment.isoformat(timespec="milliseconds")

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the default fields to a line that does not set them."""
        super().add_fields(log_data, record, message_dict)
        for name, value in self._line_defaults.items():
            log_data.setdefault(name, value)


class _LineHandler(logging.StreamHandler[TextIO]):
    """Writes lines to a stream without ever blocking on its reader.

    A line is dropped while the pipe is full; the next line that is written gives the number of
    dropped lines. A partly written line is completed before any other.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.dropped = 0
        self._unwritten = b""
        self._descriptor = _open_descriptor(stream)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it if that would block."""
        if self._descriptor is None:
            super().emit(record)
            return
        try:
            if self.dropped:
                record.dropped_before = self.dropped
            line = (self.format(record) + self.terminator).encode()
            if self._write(line):
                self.dropped = 0
            else:
                self.dropped += 1
        except Exception:
            self.handleError(record)

    def _write(self, line: bytes) -> bool:
        """Write a line after the rest of the previous one.

        Returns:
            Whether the line was accepted, at least in part.
        """
        assert self._descriptor is not None
        while self._unwritten:
            try:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            except BlockingIOError:
                return False
        try:
            self._unwritten = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            return False
        return True


def _open_descriptor(stream: TextIO) -> int | None:
    """Return a non-blocking descriptor; None for a terminal or a stream without a descriptor."""
    try:
        if stream.isatty():
            return None
        descriptor = stream.fileno()
        os.set_blocking(descriptor, False)
    except (OSError, ValueError):
        return None
    return descriptor


def open_log(
    settings: Settings | None = None,
    *,
    stream: TextIO | None = None,
    level: int = logging.INFO,
    incarnation: int | None = None,
) -> logging.Logger:
    """Write the package's log to a stream, as JSON lines.

    Args:
        settings: Settings of the node whose VM and data centre are the defaults of each line.
        stream: Destination; by default the standard output of the process.
        level: Lowest level that is written.
        incarnation: Default incarnation of each line.

    Returns:
        The package's logger.
    """
    defaults: dict[str, object] = {"event": "message"}
    if settings is not None:
        defaults |= {"vm": settings.vm.name, "data_centre": settings.vm.data_centre}
    if incarnation is not None:
        defaults["incarnation"] = incarnation
    handler = _LineHandler(stream or sys.stdout)
    handler.setFormatter(_LineFormatter(defaults))
    logger = logging.getLogger(LOGGER_NAME)
    for old in [entry for entry in logger.handlers if isinstance(entry, _LineHandler)]:
        logger.removeHandler(old)
    logger.addHandler(handler)
    logger.setLevel(level)
    logger.propagate = False
    return logger


def open_state_log(vm: VmSettings, *, incarnation: int, metrics: Metrics) -> StateLog:
    """Open the state log of one node."""
    return StateLog(vm, incarnation=incarnation, metrics=metrics)
