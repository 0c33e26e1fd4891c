"""Revisions of the list of VMs: integers that also contain the era of the source.

When the source is restored from an older copy, its revisions go back and are assigned again; its
era rises by one. A composed revision is ordered by era first.
"""

from __future__ import annotations

REVISION_BITS = 40
"""Bits of a composed revision that hold the source's own revision."""

MAX_REVISION = 2**REVISION_BITS - 1
"""Largest revision of the source that can be composed."""

MAX_ERA = 2**21 - 1
"""Largest era that can be composed."""


def compose_revision(era: int, revision: int) -> int:
    """Return the revision that orders a list by the source's era and then by its revision."""
    return min(era, MAX_ERA) << REVISION_BITS | min(revision, MAX_REVISION)


def get_era(revision: int) -> int:
    """Return the era of a composed revision."""
    return revision >> REVISION_BITS


def format_revision(revision: int) -> str:
    """Return a composed revision as "era:revision", or only the revision in the first era."""
    era = get_era(revision)
    source_revision = str(revision & MAX_REVISION)
    return f"{era}:{source_revision}" if era else source_revision
