"""The command line."""

from __future__ import annotations

import typer

from trefoilpick._cli_demo import demo
from trefoilpick._cli_documents import accept, check, diff
from trefoilpick._cli_experiment import experiment
from trefoilpick._cli_explain import explain
from trefoilpick._cli_keys import keys
from trefoilpick._cli_node import node, worker
from trefoilpick._cli_replay import replay
from trefoilpick._cli_report import report
from trefoilpick._cli_settings import settings
from trefoilpick._cli_standin import standin
from trefoilpick._cli_status import status
from trefoilpick._cli_where import where

app = typer.Typer(
    name="trefoilpick",
    help="Configuration distribution for a service mesh.",
    no_args_is_help=True,
    rich_markup_mode="markdown",
    pretty_exceptions_enable=False,
)


@app.callback()
def run() -> None:
    """Distribute configuration to a service mesh."""


app.command()(node)
app.command()(status)
app.command()(where)
app.command()(check)
app.command()(diff)
app.command()(accept)
app.command()(settings)
app.command()(keys)
app.command()(explain)
app.command()(replay)
app.command()(experiment)
app.command()(demo)
app.command()(standin)
app.command()(worker)
app.add_typer(report, name="report")


def main() -> None:
    """Run the command line."""
    app()
