"""Counts the ends of workers under the same request, and decides which request is at fault."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.quarantine import EVIDENCE_S, CaseState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from trefoilpick.fingerprints import Fingerprint
    from trefoilpick.quarantine import Case, QuarantineTable

ENDS_TO_SUSPECT = 2
"""Ends of workers after which a request is suspected."""

ENDS_TO_QUARANTINE = 3
"""Ends of workers after which a request is quarantined."""

ENDS_OF_KNOWN_CONTENT = 1
"""Ends after which a request is quarantined whose content from another caller already is."""

CALLERS_TO_QUARANTINE = 2
"""Quarantined callers of the same content after which it is quarantined for any caller."""

CONCURRENCY_TOLERANCE_S = 0.05
"""Time by which a run may have begun before the previous end and still count as later, in seconds:
reports of ends arrive with different delays."""

MAX_COUNTED = 2_048
"""Largest number of requests whose ends a node counts."""


@dataclass(frozen=True)
class Suspect:
    """A request that a worker was running when it ended.

    Attributes:
        fingerprint: Identity of the request.
        route: Name of the route.
        ran_s: How long it had run, in seconds.
    """

    fingerprint: Fingerprint
    route: str
    ran_s: float


@dataclass(frozen=True)
class EndReport:
    """An end of a worker.

    Attributes:
        number: Identifies the end in the fleet.
        service: Service of the worker.
        suspects: The requests that it was running.
    """

    number: int
    service: str
    suspects: tuple[Suspect, ...]


@dataclass
class _Tally:
    """Ends of workers under one request.

    Attributes:
        ends: Numbers of the ends.
        counted: How many of them followed each other.
        ended_s: Clock reading when the last one was reported, in seconds.
    """

    ends: set[int]
    counted: int = 0
    ended_s: float = float("-inf")


class BlameCounter:
    """Counts the ends of workers under the same request, and decides which request is at fault.

    Several requests run when a worker ends, and one of them may be at fault. Two things clear the
    others. An end counts only if the run began after the previous end: workers that end together
    end for another reason. And an end under a request that is already suspected is not counted for
    the others that ran beside it.

    Args:
        table: The cases that the node knows.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(self, table: QuarantineTable, clock: Callable[[], float] = read_clock) -> None:
        self._table = table
        self._clock = clock
        self._tallies: OrderedDict[Fingerprint, _Tally] = OrderedDict()

    def record(self, report: EndReport) -> Iterator[Case]:
        """Count an end, and yield the cases that it changes."""
        if any(self._table.find_quarantined(s.fingerprint) for s in report.suspects):
            return
        most = max((self._count(s.fingerprint) for s in report.suspects), default=0)
        for suspect in report.suspects:
            is_blamed = most < ENDS_TO_SUSPECT or self._count(suspect.fingerprint) >= most
            if is_blamed and self._is_new(suspect, report.number):
                yield from self._add(suspect, report)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Forget the ends under a request, since a worker has answered it."""
        self._tallies.pop(fingerprint, None)

    def _is_new(self, suspect: Suspect, number: int) -> bool:
        tally = self._tallies.get(suspect.fingerprint)
        return tally is None or number not in tally.ends

    def _count(self, fingerprint: Fingerprint) -> int:
        tally = self._tallies.get(fingerprint)
        if tally is None or tally.ended_s < self._clock() - EVIDENCE_S:
            return 0
        return tally.counted

    def _add(self, suspect: Suspect, report: EndReport) -> Iterator[Case]:
        now_s = self._clock()
        fingerprint = suspect.fingerprint
        if not self._count(fingerprint):
            self._tallies.pop(fingerprint, None)
        tally = self._tallies.setdefault(fingerprint, _Tally(set()))
        self._tallies.move_to_end(fingerprint)
        if len(self._tallies) > MAX_COUNTED:
            self._tallies.popitem(last=False)
        tally.ends.add(report.number)
        if now_s - suspect.ran_s < tally.ended_s - CONCURRENCY_TOLERANCE_S:
            return
        tally.counted += 1
        tally.ended_s = now_s
        yield from self._judge(suspect, report.service, tally.counted)

    def _judge(self, suspect: Suspect, service: str, ends: int) -> Iterator[Case]:
        content = suspect.fingerprint.content
        callers = self._table.count_quarantined_callers(content)
        threshold = ENDS_OF_KNOWN_CONTENT if callers else ENDS_TO_QUARANTINE
        if ends < min(threshold, ENDS_TO_SUSPECT):
            return
        state = CaseState.QUARANTINED if ends >= threshold else CaseState.SUSPECTED
        fingerprints = [suspect.fingerprint]
        if state is CaseState.QUARANTINED and callers + 1 >= CALLERS_TO_QUARANTINE:
            fingerprints.append(suspect.fingerprint.for_any_caller)
        for fingerprint in fingerprints:
            case = self._table.escalate(
                fingerprint, state, service=service, route=suspect.route, ends=ends
            )
            if case is not None:
                yield case


async def ignore_end(report: EndReport) -> None:
    """Report an end to nobody."""
