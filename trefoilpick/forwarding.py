"""Request path: choose a worker, forward the request and relay the answer."""

from __future__ import annotations

import errno
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._hop_heads import (
    build_answer_headers,
    build_request,
    find_priority,
    rebuild_error,
)
from trefoilpick.averages import MovingAverages
from trefoilpick.caller_connections import ConnectionState
from trefoilpick.calls import MS_PER_S
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.fingerprints import compute_fingerprint
from trefoilpick.hops import (
    Frame,
    FrameKind,
    HopAnswer,
    HopFailure,
    Load,
    decode_head,
    encode_data,
    encode_head,
)
from trefoilpick.link_scheduler import SMALL_BYTES
from trefoilpick.retries import plan_retry
from trefoilpick.tokens import read_claims
from trefoilpick.transfer_sizes import TransferSizes
from trefoilpick.uploads import END_FRAME, Uploader

if TYPE_CHECKING:
    import random

    from trefoilpick.balancing import Balancer, WorkerRecord
    from trefoilpick.calls import Call
    from trefoilpick.conventions import Conventions
    from trefoilpick.hopclient import ClientHop, HopPool
    from trefoilpick.hops import Headers
    from trefoilpick.link_scheduler import LinkScheduler
    from trefoilpick.metrics import Metrics
    from trefoilpick.quarantine_gate import QuarantineGate
    from trefoilpick.retries import AttemptHistory, RetryBudgets
    from trefoilpick.snapshots import TeamRoute

FLUSH_BYTES = 65_536
"""Size at which the received parts of an answer are sent to the caller, in bytes."""

FLUSH_PARTS = 256
"""Number of received parts of an answer that are sent to the caller together at most."""

COARSE_DEADLINE_S = 5.0
"""Time left above which the connection monitor, not a timer, enforces a deadline, in seconds."""

FIRST_SERVER_ERROR = 500
"""Lowest HTTP status that counts as a failure of the worker."""

GATEWAY_TIMEOUT_STATUS = 504
"""HTTP status with which a worker reports that it reached the deadline."""

LEAVING_ERRORS = frozenset({ErrorKind.DRAINING, ErrorKind.UPSTREAM_REPLACED})
"""Errors of a worker that accepts no more work."""

WORKER_ERRORS = frozenset(
    {
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.ANSWER_MALFORMED,
        ErrorKind.ANSWER_CUT,
    }
)
"""Errors that count as a failure of the worker."""


SILENCE_ERRORS = frozenset({ErrorKind.DEADLINE_AFTER_SEND, ErrorKind.UPSTREAM_SILENT})
"""Errors after which the connection to the worker's node may be open and silent."""


@dataclass(frozen=True)
class Attempt:
    """An attempt for which the head of the answer has arrived.

    Attributes:
        record: The chosen worker.
        hop: The connection to its node.
        answer: The answer's head.
        uploader: The task that sends the rest of the body; None if the body was sent with the head.
        answered_at: When the answer's head was received, in seconds on the node's clock.
    """

    record: WorkerRecord
    hop: ClientHop
    answer: HopAnswer
    uploader: Uploader | None
    answered_at: float


class Forwarder:
    """Forwards requests to workers.

    Args:
        balancer: Chooses workers.
        pool: Connections to the workers' nodes.
        budgets: Retry budgets.
        metrics: Registry in which attempts are counted.
        random: Random number generator for the jitter.
        gate: Refuses quarantined requests.
        conventions: Headers of the fleet.
        link: Scheduler of this VM's link.
        body_idle_s: Idle timeout of a body, in seconds.

    Attributes:
        ends_at: When a drain ends the node at the latest, in seconds on the node's clock.
    """

    def __init__(
        self,
        balancer: Balancer,
        pool: HopPool,
        budgets: RetryBudgets,
        metrics: Metrics,
        random: random.Random,
        *,
        gate: QuarantineGate,
        conventions: Conventions,
        link: LinkScheduler,
        body_idle_s: float,
    ) -> None:
        self._gate = gate
        self._body_idle_s = body_idle_s
        self._link = link
        self._conventions = conventions
        self._balancer = balancer
        self._pool = pool
        self._budgets = budgets
        self._metrics = metrics
        self._random = random
        self._sizes = TransferSizes()
        self._durations: MovingAverages[tuple[str, str]] = MovingAverages()
        self.ends_at = math.inf

    @property
    def balancer(self) -> Balancer:
        """Chooses the workers."""
        return self._balancer

    def can_end(self, team_route: TeamRoute, now: float) -> bool:
        """Return whether a request that is sent now is expected to be answered before `ends_at`."""
        return now + self._durations.get(_get_key(team_route), 0.0) <= self.ends_at

    async def forward(self, call: Call, own_headers: Headers) -> float:
        """Forward a request to a worker and relay its answer to the caller.

        Args:
            call: The request.
            own_headers: Headers to add to the answer.

        Returns:
            Time until the answer's head, in seconds, excluding the upload of a streamed body.

        Raises:
            TrefoilpickError: The error that ended the request; no part of an answer was sent
                unless the connection's `is_head_sent` is set.
        """
        attempt = await self._attempt_until_answered(call)
        try:
            await self._relay_answer(call, attempt, own_headers)
        except TrefoilpickError as error:
            if error.kind in WORKER_ERRORS:
                self._balancer.record_failure(attempt.record, read_clock())
            raise
        finally:
            await self._finish(call, attempt)
        self._durations.add(_get_key(call.team_route), read_clock() - call.started_at)
        return attempt.answered_at - _find_wait_start(attempt.uploader, call.started_at)

    async def _attempt_until_answered(self, call: Call) -> Attempt:
        upstream = call.team_route.upstream.name
        self._budgets.record_request(upstream, call.started_at)
        attempts = call.attempts
        may_have_run = False
        while True:
            try:
                attempt = await self._attempt(call, attempts)
                failure = _build_server_error(attempt.answer)
                if failure is None:
                    return attempt
                may_have_run = True
                backoff_s = self._plan_retry(call, failure)
                if backoff_s is None:
                    return attempt
                await self._finish(call, attempt)
            except TrefoilpickError as error:
                may_have_run = may_have_run or find_answer(error).outcome is not Outcome.NOT_RUN
                backoff_s = self._plan_retry(call, error)
                if backoff_s is None:
                    raise _apply_combined_outcome(error, may_have_run=may_have_run) from error
            await curio.sleep(backoff_s)

    def _plan_retry(self, call: Call, error: TrefoilpickError) -> float | None:
        call.attempts.record_failure(error)
        if not self.can_end(call.team_route, read_clock()):
            return None
        backoff_s = plan_retry(
            call,
            error,
            attempts=call.attempts,
            now=read_clock(),
            budgets=self._budgets,
            random=self._random,
        )
        if backoff_s is not None:
            # The upload of this attempt may go on until it is stopped.
            call.body.keep_parts()
            upstream = call.team_route.upstream.name
            self._metrics.count(
                "trefoilpick_retries_total", upstream=upstream, kind=error.kind.value
            )
        return backoff_s

    async def _attempt(self, call: Call, attempts: AttemptHistory) -> Attempt:
        now = read_clock()
        record = self._choose_for_trial(call, now) or self._choose(call, attempts.vms, now)
        # A nested call that goes first may find a place where new requests find none.
        if (
            attempts.overload_refusals
            and not call.head.is_nested_first
            and self._balancer.is_full(record, call.team_route.upstream, now)
        ):
            text = f'every worker of upstream "{record.vm.service}" is full'
            raise TrefoilpickError(
                ErrorKind.SHED, text, retry_after_s=call.attempts.max_retry_after_s or None
            )
        attempts.vms.append(record.vm.name)
        record.begin_request(now, expected_s=self._estimate_service(call))
        try:
            return await self._attempt_at(call, record, is_retry=attempts.sent > 0)
        except TrefoilpickError as error:
            record.end_request()
            self._count_attempt(record, error.kind.value)
            self._record_error(call, record, error, read_clock())
            raise
        except BaseException:
            record.end_request()
            raise

    def _count_attempt(self, record: WorkerRecord, end: str) -> None:
        self._metrics.count(
            "trefoilpick_attempts_total",
            upstream=record.vm.service,
            data_centre=record.vm.data_centre,
            end=end,
        )

    def _record_error(
        self, call: Call, record: WorkerRecord, error: TrefoilpickError, now: float
    ) -> None:
        if error.kind in LEAVING_ERRORS:
            record.record_refusal(now)
        elif error.kind is ErrorKind.RATE_LIMITED:
            record.record_rate_refusal(now, find_answer(error).retry_after_s or 0.0)
        elif error.kind is ErrorKind.DEADLINE_AFTER_SEND:
            # A caller's deadline of less than half the route's says nothing about the worker.
            waited_s = now - call.started_at
            if waited_s * MS_PER_S * 2 >= call.team_route.route.contract.deadline_ms:
                self._balancer.record_failure(record, now)
        elif error.kind is ErrorKind.UPSTREAM_SILENT:
            self._balancer.record_unresponsive(record, now)
        elif error.kind is ErrorKind.UPSTREAM_ENDED:
            # It is down for a while; what ended it says nothing about the worker after it.
            record.record_refusal(now)
        elif error.kind in WORKER_ERRORS and not call.connection.is_disconnected:
            refused = error.kind is ErrorKind.UPSTREAM_REFUSED
            self._balancer.record_failure(record, now, refused=refused)

    def _choose_for_trial(self, call: Call, now: float) -> WorkerRecord | None:
        """Return the worker that may try a quarantined request; None if it is not quarantined.

        Raises:
            TrefoilpickError: `QUARANTINED`.
        """
        if self._gate.is_open or call.head.wants_token:
            return None
        sample = call.body.read_sample()
        if sample is None:
            # The rest of the body is sent to the worker's node, which decides by it.
            return None
        head = call.head
        fingerprint = compute_fingerprint(
            head.method, head.target, head.headers, [sample], conventions=self._conventions
        )
        if self._gate.table.find(fingerprint) is not None:
            call.attempts.fingerprint = str(fingerprint)
        vm = self._gate.check(fingerprint)
        if vm is None:
            return None
        call.attempts.is_trial = True
        record = self._balancer.find(call.team_route.upstream.name, vm, now)
        token = head.token
        if record is None or (token is not None and read_claims(token).vm != vm):
            text = f'request "{fingerprint}" is quarantined, and VM "{vm}" cannot try it'
            raise TrefoilpickError(ErrorKind.QUARANTINED, text)
        return record

    def _choose(self, call: Call, tried: list[str], now: float) -> WorkerRecord:
        upstream = call.team_route.upstream
        token = call.head.token
        if token is None:
            team, route = call.team_route.team, call.team_route.route.name
            is_heavy = self._sizes.is_heavy(team, route)
            contract = call.team_route.route.contract
            objective_ms = contract.objective.latency_ms if contract.large_bodies else None
            return self._balancer.choose(
                upstream,
                now,
                avoid=tried,
                is_heavy=is_heavy,
                route=route,
                body_objective_s=None if objective_ms is None else objective_ms / MS_PER_S,
            )
        vm = read_claims(token).vm
        record = self._balancer.find(upstream.name, vm, now)
        if record is None:
            text = f'VM "{vm}" of the token does not belong to upstream "{upstream.name}"'
            raise TrefoilpickError(ErrorKind.TOKEN_FOREIGN, text)
        return record

    async def _attempt_at(self, call: Call, record: WorkerRecord, *, is_retry: bool) -> Attempt:
        connect_s = call.team_route.upstream.connect_timeout_ms / MS_PER_S
        remaining_s = call.deadline_at - read_clock()
        hop = await self._pool.acquire(record.vm, timeout_s=min(connect_s, remaining_s))
        call.connection.hop = hop
        began_at = read_clock()
        try:
            attempt = await self._exchange_heads(call, record, hop, is_retry)
        except BaseException as error:
            call.connection.hop = None
            await self._pool.release(hop, read_clock())
            is_silent = isinstance(error, TrefoilpickError) and error.kind in SILENCE_ERRORS
            if is_silent and not hop.is_clean:
                # Connections that were idle meanwhile may have fallen silent as well.
                await self._pool.drop_idle(record.vm, before=began_at)
            raise
        return attempt

    async def _exchange_heads(
        self, call: Call, record: WorkerRecord, hop: ClientHop, is_retry: bool
    ) -> Attempt:
        ready = call.body.begin_attempt()
        withheld: list[bytes] | None = None
        if call.team_route.route.contract.large_bodies and self._is_body_awaited(record):
            ready, withheld = [], ready
        now = read_clock()
        request = build_request(
            call,
            now,
            is_retry=is_retry,
            vm=self._balancer.own_vm,
            rate_limit=record.rate_limit,
            expected_s=self._estimate_service(call),
        )
        data = encode_head(FrameKind.REQUEST, request) + encode_data(ready)
        if call.body.is_complete and request.has_body and not withheld:
            data += END_FRAME
        self._link.count(len(data))
        await self._send_first(call, hop, data)
        call.body.drop_excess()
        uploader = None
        if withheld or not call.body.is_complete:
            uploader = Uploader(call, hop, self._link, withheld=withheld)
            await uploader.start()
        try:
            answer = await self._receive_head(call, record, hop, uploader)
        except BaseException as error:
            if uploader is not None:
                await uploader.stop()
            if isinstance(error, TrefoilpickError) and error.kind is ErrorKind.MESSAGE_MALFORMED:
                raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, error.text) from error
            raise
        answered_at = read_clock()
        self._record_answer(
            call, record, answer, answered_at, answered_at - _find_wait_start(uploader, now)
        )
        return Attempt(record, hop, answer, uploader, answered_at)

    def _is_body_awaited(self, record: WorkerRecord) -> bool:
        """Return whether a worker's node asks for a large body when its link is free.

        A node that has not reported yet is assumed to have a link like that of this VM.
        """
        limits_bodies = record.limits_bodies
        return self._link.orders_bodies if limits_bodies is None else limits_bodies

    def _estimate_service(self, call: Call) -> float | None:
        team_route = call.team_route
        return self._balancer.estimate_service(team_route.upstream.name, team_route.route.name)

    def _record_answer(
        self, call: Call, record: WorkerRecord, answer: HopAnswer, now: float, latency_s: float
    ) -> None:
        self._count_attempt(record, "answered")
        self._balancer.record_load(record, answer.load, now)
        if answer.status < FIRST_SERVER_ERROR:
            route = call.team_route.route.name
            self._balancer.record_success(
                record, latency_s, now, route=route, served_s=answer.served_s
            )
        else:
            self._balancer.record_failure(record, now)

    async def _send_first(self, call: Call, hop: ClientHop, data: bytes) -> None:
        if call.connection.is_disconnected:
            raise TrefoilpickError(
                ErrorKind.CALLER_GONE, "the caller disconnected before its request was sent"
            )
        try:
            await hop.send_first(data)
        except OSError as error:
            if not hop.has_sent_bytes:
                text = f'connection to VM "{hop.vm.name}" broke before the request was sent'
                raise TrefoilpickError(
                    ErrorKind.UPSTREAM_LOST, text, outcome=Outcome.NOT_RUN
                ) from error

    async def _receive_head(
        self, call: Call, record: WorkerRecord, hop: ClientHop, uploader: Uploader | None
    ) -> HopAnswer:
        while True:
            frame = await self._receive_until_deadline(call, hop, uploader)
            if uploader is not None and uploader.error is not None:
                raise uploader.error
            if frame is None:
                raise _build_loss_error(call, hop, uploader)
            if frame.kind is FrameKind.ANSWER:
                return decode_head(frame.payload, HopAnswer)
            if frame.kind is FrameKind.FAILURE:
                failure = decode_head(frame.payload, HopFailure)
                hop.is_clean = _is_body_sent(call, uploader)
                self._balancer.record_load(record, failure.load, read_clock())
                raise rebuild_error(failure)
            if frame.kind is not FrameKind.NOTICE:
                text = f'node of VM "{hop.vm.name}" sent {frame.kind.name} before its answer'
                raise TrefoilpickError(ErrorKind.ANSWER_MALFORMED, text)
            load = decode_head(frame.payload, Load)
            self._balancer.record_load(record, load, read_clock())
            if uploader is not None:
                await uploader.accept(load.body_kbps)

    async def _receive_until_deadline(
        self, call: Call, hop: ClientHop, uploader: Uploader | None
    ) -> Frame | None:
        deadline_at = call.deadline_at
        while True:
            remaining_s = deadline_at - read_clock()
            if uploader is None and remaining_s >= COARSE_DEADLINE_S:
                return await self._receive_until_coarse_deadline(call, hop)
            try:
                return await curio.timeout_after(max(remaining_s, 0.0), _receive_frame, hop)
            except curio.TaskTimeout:
                extended_at = _extend_deadline(call, uploader)
                if extended_at is None or extended_at <= deadline_at:
                    raise _build_deadline_error(hop) from None
                deadline_at = extended_at

    async def _receive_until_coarse_deadline(self, call: Call, hop: ClientHop) -> Frame | None:
        """Receive a frame; the connection monitor breaks the hop soon after the deadline.

        A curio timer for each request would cost a tenth of its CPU time.
        """
        connection = call.connection
        connection.deadline_at = call.deadline_at
        try:
            frame = await _receive_frame(hop)
        finally:
            connection.deadline_at = None
        if connection.is_past_deadline:
            raise _build_deadline_error(hop)
        return frame

    async def _relay_answer(self, call: Call, attempt: Attempt, own_headers: Headers) -> None:
        connection = call.connection
        if _is_body_sent(call, attempt.uploader):
            connection.state = ConnectionState.ANSWERING
        answer = attempt.answer
        headers = build_answer_headers(answer, own_headers)
        is_head_pending = True
        is_complete = False
        size = call.body.received
        while not is_complete:
            parts, is_complete = await self._receive_parts(call, attempt, wait=not is_head_pending)
            size += sum(map(len, parts))
            if is_head_pending:
                data = connection.encode_answer(
                    answer.status, headers, parts, is_complete=is_complete
                )
                is_small = is_complete and len(data) <= SMALL_BYTES
                is_head_pending = False
            else:
                data = connection.encode_parts(parts, is_complete=is_complete)
            if data:
                await self._send_to_caller(call, data, is_small=is_small)
        self._sizes.record(call.team_route.team, call.team_route.route.name, size)

    async def _send_to_caller(self, call: Call, data: bytes, *, is_small: bool) -> None:
        """Send a part of an answer; parts of large answers take turns on the link."""
        connection, link = call.connection, self._link
        if not link.is_active or connection.is_local:
            await connection.send(data)
        elif is_small:
            link.count(len(data))
            await connection.send(data)
        else:
            for part in link.split([data]):
                await link.acquire(len(part), priority=find_priority(call).value)
                await connection.send(part)

    async def _receive_parts(
        self, call: Call, attempt: Attempt, *, wait: bool
    ) -> tuple[list[bytes], bool]:
        """Return the available parts of the answer, and whether they complete it."""
        parts: list[bytes] = []
        size = 0
        hop = attempt.hop
        while size < FLUSH_BYTES and len(parts) < FLUSH_PARTS:
            try:
                frame = hop.pop_frame()
                if frame is None:
                    if parts or not wait:
                        break
                    frame = await self._receive_before_idle(call, hop)
            except (OSError, TrefoilpickError):
                frame = None
            if frame is None or frame.kind not in (FrameKind.DATA, FrameKind.END, FrameKind.NOTICE):
                raise _build_truncation_error(call, attempt)
            if frame.kind is FrameKind.END:
                hop.is_clean = _is_body_sent(call, attempt.uploader)
                return parts, True
            if frame.kind is FrameKind.DATA and frame.payload:
                parts.append(frame.payload)
                size += len(frame.payload)
        return parts, False

    async def _receive_before_idle(self, call: Call, hop: ClientHop) -> Frame | None:
        """Receive a frame of a body; the connection monitor breaks the hop if none arrives.

        A worker may be silent until the deadline, or for the idle timeout if that ends later.
        """
        connection = call.connection
        connection.deadline_at = max(call.deadline_at, read_clock() + self._body_idle_s)
        try:
            return await hop.receive()
        finally:
            connection.deadline_at = None

    async def _finish(self, call: Call, attempt: Attempt) -> None:
        call.connection.hop = None
        attempt.record.end_request()
        if attempt.uploader is not None:
            await attempt.uploader.stop()
        await self._pool.release(attempt.hop, read_clock())


def _get_key(team_route: TeamRoute) -> tuple[str, str]:
    return team_route.team, team_route.route.name


def _build_server_error(answer: HopAnswer) -> TrefoilpickError | None:
    """Return the error for an answer with a retriable server error; None for any other.

    Status 504 is not retried: once a worker has reached the deadline, no time is left.
    """
    if answer.status < FIRST_SERVER_ERROR or answer.status == GATEWAY_TIMEOUT_STATUS:
        return None
    text = f"worker answered with status {answer.status}"
    return TrefoilpickError(ErrorKind.UPSTREAM_FAILED, text)


def _is_body_sent(call: Call, uploader: Uploader | None) -> bool:
    return call.body.is_complete and (uploader is None or uploader.ended_at is not None)


def _apply_combined_outcome(error: TrefoilpickError, *, may_have_run: bool) -> TrefoilpickError:
    """Return the error of the last attempt, with the combined outcome of all attempts."""
    answer = find_answer(error)
    if not may_have_run or answer.outcome is not Outcome.NOT_RUN:
        return error
    return TrefoilpickError(
        error.kind, error.text, outcome=Outcome.UNKNOWN, retry_after_s=answer.retry_after_s
    )


def _find_wait_start(uploader: Uploader | None, sent_at: float) -> float:
    """Return when waiting for the answer began: for a streamed body, at the body's end."""
    if uploader is None or uploader.ended_at is None:
        return sent_at
    return uploader.ended_at


def _extend_deadline(call: Call, uploader: Uploader | None) -> float | None:
    """Return the extended deadline of a streamed request; None for any other request.

    Its time limit runs from the end of the body, or from the last progress before that.
    """
    if uploader is None:
        return None
    body_ended_at = (
        call.connection.last_active_at if uploader.ended_at is None else uploader.ended_at
    )
    allowed_s = call.deadline_at - call.started_at
    return body_ended_at + allowed_s


async def _receive_frame(hop: ClientHop) -> Frame | None:
    """Return the next frame; None if the hop broke.

    Raises:
        TrefoilpickError: `UPSTREAM_SILENT`, if its node is unresponsive.
    """
    try:
        return await hop.receive()
    except OSError as error:
        if error.errno == errno.ETIMEDOUT:
            text = f'VM "{hop.vm.name}" does not acknowledge data'
            raise TrefoilpickError(ErrorKind.UPSTREAM_SILENT, text) from error
    except TrefoilpickError:
        # An invalid frame ends the hop like a lost connection; the calling task builds the error.
        pass
    return None


def _build_loss_error(call: Call, hop: ClientHop, uploader: Uploader | None) -> TrefoilpickError:
    if call.connection.is_disconnected:
        return TrefoilpickError(ErrorKind.CALLER_GONE, "the caller disconnected before its answer")
    if call.connection.is_expired and (uploader is None or not uploader.is_sending):
        return TrefoilpickError(
            ErrorKind.BODY_TIMEOUT, "no part of the body arrived within the idle timeout"
        )
    text = f'connection to VM "{hop.vm.name}" broke before the answer'
    return TrefoilpickError(ErrorKind.UPSTREAM_LOST, text)


def _build_deadline_error(hop: ClientHop) -> TrefoilpickError:
    text = f'no answer from VM "{hop.vm.name}" within the deadline'
    return TrefoilpickError(ErrorKind.DEADLINE_AFTER_SEND, text)


def _build_truncation_error(call: Call, attempt: Attempt) -> TrefoilpickError:
    if call.connection.is_disconnected:
        return TrefoilpickError(ErrorKind.CALLER_GONE, "the caller disconnected during its answer")
    if attempt.uploader is not None and attempt.uploader.error is not None:
        return attempt.uploader.error
    text = f'the answer from VM "{attempt.hop.vm.name}" was truncated'
    return TrefoilpickError(ErrorKind.ANSWER_CUT, text)
