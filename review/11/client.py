"""Clients of one machine: they upload files in chunks, one after the other, on new connections.

Arguments: address and port of the machine, seconds to run, size of a chunk. Writes one line of JSON
for each upload to standard output.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "third"))

from fleet import read_answer  # noqa: E402

HOST, PORT, RUN_S, CHUNK_BYTES = sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
CLIENTS = 10
BODY_BYTES = 160_000
PAUSE_S = 0.05
FIRST_BYTES, FIRST_PAUSE_S = 24_576, 0.010
"""What is sent together with the head, and the time until the rest follows."""


async def upload(attempt: str) -> None:
    body = random.randbytes(BODY_BYTES)
    target = f"/up/{attempt}"
    sent = {
        "attempt": attempt,
        "method": "POST",
        "target": target,
        "bytes": len(body),
        "digest": hashlib.md5(body).hexdigest(),
        "at": time.monotonic(),
    }
    reader, writer = await asyncio.open_connection(HOST, PORT)
    try:
        head = (
            f"POST {target} HTTP/1.1\r\nHost: ficu.example\r\n"
            f"X-Trefoilpick-Attempt-Id: {attempt}\r\nX-Trefoilpick-Deadline-Ms: 3000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        parts = (body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES))
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
        first = FIRST_BYTES // CHUNK_BYTES
        writer.write(head.encode() + b"".join(chunks[:first]))
        await asyncio.sleep(FIRST_PAUSE_S)
        writer.write(b"".join(chunks[first:]) + b"0\r\n\r\n")
        status, headers, answer, is_complete = await asyncio.wait_for(read_answer(reader), 8)
        sent["status"] = status if is_complete else f"{status}, cut"
        sent["signed"] = "x-trefoilpick-response-signature" in headers
        sent["answer"] = answer.decode("latin-1").strip()[:200]
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        sent["status"] = repr(error)
    finally:
        writer.close()
    print(json.dumps(sent), flush=True)


async def keep_uploading() -> None:
    began = time.monotonic()
    while time.monotonic() - began < RUN_S:
        try:
            await upload(f"{random.getrandbits(60):015x}")
        except OSError:
            pass
        await asyncio.sleep(PAUSE_S)


async def main() -> None:
    await asyncio.gather(*(keep_uploading() for _ in range(CLIENTS)))


asyncio.run(main())
