"""A request on a hop, from its REQUEST frame to the last frame of its answer."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

import curio

from trefoilpick._answer_buffers import END, AnswerSender
from trefoilpick._clock import read_clock
from trefoilpick._hop_connections import RequestBody
from trefoilpick._worker_connections import AnswerHead, NothingSentError
from trefoilpick.admission import MIN_RATE_WAIT_S
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.fingerprints import SAMPLE_BYTES, compute_fingerprint
from trefoilpick.hops import (
    FrameKind,
    HopAnswer,
    HopFailure,
    encode_data,
    encode_head,
)
from trefoilpick.link_scheduler import SMALL_BYTES
from trefoilpick.tokens import StoredAnswer
from trefoilpick.work_estimates import RequestMarks
from trefoilpick.worker_ends import Run
from trefoilpick.worker_statements import NO_STATEMENT, parse_decimal

if TYPE_CHECKING:
    from collections.abc import Callable

    from curio.task import Task

    from trefoilpick._answer_buffers import BufferLimit
    from trefoilpick._hop_connections import HopConnection
    from trefoilpick._worker_connections import WorkerConnection
    from trefoilpick.admission import AdmissionController
    from trefoilpick.conventions import Conventions
    from trefoilpick.document import Upstream
    from trefoilpick.fingerprints import Fingerprint
    from trefoilpick.health import WorkerHealth
    from trefoilpick.hops import HopRequest, Load
    from trefoilpick.incoming_bodies import IncomingBodies
    from trefoilpick.link_scheduler import LinkScheduler
    from trefoilpick.metrics import Metrics
    from trefoilpick.quarantine_gate import QuarantineGate
    from trefoilpick.recent_answers import RecentAnswers
    from trefoilpick.running_requests import RunningRequests
    from trefoilpick.upstreams import WorkerPool
    from trefoilpick.worker_ends import WorkerEnds
    from trefoilpick.worker_statements import WorkerStatements

NOT_RUN_MARK = b"1"
"""Value of the header by which a worker states that it did not run a request."""

MISDIRECTED_STATUS = 421
"""Status code by which a worker states that it is not the expected one."""

UNKNOWN_OUTCOME_STATUSES = frozenset((429, 502, 503, 504))
"""Status codes that do not show whether the request ran."""

SILENCE_S = 0.25
"""Time without an answer after which a connection to the worker may be silent, in seconds, if its
request ended then: idle connections on which nothing arrived either are closed."""

MAX_RETRY_AFTER_S = 3.0
"""Longest retry delay of a worker that is passed on to callers, in seconds: by then the list of VMs
shows whether the worker is leaving."""

FIRST_SERVER_ERROR = 500
"""Lowest status code that counts as a failure of the worker."""

MAX_SAMPLE_WAIT_S = 0.05
"""Longest wait for more of a body after its first part, in seconds; what has arrived by then
identifies the request."""

LOSS_ERRORS = frozenset({ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_CUT, ErrorKind.ANSWER_MALFORMED})
"""Errors that an end of the worker may have caused."""


@dataclass(frozen=True)
class ExchangeContext:
    """Shared state of all requests of a node.

    Attributes:
        admission: Admission control of the worker.
        pool: Connections to the worker.
        metrics: Metrics in which requests are counted.
        measure_load: Returns the load of the worker.
        body_idle_s: Idle timeout of a body, in seconds.
        health: Failure rate of the worker's answers.
        statements: What the worker states about itself in its answers.
        check_sending: Raises `DRAINING` if a request of a route must not be sent to the worker
            now.
        ends: Ends of the worker.
        gate: Refuses quarantined requests.
        answers: Requests that the worker answered recently.
        conventions: Headers of the fleet.
        running: Requests that the worker runs now.
        link: Scheduler of this VM's link.
        incoming: Large bodies on the receiving side of this VM's link.
        buffer_limit: Size of all buffered answers.
        tracks_work: Whether the expected work of requests is learned and reported.
    """

    admission: AdmissionController
    pool: WorkerPool
    metrics: Metrics
    measure_load: Callable[[], Load]
    body_idle_s: float
    health: WorkerHealth
    statements: WorkerStatements
    check_sending: Callable[[str], None]
    ends: WorkerEnds
    gate: QuarantineGate
    answers: RecentAnswers
    conventions: Conventions
    running: RunningRequests
    link: LinkScheduler
    incoming: IncomingBodies
    buffer_limit: BufferLimit
    tracks_work: bool = False


class HopExchange:
    """Forwards a request to the worker and its answer back.

    Args:
        context: Shared state of all requests.
        hop_connection: The hop on which the request arrived.
        request: The request's head.
        began_s: Clock reading when it arrived, in seconds.

    Attributes:
        deadline_s: Clock reading by which the answer's head is due, in seconds.
        was_sent: Whether sending to the worker began, so that the request may have run.
        status: Status code of the worker's answer; 0 before the answer.
        statement: What the worker's answer states about the worker.
        worker: The worker to which the request was sent, or is to be sent.
        sent_s: Clock reading when it was sent last, in seconds.
    """

    def __init__(
        self,
        context: ExchangeContext,
        hop_connection: HopConnection,
        request: HopRequest,
        *,
        began_s: float,
    ) -> None:
        self.deadline_s = began_s + request.remaining_ms / 1000
        self.was_sent = False
        self.status = 0
        self.statement = NO_STATEMENT
        self.worker = context.statements.worker
        self.began_s = began_s
        self._context = context
        self._hop_connection = hop_connection
        hop_connection.deadline_s = self.deadline_s
        self._request = request
        self._body = RequestBody(hop_connection, is_received=not request.has_body)
        self._connection: WorkerConnection | None = None
        self._upload: Task | None = None
        self._sender: AnswerSender | None = None
        self.sent_s = began_s
        self._is_answer_started = False
        self._marks = _find_marks(request) if context.tracks_work else None
        self._served_s: float | None = None

    @property
    def is_hop_reusable(self) -> bool:
        """Whether the hop may carry another request."""
        return self._body.is_received and not self._hop_connection.is_closed_by_peer

    async def run(self, upstream: Upstream, *, max_stored_bytes: int = 0) -> StoredAnswer | None:
        """Wait for a slot, send the request to the worker and forward its answer.

        Args:
            upstream: The upstream in the enforced version.
            max_stored_bytes: Largest body that is returned with the answer, in bytes.

        Returns:
            The answer; None if it is too large to be stored.

        Raises:
            TrefoilpickError: The request ended without a complete answer.
        """
        try:
            answer = await self._run_in_slot(upstream, max_stored_bytes)
            if self._sender is not None:
                await self._sender.wait_until_sent()
            return answer
        finally:
            if self._sender is not None:
                await self._sender.stop()

    async def _run_in_slot(self, upstream: Upstream, max_stored_bytes: int) -> StoredAnswer | None:
        """Run the request; return once its answer is sent or completely in the sender's buffer."""
        self._body.read_buffered()
        size = self._find_awaited_bytes()
        if not size:
            return await self._acquire_and_run(upstream, max_stored_bytes, self.began_s)
        with self._context.incoming.hold(size):
            arrived_s = await self._receive_body(size)
            return await self._acquire_and_run(upstream, max_stored_bytes, arrived_s)

    def _find_awaited_bytes(self) -> int:
        """Return the size of a large body that is received before the request has a slot.

        Returns:
            Its size, in bytes; 0 if it is received with the slot, or has been received.
        """
        incoming = self._context.incoming
        if self._body.is_received or self._body.chunks or not incoming.is_active:
            return 0
        size = _find_body_bytes(self._request)
        return size if incoming.can_hold(size) else 0

    async def _receive_body(self, size: int) -> float:
        """Receive the body when this VM's link is free for it; return the clock reading afterwards.

        A request that would come too late is refused before its body is sent.

        Args:
            size: Size of the body, in bytes.

        Raises:
            TrefoilpickError: `SHED`, `QUEUE_FULL`, `DEADLINE_BEFORE_RUN` or `CALLER_GONE`.
        """
        request, incoming = self._request, self._context.incoming
        self._context.admission.check_arrival(
            caller=request.caller,
            priority=request.priority,
            now_s=self.began_s,
            link_wait_s=incoming.estimate_wait(),
            transfer_s=incoming.estimate_transfer(size),
            deadline_s=self.deadline_s,
            objective_s=self._compute_objective(),
            route=request.route,
        )
        await self._acquire_link(size)
        load = self._context.measure_load()
        await self._hop_connection.send(encode_head(FrameKind.NOTICE, load))
        await self._body.receive_rest(limit_s=self.deadline_s - read_clock())
        return read_clock()

    async def _acquire_link(self, size: int) -> None:
        try:
            async with curio.timeout_after(self.deadline_s - read_clock()):
                await self._context.incoming.acquire(size, priority=self._request.priority)
        except curio.TaskTimeout as error:
            raise self._build_deadline_error() from error
        if not self._hop_connection.is_open():
            text = "caller's node closed the hop before its body was sent"
            raise TrefoilpickError(ErrorKind.CALLER_GONE, text, outcome=Outcome.NOT_RUN)

    async def _acquire_and_run(
        self, upstream: Upstream, max_stored_bytes: int, now_s: float
    ) -> StoredAnswer | None:
        request, admission = self._request, self._context.admission
        if not self._context.gate.is_open and self._body.has_sample(SAMPLE_BYTES):
            self._context.gate.check_arrival(self._fingerprint)
        acquired_s = await admission.acquire(
            caller=request.caller,
            priority=request.priority,
            deadline_s=self.deadline_s,
            now_s=now_s,
            route=request.route,
            objective_s=self._compute_objective(),
            nested=request.nested,
            marks=self._marks,
        )
        ended_s: float | None = None
        try:
            if acquired_s > now_s:
                self._observe("trefoilpick_hop_queue_microseconds", acquired_s - now_s)
            acquired_s = await self._receive_first(acquired_s)
            with self._context.running.track(request.request_id):
                answer = await self._call_worker(upstream, max_stored_bytes, acquired_s)
            ended_s = read_clock()
            self._observe("trefoilpick_hop_service_microseconds", ended_s - acquired_s)
            return answer
        finally:
            await self._stop_upload()
            await self._return_connection(upstream, ended_s)
            served_s = None if ended_s is None else ended_s - acquired_s
            await admission.release(served_s=served_s, route=request.route, marks=self._marks)

    async def _receive_first(self, now_s: float) -> float:
        """Receive the first part of the body; return the clock reading afterwards, in seconds.

        The caller's node sends the rest of a body once it is told that the request is accepted. It
        is told when the request has a slot, so that the bodies of waiting requests do not occupy
        the link of this VM.
        """
        if self._body.is_received:
            return now_s
        load = self._context.measure_load()
        await self._hop_connection.send(encode_head(FrameKind.NOTICE, load))
        has_waited = await self._body.receive_first(limit_s=self.deadline_s - now_s)
        if not self._body.has_sample(SAMPLE_BYTES):
            await self._body.receive_sample(SAMPLE_BYTES, limit_s=MAX_SAMPLE_WAIT_S)
            has_waited = True
        return read_clock() if has_waited else now_s

    def _compute_objective(self) -> float:
        objective_ms = self._request.objective_ms
        return math.inf if objective_ms is None else self.began_s + objective_ms / 1000

    async def send_stored_answer(self, answer: StoredAnswer) -> None:
        """Send a stored answer.

        Args:
            answer: The answer to an earlier request with the same token.
        """
        head = AnswerHead(answer.status, answer.headers)
        self._is_answer_started = True
        await self._hop_connection.send(self._encode_answer(head), encode_data([answer.body]), END)

    async def send_token(self, token: str) -> None:
        """Send a new token.

        Args:
            token: The token.
        """
        await self._hop_connection.send(self._encode_answer(AnswerHead(204, []), token=token), END)

    async def send_failure(self, error: TrefoilpickError) -> bool:
        """Report to the caller's node that the request ended without an answer.

        Args:
            error: Why it ended.

        Returns:
            Whether it was reported; False if the answer had already started.
        """
        if self._is_answer_started:
            return False
        await self._hop_connection.send(encode_failure(error, self._context.measure_load()))
        return True

    async def _call_worker(
        self, upstream: Upstream, max_stored_bytes: int, now_s: float
    ) -> StoredAnswer | None:
        try:
            async with curio.timeout_after(self.deadline_s - now_s):
                head = await self._send_and_receive_head(upstream)
            self.status = head.status
            self._raise_if_not_run(head)
            self._finish_work(head.status)
            self._record_statement(head, has_run=True)
            self._context.health.record_result(
                read_clock(), failed=head.status >= FIRST_SERVER_ERROR
            )
            answer = await self._forward_answer(head, max_stored_bytes)
            if head.status < FIRST_SERVER_ERROR:
                await self._record_answer()
            return answer
        except curio.TaskTimeout as error:
            raise self._build_deadline_error() from error
        except curio.TaskCancelled as error:
            if self._body.error is None:
                raise
            raise self._body.error from error
        except TrefoilpickError as error:
            if self.was_sent and error.kind in LOSS_ERRORS and await self._has_worker_ended():
                text = "worker ended before its answer was complete"
                raise TrefoilpickError(ErrorKind.UPSTREAM_ENDED, text) from error
            raise

    def _finish_work(self, status: int) -> None:
        """Record the service time; a request whose answer has begun has no expected work left.

        Errors of the worker say nothing about its speed: they are often quick.
        """
        if self._marks is None:
            return
        now_s = read_clock()
        if status < FIRST_SERVER_ERROR:
            self._served_s = now_s - self.sent_s
        estimate = self._context.admission.work.finish(self._marks, self._served_s, now_s)
        if estimate is not None and self._served_s is not None:
            error_s = abs(estimate.mean_s - self._served_s)
            self._observe("trefoilpick_hop_expected_microseconds", estimate.mean_s)
            self._observe("trefoilpick_hop_estimate_error_microseconds", error_s)

    async def _has_worker_ended(self) -> bool:
        """Return whether the request was lost because the worker ended."""
        request = self._request
        run = Run(
            self._fingerprint,
            request.request_id,
            request.route,
            self.worker,
            sent_s=self.sent_s,
            lost_s=read_clock(),
        )
        return await self._context.ends.check(run)

    async def _record_answer(self) -> None:
        """Record that the request did not end the worker."""
        self._context.answers.record(self._fingerprint, read_clock())
        if not self._context.gate.is_open:
            await self._context.gate.record_answer(self._fingerprint)

    @cached_property
    def _fingerprint(self) -> Fingerprint:
        """Identity of the request; read once the part of its body that identifies it is there."""
        request = self._request
        return compute_fingerprint(
            request.method,
            request.target,
            request.headers,
            self._body.chunks,
            conventions=self._context.conventions,
        )

    async def _send_and_receive_head(self, upstream: Upstream) -> AnswerHead:
        """Send the request, and return the head of the answer.

        If a connection breaks after any byte was sent, the request may have run. The caller's node
        decides whether it is sent again: it knows the budget and the attempts already made.
        """
        connection = await self._connect(upstream, fresh=False)
        try:
            return await self._attempt(connection)
        except NothingSentError as error:
            self.was_sent = False
            if connection.is_fresh:
                raise _build_refused_error() from error
        except TrefoilpickError as error:
            if error.kind is ErrorKind.UPSTREAM_LOST:
                self._context.pool.record_lost_connection(
                    connection, sent_s=self.sent_s, now_s=read_clock()
                )
            raise
        self._connection = None
        await self._context.pool.discard(connection)
        try:
            return await self._attempt(await self._connect(upstream, fresh=True))
        except NothingSentError as error:
            raise _build_refused_error() from error

    async def _connect(self, upstream: Upstream, *, fresh: bool) -> WorkerConnection:
        self._connection = await self._context.pool.acquire(
            connect_timeout_s=upstream.connect_timeout_ms / 1000,
            now_s=read_clock(),
            must_be_new=fresh,
            prefer_most_recent=not self._request.idempotent,
            request_id=self._request.request_id,
        )
        return self._connection

    async def _attempt(self, connection: WorkerConnection) -> AnswerHead:
        remaining_s = self._check_before_sending()
        if not self._context.gate.is_open:
            await self._context.gate.admit(self._fingerprint)
        rate = self._context.admission.rate
        # Counted here, since the body and the connection may have come long after the token.
        while not rate.try_send():
            await curio.sleep(max(rate.estimate_turn(), MIN_RATE_WAIT_S))
            remaining_s = self._check_before_sending()
        body_complete = self._body.is_received
        # Set before sending: if it is interrupted, some bytes may have been sent.
        self.was_sent = True
        self.sent_s = read_clock()
        self.worker = self._context.statements.worker
        self._context.metrics.count("trefoilpick_worker_requests_total")
        self._hop_connection.is_cancellable = self._request.idempotent or not body_complete
        await connection.send_request(
            self._request,
            self._body.chunks,
            remaining_ms=max(1, int(remaining_s * 1000)),
            body_complete=body_complete,
            is_retry=self._request.is_retry,
            expected_worker=self.worker.worker,
        )
        if not body_complete:
            self._upload = await curio.spawn(self._upload_rest, connection)
        return await connection.receive_head()

    def _check_before_sending(self) -> float:
        """Return the time left, in seconds.

        The process may have been suspended, or the request have waited, since it was admitted.

        Raises:
            TrefoilpickError: The request must not be sent.
        """
        remaining_s = self.deadline_s - read_clock()
        if remaining_s <= 0:
            raise self._build_deadline_error()
        if not self._hop_connection.is_open():
            text = "caller's node closed the hop before the request was sent"
            raise TrefoilpickError(ErrorKind.CALLER_GONE, text, outcome=Outcome.NOT_RUN)
        self._context.check_sending(self._request.route)
        return remaining_s

    async def _upload_rest(self, connection: WorkerConnection) -> None:
        await self._body.forward_rest(connection)
        if self._body.is_received:
            self._hop_connection.is_cancellable = self._request.idempotent

    async def _forward_answer(self, head: AnswerHead, max_stored_bytes: int) -> StoredAnswer | None:
        connection = self._connection
        assert connection is not None
        collector = AnswerCollector(head, max_stored_bytes)
        frames = [self._encode_answer(head)]
        chunks = connection.pop_data()
        if self._context.link.is_active and not _is_small(head, connection, chunks):
            await self._forward_large(connection, frames[0], chunks, collector)
            return collector.build()
        while True:
            collector.add(chunks)
            frames.append(encode_data(chunks))
            if connection.is_answer_complete:
                break
            await self._send_answer(frames)
            frames.clear()
            await self._receive_more(connection)
            chunks = connection.pop_data()
        frames.append(END)
        await self._send_answer(frames)
        return collector.build()

    async def _send_answer(self, frames: list[bytes]) -> None:
        self._is_answer_started = True
        self._context.link.count(sum(map(len, frames)))
        await self._hop_connection.send(*frames)

    async def _forward_large(
        self,
        connection: WorkerConnection,
        head: bytes,
        chunks: list[bytes],
        collector: AnswerCollector,
    ) -> None:
        """Send the head, and read the body into the buffer of a task that sends it.

        Args:
            connection: The connection to the worker.
            head: The encoded head.
            chunks: The chunks of the body that have arrived.
            collector: Collects the body.
        """
        await self._send_answer([head])
        context = self._context
        sender = self._sender = AnswerSender(
            self._hop_connection,
            link=context.link,
            limit=context.buffer_limit,
            priority=self._request.priority,
        )
        await sender.start()
        while True:
            collector.add(chunks)
            await sender.add(chunks)
            if connection.is_answer_complete:
                break
            await sender.wait_for_room()
            await self._receive_more(connection)
            chunks = connection.pop_data()
        await sender.finish()

    async def _receive_more(self, connection: WorkerConnection) -> None:
        # A worker may be silent until the deadline.
        limit_s = max(self._context.body_idle_s, self.deadline_s - read_clock())
        try:
            async with curio.timeout_after(limit_s):
                await connection.receive_more()
        except curio.TaskTimeout as error:
            text = "no part of the worker's answer arrived within the idle timeout"
            raise TrefoilpickError(ErrorKind.ANSWER_CUT, text) from error

    def _encode_answer(self, head: AnswerHead, *, token: str | None = None) -> bytes:
        answer = HopAnswer(
            status=head.status,
            headers=head.headers,
            load=self._context.measure_load(),
            outcome=_find_outcome(head.status).value,
            token=token,
            served_s=self._served_s,
        )
        return encode_head(FrameKind.ANSWER, answer)

    def _raise_if_not_run(self, head: AnswerHead) -> None:
        """Raise an error if the worker states that it did not run the request.

        Raises:
            TrefoilpickError: `UPSTREAM_REPLACED` or `UPSTREAM_SHED`.
        """
        headers = dict(head.headers)
        if head.status == MISDIRECTED_STATUS:
            text = "worker's address now belongs to another worker"
            raise TrefoilpickError(ErrorKind.UPSTREAM_REPLACED, text)
        if headers.get(self._context.conventions.not_run) != NOT_RUN_MARK:
            return
        self._record_statement(head, has_run=False)
        assert self._connection is not None
        self._connection.record_refusal()
        # A short answer has already arrived completely, so its connection can be reused.
        self._connection.pop_data()
        raise TrefoilpickError(
            ErrorKind.UPSTREAM_SHED,
            f"worker shed the request with status {head.status}",
            retry_after_s=_parse_retry_after(headers.get(b"retry-after")),
        )

    def _record_statement(self, head: AnswerHead, *, has_run: bool) -> None:
        self.statement = self._context.statements.record(
            head.headers, has_run=has_run, worker=self.worker
        )

    def _build_deadline_error(self) -> TrefoilpickError:
        if self.was_sent:
            text = "deadline passed before the worker answered"
            return TrefoilpickError(ErrorKind.DEADLINE_AFTER_SEND, text)
        text = "deadline passed before the request was sent"
        return TrefoilpickError(ErrorKind.DEADLINE_BEFORE_RUN, text)

    async def _stop_upload(self) -> None:
        if self._upload is None:
            return
        async with curio.disable_cancellation():
            await self._upload.cancel()
        self._upload = None

    async def _return_connection(self, upstream: Upstream, now_s: float | None) -> None:
        connection = self._connection
        if connection is None:
            return
        self._connection = None
        is_unanswered = self.was_sent and not connection.has_answer_begun
        if self._body.is_received:
            await self._context.pool.release(
                connection, max_connections=upstream.connections, now_s=now_s
            )
        else:
            await self._context.pool.discard(connection)
        if is_unanswered:
            await self._drop_silent()

    async def _drop_silent(self) -> None:
        """Close idle connections to the worker if the one of the request may be silent."""
        if read_clock() - self.sent_s >= SILENCE_S:
            await self._context.pool.drop_idle(before_s=self.sent_s)

    def _observe(self, name: str, seconds: float) -> None:
        self._context.metrics.observe(name, seconds * 1e6, priority=self._request.priority)


class AnswerCollector:
    """Collects the body of an answer as long as it is small enough to be stored.

    Args:
        head: Head of the answer.
        limit: Largest body that is stored, in bytes; 0 stores nothing.
    """

    def __init__(self, head: AnswerHead, limit: int) -> None:
        self._head = head
        self._remaining_bytes = limit
        self._chunks: list[bytes] | None = [] if limit else None

    def add(self, chunks: list[bytes]) -> None:
        """Add a part of the body."""
        if self._chunks is None:
            return
        self._remaining_bytes -= sum(map(len, chunks))
        if self._remaining_bytes < 0:
            self._chunks = None
        else:
            self._chunks += chunks

    def build(self) -> StoredAnswer | None:
        """Return the answer; None if it is too large."""
        if self._chunks is None:
            return None
        return StoredAnswer(self._head.status, self._head.headers, b"".join(self._chunks))


def encode_failure(error: TrefoilpickError, load: Load) -> bytes:
    """Return the frame that reports an error.

    Args:
        error: Why a request ended.
        load: Load of the worker.
    """
    answer = find_answer(error)
    retry_after_s = answer.retry_after_s
    failure = HopFailure(
        kind=error.kind.value,
        text=error.text,
        outcome=answer.outcome.value,
        retry_after_ms=None if retry_after_s is None else round(retry_after_s * 1000),
        load=load,
    )
    return encode_head(FrameKind.FAILURE, failure)


def _is_small(head: AnswerHead, connection: WorkerConnection, chunks: list[bytes]) -> bool:
    """Return whether the body of an answer is known to be small.

    Args:
        head: Head of the answer.
        connection: The connection to the worker.
        chunks: The chunks of the body that have arrived.
    """
    if connection.is_answer_complete:
        return sum(map(len, chunks)) <= SMALL_BYTES
    length = dict(head.headers).get(b"content-length")
    return length is not None and int(length) <= SMALL_BYTES


def _find_marks(request: HopRequest) -> RequestMarks:
    """Return what tells the work of a request apart from others of its route."""
    return RequestMarks(
        request.route,
        request.method,
        request.target.partition("?")[0],
        request.caller,
        _find_body_bytes(request),
        request.expected_s,
    )


def _find_body_bytes(request: HopRequest) -> int:
    """Return the size of a request's body, in bytes; 0 if it is not stated."""
    size = dict(request.headers).get(b"content-length", b"")
    return int(size) if size.isdigit() else 0


def _find_outcome(status: int) -> Outcome:
    return Outcome.UNKNOWN if status in UNKNOWN_OUTCOME_STATUSES else Outcome.RUN


def _parse_retry_after(value: bytes | None) -> float | None:
    """Return a worker's retry delay, in seconds; limited, since other workers may have capacity."""
    delay_s = None if value is None else parse_decimal(value)
    return None if delay_s is None else min(delay_s, MAX_RETRY_AFTER_S)


def _build_refused_error() -> TrefoilpickError:
    return TrefoilpickError(
        ErrorKind.UPSTREAM_REFUSED, "worker closed the new connection before the request was sent"
    )
