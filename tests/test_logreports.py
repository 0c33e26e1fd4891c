from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from trefoilpick.cli import app
from trefoilpick.errors import TrefoilpickError
from trefoilpick.loglines import read_logs
from trefoilpick.logreports import build_log_report


def write_log(path: Path, vm: str, *, late_s: float = 0.0) -> Path:
    lines: list[dict[str, object]] = [{"event": "version", "value": 7, "at": 1.0 + late_s}]
    for number in range(20):
        value = "shed" if number % 4 == 0 else "good"
        took_ms = 300 if number == 1 else 12.5
        lines.append({"event": "request", "value": value, "took_ms": took_ms, "at": 2.0 + number})
    lines[-1]["omitted_before"] = 5
    texts = []
    for line in lines:
        time = f"2026-12-04T00:00:{line.pop('at'):06.3f}+00:00"
        texts.append(json.dumps({"time": time, "vm": vm, **line}))
    path.write_text("\n".join(texts) + "\nno line\n")
    return path


def test_report_has_load_causes_latencies_and_rollouts(tmp_path: Path) -> None:
    logs = [write_log(tmp_path / "a.log", "a"), write_log(tmp_path / "b.log", "b", late_s=0.25)]
    report = build_log_report(read_logs(logs))
    assert (report.nodes, report.requests, report.failed, report.omitted) == (2, 40, 10, 10)
    assert report.span_s == pytest.approx(20.0)
    assert report.causes == (("shed", 10),)
    assert report.latencies == ((20, 28), (500, 2))
    assert [(rollout.number, rollout.nodes) for rollout in report.rollouts] == [(7, 2)]
    assert report.rollouts[0].took_s == pytest.approx(0.25)
    assert sum(part.per_s for part in report.slices) * 20.0 / 60 == pytest.approx(40)


def test_command_writes_a_self_contained_page(tmp_path: Path) -> None:
    log = write_log(tmp_path / "a.log", "a")
    page = tmp_path / "page.html"
    result = CliRunner().invoke(app, ["report", "logs", str(log), "--html", str(page)])
    assert result.exit_code == 0
    assert "20 requests" in result.output
    text = page.read_text()
    assert text.count("<svg") == text.count("</svg>") == 4
    assert "version 7, 1 of 1 nodes" in text
    assert "<script" not in text


def test_logs_without_valid_times_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    path.write_text('{"event": "request", "value": "good", "time": "soon"}\n')
    with pytest.raises(TrefoilpickError, match="no line of the logs has a valid time"):
        build_log_report(read_logs([path]))
