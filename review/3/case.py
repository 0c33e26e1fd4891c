"""An entry of another writer has an address that can't be read; then the configuration changes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import Client, make_configuration, make_route, play  # noqa: E402

APPLY_S = 2.0  # config-apply
WATCHED_S = 8.0
FOREIGN = {
    "service": "encargos", "address": "127.0.0.1\n:8080", "zone": "lima-a", "version": "v1",
    "slots": 9, "state": "ready", "cold-remaining": 0, "sequence": 1, "born": 1700000000000,
}


def make_version(number, service):
    route = make_route("r-advance", "/advance/", service, "non_idempotent", aim=500)
    return make_configuration(number, [route], ["encargos", "portafolio"])


async def case(fleet, is_disturbed):
    zones = ["lima-a", "lima-a", "lima-b", "lima-b", "lima-c", "lima-a", "lima-a", "lima-b", "lima-b", "lima-c"]
    fleet.lay_out(["portafolio"] * 5 + ["encargos"] * 5, zones, slots=9, work_s=0.1)
    await fleet.start(make_version(3, "encargos"))
    clients = [Client(fleet, machine) for machine in fleet.machines]
    if is_disturbed:
        await fleet.store.put("servers/other-writer", FOREIGN)
        fleet.record.write(f"store: another writer's entry {FOREIGN}")
    await asyncio.sleep(4.0)
    acknowledged = await fleet.store.put("op/config", make_version(5, "portafolio"))
    fleet.record.write("store: version 5, which moves the route to portafolio, acknowledged")
    sent = []
    for _ in range(int(WATCHED_S / 0.25)):
        for client in clients:
            job = client.send("/advance/1", method="POST", body=b"x" * 300, limit_ms=2500)
            sent.append(asyncio.ensure_future(job))
        await asyncio.sleep(0.25)
    await asyncio.gather(*sent)
    ran_by = {
        attempt: worker.service
        for worker in fleet.workers
        for _, event, attempt in worker.log
        if event == "run"
    }
    breaches = []
    for client in clients:
        late = [
            one.sent - acknowledged
            for attempt, one in client.answers.items()
            if one.sent > acknowledged + APPLY_S and ran_by.get(attempt) == "encargos"
        ]
        if late:
            breaches.append(
                f"CONFIG: {len(late)} requests sent on {client.machine.name} {min(late):.1f} to "
                f"{max(late):.1f} s after the ack of version 5 ran at encargos, as only version 3 "
                f"allows"
            )
    return breaches


play(str(Path(__file__).parent), case)
