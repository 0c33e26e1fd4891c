"""One request of a hop, from its REQUEST frame to the last frame of its answer."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.hops import (
    READ_BYTES,
    Frame,
    FrameKind,
    HopAnswer,
    HopFailure,
    encode_data,
    encode_frame,
    encode_head,
)
from trefoilpick.tokens import KeptAnswer
from trefoilpick.upstreams import NOT_RUN_HEADER, AnswerHead, NothingSentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from curio.task import Task

    from trefoilpick.document import Upstream
    from trefoilpick.gate import Gate
    from trefoilpick.hops import Hop, HopRequest, Load
    from trefoilpick.metrics import Metrics
    from trefoilpick.upstreams import WorkerConnection, WorkerPool

SHED_STATUSES = frozenset((429, 503))
"""Status codes with which a worker may say that it did not run a request."""

UNSURE_STATUSES = frozenset((429, 502, 503, 504))
"""Status codes that tell nothing of the request's execution."""


@dataclass(eq=False)
class HopLink:
    """A hop as the worker's node sees it.

    Attributes:
        hop: The hop.
        task: The task that serves it.
        idle: Whether it waits for a request.
        cancellable: Whether its request is given up when the caller leaves.
        departed: Whether the caller's node closed it.
        told_leaving: Whether the caller's node was told that this node is leaving.
    """

    hop: Hop
    task: Task
    idle: bool = True
    cancellable: bool = True
    departed: bool = False
    told_leaving: bool = False


@dataclass(frozen=True)
class Service:
    """What all requests of a node share.

    Attributes:
        gate: Admission to the worker.
        pool: Connections to the worker.
        metrics: Where requests are counted.
        measure_load: Returns the load of the worker.
        body_idle_s: Time in which a body must move on, in seconds.
    """

    gate: Gate
    pool: WorkerPool
    metrics: Metrics
    measure_load: Callable[[], Load]
    body_idle_s: float


class Exchange:
    """A request and its answer.

    Args:
        service: What all requests share.
        link: The hop that brought the request.
        request: The request's head.
        deadline_s: Reading of the clock at which the answer's head is due, in seconds.
    """

    def __init__(
        self,
        service: Service,
        link: HopLink,
        request: HopRequest,
        *,
        deadline_s: float,
    ) -> None:
        self._service = service
        self._link = link
        self._request = request
        self._deadline_s = deadline_s
        self._chunks: list[bytes] = []
        self._body_received = not request.has_body
        self._connection: WorkerConnection | None = None
        self._upload: Task | None = None
        self._upload_error: TrefoilpickError | None = None
        self._answer_begun = False
        self.was_sent = False

    @property
    def hop_reusable(self) -> bool:
        """Whether the hop may carry another request."""
        return self._body_received and not self._link.departed

    async def run(self, upstream: Upstream, *, keep_bytes: int = 0) -> KeptAnswer | None:
        """Pass the request through the gate to the worker, and its answer back.

        Args:
            upstream: The upstream, as the enforced version describes it.
            keep_bytes: Largest body that is returned with the answer, in bytes.

        Returns:
            The answer, where it is small enough to be kept.

        Raises:
            TrefoilpickError: The request ended without a whole answer.
        """
        await self._receive_first_chunks()
        began_s = await curio.clock()
        request = self._request
        gate = self._service.gate
        await gate.enter(
            caller=request.caller, priority=request.priority, deadline_s=self._deadline_s
        )
        served_s: float | None = None
        try:
            entered_s = await curio.clock()
            self._observe("trefoilpick_hop_queue_microseconds", entered_s - began_s)
            answer = await self._call_worker(upstream, keep_bytes)
            served_s = await curio.clock() - entered_s
            self._observe("trefoilpick_hop_service_microseconds", served_s)
            return answer
        finally:
            await self._stop_upload()
            await self._give_back_connection(upstream)
            await gate.leave(served_s=served_s)

    async def repeat(self, answer: KeptAnswer) -> None:
        """Send an answer that was kept.

        Args:
            answer: The answer of an earlier request under the same token.
        """
        head = AnswerHead(answer.status, answer.headers)
        self._answer_begun = True
        await self._send(
            self._encode_answer(head), encode_data([answer.body]), encode_frame(FrameKind.END)
        )

    async def grant(self, token: str) -> None:
        """Send a new token.

        Args:
            token: The token.
        """
        head = self._encode_answer(AnswerHead(204, []), token=token)
        await self._send(head, encode_frame(FrameKind.END))

    async def fail(self, error: TrefoilpickError) -> bool:
        """Tell the caller's node that the request ended without an answer.

        Args:
            error: Why it ended.

        Returns:
            Whether it could be told; False where the answer had begun.
        """
        if self._answer_begun:
            return False
        answer = find_answer(error)
        retry_after_s = answer.retry_after_s
        failure = HopFailure(
            kind=error.kind.value,
            text=error.text,
            outcome=answer.outcome.value,
            retry_after_ms=None if retry_after_s is None else round(retry_after_s * 1000),
            load=self._service.measure_load(),
        )
        await self._send(encode_head(FrameKind.FAILURE, failure))
        return True

    async def _receive_first_chunks(self) -> None:
        """Take what is at hand of the body, so that it leaves with the head."""
        if self._body_received:
            return
        try:
            async with curio.timeout_after(self._deadline_s - await curio.clock()):
                self._take_frame(await self._link.hop.receive())
        except curio.TaskTimeout as error:
            raise self._refuse_late() from error
        size = 0
        while not self._body_received and size < READ_BYTES and self._link.hop.has_frame():
            self._take_frame(await self._link.hop.receive())
            size += len(self._chunks[-1]) if self._chunks else 0

    def _take_frame(self, frame: Frame | None) -> None:
        if frame is None:
            raise TrefoilpickError(ErrorKind.CALLER_GONE, "hop ended within a body")
        if frame.kind is FrameKind.DATA:
            self._chunks.append(frame.payload)
        elif frame.kind is FrameKind.END:
            self._body_received = True
        else:
            raise _reject_frame(frame)

    async def _call_worker(self, upstream: Upstream, keep_bytes: int) -> KeptAnswer | None:
        try:
            async with curio.timeout_after(self._deadline_s - await curio.clock()):
                head = await self._attempt_twice(upstream)
            self._check_shed(head)
            return await self._pass_answer(head, keep_bytes)
        except curio.TaskTimeout as error:
            raise self._refuse_late() from error
        except curio.TaskCancelled as error:
            if self._upload_error is None:
                raise
            raise self._upload_error from error

    async def _attempt_twice(self, upstream: Upstream) -> AnswerHead:
        """Try again on a fresh connection where a kept one proved to be closed."""
        connection = await self._connect(upstream, fresh=False)
        try:
            return await self._attempt(connection)
        except NothingSentError as error:
            self.was_sent = False
            if connection.is_fresh:
                raise _refuse_connection() from error
        except TrefoilpickError as error:
            if not self._may_repeat(connection, error):
                raise
        self._connection = None
        await self._service.pool.discard(connection)
        try:
            return await self._attempt(await self._connect(upstream, fresh=True))
        except NothingSentError as error:
            raise _refuse_connection() from error

    def _may_repeat(self, connection: WorkerConnection, error: TrefoilpickError) -> bool:
        return (
            error.kind is ErrorKind.UPSTREAM_LOST
            and not connection.is_fresh
            and self._request.idempotent
            and self._upload is None
        )

    async def _connect(self, upstream: Upstream, *, fresh: bool) -> WorkerConnection:
        self._connection = await self._service.pool.acquire(
            connect_timeout_s=upstream.connect_timeout_ms / 1000, fresh=fresh
        )
        return self._connection

    async def _attempt(self, connection: WorkerConnection) -> AnswerHead:
        remaining_s = self._deadline_s - await curio.clock()
        if remaining_s <= 0:
            raise self._refuse_late()
        whole = self._body_received
        is_retry = self._request.is_retry or self.was_sent
        # Set before: where the sending is interrupted, some bytes may have left.
        self.was_sent = True
        await connection.send_request(
            self._request,
            self._chunks,
            remaining_ms=max(1, int(remaining_s * 1000)),
            whole=whole,
            is_retry=is_retry,
        )
        if whole:
            self._link.cancellable = self._request.idempotent
        else:
            self._upload = await curio.spawn(self._upload_rest, connection)
        return await connection.receive_head()

    async def _upload_rest(self, connection: WorkerConnection) -> None:
        """Pass the rest of the body; the hop's flow control follows the worker's."""
        try:
            while not self._body_received:
                frame = await self._link.hop.receive()
                if frame is not None and frame.kind is FrameKind.DATA:
                    await connection.send_data(frame.payload)
                    continue
                self._take_frame(frame)
            await connection.send_end()
            self._link.cancellable = self._request.idempotent
        except TrefoilpickError as error:
            self._upload_error = error
            await self._link.task.cancel(blocking=False)
        except OSError:
            await self._link.task.cancel(blocking=False)

    async def _pass_answer(self, head: AnswerHead, keep_bytes: int) -> KeptAnswer | None:
        connection = self._connection
        assert connection is not None
        keeper = AnswerKeeper(head, keep_bytes)
        frames = [self._encode_answer(head)]
        while True:
            chunks = connection.take_data()
            keeper.add(chunks)
            if chunks:
                frames.append(encode_data(chunks))
            if connection.answer_complete:
                break
            if frames:
                self._answer_begun = True
                await self._send(*frames)
            frames = []
            await self._fill(connection)
        self._answer_begun = True
        await self._send(*frames, encode_frame(FrameKind.END))
        return keeper.build()

    async def _fill(self, connection: WorkerConnection) -> None:
        try:
            async with curio.timeout_after(self._service.body_idle_s):
                await connection.fill()
        except curio.TaskTimeout as error:
            text = "worker's answer stands still"
            raise TrefoilpickError(ErrorKind.ANSWER_CUT, text) from error

    def _encode_answer(self, head: AnswerHead, *, token: str | None = None) -> bytes:
        answer = HopAnswer(
            status=head.status,
            headers=head.headers,
            load=self._service.measure_load(),
            outcome=_judge_outcome(head.status).value,
            token=token,
        )
        return encode_head(FrameKind.ANSWER, answer)

    def _check_shed(self, head: AnswerHead) -> None:
        if head.status not in SHED_STATUSES:
            return
        headers = dict(head.headers)
        if headers.get(NOT_RUN_HEADER) != b"1":
            return
        raise TrefoilpickError(
            ErrorKind.UPSTREAM_SHED,
            f"worker shed the request with status {head.status}",
            retry_after_s=_parse_seconds(headers.get(b"retry-after")),
        )

    def _refuse_late(self) -> TrefoilpickError:
        if self.was_sent:
            text = "time is over and the worker has not answered"
            return TrefoilpickError(ErrorKind.DEADLINE_AFTER_SEND, text)
        text = "time is over before the request was sent"
        return TrefoilpickError(ErrorKind.DEADLINE_BEFORE_RUN, text)

    async def _stop_upload(self) -> None:
        if self._upload is None:
            return
        async with curio.disable_cancellation():
            await self._upload.cancel()
        self._upload = None

    async def _give_back_connection(self, upstream: Upstream) -> None:
        connection = self._connection
        if connection is None:
            return
        self._connection = None
        if self._body_received:
            await self._service.pool.release(connection, connections=upstream.connections)
        else:
            await self._service.pool.discard(connection)

    async def _send(self, *frames: bytes) -> None:
        link = self._link
        if link.departed:
            return
        try:
            async with curio.timeout_after(self._service.body_idle_s):
                await link.hop.send(*frames)
        except (OSError, curio.TaskTimeout) as error:
            link.departed = True
            if link.cancellable:
                raise TrefoilpickError(ErrorKind.CALLER_GONE, "caller's node is gone") from error

    def _observe(self, name: str, seconds: float) -> None:
        self._service.metrics.observe(name, seconds * 1e6, priority=self._request.priority)


class AnswerKeeper:
    """Collects the body of an answer while it is small enough to be kept.

    Args:
        head: Head of the answer.
        limit: Largest body that is kept, in bytes; 0 keeps nothing.
    """

    def __init__(self, head: AnswerHead, limit: int) -> None:
        self._head = head
        self._room = limit
        self._chunks: list[bytes] | None = [] if limit else None

    def add(self, chunks: list[bytes]) -> None:
        """Add a part of the body."""
        if self._chunks is None:
            return
        self._room -= sum(map(len, chunks))
        if self._room < 0:
            self._chunks = None
        else:
            self._chunks += chunks

    def build(self) -> KeptAnswer | None:
        """Return the answer; None where it is too large."""
        if self._chunks is None:
            return None
        return KeptAnswer(self._head.status, self._head.headers, b"".join(self._chunks))


async def drop_rest(hop: Hop, *, limit_s: float) -> None:
    """Read and forget the rest of a body, so that the last frame sent is not lost to a reset.

    Args:
        hop: A hop that is about to be closed.
        limit_s: Time after which it is closed all the same, in seconds.
    """
    with suppress(OSError, TrefoilpickError):
        async with curio.ignore_after(limit_s):
            while await hop.receive() is not None:
                continue


def _judge_outcome(status: int) -> Outcome:
    return Outcome.UNKNOWN if status in UNSURE_STATUSES else Outcome.RUN


def _parse_seconds(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return float(value[:9])


def _refuse_connection() -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.UPSTREAM_REFUSED, "worker closed the connection at once")


def _reject_frame(frame: Frame) -> TrefoilpickError:
    text = f"hop frame {frame.kind.name} is out of place"
    return TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text, outcome=Outcome.NOT_RUN)
