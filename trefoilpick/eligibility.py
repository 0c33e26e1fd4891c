"""Whether a worker may get a request now, and if not, why."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from trefoilpick.vms import VmState

if TYPE_CHECKING:
    from trefoilpick.vms import Vm


class Exclusion(Enum):
    """Every reason for which a worker gets no request."""

    EVACUATED = "evacuated"
    """Its data centre is evacuated."""
    LEAVING = "leaving"
    """The worker or its node accepts no new work."""
    RATE_LIMITED = "rate_limited"
    """Its rate is used up: it states a limit, or it is cold."""
    UNREACHABLE = "unreachable"
    """Its node does not answer or refuses connections."""
    EJECTED = "ejected"
    """It failed too many requests."""
    REFUSED = "refused"
    """Its node recently refused a request as leaving. It is used if no other worker is left."""


def find_exclusion(
    vm: Vm | None,
    *,
    is_leaving: bool = False,
    is_unreachable: bool = False,
    rate_wait_s: float = 0.0,
    is_ejected: bool = False,
    has_refused: bool = False,
) -> Exclusion | None:
    """Return why a worker may not get a request; None if it may.

    Args:
        vm: The worker's VM as listed; None if it is not on the list.
        is_leaving: Whether the worker or its node stated that it is leaving.
        is_unreachable: Whether its node does not answer.
        rate_wait_s: Time until the worker's rate allows the next request, in seconds.
        is_ejected: Whether the worker is ejected.
        has_refused: Whether its node recently refused a request as leaving.
    """
    if vm is not None and vm.evacuated:
        return Exclusion.EVACUATED
    if is_leaving or (vm is not None and vm.state is VmState.LEAVING):
        return Exclusion.LEAVING
    if is_unreachable:
        return Exclusion.UNREACHABLE
    if rate_wait_s > 0:
        return Exclusion.RATE_LIMITED
    if is_ejected:
        return Exclusion.EJECTED
    return Exclusion.REFUSED if has_refused else None
