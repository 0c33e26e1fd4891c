"""The worker's side of a hop, and the request body that arrives on it."""

from __future__ import annotations

import select
import socket
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._worker_connections import CLOSED_EVENTS
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.hops import READ_BYTES, Frame, FrameKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from curio.task import Task

    from trefoilpick._worker_connections import WorkerConnection
    from trefoilpick.hops import Hop


MAX_READY_FRAMES = 256
"""Largest number of frames that are read without letting other tasks run."""


@dataclass(eq=False)
class HopConnection:
    """A hop that a caller's node opened, with its state.

    Attributes:
        hop: The hop.
        task: The task that serves it.
        idle_timeout_s: Idle timeout of a send, in seconds.
        deadline_s: Clock reading until which a send may last in any case, in seconds: the caller's
            node does not read while an earlier answer on its caller's connection is due.
        is_idle: Whether it waits for a request.
        is_cancellable: Whether its request is cancelled when the caller's node closes the hop.
        is_closed_by_peer: Whether the caller's node closed it or stopped reading.
        was_notified: Whether the caller's node was notified that this node is leaving.
        idle_since_s: Clock reading when it began to wait for a request, in seconds.
    """

    hop: Hop
    task: Task
    idle_timeout_s: float
    deadline_s: float = 0.0
    is_idle: bool = True
    is_cancellable: bool = True
    is_closed_by_peer: bool = False
    was_notified: bool = False
    idle_since_s: float = field(default_factory=read_clock)

    def __post_init__(self) -> None:
        self._poller = select.poll()
        self._poller.register(self.hop.sock.fileno(), CLOSED_EVENTS)

    def is_open(self) -> bool:
        """Return whether the hop is still open, by the current state of its socket."""
        return not self._poller.poll(0)

    def begin_idle(self) -> None:
        """Begin to wait for a request."""
        self.is_cancellable = True
        self.is_idle = True
        self.idle_since_s = read_clock()

    def shut_down(self) -> None:
        """Shut down the connection, which wakes the task that serves it."""
        with suppress(OSError):
            self.hop.sock._socket.shutdown(socket.SHUT_RDWR)

    async def send(self, *frames: bytes) -> None:
        """Send frames; drop them if the hop is already known to be closed.

        A peer that does not read within the idle timeout, or until the request's deadline if that
        is later, counts as closed.

        Raises:
            TrefoilpickError: `CALLER_GONE`, if sending fails and the request may be cancelled.
        """
        if self.is_closed_by_peer:
            return
        data = self.hop.compress_head(b"".join(frames))
        try:
            rest = memoryview(data)[self.hop.send_nowait(data) :]
            if rest:
                limit_s = max(self.idle_timeout_s, self.deadline_s - read_clock())
                async with curio.timeout_after(limit_s):
                    await self.hop.sock.sendall(rest)
        except (OSError, curio.TaskTimeout) as error:
            self.is_closed_by_peer = True
            if self.is_cancellable:
                raise TrefoilpickError(
                    ErrorKind.CALLER_GONE, "caller's node closed the hop"
                ) from error

    async def discard_rest(self, *, limit_s: float) -> None:
        """Read and discard the rest of a body.

        Closing the socket with unread bytes would reset the connection, and the peer could lose the
        last frame sent.

        Args:
            limit_s: Longest time to read, in seconds.
        """
        with suppress(OSError, TrefoilpickError):
            async with curio.ignore_after(limit_s):
                while await self.hop.receive() is not None:
                    continue


@dataclass(eq=False)
class RequestBody:
    """The body of a request that arrives on a hop.

    Attributes:
        hop_connection: The hop.
        is_received: Whether all of it has arrived.
        chunks: Its parts that arrived before the request was sent to the worker.
        error: Why it could not be forwarded.
    """

    hop_connection: HopConnection
    is_received: bool
    chunks: list[bytes] = field(default_factory=list)
    error: TrefoilpickError | None = None

    async def receive_first(self, *, limit_s: float) -> bool:
        """Receive the first part of the body; wait for it only if no frame is buffered yet.

        Args:
            limit_s: Longest time to wait, in seconds.

        Returns:
            Whether it waited.

        Raises:
            TrefoilpickError: `DEADLINE_BEFORE_RUN`, `CALLER_GONE` or `MESSAGE_MALFORMED`.
        """
        if self.chunks or self.read_buffered():
            return False
        await self._receive_until(lambda: self.is_received or bool(self.chunks), limit_s)
        self.read_buffered()
        return True

    async def receive_rest(self, *, limit_s: float) -> None:
        """Receive all of the body that has not arrived yet.

        Args:
            limit_s: Longest time to wait, in seconds.

        Raises:
            TrefoilpickError: `DEADLINE_BEFORE_RUN`, `CALLER_GONE` or `MESSAGE_MALFORMED`.
        """
        await self._receive_until(lambda: self.is_received, limit_s)

    def has_sample(self, size: int) -> bool:
        """Return whether all of it has arrived, or at least a number of bytes."""
        return self.is_received or sum(map(len, self.chunks)) >= size

    async def receive_sample(self, size: int, *, limit_s: float) -> None:
        """Receive parts until a number of bytes, all of the body or a time limit is reached.

        Args:
            size: Number of bytes.
            limit_s: Longest time to wait, in seconds.

        Raises:
            TrefoilpickError: `CALLER_GONE` or `MESSAGE_MALFORMED`.
        """
        async with curio.ignore_after(limit_s):
            while not self.has_sample(size):
                self._add(await self.hop_connection.hop.receive())

    async def forward_rest(self, connection: WorkerConnection) -> None:
        """Forward the rest to the worker; backpressure of the worker propagates to the hop.

        If the body cannot be completed, its request is cancelled.
        """
        try:
            while not self.is_received:
                frame = await self.hop_connection.hop.receive()
                if frame is not None and frame.kind is FrameKind.DATA:
                    await connection.send_data(frame.payload)
                else:
                    self._add(frame)
            await connection.send_end()
        except (TrefoilpickError, OSError) as error:
            if isinstance(error, TrefoilpickError):
                self.error = error
            await self.hop_connection.task.cancel(blocking=False)

    def read_buffered(self) -> bool:
        """Take over parts that have arrived; return whether there were any."""
        size = 0
        has_read = False
        for _ in range(MAX_READY_FRAMES):
            if self.is_received or size >= READ_BYTES:
                break
            frame = self.hop_connection.hop.pop_frame()
            if frame is None:
                break
            has_read = True
            size += len(frame.payload)
            self._add(frame)
        return has_read

    async def _receive_until(self, has_enough: Callable[[], bool], limit_s: float) -> None:
        try:
            async with curio.timeout_after(limit_s):
                while not has_enough():
                    self._add(await self.hop_connection.hop.receive())
        except curio.TaskTimeout as error:
            text = "deadline passed before the request's body arrived"
            raise TrefoilpickError(ErrorKind.DEADLINE_BEFORE_RUN, text) from error

    def _add(self, frame: Frame | None) -> None:
        if frame is None:
            raise TrefoilpickError(ErrorKind.CALLER_GONE, "hop ended within a body")
        if frame.kind is FrameKind.DATA:
            self.chunks.append(frame.payload)
        elif frame.kind is FrameKind.END:
            self.is_received = True
        else:
            text = f"hop frame {frame.kind.name} is not expected within a body"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text, outcome=Outcome.UNKNOWN)
