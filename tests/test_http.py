import curio
import pytest
from curio.network import tcp_server_socket
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick._http import HttpAnswer, fetch
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.reports import NodeReport
from trefoilpick.status import FleetStatus, NodeStatus, decode_status

WHOLE = b"HTTP/1.1 200 \r\ncontent-length: 3\r\n\r\nabc"


def fetch_from(data: bytes, *, stays: bool = False, timeout_s: float = 20.0) -> HttpAnswer:
    async def main() -> HttpAnswer:
        listener = tcp_server_socket("127.0.0.1", 0)

        async def answer() -> None:
            client, _ = await listener.accept()
            async with client:
                await client.recv(65_536)
                await client.sendall(data)
                if stays:
                    await curio.sleep(600)

        server = await curio.spawn(answer)
        try:
            host, port = listener.getsockname()
            return await fetch(host, port, "/status", timeout_s=timeout_s, max_bytes=10)
        finally:
            await server.cancel()
            await listener.close()

    return curio.run(main)


def test_whole_answer_is_returned() -> None:
    answer = fetch_from(WHOLE)
    assert (answer.status, answer.body) == (200, b"abc")


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"", ErrorKind.PEER_UNREACHABLE),
        (b"\x00\x01 garbage\r\n\r\n", ErrorKind.MESSAGE_MALFORMED),
        (WHOLE[:-1], ErrorKind.MESSAGE_MALFORMED),
        (WHOLE[:20], ErrorKind.MESSAGE_MALFORMED),
        (b"HTTP/1.1 200 \r\ncontent-length: 11\r\n\r\n" + b"a" * 11, ErrorKind.MESSAGE_TOO_LARGE),
        (b"HTTP/1.1 200 \r\nx: " + b"a" * 200_000, ErrorKind.MESSAGE_MALFORMED),
    ],
)
def test_other_answers_are_errors_that_name_the_server(data: bytes, kind: ErrorKind) -> None:
    with pytest.raises(TrefoilpickError, match=r'^"127\.0\.0\.1:\d+"') as caught:
        fetch_from(data)
    assert caught.value.kind is kind


def test_silent_server_times_out() -> None:
    with pytest.raises(TrefoilpickError, match="did not answer /status within 0.05 s"):
        fetch_from(b"", stays=True, timeout_s=0.05)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.sampled_from((NodeStatus, FleetStatus, NodeReport)))
def test_garbage_is_no_answer_of_the_port(data: bytes, kind: type[NodeStatus]) -> None:
    with pytest.raises(TrefoilpickError) as caught:
        decode_status(data, kind)
    assert caught.value.kind is ErrorKind.MESSAGE_MALFORMED
