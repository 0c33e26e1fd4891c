"""Template of self-contained HTML pages."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

STYLE = """
:root { --ink: #1c2430; --soft: #5b6675; --page: #f6f7f9; --card: #ffffff; --rule: #dde2e8;
  --track: #e9edf2; --good: #2b8a5b; --warn: #c07a0a; --bad: #c2353b; --line: #2f6fb3; }
@media (prefers-color-scheme: dark) {
  :root { --ink: #e6eaf0; --soft: #9aa6b5; --page: #12161c; --card: #1b212a; --rule: #2c3541;
    --track: #28303b; --good: #4cb782; --warn: #e0a23c; --bad: #ea6a6f; --line: #6aa5e3; } }
* { box-sizing: border-box; }
body { margin: 0; padding: 32px 16px; background: var(--page); color: var(--ink);
  font: 15px/1.5 system-ui, "DejaVu Sans", sans-serif; }
main { max-width: 1080px; margin: 0 auto; }
h1 { margin: 0 0 4px; font-size: 26px; } h2 { margin: 0 0 12px; font-size: 18px; }
h3 { margin: 20px 0 4px; font-size: 15px; }
p { margin: 0 0 12px; color: var(--soft); }
section { margin: 20px 0; padding: 20px 24px; background: var(--card); border-radius: 10px;
  border: 1px solid var(--rule); overflow-x: auto; }
.tiles { display: grid; grid-template-columns: repeat(auto-fit, minmax(200px, 1fr)); gap: 16px; }
.tile { padding: 16px 20px; background: var(--card); border: 1px solid var(--rule);
  border-radius: 10px; }
.tile b { display: block; font-size: 24px; } .tile span { color: var(--soft); font-size: 13px; }
table { width: 100%; border-collapse: collapse; font-size: 13px;
  font-variant-numeric: tabular-nums; }
th { color: var(--soft); font-weight: 600; text-align: right; vertical-align: bottom; }
td { text-align: right; white-space: nowrap; }
th, td { padding: 6px 8px; border-bottom: 1px solid var(--rule); }
th.text, td.text { text-align: left; } td.wide { text-align: left; white-space: normal; }
b.good, td.good { color: var(--good); } b.warn, td.warn { color: var(--warn); }
b.bad, td.bad { color: var(--bad); }
svg { display: block; width: 100%; height: auto; }
svg text { fill: var(--ink); font-size: 12.5px; } svg .tick { fill: var(--soft); font-size: 11px; }
svg .track { fill: var(--track); } svg rect.good { fill: var(--good); }
svg rect.warn { fill: var(--warn); } svg rect.bad { fill: var(--bad); }
svg .value { font-weight: 600; } svg .value.bad { fill: var(--bad); }
svg .grid { stroke: var(--rule); stroke-width: 1; fill: none; }
svg .line { stroke: var(--line); stroke-width: 2; fill: none; stroke-linejoin: round; }
svg .dot { fill: var(--line); }
svg .bound { stroke: var(--bad); stroke-width: 1.5; stroke-dasharray: 5 4; fill: none; }
svg .note { fill: var(--bad); font-size: 11px; }
"""
"""Style sheet of all pages."""


def frame_page(title: str, parts: Iterable[str]) -> Iterator[str]:
    """Yield a complete HTML page with the given content.

    Args:
        title: Title of the page, as unescaped text.
        parts: Content of the page, as HTML.
    """
    yield '<!DOCTYPE html>\n<html lang="en">\n<head><meta charset="utf-8">'
    yield '<meta name="viewport" content="width=device-width, initial-scale=1">'
    yield f"<title>{escape(title)}</title><style>{STYLE}</style></head>\n<body><main>"
    yield from parts
    yield "</main></body>\n</html>\n"
