"""The command `standin`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import curio
import typer

from trefoilpick._console import console, report_errors
from trefoilpick._signals import watch_stop_signals
from trefoilpick.standin import DEFAULT_RATE, Standin, open_standin


def standin(
    folder: Annotated[
        Path,
        typer.Option(
            help="Folder with the published manifest, sections and vms.",
            exists=True,
            file_okay=False,
        ),
    ],
    host: Annotated[str, typer.Option(help="IP address to listen on.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port to listen on.", min=0, max=65_535)] = 9_000,
    rate: Annotated[
        int, typer.Option(help="Maximum number of calls per second that are answered.", min=1)
    ] = (DEFAULT_RATE),
) -> None:
    """Run a stand-in for the platform's configuration service, for trials.

    It serves the current content of the folder. GET /standin/counts shows its calls; POST
    /standin/faults makes it slow, down, stale, truncated or wrong. POST /standin/evacuations with a
    JSON array of data centres evacuates these.

    Example: trefoilpick standin --port 9000 --folder published
    """
    with report_errors():
        service = open_standin(host, port, folder=folder, rate=rate)
    console.print(f'serving "{folder}" on http://{service.address}/v1/values/')
    curio.run(_serve_until_stopped, service)


async def _serve_until_stopped(service: Standin) -> None:
    stopped = watch_stop_signals()
    async with service:
        await stopped.wait()
