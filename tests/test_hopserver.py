import curio
from fakes_worker import call, make_read, make_request, open_bench, say

SPREAD = b"spread" * 1000


async def pass_both_bodies() -> None:
    async with open_bench() as bench:
        hop = await bench.connect()
        bench.worker.default = say(b"HTTP/1.1 200 OK\r\ncontent-length: 6000\r\n\r\n" + SPREAD)
        for _ in range(3):
            request = make_request(has_body=True)
            told = await call(hop, request, SPREAD[:10], SPREAD[10:])
            assert (told.status, told.outcome, told.body) == (200, "run", SPREAD)
            assert told.whole
        assert [ran.body for ran in bench.worker.ran] == [SPREAD] * 3
        assert bench.worker.connections == 1
        assert (await call(hop, make_read())).body == SPREAD


def test_bodies_pass_both_ways_on_kept_connections() -> None:
    curio.run(pass_both_bodies)
