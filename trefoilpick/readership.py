"""Whether a node reads the source, decided by each node alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.overlay import EveryNodeWatches, OverlayView, find_rank, read_share
from trefoilpick.ranks import order_names

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from trefoilpick.overlay import Overlay
    from trefoilpick.ratelimits import TokenBucket
    from trefoilpick.reading import SourceReader
    from trefoilpick.roster import Roster
    from trefoilpick.settings import ControlSettings

SILENT_EXCHANGES = 10
"""Exchanges without news of a reader after which the next rank takes over."""

SUBSTITUTES = 3
"""Ranks that may take over, for each reader of a data centre."""

SUBSTITUTE_S = 60.0
"""Time that a node which took over goes on reading, in seconds."""

READERS_SHARE = 0.9
"""Share of the fleet's reads that the readers have."""

READER_BURST = 200.0
"""Reads that a reader may make at once."""

OTHER_BURST = 4.0
"""Reads that another node may make at once."""

NEVER_MS = 2**31
"""Silence that is told where no reader was known yet, in milliseconds: longer than any."""

UNLIMITED = 1e9
"""Rate and burst where every node watches the source."""


class Readership:
    """Starts and stops a node's reading of the source.

    The first ranks of each data centre read. Where no reader is heard of for long, the next ranks
    take over, one after the other; two at once do no harm.

    Args:
        control: The node's settings.
        overlay: The way of reaching the fleet.
        view: Returns what the node believes of the fleet.
        roster: The VMs of the fleet.
        reader: What reads the source.
        budget: Limits its reads.
        random: Source of draws.
    """

    def __init__(
        self,
        control: ControlSettings,
        *,
        overlay: Overlay,
        view: Callable[[], OverlayView],
        roster: Roster,
        reader: SourceReader,
        budget: TokenBucket,
        random: Random,
    ) -> None:
        self._control = control
        self._overlay = overlay
        self._view = view
        self._roster = roster
        self._reader = reader
        self._budget = budget
        self._exchange_s = control.exchange_ms / 1000
        self._patience = random.random()
        self._seen_s = read_clock()
        self._was_seen = False
        self._until_s = float("-inf")

    def note_silence(self, silence_s: float) -> None:
        """Record how long ago a peer of the data centre knew a reader to read."""
        seen_s = read_clock() - silence_s
        if seen_s >= self._seen_s:
            self._seen_s = seen_s
            self._was_seen = True

    def measure_silence(self) -> float:
        """Return the time since a reader of the data centre was known to read, in seconds."""
        now = read_clock()
        if self._reader.is_reading:
            self._seen_s = now
            self._was_seen = True
        return now - self._seen_s

    def tell_silence(self) -> int:
        """Return the silence for peers, in milliseconds; very long where no reader was known."""
        silence_s = self.measure_silence()
        return int(silence_s * 1_000) if self._was_seen else NEVER_MS

    def measure_age(self) -> float | None:
        """Return the time since the source was known to answer in the data centre, in seconds.

        Returns:
            None where it never was in this incarnation.
        """
        silence_s = self.measure_silence()
        return silence_s if self._was_seen else None

    async def run(self) -> None:
        """Decide again and again, until cancelled."""
        while True:
            turn = self.find_turn()
            self._budget.resize(*self.size_budget(is_reader=turn is not None))
            if turn is None:
                self._reader.stop()
            else:
                await self._reader.start(turn)
            await curio.sleep(self._exchange_s / 4)

    def find_turn(self) -> int | None:
        """Return how many readers of the fleet go before this node; None where it is none."""
        if isinstance(self._overlay, EveryNodeWatches):
            return 0
        if self._roster.revision == 0:
            return None
        view = self._view()
        centres = order_names(vm.data_centre for vm in view.alive)
        rank = find_rank(view)
        turn = rank * len(centres) + centres.index(view.own.data_centre)
        if read_share(self._overlay, view) or self._is_substitute(rank):
            return turn
        return None

    def size_budget(self, *, is_reader: bool) -> tuple[float, float]:
        """Return the node's rate and burst of reads: its part of the fleet's."""
        if isinstance(self._overlay, EveryNodeWatches):
            return UNLIMITED, UNLIMITED
        reads = float(self._control.source_reads_per_s)
        alive = self._roster.list_alive()
        if is_reader:
            centres = {vm.data_centre for vm in alive}
            readers = self._control.readers * len(centres)
            if self._view().is_small:
                readers = max(readers, len(alive))
            return READERS_SHARE * reads / readers, READER_BURST
        listed = self._roster.revision > 0
        vms = len(alive) if listed else max(len(alive), self._control.expected_vms)
        return (1 - READERS_SHARE) * reads / vms, OTHER_BURST

    def _is_substitute(self, rank: int) -> bool:
        now = read_clock()
        if now < self._until_s:
            return True
        readers = self._control.readers
        if rank >= readers * (1 + SUBSTITUTES):
            return False
        turns = SILENT_EXCHANGES + rank - readers + self._patience
        if self.measure_silence() <= turns * self._exchange_s:
            return False
        self._until_s = now + SUBSTITUTE_S
        return True
