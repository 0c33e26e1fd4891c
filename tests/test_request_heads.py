"""Fuzz tests of request heads from callers and of frames from other nodes."""

import socket
from random import Random

import curio
import pytest
from curio.io import Socket
from hypothesis import given, settings
from hypothesis import strategies as st
from matrix_requests import StaticDirectory, WorkerVm, make_snapshot

from trefoilpick._connections import open_connection
from trefoilpick.callers import open_caller_server
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.hops import Hop, HopAnswer, HopRequest, decode_head, encode_frame
from trefoilpick.metrics import Metrics
from trefoilpick.snapshots import SnapshotCell

HOST = "127.0.62.1"
VALID = b"GET /nothing HTTP/1.1\r\nhost: q\r\n\r\n"
PREFIXES = (b"", b"GET / HTTP/1.1\r\n", b"POST /once HTTP/1.1\r\nhost: q\r\n", VALID)
FRAME_ERRORS = {ErrorKind.MESSAGE_MALFORMED, ErrorKind.MESSAGE_TOO_LARGE}

heads = st.tuples(st.sampled_from(PREFIXES), st.binary(max_size=300)).map(b"".join)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(heads, min_size=4, max_size=4))
def test_any_head_gets_an_error_or_no_answer_and_does_not_affect_others(sent: list[bytes]) -> None:
    answers: list[bytes] = []

    async def main() -> None:
        cell = SnapshotCell()
        cell.replace(make_snapshot(1))
        settings = WorkerVm("vm-1", HOST, cell, None).settings
        server = open_caller_server(
            settings,
            cell=cell,
            directory=StaticDirectory(()),
            metrics=Metrics(),
            is_ready=lambda: True,
            is_up_to_date=lambda: True,
            random=Random(1),
        )
        task = await curio.spawn(server.run)
        async with curio.timeout_after(60):
            for data in [*sent, VALID]:
                answers.append(await exchange_bytes(server.port, data))
        await task.cancel()

    curio.run(main)
    assert all(not answer or answer.startswith(b"HTTP/1.1 4") for answer in answers[:-1]), answers
    assert answers[-1].startswith(b"HTTP/1.1 404")


async def exchange_bytes(port: int, data: bytes) -> bytes:
    sock = await open_connection(HOST, port)
    async with sock:
        received = b""
        try:
            await sock.sendall(data)
            await sock.shutdown(socket.SHUT_WR)
            while part := await sock.recv(65_536):
                received += part
        except OSError:
            pass
        return received


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_any_hop_head_is_decoded_or_reported_as_malformed(payload: bytes) -> None:
    for kind in (HopRequest, HopAnswer):
        try:
            assert isinstance(decode_head(payload, kind), kind)
        except TrefoilpickError as error:
            assert error.kind is ErrorKind.MESSAGE_MALFORMED


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.binary(max_size=200))
def test_any_hop_bytes_are_frames_or_a_specific_error(data: bytes) -> None:
    async def main() -> None:
        sender, receiver = socket.socketpair()
        sender.sendall(data)
        sender.close()
        async with Socket(receiver) as sock:
            hop = Hop(sock)
            while await hop.receive() is not None:
                pass

    try:
        curio.run(main)
    except TrefoilpickError as error:
        assert error.kind in FRAME_ERRORS


def test_a_frame_with_too_large_a_length_field_is_refused_before_its_payload_arrives() -> None:
    async def main() -> None:
        sender, receiver = socket.socketpair()
        sender.sendall(b"\xff\xff\xff\xff\x02" + encode_frame(2, b"x"))
        async with Socket(receiver) as sock:
            with pytest.raises(TrefoilpickError) as caught:
                await Hop(sock).receive()
        sender.close()
        assert caught.value.kind is ErrorKind.MESSAGE_TOO_LARGE

    curio.run(main)
