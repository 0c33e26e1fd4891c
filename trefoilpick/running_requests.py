"""Requests that a node's worker runs now, by which nested calls are recognised."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REQUESTS = 4_096
"""Largest number of different request IDs that are remembered, more than any worker's slots."""

MAX_ID_CHARS = 256
"""Longest request ID that is remembered, in characters."""


class RunningRequests:
    """IDs of the requests that the worker runs now."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._counts)

    @contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        """Remember a request while the context is open.

        A request that is not remembered, because there are too many or its ID is too long or empty,
        runs all the same; calls for it have the order of new requests.
        """
        if not self._can_add(request_id):
            yield
            return
        self._counts[request_id] += 1
        try:
            yield
        finally:
            self._counts[request_id] -= 1
            if not self._counts[request_id]:
                del self._counts[request_id]

    def is_nested(self, request_id: str, separator: str) -> bool:
        """Return whether a call is made for a request that the worker runs now.

        Args:
            request_id: ID of the call; the part before the last separator is that of its parent.
            separator: Separator between the two parts; empty if IDs do not show nesting.
        """
        if not separator:
            return False
        return request_id.rpartition(separator)[0] in self._counts

    def _can_add(self, request_id: str) -> bool:
        if not request_id or len(request_id) > MAX_ID_CHARS:
            return False
        return request_id in self._counts or len(self._counts) < MAX_REQUESTS
