"""The platform's configuration service, as a node reads it.

The service holds values by key, each with a revision that grows by each change:
`manifest`, `sections/<digest>` (canonical JSON of one section) and `vms` (the list of VMs).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

MANIFEST_KEY = "manifest"
"""Key of the newest accepted manifest."""

VMS_KEY = "vms"
"""Key of the list of VMs."""


@dataclass(frozen=True)
class SourceValue:
    """A value of the configuration service.

    Attributes:
        data: The value's bytes.
        revision: The service's revision of the value.
    """

    data: bytes
    revision: int


class Source(Protocol):
    """Reads of the configuration service, each counted against its rate."""

    async def read_value(self, key: str) -> SourceValue:
        """Read a value now.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a revision after the given one.

        Returns:
            The value; None where the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """


def name_section_key(digest: str) -> str:
    """Return the key of the section with a digest."""
    return f"sections/{digest}"
