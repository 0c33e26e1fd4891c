import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from trefoilpick.cli import app
from trefoilpick.manifest import decode_manifest

EXAMPLES = Path(__file__).parent.parent / "examples"


def run(*arguments: object) -> tuple[int, str]:
    result = CliRunner().invoke(app, [str(argument) for argument in arguments])
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


@pytest.mark.parametrize("company", ["quillqa", "rtk"])
def test_examples_have_no_faults(company: str) -> None:
    code, output = run("check", EXAMPLES / company)
    assert (code, "3 sections, 2 upstreams" in output) == (0, True)


def test_accepted_versions_have_increasing_numbers_and_list_changed_teams(tmp_path: Path) -> None:
    folder = tmp_path / "published"
    source = EXAMPLES / "quillqa"
    assert run("accept", source, "--folder", folder, "--dry-run", "--json")[0] == 0
    assert not folder.exists()
    assert run("accept", source, "--folder", folder)[0] == 0
    assert run("accept", source, "--folder", folder)[1].startswith("no changes")
    archive = tmp_path / "archivo.jsonc"
    text = (source / "archivo.jsonc").read_text().replace("deferrable", "normal")
    archive.write_text(text)
    code, output = run("accept", archive, "--folder", folder, "--json")
    accepted = json.loads(output)
    assert (code, accepted["version"], accepted["teams"]) == (0, 2, ["archivo"])
    field = accepted["changes"][0]["fields"][0]
    assert field == {"path": "contract.priority", "before": "deferrable", "after": "normal"}
    manifest = decode_manifest((folder / "manifest").read_bytes())
    assert [ref.team for ref in manifest.sections] == ["archivo", "encargos", "portafolio"]
    assert all((folder / "sections" / ref.digest).exists() for ref in manifest.sections)
    assert "contract.priority" in run("diff", source, folder)[1]
    assert run("accept", "--folder", folder, "--remove", "archivo", "--above", 9)[0] == 0
    manifest = decode_manifest((folder / "manifest").read_bytes())
    assert (manifest.number, len(manifest.sections)) == (10, 2)


def test_faulty_version_is_refused_and_nothing_is_written(tmp_path: Path) -> None:
    folder = tmp_path / "published"
    run("accept", EXAMPLES / "quillqa", "--folder", folder)
    before = (folder / "manifest").read_bytes()
    faulty = tmp_path / "archivo.jsonc"
    text = (EXAMPLES / "quillqa" / "archivo.jsonc").read_text()
    faulty.write_text(text.replace('"portafolio"', '"portfolio"'))
    code, output = run("accept", faulty, "--folder", folder)
    assert (code, 'upstream "portfolio" is not defined' in output) == (1, True)
    assert (folder / "manifest").read_bytes() == before
    code, output = run("check", faulty, "--folder", folder, "--json")
    assert (code, json.loads(output)["faults"][0]["path"]) == (1, "routes[0].upstream")
    faulty.write_text(text.replace("/archive", "/sketches"))
    code, output = run("check", faulty, "--folder", folder, "--json")
    assert [fault["section"] for fault in json.loads(output)["faults"]] == ["archivo"]
    removed = run("accept", "--folder", folder, "--remove", "portafolio", "--json")
    assert (removed[0], removed[1].count("is not defined in any section")) == (1, 1)


def test_damaged_or_missing_publication_is_an_error(tmp_path: Path) -> None:
    folder = tmp_path / "published"
    run("accept", EXAMPLES / "rtk", "--folder", folder)
    section = next((folder / "sections").iterdir())
    section.write_bytes(section.read_bytes() + b" ")
    assert run("diff", folder, EXAMPLES / "rtk")[0] == 2
    assert run("check", tmp_path / "none.jsonc")[0] == 2
    assert run("check", tmp_path)[0] == 2


def test_settings_are_listed() -> None:
    code, output = run("settings", "--json")
    listed = {info["path"]: info for info in json.loads(output)["settings"]}
    assert code == 0
    assert listed["source.watch_ms"] == {
        "path": "source.watch_ms",
        "unit": "ms",
        "default": "6000",
        "range": "100 to 600_000",
        "text": "Time that a watch waits for a change",
    }
    assert listed["vm.name"]["default"] is None
    assert "| `keys.secret` |" in run("settings", "--format", "markdown")[1]
