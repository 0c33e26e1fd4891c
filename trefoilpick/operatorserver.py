"""HTTP server for operators: metrics, health, readiness, status and data for reports."""

from __future__ import annotations

import logging
from contextlib import suppress
from functools import partial
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import parse_qs

import curio
import h11
from curio.network import tcp_server_socket

from trefoilpick._http import MAX_HEAD_BYTES, HttpAnswer, receive_request, send_answer
from trefoilpick._process_metrics import measure_process
from trefoilpick._task_groups import keep_running, run_until_first_ends
from trefoilpick._time_slices import yield_if_due
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import LOGGER_NAME
from trefoilpick.metrics import CONTENT_TYPE
from trefoilpick.reports import build_report, encode_report, encode_windows, list_latencies
from trefoilpick.status import ErrorResponse, Readiness, encode_status
from trefoilpick.windows import SeriesTable, open_window_history

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from curio.io import Socket

    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import Settings
    from trefoilpick.snapshots import SnapshotCell
    from trefoilpick.status import Choice, FleetStatus, NodeStatus
    from trefoilpick.windows import WindowHistory

PartT = TypeVar("PartT")

logger = logging.getLogger(LOGGER_NAME)

MAX_CONNECTIONS = 16
"""Largest number of simultaneous connections."""

HEAD_TIMEOUT_S = 5.0
"""Time to receive a request's head, in seconds."""

ANSWER_TIMEOUT_S = 30.0
"""Time to build and send an answer, in seconds."""

WINDOW_CHECK_INTERVAL_S = 5.0
"""Time between checks whether a window of metrics is complete, in seconds."""

FLEET_REUSE_S = 1.0
"""Time for which the result of one query of the fleet is reused, in seconds."""

ACCEPT_PAUSE_S = 0.1
"""Pause before the next accept after an error, in seconds."""

BACKLOG = 32
"""Largest number of connections that wait to be accepted."""


class OperatorServer:
    """Serves the operators' port of one node.

    Args:
        settings: The node's settings.
        sock: A listening curio socket.
        metrics: The node's metrics.
        describe: Returns the node's status.
        cell: Holds the enforced snapshot.
        query_fleet: Queries all other nodes for their status; without it `/fleet` answers 404.
        explain: Returns where a request with a host, a method and a path would go; without it
            `/where` answers 404.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        sock: Socket,
        metrics: Metrics,
        describe: Callable[[], NodeStatus],
        cell: SnapshotCell,
        query_fleet: Callable[[], Awaitable[FleetStatus]] | None,
        explain: Callable[[str, str, str], Choice] | None = None,
    ) -> None:
        self._settings = settings
        self._sock = sock
        self._metrics = metrics
        self._describe = describe
        self._cell = cell
        self._query_fleet = query_fleet
        self._explain = explain
        self._connections = 0
        self._windows: WindowHistory | None = None
        self._query_lock = curio.Lock()
        self._queried_s = float("-inf")
        self._fleet_status = b""

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the listening socket."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    async def run(self) -> None:
        """Serve until cancelled."""
        self._windows = open_window_history(self._metrics, now_s=await curio.clock())
        async with self._sock:
            await run_until_first_ends(
                keep_running(
                    partial(self._roll_windows, self._windows),
                    name="roll_windows",
                    metrics=self._metrics,
                ),
                self._accept,
            )

    async def _roll_windows(self, windows: WindowHistory) -> None:
        while True:
            await curio.sleep(WINDOW_CHECK_INTERVAL_S)
            windows.advance(await curio.clock())

    async def _accept(self) -> None:
        async with curio.TaskGroup(wait=None) as tasks:
            accept = partial(self._accept_into, tasks)
            await tasks.spawn(keep_running(accept, name="accept_operators", metrics=self._metrics))
            async for task in tasks:
                # Marks the finished task as joined; otherwise curio logs a warning.
                task.joined = True

    async def _accept_into(self, tasks: curio.TaskGroup) -> None:
        while True:
            await yield_if_due()
            try:
                client, _ = await self._sock.accept()
                client.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            except OSError:
                await curio.sleep(ACCEPT_PAUSE_S)
                continue
            if self._connections >= MAX_CONNECTIONS:
                self._count(503)
                await client.close()
                continue
            self._connections += 1
            await tasks.spawn(self._serve, client)

    async def _serve(self, client: Socket) -> None:
        try:
            async with client:
                with suppress(OSError, curio.TaskTimeout):
                    await self._serve_request(client)
        finally:
            self._connections -= 1

    async def _serve_request(self, client: Socket) -> None:
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        async with curio.timeout_after(HEAD_TIMEOUT_S + ANSWER_TIMEOUT_S):
            answer = await self._receive_and_answer(client, protocol)
            if answer is None:
                return
            self._count(answer.status)
            await send_answer(client, protocol, answer)

    async def _receive_and_answer(
        self, client: Socket, protocol: h11.Connection
    ) -> HttpAnswer | None:
        try:
            async with curio.timeout_after(HEAD_TIMEOUT_S):
                request = await receive_request(client, protocol)
        except h11.RemoteProtocolError as error:
            return _answer_error(error.error_status_hint, ErrorKind.HEAD_MALFORMED, str(error))
        except curio.TaskTimeout:
            text = f"no request head within {HEAD_TIMEOUT_S:g} s"
            return _answer_error(408, ErrorKind.HEAD_TIMEOUT, text)
        if request is None:
            return None
        path, _, query = request.target.decode("ascii", "replace").partition("?")
        if request.method != b"GET":
            text = f'method "{request.method.decode("ascii")}" is not allowed for "{path}"'
            return _answer_error(405, ErrorKind.METHOD_NOT_ALLOWED, text, ("allow", "GET"))
        try:
            return await self._answer(path, query)
        except TrefoilpickError as error:
            return _answer_error(503, error.kind, error.text)
        except Exception as error:
            logger.exception("a page of the operators' port failed", extra={"path": path})
            return _answer_error(500, ErrorKind.INTERNAL, f"the node failed: {error!r}")

    async def _answer(self, path: str, query: str) -> HttpAnswer:
        if path == "/metrics":
            return await self._answer_metrics()
        if path == "/health":
            return HttpAnswer(200, b'{"healthy":true}')
        if path == "/ready":
            return self._answer_ready()
        if path == "/status":
            return HttpAnswer(200, encode_status(self._describe()))
        if path == "/report":
            return await self._answer_report()
        if path == "/fleet" and self._query_fleet is not None:
            return HttpAnswer(200, await self._answer_fleet(self._query_fleet))
        if path == "/where" and self._explain is not None:
            return HttpAnswer(200, encode_status(self._explain(*_parse_request(query))))
        return _answer_error(404, ErrorKind.NO_ROUTE, f'"{path}" is not a page of this port')

    async def _answer_fleet(self, query_fleet: Callable[[], Awaitable[FleetStatus]]) -> bytes:
        async with self._query_lock:
            if await curio.clock() >= self._queried_s + FLEET_REUSE_S:
                self._fleet_status = encode_status(await query_fleet())
                self._queried_s = await curio.clock()
            return self._fleet_status

    async def _answer_metrics(self) -> HttpAnswer:
        measure_process(self._metrics)
        lines = await collect_cooperatively(self._metrics.render())
        return HttpAnswer(200, "".join(f"{line}\n" for line in lines).encode(), CONTENT_TYPE)

    def _answer_ready(self) -> HttpAnswer:
        status = self._describe()
        readiness = Readiness(status.ready, status.reasons)
        return HttpAnswer(200 if status.ready else 503, encode_status(readiness))

    async def _answer_report(self) -> HttpAnswer:
        assert self._windows is not None
        table = SeriesTable()
        latencies = await collect_cooperatively(list_latencies(self._metrics, table))
        window_parts = self._windows.read(await curio.clock(), table)
        windows = await collect_cooperatively(encode_windows(window_parts))
        status = self._describe()
        report = build_report(
            self._settings.vm,
            incarnation=status.incarnation,
            uptime_s=status.uptime_s,
            latencies=tuple(latencies),
            table=table,
            snapshot=self._cell.current,
        )
        return HttpAnswer(200, encode_report(report, windows))

    def _count(self, status: int) -> None:
        self._metrics.count("trefoilpick_operator_requests_total", status=str(status))


def open_operator_server(
    settings: Settings,
    *,
    metrics: Metrics,
    describe: Callable[[], NodeStatus],
    cell: SnapshotCell,
    query_fleet: Callable[[], Awaitable[FleetStatus]] | None = None,
    explain: Callable[[str, str, str], Choice] | None = None,
    port: int | None = None,
) -> OperatorServer:
    """Open a server that listens on the operators' port.

    Args:
        settings: The node's settings.
        metrics: The node's metrics.
        describe: Returns the node's status.
        cell: Holds the enforced snapshot.
        query_fleet: Queries all other nodes for their status; without it `/fleet` answers 404.
        explain: Returns where a request with a host, a method and a path would go; without it
            `/where` answers 404.
        port: Overrides the port in the settings; 0 for any free port.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, if the address cannot be listened on.
    """
    host = settings.listen.host
    port = settings.listen.operator_port if port is None else port
    try:
        sock = tcp_server_socket(host, port, backlog=BACKLOG)
    except OSError as error:
        text = f'operators\' port "{host}:{port}" cannot be listened on: {error.strerror}'
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
    return OperatorServer(
        settings,
        sock=sock,
        metrics=metrics,
        describe=describe,
        cell=cell,
        query_fleet=query_fleet,
        explain=explain,
    )


async def collect_cooperatively(parts: Iterable[PartT]) -> list[PartT]:
    """Return the parts as a list, and let other tasks run after each part."""
    gathered = []
    for part in parts:
        gathered.append(part)
        await curio.sleep(0)
    return gathered


def _parse_request(query: str) -> tuple[str, str, str]:
    """Return host, method and path of the request that a query string describes."""
    fields = parse_qs(query)
    host, method, path = (fields.get(name, [""])[-1] for name in ("host", "method", "path"))
    return host or "*", method or "GET", path.partition("?")[0] or "/"


def _answer_error(status: int, kind: ErrorKind, text: str, *headers: tuple[str, str]) -> HttpAnswer:
    return HttpAnswer(status, encode_status(ErrorResponse(kind.value, text)), headers=headers)
