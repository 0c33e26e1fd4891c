"""Answers that end with their connection while a request's body is still being sent."""

from __future__ import annotations

import fcntl
import socket
import termios
from array import array
from collections.abc import Iterator
from contextlib import contextmanager

import curio
import pytest
from curio.io import Socket
from fakes_worker import (
    Bench,
    HopResult,
    make_request,
    open_bench,
    receive_result,
    reset_on_close,
    wait_for,
)

from trefoilpick._client_connection import ClientConnection
from trefoilpick._worker_connections import WorkerConnection
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.hops import FrameKind, encode_data, encode_head

BODY = b"x" * 4_000
HEADS = {
    "HTTP/1.1": b"HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "closing": b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "after an interim answer": b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
}
"""Heads of answers without a length."""

CUTS = {"only its head": 0, "a part": 2_000, "all of its body": len(BODY)}
"""Sizes of the parts of the body that are sent before the connection ends, in bytes."""

FRAMED = {
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
    % (len(BODY), BODY),
}
"""Whole answers that say themselves where they end."""

UNREAD_BYTES = 1_000
UNREAD = b"u" * UNREAD_BYTES


@contextmanager
def open_pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
        with near, far:
            yield near, far


def end_connection(far: socket.socket, *, in_order: bool, is_killed: bool) -> None:
    """End a connection whose input has not been read.

    Args:
        far: The end's socket.
        in_order: Whether its side is ended in order before the connection is reset.
        is_killed: Whether the reset comes from closing the socket with unread input, as at the end
            of a process, rather than from its linger option.
    """
    if in_order:
        far.shutdown(socket.SHUT_WR)
    if not is_killed:
        reset_on_close(far)
    far.close()


def count_unread(sock: Socket) -> int:
    """Return the number of received bytes that have not been read."""
    count = array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return count[0]


async def receive_whole(connection: WorkerConnection) -> bytes:
    await connection.receive_head()
    body = b"".join(connection.pop_data())
    while not connection.is_answer_complete:
        await connection.receive_more()
        body += b"".join(connection.pop_data())
    return body


async def send_until_failed(connection: WorkerConnection) -> None:
    """Send parts of the body until a send has failed, which takes the socket's error."""
    for _ in range(10):
        await connection.send_data(UNREAD)
        await curio.sleep(0.001)
    assert connection._is_partly_sent


async def exchange_with_worker(answer: bytes, *, in_order: bool, is_killed: bool) -> bytes:
    """Return an answer that is read after an upload has failed."""
    with open_pair() as (near, far):
        connection = WorkerConnection(Socket(near), b"worker")
        await connection.send_request(
            make_request(has_body=True),
            [UNREAD],
            remaining_ms=1000,
            body_complete=False,
            is_retry=False,
        )
        far.sendall(answer)
        end_connection(far, in_order=in_order, is_killed=is_killed)
        await send_until_failed(connection)
        return await receive_whole(connection)


# Guards against an answer without a length that counts as complete after its connection was reset,
# because the upload's failed send took the reset (review/12).
@pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "reset"])
@pytest.mark.parametrize("size", CUTS.values(), ids=CUTS)
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_that_is_reset_during_the_upload_is_not_complete(
    head: bytes, size: int, is_killed: bool
) -> None:
    async def main() -> None:
        with pytest.raises(TrefoilpickError) as caught:
            await exchange_with_worker(head + BODY[:size], in_order=False, is_killed=is_killed)
        assert caught.value.kind is ErrorKind.ANSWER_CUT

    curio.run(main)


# Guards against losing a whole answer whose worker ended it in order and then did not read the rest
# of the upload, and one with a length, whose end needs no end of the connection.
@pytest.mark.parametrize("is_killed", [True, False], ids=["killed", "reset"])
@pytest.mark.parametrize("kind", [*HEADS, *FRAMED])
def test_answer_that_ends_in_order_during_the_upload_is_complete(
    kind: str, is_killed: bool
) -> None:
    async def main() -> None:
        answer = FRAMED.get(kind) or HEADS[kind] + BODY
        for in_order in {True, kind in HEADS}:
            body = await exchange_with_worker(answer, in_order=in_order, is_killed=is_killed)
            assert body == BODY

    curio.run(main)


# Guards against the same at a client of a node, whose first bytes or later ones fail.
@pytest.mark.parametrize("in_order", [True, False], ids=["in order", "reset"])
@pytest.mark.parametrize("size", CUTS.values(), ids=CUTS)
@pytest.mark.parametrize("upload_bytes", [2**18, 2**22])
def test_client_takes_only_an_orderly_end_for_the_end_of_an_answer(
    upload_bytes: int, size: int, in_order: bool
) -> None:
    async def main() -> None:
        with open_pair() as (near, far):
            connection = ClientConnection(Socket(near), "127.0.0.1:1")
            sock = connection._sock

            class FailingSocket:
                """Ends the connection when the request's first bytes have been sent."""

                async def send(self, data: bytes) -> int:
                    sent = await sock.send(data[:UNREAD_BYTES])
                    far.sendall(HEADS["HTTP/1.1"] + BODY[:size])
                    end_connection(far, in_order=in_order, is_killed=True)
                    await curio.sleep(0.01)
                    return int(sent)

                async def sendall(self, data: bytes) -> None:
                    for start in range(0, len(data), UNREAD_BYTES):
                        await sock.sendall(data[start : start + UNREAD_BYTES])
                        await curio.sleep(0.001)

                async def recv(self, size: int) -> bytes:
                    await curio.sleep(0.05)
                    return bytes(await sock.recv(size))

            connection._sock = FailingSocket()
            headers = [("host", "a"), ("content-length", str(upload_bytes))]
            if in_order:
                answer = await connection.exchange("PUT", "/", headers, bytes(upload_bytes))
                assert answer.body == BODY[:size]
                return
            with pytest.raises(TrefoilpickError) as caught:
                await connection.exchange("PUT", "/", headers, bytes(upload_bytes))
            assert caught.value.kind is ErrorKind.ANSWER_CUT

    curio.run(main)


async def upload_to(bench: Bench) -> HopResult:
    """Send parts of a body until the answer has ended, and return it."""
    hop = await bench.connect()
    request = make_request(has_body=True, remaining_ms=5_000)
    await hop.send(encode_head(FrameKind.REQUEST, request), encode_data([UNREAD]))

    async def send_parts() -> None:
        while True:
            await hop.send(encode_data([UNREAD]))
            await curio.sleep(0.0005)

    sending = await curio.spawn(send_parts, daemon=True)
    try:
        return await receive_result(hop)
    finally:
        await sending.cancel()


# Guards against the two ends being told apart on a connection alone: here uploads, answers and ends
# of several requests meet in one node.
@pytest.mark.parametrize("in_order", [True, False], ids=["in order", "reset"])
def test_answers_of_uploads_that_end_together_are_whole_only_if_they_ended_in_order(
    in_order: bool,
) -> None:
    async def end_early(sock: Socket) -> None:
        await sock.recv(4_096)
        await sock.sendall(HEADS["HTTP/1.1"] + BODY)
        # Without unread input, the connection would end in order.
        await wait_for(lambda: count_unread(sock) > 0)
        end_connection(sock._socket, in_order=in_order, is_killed=True)

    async def main() -> None:
        async with open_bench(upstream={"slots": 64, "connections": 64}) as bench:
            bench.worker.at_accept = end_early
            for _ in range(4):
                async with curio.TaskGroup() as group:
                    for _ in range(8):
                        await group.spawn(upload_to, bench)
                for result in group.results:
                    assert result.is_complete is in_order
                    assert not in_order or bytes(result.body) == BODY

    curio.run(main)
