"""Passes over the known failures that KNOWN-RED.txt at the root lists; any other failure counts.

A test also fails if a background task of a node failed in it, unless it expects that.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from fakes_tasks import raise_task_errors

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def list_known_failures() -> frozenset[str]:
    """Return the node ids of the tests that head an entry."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line for line in lines if "::" in line and not line.startswith(" "))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the known failures to fail: one that passes must be removed from the list."""
    known = list_known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))


@pytest.fixture(autouse=True)
def check_task_errors(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test in which a background task failed, unless it has the mark `task_errors`."""
    if request.node.get_closest_marker("task_errors") is not None:
        yield
        return
    with raise_task_errors():
        yield
