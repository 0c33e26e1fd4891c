"""Decides until when a node's worker is assumed to be cold.

A cold worker crashes at a rate that a warm one serves easily. So where the node does not know, it
assumes a cold worker and asks it once. All times are on the node's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._worker_connections import NothingSentError
from trefoilpick.errors import TrefoilpickError
from trefoilpick.hops import HopRequest
from trefoilpick.logs import Event
from trefoilpick.worker_rates import ColdLimit
from trefoilpick.worker_statements import parse_decimal

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick.document import Upstream
    from trefoilpick.logs import StateLog
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import HopSettings
    from trefoilpick.upstreams import WorkerPool
    from trefoilpick.vms import Vm
    from trefoilpick.worker_rates import WorkerRate

PROBE_TIMEOUT_S = 0.25
"""Timeout of a probe, in seconds."""

PROBE_RETRY_S = 0.3
"""Pause after which a refused probe is sent again, once, in seconds."""

PROBE_STATUS = 200
"""Status code of an answer to a probe that is believed."""

MAX_COLD_MS = 3_600_000
"""Longest remaining cold time that is believed, in milliseconds; as in the document."""

MS_PER_S = 1_000
"""Milliseconds in a second."""

NO_RATE = -1
"""Value of the gauge of the cold rate while the worker is warm."""


class ColdSource(Enum):
    """What shows that the worker is cold or warm, or that the node does not know."""

    LISTED = "listed"
    """The list of VMs states a remaining cold time."""
    REPLACED = "replaced"
    """The list shows another worker, or another start of it."""
    REFUSED = "refused"
    """The worker refused a connection or ended: the next one to listen there is cold."""
    NODE_START = "node_start"
    """The node has started, or its service has cold workers only since now."""
    EVACUATION_END = "evacuation_end"
    """The data centre is no longer evacuated; the worker may have started meanwhile."""
    PROBE = "probe"
    """The worker answered a probe."""
    ELAPSED = "elapsed"
    """The assumed time has passed."""
    DOCUMENT = "document"
    """The service has no cold workers any more."""


@dataclass(frozen=True)
class ProbeAnswer:
    """Result of a probe.

    Attributes:
        remaining_ms: For how long the worker stays cold, in milliseconds; None if not known.
        was_refused: Whether the worker refused the connection.
    """

    remaining_ms: float | None = None
    was_refused: bool = False


class ColdStarts:
    """Applies the cold limit to the requests of a worker as long as it may be cold.

    Args:
        rate: Rate of requests to the worker.
        settings: Settings of the node's hops.
        log: Log of state changes.
        metrics: Metrics of the node.
        clock: Reads the node's clock, in seconds.
    """

    def __init__(
        self,
        rate: WorkerRate,
        settings: HopSettings,
        *,
        log: StateLog,
        metrics: Metrics,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._rate = rate
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._upstream: Upstream | None = None
        self._vm: Vm | None = None
        self._listed_s = 0.0
        self._ends = 0
        self._until_s = -math.inf
        self._is_down = False
        self._refused_s = 0.0
        self._source = ColdSource.NODE_START
        self._occasion = 0
        self._probe_at_s = math.inf
        self._may_retry_probe = False

    @property
    def is_active(self) -> bool:
        """Whether the worker's service has cold workers."""
        return self._upstream is not None and self._upstream.cold_rate_per_s > 0

    def apply_upstream(self, upstream: Upstream) -> None:
        """Apply the enforced upstream of the worker."""
        if upstream is self._upstream:
            return
        was_active = self.is_active
        self._upstream = upstream
        if not self.is_active:
            if was_active:
                self._end(ColdSource.DOCUMENT)
                self._rate.set_cold_limit(None)
            return
        rate = upstream.cold_rate_per_s * self._settings.cold_overage
        self._rate.set_cold_limit(ColdLimit(rate, self._settings.cold_slack))
        if not was_active:
            self._assume(ColdSource.NODE_START)
            if self._vm is not None:
                self._apply_listed(self._vm, is_new=True)
        self.refresh()

    def handle_listing(self, vm: Vm | None) -> None:
        """Apply this VM's newest record in the list; None if it is not listed."""
        if vm is None or vm is self._vm:
            return
        former, self._vm = self._vm, vm
        self._listed_s = self._clock()
        if not self.is_active:
            return
        is_new = former is None or former.worker_identity != vm.worker_identity
        self._is_down = self._is_down and not is_new
        if former is not None and former.evacuated and not vm.evacuated:
            self._assume(ColdSource.EVACUATION_END)
        elif former is not None and is_new:
            self._assume(ColdSource.REPLACED)
        if former is None or is_new or vm.cold_ms != former.cold_ms:
            self._apply_listed(vm, is_new=is_new)
        self.refresh()

    def handle_refusal(self) -> None:
        """Handle that the worker refused a connection: it is down until it answers again."""
        if self.is_active and not self._is_down:
            self._assume(ColdSource.REFUSED)
            self._note_down()
            self.refresh()

    def handle_ends(self, count: int) -> None:
        """Handle the number of ends of the worker that were found since the node started."""
        if count != self._ends:
            self._ends = count
            self.handle_refusal()

    def handle_answer(self, sent_s: float) -> None:
        """Handle an answer: a worker that was down before the request has started since.

        Args:
            sent_s: Clock reading when the request was sent, in seconds.
        """
        if self._is_down and sent_s > self._refused_s:
            self._is_down = False
            self._until_s = self._clock() + self._cold_start_s

    def refresh(self) -> None:
        """Apply the cold limit, or end it if its time has passed."""
        if not self.is_active:
            return
        remaining_s = self._until_s - self._clock()
        if self._is_down or remaining_s > 0:
            self._begin(max(remaining_s, 0.0))
        else:
            self._end(ColdSource.ELAPSED)

    def begin_probe(self) -> int | None:
        """Return the number of the occasion for which a probe is due now; None without one."""
        if not self.is_active or self._clock() < self._probe_at_s or not self._rate.try_send():
            return None
        self._probe_at_s = math.inf
        return self._occasion

    def record_probe(self, occasion: int, answer: ProbeAnswer) -> None:
        """Apply the answer to a probe.

        Args:
            occasion: The occasion for which it was sent; the answer says nothing about a later one.
            answer: The answer.
        """
        self._metrics.count("trefoilpick_cold_probes_total", result=_name_result(answer))
        if occasion != self._occasion or not self.is_active:
            return
        if answer.remaining_ms is not None:
            self._is_down = False
            self._source = ColdSource.PROBE
            self._until_s = self._clock() + answer.remaining_ms / MS_PER_S
            if answer.remaining_ms > 0:
                self.refresh()
            else:
                self._end(ColdSource.PROBE)
        elif answer.was_refused:
            self._note_down()
            if self._may_retry_probe:
                self._probe_at_s = self._clock() + PROBE_RETRY_S
            self._may_retry_probe = False

    async def probe(self, pool: WorkerPool, *, worker: str, header: bytes) -> None:
        """Send the probe that is due, if there is one, and apply its answer.

        Args:
            pool: Connections of probes.
            worker: Identity of the worker as listed.
            header: Name of the answer's header with the remaining time, in milliseconds.
        """
        occasion, upstream = self.begin_probe(), self._upstream
        if occasion is not None and upstream is not None:
            answer = await probe_worker(pool, upstream, worker=worker, header=header)
            self.record_probe(occasion, answer)

    @property
    def _cold_start_s(self) -> float:
        return 0.0 if self._upstream is None else self._upstream.cold_start_ms / MS_PER_S

    def _assume(self, source: ColdSource) -> None:
        """Assume a cold worker and ask it once, as the node does not know."""
        self._source = source
        self._until_s = max(self._until_s, self._clock() + self._cold_start_s)
        self._occasion += 1
        has_path = self._upstream is not None and self._upstream.health_path
        self._probe_at_s = self._clock() if has_path else math.inf
        self._may_retry_probe = True

    def _note_down(self) -> None:
        self._is_down = True
        self._refused_s = self._clock()

    def _apply_listed(self, vm: Vm, *, is_new: bool) -> None:
        """Apply a listed remaining time; 0 proves nothing, since the list may be late.

        It replaces what was assumed for a new worker. What is known of the same worker it only
        prolongs, since the entry may be older.
        """
        until_s = self._listed_s + vm.cold_ms / MS_PER_S
        if until_s <= self._clock():
            return
        if is_new and not vm.evacuated:
            self._until_s = until_s
            self._probe_at_s = math.inf
            self._source = ColdSource.LISTED
        elif until_s > self._until_s:
            self._until_s = until_s
            self._source = ColdSource.LISTED

    def _begin(self, remaining_s: float) -> None:
        self._rate.set_cold(True)
        rate = self._rate.cold_rate
        assert rate is not None
        self._metrics.set_gauge("trefoilpick_worker_cold_rate", rate)
        self._log.report(
            Event.WORKER_COLD,
            "cold",
            source=self._source.value,
            worker="" if self._vm is None else self._vm.worker,
            rate=rate,
            remaining_ms=round(remaining_s * MS_PER_S),
        )

    def _end(self, source: ColdSource) -> None:
        if self._rate.cold_rate is None:
            return
        self._until_s, self._is_down = -math.inf, False
        self._probe_at_s = math.inf
        self._rate.set_cold(False)
        self._metrics.set_gauge("trefoilpick_worker_cold_rate", NO_RATE)
        self._log.report(
            Event.WORKER_COLD,
            "warm",
            source=source.value,
            worker="" if self._vm is None else self._vm.worker,
        )


async def probe_worker(
    pool: WorkerPool, upstream: Upstream, *, worker: str, header: bytes
) -> ProbeAnswer:
    """Ask the worker for how long it stays cold.

    Args:
        pool: Connections of probes.
        upstream: The worker's upstream.
        worker: Identity of the worker as listed; another one refuses the request with status 421.
        header: Name of the answer's header with the remaining time, in milliseconds.
    """
    try:
        async with curio.timeout_after(PROBE_TIMEOUT_S):
            return await _probe(pool, upstream, worker, header)
    except TrefoilpickError as error:
        return ProbeAnswer(was_refused=isinstance(error.__cause__, ConnectionError))
    except (curio.TaskTimeout, NothingSentError):
        return ProbeAnswer()


async def _probe(pool: WorkerPool, upstream: Upstream, worker: str, header: bytes) -> ProbeAnswer:
    connection = await pool.acquire(
        connect_timeout_s=PROBE_TIMEOUT_S, now_s=read_clock(), must_be_new=True
    )
    try:
        await connection.send_request(
            _build_request(upstream),
            [],
            remaining_ms=round(PROBE_TIMEOUT_S * MS_PER_S),
            body_complete=True,
            is_retry=False,
            expected_worker=worker,
        )
        head = await connection.receive_head()
    finally:
        await pool.discard(connection)
    if head.status != PROBE_STATUS:
        return ProbeAnswer()
    # A warm worker omits the header; a value that cannot be read says nothing.
    remaining_ms = parse_decimal(dict(head.headers).get(header, b"0"))
    return ProbeAnswer(None if remaining_ms is None else min(remaining_ms, MAX_COLD_MS))


def _build_request(upstream: Upstream) -> HopRequest:
    # Without a request ID, the answer need not repeat one.
    return HopRequest(
        number=0,
        digest="",
        team="",
        route="",
        upstream=upstream.name,
        method="GET",
        target=upstream.health_path,
        headers=[],
        remaining_ms=0,
        priority="",
        idempotent=True,
        caller="",
        token=None,
        wants_token=False,
        has_body=False,
        is_retry=False,
    )


def _name_result(answer: ProbeAnswer) -> str:
    if answer.remaining_ms is None:
        return "refused" if answer.was_refused else "unknown"
    return "cold" if answer.remaining_ms else "warm"
