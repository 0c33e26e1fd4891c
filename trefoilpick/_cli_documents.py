"""Commands for documents."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure
from rich.table import Table

from trefoilpick._console import ExitCode, console, report_errors
from trefoilpick.checks import Fault, check_document
from trefoilpick.document import Document
from trefoilpick.publishing import read_section_files

SectionFiles = Annotated[
    list[Path],
    typer.Argument(
        metavar="FILE...", help="Section files, or folders of them.", show_default=False
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def check(files: SectionFiles, as_json: AsJson = False) -> None:
    """Check a document and name all its faults.

    Give every section of the document, since routes may point at upstreams of other teams.

    Example: trefoilpick check examples/quillqa
    """
    with report_errors():
        result = check_document(read_section_files(files))
    faults = result.failure() if isinstance(result, Failure) else ()
    if as_json:
        typer.echo(msgspec.json.encode({"faults": faults}).decode())
    elif faults:
        print_faults(faults)
    else:
        console.print(_describe_document(result.unwrap()))
    if faults:
        raise typer.Exit(ExitCode.FAULTY)


def print_faults(faults: tuple[Fault, ...]) -> None:
    """Print faults as a table for a person."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    table.add_column("where", style="cyan", no_wrap=True)
    table.add_column("section", no_wrap=True)
    table.add_column("field")
    table.add_column("fault", style="red")
    for fault in faults:
        table.add_row(f"{fault.origin}:{fault.line}", fault.section, fault.path, fault.text)
    console.print(table)
    console.print(
        f"[bold red]{len(faults)} faults[/]" if len(faults) > 1 else "[bold red]1 fault[/]"
    )


def _describe_document(document: Document) -> str:
    upstreams = sum(len(section.upstreams) for section in document.sections)
    routes = sum(len(section.routes) for section in document.sections)
    return (
        f"[green]no faults[/]: {len(document.sections)} sections, {upstreams} upstreams, "
        f"{routes} routes"
    )
