"""A faulty worker sends bytes that are no answer, without end."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import Client, Worker, make_configuration, make_route, play  # noqa: E402

TIMEOUT_MS = 1500
LIMIT_MS = 3000
WATCHED_S = 20.0
BLOCK = b"HTTP/1.1 100 Continue\r\n\r\n" * 2000


class FaultyWorker(Worker):
    """Answers one request with interim responses, until the caller closes the connection."""

    faulty = False

    async def _run(self, reader, writer, head, body):
        if head[0][1] != "/portfolio/faulty" or not self.faulty:
            return await super()._run(reader, writer, head, body)
        attempt = head[1]["x-trefoilpick-attempt-id"]
        self.note("sends bytes without end to", attempt)
        sent = 0
        try:
            while True:
                writer.write(BLOCK)
                await writer.drain()
                sent += len(BLOCK)
        except (ConnectionError, OSError):
            self.note(f"its caller closed the connection after {sent} bytes", attempt)
        return False


async def case(fleet, is_disturbed):
    fleet.lay_out(["encargos", "encargos", "portafolio"], ["lima-a", "lima-b", "lima-c"], work_s=0.1)
    old = fleet.workers[2]
    fleet.workers[2] = worker = FaultyWorker(
        old.host, old.port, old.service, old.zone, old.record, work_s=0.1
    )
    worker.faulty = is_disturbed
    routes = [
        make_route("r-advance", "/advance/", "encargos", "non_idempotent", timeout=TIMEOUT_MS),
        make_route("r-portfolio", "/portfolio/", "portafolio", "idempotent", timeout=TIMEOUT_MS),
    ]
    await fleet.start(make_configuration(3, routes, ["encargos", "portafolio"]))
    beside, elsewhere = fleet.machines[2], fleet.machines[0]
    client = Client(fleet, beside)
    first = asyncio.ensure_future(
        Client(fleet, elsewhere).send("/portfolio/faulty", limit_ms=LIMIT_MS)
    )
    await asyncio.sleep(1.0)
    sent = []
    ends = time.monotonic() + WATCHED_S
    while time.monotonic() < ends:
        job = client.send("/advance/1", method="POST", body=b"x" * 300, limit_ms=LIMIT_MS)
        sent.append(asyncio.ensure_future(job))
        await asyncio.sleep(0.5)
    answers = await asyncio.gather(*sent, first)
    late = [one for one in answers if not one.status or one.ended - one.sent > TIMEOUT_MS / 1000 + 0.5]
    is_ready = True
    try:
        is_ready = await asyncio.wait_for(beside.is_ready(), 2)
    except TimeoutError:
        is_ready = False
    fleet.record.write(f"{beside.name} answers /ready with 200: {is_ready}")
    # Requests that are unanswered at the route's timeout: all others ended before it.
    open_then = [one for one in answers if one.ended - one.sent >= TIMEOUT_MS / 1000]
    if not late or 2 * len(late) <= len(open_then):
        return []
    return [
        f"CONFIG: {len(open_then)} of {len(answers)} requests were unanswered at their route's "
        f"timeout of {TIMEOUT_MS} ms; {len(late)} of them had no answer half a second later. They "
        f"entered at {beside.name}, whose process answers nobody any more, {WATCHED_S:.0f} s after "
        f"one worker began to send bytes that are no answer"
    ]


play(str(Path(__file__).parent), case)
