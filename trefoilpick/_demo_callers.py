"""Callers of the demo, which make requests during all of its steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._call_recorder import CallPlan, CallRecorder

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from trefoilpick._call_totals import Call

HOST = "quillqa.example"
"""Host header of all requests."""

PAUSE_S = 0.02
"""Mean pause between two requests of one caller, in seconds."""

SPREAD_BYTES = 300_000
"""Size of an uploaded spread, in bytes."""

DEADLINE_S = 20.0
"""Deadline of a request with all its attempts, in seconds."""

CALL_PLANS = (
    CallPlan("GET", HOST, "/sketches/17", True, 0),
    CallPlan("GET", HOST, "/sketches/23", True, 0),
    CallPlan("GET", HOST, "/archive/1998", True, 0),
    CallPlan("POST", HOST, "/advances", False, 64),
    CallPlan("PUT", HOST, "/spreads/9", True, SPREAD_BYTES),
)
"""Request types, which are chosen with equal probability."""


class DemoCaller:
    """Caller that makes requests until `request_stop` is called.

    Args:
        name: Identity of the caller.
        addresses: Addresses of nodes, as "ip:port", in order of preference.
        rng: Random number generator for the choice of requests and pauses.
    """

    def __init__(self, name: str, addresses: Sequence[str], *, rng: random.Random) -> None:
        self._recorder = CallRecorder(name, addresses, rng)
        self._rng = rng
        self._is_stopping = False

    @property
    def calls(self) -> list[Call]:
        """Completed calls."""
        return self._recorder.calls

    def request_stop(self) -> None:
        """Stop after the call in flight."""
        self._is_stopping = True

    async def run(self) -> None:
        """Make calls until `request_stop`."""
        while not self._is_stopping:
            plan = self._rng.choice(CALL_PLANS)
            await self._recorder.make_call(plan, len(self.calls), DEADLINE_S)
            await curio.sleep(self._rng.uniform(0, 2 * PAUSE_S))
        await self._recorder.close()
