"""Callers of the soak: through the caller library, or on one persistent connection to a node."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from trefoilpick._call_recorder import HTTP_OK, CallPlan, CallRecorder, check_answer
from trefoilpick._call_totals import Call, CallResult
from trefoilpick._client_connection import RawAnswer, open_client_connection, read_outcome
from trefoilpick.errors import Outcome, TrefoilpickError

if TYPE_CHECKING:
    import random

    from soak.fleet import SoakNode
    from trefoilpick._client_connection import ClientConnection

HOST = "quillqa.example"
ARCHIVE_PATH = "/archive/1998"
"""Path whose route changes between the two services with each version."""

SKETCH_PATH = "/sketches/23"
"""Path of the calls on persistent connections."""

MEAN_PAUSE_S = 0.03
"""Mean pause between two calls of one caller, in seconds."""

DEADLINE_S = 3.0
"""Deadline of a call, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Time limit for opening a connection, in seconds."""

SPREAD_BYTES = 100_000
"""Size of a large body, in bytes."""

CLOSE_RACE_S = 0.1
"""Time after sending a request within which a stopping node may close the connection without having
read the request, in seconds: the request may still be in flight when the node closes."""

CALL_PLANS = (
    CallPlan("GET", HOST, "/sketches/17", True, 0),
    CallPlan("GET", HOST, ARCHIVE_PATH, True, 0),
    CallPlan("POST", HOST, "/advances", False, 64),
    CallPlan("POST", HOST, "/advances", False, 64, is_single_attempt=True),
    CallPlan("PUT", HOST, "/spreads/9", True, SPREAD_BYTES),
)
"""The mix of calls, chosen with equal probability."""


@dataclass(frozen=True)
class FinishedCall:
    """A finished call, with the data that the checks need.

    Attributes:
        call: The call and its result.
        path: Its path.
        sent_at: Time of its first attempt, in seconds on the monotonic clock.
    """

    call: Call
    path: str
    sent_at: float


class LibraryCaller:
    """Makes calls through the caller library, with the addresses of all nodes.

    Args:
        name: Prefix of its request ids.
        nodes: The nodes.
        random: Random number generator for calls, pauses and the order of addresses.
    """

    def __init__(self, name: str, nodes: list[SoakNode], random: random.Random) -> None:
        addresses = [node.caller_address for node in nodes]
        random.shuffle(addresses)
        self.finished: list[FinishedCall] = []
        self._random = random
        self._recorder = CallRecorder(name, addresses, random)

    async def run(self) -> None:
        """Make calls until cancelled."""
        while True:
            plan = self._random.choice(CALL_PLANS)
            sent_at = time.monotonic()
            await self._recorder.make_call(plan, len(self.finished), DEADLINE_S)
            self.finished.append(FinishedCall(self._recorder.calls[-1], plan.path, sent_at))
            await curio.sleep(self._random.uniform(0, 2 * MEAN_PAUSE_S))


class PersistentCaller:
    """Makes calls to one node over a persistent connection.

    Args:
        name: Prefix of its request ids.
        node: The node.

    Attributes:
        finished: Finished calls, with or without an answer.
        cut: Descriptions of requests that a stopping node read but did not answer.
    """

    def __init__(self, name: str, node: SoakNode) -> None:
        self.finished: list[FinishedCall] = []
        self.cut: list[str] = []
        self._name = name
        self._node = node

    async def run(self) -> None:
        """Make calls until cancelled; open a new connection when the previous one was closed."""
        address = self._node.caller_address
        while True:
            try:
                connection = await open_client_connection(address, timeout_s=CONNECT_TIMEOUT_S)
            except TrefoilpickError:
                # The node is down; retry after a pause.
                await curio.sleep(MEAN_PAUSE_S)
                continue
            try:
                await self._make_calls(connection)
            finally:
                await connection.close()
            await curio.sleep(MEAN_PAUSE_S)

    async def _make_calls(self, connection: ClientConnection) -> None:
        is_open = True
        while is_open:
            request_id = f"{self._name}-{len(self.finished)}"
            headers = [("host", HOST), ("x-request-id", request_id)]
            sent_at = time.monotonic()
            try:
                answer = await connection.exchange("GET", SKETCH_PATH, headers, b"")
            except TrefoilpickError as error:
                self._record_failure(request_id, sent_at, error)
                return
            self._record_answer(request_id, answer, sent_at)
            is_open = connection.prepare_reuse()
            if is_open:
                await curio.sleep(MEAN_PAUSE_S)

    def _record_answer(self, request_id: str, answer: RawAnswer, sent_at: float) -> None:
        result, service = CallResult.NOT_RUN, ""
        if answer.status == HTTP_OK:
            result, service = check_answer(answer.status, answer.body, request_id, b"")
        elif read_outcome(answer.headers) is not Outcome.NOT_RUN:
            result = CallResult.UNKNOWN
        self.finished.append(
            FinishedCall(Call(request_id, True, result, service), SKETCH_PATH, sent_at)
        )

    def _record_failure(self, request_id: str, sent_at: float, error: TrefoilpickError) -> None:
        now = time.monotonic()
        node = self._node
        self.finished.append(
            FinishedCall(Call(request_id, True, CallResult.UNKNOWN), SKETCH_PATH, sent_at)
        )
        # After a later fault, that fault may have cut the connection instead of the shutdown.
        is_stopping = node.last_fault_at < node.sigterm_at <= now
        if is_stopping and now - sent_at > CLOSE_RACE_S:
            self.cut.append(
                f"{request_id} was cut {now - node.sigterm_at:.3f} s after SIGTERM of "
                f"{node.vm.name}, {now - sent_at:.3f} s after it was sent: {error.text}"
            )
