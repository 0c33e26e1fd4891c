"""Checks of the guarantees from outside the nodes: by call results, workers' runs and status."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from soak.callers import ARCHIVE_PATH
from soak.fleet import OPERATOR_PORT, SERVICES
from trefoilpick._burn_fleet import CONVERGENCE_BOUND_MS
from trefoilpick._call_totals import CallResult, total_calls
from trefoilpick.errors import TrefoilpickError
from trefoilpick.fleet import query_node
from trefoilpick.status import NodeStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from soak.callers import FinishedCall
    from soak.fleet import SoakFleet, SoakNode

ENFORCED_WITHIN_S = CONVERGENCE_BOUND_MS / 1_000
"""Time within which a node without injected faults must enforce a version, in seconds: the
convergence target."""

RECOVERED_WITHIN_S = 20.0
"""Time after the last fault within which all nodes must be ready with the newest version, in
seconds: the convergence target of 8 s, a process start, and the time for which nodes do not contact
a peer that they consider dead."""

MIN_ANSWERED_SHARE = 0.98
"""Minimum share of calls after the recovery that must be answered."""

STATUS_TIMEOUT_S = 0.5
"""Timeout of a status query, in seconds."""

POLL_INTERVAL_S = 0.25
"""Time between two status queries of a node, in seconds."""


@dataclass
class NodeMonitor:
    """Polls the status of all nodes while the soak runs.

    Attributes:
        fleet: The fleet.
        violations: Descriptions of violated guarantees.
    """

    fleet: SoakFleet
    violations: list[str] = field(default_factory=list)
    _versions: dict[tuple[str, int], int] = field(default_factory=dict)

    async def run(self) -> None:
        """Poll all nodes until cancelled."""
        while True:
            for node in self.fleet.nodes:
                await self._check_status(node)
            await curio.sleep(POLL_INTERVAL_S)

    async def wait_for_recovery(self) -> None:
        """Wait until every node is ready with the newest version."""
        began = time.monotonic()
        waiting = list(self.fleet.nodes)
        while waiting:
            if time.monotonic() - began > RECOVERED_WITHIN_S:
                names = ", ".join(node.vm.name for node in waiting)
                self.violations.append(f"no recovery within {RECOVERED_WITHIN_S} s: {names}")
                return
            waiting = [node for node in waiting if not await self._is_up_to_date(node)]
            await curio.sleep(POLL_INTERVAL_S)

    async def _check_status(self, node: SoakNode) -> None:
        incarnation_key = (node.vm.name, node.incarnation)
        now = time.monotonic()
        due = self._find_required_version(node, now)
        status = await query_status(node)
        if status is None or status.version is None or incarnation_key[1] != node.incarnation:
            return
        number = status.version.number
        newest_seen = self._versions.get(incarnation_key, 0)
        self._versions[incarnation_key] = max(newest_seen, number)
        if number < newest_seen:
            self.violations.append(
                f"{node.vm.name} went back from version {newest_seen} to {number}"
            )
        if number < due and node.last_fault_at < now - ENFORCED_WITHIN_S and not node.is_down:
            self.violations.append(f"{node.vm.name} has version {number}, but version {due} is due")

    def _find_required_version(self, node: SoakNode, now: float) -> int:
        """Return the number of the oldest version that a node without faults may have now."""
        latest_at = now - ENFORCED_WITHIN_S
        return max(
            (number for number, at in self.fleet.accepted.items() if at <= latest_at), default=0
        )

    async def _is_up_to_date(self, node: SoakNode) -> bool:
        status = await query_status(node)
        if status is None or status.version is None:
            return False
        return status.ready and status.version.number == self.fleet.newest


async def query_status(node: SoakNode) -> NodeStatus | None:
    """Return a node's status; None if it does not answer."""
    try:
        return await query_node(
            f"{node.host}:{OPERATOR_PORT}", "/status", NodeStatus, timeout_s=STATUS_TIMEOUT_S
        )
    except TrefoilpickError:
        return None


def check_calls(finished: Iterable[FinishedCall], fleet: SoakFleet) -> Iterator[str]:
    """Yield descriptions of violated guarantees of calls.

    Args:
        finished: Finished calls of all callers.
        fleet: The fleet that served them.
    """
    finished = list(finished)
    totals = total_calls((entry.call for entry in finished), fleet.count_runs())
    for name in ("lost", "doubled", "cut", "false_not_run"):
        if count := getattr(totals, name):
            yield f"{count} calls {name.replace('_', ' ')}"
    for entry in finished:
        call = entry.call
        if entry.path == ARCHIVE_PATH and call.service and not _may_serve(entry, fleet):
            yield f"{call.request_id} was served by {call.service}, which no longer has its route"


def check_recovery(finished: Iterable[FinishedCall], recovered_at: float) -> Iterator[str]:
    """Yield a violation if too few calls were answered after the recovery."""
    after_recovery = [entry for entry in finished if entry.sent_at > recovered_at]
    answered = sum(entry.call.result is CallResult.ANSWERED for entry in after_recovery)
    if not after_recovery or answered < MIN_ANSWERED_SHARE * len(after_recovery):
        yield f"{answered} of {len(after_recovery)} calls answered after the recovery"


def _may_serve(entry: FinishedCall, fleet: SoakFleet) -> bool:
    """Return whether the archive's route may have led to the service when a call was made."""
    newest = max(
        (
            number
            for number, at in fleet.accepted.items()
            if at <= entry.sent_at - ENFORCED_WITHIN_S
        ),
        default=0,
    )
    allowed = {number for number in fleet.accepted if number >= newest}
    # A node that cannot be reached may lag, so calls shortly after a fault are not checked.
    is_unaffected = all(
        node.last_fault_at < entry.sent_at - ENFORCED_WITHIN_S for node in fleet.nodes
    )
    return not is_unaffected or entry.call.service in {
        SERVICES[(number - 1) % len(SERVICES)] for number in allowed
    }
