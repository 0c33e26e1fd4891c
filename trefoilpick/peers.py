"""Last known state of each peer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.messages import NO_VERSION, StatusAnswer, WireVersion, unpack_version
from trefoilpick.status import PeerStatus, Standing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.manifest import VersionId
    from trefoilpick.membership import MembershipTable
    from trefoilpick.vms import Vm


@dataclass(frozen=True)
class PeerState:
    """State that a peer last reported.

    Attributes:
        held: Newest version that it holds.
        enforced: Version that it enforces.
        vms_revision: Revision of its list of VMs.
        received_s: Time of the report, by the monotonic clock, in seconds.
    """

    held: WireVersion
    enforced: WireVersion
    vms_revision: int
    received_s: float


class PeerTable:
    """Last reported state of each peer.

    Args:
        membership: The VMs of the fleet; states of removed VMs are dropped.
    """

    def __init__(self, membership: MembershipTable) -> None:
        self._membership = membership
        self._states: dict[str, PeerState] = {}

    def record_state(
        self, name: str, held: WireVersion, enforced: WireVersion, vms_revision: int
    ) -> None:
        """Record the state that a peer reported."""
        self._states[name] = PeerState(held, enforced, vms_revision, read_clock())

    def record_announcement(self, name: str, held: WireVersion, vms_revision: int) -> None:
        """Record what a peer holds, and keep the enforced version that it last reported."""
        known = self._states.get(name)
        enforced = NO_VERSION if known is None else known.enforced
        self.record_state(name, held, enforced, vms_revision)

    def is_known_to_hold(self, name: str, held: WireVersion, vms_revision: int) -> bool:
        """Return whether a peer is known to hold a version and at least a revision of the list."""
        known = self._states.get(name)
        return known is not None and known.held == held and known.vms_revision >= vms_revision

    def drop_removed(self) -> None:
        """Drop the states of VMs that are no longer in the fleet."""
        names = {vm.name for vm in self._membership.list_vms()}
        for name in self._states.keys() - names:
            del self._states[name]

    def list_peers(self, newest: VersionId | None) -> Iterator[PeerStatus]:
        """Yield the status of the peers with a known state, by name.

        Args:
            newest: The newest known version, which decides whether a peer is up to date.
        """
        now = read_clock()
        for name, state in sorted(self._states.items()):
            vm = self._membership.find_vm(name)
            if vm is None:
                continue
            enforced = unpack_version(state.enforced)
            standing = classify_standing(enforced, newest)
            if self._membership.is_dead(name):
                standing = Standing.UNREACHABLE
            yield build_peer_status(vm, standing, enforced, age_s=now - state.received_s)


def classify_standing(
    enforced: VersionId | None, newest: VersionId | None, *, has_refused: bool = False
) -> Standing:
    """Return whether a node is up to date with the newest known version, lags or refuses it."""
    if enforced is not None and (newest is None or enforced >= newest):
        return Standing.UP_TO_DATE
    return Standing.REFUSING if has_refused else Standing.LAGGING


def build_peer_status(
    vm: Vm,
    standing: Standing,
    enforced: VersionId | None = None,
    *,
    age_s: float | None = None,
    reason: str = "",
) -> PeerStatus:
    """Build a peer's status."""
    return PeerStatus(
        vm=vm.name,
        data_centre=vm.data_centre,
        service=vm.service,
        standing=standing,
        number=enforced.number if enforced else None,
        digest=enforced.digest if enforced else None,
        age_s=age_s,
        reason=reason,
    )


def convert_status_answer(vm: Vm, answer: StatusAnswer, newest: VersionId | None) -> PeerStatus:
    """Return a peer's status from its answer to a `StatusRequest`."""
    enforced = unpack_version(answer.enforced)
    standing = classify_standing(enforced, newest, has_refused=bool(answer.refused))
    reason = answer.refused or ("version not confirmed" if answer.unconfirmed else "")
    return build_peer_status(vm, standing, enforced, age_s=0.0, reason=reason)
