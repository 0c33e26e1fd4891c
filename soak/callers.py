"""Callers of the soak: through the caller library, or on one persistent connection to a node."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from soak.fleet import LETHAL_TARGET
from trefoilpick._call_recorder import HTTP_OK, CallPlan, CallRecorder, check_answer
from trefoilpick._call_totals import Call, CallResult
from trefoilpick._client_connection import RawAnswer, open_client_connection, read_outcome
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer

if TYPE_CHECKING:
    import random

    from soak.fleet import SoakNode
    from trefoilpick._client_connection import ClientConnection

HOST = "quillqa.example"
ARCHIVE_PATH = "/archive/1998"
"""Path whose route changes between the two services with each version."""

PERSISTENT_PATHS = ("/sketches/23", ARCHIVE_PATH)
"""Paths of the calls on persistent connections, by turns."""

MEAN_PAUSE_S = 0.03
"""Mean pause between two calls of one caller, in seconds."""

DEADLINE_S = 3.0
"""Deadline of a call, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Time limit for opening a connection, in seconds."""

LETHAL_PAUSE_S = 0.4
"""Pause between two requests that end workers, in seconds."""

SPREAD_BYTES = 100_000
"""Size of a large body, in bytes."""

CLOSE_RACE_S = 0.1
"""Time after sending a request within which a stopping node may close the connection without having
read the request, in seconds: the request may still be in flight when the node closes."""

SETTLING_S = 3.0
"""Time after a fault within which a node detects and repairs its connections, in seconds."""

DENIALS = range(300, 500)
"""Statuses that a proper request must not get."""

TOKEN_ANSWERS = {
    ErrorKind.ANSWER_NOT_KEPT,
    ErrorKind.TOKEN_BUSY,
    ErrorKind.TOKEN_EXPIRED,
    ErrorKind.TOKEN_FOREIGN,
}
"""Errors that a repeated request with a token may get, although their statuses are denials: they
state what is known of its first run."""

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
        self.violations: list[str] = []
        self._random = random
        self._recorder = CallRecorder(name, addresses, random, observe=self._check_end)

    async def run(self) -> None:
        """Make calls until cancelled."""
        while True:
            plan = self._random.choice(CALL_PLANS)
            sent_at = time.monotonic()
            await self._recorder.make_call(plan, len(self.finished), DEADLINE_S)
            self.finished.append(FinishedCall(self._recorder.calls[-1], plan.path, sent_at))
            await curio.sleep(self._random.uniform(0, 2 * MEAN_PAUSE_S))

    def _check_end(self, request_id: str, plan: CallPlan, end: int | TrefoilpickError) -> None:
        if isinstance(end, TrefoilpickError):
            if end.kind in TOKEN_ANSWERS:
                return
            end = find_answer(end).status
        self.violations += describe_denial(request_id, plan.path, end)


class PersistentCaller:
    """Makes calls to one node over a persistent connection.

    Args:
        name: Prefix of its request ids.
        node: The node.
        pause_s: Pause between two calls, in seconds.

    Attributes:
        finished: Finished calls, with or without an answer.
        violations: Descriptions of requests that a stopping node read but did not answer, and of
            those that were denied.
    """

    def __init__(self, name: str, node: SoakNode, *, pause_s: float = MEAN_PAUSE_S) -> None:
        self.finished: list[FinishedCall] = []
        self.violations: list[str] = []
        self._name = name
        self._node = node
        self._pause_s = pause_s

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
            path = PERSISTENT_PATHS[len(self.finished) % len(PERSISTENT_PATHS)]
            headers = [("host", HOST), ("x-request-id", request_id)]
            sent_at = time.monotonic()
            try:
                answer = await connection.exchange("GET", path, headers, b"")
            except TrefoilpickError as error:
                self._record_failure(request_id, path, sent_at, error)
                return
            self._record_answer(request_id, path, answer, sent_at)
            is_open = connection.prepare_reuse()
            if is_open:
                await curio.sleep(self._pause_s)

    def _record_answer(self, request_id: str, path: str, answer: RawAnswer, sent_at: float) -> None:
        result, service = CallResult.NOT_RUN, ""
        self.violations += describe_denial(request_id, path, answer.status)
        if answer.status == HTTP_OK:
            result, service = check_answer(answer.status, answer.body, request_id, b"")
        elif read_outcome(answer.headers) is not Outcome.NOT_RUN:
            result = CallResult.UNKNOWN
        self.finished.append(FinishedCall(Call(request_id, True, result, service), path, sent_at))

    def _record_failure(
        self, request_id: str, path: str, sent_at: float, error: TrefoilpickError
    ) -> None:
        now = time.monotonic()
        node = self._node
        self.finished.append(
            FinishedCall(Call(request_id, True, CallResult.UNKNOWN), path, sent_at)
        )
        # After a later fault, that fault may have cut the connection instead of the shutdown.
        is_stopping = node.last_fault_at < node.sigterm_at <= now
        is_settled = node.silenced_at < sent_at - SETTLING_S
        if is_stopping and is_settled and now - sent_at > CLOSE_RACE_S:
            self.violations.append(
                f"{request_id} was cut {now - node.sigterm_at:.3f} s after SIGTERM of "
                f"{node.vm.name}, {now - sent_at:.3f} s after it was sent: {error.text}"
            )


class LethalCaller:
    """Sends a request that ends the workers that run it, to random nodes.

    Args:
        nodes: The nodes.
        random: Random number generator for the nodes.
    """

    def __init__(self, nodes: list[SoakNode], random: random.Random) -> None:
        self._nodes = nodes
        self._random = random
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled; each may break its connection."""
        while True:
            self._count += 1
            headers = [("host", HOST), ("x-request-id", f"lethal-{self._count}")]
            address = self._random.choice(self._nodes).caller_address
            with suppress(TrefoilpickError):
                connection = await open_client_connection(address, timeout_s=CONNECT_TIMEOUT_S)
                try:
                    async with curio.ignore_after(DEADLINE_S):
                        await connection.exchange("GET", LETHAL_TARGET.decode(), headers, b"")
                finally:
                    await connection.close()
            await curio.sleep(LETHAL_PAUSE_S)


def describe_denial(request_id: str, path: str, status: int) -> list[str]:
    """Return a violation if the status of an answer is a denial."""
    return [f"{request_id} to {path} was denied with {status}"] if status in DENIALS else []
