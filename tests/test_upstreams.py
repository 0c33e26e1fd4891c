import curio
import pytest
from fakes_proxy import SilencingProxy
from fakes_worker import (
    HOST,
    OK,
    Bench,
    ReceivedRequest,
    make_read,
    make_request,
    open_bench,
    reset_on_close,
    send_and_receive,
    wait_for,
)

from trefoilpick._worker_connections import WorkerConnection
from trefoilpick.upstreams import SAFE_IDLE_DURATION_S, WorkerPool, open_pool


def test_a_request_of_which_no_byte_was_sent_is_retried_on_a_new_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The worker resets a reused connection just after the node has checked it."""

    async def run(bench: Bench) -> None:
        async def reset_late(request: ReceivedRequest) -> None:
            await request.sock.sendall(OK)
            await curio.sleep(0.02)
            reset_on_close(request.sock)
            raise ConnectionResetError

        monkeypatch.setattr(WorkerConnection, "is_reusable", lambda self: True)
        bench.worker.script = [reset_late]
        hop = await bench.connect()
        assert (await send_and_receive(hop, make_request())).is_complete
        await wait_for(lambda: bench.worker.running == 0)
        await curio.sleep(0.02)
        assert (await send_and_receive(hop, make_request())).is_complete
        assert len(bench.worker.executed) == 2
        assert b"x-trefoilpick-retry" not in bench.worker.executed[-1].headers

    async def main() -> None:
        async with open_bench() as bench:
            await run(bench)

    curio.run(main)


def test_a_pool_applies_a_lower_limit_and_closes_connections_idle_too_long() -> None:
    async def main() -> None:
        async with open_bench() as bench:
            pool = open_pool(HOST, bench.worker.port, max_idle_s=4.0)
            connections = [await pool.acquire(connect_timeout_s=1.0, now_s=0.0) for _ in range(3)]
            for connection in connections:
                connection.is_answer_complete = True
                connection.prepare_reuse = lambda: True
            for connection in connections[:2]:
                await pool.release(connection, max_connections=3, now_s=0.0)
            assert await pool.acquire(connect_timeout_s=1.0, now_s=4.0) is connections[0]
            assert await pool.acquire(connect_timeout_s=1.0, now_s=4.1) is not connections[1]
            assert pool.open_count == 3
            await pool.release(connections[0], max_connections=1, now_s=5.0)
            assert (pool.open_count, pool.idle_count) == (2, 0)

    curio.run(main)


def add_idle_connections(pool: WorkerPool, *idle_since: float) -> list[WorkerConnection]:
    """Add idle connections to a pool, in the order of their last use."""
    added = []
    for since_s in idle_since:
        connection = WorkerConnection(FakeSocket(), b"worker")
        connection.is_fresh = False
        connection.idle_since_s = since_s
        connection.is_reusable = lambda: True
        pool._idle.append(connection)
        pool._open.add(connection)
        added.append(connection)
    return added


class FakeSocket:
    """A socket that does nothing when closed."""

    async def close(self) -> None:
        return


def test_non_idempotent_requests_use_the_most_recently_used_connection() -> None:
    """Workers may drop idle connections; the one used last is the least likely to be dropped."""

    async def main() -> None:
        pool = open_pool(HOST, 1, max_idle_s=4.0)
        oldest, _, most_recent = add_idle_connections(pool, 1.0, 2.0, 3.0)
        assert (
            await pool.acquire(connect_timeout_s=1.0, now_s=3.5, prefer_most_recent=True)
            is most_recent
        )
        assert await pool.acquire(connect_timeout_s=1.0, now_s=3.5) is oldest

    curio.run(main)


@pytest.mark.parametrize(
    ("took_s", "is_shortened"), [(0.001, True), (0.5, False)], ids=["at once", "after a delay"]
)
def test_a_dropped_connection_shortens_the_idle_time_of_others(
    took_s: float, is_shortened: bool
) -> None:
    """A reset right after sending shows that the worker drops idle connections."""

    async def main() -> None:
        pool = open_pool(HOST, 1, max_idle_s=4.0)
        (lost,) = add_idle_connections(pool, 10.0)
        pool._idle.clear()
        pool.record_lost_connection(lost, sent_s=10.4, now_s=10.4 + took_s)
        assert pool._find_max_idle(lost, 11.0) == pytest.approx(0.2 if is_shortened else 4.0)
        assert pool._find_max_idle(lost, 11.0 + SAFE_IDLE_DURATION_S) == 4.0

    curio.run(main)


# Guards against idle connections that are silent and cost one request each, one after the other.
@pytest.mark.parametrize("idempotent", [False, True])
def test_one_request_meets_silent_connections_and_the_next_ones_are_answered(
    idempotent: bool,
) -> None:
    count = 4

    async def run(bench: Bench) -> None:
        async def answer_together(request: ReceivedRequest) -> None:
            await wait_for(lambda: bench.worker.connections == count)
            await request.sock.sendall(OK)

        bench.worker.script = [answer_together] * count
        proxy = SilencingProxy(("127.0.57.1", bench.worker.port), (HOST, bench.worker.port))
        task = await curio.spawn(proxy.run)
        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(bench.call, make_request())
        proxy.silence()
        make = make_read if idempotent else make_request
        result = await bench.call(make(remaining_ms=500))
        assert (result.kind, result.outcome) == ("deadline_after_send", "unknown")
        for _ in range(count):
            assert (await bench.call(make(remaining_ms=500))).is_complete
        assert len(bench.worker.executed) == 2 * count
        assert len(proxy.connections) == count + 1
        await task.cancel()

    async def main() -> None:
        async with open_bench(worker_host="127.0.57.1") as bench:
            await run(bench)

    curio.run(main)
