"""Callers of the soak: some through the caller library, some on one open connection to a node."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import curio
import h11
import msgspec

from trefoilpick._ledger import END_BY_OUTCOME, Call, CallEnd
from trefoilpick.client import Caller
from trefoilpick.errors import TrefoilpickError, find_answer
from trefoilpick.standin_worker import RunReceipt

if TYPE_CHECKING:
    import random
    from typing import Any

    from soak.fleet import SoakNode

HOST = "quillqa.example"
ARCHIVE = "/archive/1998"
"""Path whose route moves from one service to the other with each version."""

PAUSE_S = 0.03
"""Mean pause between two calls of one caller, in seconds."""

DEADLINE_S = 3.0
"""Time that a caller gives to one call, in seconds."""

SPREAD_BYTES = 100_000
"""Size of a large body, in bytes."""

HTTP_OK = 200
"""Status of a worker's answer."""

CROSSING_S = 0.1
"""Time after a request left within which a connection may close without having read it, in
seconds: the two cross on their way."""


@dataclass(frozen=True)
class Plan:
    """A kind of call: method, path, whether it may run twice, bytes of its body, use of tokens."""

    method: str
    path: str
    idempotent: bool
    body_bytes: int
    has_token: bool = True


PLANS = (
    Plan("GET", "/sketches/17", True, 0),
    Plan("GET", ARCHIVE, True, 0),
    Plan("POST", "/advances", False, 64),
    Plan("POST", "/advances", False, 64, has_token=False),
    Plan("PUT", "/spreads/9", True, SPREAD_BYTES),
)
"""The mix of calls, each as likely as any other."""


@dataclass(frozen=True)
class Told:
    """How a call ended, and what the soak checks of it.

    Attributes:
        call: The call for the ledger.
        path: Its path.
        service: Service that answered; empty for none.
        sent_at: When it was first sent, in seconds of the monotonic clock.
        node: VM of the node that it was sent to; empty where the library chose.
    """

    call: Call
    path: str
    service: str
    sent_at: float
    node: str = ""


class LibraryCaller:
    """A caller with the product's library and all nodes' addresses.

    Args:
        name: Its identity.
        nodes: The nodes.
        random: Source of its choices.
    """

    def __init__(self, name: str, nodes: list[SoakNode], random: random.Random) -> None:
        addresses = [node.caller_address for node in nodes]
        random.shuffle(addresses)
        self.told: list[Told] = []
        self._name = name
        self._random = random
        self._caller = Caller(addresses, chance=random)
        self._single = Caller(addresses, chance=random, attempts=1)

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            await self._make_call(self._random.choice(PLANS))
            await curio.sleep(self._random.uniform(0, 2 * PAUSE_S))

    async def _make_call(self, plan: Plan) -> None:
        request_id = f"{self._name}-{len(self.told)}"
        body = self._random.randbytes(plan.body_bytes)
        sent_at = time.monotonic()
        service = ""
        caller = self._caller if plan.has_token else self._single
        try:
            answer = await caller.request(
                plan.method,
                HOST,
                plan.path,
                headers=[("x-request-id", request_id)],
                body=body,
                deadline_s=DEADLINE_S,
                idempotent=plan.idempotent or not plan.has_token,
            )
            end, service = judge_answer(answer.status, answer.body, request_id, body)
        except TrefoilpickError as error:
            end = END_BY_OUTCOME[find_answer(error).outcome]
        call = Call(request_id, plan.idempotent, end)
        self.told.append(Told(call, plan.path, service, sent_at))


class LastingCaller:
    """A caller that keeps one connection to one node until the node's process is gone.

    Args:
        name: Its identity.
        node: The node.

    Attributes:
        told: Calls that ended with an answer, or without one.
        cut: Requests that were read and lost while the node was told to stop, as texts.
    """

    def __init__(self, name: str, node: SoakNode) -> None:
        self.told: list[Told] = []
        self.cut: list[str] = []
        self._name = name
        self._node = node

    async def run(self) -> None:
        """Call until cancelled, on a new connection whenever the last one ended."""
        while True:
            with suppress(OSError):
                host, _, port = self._node.caller_address.partition(":")
                sock = await curio.open_connection(host, int(port))
                async with sock:
                    await self._call_on(sock)
            await curio.sleep(PAUSE_S)

    async def _call_on(self, sock: Any) -> None:
        http = h11.Connection(h11.CLIENT)
        while http.our_state is h11.IDLE:
            request_id = f"{self._name}-{len(self.told)}"
            sent_at = time.monotonic()
            headers = [("host", HOST), ("x-request-id", request_id)]
            request = h11.Request(method="GET", target="/sketches/23", headers=headers)
            data = (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")
            head: h11.Response | None = None
            body = b""
            try:
                await sock.sendall(data)
                head, body = await _receive_answer(sock, http)
            except (OSError, h11.RemoteProtocolError) as error:
                self._note_break(request_id, sent_at, error)
                return
            self._note_answer(request_id, head, body, sent_at)
            if http.their_state is not h11.DONE:
                return
            http.start_next_cycle()
            await curio.sleep(PAUSE_S)

    def _note_answer(
        self, request_id: str, head: h11.Response, body: bytes, sent_at: float
    ) -> None:
        end, service = CallEnd.NOT_RUN, ""
        if head.status_code == HTTP_OK:
            end, service = judge_answer(head.status_code, body, request_id, b"")
        elif dict(head.headers).get(b"x-trefoilpick-outcome") != b"not_run":
            end = CallEnd.UNKNOWN
        call = Call(request_id, True, end)
        self.told.append(Told(call, "/sketches/23", service, sent_at, self._node.vm.name))

    def _note_break(self, request_id: str, sent_at: float, error: Exception) -> None:
        now = time.monotonic()
        node = self._node
        call = Call(request_id, True, CallEnd.UNKNOWN)
        self.told.append(Told(call, "/sketches/23", "", sent_at, node.vm.name))
        is_stopping = node.troubled_at < node.told_to_stop_at <= now
        if is_stopping and now - sent_at > CROSSING_S:
            self.cut.append(
                f"{request_id} was cut {now - node.told_to_stop_at:.3f} s after SIGTERM of "
                f"{node.vm.name}, {now - sent_at:.3f} s after it was sent: {error!r}"
            )


async def _receive_answer(sock: Any, http: h11.Connection) -> tuple[h11.Response, bytes]:
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(65_536))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, bytes(body)
        else:
            raise ConnectionResetError("closed before an answer")


def judge_answer(status: int, data: bytes, request_id: str, body: bytes) -> tuple[CallEnd, str]:
    """Return whether an answer is the worker's whole one to a request, and its service."""
    try:
        receipt = msgspec.json.decode(data, type=RunReceipt)
    except msgspec.MsgspecError:
        return CallEnd.CUT, ""
    digest = blake2b(body, digest_size=16).hexdigest()
    is_whole = receipt.request_id == request_id and receipt.body_digest == digest
    if status != HTTP_OK or not is_whole:
        return CallEnd.CUT, receipt.service
    return CallEnd.ANSWERED, receipt.service
