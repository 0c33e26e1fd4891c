"""Large bodies of requests on the receiving side of this VM's link.

Each sender knows its own link only. Bodies that several senders transmit at the same time queue in
front of the receiver's link, and small messages queue behind them. So the receiving node asks for
one body after the other, each at the rate of its link.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.averages import update_average
from trefoilpick.link_scheduler import BYTES_PER_KBIT, LinkScheduler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from trefoilpick.metrics import Metrics
    from trefoilpick.snapshots import SnapshotCell

INCOMING_SHARE = 0.9
"""Share of the link's rate for large bodies. The rest carries heads, small bodies, answers and
bodies that callers send to this VM directly."""

MAX_BODY_BYTES = 1_048_576
"""Largest body that is received before its request has a slot, in bytes."""

MAX_HELD_BYTES = 8_388_608
"""Largest size of all bodies that are received or awaited before their requests have a slot, in
bytes."""

WAIT_WEIGHT = 0.1
"""Weight of the newest wait in the reported average: senders hear of it a second or more later, so
that the current backlog would tell them little."""

MS_PER_S = 1_000


class IncomingBodies:
    """Decides when the body of a request may be sent to this VM.

    Args:
        mbps: Bandwidth of the link, in Mbit/s; 0 if it does not limit bodies.
        cell: Holder of the enforced version, which shows whether bodies may be large.
        metrics: Metrics in which waiting is recorded.
        clock: Returns the current time, in seconds.
    """

    def __init__(
        self,
        mbps: float,
        *,
        cell: SnapshotCell,
        metrics: Metrics,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._link = LinkScheduler(
            mbps,
            cell=cell,
            metrics=metrics,
            clock=clock,
            share=INCOMING_SHARE,
            wait_metric="trefoilpick_body_wait_microseconds",
        )
        self._held_bytes = 0
        self._mean_wait_s = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the link delays bodies and a route of the enforced version has large ones."""
        return self._link.orders_bodies

    @property
    def body_kbps(self) -> int:
        """Rate at which bodies are to be sent to this VM, in kbit/s; 0 for no limit."""
        return int(self._link.bytes_per_s / BYTES_PER_KBIT) if self.is_active else 0

    def measure_wait_ms(self) -> int:
        """Return the mean time for which bodies wait for the link, in milliseconds."""
        if not self.is_active:
            return 0
        wait_s = self._link.estimate_wait()
        self._mean_wait_s = update_average(self._mean_wait_s, wait_s, weight=WAIT_WEIGHT)
        return round(self._mean_wait_s * MS_PER_S)

    def can_hold(self, size: int) -> bool:
        """Return whether a body may be received before its request has a slot.

        Args:
            size: Size of the body, in bytes.
        """
        return size <= MAX_BODY_BYTES and self._held_bytes + size <= MAX_HELD_BYTES

    @contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Count a body as received or awaited within the context.

        Args:
            size: Size of the body, in bytes.
        """
        self._held_bytes += size
        try:
            yield
        finally:
            self._held_bytes -= size

    def estimate_wait(self) -> float:
        """Return the time until the link is free for a further body, in seconds."""
        return self._link.estimate_wait()

    def estimate_transfer(self, size: int) -> float:
        """Return the time that a body takes on the link, in seconds.

        Args:
            size: Size of the body, in bytes.
        """
        return size / self._link.bytes_per_s

    async def acquire(self, size: int, *, priority: str) -> None:
        """Wait until the body may be sent, and occupy the link for its transfer.

        Args:
            size: Size of the body, in bytes.
            priority: Value of `Priority`.
        """
        await self._link.acquire(size, priority=priority)
