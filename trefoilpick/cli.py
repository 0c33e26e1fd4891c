"""The command line."""

from __future__ import annotations

import typer

app = typer.Typer(
    name="trefoilpick",
    help="Configuration distribution for a service mesh.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.callback()
def run() -> None:
    """Distribute configuration to a service mesh."""


def main() -> None:
    """Run the command line."""
    app()
