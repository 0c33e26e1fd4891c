"""The demo's callers: editors and art directors at work throughout."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._calls import CallPlan, CallRecorder

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from trefoilpick._ledger import Call

HOST = "quillqa.example"
"""Host header of all calls."""

PAUSE_S = 0.02
"""Mean pause between two calls of one caller, in seconds."""

SPREAD_BYTES = 300_000
"""Size of an uploaded spread, in bytes."""

DEADLINE_S = 20.0
"""Time that a caller gives to one call, in seconds."""

PLANS = (
    CallPlan("GET", HOST, "/sketches/17", True, 0),
    CallPlan("GET", HOST, "/sketches/23", True, 0),
    CallPlan("GET", HOST, "/archive/1998", True, 0),
    CallPlan("POST", HOST, "/advances", False, 64),
    CallPlan("PUT", HOST, "/spreads/9", True, SPREAD_BYTES),
)
"""The mix of calls, each as likely as any other."""


class DemoCaller:
    """One caller that makes calls until told to stop.

    Args:
        name: Identity of the caller.
        addresses: Addresses of nodes, as "ip:port", the preferred first.
        chance: Source of its choices.
    """

    def __init__(self, name: str, addresses: Sequence[str], *, chance: random.Random) -> None:
        self._recorder = CallRecorder(name, addresses, chance)
        self._chance = chance
        self._stopping = False

    @property
    def calls(self) -> list[Call]:
        """Calls that ended."""
        return self._recorder.calls

    def request_stop(self) -> None:
        """End after the call that is under way."""
        self._stopping = True

    async def run(self) -> None:
        """Make calls until `request_stop`."""
        while not self._stopping:
            plan = self._chance.choice(PLANS)
            await self._recorder.make_call(plan, len(self.calls), DEADLINE_S)
            await curio.sleep(self._chance.uniform(0, 2 * PAUSE_S))
        await self._recorder.close()
