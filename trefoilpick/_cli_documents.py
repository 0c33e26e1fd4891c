"""The commands `check`, `diff` and `accept`."""

from __future__ import annotations

from contextlib import nullcontext
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from returns.result import Failure
from rich.table import Table
from rich.text import Text

from trefoilpick._clock import read_wall_ms
from trefoilpick._console import ExitCode, console, report_errors
from trefoilpick.checks import Fault, SectionText, check_document
from trefoilpick.differences import Action, Change, list_changes
from trefoilpick.document import Document
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import Manifest
from trefoilpick.publishing import (
    Publication,
    build_manifest,
    lock_folder,
    map_upstream_owners,
    merge_sections,
    read_publication,
    read_section_files,
    write_publication,
)

ACTION_STYLES = {Action.ADDED: "green", Action.REMOVED: "red", Action.CHANGED: "yellow"}

SectionFiles = Annotated[
    list[Path],
    typer.Argument(
        metavar="FILE...", help="Section files, or folders of them.", show_default=False
    ),
]
VersionPath = Annotated[
    Path, typer.Argument(help="A section file, a folder of them, or a published folder.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def check(
    files: SectionFiles,
    published: Annotated[
        Path | None,
        typer.Option("--folder", help="Published folder with the sections of the other teams."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Check a document and list all its faults.

    Pass every section of the document, or a published folder with the other sections, since a
    route may refer to an upstream of another team. Exit code 1 if there are faults.

    Examples:

        trefoilpick check examples/quillqa

        trefoilpick check portafolio.jsonc --folder published
    """
    with report_errors():
        texts = read_section_files(files)
        current = _read_published(published) if published else Document()
        result = _check_sections(merge_sections(texts, current), current)
    if isinstance(result, Failure):
        _exit_with_faults(result.failure(), as_json=as_json)
    document = result.unwrap()
    if as_json:
        _print_json({"faults": [], "sections": len(document.sections)})
    else:
        console.print(f"[green]no faults[/]: {_describe_document(document)}")


def diff(old: VersionPath, new: VersionPath, as_json: AsJson = False) -> None:
    """Show the changes from one document to another, by team.

    Exit code 0, with or without changes; 1 if a document has faults.

    Example: trefoilpick diff published examples/quillqa
    """
    with report_errors():
        before, after = (_read_version(path, as_json=as_json) for path in (old, new))
    changes = tuple(list_changes(before, after))
    if as_json:
        _print_json({"changes": changes, "teams": _list_teams(changes)})
    elif changes:
        _print_changes(changes)
    else:
        console.print("no changes")


def accept(
    folder: Annotated[Path, typer.Option(help="Local folder from which versions are published.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(metavar="[FILE...]", help="Section files, or folders of them."),
    ] = None,
    remove: Annotated[
        list[str] | None, typer.Option(help="Team whose section is removed; can be repeated.")
    ] = None,
    above: Annotated[
        int,
        typer.Option(help="Exclusive lower bound of the new version's number.", min=0, max=2**52),
    ] = 0,
    is_dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show what would be accepted; write nothing.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Accept a new version: check the whole document and write it to a local folder.

    Sections of teams without a file stay as published. The sections are written first and the
    manifest last, so that a job that publishes the folder never finds an incomplete version.
    A version with faults is refused and nothing is written; exit code 1.

    Examples:

        trefoilpick accept examples/quillqa --folder published

        trefoilpick accept encargos.jsonc --folder published --dry-run

        trefoilpick accept --folder published --remove archivo
    """
    with report_errors(), nullcontext() if is_dry_run else lock_folder(folder):
        texts = read_section_files(files or ())
        current = read_publication(folder)
        before = current.document if current else Document()
        result = _check_sections(merge_sections(texts, before, removed=remove or ()), before)
        if isinstance(result, Failure):
            _exit_with_faults(result.failure(), as_json=as_json)
        publication = _build_publication(result.unwrap(), current, above)
        changes = tuple(list_changes(before, publication.document))
        is_accepted = bool(changes) and not is_dry_run
        if is_accepted:
            write_publication(folder, publication)
    _print_acceptance(publication.manifest, changes, is_accepted=is_accepted, as_json=as_json)


def _check_sections(texts: tuple[SectionText, ...], current: Document) -> Any:
    return check_document(texts, owners=map_upstream_owners(current))


def _build_publication(document: Document, current: Publication | None, above: int) -> Publication:
    highest = max(above, current.manifest.number if current else 0)
    accepted_at_ms = read_wall_ms()
    return Publication(
        build_manifest(document, number=highest + 1, accepted_at_ms=accepted_at_ms), document
    )


def _read_published(folder: Path) -> Document:
    publication = read_publication(folder)
    if publication is None:
        text = f'folder "{folder}" contains no published version'
        raise TrefoilpickError(ErrorKind.FILE_UNREADABLE, text)
    return publication.document


def _read_version(path: Path, *, as_json: bool) -> Document:
    publication = read_publication(path) if path.is_dir() else None
    if publication is not None:
        return publication.document
    result = check_document(read_section_files([path]))
    if isinstance(result, Failure):
        _exit_with_faults(result.failure(), as_json=as_json)
    return result.unwrap()


def _exit_with_faults(faults: tuple[Fault, ...], *, as_json: bool) -> None:
    if as_json:
        _print_json({"faults": faults})
    else:
        _print_faults(faults)
    raise typer.Exit(ExitCode.FAULTY)


def _print_faults(faults: tuple[Fault, ...]) -> None:
    for fault in faults:
        location = Text(f"{fault.origin}:{fault.line}", "cyan")
        field = Text(fault.path, "bold")
        console.print(location, field, Text(fault.text, "red"), sep="  ", soft_wrap=True)
    count = "1 fault" if len(faults) == 1 else f"{len(faults)} faults"
    console.print(f"[bold red]{count}[/]")


def _print_changes(changes: tuple[Change, ...]) -> None:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for name in ("team", "change", "what", "field", "before", "after"):
        table.add_column(name, overflow="fold")
    for change in changes:
        action = Text(change.action.value, ACTION_STYLES[change.action])
        subject = f'{change.thing} "{change.name}"'
        table.add_row(change.team, action, subject)
        for field in change.fields:
            table.add_row("", "", "", field.path, Text(field.before), Text(field.after))
    console.print(table)


def _print_acceptance(
    manifest: Manifest, changes: tuple[Change, ...], *, is_accepted: bool, as_json: bool
) -> None:
    teams = _list_teams(changes)
    if as_json:
        _print_json(
            {
                "accepted": is_accepted,
                "version": manifest.number,
                "teams": teams,
                "changes": changes,
            }
        )
        return
    if not changes:
        console.print("no changes: no version accepted")
        return
    _print_changes(changes)
    status = "[green]accepted[/]" if is_accepted else "[yellow]not written[/]:"
    console.print(f"{status} version {manifest.number}; changed teams: {', '.join(teams)}")


def _list_teams(changes: tuple[Change, ...]) -> list[str]:
    return sorted({change.team for change in changes})


def _print_json(value: dict[str, Any]) -> None:
    typer.echo(msgspec.json.encode(value).decode())


def _describe_document(document: Document) -> str:
    upstreams = sum(len(section.upstreams) for section in document.sections)
    routes = sum(len(section.routes) for section in document.sections)
    return f"{len(document.sections)} sections, {upstreams} upstreams, {routes} routes"
