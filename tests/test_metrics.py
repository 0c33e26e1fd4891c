import ast
import re
from pathlib import Path

import pytest

from trefoilpick import metrics as module
from trefoilpick.metrics import METRICS, MetricKind, Metrics, Series

PACKAGE = Path(module.__file__).parent
KINDS = {"_total": MetricKind.COUNTER, "_microseconds": MetricKind.HISTOGRAM}
NAME = re.compile(r"[a-z_]+(_total|_microseconds)")


def list_emitted() -> set[tuple[str, MetricKind]]:
    """Return the names and kinds of the metrics in the source of the package."""
    paths = [path for path in PACKAGE.glob("*.py") if path.name != "_metric_table.py"]
    nodes = [node for path in paths for node in ast.walk(ast.parse(path.read_text()))]
    texts = {str(node.value) for node in nodes if isinstance(node, ast.Constant)}
    by_suffix = {(text, KINDS[match[1]]) for text in texts if (match := NAME.fullmatch(text))}
    gauges = {
        (str(ast.literal_eval(node.args[0])), MetricKind.GAUGE)
        for node in nodes
        if isinstance(node, ast.Call) and ast.unparse(node.func).endswith(".set_gauge")
    }
    return by_suffix | gauges


def test_every_emitted_metric_is_described_in_the_table() -> None:
    emitted = list_emitted()
    assert ("trefoilpick_operator_requests_total", MetricKind.COUNTER) in emitted
    described = {(name, info.kind) for name, info in METRICS.items()}
    assert emitted - described == set(), "add a row to trefoilpick/_metric_table.py"


@pytest.mark.parametrize("name", sorted(METRICS))
def test_metric_names_and_descriptions_follow_the_rules(name: str) -> None:
    info = METRICS[name]
    assert name.startswith("trefoilpick_")
    assert NAME.fullmatch(name) or info.kind is MetricKind.GAUGE
    assert info.help.endswith(".") and info.advice.endswith(".") and info.unit


def test_documentation_lists_every_metric() -> None:
    page = (PACKAGE.parent / "docs" / "metrics.md").read_text()
    for name, info in METRICS.items():
        row = f"| `{name}` | {info.kind.value}, {info.unit} |"
        assert row in page and f"| {info.help} | {info.advice} |" in page


def test_text_format_groups_series_and_escapes_labels() -> None:
    metrics = Metrics()
    metrics.count("trefoilpick_requests_total", 3, team='a"b\\c\nd', route="r", result="good")
    metrics.count("trefoilpick_requests_total", 4, team="a", route="r", result="good")
    metrics.set_gauge("level", 1234567.5)
    for _ in range(2):
        metrics.observe("trefoilpick_request_microseconds", 100, team="a", route="r")
        metrics.close_histograms()
    lines = list(metrics.render())
    assert lines[0].startswith("# HELP trefoilpick_requests_total ")
    assert lines[1:6] == [
        "# TYPE trefoilpick_requests_total counter",
        'trefoilpick_requests_total{team="a",route="r",result="good"} 4',
        r'trefoilpick_requests_total{team="a\"b\\c\nd",route="r",result="good"} 3',
        "# TYPE level gauge",
        "level 1234567.5",
    ]
    assert "# TYPE trefoilpick_request_microseconds summary" in lines
    assert lines[-2:] == [
        'trefoilpick_request_microseconds_sum{team="a",route="r"} 200',
        'trefoilpick_request_microseconds_count{team="a",route="r"} 2',
    ]


def test_closing_histograms_keeps_the_totals() -> None:
    metrics = Metrics()
    for value in (10, 20, 30_000_000, 1e12, -5):
        metrics.observe("lag_microseconds", value, vm="a")
        metrics.close_histograms()
    metrics.observe("lag_microseconds", 20, vm="b")
    assert metrics.get_histogram("lag_microseconds").get_total_count() == 6
    assert metrics.get_histogram("lag_microseconds", vm="b").get_total_count() == 1
    assert metrics.get_histogram("lag_microseconds").get_min_value() == 1


def test_number_of_series_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_SERIES", 3)
    metrics = Metrics()
    for index in range(5):
        metrics.count("calls_total", vm=str(index))
    metrics.observe("lag_microseconds", 5)
    metrics.count("calls_total", vm="0")
    assert metrics.get_count("calls_total") == 4
    assert metrics.counters[Series("trefoilpick_series_dropped_total")] == 3
