import re
from html.parser import HTMLParser
from xml.etree import ElementTree

import pytest

from trefoilpick._burn_page import build_burn_page
from trefoilpick._plots import build_age_axis, build_axis
from trefoilpick.burn import build_burn_report
from trefoilpick.metrics import Metrics
from trefoilpick.reports import ContractObjective, NodeReport
from trefoilpick.windows import SeriesTable, open_window_history

VOID_TAGS = {"meta"}


class PageParser(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.open_tags: list[str] = []
        self.names: list[str] = []
        self.attributes: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.names.append(tag)
        self.attributes += [name for name, _ in attrs]
        if tag not in VOID_TAGS:
            self.open_tags.append(tag)

    def handle_endtag(self, tag: str) -> None:
        assert self.open_tags.pop() == tag

    def handle_startendtag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.names.append(tag)


def build_html(*, team: str = "arte") -> str:
    metrics = Metrics()
    windows = open_window_history(metrics, now_s=0.0)
    for step in range(1, 30):
        for result in ("good", "shed"):
            name = "trefoilpick_requests_total"
            metrics.count(name, step, team=team, route="sketches", result=result)
        metrics.observe("trefoilpick_convergence_microseconds", step * 400_000)
        metrics.count("trefoilpick_control_bytes_total", 90_000, direction="out")
        windows.advance(step * 60.0)
    contract = ContractObjective(team, "sketches", 0.999, 400)
    table = SeriesTable()
    read_windows = tuple(windows.read(1_800.0, table))
    series = tuple(table.list_series())
    report = NodeReport("w1", "lima-a", 1, 3, (contract,), 1_800.0, (), series, read_windows)
    return "".join(
        build_burn_page(build_burn_report([report], made_at="now", unreachable=["<w2>: gone"]))
    )


def test_page_is_well_formed_and_self_contained() -> None:
    text = build_html()
    parser = PageParser()
    parser.feed(text)
    assert parser.open_tags == []
    assert not {"script", "link", "img", "iframe"} & set(parser.names)
    assert not {"src", "href"} & set(parser.attributes)
    assert "url(" not in text and "@import" not in text
    plots = re.findall(r"<svg.*?</svg>", text, re.DOTALL)
    assert len(plots) == 4
    for plot in plots:
        ElementTree.fromstring(plot)


def test_names_of_the_document_are_escaped() -> None:
    text = build_html(team='<b>"x"&')
    assert "<b>" not in text.replace('<b class="', "")
    assert "&lt;b&gt;&quot;x&quot;&amp; / sketches" in text
    assert "&lt;w2&gt;: gone" in text


def test_empty_fleet_has_a_page() -> None:
    assert "0 of 0" in "".join(build_burn_page(build_burn_report([], made_at="now")))


@pytest.mark.parametrize("largest", [0.0, 0.003, 1.0, 7.0, 8_800.0, 1e9])
def test_axis_includes_its_largest_value(largest: float) -> None:
    axis = build_axis(largest)
    ticks = list(axis.list_ticks())
    assert axis.end >= largest and 3 <= len(ticks) <= 6
    assert build_age_axis(largest).end >= largest
