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

MAX_ENDS = 256
"""Largest number of ends to which further requests may be added."""

MAX_RUNS = 256
"""Largest number of requests of one end that are judged."""


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
        reported_s: Clock reading when an end that counts was reported, by its number, in seconds.
        verdicts: Number of the end that led to a quarantine, by caller.
    """

    callers: dict[int, set[bytes]] = field(default_factory=dict)
    reported_s: dict[int, float] = field(default_factory=dict)
    verdicts: dict[bytes, int] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Number of ends that count."""
        return sum(bool(blamed) for blamed in self.callers.values())

    @property
    def ended_s(self) -> float:
        """Clock reading when the last end that counts was reported, in seconds."""
        return max(self.reported_s.values(), default=float("-inf"))

    @property
    def blamed(self) -> set[bytes]:
        """Callers that are blamed for any end."""
        return set().union(*self.callers.values())

    def count_others(self, number: int) -> int:
        """Return the number of ends that count, without one of them."""
        return sum(bool(blamed) for end, blamed in self.callers.items() if end != number)

    def count_caller(self, caller: bytes, number: int) -> int:
        """Return the number of ends for which a caller is blamed, without one of them."""
        return sum(caller in blamed for end, blamed in self.callers.items() if end != number)

    def clear_caller(self, caller: bytes) -> None:
        """Blame a caller for no end any more."""
        for blamed in self.callers.values():
            blamed.discard(caller)
        self.verdicts.pop(caller, None)


class BlameCounter:
    """Counts the ends of workers under the same content, and decides which requests are at fault.

    Several requests run when a worker ends, and one of them may be at fault. Two things clear the
    others. An end counts only if the run began after the previous end: workers that end together
    end for another reason. And an end under a request that is already suspected is not counted for
    the others that ran beside it.

    The requests of one end may come in several reports, as each of them was lost by itself. They
    are judged together each time, and a verdict that turns out to be wrong is taken back.

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
        # Requests by number of the end; None for one that was answered since.
        self._ends: OrderedDict[int, dict[Fingerprint, Suspect | None]] = OrderedDict()

    def record(self, report: EndReport) -> Iterator[Case]:
        """Count an end, or add requests to it, and yield the cases that this changes."""
        new = self._add_suspects(report)
        if not new:
            return
        suspects = [s for s in self._ends[report.number].values() if s is not None]
        contents: dict[bytes, list[Suspect]] = {}
        for suspect in suspects:
            contents.setdefault(suspect.fingerprint.content, []).append(suspect)
        counts = {content: self._count(content, report.number) for content in contents}
        most = max(counts.values(), default=0)
        is_explained = any(self._was_quarantined(s.fingerprint, report.number) for s in suspects)
        for content, of_content in contents.items():
            if is_explained or counts[content] < most >= ENDS_TO_SUSPECT:
                yield from self._blame(content, report.number, set())
            else:
                yield from self._add(content, of_content, new, report)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Forget the ends under a request, since a worker has answered it."""
        for suspects in self._ends.values():
            if fingerprint in suspects:
                suspects[fingerprint] = None
        tally = self._tallies.get(fingerprint.content)
        if tally is None:
            return
        tally.clear_caller(fingerprint.caller)
        if not tally.count:
            del self._tallies[fingerprint.content]

    def _add_suspects(self, report: EndReport) -> list[Suspect]:
        """Add the requests of a report to its end; return those that began last or are new."""
        suspects = self._ends.setdefault(report.number, {})
        new = {}
        for suspect in report.suspects:
            known = suspects.get(suspect.fingerprint, suspect)
            is_new = suspect.fingerprint not in suspects and len(suspects) < MAX_RUNS
            if is_new or (known is not None and suspect.ran_s < known.ran_s):
                suspects[suspect.fingerprint] = new[suspect.fingerprint] = suspect
        if len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)
        return list(new.values())

    def _was_quarantined(self, fingerprint: Fingerprint, number: int) -> bool:
        """Return whether a request was quarantined before an end, not because of it."""
        tally = self._tallies.get(fingerprint.content, _Tally())
        if fingerprint.caller in tally.callers.get(number, ()):
            return False
        return any(
            self._table.is_quarantined(known) and tally.verdicts.get(known.caller) != number
            for known in (fingerprint, fingerprint.for_any_caller)
        )

    def _count(self, content: bytes, number: int) -> int:
        """Return the number of ends that count for a content, without one of them."""
        tally = self._tallies.get(content)
        if tally is None or tally.ended_s < self._clock() - EVIDENCE_S:
            return 0
        return tally.count_others(number)

    def _add(
        self, content: bytes, suspects: list[Suspect], new: list[Suspect], report: EndReport
    ) -> Iterator[Case]:
        now_s = self._clock()
        tally = self._find_tally(content)
        callers = _select_callers(tally, suspects, report.number)
        if tally.callers.get(report.number):
            yield from self._blame(content, report.number, callers)
            return
        ran_s = min((s.ran_s for s in new if s.fingerprint.content == content), default=None)
        if ran_s is None:
            return
        began_s = now_s - ran_s
        if began_s < tally.ended_s - CONCURRENCY_TOLERANCE_S:
            tally.callers[report.number] = set()
            return
        tally.callers[report.number] = callers
        tally.reported_s[report.number] = now_s
        yield from self._judge(content, tally, report, suspects[0].route)

    def _blame(self, content: bytes, number: int, callers: set[bytes]) -> Iterator[Case]:
        """Blame other callers for an end that counts; take back verdicts that no longer hold."""
        tally = self._tallies.get(content)
        if tally is None or not tally.callers.get(number):
            return
        tally.callers[number] = callers
        if not callers:
            del tally.reported_s[number]
        blamed = tally.blamed
        is_proved = tally.count >= ENDS_TO_QUARANTINE
        for caller, end in tuple(tally.verdicts.items()):
            is_blamed = len(blamed) > 1 if caller == ANY_CALLER else caller in blamed
            if end == number and not (is_proved and is_blamed):
                del tally.verdicts[caller]
                case = self._table.release(Fingerprint(content, caller))
                if case is not None:
                    yield case

    def _find_tally(self, content: bytes) -> _Tally:
        tally = self._tallies.get(content)
        if tally is None or tally.ended_s < self._clock() - EVIDENCE_S:
            self._tallies[content] = _Tally()
        self._tallies.move_to_end(content)
        if len(self._tallies) > MAX_COUNTED:
            self._tallies.popitem(last=False)
        return self._tallies[content]

    def _judge(
        self, content: bytes, tally: _Tally, report: EndReport, route: str
    ) -> Iterator[Case]:
        if tally.count < ENDS_TO_SUSPECT:
            return
        is_proved = tally.count >= ENDS_TO_QUARANTINE
        state = CaseState.QUARANTINED if is_proved else CaseState.SUSPECTED
        callers = tally.blamed
        any_caller = Fingerprint(content, ANY_CALLER)
        if len(callers) > 1 and is_proved and not self._table.is_released(any_caller):
            callers.add(ANY_CALLER)
        for caller in sorted(callers):
            case = self._table.escalate(
                Fingerprint(content, caller),
                state,
                service=report.service,
                route=route,
                ends=tally.count,
            )
            if is_proved and (case is not None or caller not in tally.verdicts):
                tally.verdicts[caller] = report.number
            if case is not None:
                yield case


def _select_callers(tally: _Tally, suspects: Iterable[Suspect], number: int) -> set[bytes]:
    """Return the callers to blame for an end, of those whose requests of the same content ran."""
    callers = {suspect.fingerprint.caller for suspect in suspects}
    counts = {caller: tally.count_caller(caller, number) for caller in callers}
    most = max(counts.values())
    return {caller for caller, count in counts.items() if most < ENDS_TO_SUSPECT or count == most}


async def ignore_end(report: EndReport) -> None:
    """Report an end to nobody."""
