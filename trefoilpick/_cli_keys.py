"""The command `keys`."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer
import zmq

from trefoilpick._console import ExitCode, error_console
from trefoilpick.settings import KeySettings


def keys(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object, without comments.")
    ] = False,
) -> None:
    """Generate a CURVE key pair and print it as a fragment of a node's settings.

    All nodes of a fleet share one pair. The secret key is printed: keep the output private.
    """
    if not zmq.has("curve"):
        error_console.print("[bold red]error[/]: this ZeroMQ library does not support CURVE")
        raise typer.Exit(ExitCode.UNAVAILABLE)
    public, secret = (key.decode("ascii") for key in zmq.curve_keypair())
    pair = KeySettings(public, secret)
    if as_json:
        typer.echo(msgspec.json.encode(pair).decode())
        return
    fields = msgspec.json.format(msgspec.json.encode(pair), indent=4).decode()
    typer.echo("// CURVE keys of the fleet's control links. Every node has the same pair.")
    typer.echo(f'"keys": {fields},')
