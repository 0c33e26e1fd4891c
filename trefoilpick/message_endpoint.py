"""Message handling of one node: numbering, matching answers to requests, rejecting replays."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import LOGGER_NAME
from trefoilpick.messages import Body, Envelope, decode_envelope, encode_envelope

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from trefoilpick.metrics import Metrics

    Handler = Callable[[Envelope], Awaitable[Body | None]]

REPLAY_WINDOW = 256
"""Size of the replay window, in messages: a message is refused if it is that far behind the newest
of its sender."""

MAX_SENDERS = 8_192
"""Maximum number of senders with a replay window; the oldest is dropped."""

INCARNATION_TIMEOUT_S = 60.0
"""Time without a message of an incarnation after which an earlier one is accepted, in seconds."""


logger = logging.getLogger(LOGGER_NAME)


class ReplayWindow:
    """Detects replayed messages of one sender."""

    def __init__(self) -> None:
        self._incarnation = 0
        self._newest = 0
        # Bit n is set if the message n before the newest was received.
        self._seen = 0
        self._received_s = float("-inf")

    def admit(self, incarnation: int, sequence: int) -> bool:
        """Return whether a message is new, and record it.

        An earlier incarnation is accepted after the later one has sent nothing for
        `INCARNATION_TIMEOUT_S`: the clock of a VM may have been set back between two starts of its
        process.

        Args:
            incarnation: Incarnation of the sender; messages of an earlier one are refused.
            sequence: Number of the message within the incarnation.
        """
        now = read_clock()
        if incarnation < self._incarnation and now < self._received_s + INCARNATION_TIMEOUT_S:
            return False
        if incarnation != self._incarnation:
            self._received_s = now
            self._incarnation = incarnation
            self._newest = sequence
            self._seen = 1
            return True
        if sequence > self._newest:
            self._received_s = now
            shift = min(sequence - self._newest, REPLAY_WINDOW)
            self._seen = ((self._seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._newest = sequence
            return True
        behind = self._newest - sequence
        if behind >= REPLAY_WINDOW or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True


@dataclass
class PendingRequest:
    """A request that waits for its answer.

    Attributes:
        request: Number of the request.
        address: "ip:port" of the peer.
        arrived: Set when the answer has arrived.
        answer: The answer.
    """

    request: int
    address: str
    arrived: curio.Event = field(default_factory=curio.Event)
    answer: Envelope | None = None


class MessageEndpoint:
    """Encodes a node's messages and handles those of its peers.

    Args:
        vm: Name of the node's VM.
        incarnation: Start of the node's process, in nanoseconds since the Unix epoch.
        metrics: Metrics of the node.
    """

    def __init__(self, vm: str, incarnation: int, metrics: Metrics) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self._metrics = metrics
        self._sequence = 0
        self._request_count = 0
        self._pending: dict[int, PendingRequest] = {}
        self._windows: dict[str, ReplayWindow] = {}
        self._handler: Handler | None = None

    def set_handler(self, handler: Handler) -> None:
        """Set the handler for the requests of peers."""
        self._handler = handler

    def encode(self, body: Body, *, request: int = 0, is_answer: bool = False) -> bytes:
        """Encode the node's next message."""
        self._sequence += 1
        envelope = Envelope(
            self.vm, self.incarnation, self._sequence, request, is_answer=is_answer, body=body
        )
        return encode_envelope(envelope)

    def register_request(self, address: str) -> PendingRequest:
        """Register a request to a peer."""
        self._request_count += 1
        pending = PendingRequest(self._request_count, address)
        self._pending[pending.request] = pending
        return pending

    def drop_request(self, pending: PendingRequest) -> None:
        """Forget a request for whose answer nobody waits."""
        self._pending.pop(pending.request, None)

    async def wait_for_answer(self, pending: PendingRequest, timeout_s: float) -> Envelope:
        """Wait for the answer to a request.

        Raises:
            TrefoilpickError: `PEER_UNREACHABLE`, after the timeout.
        """
        try:
            async with curio.timeout_after(timeout_s):
                await pending.arrived.wait()
        except curio.TaskTimeout as error:
            text = f'peer "{pending.address}" did not answer within {timeout_s:g} s'
            raise TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text) from error
        finally:
            self.drop_request(pending)
        if pending.answer is None:
            raise TrefoilpickError(ErrorKind.INTERNAL, "answer arrived without content")
        return pending.answer

    async def handle_request(self, data: bytes) -> bytes | None:
        """Handle a request or notification of a peer.

        Args:
            data: Untrusted bytes of the message.

        Returns:
            The encoded answer, or None if there is none.
        """
        envelope = self._admit(data)
        if envelope is None or envelope.is_answer or self._handler is None:
            return None
        try:
            body = await self._handler(envelope)
        except TrefoilpickError as error:
            self._metrics.count(
                "trefoilpick_control_messages_refused_total", reason=error.kind.value
            )
            return None
        except Exception:
            self._metrics.count("trefoilpick_control_messages_refused_total", reason="internal")
            logger.exception("a message of a peer failed", extra={"vm": envelope.vm})
            return None
        if body is None or envelope.request == 0:
            return None
        return self.encode(body, request=envelope.request, is_answer=True)

    async def handle_answer(self, data: bytes, address: str) -> None:
        """Handle an answer of a peer.

        Args:
            data: Untrusted bytes of the message.
            address: "ip:port" of the peer that the link is connected to.
        """
        envelope = self._admit(data)
        if envelope is None:
            return
        pending = self._pending.get(envelope.request)
        if pending is None or pending.address != address or not envelope.is_answer:
            self._metrics.count("trefoilpick_control_messages_refused_total", reason="unmatched")
            return
        pending.answer = envelope
        await pending.arrived.set()

    def _admit(self, data: bytes) -> Envelope | None:
        try:
            envelope = decode_envelope(data)
        except TrefoilpickError as error:
            self._metrics.count(
                "trefoilpick_control_messages_refused_total", reason=error.kind.value
            )
            return None
        window = self._windows.get(envelope.vm)
        if window is None:
            window = ReplayWindow()
            if len(self._windows) >= MAX_SENDERS:
                self._windows.pop(next(iter(self._windows)))
            self._windows[envelope.vm] = window
        if not window.admit(envelope.incarnation, envelope.sequence):
            self._metrics.count("trefoilpick_control_messages_refused_total", reason="replayed")
            return None
        return envelope
