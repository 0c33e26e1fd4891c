"""Decides on each node, without coordination, whether it reads the source."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.messages import MAX_SUBSTITUTES
from trefoilpick.overlay import (
    EveryNodeWatches,
    OverlayView,
    find_rank,
    is_regular_reader,
    list_local,
)
from trefoilpick.ranks import order_names

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection
    from random import Random

    from trefoilpick.membership import MembershipTable
    from trefoilpick.overlay import Overlay
    from trefoilpick.ratelimits import TokenBucket
    from trefoilpick.settings import ControlSettings
    from trefoilpick.source_reader import SourceReader
    from trefoilpick.vms import Vm

TAKEOVER_EXCHANGES = 10
"""Exchange intervals without a known read by a reader after which the next rank takes over."""

SUBSTITUTES = 3
"""Substitutes per reader of a data centre: ranks that may take over."""

SUBSTITUTE_DURATION_S = 60.0
"""Time for which a substitute keeps reading, in seconds."""

READER_BUDGET_FRACTION = 0.9
"""Fraction of the fleet's read budget that is reserved for readers."""

READER_BURST = 200.0
"""Burst size of a reader, in reads."""

REPORT_LIFETIME_EXCHANGES = 10
"""Exchange intervals for which a report that the source does not answer a VM holds."""

REPORT_INTERVAL_EXCHANGES = 4
"""Exchange intervals between two reports of the same reader."""

SUBSTITUTES_AT_ONCE = 4
"""Largest number of substitutes of a data centre that read at once in the place of its readers:
more of them would occupy low-bandwidth links once the source answers again."""

OTHER_BURST = 4.0
"""Burst size of any other node, in reads."""

NO_READER_MS = 2**31
"""Reported time since the last read if no reader was ever known, in milliseconds."""

UNLIMITED = 1e9
"""Rate and burst if every node watches the source."""


@dataclass(frozen=True, order=True)
class _Report:
    """A report of a reader that the source does not answer.

    Attributes:
        until_s: Time until which it holds, in seconds.
        substitutes: Names of the VMs that are to read in its place, first ones first.
    """

    until_s: float
    substitutes: tuple[str, ...]


class ReaderElection:
    """Starts and stops a node's reading of the source.

    The first ranks of each data centre read. If no read is known for several exchange intervals,
    the next ranks take over one after the other. A reader that the source does not answer names
    substitutes at once, since the source may answer others. If it answers none of the readers, a
    few substitutes read in the order of the first report: nodes on low-bandwidth links would not
    agree on one of their own. One that gets no answer either gives way to the next. Several
    readers at once are harmless.

    Args:
        control: The node's settings.
        overlay: The overlay in use.
        view: Returns the node's view of the fleet.
        membership: The VMs of the fleet.
        reader: Reads the source.
        budget: Limits the reads.
        random: Random number generator.
        report_availability: Sends the node's state to some VMs of its data centre.
    """

    def __init__(
        self,
        control: ControlSettings,
        *,
        overlay: Overlay,
        view: Callable[[], OverlayView],
        membership: MembershipTable,
        reader: SourceReader,
        budget: TokenBucket,
        random: Random,
        report_availability: Callable[[tuple[Vm, ...]], Awaitable[None]],
    ) -> None:
        self._control = control
        self._overlay = overlay
        self._view = view
        self._membership = membership
        self._reader = reader
        self._budget = budget
        self._exchange_s = control.exchange_ms / 1000
        self._takeover_jitter = random.random()
        self._reader_seen_s = read_clock()
        self._reader_was_seen = False
        self._substitute_until_s = float("-inf")
        self._report_availability = report_availability
        self._reports: dict[str, _Report] = {}
        self._was_unavailable = False
        self._informed: tuple[str, ...] = ()
        self._gave_way_until_s = float("-inf")
        self._report_due_s = float("-inf")
        self._woken = curio.Event()

    async def wake(self) -> None:
        """Re-evaluate the node's role now."""
        await self._woken.set()

    async def record_substitutes(self, name: str, substitutes: tuple[str, ...]) -> None:
        """Record whether a reader of the data centre gets no answers, and who is to read instead.

        Args:
            name: The reader's VM.
            substitutes: Names of VMs, first ones first; empty if the source answers the reader.
        """
        is_known = name in self._list_reports()
        known = self._reports.pop(name, None)
        if substitutes:
            until_s = read_clock() + REPORT_LIFETIME_EXCHANGES * self._exchange_s
            first = known.substitutes if known is not None and is_known else substitutes
            self._reports[name] = _Report(until_s, first)
        if is_known != bool(substitutes):
            await self.wake()

    def list_substitutes(self) -> tuple[str, ...]:
        """Return the names of the VMs that are to read in the node's place.

        There are none if the source answers it, or if all VMs read anyway.
        """
        view = self._view()
        if not self._is_unanswered or view.is_small:
            return ()
        reports = self._list_reports()
        names = (
            min(reports.values()).substitutes
            if reports
            else tuple(vm.name for vm in list_local(view))
        )
        others = (name for name in names if name != view.own.name)
        return tuple(itertools.islice(others, MAX_SUBSTITUTES))

    @property
    def _is_unanswered(self) -> bool:
        """Whether the source does not answer this node, or did not when it was a substitute."""
        is_trying = self._reader.is_started and self._reader.is_unavailable
        return is_trying or read_clock() < self._gave_way_until_s

    def record_reader_age(self, age_s: float) -> None:
        """Record the time since the last known read as reported by a peer of the data centre."""
        seen_s = read_clock() - age_s
        if seen_s >= self._reader_seen_s:
            self._reader_seen_s = seen_s
            self._reader_was_seen = True

    def measure_reader_age(self) -> float:
        """Return the time since the last known read by a reader of the data centre, in seconds."""
        now = read_clock()
        if self._reader.is_reading:
            self._reader_seen_s = now
            self._reader_was_seen = True
        return now - self._reader_seen_s

    def get_reader_age_ms(self) -> int:
        """Return the time since the last known read as reported to peers, in milliseconds.

        `NO_READER_MS` if no reader was ever known.
        """
        age_s = self.measure_reader_age()
        return int(age_s * 1_000) if self._reader_was_seen else NO_READER_MS

    def measure_source_age(self) -> float | None:
        """Return the time since the source last answered a reader of the data centre, in seconds.

        Returns:
            None if no such answer is known in this incarnation.
        """
        age_s = self.measure_reader_age()
        return age_s if self._reader_was_seen else None

    async def run(self) -> None:
        """Re-evaluate the node's role periodically until cancelled."""
        while True:
            view = self._view()
            read_order = self.find_read_order(view)
            self._budget.resize(*self.compute_budget(view, is_reader=read_order is not None))
            if read_order is None:
                self._reader.stop()
            else:
                await self._reader.start(read_order)
            await self._report(view)
            async with curio.ignore_after(self._exchange_s / 4):
                await self._woken.wait()
            self._woken.clear()

    async def _report(self, view: OverlayView) -> None:
        """Report that the source does not answer, repeatedly, and that it answers again, once."""
        is_unavailable = self._is_unanswered
        now = read_clock()
        if is_unavailable == self._was_unavailable and (
            not is_unavailable or now < self._report_due_s
        ):
            return
        self._was_unavailable = is_unavailable
        self._report_due_s = now + REPORT_INTERVAL_EXCHANGES * self._exchange_s
        self._informed = self.list_substitutes() or self._informed
        vms = tuple(vm for vm in list_local(view) if vm.name in self._informed)
        await self._report_availability(vms)

    def _list_reports(self) -> dict[str, _Report]:
        now = read_clock()
        return {name: report for name, report in self._reports.items() if now < report.until_s}

    def _takes_substitute_turn(self, view: OverlayView) -> bool:
        """Return whether this node reads now in the place of readers without answers.

        If the source does not answer it either, it gives way to the next substitute for a while.
        """
        now = read_clock()
        if now < self._gave_way_until_s:
            return False
        alive = {vm.name for vm in view.alive}
        reports = {name: one for name, one in self._list_reports().items() if name in alive}
        if len(reports) < view.readers or not any(
            view.own.name in self._list_remaining(report, alive - reports.keys())
            for report in reports.values()
        ):
            return False
        if self._reader.is_started and self._reader.is_unavailable:
            self._gave_way_until_s = now + REPORT_LIFETIME_EXCHANGES * self._exchange_s
            return False
        return True

    def _list_remaining(self, report: _Report, candidates: Collection[str]) -> list[str]:
        """Return the names of the first substitutes of a report that are to read now."""
        remaining = (name for name in report.substitutes if name in candidates)
        return list(itertools.islice(remaining, SUBSTITUTES_AT_ONCE))

    def find_read_order(self, view: OverlayView) -> int | None:
        """Return how many readers of the fleet precede this node, or None if it does not read."""
        if isinstance(self._overlay, EveryNodeWatches):
            return 0
        if self._membership.revision == 0:
            return None
        # The list may show this node in another data centre, and none in its own.
        centres = order_names((view.own.data_centre, *(vm.data_centre for vm in view.alive)))
        rank = find_rank(view)
        read_order = rank * len(centres) + centres.index(view.own.data_centre)
        if (
            is_regular_reader(self._overlay, view, rank)
            or self._takes_substitute_turn(view)
            or self._is_substitute(rank)
        ):
            return read_order
        return None

    def compute_budget(self, view: OverlayView, *, is_reader: bool) -> tuple[float, float]:
        """Return the node's share of the fleet's read budget as a rate per second and a burst."""
        if isinstance(self._overlay, EveryNodeWatches):
            return UNLIMITED, UNLIMITED
        reads = float(self._control.source_reads_per_s)
        alive = view.alive
        if is_reader:
            centres = {vm.data_centre for vm in alive}
            readers = self._control.readers * len(centres)
            if view.is_small:
                readers = max(readers, len(alive))
            return READER_BUDGET_FRACTION * reads / readers, READER_BURST
        has_list = self._membership.revision > 0
        vms = len(alive) if has_list else max(len(alive), self._control.expected_vms)
        return (1 - READER_BUDGET_FRACTION) * reads / vms, OTHER_BURST

    def _is_substitute(self, rank: int) -> bool:
        now = read_clock()
        if now < self._substitute_until_s:
            return True
        readers = self._control.readers
        if rank >= readers * (1 + SUBSTITUTES):
            return False
        exchanges = TAKEOVER_EXCHANGES + rank - readers + self._takeover_jitter
        if self.measure_reader_age() <= exchanges * self._exchange_s:
            return False
        self._substitute_until_s = now + SUBSTITUTE_DURATION_S
        return True
