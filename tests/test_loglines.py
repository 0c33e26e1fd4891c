from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from trefoilpick.cli import app
from trefoilpick.errors import TrefoilpickError
from trefoilpick.loglines import count_causes, explain_request, read_logs


def write_log(path: Path, *lines: dict[str, object], before: str = "") -> Path:
    path.write_text("".join(f"{before}{json.dumps(line)}\n" for line in lines) + "no JSON {\n")
    return path


def test_lines_of_all_nodes_are_merged_in_order_of_time(tmp_path: Path) -> None:
    caller_log = write_log(
        tmp_path / "a.log",
        {"time": "2", "vm": "a", "event": "request", "value": "shed", "request_id": "7", "x": [1]},
        {"time": "3", "vm": "a", "event": "request", "value": "shed", "request_id": "8"},
        {"time": "4", "vm": "a", "event": "request", "value": "good", "request_id": "9"},
        {"time": "5", "vm": "a", "event": "request", "value": "caller_gone"},
    )
    worker_log = write_log(
        tmp_path / "b.log",
        {"time": "1", "vm": "b", "event": "run", "value": "shed", "request_id": "7", "queued": 27},
        before="   0.56 node-b ",
    )
    history = explain_request("7", read_logs([caller_log, worker_log]))
    assert [(line.vm, line.event, line.details) for line in history] == [
        ("b", "run", "queued=27"),
        ("a", "request", "x=[1]"),
    ]
    assert list(count_causes(read_logs([caller_log, worker_log]))) == [
        ("shed", 2),
        ("caller_gone", 1),
    ]
    explained = CliRunner().invoke(
        app, ["explain", str(caller_log), str(worker_log), "--request", "7"]
    )
    assert explained.exit_code == 0
    assert explained.output.index("run: shed") < explained.output.index("request: shed")
    unknown = CliRunner().invoke(app, ["explain", str(caller_log), "--request", "no"])
    assert unknown.exit_code == 1
    assert "unknown" in unknown.output
    counted = CliRunner().invoke(app, ["explain", str(caller_log)])
    assert "2 shed" in counted.output


def test_missing_log_is_named_in_the_error(tmp_path: Path) -> None:
    with pytest.raises(TrefoilpickError, match="gone.log"):
        list(read_logs([tmp_path / "gone.log"]))


def test_refusal_of_a_quarantined_request_leads_to_the_ends_of_workers(tmp_path: Path) -> None:
    subject = {"subject": "aa/bb"}
    caller_log = write_log(
        tmp_path / "a.log",
        {"time": "5", "event": "request", "value": "quarantined", "request_id": "9", **subject},
    )
    worker_log = write_log(
        tmp_path / "b.log",
        {"time": "1", "event": "worker_end", "value": "7f", "request_id": "1", **subject},
        {"time": "2", "event": "worker_end", "value": "8a", "subject": "cc/dd"},
        {"time": "3", "event": "quarantine", "value": "quarantined 2", **subject},
        {"time": "4", "event": "peer", "value": "down", **subject},
    )
    history = explain_request("9", read_logs([caller_log, worker_log]))
    assert [line.event for line in history] == ["worker_end", "quarantine", "request"]
