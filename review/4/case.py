"""An entry of another writer holds a number that is no worker's; then a worker drains and leaves."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import Client, make_configuration, make_route, play  # noqa: E402

DRAIN_S = 2.0
STAYS_S = 4.0  # `drain` "and a little longer (at times many seconds)"
FOREIGN = {
    "service": "encargos", "address": "127.0.0.1:9", "zone": "lima-a", "version": "v1",
    "slots": 10**20, "state": "ready", "cold-remaining": 0, "sequence": 1, "born": 1700000000000,
}


async def case(fleet, is_disturbed):
    services = ["encargos", "portafolio"] * 9
    fleet.lay_out(services, ["lima-a", "lima-b", "lima-c"] * 6, slots=9, work_s=0.16)
    route = make_route("r-advance", "/advance/", "encargos", "non_idempotent", aim=500)
    await fleet.start(make_configuration(3, [route], ["encargos", "portafolio"]))
    clients = [Client(fleet, machine) for machine in fleet.machines]
    leaving = [fleet.workers[number] for number in (0, 4, 2, 6, 10)]
    if is_disturbed:
        await fleet.store.put("servers/other-writer", FOREIGN)
        fleet.record.write(f"store: another writer's entry {FOREIGN}")
    await asyncio.sleep(4.0)

    # The workers drain: they report so, serve on for `drain` and a little longer, and end.
    acknowledged = {}
    for worker in leaving:
        acknowledged[worker.identity] = await fleet.store.put(worker.key, worker.entry("draining"))
        fleet.record.write(f"store: {worker.identity} is draining, acknowledged")
    async def end_workers():
        await asyncio.sleep(STAYS_S)
        for worker in leaving:
            await worker.end()
            await fleet.store.delete(worker.key)
            fleet.record.write(f"worker {worker.identity} has ended, its entry is removed")

    ending = asyncio.ensure_future(end_workers())
    sent = []
    for _ in range(30):
        for client in clients:
            job = client.send("/advance/1", method="POST", body=b"x" * 300, limit_ms=2500)
            sent.append(asyncio.ensure_future(job))
            await asyncio.sleep(0.2 / len(clients))
    await ending
    answers = await asyncio.gather(*sent)
    fleet.record.write(f"answers: {sorted(answer.status for answer in answers)}")
    statuses = {key: one.status for client in clients for key, one in client.answers.items()}
    breaches = []
    for worker in leaving:
        since = acknowledged[worker.identity]
        late = [
            (at - since, attempt)
            for at, event, attempt in worker.log
            if event == "arrive" and at > since + DRAIN_S
        ]
        if late:
            lost = [attempt for _, attempt in late if statuses[attempt] != 200]
            breaches.append(
                f"DRAIN: {len(late)} requests reached {worker.identity} later than {DRAIN_S} s "
                f"after the store acknowledged that it is draining, the last one "
                f"{late[-1][0]:.3f} s after it; {len(lost)} of them got no answer of the worker"
            )
    return breaches


play(str(Path(__file__).parent), case)
