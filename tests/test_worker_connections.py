from __future__ import annotations

import socket

import curio
import pytest
from curio.io import Socket
from fakes_flood import HOST, check_delays, serve_flood
from fakes_worker import make_read, make_request

from trefoilpick._connections import open_connection
from trefoilpick._worker_connections import WorkerConnection
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.platform.headers import PLATFORM_CONVENTIONS

CHUNK = b"1\r\nx\r\n"
DEADLINE_S = 1.0


def build_chunked_answer(request_id: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nx-trefoilpick-attempt-id: {request_id}\r\n"
        "x-trefoilpick-response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n"
    ).encode()


FLOODS = {
    "100": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "103": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n"),
    "answer to another request": (build_chunked_answer("other"), CHUNK),
}


async def send(port: int) -> WorkerConnection:
    connection = WorkerConnection(
        await open_connection(HOST, port), b"worker", PLATFORM_CONVENTIONS
    )
    await connection.send_request(
        make_read(request_id="own"), [], remaining_ms=1000, body_complete=True, is_retry=False
    )
    return connection


# Guards against a worker that keeps its node busy for good by bytes that are no answer (review/1).
@pytest.mark.parametrize("kind", FLOODS)
def test_bytes_before_an_answer_without_end_let_other_tasks_run(kind: str) -> None:
    async def main(port: int) -> None:
        connection = await send(port)
        async with check_delays():
            with pytest.raises(TrefoilpickError) as error:
                async with curio.timeout_after(DEADLINE_S):
                    await connection.receive_head()
            assert error.value.kind is ErrorKind.ANSWER_MALFORMED
        await connection.close()

    with serve_flood(*FLOODS[kind]) as port:
        curio.run(main, port)


# Guards against deadlines that never take effect while the worker sends (review/1).
@pytest.mark.parametrize("kind", FLOODS)
def test_a_deadline_takes_effect_while_a_worker_sends(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main(port: int) -> None:
        connection = await send(port)
        async with check_delays():
            with pytest.raises(curio.TaskTimeout):
                async with curio.timeout_after(DEADLINE_S):
                    await connection.receive_head()
        await connection.close()

    monkeypatch.setattr("trefoilpick._worker_connections.MAX_SKIPPED_PARTS", 10**9)
    with serve_flood(*FLOODS[kind]) as port:
        curio.run(main, port)


# Guards against an answer of endless small chunks that keeps the node busy between two reads.
def test_small_chunks_without_end_let_other_tasks_run() -> None:
    async def main(port: int) -> None:
        connection = await send(port)
        await connection.receive_head()
        async with check_delays():
            with pytest.raises(curio.TaskTimeout):
                async with curio.timeout_after(DEADLINE_S):
                    while True:
                        assert set(b"".join(connection.pop_data())) <= set(b"x")
                        await connection.receive_more()
        await connection.close()

    with serve_flood(build_chunked_answer("own"), CHUNK) as port:
        curio.run(main, port)


# Guards against a worker that answers early getting the next request in the place of a chunked
# body's end, which was encoded but not written.
@pytest.mark.parametrize("is_written", [True, False])
def test_a_connection_is_not_reused_if_the_end_of_a_body_was_cancelled(is_written: bool) -> None:
    async def main() -> None:
        near, far = socket.socketpair()
        connection = WorkerConnection(Socket(near), b"worker", PLATFORM_CONVENTIONS)
        request = make_request(request_id="own", has_body=True)
        await connection.send_request(
            request, [b"part"], remaining_ms=1000, body_complete=False, is_retry=False
        )
        far.sendall(build_chunked_answer("own") + b"0\r\n\r\n")
        await connection.receive_head()
        connection.pop_data()
        assert connection.is_answer_complete
        if not is_written:
            fill(near)
        async with curio.ignore_after(0.1):
            await connection.send_end()
        assert connection.prepare_reuse() is is_written
        await connection.close()
        far.close()

    curio.run(main)


def fill(sock: socket.socket) -> None:
    """Send until the peer's buffer is full."""
    with pytest.raises(BlockingIOError):
        while True:
            sock.send(bytes(65_536))


STATUSES = ["000", "099", "00", "20", "2000", "+200", "-20", "0x2", "", "2_0", "1e2", "600", "999"]
"""Statuses that no answer has: HTTP has those from 100 to 599."""


# Guards against a worker's bytes that are no answer reaching a caller as one.
@pytest.mark.parametrize("status", STATUSES)
def test_a_status_that_no_answer_has_is_malformed(status: str) -> None:
    async def main() -> None:
        near, far = socket.socketpair()
        connection = WorkerConnection(Socket(near), b"worker", PLATFORM_CONVENTIONS)
        await connection.send_request(
            make_read(request_id="own"), [], remaining_ms=1000, body_complete=True, is_retry=False
        )
        answer = build_chunked_answer("own").replace(b" 200 OK", f" {status} OK".encode())
        far.sendall(answer + b"0\r\n\r\n")
        with pytest.raises(TrefoilpickError) as error:
            await connection.receive_head()
        assert error.value.kind is ErrorKind.ANSWER_MALFORMED
        await connection.close()
        far.close()

    curio.run(main)
