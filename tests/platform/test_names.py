"""Checks that names of the platform occur only in its package, in `deploy/` and in their tests."""

from pathlib import Path

import trefoilpick

ROOT = Path(trefoilpick.__file__).parents[1]

NAMES = (
    "kv-key",
    "kv-range",
    "kv-watch",
    "op/config",
    "servers/",
    "TREFOILPICK_SETTINGS",
    "readyz",
    "-attempt-id",
    "-expected-instance",
    "-not-executed",
    "-response-signature",
    "hostname",
    "path-prefix",
    "target-latency",
    "traffic-split",
    "cold-remaining",
    "store-revision",
    "store-era",
    "app-addr",
    "internal-port-range",
)


def test_platform_names_are_not_used_outside_the_platform_package() -> None:
    violations = [
        f"{path.relative_to(ROOT)}: {name}"
        for folder in ("trefoilpick", "benchmarks", "examples")
        for path in sorted((ROOT / folder).rglob("*.py"))
        if "platform" not in path.relative_to(ROOT).parts
        for name in NAMES
        if name in path.read_text(encoding="utf-8").lower()
    ]
    assert not violations
