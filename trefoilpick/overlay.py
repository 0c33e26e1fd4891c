"""Overlays: which peers a node announces versions to and exchanges state with."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from trefoilpick.ranks import list_fingers, order_names, rank_vms

if TYPE_CHECKING:
    from random import Random

    from trefoilpick.vms import Vm


@dataclass(frozen=True)
class OverlayView:
    """A node's view of the fleet.

    Attributes:
        own: The node's own VM.
        alive: VMs that it considers alive, including its own.
        readers: Number of readers per data centre.
        small_fleet: Largest fleet in which every node reads.
        low_bandwidth: Names of VMs on low-bandwidth links; they rank behind all others.
    """

    own: Vm
    alive: tuple[Vm, ...]
    readers: int
    small_fleet: int = 0
    low_bandwidth: frozenset[str] = frozenset()

    @property
    def is_small(self) -> bool:
        """Whether the fleet is so small that every node reads the source regardless of its rank."""
        return len(self.alive) <= self.small_fleet


@dataclass(frozen=True)
class FingerOverlay:
    """Announcements flood along the fingers of a ring, as in Chord."""


@dataclass(frozen=True)
class TreeOverlay:
    """Announcements go to the children and the parent in a tree ordered by rank.

    Attributes:
        arity: Children per node.
    """

    arity: int = 4


@dataclass(frozen=True)
class GossipOverlay:
    """Announcements go to peers that are drawn at random for each version.

    Attributes:
        fanout: Number of peers.
    """

    fanout: int = 4


@dataclass(frozen=True)
class EveryNodeWatches:
    """Every node reads the source itself and announces nothing."""


Overlay = FingerOverlay | TreeOverlay | GossipOverlay | EveryNodeWatches
"""All types of overlays."""

OVERLAYS: dict[str, Overlay] = {
    "fingers": FingerOverlay(),
    "tree": TreeOverlay(),
    "gossip": GossipOverlay(),
    "every-node-watches": EveryNodeWatches(),
}
"""Overlays by their name in the settings."""


def list_local(view: OverlayView) -> tuple[Vm, ...]:
    """Return the VMs of the node's data centre by rank, including its own."""
    return list_in_data_centre(view, view.own.data_centre)


def list_in_data_centre(view: OverlayView, centre: str) -> tuple[Vm, ...]:
    """Return the VMs of a data centre by rank, those on low-bandwidth links last."""
    ranked = rank_vms((vm for vm in view.alive if vm.data_centre == centre), centre)
    return (
        tuple(sorted(ranked, key=lambda vm: vm.name in view.low_bandwidth))
        if view.low_bandwidth
        else ranked
    )


def find_rank(view: OverlayView) -> int:
    """Return the node's own rank in its data centre; the first reader has rank 0."""
    names = [vm.name for vm in list_local(view)]
    return names.index(view.own.name) if view.own.name in names else len(names)


@singledispatch
def is_regular_reader(overlay: Overlay, view: OverlayView, rank: int) -> bool:
    """Return whether a node of the given rank reads the source when no reader has failed."""
    return view.is_small or rank < view.readers


@is_regular_reader.register(EveryNodeWatches)
def _(overlay: EveryNodeWatches, view: OverlayView, rank: int) -> bool:
    return True


@singledispatch
def list_targets(overlay: Overlay, view: OverlayView, random: Random) -> tuple[Vm, ...]:
    """Return the peers that a node announces versions to and exchanges state with.

    Args:
        overlay: The overlay in use.
        view: The node's view of the fleet.
        random: Random number generator.
    """
    raise NotImplementedError(type(overlay).__name__)


@list_targets.register(FingerOverlay)
def _(overlay: FingerOverlay, view: OverlayView, random: Random) -> tuple[Vm, ...]:
    local = {vm.name: vm for vm in list_local(view)}
    ring = order_names(local)
    fingers = tuple(local[name] for name in list_fingers(ring, view.own.name))
    return fingers + list_remote(view)


@list_targets.register(TreeOverlay)
def _(overlay: TreeOverlay, view: OverlayView, random: Random) -> tuple[Vm, ...]:
    ranked = list_local(view)
    rank = find_rank(view)
    first = overlay.arity * rank + 1
    children = ranked[first : first + overlay.arity]
    parent = ranked[(rank - 1) // overlay.arity : (rank - 1) // overlay.arity + 1] if rank else ()
    return children + parent + list_remote(view)


@list_targets.register(GossipOverlay)
def _(overlay: GossipOverlay, view: OverlayView, random: Random) -> tuple[Vm, ...]:
    others = [vm for vm in view.alive if vm.name != view.own.name]
    return tuple(random.sample(others, min(overlay.fanout, len(others))))


@list_targets.register(EveryNodeWatches)
def _(overlay: EveryNodeWatches, view: OverlayView, random: Random) -> tuple[Vm, ...]:
    return ()


def list_remote(view: OverlayView) -> tuple[Vm, ...]:
    """Return the VMs of other data centres that a reader announces to.

    In the data centres at distances 1, 2, 4 … on the ring of data centres, these are the reader of
    the node's own rank and that reader's first substitute, since both readers of a data centre may
    have just failed.
    """
    rank = find_rank(view)
    if rank >= view.readers:
        return ()
    ring = order_names(vm.data_centre for vm in view.alive)
    remote: list[Vm] = []
    for centre in list_fingers(ring, view.own.data_centre):
        ranked = list_in_data_centre(view, centre)
        remote += ranked[rank :: view.readers][:2] or ranked[-1:]
    return tuple(remote)
