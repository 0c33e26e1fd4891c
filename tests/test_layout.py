"""Every module belongs to one subject and imports only modules of the same or a lower subject."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

import trefoilpick

PACKAGE = Path(trefoilpick.__file__).parent
PAGE = PACKAGE.parent / "docs" / "developers.md"

TABLE_HEADER = "| subject | all modules |"


def read_subjects() -> list[list[str]]:
    """Return the modules of each subject, the lowest subject first."""
    table = PAGE.read_text().partition(TABLE_HEADER)[2].partition("\n\n")[0]
    rows = [line for line in table.splitlines() if line.startswith("| ") and "`" in line]
    return [re.findall(r"`(\w+)`", row) for row in rows]


SUBJECTS = read_subjects()
SUBJECT_RANKS = {module: rank for rank, modules in enumerate(SUBJECTS) for module in modules}
MODULES = sorted(path.stem for path in PACKAGE.glob("*.py"))


def list_imports(module: str) -> Iterator[str]:
    """Yield the modules of the package that a module imports, including type-only imports."""
    for node in ast.walk(ast.parse((PACKAGE / f"{module}.py").read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        package, _, name = node.module.partition(".")
        if package == PACKAGE.name:
            yield from [name] if name else [alias.name for alias in node.names]


def test_documentation_lists_every_module_under_one_subject() -> None:
    listed = [module for modules in SUBJECTS for module in modules]
    assert sorted(listed) == MODULES


@pytest.mark.parametrize("module", MODULES)
def test_module_imports_only_the_same_subject_or_a_lower_one(module: str) -> None:
    names = [name for name in list_imports(module) if name in SUBJECT_RANKS]
    higher = [name for name in names if SUBJECT_RANKS[name] > SUBJECT_RANKS[module]]
    assert not higher
    assert not any(name.startswith("platform") for name in list_imports(module))
