"""Spread of quarantine cases between nodes, and of the reports on which they are based."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.blame import BlameCounter, EndReport, Suspect
from trefoilpick.fingerprints import Fingerprint
from trefoilpick.messages import (
    MAX_END_REPORTS,
    MAX_EXCHANGED_CASES,
    MAX_SUSPECTS,
    CaseNotice,
    EndReports,
    WireCase,
    WireEnd,
    WireSuspect,
)
from trefoilpick.quarantine import Case, CaseState
from trefoilpick.ranks import rank_vms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from trefoilpick.messages import Body
    from trefoilpick.quarantine_gate import QuarantineGate
    from trefoilpick.vms import Vm

COUNTING_NODES = 3
"""Nodes that count the ends of one service's workers: some may fail, or restart and forget."""

RECENT_S = 2.0
"""Time for which reports are sent again with newer ones, in seconds: a message that is queued for a
peer is replaced by the next one."""

SPREAD_GAP_S = 0.1
"""Shortest time between two notices of changed cases, in seconds."""

MS_PER_S = 1_000
"""Milliseconds in a second."""


class QuarantineSync:
    """Reports ends of the node's worker, counts those of others, and spreads the cases.

    Ends are reported to the few nodes that rank first for the service, so that one node sees all of
    them while the others hear nothing. Cases are forwarded along the overlay like announcements,
    and every exchange of state repeats some of them for nodes that start, wake or rejoin.

    Args:
        own_vm: Name of the node's VM.
        gate: The node's gate, whose changes are spread.
        list_alive: Returns the VMs that are considered alive, including the node's own.
        list_targets: Returns the peers to which changes are sent.
        send: Sends a message to a VM.
        request_spread: Called when changes wait for `spread`, which is called some time later.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(
        self,
        own_vm: str,
        gate: QuarantineGate,
        *,
        list_alive: Callable[[], tuple[Vm, ...]],
        list_targets: Callable[[], tuple[Vm, ...]],
        send: Callable[[Vm, Body], Awaitable[None]],
        request_spread: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self.gate = gate
        self.counter = BlameCounter(gate.table, clock)
        self._own_vm = own_vm
        self._list_alive = list_alive
        self._list_targets = list_targets
        self._send = send
        self._request_spread = request_spread
        self._clock = clock
        self._reports: deque[tuple[float, EndReport]] = deque(maxlen=MAX_END_REPORTS)
        self._changes: dict[Fingerprint, tuple[Case, str]] = {}
        self._exchanged = 0
        gate.on_change = self._handle_own_change

    async def report_end(self, report: EndReport) -> None:
        """Report an end of this node's worker to the nodes that count them."""
        now_s = self._clock()
        self._reports.append((now_s, report))
        recent = [r for at_s, r in self._reports if at_s >= now_s - RECENT_S]
        message = EndReports(tuple(_pack_end(r) for r in recent))
        for vm in self.list_counting_nodes(report.service):
            if vm.name != self._own_vm:
                await self._send(vm, message)
            else:
                await self._count(report)

    async def handle_reports(self, reports: EndReports) -> None:
        """Count ends that a peer reports."""
        for end in reports.ends:
            await self._count(_unpack_end(end))

    async def handle_cases(self, cases: Iterable[WireCase], sender: str) -> None:
        """Adopt the cases of a peer, and forward those that changed."""
        now_s = self._clock()
        changed = self.gate.table.merge(_unpack_case(case, now_s) for case in cases)
        for case in changed:
            if case.state is CaseState.RELEASED:
                self.counter.clear(case.fingerprint)
            self.gate.report_case(case, reason=f"reported by {sender}")
        await self._add_changes(changed, sender)

    async def spread(self) -> None:
        """Send the changes since the last call to the peers, except to those that sent them."""
        now_s = self._clock()
        changes, self._changes = list(self._changes.values()), {}
        for vm in self._list_targets():
            cases = [case for case, sender in changes if vm.name not in (sender, self._own_vm)]
            # More changes at once than fit follow with the exchanges of state.
            packed = tuple(_pack_case(case, now_s) for case in cases[:MAX_EXCHANGED_CASES])
            if packed:
                await self._send(vm, CaseNotice(packed))

    def list_exchanged(self) -> tuple[WireCase, ...]:
        """Return the cases to include in the next exchange of state; they take turns."""
        for case in self.gate.table.drop_expired():
            self.gate.report_case(case, reason="expired")
        cases = list(self.gate.table)
        if not cases:
            return ()
        begin = self._exchanged % len(cases)
        self._exchanged += MAX_EXCHANGED_CASES
        now_s = self._clock()
        chosen = (cases[begin:] + cases[:begin])[:MAX_EXCHANGED_CASES]
        return tuple(_pack_case(case, now_s) for case in chosen)

    async def _count(self, report: EndReport) -> None:
        for case in tuple(self.counter.record(report)):
            is_released = case.state is CaseState.RELEASED
            reason = "another request was at fault" if is_released else f"{case.ends} workers ended"
            self.gate.report_case(case, reason=reason)
            await self._add_changes((case,), "")

    async def _handle_own_change(self, case: Case) -> None:
        if case.state is CaseState.RELEASED:
            self.counter.clear(case.fingerprint)
        await self._add_changes((case,), "")

    async def _add_changes(self, changed: tuple[Case, ...], sender: str) -> None:
        if not changed:
            return
        self._changes.update((case.fingerprint, (case, sender)) for case in changed)
        await self._request_spread()

    def list_counting_nodes(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs whose nodes count the ends of a service's workers."""
        return rank_vms(self._list_alive(), service)[:COUNTING_NODES]


def _pack_end(report: EndReport) -> WireEnd:
    suspects = (
        WireSuspect(s.fingerprint.content, s.fingerprint.caller, s.route, round(s.ran_s * MS_PER_S))
        for s in report.suspects[:MAX_SUSPECTS]
    )
    return WireEnd(report.number, report.service, tuple(suspects))


def _unpack_end(end: WireEnd) -> EndReport:
    suspects = (
        Suspect(Fingerprint(s.content, s.caller), s.route, s.ran_ms / MS_PER_S)
        for s in end.suspects
    )
    return EndReport(end.number, end.service, tuple(suspects))


def _pack_case(case: Case, now_s: float) -> WireCase:
    """Return a case for a peer, whose clock is another one: times are relative."""
    return WireCase(
        case.fingerprint.content,
        case.fingerprint.caller,
        case.service,
        case.route,
        int(case.state),
        case.revision,
        case.ends,
        case.trials,
        max(round((case.trial_at_s - now_s) * MS_PER_S), 0),
        max(round((case.expires_at_s - now_s) * MS_PER_S), 0),
    )


def _unpack_case(case: WireCase, now_s: float) -> Case:
    return Case(
        Fingerprint(case.content, case.caller),
        case.service,
        case.route,
        CaseState(case.state),
        case.revision,
        case.ends,
        case.trials,
        now_s + case.trial_in_ms / MS_PER_S,
        now_s + case.expires_in_ms / MS_PER_S,
    )
