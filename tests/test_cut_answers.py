"""Workers that stop at any byte of their answer and close or reset the connection."""

from __future__ import annotations

from collections.abc import Callable

import curio
import pytest
from fakes_worker import Bench, ReceivedRequest, open_bench, reset_on_close, respond
from test_hopserver_conventions import CONVENTIONS, OWN_VM, answer, make_named

BODY = b"the whole body"
HEAD = b"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-proof: p\r\n"
ANSWERS = {
    "length": HEAD + b"content-length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunked": HEAD
    + b"transfer-encoding: chunked\r\n\r\n5\r\nthe w\r\n9\r\nhole body\r\n0\r\n\r\n",
    "no length": HEAD + b"\r\n" + BODY,
    "after an interim answer": b"HTTP/1.1 103 Early\r\n\r\n"
    + HEAD
    + b"content-length: %d\r\n\r\n" % len(BODY)
    + BODY,
    "after an earlier answer": answer(b"6", b"late")
    + HEAD
    + b"content-length: %d\r\n\r\n" % len(BODY)
    + BODY,
}


def stop_at(raw: bytes, *, is_reset: bool, gap_s: float) -> Callable[..., object]:
    async def stop(request: ReceivedRequest) -> None:
        await request.sock.sendall(raw)
        await curio.sleep(gap_s)
        if is_reset:
            reset_on_close(request.sock)
        raise ConnectionResetError

    return stop


# Guards against an answer that ends early and reaches callers as a whole one (report of operators).
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("is_kept", [False, True], ids=["new connection", "kept connection"])
@pytest.mark.parametrize("kind", ANSWERS)
def test_an_answer_cut_at_any_byte_is_never_whole(kind: str, is_kept: bool, is_reset: bool) -> None:
    raw = ANSWERS[kind]

    async def test(bench: Bench) -> None:
        for length in range(len(raw)):
            if is_kept:
                bench.worker.script = [respond(answer(b"1", b"ok"))]
                assert (await bench.call(make_named("1"))).is_complete
            gap_s = 0.002 if is_reset else 0.0
            bench.worker.script = [stop_at(raw[:length], is_reset=is_reset, gap_s=gap_s)]
            result = await bench.call(make_named("7"))
            # Without a length, the end of the connection ends the answer, unless it is reset.
            may_end = kind == "no length" and not is_reset and length >= len(raw) - len(BODY)
            assert may_end or not result.is_complete, f"cut after {raw[:length]!r}"
            assert result.outcome in ("unknown", "run")

    async def main() -> None:
        async with open_bench(conventions=CONVENTIONS, find_listed_vm=lambda: OWN_VM) as bench:
            await test(bench)

    curio.run(main)
