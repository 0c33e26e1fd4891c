"""Answers that are sent at the link's pace while the worker may already serve other requests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import curio

from trefoilpick._worker_connections import READ_BYTES
from trefoilpick.errors import TrefoilpickError
from trefoilpick.hops import FrameKind, encode_data, encode_frame

if TYPE_CHECKING:
    from curio.task import Task

    from trefoilpick._hop_connections import HopConnection
    from trefoilpick.link_scheduler import LinkScheduler
    from trefoilpick.metrics import Metrics

END = encode_frame(FrameKind.END)
"""The frame that ends a body."""


class BufferLimit:
    """Size of all buffered answers of a node.

    Args:
        metrics: Metrics in which the size is shown.
        max_bytes: Size at which the worker is read no faster than its answers are sent, in bytes;
            each answer then holds at most what is read at a time.

    Attributes:
        used_bytes: Current size, in bytes.
    """

    def __init__(self, metrics: Metrics, *, max_bytes: int) -> None:
        self.used_bytes = 0
        self._metrics = metrics
        self._max_bytes = max_bytes

    @property
    def is_reached(self) -> bool:
        """Whether there is no room for another read from a worker."""
        return self.used_bytes + READ_BYTES > self._max_bytes

    def add(self, size: int) -> None:
        """Add bytes to the size; remove them if the number is negative."""
        self.used_bytes += size
        self._metrics.set_gauge("trefoilpick_link_buffered_bytes", self.used_bytes)


class AnswerSender:
    """Sends the body of an answer in a task, while the rest of it is read from the worker.

    The end of the body is sent only after `finish`: a truncated answer never looks complete.

    Args:
        hop_connection: The hop; nothing else may send on it meanwhile.
        link: The link's scheduler.
        limit: Size of all buffered answers.
        priority: Value of `Priority`.
    """

    def __init__(
        self,
        hop_connection: HopConnection,
        *,
        link: LinkScheduler,
        limit: BufferLimit,
        priority: str,
    ) -> None:
        self._hop_connection = hop_connection
        self._link = link
        self._limit = limit
        self._priority = priority
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_finished = False
        self._is_ended = False
        self._error: TrefoilpickError | None = None
        self._added = curio.Event()
        self._emptied = curio.Event()
        self._task: Task | None = None

    async def start(self) -> None:
        """Start sending in a task."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def add(self, chunks: list[bytes]) -> None:
        """Add chunks of the body."""
        for part in self._link.split(chunks):
            self._parts.append(part)
            self._resize(len(part))
        await self._added.set()

    async def finish(self) -> None:
        """Complete the body."""
        self._is_finished = True
        await self._added.set()

    async def wait_for_room(self) -> None:
        """Wait until the worker may be read, which is at once while the limit is not reached.

        Raises:
            TrefoilpickError: `CALLER_GONE`.
        """
        while self._limit.is_reached and self._buffered_bytes and not self._is_ended:
            self._emptied.clear()
            await self._emptied.wait()
        self._raise_error()

    async def wait_until_sent(self) -> None:
        """Wait until the complete body was sent.

        Raises:
            TrefoilpickError: `CALLER_GONE`.
        """
        assert self._task is not None
        await self._task.join()
        self._raise_error()

    async def stop(self) -> None:
        """Stop sending, and discard what was not sent."""
        if self._task is not None:
            async with curio.disable_cancellation():
                await self._task.cancel()
        self._parts.clear()
        self._resize(-self._buffered_bytes)

    async def _run(self) -> None:
        try:
            while await self._wait_for_part():
                await self._send(self._take_parts())
            await self._hop_connection.send(END)
        except TrefoilpickError as error:
            self._error = error
        finally:
            self._is_ended = True
            await self._emptied.set()

    async def _wait_for_part(self) -> bool:
        """Wait for more of the body; return whether there is more."""
        while not self._parts and not self._is_finished:
            self._added.clear()
            await self._added.wait()
        return bool(self._parts)

    def _take_parts(self) -> list[bytes]:
        """Return the parts of the next turn: a full one, or several smaller ones."""
        parts = [self._parts.popleft()]
        size = len(parts[0])
        while self._parts and size + len(self._parts[0]) <= self._link.part_bytes:
            parts.append(self._parts.popleft())
            size += len(parts[-1])
        return parts

    async def _send(self, parts: list[bytes]) -> None:
        size = sum(map(len, parts))
        if not self._hop_connection.is_closed_by_peer:
            await self._link.acquire(size, priority=self._priority)
            await self._hop_connection.send(encode_data(parts))
        self._resize(-size)
        if not self._parts:
            await self._emptied.set()

    def _resize(self, size: int) -> None:
        self._buffered_bytes += size
        self._limit.add(size)

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error
