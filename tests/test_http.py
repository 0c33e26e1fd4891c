import curio
import pytest
from curio.network import tcp_server_socket
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick._http import HttpAnswer, fetch
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.reports import NodeReport
from trefoilpick.status import FleetStatus, NodeStatus, decode_status

COMPLETE_ANSWER = b"HTTP/1.1 200 \r\ncontent-length: 3\r\n\r\nabc"


def fetch_from(data: bytes, *, keeps_open: bool = False, timeout_s: float = 20.0) -> HttpAnswer:
    async def main() -> HttpAnswer:
        listener = tcp_server_socket("127.0.0.1", 0)

        async def answer() -> None:
            client, _ = await listener.accept()
            async with client:
                await client.recv(65_536)
                await client.sendall(data)
                if keeps_open:
                    await curio.sleep(600)

        server = await curio.spawn(answer)
        try:
            host, port = listener.getsockname()
            return await fetch(host, port, "/status", timeout_s=timeout_s, max_bytes=10)
        finally:
            await server.cancel()
            await listener.close()

    return curio.run(main)


def test_complete_answer_is_returned() -> None:
    answer = fetch_from(COMPLETE_ANSWER)
    assert (answer.status, answer.body) == (200, b"abc")


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"", ErrorKind.PEER_UNREACHABLE),
        (b"\x00\x01 garbage\r\n\r\n", ErrorKind.MESSAGE_MALFORMED),
        (COMPLETE_ANSWER[:-1], ErrorKind.MESSAGE_MALFORMED),
        (COMPLETE_ANSWER[:20], ErrorKind.MESSAGE_MALFORMED),
        (b"HTTP/1.1 200 \r\ncontent-length: 11\r\n\r\n" + b"a" * 11, ErrorKind.MESSAGE_TOO_LARGE),
        (b"HTTP/1.1 200 \r\nx: " + b"a" * 200_000, ErrorKind.MESSAGE_MALFORMED),
    ],
)
def test_invalid_answers_raise_errors_with_the_server_address(data: bytes, kind: ErrorKind) -> None:
    with pytest.raises(TrefoilpickError, match=r'^"127\.0\.0\.1:\d+"') as caught:
        fetch_from(data)
    assert caught.value.kind is kind


def test_unresponsive_server_times_out() -> None:
    with pytest.raises(TrefoilpickError, match="did not answer /status within 0.05 s"):
        fetch_from(b"", keeps_open=True, timeout_s=0.05)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.sampled_from((NodeStatus, FleetStatus, NodeReport)))
def test_random_bytes_do_not_decode_as_an_answer(data: bytes, kind: type[NodeStatus]) -> None:
    with pytest.raises(TrefoilpickError) as caught:
        decode_status(data, kind)
    assert caught.value.kind is ErrorKind.MESSAGE_MALFORMED
