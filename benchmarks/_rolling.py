"""Calls through the caller library during a rolling replacement; prints the result of each.

Run as `python -m benchmarks._rolling ADDRESS...`; it stops at the first line on stdin.
"""

from __future__ import annotations

import json
import random
import sys
import threading

import curio

from benchmarks._worker import BODY
from trefoilpick.client import Caller
from trefoilpick.errors import TrefoilpickError, find_answer

CALLERS = 12
"""Number of concurrent callers."""

PAUSE_S = 0.02
"""Mean pause between two calls of a caller, in seconds."""

HOST = "quillqa.example"
"""Host header of all calls."""


async def run_caller(
    number: int, addresses: list[str], ends: dict[str, str], stop: threading.Event
) -> None:
    """Make calls until stopped; every second call is not idempotent and must run at most once.

    Args:
        number: Number of the caller, also the seed of its random choices.
        addresses: Addresses of the nodes; the caller shuffles them.
        ends: Results by request id, to which this caller adds its own.
        stop: Event that stops the caller.
    """
    rng = random.Random(number)
    rng.shuffle(addresses)
    caller = Caller(addresses, rng=rng)
    call_count = 0
    while not stop.is_set():
        call_count += 1
        is_once = call_count % 2 == 0
        name = f"{'once' if is_once else 'often'}-{number}-{call_count}"
        method, path = ("POST", "/plain/advance") if is_once else ("GET", "/plain/status")
        try:
            answer = await caller.request(
                method, HOST, path, headers=[("x-request-id", name)], idempotent=not is_once
            )
            ends[name] = "answered" if answer.status == 200 and answer.body == BODY else "cut"
        except TrefoilpickError as error:
            ends[name] = f"{find_answer(error).outcome.value} {error.kind.value}"
        await curio.sleep(rng.uniform(0, 2 * PAUSE_S))
    await caller.close()


async def run(addresses: list[str], stop: threading.Event) -> dict[str, str]:
    """Run all callers until stopped and return the results by request id."""
    ends: dict[str, str] = {}
    async with curio.TaskGroup() as tasks:
        for number in range(CALLERS):
            await tasks.spawn(run_caller, number, list(addresses), ends, stop)
    return ends


def main() -> None:
    stop = threading.Event()

    def wait_for_stop() -> None:
        sys.stdin.readline()
        stop.set()

    threading.Thread(target=wait_for_stop, daemon=True).start()
    print(json.dumps(curio.run(run, sys.argv[1:], stop)))


if __name__ == "__main__":
    main()
