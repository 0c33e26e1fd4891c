from __future__ import annotations

import zlib

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick._virtual_time import run_virtual
from trefoilpick.errors import TrefoilpickError
from trefoilpick.message_endpoint import (
    INCARNATION_TIMEOUT_S,
    REPLAY_WINDOW,
    MessageEndpoint,
    ReplayWindow,
)
from trefoilpick.messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Delivery,
    Envelope,
    Exchange,
    FetchVms,
    Refusal,
    WireSection,
    WireVersion,
    encode_envelope,
    unpack_bytes,
)
from trefoilpick.metrics import Metrics

VERSION = WireVersion(7, bytes(16))
EXCHANGE = Exchange(VERSION, VERSION, 1, 0, False)
DELIVERY = Delivery(VERSION, VERSION, 1, (), ("team",), (WireSection(bytes(16), b"x" * 40),))


class Receiver:
    def __init__(self) -> None:
        self.metrics = Metrics()
        self.message_endpoint = MessageEndpoint("vm-1", 1, self.metrics)
        self.message_endpoint.set_handler(self.handle)
        self.handled: list[Body] = []

    async def handle(self, envelope: Envelope) -> Body | None:
        self.handled.append(envelope.body)
        return Refusal("busy")

    async def receive(self, data: bytes) -> None:
        await self.message_endpoint.handle_request(data)
        await self.message_endpoint.handle_answer(data, "127.0.0.1:1")

    def count_refused(self, reason: str) -> int:
        name = "trefoilpick_control_messages_refused_total"
        return self.metrics.get_count(name, reason=reason)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200))
def test_malformed_messages_are_counted_and_not_handled(data: bytes) -> None:
    receiver = Receiver()
    run_virtual(receiver.receive(data))
    assert receiver.handled == []
    assert receiver.count_refused("message_malformed") == 2


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.sampled_from([EXCHANGE, DELIVERY]), st.data())
def test_corrupt_message_is_refused_or_decodes(body: Body, data: st.DataObject) -> None:
    encoded = MessageEndpoint("vm-2", 1, Metrics()).encode(body, request=1)
    position = data.draw(st.integers(0, len(encoded) - 1))
    corrupt = data.draw(
        st.sampled_from(
            [
                encoded[:position],
                encoded[:position]
                + bytes([data.draw(st.integers(0, 255))])
                + encoded[position + 1 :],
                encoded[:position] + encoded[position:] * 3,
            ]
        )
    )
    receiver = Receiver()
    run_virtual(receiver.receive(corrupt))
    for handled in receiver.handled:
        assert msgspec.msgpack.encode(handled)


def test_message_over_the_size_limit_is_refused_without_decoding() -> None:
    receiver = Receiver()
    run_virtual(receiver.receive(bytes(MAX_MESSAGE_BYTES + 1)))
    assert receiver.count_refused("message_too_large") == 2


def test_replayed_request_is_handled_once() -> None:
    receiver = Receiver()
    data = MessageEndpoint("vm-2", 1, Metrics()).encode(EXCHANGE, request=1)
    run_virtual(receiver.receive(data))
    run_virtual(receiver.receive(data))
    assert len(receiver.handled) == 1
    assert receiver.count_refused("replayed") == 3


def test_answer_is_matched_by_request_number_and_peer() -> None:
    async def main() -> None:
        receiver = Receiver()
        pending = receiver.message_endpoint.register_request("127.0.0.1:1")
        peer = MessageEndpoint("vm-2", 1, Metrics())
        wrong = peer.encode(Refusal("busy"), request=pending.request + 1, is_answer=True)
        await receiver.message_endpoint.handle_answer(wrong, "127.0.0.1:1")
        elsewhere = peer.encode(Refusal("busy"), request=pending.request, is_answer=True)
        await receiver.message_endpoint.handle_answer(elsewhere, "127.0.0.1:2")
        assert not pending.arrived.is_set()
        assert receiver.count_refused("unmatched") == 2
        right = peer.encode(Refusal("absent"), request=pending.request, is_answer=True)
        await receiver.message_endpoint.handle_answer(right, "127.0.0.1:1")
        answer = await receiver.message_endpoint.wait_for_answer(pending, 1)
        assert answer.body == Refusal("absent")

    run_virtual(main())


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.integers(1, 2 * REPLAY_WINDOW), max_size=80))
def test_replay_window_admits_each_number_once(numbers: list[int]) -> None:
    window = ReplayWindow()
    admitted = [number for number in numbers if window.admit(1, number)]
    assert len(admitted) == len(set(admitted))
    newest = 0
    for number in numbers:
        if number > newest - REPLAY_WINDOW:
            assert number in admitted
        newest = max(newest, number)


def test_earlier_incarnation_is_accepted_only_after_a_timeout() -> None:
    async def main() -> None:
        window = ReplayWindow()
        assert window.admit(5, 1)
        assert not window.admit(4, 9)
        await curio.sleep(INCARNATION_TIMEOUT_S + 1)
        assert window.admit(4, 9)

    run_virtual(main())


def test_decompressed_size_is_bounded() -> None:
    bomb = zlib.compress(bytes(50_000_000))
    with pytest.raises(TrefoilpickError, match="exceed 1000"):
        unpack_bytes(bomb, 1_000)
    with pytest.raises(TrefoilpickError, match="cut off"):
        unpack_bytes(zlib.compress(b"abc")[:-2], 1_000)
    assert unpack_bytes(zlib.compress(b"abc"), 3) == b"abc"
    assert len(encode_envelope(Envelope("vm-1", 1, 1, 1, False, FetchVms(1)))) < 30


# Guards against one message with an unexpected effect that takes the whole process down.
def test_an_unexpected_error_in_the_handler_costs_only_that_message() -> None:
    async def fail(envelope: Envelope) -> Body | None:
        raise KeyError("an unexpected error")

    async def main() -> None:
        metrics = Metrics()
        receiver = MessageEndpoint("b", 1, metrics)
        receiver.set_handler(fail)
        sender = MessageEndpoint("a", 1, Metrics())
        for count in (1, 2):
            data = sender.encode(EXCHANGE, request=count)
            assert await receiver.handle_request(data) is None
            refused = metrics.get_count(
                "trefoilpick_control_messages_refused_total", reason="internal"
            )
            assert refused == count

    run_virtual(main())
