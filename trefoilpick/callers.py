"""HTTP/1.1 server for callers, with one task per connection."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import curio
from curio import socket

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import keep_running
from trefoilpick._time_slices import yield_if_due
from trefoilpick.balancing import Balancer, Directory
from trefoilpick.caller_connections import (
    CallerConnection,
    CoarseClock,
    ConnectionState,
    encode_error,
)
from trefoilpick.calls import (
    ERROR_HEADER,
    EXHAUSTED_MARK,
    MS_PER_S,
    OUTCOME_HEADER,
    Call,
    CallBody,
    CallHead,
    parse_head,
)
from trefoilpick.connection_monitor import ConnectionMonitor
from trefoilpick.conventions import DEFAULT_CONVENTIONS, RETRY_HEADER, VERSION_HEADER, Conventions
from trefoilpick.deadline_history import DeadlineHistory, compute_retry_after
from trefoilpick.errors import ErrorKind, TrefoilpickError, find_answer
from trefoilpick.forwarding import Forwarder
from trefoilpick.hopclient import HopPool
from trefoilpick.link_scheduler import LinkScheduler
from trefoilpick.listeners import open_listener
from trefoilpick.logs import LOGGER_NAME
from trefoilpick.pipelining import Pipeline, PipelinedRequest
from trefoilpick.quarantine_gate import open_local_gate
from trefoilpick.requestlogs import SUCCESSFUL_RESULTS, RequestEvent, RequestLog, open_request_log
from trefoilpick.retries import LOAD_ERRORS, RetryBudgets
from trefoilpick.splitting import Splitter
from trefoilpick.version_observer import ignore_version

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import h11

    from trefoilpick.hops import Headers
    from trefoilpick.metrics import Metrics
    from trefoilpick.quarantine_gate import QuarantineGate
    from trefoilpick.running_requests import RunningRequests
    from trefoilpick.settings import Settings
    from trefoilpick.snapshots import Snapshot, SnapshotCell, TeamRoute

BACKLOG = 1_024
"""Connections that may wait to be accepted."""

ACCEPT_PAUSE_S = 0.05
"""Pause after the operating system refused to accept a connection, in seconds."""

LINGER_S = 1.0
"""Time for which the rest of a refused request's body is read and dropped, in seconds."""

LINGER_BYTES = 1_048_576
"""Largest part of a refused request's body that is read and dropped, in bytes."""

READ_BYTES = 65_536
"""Bytes to read from a caller's socket at a time."""

ANSWER_MARGIN_MS = 20
"""Time reserved for the round trip between caller and node, in milliseconds: more than twice 8 ms,
the highest one-way latency in the users' deployments."""

DRAIN_CHECK_S = 0.05
"""Interval between checks for requests in flight during a drain, in seconds."""

LAST_ANSWERS_CHECK_S = 0.01
"""Interval between checks for answers that are still to be sent at a drain's end, in seconds."""

MISSING_ROUTE_ERRORS = frozenset((ErrorKind.NO_ROUTE, ErrorKind.METHOD_NOT_ALLOWED))
"""Errors of a request for which a version has no route."""

CLOSE_HEADER = (b"connection", b"close")
"""Header that closes a caller's connection after the answer."""

US_PER_S = 1_000_000
"""Microseconds in a second."""

logger = logging.getLogger(LOGGER_NAME)


@dataclass(frozen=True)
class CallerDrainReport:
    """Result of a drain.

    Attributes:
        cut: Requests that were still in flight at the time limit.
    """

    cut: int


class CallerServer:
    """Accepts callers' connections and forwards their requests to workers.

    Args:
        settings: Settings of the node.
        listener: The listening socket.
        cell: Snapshot of the enforced version.
        forwarder: Forwards requests to workers.
        splitter: Divides the requests of split routes.
        monitor: Enforces timeouts and deadlines, and detects closed connections.
        metrics: Registry in which requests are counted.
        is_ready: Returns whether the node enforces a version, regardless of a drain.
        is_up_to_date: Returns whether the node enforces the newest version that it knows of.
        may_be_behind: Returns whether there may be a version that the node does not enforce yet.
        conventions: Names of the fleet's headers.
        log: Log of finished requests.
        running: Requests that the worker of this VM runs, if nested calls go first.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        listener: socket.socket,
        cell: SnapshotCell,
        forwarder: Forwarder,
        splitter: Splitter,
        monitor: ConnectionMonitor,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        is_up_to_date: Callable[[], bool],
        may_be_behind: Callable[[], bool],
        conventions: Conventions,
        log: RequestLog,
        running: RunningRequests | None = None,
    ) -> None:
        self.drain_settings = settings.drain
        self._settings = settings
        self._listener = listener
        self._cell = cell
        self._forwarder = forwarder
        self._monitor = monitor
        self._metrics = metrics
        self._is_ready = is_ready
        self._is_up_to_date = is_up_to_date
        self._may_be_behind = may_be_behind
        self._conventions = conventions
        self._log = log
        self._running = running
        self._splitter = splitter
        self._deadline_history = DeadlineHistory()
        self._tasks: dict[CallerConnection, curio.Task] = {}
        self._is_closing = False
        self._is_refusing = False

    @property
    def balancer(self) -> Balancer:
        """Chooses the workers for callers' requests."""
        return self._forwarder.balancer

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._listener.getsockname()[1]

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return sum(1 for connection in self._monitor.connections if connection.is_busy)

    async def run(self) -> None:
        """Serve until cancelled."""
        monitor = await curio.spawn(
            keep_running(self._monitor.run, name="monitor_connections", metrics=self._metrics),
            daemon=True,
        )
        try:
            await keep_running(self._accept_all, name="accept_callers", metrics=self._metrics)()
        finally:
            await monitor.cancel()
            await self._listener.close()
            tasks = list(self._tasks.values())
            for task in tasks:
                await task.cancel(blocking=False)
            for task in tasks:
                await task.wait()

    async def drain(self) -> CallerDrainReport:
        """Stop serving gracefully.

        During the notice period requests are still served, but for those that would take too long,
        and each answer closes its connection.
        Afterwards new requests are refused, and those in flight may finish until the time limit in
        the settings. The rest is then answered with an error, so that answers behind it can be
        sent.

        Returns:
            The number of requests that were still in flight at the time limit.
        """
        settings = self.drain_settings
        self._is_closing = True
        drain_s = (settings.bounded_notice_ms + settings.bounded_limit_ms) / MS_PER_S
        self._forwarder.ends_at = read_clock() + drain_s
        await curio.sleep(settings.bounded_notice_ms / MS_PER_S)
        self._is_refusing = True
        while self.in_flight and read_clock() < self._forwarder.ends_at:
            self._close_unused()
            await curio.sleep(DRAIN_CHECK_S)
        self._close_unused()
        report = CallerDrainReport(self.in_flight)
        await self._end_unanswered(settings.last_answers_ms / MS_PER_S)
        logger.info("callers drained", extra={"cut": report.cut})
        return report

    async def _end_unanswered(self, limit_s: float) -> None:
        """End the requests whose answers are not ready, and let those behind them be sent."""
        for connection, task in list(self._tasks.items()):
            if connection.is_answer_due:
                await task.cancel(blocking=False)
        end_at = read_clock() + limit_s
        while self.in_flight and read_clock() < end_at:
            await curio.sleep(LAST_ANSWERS_CHECK_S)
            self._close_unused()

    def _close_unused(self) -> None:
        for connection in self._monitor.connections:
            if connection.state in (ConnectionState.IDLE, ConnectionState.NEW):
                connection.expire()

    async def _accept_all(self) -> None:
        while True:
            await yield_if_due()
            await self._accept()

    async def _accept(self) -> None:
        try:
            client, address = await self._listener.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self._metrics.count("trefoilpick_accept_errors_total", reason=type(error).__name__)
            await curio.sleep(ACCEPT_PAUSE_S)
            return
        connection = CallerConnection(
            client,
            address[0],
            find_max_head_bytes=self._find_max_head_bytes,
            clock=self._monitor.clock,
        )
        if len(self._monitor.connections) >= self._settings.requests.max_connections:
            await self._refuse_connection(connection)
            return
        self._monitor.connections.add(connection)
        self._tasks[connection] = await curio.spawn(self._serve_connection, connection, daemon=True)

    def _find_max_head_bytes(self) -> int:
        return self._monitor.limits.head_bytes

    async def _refuse_connection(self, connection: CallerConnection) -> None:
        limit = self._settings.requests.max_connections
        text = f"the node is at its limit of {limit} callers' connections"
        error = TrefoilpickError(ErrorKind.TOO_MANY_CONNECTIONS, text)
        self._metrics.count("trefoilpick_refused_total", kind=error.kind.value)
        data = self._encode_error(connection, error, self._cell.current, close=True)
        try:
            connection.sock._socket.send(data)
        except OSError:
            pass
        finally:
            await connection.sock.close()

    async def _serve_connection(self, connection: CallerConnection) -> None:
        pipeline = Pipeline(connection)
        try:
            while await self._serve_request(connection, pipeline):
                pass
        except OSError:
            self._metrics.count("trefoilpick_caller_resets_total")
        finally:
            pipeline.handle_disconnect()
            self._monitor.connections.discard(connection)
            self._tasks.pop(connection, None)
            await connection.sock.close()

    async def _serve_request(self, connection: CallerConnection, pipeline: Pipeline) -> bool:
        """Serve the next request; return whether the connection can be reused."""
        try:
            request = await connection.receive_request()
        except TrefoilpickError as error:
            connection.state = ConnectionState.QUEUED
            if await pipeline.drain():
                await self._refuse(connection, error, self._cell.current)
            return await self._end_request(connection)
        if request is None:
            pipeline.handle_disconnect()
            await pipeline.drain()
            return False
        arrived_at = read_clock()
        # The timeout of heads does not apply to the wait for earlier answers.
        connection.state = ConnectionState.QUEUED
        if pipeline.can_add(request) and not self._is_closing:
            pipelined = await pipeline.add()
            self._tasks[pipelined.connection] = await curio.spawn(
                self._serve_pipelined, pipelined, request, arrived_at, pipeline, daemon=True
            )
            return not connection.is_broken
        if not await pipeline.drain():
            return False
        connection.state = ConnectionState.RUNNING
        await self._run_request(connection, request, arrived_at)
        return await self._end_request(connection)

    async def _serve_pipelined(
        self,
        pipelined: PipelinedRequest,
        request: h11.Request,
        arrived_at: float,
        pipeline: Pipeline,
    ) -> None:
        self._monitor.connections.add(pipelined.connection)
        try:
            await self._run_request(pipelined.connection, request, arrived_at, pipelined)
        finally:
            self._monitor.connections.discard(pipelined.connection)
            self._tasks.pop(pipelined.connection, None)
            async with curio.disable_cancellation():
                await pipeline.finish_request(pipelined)

    async def _run_request(
        self,
        connection: CallerConnection,
        request: h11.Request,
        arrived_at: float,
        pipelined: PipelinedRequest | None = None,
    ) -> None:
        snapshot = self._cell.current
        try:
            call = self._admit(connection, request, snapshot, arrived_at)
            if pipelined is not None and not call.team_route.route.contract.idempotent:
                await pipelined.wait_for_earlier()
        except TrefoilpickError as error:
            await self._refuse(connection, error, snapshot)
        except OSError:
            connection.abort_answer()
        except curio.TaskCancelled:
            await self._answer_stopped(connection, ErrorKind.DRAINING, snapshot)
            raise
        else:
            await self._run_call(call)

    async def _refuse(
        self, connection: CallerConnection, error: TrefoilpickError, snapshot: Snapshot | None
    ) -> None:
        self._metrics.count("trefoilpick_refused_total", kind=error.kind.value)
        self._log_refusal(connection, error, snapshot)
        await self._answer_error(connection, error, snapshot)

    async def _end_request(self, connection: CallerConnection) -> bool:
        if connection.is_broken:
            return False
        if connection.begin_next_request():
            return True
        await self._linger(connection)
        return False

    def _admit(
        self,
        connection: CallerConnection,
        request: h11.Request,
        snapshot: Snapshot | None,
        now: float,
    ) -> Call:
        head = self._parse_head(request)
        connection.request_id = head.request_id
        if self._is_refusing:
            raise TrefoilpickError(ErrorKind.DRAINING, "the node is leaving")
        if snapshot is None or not self._is_ready():
            raise TrefoilpickError(ErrorKind.NOT_READY, "the node enforces no version yet")
        if not self._is_up_to_date():
            raise TrefoilpickError(ErrorKind.NOT_LEVEL, "the node is behind the newest version")
        team_route = self._splitter.choose(self._find_route(snapshot, head))
        contract = team_route.route.contract
        if head.body_length is not None and head.body_length > contract.body_limit_bytes:
            text = f"body is over the route's limit of {contract.body_limit_bytes} bytes"
            raise TrefoilpickError(ErrorKind.BODY_TOO_LARGE, text)
        allowed_ms: float = contract.deadline_ms
        if head.deadline_ms is not None:
            allowed_ms = min(allowed_ms, head.deadline_ms - ANSWER_MARGIN_MS)
        left_ms = (self._forwarder.ends_at - now) * MS_PER_S
        if allowed_ms > left_ms and not self._forwarder.can_end(team_route, now):
            text = "the node is leaving, and requests of the route take longer than it stays"
            raise TrefoilpickError(ErrorKind.DRAINING, text)
        allowed_ms = min(allowed_ms, left_ms)
        elapsed_ms, objective_ms = self._find_objective(head, team_route, allowed_ms, now)
        body = CallBody(
            connection, contract.body_limit_bytes, self._settings.requests.kept_body_bytes
        )
        return Call(
            connection,
            head,
            body,
            snapshot,
            team_route,
            now,
            now + allowed_ms / MS_PER_S,
            now + objective_ms / MS_PER_S,
            elapsed_ms,
        )

    def _parse_head(self, request: h11.Request) -> CallHead:
        """Parse a request's head, and recognise a nested call if these go first.

        They do where the setting asks for it and the document declares an uneven load. Elsewhere
        the form of the ID suffices. A call that goes first must belong to a
        request that the worker of this VM runs, so that clients gain nothing by the form of an ID.
        """
        head = parse_head(request, self._conventions, service=self._settings.vm.service)
        snapshot = self._cell.current
        is_enabled = snapshot is not None and snapshot.has_uneven_load
        if self._running is None or not head.is_nested or not is_enabled:
            return head
        separator = self._conventions.nested_separator.decode("latin-1")
        is_nested = self._running.is_nested(head.request_id, separator)
        return replace(head, is_nested=is_nested, is_nested_first=is_nested)

    def _find_route(self, snapshot: Snapshot, head: CallHead) -> TeamRoute:
        """Return the route of a request.

        A route that is missing may be in a version that the node does not enforce yet.
        """
        try:
            return snapshot.find_route(head.host, head.method, head.path)
        except TrefoilpickError as error:
            if error.kind not in MISSING_ROUTE_ERRORS or not self._may_be_behind():
                raise
            text = f"{error.text}, but the node may be behind the newest version"
            raise TrefoilpickError(ErrorKind.NOT_LEVEL, text) from error

    def _find_objective(
        self, head: CallHead, team_route: TeamRoute, allowed_ms: float, now: float
    ) -> tuple[int, float]:
        """Return the time since the caller's first attempt and the objective's time left, in ms."""
        if head.is_nested:
            # It has its parent's deadline, and refusing it would waste the work of the parent.
            return 0, allowed_ms
        route = team_route.route
        elapsed_ms = self._deadline_history.estimate_elapsed(
            team_route.team, route.name, head.deadline_ms, now
        )
        return elapsed_ms, route.contract.objective.latency_ms - elapsed_ms

    async def _run_call(self, call: Call) -> None:
        try:
            headers = self._list_own_headers(call.snapshot)
            if self._is_ending(call.connection):
                headers.append(CLOSE_HEADER)
            result = self._record_latency(call, await self._forwarder.forward(call, headers))
        except TrefoilpickError as error:
            result = error.kind.value
            if error.kind in LOAD_ERRORS:
                _extend_retry_after(call, error)
            await self._answer_error(call.connection, error, call.snapshot)
        except Exception as cause:
            logger.exception("a request failed", extra={"route": call.team_route.route.name})
            result = ErrorKind.INTERNAL.value
            failure = TrefoilpickError(ErrorKind.INTERNAL, f"the node failed: {cause!r}")
            await self._answer_error(call.connection, failure, call.snapshot)
        except curio.TaskCancelled:
            kind = ErrorKind.NODE_STOPPED if call.body.was_sent else ErrorKind.DRAINING
            await self._answer_stopped(call.connection, kind, call.snapshot)
            self._record_result(call, kind.value)
            raise
        self._record_result(call, result)

    async def _answer_stopped(
        self, connection: CallerConnection, kind: ErrorKind, snapshot: Snapshot | None
    ) -> None:
        """Answer a request whose task is cancelled as the node stops."""
        error = TrefoilpickError(kind, "the node stopped before the request was answered")
        async with curio.ignore_after(self.drain_settings.last_answers_ms / MS_PER_S):
            await self._answer_error(connection, error, snapshot)

    def _record_result(self, call: Call, result: str) -> None:
        self._count_request(call.team_route, result)
        self._log_call(call, result)

    def _log_call(self, call: Call, result: str) -> None:
        failed = result not in SUCCESSFUL_RESULTS
        if not self._log.try_acquire(RequestEvent.REQUEST, failed=failed):
            return
        route = call.team_route
        self._log.write(
            RequestEvent.REQUEST,
            result,
            failed=failed,
            request_id=call.head.request_id,
            route=route.route.name,
            upstream=route.upstream.name,
            version=call.snapshot.version.number,
            vms=call.attempts.vms,
            ends=call.attempts.ends,
            allowed_ms=round((call.deadline_at - call.started_at) * MS_PER_S),
            took_ms=round((read_clock() - call.started_at) * MS_PER_S, 1),
            **({"subject": call.attempts.fingerprint} if call.attempts.fingerprint else {}),
        )

    def _log_refusal(
        self, connection: CallerConnection, error: TrefoilpickError, snapshot: Snapshot | None
    ) -> None:
        if self._log.try_acquire(RequestEvent.REQUEST, failed=True):
            self._log.write(
                RequestEvent.REQUEST,
                error.kind.value,
                failed=True,
                request_id=connection.request_id,
                version=snapshot.version.number if snapshot is not None else 0,
                digest=snapshot.version.digest if snapshot is not None else "",
                text=error.text,
            )

    def _record_latency(self, call: Call, latency_s: float) -> str:
        """Record a request's latency, in seconds; return the result "good" or "slow"."""
        team, route = call.team_route.team, call.team_route.route
        self._metrics.observe(
            "trefoilpick_request_microseconds", latency_s * US_PER_S, team=team, route=route.name
        )
        return "good" if latency_s * MS_PER_S <= route.contract.objective.latency_ms else "slow"

    def _count_request(self, team_route: TeamRoute, result: str) -> None:
        self._metrics.count(
            "trefoilpick_requests_total",
            team=team_route.team,
            route=team_route.route.name,
            result=result,
        )

    async def _answer_error(
        self, connection: CallerConnection, error: TrefoilpickError, snapshot: Snapshot | None
    ) -> None:
        """Answer with an error, or end the connection if an answer has already begun."""
        if error.kind is ErrorKind.CALLER_GONE or not connection.can_answer:
            connection.abort_answer()
            return
        is_malformed = error.kind is ErrorKind.HEAD_MALFORMED
        close = self._is_ending(connection) or is_malformed or not connection.drop_body()
        data = self._encode_error(connection, error, snapshot, close=close)
        try:
            await connection.send(data)
        except TrefoilpickError:
            connection.abort_answer()

    def _is_ending(self, connection: CallerConnection) -> bool:
        """Return whether a drain closes a connection after the answer that is due."""
        return self._is_closing and not connection.is_followed

    def _encode_error(
        self,
        connection: CallerConnection,
        error: TrefoilpickError,
        snapshot: Snapshot | None,
        *,
        close: bool,
    ) -> bytes:
        answer = find_answer(error)
        headers = self._list_own_headers(snapshot)
        headers.append((ERROR_HEADER, error.kind.value.encode()))
        headers.append((OUTCOME_HEADER, answer.outcome.value.encode()))
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", self._format_seconds(answer.retry_after_s)))
        if connection.is_exhausted:
            headers.append((RETRY_HEADER, EXHAUSTED_MARK))
        body = {
            "error": error.kind.value,
            "text": error.text,
            "outcome": answer.outcome.value,
        }
        return encode_error(connection, answer.status, headers, body, close=close)

    def _format_seconds(self, seconds: float) -> bytes:
        if self._conventions.fractional_retry_after:
            return f"{seconds:.3f}".encode()
        return str(math.ceil(seconds)).encode()

    def _list_own_headers(self, snapshot: Snapshot | None) -> Headers:
        number = snapshot.version.number if snapshot is not None else 0
        return [(VERSION_HEADER, str(number).encode())]

    async def _linger(self, connection: CallerConnection) -> None:
        """Read and drop the rest of the request before closing.

        Closing with unread input resets the connection, which could discard the answer before the
        caller has read it.
        """
        dropped = 0
        try:
            connection.sock._socket.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(LINGER_S):
                while dropped < LINGER_BYTES and (data := await connection.sock.recv(READ_BYTES)):
                    dropped += len(data)
        except OSError:
            return


def _extend_retry_after(call: Call, error: TrefoilpickError) -> None:
    error.retry_after_s = compute_retry_after(
        find_answer(error).retry_after_s or 0.0,
        elapsed_ms=call.elapsed_ms,
        objective_ms=call.team_route.route.contract.objective.latency_ms,
        remaining_s=call.deadline_at - read_clock(),
    )


def open_caller_server(
    settings: Settings,
    *,
    cell: SnapshotCell,
    directory: Directory,
    metrics: Metrics,
    is_ready: Callable[[], bool],
    is_up_to_date: Callable[[], bool],
    random: random.Random,
    may_be_behind: Callable[[], bool] = lambda: False,
    record_version: Callable[[str, int, str], None] = ignore_version,
    gate: QuarantineGate | None = None,
    conventions: Conventions = DEFAULT_CONVENTIONS,
    log: RequestLog | None = None,
    running: RunningRequests | None = None,
    link: LinkScheduler | None = None,
) -> CallerServer:
    """Open the server for callers; it listens at once and accepts connections when run.

    Args:
        settings: Settings of the node.
        cell: Snapshot of the enforced version.
        directory: The fleet's VMs as known to this node.
        metrics: Registry in which requests are counted.
        is_ready: Returns whether the node enforces a version, regardless of a drain.
        is_up_to_date: Returns whether the node enforces the newest version that it knows of.
        random: Random number generator.
        may_be_behind: Returns whether there may be a version that the node does not enforce yet;
            by default, there is none.
        record_version: Called with the VM, number and digest of the version in each load report.
        gate: Refuses quarantined requests; by default none is.
        conventions: Names of the fleet's headers.
        log: Log of finished requests; a new one by default.
        running: Requests that the worker of this VM runs; used where nested calls go first.
        link: Scheduler of this VM's link; a new one by default.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, if listening on the address fails.
    """
    requests = settings.requests
    balancer = Balancer(
        settings.vm,
        directory,
        random,
        record_version=record_version,
        by_work=requests.balance_by_work,
    )
    pool = HopPool(requests, balancer.record_load_notice, data_centre=settings.vm.data_centre)
    budgets = RetryBudgets(
        requests.retry_percent, reserve=requests.retry_reserve, count_vms=directory.count_vms
    )
    forwarder = Forwarder(
        balancer,
        pool,
        budgets,
        metrics,
        random,
        gate=gate or open_local_gate(settings.vm.name, metrics),
        conventions=conventions,
        link=link or LinkScheduler(settings.link.mbps, cell=cell, metrics=metrics),
        body_idle_s=requests.body_idle_ms / MS_PER_S,
    )
    listener = open_listener(
        settings.listen.host, settings.listen.caller_port, name="callers' port", backlog=BACKLOG
    )
    return CallerServer(
        settings,
        listener=listener,
        cell=cell,
        forwarder=forwarder,
        splitter=Splitter(random),
        monitor=ConnectionMonitor(requests, pool, CoarseClock(read_clock()), cell),
        metrics=metrics,
        is_ready=is_ready,
        is_up_to_date=is_up_to_date,
        may_be_behind=may_be_behind,
        conventions=conventions,
        log=log or open_request_log(settings.vm.name, incarnation=0, metrics=metrics),
        running=running if settings.hops.nested_first else None,
    )
