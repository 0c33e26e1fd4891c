"""Requests that end every worker that begins to run them, behind live nodes of the platform."""

from __future__ import annotations

import curio
import pytest
from fakes_ending_workers import (
    STATUS_OK,
    STATUS_REFUSED,
    Call,
    EndingFleet,
    run_ending_fleet,
)

from trefoilpick._clock import read_clock

CONTACT_S = 3.0
"""Time after which nodes in touch must know a fact, in seconds."""
MAX_ARRIVALS = 3
"""Arrivals of a request at workers that are allowed later than `CONTACT_S` after it ended the
third."""
RECOVERY_S = 6.0
"""Time after the third end from which proper requests must be served, in seconds."""
DURATION_S = 14.0
STATUS_UNKNOWN = 502
"""Status of an answer that doesn't say whether the request ran."""

POISON_BODY = b"ends workers"
POISONS = {
    "idempotent": Call("/read/poison?page=1"),
    "non_idempotent": Call("/upload/poison", POISON_BODY),
    "chunked": Call("/upload/poison", POISON_BODY, is_chunked=True),
    "chunked with pauses": Call("/upload/poison", POISON_BODY, is_chunked=True, pause_s=0.005),
}


def is_poison(target: str, headers: dict[bytes, bytes], body: bytes) -> bool:
    """Return whether a request ends a worker: by its path, body and caller together."""
    return "poison" in target and b"authorization" not in headers and body in (b"", POISON_BODY)


# Guards against a request that ends every worker that runs it being sent to one worker after the
# other, and against turning away others that resemble it.
@pytest.mark.parametrize("kind", POISONS)
def test_request_that_ends_workers_soon_reaches_no_more_of_them(kind: str) -> None:
    poison = POISONS[kind]

    async def test(fleet: EndingFleet) -> None:
        until_s = read_clock() + DURATION_S
        calls = {
            "ordinary": Call("/read/ordinary"),
            "same path, another caller": Call(poison.target, poison.body, user="someone else"),
            "same path, another body": Call(poison.target, b"harmless"),
        }
        tasks = [await curio.spawn(fleet.repeat, "poison", poison, 0.5, until_s, 1)]
        tasks += [
            await curio.spawn(fleet.repeat, name, call, 0.1 + 0.2 * index, until_s)
            for index, (name, call) in enumerate(calls.items())
        ]
        for task in tasks:
            await task.join()
        await curio.sleep(1.0)
        third_s = fleet.ends[2]
        late = [at_s for at_s in fleet.lethal_arrivals if at_s > third_s + CONTACT_S]
        assert len(late) <= MAX_ARRIVALS, f"{len(fleet.ends)} workers ended"
        for name, call in calls.items():
            results = fleet.list_results(name, since_s=third_s + RECOVERY_S)
            cut = [r for r in results if call.body is not None and r.request_id in fleet.cut]
            # A trial ends its worker, and with it a request beside it that may run only once.
            assert len(cut) <= len(late) and all(r.status == STATUS_UNKNOWN for r in cut)
            served = sum(r.status == STATUS_OK for r in results)
            others = len(results) - len(cut)
            assert served >= 0.98 * others, f"{name}: {served} of {others}"
        refused = fleet.list_statuses("poison", since_s=third_s + RECOVERY_S)
        assert set(refused) <= {STATUS_UNKNOWN, STATUS_REFUSED}

    run_ending_fleet(test, is_poison, subnet=70 + list(POISONS).index(kind), nodes=5)


# A popular request runs on many of the workers that end by chance, and must not be blamed for it.
def test_popular_request_is_served_while_workers_end_by_chance() -> None:
    async def test(fleet: EndingFleet) -> None:
        until_s = read_clock() + DURATION_S
        popular = Call("/read/popular")
        tasks = [
            await curio.spawn(fleet.repeat, "popular", popular, 0.25, until_s, 1),
            await curio.spawn(fleet.repeat, "ordinary", Call("/upload/x", b"x"), 0.1, until_s),
        ]
        for number in range(8):
            await curio.sleep(1.1)
            await fleet.workers[number % len(fleet.workers)].end()
        for task in tasks:
            await task.join()
        await curio.sleep(1.0)
        last_s = fleet.ends[-1]
        for name in ("popular", "ordinary"):
            statuses = fleet.list_statuses(name, since_s=last_s + CONTACT_S)
            assert set(statuses) == {STATUS_OK}
        assert all(node.distributor.quarantine.gate.is_open for node in fleet.nodes)

    run_ending_fleet(test, lambda *_: False, subnet=69, nodes=5)
