"""Time to check, decode and encode a document, and its encoded size.

Run with `python -m benchmarks.document`. The last line is one JSON object.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import asdict
from statistics import median
from typing import Annotated, Any

import json5
import typer

from trefoilpick.checks import SectionText, check_document, check_sections
from trefoilpick.document import Contract, Match, Objective, Priority, Route, Section, Upstream
from trefoilpick.sections import decode_section, encode_section

LARGE_ROUTES = 6_500
"""Number of routes with which a section is close to the platform's size limit."""


def main(
    sections: Annotated[int, typer.Option(help="Sections of the document.")] = 160,
    routes: Annotated[int, typer.Option(help="Routes of each section.")] = 10,
    repeats: Annotated[int, typer.Option(help="Runs of each step; the median is reported.")] = 5,
) -> None:
    """Measure the steps for one document."""
    document = tuple(build_section(index, sections, routes) for index in range(sections))
    texts = tuple(SectionText(section.team, format_section(section)) for section in document)
    encoded = [encode_section(section) for section in document]
    large = encode_section(Section("large", (), tuple(map(build_plain_route, range(LARGE_ROUTES)))))
    result = {
        "text_bytes": sum(len(text.text) for text in texts),
        "canonical_bytes": sum(map(len, encoded)),
        "large_section_bytes": len(large),
        "json5_one_section_ms": measure(lambda: json5.loads(texts[0].text), repeats),
        "check_document_ms": measure(lambda: check_document(texts), repeats),
        "check_sections_ms": measure(lambda: check_sections(document), repeats),
        "encode_all_ms": measure(lambda: list(map(encode_section, document)), repeats),
        "decode_all_ms": measure(lambda: list(map(decode_section, encoded)), repeats),
        "decode_one_ms": measure(lambda: decode_section(encoded[0]), repeats),
        "decode_large_ms": measure(lambda: decode_section(large), repeats),
    }
    for name, value in result.items():
        print(f"{name:24} {value:>12}")
    print(json.dumps(result))


def build_section(index: int, count: int, routes: int) -> Section:
    """Return a section with one upstream and with routes to the upstreams of many teams."""
    return Section(
        f"team{index:04}",
        (Upstream(f"service{index:04}", slots=20),),
        tuple(build_route(index, number, count) for number in range(routes)),
    )


def build_route(index: int, number: int, count: int) -> Route:
    """Return a route whose contract sets every field."""
    methods = ("GET", "HEAD") if number % 2 else ("POST",)
    contract = Contract(
        bool(number % 2), 2_000, Priority.INTERACTIVE, 2, 65_536, Objective(0.9995, 250)
    )
    match = Match(f"/team{index}/route{number}", methods, "mesh.example")
    return Route(f"route{number}", match, f"service{(index + number) % count:04}", contract)


def build_plain_route(number: int) -> Route:
    """Return a route with most fields at their defaults."""
    match = Match(f"/route{number}", ("GET",))
    return Route(f"route{number}", match, "service", Contract(True, 2_000))


def format_section(section: Section) -> str:
    """Return the text of a section, indented and with a comment, as a team would write it."""
    return (
        f"// Section of {section.team}.\n{json.dumps(asdict(section), indent=2, default=get_value)}"
    )


def get_value(value: Any) -> Any:
    """Return the JSON value of an enum member."""
    return value.value


def measure(step: Callable[[], object], repeats: int) -> float:
    """Return the median time of a step, in milliseconds."""
    times = []
    for _ in range(repeats):
        before = time.perf_counter()
        step()
        times.append(time.perf_counter() - before)
    return round(median(times) * 1000, 3)


if __name__ == "__main__":
    typer.run(main)
