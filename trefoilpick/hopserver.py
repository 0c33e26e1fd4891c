"""Hop server: accepts requests from other nodes and forwards them to the local worker."""

from __future__ import annotations

import logging
import math
import socket
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import curio

from trefoilpick._answer_buffers import BufferLimit
from trefoilpick._at_most_once import run_at_most_once
from trefoilpick._clock import read_clock
from trefoilpick._hop_connections import HopConnection
from trefoilpick._hop_exchange import ExchangeContext, HopExchange, encode_failure
from trefoilpick._hop_listener import BACKLOG, accept_sockets
from trefoilpick._open_hops import OpenHops
from trefoilpick._task_groups import keep_running
from trefoilpick.admission import AdmissionController, AdmissionLimits
from trefoilpick.blame import ignore_end
from trefoilpick.cold_starts import ColdStarts
from trefoilpick.conventions import DEFAULT_CONVENTIONS
from trefoilpick.eligibility import Exclusion, find_exclusion
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.health import WorkerHealth
from trefoilpick.hops import FrameKind, Hop, HopRequest, Load, decode_head, encode_head
from trefoilpick.incoming_bodies import IncomingBodies
from trefoilpick.link_scheduler import LinkScheduler
from trefoilpick.listeners import open_listener
from trefoilpick.logs import LOGGER_NAME, Event, open_state_log
from trefoilpick.quarantine_gate import open_local_gate
from trefoilpick.recent_answers import RecentAnswers
from trefoilpick.requestlogs import RequestEvent, open_request_log
from trefoilpick.running_requests import RunningRequests
from trefoilpick.tokens import create_token_store
from trefoilpick.upstreams import open_pool
from trefoilpick.version_observer import ignore_version
from trefoilpick.worker_ends import WorkerEnds
from trefoilpick.worker_statements import WorkerStatements

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine
    from typing import Any

    from curio.io import Socket

    from trefoilpick.blame import EndReport
    from trefoilpick.conventions import Conventions
    from trefoilpick.document import Upstream
    from trefoilpick.metrics import Metrics
    from trefoilpick.quarantine_gate import QuarantineGate
    from trefoilpick.requestlogs import RequestLog
    from trefoilpick.settings import Settings
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.tokens import TokenStore
    from trefoilpick.vms import Vm

MAX_CONCURRENT_REFUSALS = 64
"""Largest number of connections over the limit that are refused with an error frame at the same
time; further ones are closed at once."""

DRAIN_POLL_S = 0.02
"""Interval at which a drain checks for requests in flight, in seconds."""

QUEUE_POLL_S = 0.1
"""Interval at which the queue is checked for requests that can no longer be served, in seconds."""

HOP_IDLE_FACTOR = 2
"""Idle timeout of a hop at the worker's node, as a multiple of that at the caller's node, which has
the same settings and closes its hops first."""

LINGER_S = 1.0
"""Time for which the rest of a body is read after a failure, in seconds."""

logger = logging.getLogger(LOGGER_NAME)

WORKER_FAILURES = frozenset(
    {ErrorKind.UPSTREAM_REFUSED, ErrorKind.UPSTREAM_LOST, ErrorKind.ANSWER_MALFORMED}
)
"""Errors that count as failures of the worker."""


@dataclass(frozen=True)
class DrainReport:
    """Result of a drain.

    Attributes:
        cut: Number of requests that had not finished at the time limit.
        waited_s: Duration of the drain, in seconds.
    """

    cut: int
    waited_s: float


class HopServer:
    """Serves hops from other nodes, with one task per connection.

    Args:
        settings: Settings of the node.
        cell: Holder of the enforced version.
        metrics: Metrics in which requests are counted.
        is_up_to_date: Returns whether the enforced version is up to date with the fleet.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        admission: Admission control of the worker.
        token_store: Tokens by which requests run at most once.
        listener: A listening socket.
        record_version: Called with the VM, number and digest of the version that a request names.
        find_listed_vm: Returns this VM as the platform lists it; None if it is not listed.
        gate: Refuses quarantined requests.
        report_end: Reports each end of the worker with the requests that it was running.
        conventions: Headers of the fleet.
        log: Log of finished requests.
        link: Scheduler of this VM's link.
        incoming: Large bodies on the receiving side of this VM's link.

    Attributes:
        is_leaving: Whether a drain has started.
        is_refusing: Whether the notice period of a drain is over, so that requests are refused.
        drain_settings: Settings of the next drain.
        ends_at_s: Clock reading at which a drain ends the node at the latest, in seconds.
        running_requests: Requests that the worker runs now.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        cell: SnapshotCell,
        metrics: Metrics,
        is_up_to_date: Callable[[], bool],
        incarnation: int,
        admission: AdmissionController,
        token_store: TokenStore,
        listener: Socket,
        record_version: Callable[[str, int, str], None],
        find_listed_vm: Callable[[], Vm | None],
        gate: QuarantineGate,
        report_end: Callable[[EndReport], Awaitable[None]],
        conventions: Conventions,
        log: RequestLog,
        link: LinkScheduler,
        incoming: IncomingBodies,
    ) -> None:
        self.admission = admission
        self.token_store = token_store
        self.is_leaving = False
        self.is_refusing = False
        self.drain_settings = settings.drain
        self.running_requests = RunningRequests()
        self._settings = settings
        self._cell = cell
        self._metrics = metrics
        self._log = open_state_log(settings.vm, incarnation=incarnation, metrics=metrics)
        self._request_log = log
        self._is_up_to_date = is_up_to_date
        self._record_version = record_version
        self._find_listed_vm = find_listed_vm
        self._listener = listener
        self._incarnation = incarnation
        self._upstream: Upstream | None = None
        self._hops = OpenHops()
        self._running = 0
        self._refusals_in_progress = 0
        self._health = WorkerHealth(read_clock())
        self._drained = curio.Event()
        self._drain_report: DrainReport | None = None
        self.ends_at_s = math.inf
        self._own_vm: Vm | None = None
        self._statements = WorkerStatements(
            conventions, rate=admission.rate, log=self._log, metrics=metrics
        )
        pool = open_pool(
            settings.worker.host,
            settings.worker.port,
            max_idle_s=settings.hops.worker_idle_ms / 1000,
            conventions=conventions,
        )
        self._incoming = incoming
        self._answers = RecentAnswers()
        self._cold_starts = ColdStarts(
            admission.rate, settings.hops, log=self._log, metrics=metrics
        )
        # An answer to a probe need not have what proves that a request ran.
        self._cold_header = conventions.cold_start_ms
        self._probe_pool = open_pool(
            settings.worker.host,
            settings.worker.port,
            max_idle_s=0.0,
            conventions=replace(conventions, answer_proof=b""),
        )
        self._ends = WorkerEnds(
            pool,
            answers=self._answers,
            log=self._log,
            metrics=metrics,
            name=f"{settings.vm.name}/{incarnation}",
            service=settings.vm.service,
            is_leaving=self._is_end_planned,
            report=report_end,
        )
        self._context = ExchangeContext(
            admission=admission,
            pool=pool,
            metrics=metrics,
            measure_load=self.measure_load,
            body_idle_s=settings.hops.body_idle_ms / 1000,
            health=self._health,
            statements=self._statements,
            check_sending=self._check_sending,
            ends=self._ends,
            gate=gate,
            answers=self._answers,
            conventions=conventions,
            running=self.running_requests,
            link=link,
            incoming=incoming,
            buffer_limit=BufferLimit(metrics, max_bytes=link.buffer_bytes),
            tracks_work=settings.requests.balance_by_work,
        )

    @property
    def hop_count(self) -> int:
        """Number of open hops."""
        return len(self._hops)

    @property
    def running_count(self) -> int:
        """Number of requests in progress, including those that wait for a slot."""
        return self._running

    def measure_load(self) -> Load:
        """Return the current load of the worker."""
        snapshot = self._cell.current
        now_s = read_clock()
        return Load(
            vm=self._settings.vm.name,
            incarnation=self._incarnation,
            number=snapshot.version.number if snapshot else 0,
            digest=snapshot.version.digest if snapshot else "",
            in_flight=self.admission.in_flight,
            queued=self.admission.queued,
            slots=self.admission.limits.slots,
            leaving=self.is_leaving,
            failing_percent=self._health.compute_failing_percent(now_s),
            rate_limit=self.admission.rate.limit,
            leaving_worker=self._statements.worker if self._statements.has_left else None,
            cold_rate=self.admission.rate.cold_rate,
            work_s=self.admission.work.estimate_remaining(now_s),
            speed=self.admission.work.speed.speed,
            body_kbps=self._incoming.body_kbps,
            body_wait_ms=self._incoming.measure_wait_ms(),
        )

    async def run(self) -> None:
        """Accept hops until cancelled."""
        self.admission.start_warm_up(read_clock())
        async with self._listener as listener, curio.TaskGroup() as group:
            loops: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
                "watch_hops": self._hops.watch,
                "close_idle_hops": partial(self._hops.close_idle, self._find_hop_idle_timeout()),
                "accept_hops": partial(self._accept_hops, listener, group),
                "refuse_stale_waiters": self._refuse_stale_waiters,
                "probe_cold_worker": self._probe_cold_worker,
            }
            background_tasks = [
                await group.spawn(keep_running(loop, name=name, metrics=self._metrics))
                for name, loop in loops.items()
            ]
            async for task in group:
                if task in background_tasks:
                    raise task.exception

    @property
    def serves_peers_while_draining(self) -> bool:
        """Whether the worker stays when the node leaves, so that peers may use it until then."""
        own_vm = self._find_own_vm()
        return own_vm is not None and bool(own_vm.worker) and not self._is_worker_leaving(own_vm)

    async def drain(self) -> DrainReport:
        """Announce to peers that the node is leaving, refuse new requests, and wait for the others.

        Further calls wait for the first one and return the same report.

        Returns:
            The result of the drain.
        """
        if self.is_leaving:
            await self._drained.wait()
            assert self._drain_report is not None
            return self._drain_report
        drain = self.drain_settings
        started_s = read_clock()
        self.is_leaving = True
        notice_s = min(drain.bounded_notice_ms, drain.peer_notice_ms) / 1000
        self.ends_at_s = started_s + notice_s + drain.bounded_limit_ms / 1000
        for connection in self._hops:
            await self._notify_leaving(connection)
        await curio.sleep(notice_s)
        self.is_refusing = True
        while self._running and read_clock() < self.ends_at_s:
            await curio.sleep(DRAIN_POLL_S)
        if self.admission.queued:
            await self.admission.refuse_waiting(_build_draining_error())
            await curio.sleep(DRAIN_POLL_S)
        self._drain_report = DrainReport(cut=self._running, waited_s=read_clock() - started_s)
        await self._drained.set()
        return self._drain_report

    def _find_hop_idle_timeout(self) -> float:
        """Return the idle timeout of hops, in seconds; peers close them earlier."""
        return HOP_IDLE_FACTOR * self._settings.requests.hop_idle_ms / 1000

    async def _accept_hops(self, listener: Socket, group: curio.TaskGroup) -> None:
        async for sock in accept_sockets(listener, on_error=self._count_refused):
            if len(self._hops) < self._settings.hops.max_connections:
                await group.spawn(self._serve_hop, sock)
                continue
            self._count_refused()
            if self._refusals_in_progress < MAX_CONCURRENT_REFUSALS:
                await group.spawn(self._refuse_hop, sock)
            else:
                await sock.close()

    def _count_refused(self) -> None:
        self._metrics.count("trefoilpick_hop_connections_refused_total")

    async def _refuse_hop(self, sock: Socket) -> None:
        self._refusals_in_progress += 1
        connection = HopConnection(Hop(sock), await curio.current_task(), LINGER_S)
        limit = self._settings.hops.max_connections
        failure = encode_failure(
            TrefoilpickError(
                ErrorKind.TOO_MANY_CONNECTIONS, f"limit of {limit} open hops is reached"
            ),
            self.measure_load(),
        )
        try:
            with suppress(OSError, TrefoilpickError):
                await connection.send(failure)
                await sock.shutdown(socket.SHUT_WR)
                await connection.discard_rest(limit_s=LINGER_S)
        finally:
            self._refusals_in_progress -= 1
            await sock.close()

    async def _serve_hop(self, sock: Socket) -> None:
        connection = HopConnection(Hop(sock), await curio.current_task(), self._context.body_idle_s)
        self._hops.add(connection)
        try:
            with suppress(OSError):
                await self._serve_requests(connection)
        except TrefoilpickError as error:
            self._count_broken_connection(error.kind)
        except Exception:
            self._count_broken_connection(ErrorKind.INTERNAL)
            logger.exception("request on a hop failed")
        finally:
            self._hops.remove(connection)
            await connection.hop.close()

    def _count_broken_connection(self, kind: ErrorKind) -> None:
        self._metrics.count("trefoilpick_hop_connections_broken_total", kind=kind.value)

    async def _serve_requests(self, connection: HopConnection) -> None:
        while not connection.is_closed_by_peer:
            connection.begin_idle()
            if self.is_leaving:
                await self._notify_leaving(connection)
            frame = await connection.hop.receive()
            connection.is_idle = False
            if frame is None or connection.is_closed_by_peer:
                return
            if frame.kind is not FrameKind.REQUEST:
                text = f"hop frame {frame.kind.name} is not expected here"
                raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text)
            request = decode_head(frame.payload, HopRequest)
            self._record_version(request.vm, request.number, request.digest)
            self._running += 1
            try:
                reusable = await self._serve_request(connection, request)
            finally:
                self._running -= 1
            if not reusable:
                return

    async def _serve_request(self, connection: HopConnection, request: HopRequest) -> bool:
        kind = "answered"
        exchange = HopExchange(self._context, connection, request, began_s=read_clock())
        try:
            await self._answer(exchange, request)
            if exchange.was_sent:
                self._cold_starts.handle_answer(exchange.sent_s)
            if not request.wants_token:
                self._log.report(Event.WORKER, "up")
        except TrefoilpickError as error:
            kind = error.kind.value
            self._cold_starts.handle_ends(self._ends.count)
            if error.kind is ErrorKind.UPSTREAM_REFUSED:
                self._cold_starts.handle_refusal()
            if error.kind in WORKER_FAILURES:
                self._health.record_result(read_clock(), failed=True)
            if error.kind is ErrorKind.DRAINING and self._is_evacuated():
                self._metrics.count("trefoilpick_evacuation_refusals_total")
            if error.kind is ErrorKind.UPSTREAM_REPLACED and exchange.worker.worker:
                await self._ends.handle_replacement(exchange.worker)
                self._statements.record_left(exchange.worker)
            if error.kind is ErrorKind.UPSTREAM_REFUSED:
                self._log.report(Event.WORKER, "down", level=logging.WARNING, text=error.text)
            if not await exchange.send_failure(error):
                return False
        finally:
            self._metrics.count(
                "trefoilpick_hop_requests_total", team=request.team, route=request.route, kind=kind
            )
            if request.nested:
                self._metrics.count("trefoilpick_hop_nested_calls_total", kind=kind)
            self._log_request(exchange, request, kind)
        if exchange.is_hop_reusable:
            return True
        await connection.hop.sock.shutdown(socket.SHUT_WR)
        await connection.discard_rest(limit_s=LINGER_S)
        return False

    def _log_request(self, exchange: HopExchange, request: HopRequest, kind: str) -> None:
        failed = kind != "answered"
        if not self._request_log.try_acquire(RequestEvent.RUN, failed=failed):
            return
        self._request_log.write(
            RequestEvent.RUN,
            kind,
            failed=failed,
            request_id=request.request_id,
            route=request.route,
            version=request.number,
            sender=request.vm,
            worker=exchange.worker.worker,
            was_sent=exchange.was_sent,
            status=exchange.status,
            rate_limit=exchange.statement.rate_limit,
            leaving=exchange.statement.is_leaving,
            running=self.admission.in_flight,
            queued=self.admission.queued,
            slots=self.admission.limits.slots,
            allowed_ms=request.remaining_ms,
            took_ms=round((read_clock() - exchange.began_s) * 1000, 1),
        )

    async def _answer(self, exchange: HopExchange, request: HopRequest) -> None:
        if request.wants_token:
            self._admit(request)
            if self.is_leaving:
                raise _build_draining_error()
            await exchange.send_token(self.token_store.issue(request, read_clock()))
        elif request.token is not None:
            await run_at_most_once(self.token_store, exchange, request, admit=self._admit)
        else:
            await exchange.run(self._admit(request))

    def _admit(self, request: HopRequest) -> Upstream:
        """Check that the node accepts a request, and return the enforced upstream."""
        service = self._settings.vm.service
        if request.upstream == service:
            self._statements.adopt_limit(request.rate_limit)
        snapshot = self._cell.current
        if self.is_refusing:
            raise _build_draining_error()
        if snapshot is None:
            raise TrefoilpickError(ErrorKind.NOT_READY, "node does not enforce a version yet")
        if not self._is_up_to_date():
            raise TrefoilpickError(ErrorKind.NOT_LEVEL, "node may enforce an outdated version")
        upstream = snapshot.upstreams.get(service)
        if upstream is None or request.upstream != service:
            text = f'worker of upstream "{service}" got a request for "{request.upstream}"'
            raise TrefoilpickError(ErrorKind.NO_UPSTREAM, text, outcome=Outcome.NOT_RUN)
        self._cold_starts.apply_upstream(upstream)
        own_vm = self._check_worker()
        self._check_time_left(request.route)
        slots = own_vm.slots if own_vm is not None and own_vm.slots else upstream.slots
        if upstream is not self._upstream or slots != self.admission.limits.slots:
            self._upstream = upstream
            self.admission.limits = AdmissionLimits(slots, upstream.connections, upstream.queue)
        return upstream

    def _find_own_vm(self) -> Vm | None:
        """Return this VM as the platform lists it, and apply the identity of its worker."""
        own_vm = self._find_listed_vm()
        self._cold_starts.handle_listing(own_vm)
        if own_vm is not None and own_vm is not self._own_vm and own_vm.worker:
            self._own_vm = own_vm
            self._statements.handle_listing(own_vm.worker_identity)
        return own_vm

    def _is_worker_leaving(self, own_vm: Vm | None) -> bool:
        return self._find_exclusion(own_vm) is not None

    def _find_exclusion(self, own_vm: Vm | None) -> Exclusion | None:
        is_leaving = self._statements.has_left or self._was_removed(own_vm)
        return find_exclusion(own_vm, is_leaving=is_leaving)

    def _was_removed(self, own_vm: Vm | None) -> bool:
        """Return whether the worker was on the list and is not any more, so that it is leaving."""
        return own_vm is None and self._own_vm is not None

    def _is_evacuated(self) -> bool:
        return self._find_exclusion(self._find_own_vm()) is Exclusion.EVACUATED

    def _is_end_planned(self) -> bool:
        """Return whether an end of the worker was planned, or may have been."""
        own_vm = self._find_own_vm()
        # An evacuated worker stays: what it runs when it ends was lost unplanned.
        is_leaving = self._find_exclusion(own_vm) is Exclusion.LEAVING
        return is_leaving or self._statements.has_left

    def _check_worker(self) -> Vm | None:
        """Return this VM as the platform lists it; None if it is not listed.

        Raises:
            TrefoilpickError: `DRAINING`, if the worker is leaving.
        """
        own_vm = self._find_own_vm()
        if self._is_worker_leaving(own_vm):
            raise self._build_leaving_error()
        return own_vm

    def _check_sending(self, route: str) -> None:
        """Check that a request may be sent to the worker now.

        Raises:
            TrefoilpickError: `DRAINING`, if the worker is leaving or the node would end before the
                answer.
        """
        self._check_worker()
        self._check_time_left(route)

    def _check_time_left(self, route: str) -> None:
        if not self._can_end(self.admission.estimate_service(route)):
            raise _build_draining_error()

    def _can_end(self, service_s: float) -> bool:
        """Return whether a service time, in seconds, is over before a drain ends the node."""
        return read_clock() + service_s <= self.ends_at_s

    def _build_leaving_error(self) -> TrefoilpickError:
        reason = "is evacuated" if self._is_evacuated() else "is leaving"
        text = f'worker "{self._statements.worker.worker}" {reason}'
        return TrefoilpickError(ErrorKind.DRAINING, text)

    async def _refuse_stale_waiters(self) -> None:
        """Refuse waiting requests that the worker cannot serve in time, or at all if it is leaving.

        Their callers can then retry at other nodes. Also notices that the worker has ended.
        """
        worker = self._statements.worker
        while True:
            own_vm = self._find_own_vm()
            if self._statements.worker != worker:
                await self._ends.handle_replacement(worker)
                worker = self._statements.worker
            await self._ends.recheck()
            self._refresh_cold_start()
            if self._is_worker_leaving(own_vm):
                await self.admission.refuse_waiting(self._build_leaving_error())
            elif not self._can_end(self.admission.service_s):
                await self.admission.refuse_waiting(_build_draining_error())
            elif self.admission.queued:
                await self.admission.refuse_late(read_clock())
                await self.admission.admit_waiting()
            await curio.sleep(QUEUE_POLL_S)

    def _refresh_cold_start(self) -> None:
        snapshot = self._cell.current
        service = self._settings.vm.service
        if snapshot is not None and (upstream := snapshot.upstreams.get(service)) is not None:
            self._cold_starts.apply_upstream(upstream)
        self._cold_starts.handle_ends(self._ends.count)
        self._cold_starts.refresh()

    async def _probe_cold_worker(self) -> None:
        """Ask the worker for how long it stays cold where the node does not know.

        A worker that may get no requests is not asked, and neither is one that is not listed: its
        data centre may be evacuated.
        """
        while True:
            own_vm = self._find_own_vm()
            if own_vm is not None and not self._is_worker_leaving(own_vm):
                await self._cold_starts.probe(
                    self._probe_pool, worker=own_vm.worker, header=self._cold_header
                )
            await curio.sleep(QUEUE_POLL_S)

    async def _notify_leaving(self, connection: HopConnection) -> None:
        if not connection.is_idle or connection.was_notified:
            return
        connection.was_notified = True
        with suppress(OSError):
            await connection.hop.send(encode_head(FrameKind.NOTICE, self.measure_load()))


def open_hop_server(
    settings: Settings,
    *,
    cell: SnapshotCell,
    metrics: Metrics,
    is_up_to_date: Callable[[], bool],
    incarnation: int,
    record_version: Callable[[str, int, str], None] = ignore_version,
    find_listed_vm: Callable[[], Vm | None] = lambda: None,
    gate: QuarantineGate | None = None,
    report_end: Callable[[EndReport], Awaitable[None]] = ignore_end,
    conventions: Conventions = DEFAULT_CONVENTIONS,
    log: RequestLog | None = None,
    link: LinkScheduler | None = None,
) -> HopServer:
    """Open the hop server of a node. It listens at once, and accepts hops once it runs.

    Args:
        settings: Settings of the node.
        cell: Holder of the enforced version.
        metrics: Metrics in which requests are counted.
        is_up_to_date: Returns whether the enforced version is up to date with the fleet.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        record_version: Called with the VM, number and digest of the version that a request names.
        find_listed_vm: Returns this VM as the platform lists it; None if it is not listed.
        gate: Refuses quarantined requests; by default none is.
        report_end: Reports each end of the worker with the requests that it was running.
        conventions: Headers of the fleet.
        log: Log of finished requests; a new one by default.
        link: Scheduler of this VM's link; a new one by default.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, if the address cannot be listened on.
    """
    admission = AdmissionController(
        AdmissionLimits(slots=1, connections=1, queue=0),
        warm_up_s=settings.hops.warm_up_ms / 1000,
        warm_up_share=settings.hops.warm_up_percent / 100,
        nested_first=settings.hops.nested_first,
    )
    return HopServer(
        settings,
        cell=cell,
        metrics=metrics,
        is_up_to_date=is_up_to_date,
        incarnation=incarnation,
        admission=admission,
        token_store=create_token_store(
            settings.vm.name,
            incarnation,
            lifetime_s=settings.hops.token_lifetime_ms / 1000,
            max_tokens=settings.hops.max_tokens,
            max_answer_bytes=settings.hops.max_answer_bytes,
            max_answers_bytes=settings.hops.max_answers_bytes,
        ),
        listener=open_listener(
            settings.listen.host, settings.listen.hop_port, name="hop port", backlog=BACKLOG
        ),
        record_version=record_version,
        find_listed_vm=find_listed_vm,
        gate=gate or open_local_gate(settings.vm.name, metrics),
        report_end=report_end,
        conventions=conventions,
        log=log or open_request_log(settings.vm.name, incarnation=incarnation, metrics=metrics),
        link=link or LinkScheduler(settings.link.mbps, cell=cell, metrics=metrics),
        incoming=IncomingBodies(settings.link.mbps, cell=cell, metrics=metrics),
    )


def _build_draining_error() -> TrefoilpickError:
    return TrefoilpickError(ErrorKind.DRAINING, "node is leaving")
