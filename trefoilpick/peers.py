"""What a node was last told by each peer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpick._clock import read_clock
from trefoilpick.messages import NO_VERSION, StatusAnswer, WireVersion, unpack_version
from trefoilpick.status import PeerStatus, Standing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.manifest import VersionId
    from trefoilpick.roster import Roster
    from trefoilpick.vms import Vm


@dataclass(frozen=True)
class PeerState:
    """What a peer last told.

    Attributes:
        held: Newest version that it holds.
        enforced: Version that it enforces.
        vms_revision: Revision of its list of VMs.
        heard_s: When, by the kernel's clock.
    """

    held: WireVersion
    enforced: WireVersion
    vms_revision: int
    heard_s: float


class PeerTable:
    """The last state of each peer that was heard.

    Args:
        roster: The VMs of the fleet; states of others are dropped.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._states: dict[str, PeerState] = {}

    def note_state(
        self, name: str, held: WireVersion, enforced: WireVersion, vms_revision: int
    ) -> None:
        """Record a peer's state."""
        self._states[name] = PeerState(held, enforced, vms_revision, read_clock())

    def note_announcement(self, name: str, held: WireVersion, vms_revision: int) -> None:
        """Record what a peer holds; what it enforces stays as it was told."""
        known = self._states.get(name)
        enforced = NO_VERSION if known is None else known.enforced
        self.note_state(name, held, enforced, vms_revision)

    def has(self, name: str, held: WireVersion, vms_revision: int) -> bool:
        """Tell whether a peer told that it holds a version and a list."""
        known = self._states.get(name)
        return known is not None and known.held == held and known.vms_revision >= vms_revision

    def forget_gone(self) -> None:
        """Drop the states of VMs that left the fleet."""
        names = {vm.name for vm in self._roster.list_vms()}
        for name in self._states.keys() - names:
            del self._states[name]

    def list_peers(self, newest: VersionId | None) -> Iterator[PeerStatus]:
        """Yield the peers that were heard, by name.

        Args:
            newest: The newest version known, which peers are held against.
        """
        now = read_clock()
        for name, state in sorted(self._states.items()):
            vm = self._roster.find_vm(name)
            if vm is None:
                continue
            enforced = unpack_version(state.enforced)
            standing = judge_standing(enforced, newest)
            if self._roster.is_dead(name):
                standing = Standing.UNREACHABLE
            yield make_status(vm, standing, enforced, age_s=now - state.heard_s)


def judge_standing(
    enforced: VersionId | None, newest: VersionId | None, *, refused: bool = False
) -> Standing:
    """Return how a node stands against the newest version known."""
    if enforced is not None and (newest is None or enforced >= newest):
        return Standing.LEVEL
    return Standing.REFUSING if refused else Standing.LAGGING


def make_status(
    vm: Vm,
    standing: Standing,
    enforced: VersionId | None = None,
    *,
    age_s: float | None = None,
    reason: str = "",
) -> PeerStatus:
    """Return a peer's status."""
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


def read_answer(vm: Vm, answer: StatusAnswer, newest: VersionId | None) -> PeerStatus:
    """Return the status of a peer that told its state in full."""
    enforced = unpack_version(answer.enforced)
    standing = judge_standing(enforced, newest, refused=bool(answer.refused))
    reason = answer.refused or ("version not confirmed" if answer.unconfirmed else "")
    return make_status(vm, standing, enforced, age_s=0.0, reason=reason)
