from __future__ import annotations

import curio
import pytest
from fakes_flood import check_delays, flood
from fakes_worker import make_read, make_request, open_bench

from trefoilpick.hops import FrameKind, encode_data, encode_frame, encode_head

UPLOAD = encode_head(FrameKind.REQUEST, make_request(has_body=True))
READ = encode_head(FrameKind.REQUEST, make_read())
FLOODS = {
    "body": (UPLOAD, encode_data([b"x"])),
    "requests": (b"", READ),
    "refused requests": (b"", encode_head(FrameKind.REQUEST, make_read(upstream="other"))),
    "frames after a refusal": (
        encode_head(FrameKind.REQUEST, make_request(has_body=True, upstream="other")),
        encode_data([b"x"]),
    ),
    "unknown frames": (b"", encode_frame(FrameKind.END)),
}


# Guards against a peer that keeps a node busy for good by sending as fast as it can.
@pytest.mark.parametrize("kind", FLOODS)
def test_hops_that_send_without_pause_let_other_hops_be_served(kind: str) -> None:
    async def main() -> None:
        async with open_bench() as bench:
            assert (await bench.call(make_read())).is_complete
            with flood(bench.port, *FLOODS[kind], count=2):
                async with check_delays():
                    for _ in range(10):
                        assert (await bench.call(make_read())).is_complete

    curio.run(main)
