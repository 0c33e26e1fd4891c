"""Deterministic orders of VMs that every node computes from names alone."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpick.vms import Vm


MAX_HASHES = 16_384
"""Size of the cache of hashes."""


def rank_vms(vms: Iterable[Vm], key: str) -> tuple[Vm, ...]:
    """Order VMs by rendezvous hash, so that removing one leaves the order of the others unchanged.

    Args:
        vms: The VMs, in any order.
        key: Key of the order, such as the name of a data centre.
    """
    return tuple(sorted(vms, key=lambda vm: (_hash_text(f"{key}/{vm.name}"), vm.name)))


def order_names(names: Iterable[str]) -> tuple[str, ...]:
    """Order names on a ring by hash."""
    return tuple(sorted(set(names), key=lambda name: (_hash_text(name), name)))


def list_fingers(ring: tuple[str, ...], own: str) -> tuple[str, ...]:
    """Return the names at distances 1, 2, 4, 8 … after a name on a ring."""
    if own not in ring:
        return ()
    start = ring.index(own)
    distances = (2**power for power in range(len(ring).bit_length()) if 2**power < len(ring))
    return tuple(ring[(start + distance) % len(ring)] for distance in distances)


@lru_cache(maxsize=MAX_HASHES)
def _hash_text(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
