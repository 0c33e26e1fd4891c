import curio
import pytest
from fakes_worker import HOST, OK, Bench, Call, call, make_request, open_bench, reset, wait_for

from trefoilpick._workerconnections import WorkerConnection
from trefoilpick.upstreams import FORGOTTEN_HOLD_S, WorkerPool, open_pool


def test_a_request_of_which_no_byte_left_runs_on_a_fresh_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The worker resets a kept connection just after the node looked at it."""

    async def run(bench: Bench) -> None:
        async def reset_late(call: Call) -> None:
            await call.sock.sendall(OK)
            await curio.sleep(0.02)
            reset(call.sock)
            raise ConnectionResetError

        monkeypatch.setattr(WorkerConnection, "is_quiet", lambda self: True)
        bench.worker.script = [reset_late]
        hop = await bench.connect()
        assert (await call(hop, make_request())).whole
        await wait_for(lambda: bench.worker.running == 0)
        await curio.sleep(0.02)
        assert (await call(hop, make_request())).whole
        assert len(bench.worker.ran) == 2
        assert b"x-trefoilpick-retry" not in bench.worker.ran[-1].headers

    async def main() -> None:
        async with open_bench() as bench:
            await run(bench)

    curio.run(main)


def test_a_pool_follows_a_lower_limit_and_forgets_what_is_old() -> None:
    async def main() -> None:
        async with open_bench() as bench:
            pool = open_pool(HOST, bench.worker.port, max_idle_s=4.0)
            held = [await pool.acquire(connect_timeout_s=1.0, now_s=0.0) for _ in range(3)]
            for connection in held:
                connection.answer_complete = True
                connection.prepare_reuse = lambda: True
            for connection in held[:2]:
                await pool.release(connection, connections=3, now_s=0.0)
            assert await pool.acquire(connect_timeout_s=1.0, now_s=4.0) is held[0]
            assert await pool.acquire(connect_timeout_s=1.0, now_s=4.1) is not held[1]
            assert pool.opened == 3
            await pool.release(held[0], connections=1, now_s=5.0)
            assert (pool.opened, pool.idle) == (2, 0)

    curio.run(main)


def keep_connections(pool: WorkerPool, *idle_since: float) -> list[WorkerConnection]:
    """Put quiet connections into a pool, in the order of their last use."""
    kept = []
    for since_s in idle_since:
        connection = WorkerConnection(FakeSocket(), b"worker")
        connection.is_fresh = False
        connection.idle_since_s = since_s
        connection.is_quiet = lambda: True
        pool._idle.append(connection)
        pool.opened += 1
        kept.append(connection)
    return kept


class FakeSocket:
    """A socket that can be closed."""

    async def close(self) -> None:
        return


def test_what_must_not_run_twice_takes_the_connection_that_was_used_last() -> None:
    """Workers that forget idle connections: the newest is forgotten least likely."""

    async def main() -> None:
        pool = open_pool(HOST, 1, max_idle_s=4.0)
        oldest, _, newest = keep_connections(pool, 1.0, 2.0, 3.0)
        assert await pool.acquire(connect_timeout_s=1.0, now_s=3.5, newest=True) is newest
        assert await pool.acquire(connect_timeout_s=1.0, now_s=3.5) is oldest

    curio.run(main)


@pytest.mark.parametrize(
    ("took_s", "learned"), [(0.001, True), (0.5, False)], ids=["at once", "after work"]
)
def test_a_forgotten_connection_shortens_the_trust_in_others(took_s: float, learned: bool) -> None:
    """Workers that forget idle connections: a reset right after sending tells of it."""

    async def main() -> None:
        pool = open_pool(HOST, 1, max_idle_s=4.0)
        (lost,) = keep_connections(pool, 10.0)
        pool._idle.clear()
        pool.note_lost(lost, sent_s=10.4, now_s=10.4 + took_s)
        assert pool._find_max_idle(lost, 11.0) == pytest.approx(0.2 if learned else 4.0)
        assert pool._find_max_idle(lost, 11.0 + FORGOTTEN_HOLD_S) == 4.0

    curio.run(main)
