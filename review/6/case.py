"""A node that is stopped while pipelined answers wait for a slow one."""

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
MACHINES = (
    ("lima-a", "portafolio"),
    ("lima-a", "encargos"),
    ("lima-b", "encargos"),
    ("lima-c", "encargos"),
    ("lima-b", "portafolio"),
)
ARCHIVE, PORTFOLIO = "/archivo/7", "/cartera/41"
BATCH = (ARCHIVE, *[PORTFOLIO] * 5)
TIME_LIMIT_MS = {ARCHIVE: 12_107, PORTFOLIO: 3_107}
ROUTE_TIMEOUT_MS = {"encargos": 6_000, "portafolio": 1_500}
AIM_MS = {"encargos": 2_259, "portafolio": 579}
WORK_S = {"encargos": 0.733, "portafolio": 0.178}
SLOW_FACTOR = 12.0
CONNECTIONS = 6
STOP_AFTER_S = 0.1


async def use_connection(record: Record, number: int, host: str, port: int) -> tuple[int, int]:
    """Send several requests at once; return the number of answers, and of those of another one."""
    reader, writer = await asyncio.open_connection(host, port)
    batch = [(path, make_identity()) for path in BATCH]
    due = ""
    answers = foreign = 0
    try:
        for path, identity in batch:
            record.write(f"connection {number} sends {identity}: {path}")
            writer.write(encode_request("GET", path, identity, TIME_LIMIT_MS[path]))
        await writer.drain()
        end_s = time.monotonic() + TIME_LIMIT_MS[ARCHIVE] / 1000
        for path, due in batch:
            head = await asyncio.wait_for(read_head(reader), end_s - time.monotonic())
            if head is None:
                record.write(f"connection {number} is closed while {due} ({path}) is due")
                break
            status = head[0].split(" ")[1]
            body = (await read_body(reader, head[1])).decode()
            named = head[1].get("x-trefoilpick-attempt-id", "")
            answers += 1
            is_success = status.startswith("2")
            if named not in ("", due) or (is_success and f" ran {due} " not in body):
                foreign += 1
                record.write(
                    f"connection {number}: {due} ({path}) is due, but the client gets {status} of"
                    f" {named}: {body.splitlines()[0] if body else ''}"
                )
            else:
                record.write(f"connection {number}: {due} ({path}) is answered {status}")
    except asyncio.TimeoutError:
        record.write(f"connection {number}: time limit while {due} is due")
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write(f"connection {number} breaks while {due} is due: {error!r}")
    finally:
        writer.close()
    return answers, foreign


async def scenario(record: Record) -> bool:
    fleet = Fleet(record, zones=ZONES, bounds={**QUILLQA_BOUNDS, "ack": 5000, "drain": 2500})
    store = Store()
    workers: list[Worker] = []
    try:
        await store.start(fleet.host(200), fleet.store_port)
        routes = [
            make_route(
                f"r-{service}",
                prefix,
                service,
                "idempotent",
                timeout=ROUTE_TIMEOUT_MS[service],
                **{"target-latency": AIM_MS[service]},
            )
            for service, prefix in (("encargos", "/archivo/"), ("portafolio", "/cartera/"))
        ]
        store.put("op/config", make_configuration(3, routes, list(AIM_MS)))
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
                work_s=WORK_S[service],
            )
            workers.append(worker)
            await worker.start()
            await fleet.start_node(number, service, zone, store.address)
        await fleet.wait_until_ready([1, 2, 3, 4, 5])
        await asyncio.sleep(4.0)
        if TROUBLE:
            workers[1].work_s *= SLOW_FACTOR
            record.write(f"worker i-2 turns slow: {workers[1].work_s:.1f} s a request")
        clients = [
            asyncio.create_task(use_connection(record, number, fleet.host(1), fleet.outbound))
            for number in range(CONNECTIONS)
        ]
        await asyncio.sleep(STOP_AFTER_S)
        if TROUBLE:
            fleet.signal(1, signal.SIGTERM)
        results = await asyncio.gather(*clients)
    finally:
        await fleet.stop()
    answers, foreign = (sum(values) for values in zip(*results))
    record.write(f"answers: {answers}; answers that belong to another request: {foreign}")
    print(f"answers: {answers}; answers that belong to another request: {foreign}")
    return foreign == 0


run_case(FOLDER, scenario)
