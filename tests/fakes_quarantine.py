"""A fleet without network: real gates, counters and overlay, with modelled links and workers."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Coroutine, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from trefoilpick.blame import EndReport, Suspect
from trefoilpick.errors import TrefoilpickError
from trefoilpick.fingerprints import Fingerprint
from trefoilpick.messages import Body, CaseNotice, EndReports, Envelope, encode_envelope
from trefoilpick.metrics import Metrics
from trefoilpick.overlay import FingerOverlay, OverlayView, list_targets
from trefoilpick.quarantine import CaseState, QuarantineTable
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.quarantine_sync import SPREAD_GAP_S, QuarantineSync
from trefoilpick.recent_answers import RecentAnswers
from trefoilpick.vms import Vm

SERVICE_S = 0.1
"""Service time of a request, in seconds."""
DOWN_S = (2.0, 5.0)
"""Range of the time for which a worker that ended is down, in seconds."""
EXCHANGE_S = (1.0, 3.0)
"""Range of the time between two exchanges of a node, in seconds."""
BACKOFF_S = 0.005
"""Time after which a node or a client repeats a request, in seconds."""
TRANSPORT_S = {"data centre": 0.001, "region": 0.004, "other": 0.06}
"""One-way delay of a message, in seconds, with the work of the node that receives it."""


def run_now(coro: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that waits for nothing."""
    with suppress(StopIteration):
        coro.send(None)
        raise AssertionError("the coroutine waits")


@dataclass(frozen=True)
class Request:
    """A request by its content, whatever its ID.

    Attributes:
        name: Its content.
        service: Service that runs it.
        ends_worker: Whether it ends the worker that runs it, after a part of its service time.
        retries: Repeats of the client after a failure.
        service_s: Its service time, in seconds.
        service_share: Range of the part of it after which a run ends.
    """

    name: str
    service: str = "s-0"
    ends_worker: bool = False
    retries: int = 1
    service_s: float = SERVICE_S
    service_share: tuple[float, float] = (0.05, 2.0)

    @property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint of the request."""
        return Fingerprint(self.name.encode()[:8].ljust(8), b"caller--")


@dataclass
class Outcome:
    """What became of one request of a client: when it was sent, and how its last attempt ended."""

    sent_s: float
    result: str = "pending"


@dataclass
class ModelNode:
    """A node with its worker.

    Attributes:
        runs: Requests that the worker runs, with their beginnings and what to do when it ends.
        is_ready: Whether the node has joined.
        bytes_sent: Bytes of control messages sent.
    """

    vm: Vm
    sync: QuarantineSync
    is_up: bool = True
    is_ready: bool = True
    runs: dict[int, tuple[Request, float, Callable[[str], None]]] = field(default_factory=dict)
    bytes_sent: int = 0
    answers: RecentAnswers = field(default_factory=RecentAnswers)
    next_spread_s: float = 0.0
    targets: tuple[Vm, ...] | None = None

    @property
    def gate(self) -> QuarantineGate:
        """The node's gate."""
        return self.sync.gate


class ModelFleet:
    """Nodes and workers in one event queue.

    Args:
        size: Number of VMs.
        seed: Seed of all random numbers.
        services: Number of services.
        centres: Number of data centres, which are spread over the regions.
        regions: Number of regions.
        exchanges: Whether nodes exchange state.
    """

    def __init__(
        self,
        size: int,
        *,
        seed: int,
        services: int = 2,
        centres: int = 3,
        regions: int = 1,
        exchanges: bool = True,
    ) -> None:
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.arrivals: dict[str, list[float]] = {}
        self.ends: dict[str, list[float]] = {}
        self.outcomes: dict[str, list[Outcome]] = {}
        self.vms = tuple(
            Vm(
                f"vm-{i}",
                f"region-{i % centres % regions}",
                f"centre-{i % centres}",
                f"s-{i % services}",
                f"10.0.{i // 250}.{i % 250 + 1}",
                1,
                2,
            )
            for i in range(size)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.nodes = {vm.name: self._open_node(vm) for vm in self.vms}
        if exchanges:
            for node in self.nodes.values():
                self.at(
                    self.random.uniform(0.0, EXCHANGE_S[1]), lambda node=node: self._exchange(node)
                )

    def at(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, event))

    def run_until(self, until_s: float) -> None:
        """Run all events until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = until_s

    def repeat(self, request: Request, *, per_s: float, until_s: float) -> None:
        """Send a request from random nodes until a time."""
        if self.now_s >= until_s:
            return
        self.send(request)
        gap_s = self.random.expovariate(per_s)
        self.at(gap_s, lambda: self.repeat(request, per_s=per_s, until_s=until_s))

    def send(self, request: Request) -> Outcome:
        """Send a request from a random node, as a client that repeats it after failures."""
        outcome = Outcome(self.now_s)
        self.outcomes.setdefault(request.name, []).append(outcome)
        self._call(self.random.choice(self.vms).name, request, outcome, request.retries)
        return outcome

    def end_worker(self, node: ModelNode) -> None:
        """End a worker, which comes back later."""
        if not node.is_up:
            return
        node.is_up = False
        runs = list(node.runs.values())
        node.runs.clear()
        suspects = tuple(
            Suspect(request.fingerprint, "r", self.now_s - began_s)
            for request, began_s, _ in runs
            if not node.answers.has_answered(request.fingerprint, self.now_s)
        )
        self._count += 1
        # Each request is lost with a connection of its own, and reported by itself.
        for suspect in suspects:
            run_now(node.sync.report_end(EndReport(self._count, node.vm.service, (suspect,))))
        for request, _, finish in runs:
            self.ends.setdefault(request.name, []).append(self.now_s)
            finish("ended")
        self.at(self.random.uniform(*DOWN_S), lambda: self._start_worker(node))

    def list_workers(self, service: str) -> list[ModelNode]:
        """Return the nodes of a service."""
        return [node for node in self.nodes.values() if node.vm.service == service]

    def list_states(self, request: Request) -> list[CaseState | None]:
        """Return the state of a request's case at each node."""
        cases = (node.gate.table.find(request.fingerprint) for node in self.nodes.values())
        return [case.state if case is not None else None for case in cases]

    def count_results(self, request: Request, *, since_s: float = 0.0) -> dict[str, int]:
        """Return how often the requests of a content ended in which way."""
        counts: dict[str, int] = {}
        for outcome in self.outcomes.get(request.name, []):
            if outcome.sent_s >= since_s:
                counts[outcome.result] = counts.get(outcome.result, 0) + 1
        return counts

    def _open_node(self, vm: Vm) -> ModelNode:
        gate = QuarantineGate(
            vm.name,
            QuarantineTable(self._read_clock),
            list_endpoints=self._list_endpoints,
            metrics=Metrics(),
            clock=self._read_clock,
        )
        sync = QuarantineSync(
            vm.name,
            gate,
            list_alive=lambda: self.vms,
            list_targets=lambda: self._list_targets(vm),
            send=lambda peer, body: self._send(vm, peer, body),
            request_spread=lambda: self._request_spread(vm.name),
            clock=self._read_clock,
        )
        return ModelNode(vm, sync)

    def restart_node(self, name: str) -> None:
        """Restart a node, which forgets all cases, and joins a peer before it serves again."""
        node = self.nodes[name]
        node.sync = self._open_node(node.vm).sync
        node.answers = RecentAnswers()
        node.is_ready = False
        self.at(self.random.uniform(0.1, 0.5), lambda: self._join(node))

    def _join(self, node: ModelNode) -> None:
        peer = self.nodes[self.random.choice(self.vms).name]
        if not peer.is_ready or peer is node:
            self.at(0.1, lambda: self._join(node))
            return
        run_now(node.sync.handle_cases(peer.sync.list_exchanged(), peer.vm.name))
        node.is_ready = True

    async def _request_spread(self, name: str) -> None:
        node = self.nodes[name]
        sync = node.sync
        if node.next_spread_s > self.now_s:
            return
        node.next_spread_s = self.now_s + SPREAD_GAP_S
        self.at(0.0, lambda: run_now(sync.spread()))
        self.at(SPREAD_GAP_S, lambda: run_now(sync.spread()))

    def _read_clock(self) -> float:
        return self.now_s

    def _list_endpoints(self, service: str) -> tuple[Vm, ...]:
        return tuple(vm for vm in self.vms if vm.service == service)

    def _list_targets(self, vm: Vm) -> tuple[Vm, ...]:
        node = self.nodes[vm.name]
        if node.targets is None:
            view = OverlayView(vm, self.vms, readers=2)
            node.targets = list_targets(FingerOverlay(), view, self.random)
        return node.targets

    async def _send(self, sender: Vm, peer: Vm, body: Body) -> None:
        node = self.nodes[sender.name]
        node.bytes_sent += len(encode_envelope(Envelope(sender.name, 2**60, 99, 0, False, body)))
        delay_s = self._draw_delay(sender, peer)
        self.at(delay_s, lambda: self._receive(sender, self.nodes[peer.name], body))

    def _draw_delay(self, one: Vm, other: Vm) -> float:
        kind = "region" if one.region == other.region else "other"
        if one.data_centre == other.data_centre:
            kind = "data centre"
        return TRANSPORT_S[kind] * self.random.uniform(1.0, 3.0)

    def _receive(self, sender: Vm, node: ModelNode, body: Body) -> None:
        if isinstance(body, EndReports):
            run_now(node.sync.handle_reports(body))
        elif isinstance(body, CaseNotice):
            run_now(node.sync.handle_cases(body.cases, sender.name))

    def _exchange(self, node: ModelNode) -> None:
        peer = self.nodes[self.random.choice(self.vms).name]
        for one, other in ((node, peer), (peer, node)):
            cases = one.sync.list_exchanged()
            if cases:
                run_now(self._send(one.vm, other.vm, CaseNotice(cases)))
        self.at(self.random.uniform(*EXCHANGE_S), lambda: self._exchange(node))

    def _call(self, name: str, request: Request, outcome: Outcome, retries: int) -> None:
        def finish(result: str) -> None:
            if result == "served" or not retries:
                outcome.result = result
            else:
                self.at(BACKOFF_S, lambda: self._call(name, request, outcome, retries - 1))

        self._attempt(self.nodes[name], request, (), finish)

    def _attempt(
        self,
        node: ModelNode,
        request: Request,
        tried: tuple[str, ...],
        finish: Callable[[str], None],
    ) -> None:
        if not node.is_ready:
            finish("not ready")
            return
        try:
            host = node.gate.check(request.fingerprint)
        except TrefoilpickError:
            finish("refused")
            return
        workers = [
            w
            for w in self.list_workers(request.service)
            if w.is_up and w.vm.name not in tried and host in (None, w.vm.name)
        ]
        if not workers:
            finish("no worker")
            return
        worker = self.random.choice(workers)

        def finish_attempt(result: str) -> None:
            if result == "ended" and not tried and host is None:
                names = (worker.vm.name,)
                self.at(BACKOFF_S, lambda: self._attempt(node, request, names, finish))
            else:
                finish(result)

        delay_s = self._draw_delay(node.vm, worker.vm)
        self.at(delay_s, lambda: self._begin(worker, request, finish_attempt))

    def _begin(self, worker: ModelNode, request: Request, finish: Callable[[str], None]) -> None:
        if not worker.is_up or not worker.is_ready:
            finish("no worker")
            return
        try:
            worker.gate.check_arrival(request.fingerprint)
            run_now(worker.gate.admit(request.fingerprint))
        except TrefoilpickError:
            finish("refused")
            return
        self.arrivals.setdefault(request.name, []).append(self.now_s)
        self._count += 1
        number = self._count
        worker.runs[number] = (request, self.now_s, finish)
        shortest, longest = request.service_share
        service_s = request.service_s * self.random.uniform(shortest, longest)
        self.at(service_s, lambda: self._complete(worker, number))

    def _complete(self, worker: ModelNode, number: int) -> None:
        run = worker.runs.get(number)
        if run is None:
            return
        request, _, finish = run
        if request.ends_worker:
            self.end_worker(worker)
            return
        del worker.runs[number]
        worker.answers.record(request.fingerprint, self.now_s)
        if not worker.gate.is_open:
            run_now(worker.gate.record_answer(request.fingerprint))
        finish("served")

    def _start_worker(self, node: ModelNode) -> None:
        node.is_up = True


def list_late_arrivals(fleet: ModelFleet, request: Request, contact_s: float) -> Iterator[float]:
    """Yield the arrivals of a request later than a time after it ended the third worker."""
    ends = fleet.ends.get(request.name, [])
    if len(ends) >= 3:
        yield from (at_s for at_s in fleet.arrivals[request.name] if at_s > ends[2] + contact_s)
