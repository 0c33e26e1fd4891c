"""Requests that a node's worker answered recently, and that thus do not end it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpick.fingerprints import Fingerprint

RECENT_S = 1.0
"""Age up to which an answer counts, in seconds: a request that begins to end workers, for example
after a change of their data, must be noticed soon."""

MAX_ANSWERS = 1_024
"""Largest number of requests that are remembered."""


class RecentAnswers:
    """Times of the worker's newest answers by request."""

    def __init__(self) -> None:
        self._answered_s: OrderedDict[Fingerprint, float] = OrderedDict()

    def record(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record that the worker answered a request."""
        self._answered_s[fingerprint] = now_s
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > MAX_ANSWERS:
            self._answered_s.popitem(last=False)

    def has_answered(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether the worker answered a request recently."""
        return self._answered_s.get(fingerprint, float("-inf")) >= now_s - RECENT_S
