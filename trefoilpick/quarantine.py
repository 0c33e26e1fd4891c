"""Quarantine of poison requests, which end every worker that runs them.

A few nodes count the ends of workers under the same request (`blame`). After the second one it is
suspected, after the third quarantined: no node sends it to a worker any more. The cases spread to
all nodes (`quarantine_sync`). Any answer of a worker shows that a request ends no workers, and
releases it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from trefoilpick.fingerprints import Fingerprint

MAX_CASES = 64
"""Largest number of cases that a node keeps: many times the requests that end workers at once."""

EVIDENCE_S = 3_600.0
"""Time after its last end for which the ends of a request are remembered, in seconds."""

QUARANTINE_S = 86_400.0
"""Time after its last arrival for which a request stays quarantined, in seconds."""

RELEASED_S = 60.0
"""Time for which a released case is remembered, in seconds: longer than it takes to spread."""

TRIAL_DELAYS_S = (5.0, 60.0)
"""Time from the quarantine to the first trial, and from that to the second one, in seconds. There
is no third one."""


class CaseState(IntEnum):
    """State of a case; of two changes made at the same time the higher one applies."""

    SUSPECTED = 0
    """Workers ended under it. It still runs, and nodes watch for its answers."""
    QUARANTINED = 1
    """It is not sent to workers."""
    RELEASED = 2
    """A worker has answered it."""


@dataclass(frozen=True)
class Case:
    """A request under which workers ended.

    Attributes:
        fingerprint: Identity of the request.
        service: Service of the workers.
        route: Name of the route.
        state: Its state.
        revision: Increases with every change of the state and with every trial.
        ends: Ends of workers that were counted when the state changed last.
        trials: Trials made since it was quarantined.
        trial_at_s: Clock reading from which a trial may be made, in seconds.
        expires_at_s: Clock reading at which it is forgotten, in seconds.
    """

    fingerprint: Fingerprint
    service: str
    route: str
    state: CaseState
    revision: int
    ends: int
    trials: int
    trial_at_s: float
    expires_at_s: float

    @property
    def has_trials_left(self) -> bool:
        """Whether another trial may be made."""
        return self.trials < len(TRIAL_DELAYS_S)

    def may_try(self, now_s: float) -> bool:
        """Return whether a trial may be made now."""
        return self.has_trials_left and now_s >= self.trial_at_s

    def estimate_wait(self, now_s: float) -> float:
        """Return the time until the request may be tried again, in seconds."""
        return max((self.trial_at_s if self.has_trials_left else self.expires_at_s) - now_s, 0.0)


class QuarantineTable:
    """The cases that a node knows.

    Args:
        clock: Reads the node's clock, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = read_clock) -> None:
        self._clock = clock
        self._cases: dict[Fingerprint, Case] = {}
        self._open_count = 0

    def __iter__(self) -> Iterator[Case]:
        """Iterate over the cases that have not expired."""
        now_s = self._clock()
        yield from (case for case in self._cases.values() if case.expires_at_s > now_s)

    @property
    def has_open_cases(self) -> bool:
        """Whether any request is suspected or quarantined."""
        return self._open_count > 0

    def find(self, fingerprint: Fingerprint) -> Case | None:
        """Return the case of a request; a quarantine for any caller goes before its own."""
        if not self._open_count:
            return None
        general = self._find(fingerprint.for_any_caller)
        if general is not None and general.state is CaseState.QUARANTINED:
            return general
        return self._find(fingerprint)

    def find_quarantined(self, fingerprint: Fingerprint) -> Case | None:
        """Return the case of a request if it is quarantined."""
        case = self.find(fingerprint)
        return case if case is not None and case.state is CaseState.QUARANTINED else None

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is quarantined for just this caller, or for just any caller."""
        case = self._find(fingerprint)
        return case is not None and case.state is CaseState.QUARANTINED

    def is_released(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was released recently."""
        case = self._find(fingerprint)
        return case is not None and case.state is CaseState.RELEASED

    def escalate(
        self, fingerprint: Fingerprint, state: CaseState, *, service: str, route: str, ends: int
    ) -> Case | None:
        """Suspect or quarantine a request; return the new case, None if nothing changes."""
        known = self._find(fingerprint)
        if known is not None and state <= known.state < CaseState.RELEASED:
            return None
        now_s = self._clock()
        keep_s = QUARANTINE_S if state is CaseState.QUARANTINED else EVIDENCE_S
        case = Case(
            fingerprint,
            service,
            route,
            state,
            revision=known.revision + 1 if known is not None else 1,
            ends=ends,
            trials=0,
            trial_at_s=now_s + TRIAL_DELAYS_S[0],
            expires_at_s=now_s + keep_s,
        )
        self._put(case)
        return case

    def release(self, fingerprint: Fingerprint) -> Case | None:
        """Release a request that a worker has answered; return the new case if it was open."""
        known = self._find(fingerprint)
        if known is None or known.state is CaseState.RELEASED:
            return None
        case = replace(
            known,
            state=CaseState.RELEASED,
            revision=known.revision + 1,
            expires_at_s=self._clock() + RELEASED_S,
        )
        self._put(case)
        return case

    def begin_trial(self, case: Case) -> Case:
        """Use up one trial of a quarantined request; return the new case."""
        trials = case.trials + 1
        now_s = self._clock()
        delay_s = TRIAL_DELAYS_S[min(trials, len(TRIAL_DELAYS_S) - 1)]
        tried = replace(case, revision=case.revision + 1, trials=trials, trial_at_s=now_s + delay_s)
        self._put(tried)
        return tried

    def record_arrival(self, case: Case) -> None:
        """Keep a quarantined request quarantined, since it has come again."""
        now_s = self._clock()
        if case.expires_at_s < now_s + QUARANTINE_S / 2:
            self._put(replace(case, expires_at_s=now_s + QUARANTINE_S))

    def merge(self, cases: Iterable[Case]) -> tuple[Case, ...]:
        """Adopt the cases of a peer that are newer; return those that changed a state."""
        changed = []
        for case in cases:
            known = self._find(case.fingerprint)
            if known is None or (case.revision, case.state) > (known.revision, known.state):
                self._put(case)
                changed.append(case)
            elif case.revision == known.revision and case.expires_at_s > known.expires_at_s:
                self._put(replace(known, expires_at_s=case.expires_at_s))
        return tuple(changed)

    def drop_expired(self) -> tuple[Case, ...]:
        """Forget the cases that have expired, and return them."""
        now_s = self._clock()
        expired = tuple(case for case in self._cases.values() if case.expires_at_s <= now_s)
        for case in expired:
            del self._cases[case.fingerprint]
        self._count_open()
        return expired

    def _find(self, fingerprint: Fingerprint) -> Case | None:
        case = self._cases.get(fingerprint)
        return case if case is not None and case.expires_at_s > self._clock() else None

    def _put(self, case: Case) -> None:
        self._cases[case.fingerprint] = case
        if len(self._cases) > MAX_CASES:
            del self._cases[min(self._cases.values(), key=_order_for_eviction).fingerprint]
        self._count_open()

    def _count_open(self) -> None:
        self._open_count = sum(
            case.state is not CaseState.RELEASED for case in self._cases.values()
        )


def _order_for_eviction(case: Case) -> tuple[int, float]:
    """Order cases: released ones first, then suspected ones, the oldest first."""
    order = (CaseState.RELEASED, CaseState.SUSPECTED, CaseState.QUARANTINED)
    return order.index(case.state), case.expires_at_s
