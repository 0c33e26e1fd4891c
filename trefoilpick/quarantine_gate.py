"""Decisions about quarantined requests at a caller's node and at the node beside a worker."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import Event
from trefoilpick.quarantine import Case, CaseState, QuarantineTable
from trefoilpick.ranks import rank_vms
from trefoilpick.status import QuarantineCase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from trefoilpick.fingerprints import Fingerprint
    from trefoilpick.logs import StateLog
    from trefoilpick.metrics import Metrics
    from trefoilpick.vms import Vm

MIN_RETRY_AFTER_S = 1.0
"""Shortest time after which the caller of a quarantined request may come back, in seconds."""


class QuarantineGate:
    """Refuses quarantined requests, and admits a trial when one is due.

    A trial shows whether the quarantine was wrong, and runs on one worker of the fleet: the nodes
    choose its VM by the request's fingerprint, and that VM's node admits it once.

    Args:
        own_vm: Name of the node's VM.
        table: The cases that the node knows.
        list_endpoints: Returns the VMs of a service that accept new work.
        metrics: Metrics of the node.
        log: Log of state changes.
        clock: Reads the node's clock, in seconds.

    Attributes:
        on_change: Called with each case that this node changes.
    """

    def __init__(
        self,
        own_vm: str,
        table: QuarantineTable,
        *,
        list_endpoints: Callable[[str], tuple[Vm, ...]],
        metrics: Metrics,
        log: StateLog | None = None,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self.table = table
        self.on_change: Callable[[Case], Awaitable[None]] = _ignore_change
        self._own_vm = own_vm
        self._list_endpoints = list_endpoints
        self._metrics = metrics
        self._log = log
        self._clock = clock

    @property
    def is_open(self) -> bool:
        """Whether no request is suspected or quarantined, so that nothing needs to be checked."""
        return not self.table.has_open_cases

    def check(self, fingerprint: Fingerprint) -> str | None:
        """Return the VM to which a request must be sent as a trial; None for any VM.

        Raises:
            TrefoilpickError: `QUARANTINED`.
        """
        case = self.table.find_quarantined(fingerprint)
        if case is None:
            return None
        self.table.record_arrival(case)
        host = self._find_trial_host(case)
        if host is None:
            raise self._refuse(case)
        return host

    def check_arrival(self, fingerprint: Fingerprint) -> None:
        """Refuse a request that this node's worker will not get.

        Raises:
            TrefoilpickError: `QUARANTINED`.
        """
        self.check(fingerprint)
        self._find_own_trial(fingerprint)

    async def admit(self, fingerprint: Fingerprint) -> None:
        """Admit a request that is about to be sent to this node's worker.

        Raises:
            TrefoilpickError: `QUARANTINED`.
        """
        case = self._find_own_trial(fingerprint)
        if case is None:
            return
        tried = self.table.begin_trial(case)
        self.report_case(tried, reason="trial")
        await self.on_change(tried)

    async def record_answer(self, fingerprint: Fingerprint) -> None:
        """Release a request that a worker has answered."""
        for answered in (fingerprint, fingerprint.for_any_caller):
            case = self.table.release(answered)
            if case is not None:
                self.report_case(case, reason="answered")
                await self.on_change(case)

    def describe(self) -> tuple[QuarantineCase, ...]:
        """Return the suspected and quarantined requests for operators."""
        now_s = self._clock()
        return tuple(
            QuarantineCase(
                str(case.fingerprint),
                case.state.name.lower(),
                case.service,
                case.route,
                case.ends,
                case.trials,
                round(case.estimate_wait(now_s), 1),
            )
            for case in self.table
            if case.state is not CaseState.RELEASED
        )

    def report_case(self, case: Case, *, reason: str) -> None:
        """Log and measure the newest state of a case."""
        cases = list(self.table)
        for state in (CaseState.SUSPECTED, CaseState.QUARANTINED):
            count = sum(known.state is state for known in cases)
            self._metrics.set_gauge("trefoilpick_quarantine_cases", count, state=state.name.lower())
        if self._log is None:
            return
        name = case.state.name.lower()
        self._log.report(
            Event.QUARANTINE,
            f"{name} {case.revision}",
            subject=str(case.fingerprint),
            level=logging.INFO if case.state is CaseState.RELEASED else logging.WARNING,
            reason=reason,
            ends=case.ends,
            trials=case.trials,
            service=case.service,
            route=case.route,
        )

    def _find_own_trial(self, fingerprint: Fingerprint) -> Case | None:
        """Return the case that this node's worker may try; None if the request needs no trial.

        Raises:
            TrefoilpickError: `QUARANTINED`.
        """
        case = self.table.find_quarantined(fingerprint)
        if case is not None and self._find_trial_host(case) != self._own_vm:
            raise self._refuse(case)
        return case

    def _find_trial_host(self, case: Case) -> str | None:
        """Return the VM whose worker may get a trial now; None if no trial is due."""
        if not case.may_try(self._clock()):
            return None
        ranked = rank_vms(self._list_endpoints(case.service), case.fingerprint.content.hex())
        return ranked[0].name if ranked else None

    def _refuse(self, case: Case) -> TrefoilpickError:
        self._metrics.count("trefoilpick_quarantine_refusals_total")
        text = (
            f'request "{case.fingerprint}" is quarantined: {case.ends} workers of service'
            f' "{case.service}" ended while they ran it'
        )
        wait_s = max(case.estimate_wait(self._clock()), MIN_RETRY_AFTER_S)
        return TrefoilpickError(ErrorKind.QUARANTINED, text, retry_after_s=wait_s)


async def _ignore_change(case: Case) -> None:
    """Tell nobody of a changed case."""


def open_local_gate(own_vm: str, metrics: Metrics) -> QuarantineGate:
    """Return a gate that learns of no cases, for a server without a distributor."""
    return QuarantineGate(
        own_vm, QuarantineTable(), list_endpoints=lambda service: (), metrics=metrics
    )
