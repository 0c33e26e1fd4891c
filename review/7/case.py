"""Nodes that were restarted while another writer's entries named their addresses."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

from standins import (  # noqa: E402
    QUILLQA_BOUNDS,
    TROUBLE,
    Fleet,
    Record,
    Store,
    Worker,
    encode_request,
    make_configuration,
    make_identity,
    make_route,
    read_body,
    read_head,
    run_case,
)

ZONES = {"lima-a": "lima", "lima-b": "lima", "lima-c": "lima"}
MACHINES = (("lima-a", "portafolio"), ("lima-b", "portafolio"), ("lima-c", "encargos"))
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
TIME_LIMIT_MS = 2_500


async def ask(host: str, port: int, path: str) -> str:
    """Send one request; return its status."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(encode_request("GET", path, make_identity(), TIME_LIMIT_MS))
        head = await asyncio.wait_for(read_head(reader), TIME_LIMIT_MS / 1000)
        if head is None:
            return "closed"
        await read_body(reader, head[1])
        return head[0].split(" ")[1]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return "none"
    finally:
        writer.close()


def make_version(version: int, added: tuple[int, ...] = ()) -> dict:
    routes = [
        make_route("r-cartera", "/cartera/", "portafolio", "idempotent"),
        make_route("r-archivo", "/archivo/", "encargos", "idempotent"),
        *(make_route(f"r-{n}", f"/nueva-{n}/", "portafolio", "idempotent") for n in added),
    ]
    return make_configuration(version, routes, ["portafolio", "encargos"])


async def scenario(record: Record) -> bool:
    fleet = Fleet(record, zones=ZONES, bounds=QUILLQA_BOUNDS)
    store = Store()
    numbers = list(range(1, len(MACHINES) + 1))
    stale: list[str] = []
    try:
        await store.start(fleet.host(200), fleet.store_port)
        store.put("op/config", make_version(3))
        for number, (zone, service) in enumerate(MACHINES, 1):
            worker = Worker(
                record,
                store,
                identity=f"i-{number}",
                service=service,
                zone=zone,
                host=fleet.host(number),
                port=fleet.worker_port,
                slots=9,
                work_s=0.05,
            )
            await worker.start()
            await fleet.start_node(number, service, zone, store.address)
        await fleet.wait_until_ready(numbers)
        await asyncio.sleep(2.0)
        for number in numbers:
            status = await ask(fleet.host(number), fleet.outbound, "/cartera/1")
            record.write(f"node {number}: /cartera/1 {status}")
        if TROUBLE:
            for number in numbers:
                entry = {
                    "service": "agente",
                    "address": f"{fleet.host(number)}:9",
                    "zone": "otra",
                    "version": "v1",
                    "slots": 1,
                    "state": "ready",
                    "cold-remaining": 0,
                    "sequence": 1,
                    "born": int(time.time() * 1000),
                }
                store.put(f"servers/agente-{number}", entry)
            record.write("another writer's entries are in the store")
        await asyncio.sleep(2.0)
        for number, (zone, service) in enumerate(MACHINES, 1):
            fleet.signal(number, signal.SIGTERM)
            await asyncio.wait_for(fleet.processes[fleet.host(number)].wait(), 10.0)
            record.write(f"node {number} has ended")
            await fleet.start_node(number, service, zone, store.address)
            await fleet.wait_until_ready([number])
        if TROUBLE:
            for number in numbers:
                store.delete(f"servers/agente-{number}")
            record.write("the other writer's entries are gone again")
        await asyncio.sleep(2 * CONTACT_S)
        added: tuple[int, ...] = ()
        for version in (8, 13, 21):
            added = (*added, version)
            store.put("op/config", make_version(version, added))
            record.write(f"the store acknowledges version {version}: /nueva-{version}/ is added")
            await asyncio.sleep(2 * CONFIG_APPLY_S)
            for number in numbers:
                for path in (f"/nueva-{version}/1", "/cartera/1"):
                    status = await ask(fleet.host(number), fleet.outbound, path)
                    record.write(f"node {number}: {path} {status}")
                    if status == "404":
                        stale.append(f"node {number}, version {version}")
    finally:
        await fleet.stop()
    record.write(f"404 for a route that is there, {2 * CONFIG_APPLY_S:g} s after its ack: {stale}")
    print(f"404 for a route that is there: {len(stale)}")
    return not stale


run_case(FOLDER, scenario)
