"""Chunked uploads of 160 kB; one worker of five turns away a part of its requests for a while."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "third"))

from fleet import Fleet, make_configuration, make_entry  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 5
RUN_S = 60.0
SHED_SHARE, SHED_S, PAUSE_S = 0.45, 6.5, 2.0
"""Share of its requests that the worker turns away, and for how long: as in the site file."""
CHUNK_BYTES = 1024
ROUTE = {
    "name": "r-up",
    "hostname": "ficu.example",
    "path-prefix": "/up/",
    "kind": "non_idempotent",
    "timeout": 1500,
    "target-latency": 1000,
    "priority": 0,
    "service": "ledger",
    "max-attempts": 2,
}


class Case:
    def __init__(self) -> None:
        self.fleet = Fleet(MACHINES, octet=62)
        self.store = Store()
        self.notes: list[tuple[float, str]] = []

    def note(self, text: str) -> None:
        self.notes.append((time.monotonic(), text))

    def get_share_path(self, index: int) -> Path:
        return self.fleet.folder / f"share-{index}.txt"

    async def shed(self) -> None:
        began = time.monotonic()
        index = 0
        while time.monotonic() - began < RUN_S - SHED_S:
            await asyncio.sleep(PAUSE_S)
            self.note(f"the worker on machine {index} turns away {SHED_SHARE:.0%} of its requests")
            self.get_share_path(index).write_text(str(SHED_SHARE))
            await asyncio.sleep(SHED_S)
            self.get_share_path(index).write_text("0")
            self.note(f"the worker on machine {index} takes all requests again")
            index = (index + 1) % MACHINES

    async def run(self) -> int:
        host = self.fleet.hosts[0]
        address = f"{host}:{await self.store.start(host)}"
        runs = self.fleet.folder / "runs.txt"
        runs.touch()
        self.store.put("op/config", make_configuration([ROUTE], ["ledger"]))
        for index in range(MACHINES):
            self.get_share_path(index).write_text("0")
            host, instance = self.fleet.hosts[index], f"i-{index}"
            words = [host, str(self.fleet.app), instance, str(runs), str(self.get_share_path(index))]
            self.fleet.start_worker(str(HERE / "worker.py"), *words)
            entry = make_entry(
                host, self.fleet.app, service="ledger", zone=self.fleet.zones[index]
            )
            self.store.put(f"servers/{instance}", entry)
            self.fleet.start_node(index, service="ledger", store=address)
        for index in range(MACHINES):
            await self.fleet.wait_until_ready(index)
        self.note(f"all nodes are ready; disruption: {TROUBLE}")
        clients = []
        for index in range(MACHINES):
            words = [self.fleet.hosts[index], str(self.fleet.outbound), str(RUN_S), str(CHUNK_BYTES)]
            output = (self.fleet.folder / f"client-{index}.txt").open("w")
            client = subprocess.Popen(
                [sys.executable, str(HERE / "client.py"), *words], stdout=output
            )
            self.fleet.processes.append(client)
            clients.append(client)
        shedding = asyncio.ensure_future(self.shed()) if TROUBLE else None
        while any(client.poll() is None for client in clients):
            await asyncio.sleep(0.2)
        if shedding is not None:
            await shedding
        return self.judge(runs)

    def judge(self, runs_path: Path) -> int:
        sent = {}
        for index in range(MACHINES):
            for line in (self.fleet.folder / f"client-{index}.txt").read_text().splitlines():
                request = json.loads(line)
                request["machine"] = index
                sent[request["attempt"]] = request
        runs = [json.loads(line) for line in runs_path.read_text().splitlines()]
        changed = []
        for run in runs:
            request = sent.get(run["attempt"])
            if request is None:
                continue
            facts = ("method", "target", "bytes", "digest")
            is_changed = any(run[fact] != request[fact] for fact in facts)
            if is_changed:
                changed.append(run)
            self.notes.append(
                (
                    request["at"],
                    f"machine {request['machine']}: {run['attempt']} sent with {request['bytes']} "
                    f"bytes {request['digest']}, run by {run['instance']} with {run['bytes']} bytes "
                    f"{run['digest']}, answered {request['status']} {request.get('answer', '')}"
                    + (": RUN WITH A CHANGED BODY" if is_changed else ""),
                )
            )
        statuses: dict[str, int] = {}
        for request in sent.values():
            statuses[str(request["status"])] = statuses.get(str(request["status"]), 0) + 1
        answered = sum(sent[run["attempt"]]["status"] == 200 for run in changed)
        self.note(
            f"uploads {len(sent)}, runs {len(runs)}, runs with a changed body {len(changed)}, "
            f"of which answered 200: {answered}; answers by status: {statuses}"
        )
        if len(runs) < 100:
            self.note("the case could not run: too few runs")
            return 2
        return 1 if changed else 0

    def write_record(self) -> None:
        began = min((at for at, _ in self.notes), default=0.0)
        lines = (f"{at - began:8.3f}  {text}\n" for at, text in sorted(self.notes))
        (HERE / "record.txt").write_text("".join(lines))


def main() -> int:
    case = Case()
    try:
        return asyncio.run(case.run())
    except Exception as error:  # the case could not run
        case.note(f"the case could not run: {error!r}")
        return 2
    finally:
        case.fleet.stop()
        case.write_record()


# Exits at once: the stand-in's connections need no orderly end.
os._exit(main())
