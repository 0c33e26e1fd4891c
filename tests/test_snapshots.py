"""What an enforced version says about its load."""

from __future__ import annotations

import pytest

from trefoilpick.document import Contract, Document, Match, Route, Section, Upstream
from trefoilpick.manifest import Manifest, VersionId
from trefoilpick.snapshots import build_snapshot

PLAIN = Contract(idempotent=True)
LARGE = Contract(idempotent=True, large_answers=True)


# Guards against the decisions for uneven load being made for a deployment that does not ask for
# them, or not being made for one that does.
@pytest.mark.parametrize(
    ("upstream", "contract", "expected"),
    [
        (Upstream("read"), PLAIN, False),
        (Upstream("read", cold_start_ms=3_000), PLAIN, False),
        (Upstream("read", cold_start_ms=3_000, cold_rate_per_s=3.15), PLAIN, True),
        (Upstream("read"), LARGE, True),
    ],
    ids=["plain", "no cold rate", "cold workers", "large answers"],
)
def test_uneven_load_is_what_the_document_declares(
    upstream: Upstream, contract: Contract, expected: bool
) -> None:
    route = Route("list", Match("/list", ("GET",)), "read", contract)
    section = Section("read", (upstream,), (route,))
    version = VersionId(1, "0" * 32)
    snapshot = build_snapshot(version, Manifest(1, 0, ()), Document((section,)))
    assert snapshot.has_uneven_load is expected
    assert snapshot.has_large_answers is contract.large_answers
