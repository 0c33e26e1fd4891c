"""Reasons for which a worker gets no request."""

from __future__ import annotations

from dataclasses import replace

import pytest

from trefoilpick.eligibility import Exclusion, find_exclusion
from trefoilpick.vms import Vm, VmState

LIVE = Vm("vm-a", "north", "dc-a", "read", "127.0.0.1", 8082, 8081)


# Guards against an available worker being left idle, also one that the platform does not list.
@pytest.mark.parametrize("vm", [LIVE, None], ids=["listed", "not listed"])
def test_available_worker_is_not_excluded(vm: Vm | None) -> None:
    assert find_exclusion(vm) is None


# Guards against a request to a worker that must not get it, and against a wrong reason shown to the
# operator. The worker matches all later reasons as well, which checks the order of the reasons.
@pytest.mark.parametrize(
    ("expected", "changes"),
    [
        (Exclusion.EVACUATED, {"state": VmState.LEAVING, "evacuated": True}),
        (Exclusion.LEAVING, {"state": VmState.LEAVING}),
        (Exclusion.UNREACHABLE, {}),
    ],
)
def test_first_reason_excludes(expected: Exclusion, changes: dict[str, object]) -> None:
    vm = replace(LIVE, **changes)
    excluded = find_exclusion(
        vm, is_unreachable=True, rate_wait_s=0.1, is_ejected=True, has_refused=True
    )
    assert excluded is expected


# Guards against a worker that states that it is leaving, or is ejected, being chosen.
def test_observed_reasons_exclude() -> None:
    assert find_exclusion(LIVE, is_leaving=True, is_ejected=True) is Exclusion.LEAVING
    assert find_exclusion(LIVE, rate_wait_s=0.1, is_ejected=True) is Exclusion.RATE_LIMITED
    assert find_exclusion(LIVE, is_ejected=True, has_refused=True) is Exclusion.EJECTED
    assert find_exclusion(LIVE, has_refused=True) is Exclusion.REFUSED
