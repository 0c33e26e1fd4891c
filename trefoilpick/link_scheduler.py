"""Send order on the link of this VM: parts of large bodies yield to small messages.

Small messages are sent at once and only counted. The parts of large bodies are sent at the rest of
the link's rate, so that the queue forms here, where it can be ordered, and not in socket buffers.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.document import Priority

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from trefoilpick.metrics import Metrics
    from trefoilpick.snapshots import SnapshotCell

BYTES_PER_MBIT = 125_000
"""Bytes in a megabit."""

BYTES_PER_KBIT = 125
"""Bytes in a kilobit."""

LINK_SHARE = 0.95
"""Share of the link's rate that payload may use; headers of full TCP segments take 4.4 %. With
0.93, downloads over loopback sockets lost 9.9 % of their throughput, which is too near to 10 %."""

SMALL_BYTES = 4_096
"""Largest body that is sent at once, in bytes."""

PART_S = 0.003
"""Time on the link that a part of a large body takes, in seconds; a small message waits for the
part that is being sent."""

MIN_PART_BYTES = 4_096
"""Smallest size of a full part, in bytes; smaller ones cost more processor time than they save
waiting on slow links."""

MAX_PART_BYTES = 65_536
"""Largest size of a part, in bytes."""

CREDIT_S = 0.005
"""Unused time on the link that may be made up for, in seconds: timers are up to 2 ms late, which
would otherwise lower the throughput."""

MAX_DEBT_S = 0.25
"""Longest time that small messages may delay large bodies, in seconds, so that a rate that is set
too low slows large bodies but does not stop them."""

BUFFER_S = 0.25
"""Time on the link that buffered answers may take, in seconds. Beyond it they keep their slots, by
which callers' nodes see that the link is full; with 8 MB for any link, 15 % of the downloads of a
calm day missed their deadline."""

MAX_BUFFERED_BYTES = 8_388_608
"""Largest size of all buffered answers of a node on any link, in bytes."""

MAX_RANK_WAIT_S = 1.0
"""Longest time that a part yields to higher priorities, in seconds; shorter than any idle timeout
of a body."""

RANKS = {
    priority.value: rank
    for rank, priority in enumerate((Priority.INTERACTIVE, Priority.NORMAL, Priority.DEFERRABLE))
}
"""Ranks of the values of `Priority`, highest first."""


@dataclass(eq=False)
class Turn:
    """The wait of one part of a large body.

    Attributes:
        size: Size of the part, in bytes.
        rank: Rank of its priority.
        began_s: Clock reading when it began to wait, in seconds.
        is_granted: Whether the part may be sent.
        changed: Set when it is granted or its task should keep the time.
    """

    size: int
    rank: int
    began_s: float
    is_granted: bool = False
    changed: curio.Event = field(default_factory=curio.Event)


class LinkQueue:
    """Decides when and in which order parts are sent.

    Args:
        bytes_per_s: Rate of the link available for payload, in bytes per second.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self._waiting: tuple[deque[Turn], ...] = tuple(deque() for _ in RANKS)

    def count(self, size: int, now_s: float) -> None:
        """Count a message that is sent at once.

        Args:
            size: Size of the message, in bytes.
            now_s: Current clock reading, in seconds.
        """
        latest_s = max(self._free_s, now_s + MAX_DEBT_S)
        self._occupy(size, now_s)
        self._free_s = min(self._free_s, latest_s)

    def try_take(self, size: int, now_s: float) -> bool:
        """Take a turn if the link is free and nothing waits; return whether it was taken."""
        if self._free_s > now_s or any(self._waiting):
            return False
        self._occupy(size, now_s)
        return True

    def add(self, turn: Turn) -> None:
        """Add a turn behind those of its priority."""
        self._waiting[turn.rank].append(turn)

    def cancel(self, turn: Turn) -> None:
        """Remove a turn; if it was granted, give the time on the link back."""
        if turn.is_granted:
            self._free_s -= turn.size / self._bytes_per_s
        else:
            self._waiting[turn.rank].remove(turn)

    def grant(self, now_s: float) -> Iterator[Turn]:
        """Grant the turns that are due.

        Yields:
            The granted turns.
        """
        while self._free_s <= now_s and (turn := self.find_next(now_s)) is not None:
            self._waiting[turn.rank].popleft()
            turn.is_granted = True
            self._occupy(turn.size, now_s)
            yield turn

    def find_next(self, now_s: float) -> Turn | None:
        """Return the turn that is granted next; None if nothing waits."""
        first = [turns[0] for turns in self._waiting if turns]
        overdue = [turn for turn in first if now_s - turn.began_s > MAX_RANK_WAIT_S]
        return min(overdue, key=lambda turn: turn.began_s) if overdue else next(iter(first), None)

    def compute_delay(self, now_s: float) -> float:
        """Return the time until the link is free, in seconds."""
        return max(self._free_s - now_s, 0.0)

    def estimate_wait(self, now_s: float) -> float:
        """Return the time until all turns that wait now have been sent, in seconds."""
        waiting = sum(turn.size for turns in self._waiting for turn in turns)
        return self.compute_delay(now_s) + waiting / self._bytes_per_s

    def _occupy(self, size: int, now_s: float) -> None:
        self._free_s = max(self._free_s, now_s - CREDIT_S) + size / self._bytes_per_s


class LinkScheduler:
    """Delays the parts of large bodies that leave this VM.

    Args:
        mbps: Bandwidth of the link, in Mbit/s; 0 turns scheduling off.
        cell: Holder of the enforced version, which shows whether answers may be large.
        metrics: Metrics in which waiting is recorded.
        clock: Returns the current time, in seconds.
        share: Share of the bandwidth that large bodies may use.
        wait_metric: Histogram of the time for which turns wait, in microseconds.

    Attributes:
        bytes_per_s: Rate available for large bodies, in bytes per second.
        part_bytes: Largest size of a part, in bytes.
        buffer_bytes: Largest size of all buffered answers, in bytes.
    """

    def __init__(
        self,
        mbps: float,
        *,
        cell: SnapshotCell,
        metrics: Metrics,
        clock: Callable[[], float] = read_clock,
        share: float = LINK_SHARE,
        wait_metric: str = "trefoilpick_link_wait_microseconds",
    ) -> None:
        self.bytes_per_s = bytes_per_s = mbps * BYTES_PER_MBIT * share
        self.part_bytes = compute_part_bytes(bytes_per_s)
        self.buffer_bytes = min(int(bytes_per_s * BUFFER_S), MAX_BUFFERED_BYTES)
        self._queue = LinkQueue(bytes_per_s) if bytes_per_s else None
        self._cell = cell
        self._metrics = metrics
        self._clock = clock
        self._wait_metric = wait_metric
        self._has_timekeeper = False

    @property
    def is_active(self) -> bool:
        """Whether the link has a rate and a route of the enforced version has large answers."""
        if self._queue is None:
            return False
        snapshot = self._cell.current
        return snapshot is not None and snapshot.has_large_answers

    @property
    def orders_bodies(self) -> bool:
        """Whether a route of the enforced version has large bodies, and the link delays them.

        A link that sends a part of the largest size within `PART_S` delays nothing noticeably.
        """
        if self._queue is None or self.part_bytes == MAX_PART_BYTES:
            return False
        snapshot = self._cell.current
        return snapshot is not None and snapshot.has_large_bodies

    @property
    def _is_in_use(self) -> bool:
        return self.is_active or self.orders_bodies

    def count(self, size: int) -> None:
        """Count a small message, which is sent at once.

        Args:
            size: Size of the message, in bytes.
        """
        if self._queue is not None and self._is_in_use:
            self._queue.count(size, self._clock())

    def split(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        """Split chunks of a body into parts; yield them unchanged while scheduling is off."""
        size = self.part_bytes
        for chunk in chunks:
            if len(chunk) <= size or not self._is_in_use:
                yield chunk
                continue
            yield from split_chunk(chunk, size)

    def estimate_wait(self) -> float:
        """Return the time until all bodies that wait now have been sent, in seconds."""
        return 0.0 if self._queue is None else self._queue.estimate_wait(self._clock())

    async def acquire(self, size: int, *, priority: str) -> None:
        """Wait until a part of a large body may be sent; return at once while scheduling is off.

        Args:
            size: Size of the part, in bytes.
            priority: Value of `Priority`.
        """
        queue = self._queue
        if queue is None or not self._is_in_use:
            return
        began_s = self._clock()
        if queue.try_take(size, began_s):
            return
        turn = Turn(size, RANKS.get(priority, len(RANKS) - 1), began_s)
        queue.add(turn)
        try:
            await self._wait(queue, turn)
        except BaseException:
            queue.cancel(turn)
            raise
        finally:
            await self._wake_timekeeper(queue)
        waited_s = self._clock() - began_s
        self._metrics.observe(self._wait_metric, waited_s * 1e6)

    async def _wait(self, queue: LinkQueue, turn: Turn) -> None:
        """Wait for a turn. One of the waiting tasks keeps the time and grants the turns."""
        while not turn.is_granted:
            if self._has_timekeeper:
                await turn.changed.wait()
                turn.changed.clear()
                continue
            self._has_timekeeper = True
            try:
                await curio.sleep(queue.compute_delay(self._clock()))
            finally:
                self._has_timekeeper = False
            for granted in queue.grant(self._clock()):
                await granted.changed.set()

    async def _wake_timekeeper(self, queue: LinkQueue) -> None:
        """Let another waiting task keep the time if none does."""
        following = None if self._has_timekeeper else queue.find_next(self._clock())
        if following is not None:
            await following.changed.set()


def compute_part_bytes(bytes_per_s: float) -> int:
    """Return the largest size of a part at a rate in bytes per second, in bytes."""
    return min(max(int(bytes_per_s * PART_S), MIN_PART_BYTES), MAX_PART_BYTES)


def split_chunk(chunk: bytes, size: int) -> Iterator[bytes]:
    """Split a chunk of a body into parts of at most `size` bytes."""
    yield from (chunk[start : start + size] for start in range(0, len(chunk), size))
