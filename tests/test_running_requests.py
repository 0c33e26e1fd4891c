"""Recognition of nested calls by the requests that the worker runs."""

from __future__ import annotations

import pytest

from trefoilpick import running_requests
from trefoilpick.running_requests import RunningRequests


@pytest.mark.parametrize(
    ("request_id", "separator", "is_nested"),
    [
        ("7a.1", ".", True),
        ("7a.1.2", ".", False),
        ("7b.1", ".", False),
        ("7a", ".", False),
        (".1", ".", False),
        ("7a.1", "", False),
    ],
)
def test_call_is_nested_only_while_its_parent_runs(
    request_id: str, separator: str, is_nested: bool
) -> None:
    """Guards against a client that gains by the form of an ID alone."""
    running = RunningRequests()
    with running.track("7a"), running.track(""):
        assert running.is_nested(request_id, separator) == is_nested
    assert not running.is_nested(request_id, separator)


def test_parent_that_runs_twice_is_forgotten_after_its_last_run() -> None:
    """A caller may use an ID again; one end must not hide the other run."""
    running = RunningRequests()
    with running.track("7a"):
        with running.track("7a"):
            pass
        assert running.is_nested("7a.1", ".")
    assert len(running) == 0


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against IDs of unlimited number or length."""
    monkeypatch.setattr(running_requests, "MAX_REQUESTS", 1)
    running = RunningRequests()
    with running.track("x" * (running_requests.MAX_ID_CHARS + 1)), running.track("a"):
        with running.track("b"), running.track("a"):
            assert len(running) == 1
        assert running.is_nested("a.1", ".")
