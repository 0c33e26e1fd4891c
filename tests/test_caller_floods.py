from __future__ import annotations

import pytest
from fakes_flood import check_delays, flood
from fakes_hop import Bench, FakeWorkerNode, connect, run_bench

UPLOAD = b"PUT /spread HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
FLOODS = {
    "body of small chunks": (UPLOAD, b"1\r\nx\r\n"),
    "refused body of small chunks": (UPLOAD.replace(b"spread", b"absent"), b"1\r\nx\r\n"),
    "refused requests": (b"", b"POST /absent HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"),
    "reads": (b"", b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"),
    "header lines": (b"GET /status HTTP/1.1\r\n", b"x: y\r\n"),
    "blank lines": (b"", b"\r\n"),
}


# Guards against callers that keep a node busy for good by sending as fast as they can.
@pytest.mark.parametrize("kind", FLOODS)
def test_callers_that_send_without_pause_let_other_callers_be_served(kind: str) -> None:
    async def main(bench: Bench) -> None:
        with flood(bench.server.port, *FLOODS[kind], count=2):
            async with check_delays():
                for _ in range(10):
                    caller = await connect(bench)
                    answer = await caller.request("GET", "/status")
                    await caller.sock.close()
                    assert answer.status == 200

    run_bench(main, FakeWorkerNode())
