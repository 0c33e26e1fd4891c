"""Counts the ends of workers under the same content, and decides which requests are at fault."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.fingerprints import ANY_CALLER, Fingerprint
from trefoilpick.quarantine import EVIDENCE_S, CaseState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from trefoilpick.quarantine import Case, QuarantineTable

ENDS_TO_SUSPECT = 2
"""Ends of workers after which a request is suspected."""

ENDS_TO_QUARANTINE = 3
"""Ends of workers after which a request is quarantined."""

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
    """Ends of workers under one content.

    Attributes:
        callers: Callers whose requests are blamed, by number of the end; none for an end that does
            not count.
        ended_s: Clock reading when the last end that counts was reported, in seconds.
    """

    callers: dict[int, set[bytes]] = field(default_factory=dict)
    ended_s: float = float("-inf")

    @property
    def count(self) -> int:
        """Number of ends that count."""
        return sum(bool(blamed) for blamed in self.callers.values())

    def count_caller(self, caller: bytes) -> int:
        """Return the number of ends for which a caller is blamed."""
        return sum(caller in blamed for blamed in self.callers.values())

    def clear_caller(self, caller: bytes) -> None:
        """Blame a caller for no end any more."""
        for blamed in self.callers.values():
            blamed.discard(caller)


class BlameCounter:
    """Counts the ends of workers under the same content, and decides which requests are at fault.

    Several requests run when a worker ends, and one of them may be at fault. Two things clear the
    others. An end counts only if the run began after the previous end: workers that end together
    end for another reason. And an end under a request that is already suspected is not counted for
    the others that ran beside it.

    Ends count for a content whatever its callers. If requests of several callers are blamed, it is
    quarantined for all, otherwise for its one caller.

    Args:
        table: The cases that the node knows.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(self, table: QuarantineTable, clock: Callable[[], float] = read_clock) -> None:
        self._table = table
        self._clock = clock
        self._tallies: OrderedDict[bytes, _Tally] = OrderedDict()

    def record(self, report: EndReport) -> Iterator[Case]:
        """Count an end, and yield the cases that it changes."""
        if any(self._table.find_quarantined(s.fingerprint) for s in report.suspects):
            return
        contents: dict[bytes, list[Suspect]] = {}
        for suspect in report.suspects:
            contents.setdefault(suspect.fingerprint.content, []).append(suspect)
        most = max((self._count(content) for content in contents), default=0)
        for content, suspects in contents.items():
            if most < ENDS_TO_SUSPECT or self._count(content) >= most:
                yield from self._add(content, suspects, report)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Forget the ends under a request, since a worker has answered it."""
        tally = self._tallies.get(fingerprint.content)
        if tally is None:
            return
        tally.clear_caller(fingerprint.caller)
        if not tally.count:
            del self._tallies[fingerprint.content]

    def _count(self, content: bytes) -> int:
        tally = self._tallies.get(content)
        if tally is None or tally.ended_s < self._clock() - EVIDENCE_S:
            return 0
        return tally.count

    def _add(self, content: bytes, suspects: list[Suspect], report: EndReport) -> Iterator[Case]:
        now_s = self._clock()
        tally = self._find_tally(content)
        callers = _select_callers(tally, suspects)
        if report.number in tally.callers:
            blamed = tally.callers[report.number]
            blamed |= callers if blamed else set()
            return
        began_s = now_s - min(suspect.ran_s for suspect in suspects)
        if began_s < tally.ended_s - CONCURRENCY_TOLERANCE_S:
            tally.callers[report.number] = set()
            return
        tally.callers[report.number] = callers
        tally.ended_s = now_s
        yield from self._judge(content, tally, report.service, suspects[0].route)

    def _find_tally(self, content: bytes) -> _Tally:
        tally = self._tallies.get(content)
        if tally is None or tally.ended_s < self._clock() - EVIDENCE_S:
            self._tallies[content] = _Tally()
        self._tallies.move_to_end(content)
        if len(self._tallies) > MAX_COUNTED:
            self._tallies.popitem(last=False)
        return self._tallies[content]

    def _judge(self, content: bytes, tally: _Tally, service: str, route: str) -> Iterator[Case]:
        if tally.count < ENDS_TO_SUSPECT:
            return
        is_proved = tally.count >= ENDS_TO_QUARANTINE
        state = CaseState.QUARANTINED if is_proved else CaseState.SUSPECTED
        callers = set().union(*tally.callers.values())
        any_caller = Fingerprint(content, ANY_CALLER)
        if len(callers) > 1 and is_proved and not self._table.is_released(any_caller):
            callers.add(ANY_CALLER)
        for caller in sorted(callers):
            case = self._table.escalate(
                Fingerprint(content, caller), state, service=service, route=route, ends=tally.count
            )
            if case is not None:
                yield case


def _select_callers(tally: _Tally, suspects: Iterable[Suspect]) -> set[bytes]:
    """Return the callers to blame of those whose requests of the same content ran."""
    counts = {s.fingerprint.caller: tally.count_caller(s.fingerprint.caller) for s in suspects}
    most = max(counts.values())
    return {caller for caller, count in counts.items() if most < ENDS_TO_SUSPECT or count == most}


async def ignore_end(report: EndReport) -> None:
    """Report an end to nobody."""
