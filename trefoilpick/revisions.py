"""Revisions that also contain the era of the source, to order its lists and versions.

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
    """Return the revision that orders a value by the source's era and then by its revision."""
    return min(era, MAX_ERA) << REVISION_BITS | min(revision, MAX_REVISION)


def get_era(revision: int) -> int:
    """Return the era of a composed revision."""
    return revision >> REVISION_BITS


def get_source_revision(revision: int) -> int:
    """Return the source's own revision in a composed revision."""
    return revision & MAX_REVISION


def is_restored_copy(revision: int, *, original: int) -> bool:
    """Return whether a value was restored from a copy, rather than written again.

    Args:
        revision: Composed revision at which the source shows the value.
        original: Composed revision at which it showed the same value before.
    """
    is_later_era = get_era(revision) > get_era(original)
    return is_later_era and get_source_revision(revision) == get_source_revision(original)


def format_revision(revision: int) -> str:
    """Return a composed revision as "era:revision", or only the revision in the first era."""
    era = get_era(revision)
    source_revision = str(get_source_revision(revision))
    return f"{era}:{source_revision}" if era else source_revision
