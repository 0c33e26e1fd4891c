from collections.abc import Awaitable, Callable

import curio
import pytest
from curio import socket

from trefoilpick._standin_values import Faults
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.settings import SourceSettings
from trefoilpick.source import MANIFEST_KEY, HttpSource, SourceValue, open_source
from trefoilpick.standin import Standin, open_standin

Scenario = Callable[[Standin, HttpSource], Awaitable[None]]


def run_scenario(scenario: Scenario, *, rate: int = 10_000, read_timeout_ms: int = 20_000) -> None:
    async def run() -> None:
        async with open_standin(rate=rate) as standin:
            settings = SourceSettings((standin.address,), read_timeout_ms, watch_ms=60_000)
            source = open_source(settings)
            await scenario(standin, source)
            await source.client.close()

    curio.run(run)


async def catch_kind(call: Awaitable[object]) -> ErrorKind:
    with pytest.raises(TrefoilpickError) as caught:
        await call
    return caught.value.kind


def test_read_and_watch_follow_revisions_on_persistent_connections() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        assert await catch_kind(source.read_value(MANIFEST_KEY)) is ErrorKind.SOURCE_UNAVAILABLE
        await standin.put_value(MANIFEST_KEY, b"one")
        assert await source.read_value(MANIFEST_KEY) == SourceValue(b"one", 1)
        watch = await curio.spawn(source.watch_value(MANIFEST_KEY, after=1))
        while standin.counts.watching == 0:
            await curio.sleep(0.001)
        await standin.put_value(MANIFEST_KEY, b"one")
        await standin.put_value(MANIFEST_KEY, b"two")
        assert await watch.join() == SourceValue(b"two", 2)
        assert (source.client.calls, standin.counts.calls, standin.counts.watches) == (3, 3, 1)
        assert source.client.bytes_received > 6

    run_scenario(scenario)


def test_watch_returns_none_without_a_change() -> None:
    async def run() -> None:
        async with open_standin() as standin:
            settings = SourceSettings((standin.address,), watch_ms=100)
            assert await open_source(settings).watch_value(MANIFEST_KEY, after=0) is None

    curio.run(run)


@pytest.mark.parametrize(
    "faults", [Faults(down=True), Faults(truncated=True), Faults(delay_ms=600_000)]
)
def test_failed_response_raises_an_error_and_its_connection_is_closed(faults: Faults) -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"value")
        await source.read_value(MANIFEST_KEY)
        await standin.set_faults(faults)
        assert await catch_kind(source.read_value(MANIFEST_KEY)) is ErrorKind.SOURCE_UNAVAILABLE
        await standin.set_faults(Faults())
        assert (await source.read_value(MANIFEST_KEY)).data == b"value"

    run_scenario(scenario, read_timeout_ms=1_000)


def test_rate_limiting_has_its_own_error_kind() -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"value")
        kinds = set()
        for _ in range(200):
            try:
                await source.read_value(MANIFEST_KEY)
            except TrefoilpickError as error:
                kinds.add(error.kind)
        assert kinds == {ErrorKind.SOURCE_RATE_LIMITED}
        assert standin.counts.rate_limited > 0

    run_scenario(scenario, rate=3)


def test_client_fails_over_to_the_next_address() -> None:
    async def run() -> None:
        async with open_standin() as stopped:
            pass
        async with open_standin() as standin:
            await standin.put_value(MANIFEST_KEY, b"value")
            source = open_source(SourceSettings((stopped.address, standin.address)))
            for _ in range(3):
                assert (await source.read_value(MANIFEST_KEY)).data == b"value"
            await source.client.close()

    curio.run(run)


def test_connection_closed_while_idle_is_replaced() -> None:
    async def run() -> None:
        standin = open_standin()
        host, port = standin.address.rsplit(":", 1)
        source = open_source(SourceSettings((standin.address,)))
        async with standin:
            await standin.put_value(MANIFEST_KEY, b"one")
            await source.read_value(MANIFEST_KEY)
        async with open_standin(host, int(port)) as restarted:
            await restarted.put_value(MANIFEST_KEY, b"two")
            assert (await source.read_value(MANIFEST_KEY)).data == b"two"
        await source.client.close()

    curio.run(run)


@pytest.mark.parametrize("address", ["host", "127.0.0.1:", "127.0.0.1:99999", ":80", "a:²"])
def test_malformed_address_is_rejected(address: str) -> None:
    with pytest.raises(TrefoilpickError, match="ip:port"):
        open_source(SourceSettings((address,)))


def test_long_response_over_a_low_bandwidth_link_may_exceed_the_read_timeout() -> None:
    """The total time exceeds the read timeout, but each part arrives within the idle timeout."""
    body = b"x" * 40

    async def send_slowly(client: socket.socket, _address: object) -> None:
        await client.recv(1_000)
        await client.sendall(b"HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: 40\r\n\r\n")
        for byte in body:
            await curio.sleep(0.01)
            await client.sendall(bytes((byte,)))

    async def run() -> None:
        listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        server = await curio.spawn(curio.network.run_server, listener, send_slowly, daemon=True)
        source = open_source(SourceSettings((f"127.0.0.1:{port}",), read_timeout_ms=200))
        assert (await source.read_value(MANIFEST_KEY)).data == body
        await server.cancel()

    curio.run(run)


# Guards against a value that counts as one of the first era, as its response does not name the era.
def test_value_without_an_era_belongs_to_the_era_known_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        await standin.put_value(MANIFEST_KEY, b"one")
        await standin.restore(0.0)
        assert (await source.read_value(MANIFEST_KEY)).era == 1
        monkeypatch.setattr("trefoilpick.standin.ERA_HEADER", "x-other")
        assert (await source.read_value(MANIFEST_KEY)).era == 1
        await standin.put_value(MANIFEST_KEY, b"two")
        value = await source.watch_value(MANIFEST_KEY, after=1)
        assert value is not None and (value.data, value.era) == (b"two", 1)

    run_scenario(scenario)


# Guards against a watch that ends at once, again and again, as it asks for changes since a revision
# that is lower than the value's.
def test_watch_after_a_very_high_revision_waits_for_a_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(standin: Standin, source: HttpSource) -> None:
        # Milliseconds since the Unix epoch.
        monkeypatch.setitem(
            standin.values._newest, MANIFEST_KEY, SourceValue(b"one", 1_780_000_000_000)
        )
        source.apply_settings(SourceSettings((standin.address,), watch_ms=100))
        value = await source.read_value(MANIFEST_KEY)
        assert await source.watch_value(MANIFEST_KEY, after=value.revision) is None

    run_scenario(scenario)
