"""Upload of the rest of a request's body while its answer is awaited."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick._hop_heads import find_priority
from trefoilpick.caller_connections import ConnectionState
from trefoilpick.errors import TrefoilpickError
from trefoilpick.hops import FrameKind, encode_data, encode_frame
from trefoilpick.link_scheduler import BYTES_PER_KBIT, compute_part_bytes, split_chunk

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpick.calls import Call
    from trefoilpick.hopclient import ClientHop
    from trefoilpick.link_scheduler import LinkScheduler

END_FRAME = encode_frame(FrameKind.END)
"""The frame that ends a body."""


MAX_ACCEPTANCE_S = 1.0
"""Longest time to wait for the acceptance of a request, in seconds: nodes of the former release
report none."""


class Uploader:
    """Sends the rest of a request's body while the answer is awaited.

    It begins when the worker's node has accepted the request, so that a refused one does not occupy
    the links with its body.

    Args:
        call: The request.
        hop: The hop on which the body is sent.
        link: Scheduler of this VM's link.
        withheld: Parts of the body that have been received and are to be sent first; None if the
            worker's node may be one of the former release, which reports no acceptance.

    Attributes:
        error: Why the body could not be received from the caller.
        ended_at: Time at which all of the body was sent, in seconds on the node's clock.
        is_sending: Whether it waits for the link or for the hop to accept a part.
    """

    def __init__(
        self,
        call: Call,
        hop: ClientHop,
        link: LinkScheduler,
        *,
        withheld: Iterable[bytes] | None = None,
    ) -> None:
        self.error: TrefoilpickError | None = None
        self.ended_at: float | None = None
        self.is_sending = False
        self._call = call
        self._hop = hop
        self._link = link
        self._withheld = withheld
        self._bytes_per_s = 0.0
        self._accepted = curio.Event()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start sending in a task."""
        self._call.connection.state = ConnectionState.UPLOADING
        self._call.connection.last_active_at = self._call.connection.clock.now
        self._task = await curio.spawn(self._run, daemon=True)

    async def accept(self, body_kbps: int = 0) -> None:
        """Begin to send: the worker's node has accepted the request.

        Args:
            body_kbps: Rate at which to send, in kbit/s; 0 for no limit.
        """
        self._bytes_per_s = body_kbps * BYTES_PER_KBIT
        await self._accepted.set()

    async def stop(self) -> None:
        """Stop sending; the body stays incomplete unless its END frame was sent."""
        if self._task is not None:
            await self._task.cancel()
            self._hop.set_uploading(False)

    async def _run(self) -> None:
        connection = self._call.connection
        await self._wait_for_acceptance()
        connection.last_active_at = connection.clock.now
        self._hop.set_uploading(True)
        try:
            for withheld in self._withheld or ():
                await self._send_chunk(withheld)
            while (chunk := await self._call.body.receive()) is not None:
                await self._send_chunk(chunk)
            await self._hop.send(END_FRAME)
        except TrefoilpickError as error:
            self.error = error
            self._hop.abort()
        except OSError:
            return
        else:
            self.ended_at = read_clock()
            connection.state = (
                ConnectionState.ANSWERING if connection.is_head_sent else ConnectionState.RUNNING
            )

    async def _wait_for_acceptance(self) -> None:
        if self._withheld is not None:
            await self._accepted.wait()
            return
        async with curio.ignore_after(MAX_ACCEPTANCE_S):
            await self._accepted.wait()

    async def _send_chunk(self, chunk: bytes) -> None:
        if not self._bytes_per_s:
            for part in self._link.split([chunk]):
                await self._send(part)
            return
        size = min(self._link.part_bytes, compute_part_bytes(self._bytes_per_s))
        for part in split_chunk(chunk, size):
            began_s = read_clock()
            await self._send(part)
            rest_s = began_s + len(part) / self._bytes_per_s - read_clock()
            if rest_s > 0:
                await curio.sleep(rest_s)

    async def _send(self, part: bytes) -> None:
        connection = self._call.connection
        self.is_sending = True
        await self._link.acquire(len(part), priority=find_priority(self._call).value)
        await self._hop.send(encode_data([part]))
        self.is_sending = False
        connection.last_active_at = connection.clock.now
