"""The commands `node` and `worker`, which run the library as daemons."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from typing import Annotated, BinaryIO

import curio
import typer

from trefoilpick._console import console, report_errors
from trefoilpick._signals import watch_stop_signals
from trefoilpick.daemon import serve_node
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import open_log
from trefoilpick.node import open_node
from trefoilpick.settings import read_settings
from trefoilpick.standin_worker import Worker


def node(
    settings: Annotated[
        Path, typer.Option(help="Settings file of the node: JSON with comments.", dir_okay=False)
    ],
    record: Annotated[
        Path | None,
        typer.Option(help="Append the node's events to this trace file.", dir_okay=False),
    ] = None,
) -> None:
    """Run the node beside the worker of this VM until SIGTERM, then drain and exit 0."""
    with report_errors(), ExitStack() as files:
        checked = read_settings(settings)
        out = files.enter_context(_open_trace(record)) if record else None
        open_log(checked)
        curio.run(serve_node(open_node(checked), settings, read_settings, out=out))


def worker(
    vm: Annotated[str, typer.Option(help="Name of the VM on which it runs.")],
    service: Annotated[str, typer.Option(help="Name of the upstream.")],
    host: Annotated[str, typer.Option(help="IP address to listen on.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port to listen on.")] = 9100,
    service_time_ms: Annotated[float, typer.Option(help="Service time of a request, in ms.")] = 0.0,
    rate_limit: Annotated[
        float | None,
        typer.Option(help="Requests per second that it states that it accepts.", min=0),
    ] = None,
) -> None:
    """Run a stand-in for a worker of an upstream, for trials without a real one."""
    stand_in = Worker(
        vm, service, host, port, service_time_s=service_time_ms / 1_000, rate_limit=rate_limit
    )
    console.print(f'worker of "{service}" on {host}:{port}', highlight=False)
    curio.run(_serve_worker(stand_in))


def _open_trace(path: Path) -> BinaryIO:
    try:
        return path.open("ab")
    except OSError as error:
        text = f'trace "{path}" cannot be written: {error.strerror}'
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text) from error


async def _serve_worker(stand_in: Worker) -> None:
    stopped = watch_stop_signals()
    async with curio.TaskGroup(wait=any) as tasks:
        await tasks.spawn(stand_in.run)
        await tasks.spawn(stopped.wait)
