import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from trefoilpick import operatorserver
from trefoilpick._connections import open_connection
from trefoilpick._http import HttpAnswer, fetch
from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import Manifest, identify_version
from trefoilpick.metrics import Metrics
from trefoilpick.operatorserver import OperatorServer, open_operator_server
from trefoilpick.reports import NodeReport
from trefoilpick.settings import parse_settings
from trefoilpick.snapshots import SnapshotCell, build_snapshot
from trefoilpick.status import FleetStatus, NodeStatus, Readiness, decode_status

SETTINGS = parse_settings("""{
    vm: {name: "w1", region: "lima", data_centre: "lima-a", service: "portafolio"},
    listen: {host: "127.0.0.1"},
    worker: {host: "127.0.0.1", port: 9100},
    source: {addresses: ["127.0.0.1:9000"]},
}""")


QUERIES: list[float] = []
"""Clock readings of the fleet queries, in seconds."""


def build_cell() -> SnapshotCell:
    route = Route("sketches", Match("/", ("GET",)), "portafolio", Contract(idempotent=True))
    document = Document((Section("arte", (Upstream("portafolio"),), (route,)),))
    manifest = Manifest(3, 0, ())
    cell = SnapshotCell()
    cell.replace(build_snapshot(identify_version(manifest), manifest, document))
    return cell


def build_status(*reasons: str) -> NodeStatus:
    return NodeStatus(
        vm="w1",
        region="lima",
        data_centre="lima-a",
        service="portafolio",
        incarnation=7,
        uptime_s=1.0,
        ready=not reasons,
        reasons=reasons,
    )


def serve(
    run_client: Callable[[OperatorServer], Awaitable[Any]],
    *,
    describe: Callable[[], NodeStatus] = build_status,
    metrics: Metrics | None = None,
) -> Any:
    """Run a server, and return the result of a client of it."""

    async def query_fleet() -> FleetStatus:
        QUERIES.append(await curio.clock())
        await curio.sleep(0.01)
        return FleetStatus(describe(), ())

    async def main() -> Any:
        server = open_operator_server(
            SETTINGS,
            metrics=metrics or Metrics(),
            describe=describe,
            cell=build_cell(),
            query_fleet=query_fleet,
            port=0,
        )
        task = await curio.spawn(server.run)
        try:
            async with curio.timeout_after(30):
                return await run_client(server)
        finally:
            await task.cancel()

    return curio.run(main)


async def get(server: OperatorServer, path: str) -> HttpAnswer:
    return await fetch(*server.address, path, timeout_s=20, max_bytes=1_000_000)


async def send_raw(server: OperatorServer, data: bytes) -> bytes:
    received = b""
    sock = await open_connection(*server.address)
    async with sock:
        with contextlib.suppress(ConnectionError):
            await sock.sendall(data)
            while chunk := await sock.recv(65_536):
                received += chunk
    return received


def test_metrics_are_served_in_the_text_format() -> None:
    metrics = Metrics()
    metrics.count("trefoilpick_requests_total", 2, team="arte", route="sketches", result="good")

    async def run_client(server: OperatorServer) -> HttpAnswer:
        return await get(server, "/metrics")

    answer = serve(run_client, metrics=metrics)
    assert answer.content_type.startswith("text/plain; version=0.0.4")
    lines = answer.body.decode().splitlines()
    assert "# TYPE trefoilpick_requests_total counter" in lines
    line = 'trefoilpick_requests_total{team="arte",route="sketches",result="good"} 2'
    assert line in lines
    (memory,) = [line for line in lines if line.startswith("trefoilpick_process_resident_bytes ")]
    assert 1_000_000 < float(memory.split()[1]) < 10_000_000_000


def test_health_does_not_depend_on_readiness() -> None:
    reasons: list[str] = ["no version is in force"]

    async def run_client(server: OperatorServer) -> list[HttpAnswer]:
        answers = [await get(server, "/health"), await get(server, "/ready")]
        reasons.clear()
        return [*answers, await get(server, "/ready")]

    health, waiting, ready = serve(run_client, describe=lambda: build_status(*reasons))
    assert [health.status, waiting.status, ready.status] == [200, 503, 200]
    assert decode_status(waiting.body, Readiness).reasons == ("no version is in force",)


def test_status_fleet_and_report_decode_as_their_types() -> None:
    async def run_client(server: OperatorServer) -> list[HttpAnswer]:
        return [await get(server, path) for path in ("/status", "/fleet", "/report")]

    status, fleet, report = serve(run_client)
    assert decode_status(status.body, NodeStatus) == build_status()
    assert decode_status(fleet.body, FleetStatus).node == build_status()
    decoded = decode_status(report.body, NodeReport)
    assert (decoded.number, decoded.contracts[0].route) == (3, "sketches")
    assert [window.ended_s for window in decoded.windows] == [0.0]


def test_failure_of_one_page_leaves_the_others_available() -> None:
    def fail() -> NodeStatus:
        raise KeyError("vm")

    async def run_client(server: OperatorServer) -> list[int]:
        return [(await get(server, path)).status for path in ("/status", "/health")]

    assert serve(run_client, describe=fail) == [500, 200]


def test_concurrent_requests_share_one_fleet_query(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operatorserver, "FLEET_REUSE_S", 600.0)

    async def run_client(server: OperatorServer) -> set[int]:
        QUERIES.clear()
        async with curio.TaskGroup() as tasks:
            for _ in range(8):
                await tasks.spawn(get, server, "/fleet")
        return {answer.status for answer in tasks.results}

    assert serve(run_client) == {200}
    assert len(QUERIES) == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /health HTTP/1.1\r\nhost: a\r\n\r\n", b"200"),
        (b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n", b"404"),
        (b"POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n12345", b"405"),
        (b"\x00\xff garbage\r\n\r\n", b"400"),
        (b"GET /health HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n", b"431"),
    ],
)
def test_malformed_requests_are_answered_and_the_server_keeps_running(
    data: bytes, status: bytes
) -> None:
    async def run_client(server: OperatorServer) -> tuple[bytes, HttpAnswer]:
        return await send_raw(server, data), await get(server, "/health")

    received, after = serve(run_client)
    assert received.split(b" ")[1] == status
    assert after.status == 200


def test_random_bytes_do_not_stop_the_server() -> None:
    rng = random.Random(20261203)
    parts = (b"GET ", b"/report", b" HTTP/1.1", b"\r\n", b"host: a", b":", b"\x00\xff", b"\r\n\r\n")

    async def run_client(server: OperatorServer) -> set[bytes]:
        status_lines = set()
        for _ in range(150):
            data = b"".join(rng.choices(parts, k=rng.randrange(12))) + b"\r\n\r\n"
            status_lines.add((await send_raw(server, data)).split(b"\r\n")[0])
        assert (await get(server, "/health")).status == 200
        return status_lines

    status_lines = serve(run_client)
    assert status_lines <= {
        b"HTTP/1.1 %d " % status for status in (200, 400, 404, 405, 431, 501)
    } | {b""}
    assert b"HTTP/1.1 400 " in status_lines


def test_slow_head_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operatorserver, "HEAD_TIMEOUT_S", 0.05)

    async def run_client(server: OperatorServer) -> bytes:
        return await send_raw(server, b"GET /health HTT")

    assert serve(run_client).startswith(b"HTTP/1.1 408")


def test_connections_over_the_limit_are_closed_and_counted() -> None:
    metrics = Metrics()

    async def run_client(server: OperatorServer) -> HttpAnswer:
        idle = [
            await open_connection(*server.address) for _ in range(operatorserver.MAX_CONNECTIONS)
        ]
        assert await send_raw(server, b"GET /health HTTP/1.1\r\nhost: a\r\n\r\n") == b""
        for sock in idle:
            await sock.close()
        while True:
            with contextlib.suppress(TrefoilpickError):
                return await get(server, "/health")

    assert serve(run_client, metrics=metrics).status == 200
    assert metrics.get_count("trefoilpick_operator_requests_total", status="503") >= 1


def test_port_in_use_and_closed_port_are_reported() -> None:
    async def run_client(server: OperatorServer) -> tuple[str, int]:
        host, port = server.address
        with pytest.raises(TrefoilpickError, match=f'"{host}:{port}" cannot be listened on'):
            open_operator_server(
                SETTINGS, metrics=Metrics(), describe=build_status, cell=SnapshotCell(), port=port
            )
        return server.address

    host, port = serve(run_client)
    with pytest.raises(TrefoilpickError) as caught:
        curio.run(fetch(host, port, "/status", timeout_s=5, max_bytes=1))
    assert caught.value.kind is ErrorKind.PEER_UNREACHABLE
