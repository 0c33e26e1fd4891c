"""Frame protocol of hops, the connections between a caller's node and a worker's node.

A hop is a TCP connection that carries one request at a time, as frames: a length, a kind and a
payload. Heads are msgpack. Bodies are raw bytes, and TCP flow control provides backpressure for
them in both directions. A body is complete only when its END frame has arrived.

Between data centres heads are compressed: the end that opened the hop starts, and the other end
does the same once it has received a compressed head.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import TYPE_CHECKING, Annotated, TypeVar

import msgspec

from trefoilpick._time_slices import yield_if_due
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.head_compression import HeadCompressor, HeadDecompressor
from trefoilpick.vms import WorkerIdentity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from curio.io import Socket

FRAME_HEADER = struct.Struct(">IB")
"""Length of the payload in bytes, and kind of the frame."""

MAX_FRAME_BYTES = 1_048_576
"""Largest payload of one frame, in bytes."""

READ_BYTES = 65_536
"""Largest number of bytes read from the socket at a time."""

HeadT = TypeVar("HeadT", bound=msgspec.Struct)

Headers = list[tuple[bytes, bytes]]
"""End-to-end HTTP headers, with names in lower case."""


class FrameKind(IntEnum):
    """Kinds of frames on a hop."""

    REQUEST = 1
    """Payload: `HopRequest`. From the caller's node."""
    DATA = 2
    """Payload: bytes of a body. In both directions."""
    END = 3
    """The body is complete; empty payload. In both directions."""
    ANSWER = 4
    """Payload: `HopAnswer`. From the worker's node."""
    FAILURE = 5
    """Payload: `HopFailure`. From the worker's node; ends the request."""
    NOTICE = 6
    """Payload: `Load`. From the worker's node, between requests, when its state changes."""


HEAD_KINDS = frozenset((FrameKind.REQUEST, FrameKind.ANSWER, FrameKind.FAILURE, FrameKind.NOTICE))
"""Kinds whose payload is a head; when several frames are sent together, only the first has one."""

COMPRESSED_FLAG = 0x80
"""Bit of a frame's kind: the payload is compressed."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of one worker, measured by its own node.

    Attributes:
        vm: Name of the VM.
        incarnation: Start of the node's process, in nanoseconds since the Unix epoch.
        number: Version number that the node enforces.
        digest: Digest of that version.
        in_flight: Number of requests that the worker runs.
        queued: Number of requests that wait for a slot.
        slots: Number of slots of the worker.
        leaving: Whether the node is draining.
        failing_percent: Percentage of failures among the worker's recent answers.
        rate_limit: Requests per second that the worker states that it accepts; None without limit.
        leaving_worker: The worker, if it stated that it is leaving; None otherwise.
        cold_rate: Requests per second that the worker may get while it is cold; None while it is
            warm.
        work_s: Expected time until the worker has finished all running and waiting requests, in
            seconds; None if unknown.
        speed: Speed of the worker; 1 is the mean of its service, None if unknown.
        body_kbps: Rate at which the large body of a request is to be sent to the VM, in kbit/s; 0
            if its link does not limit it.
        body_wait_ms: Mean time for which large bodies wait for the VM's link, in milliseconds.
    """

    vm: str
    incarnation: int
    number: int
    digest: str
    in_flight: int
    queued: int
    slots: int
    leaving: bool
    failing_percent: int = 0
    rate_limit: float | None = None
    leaving_worker: WorkerIdentity | None = None
    cold_rate: float | None = None
    work_s: float | None = None
    speed: float | None = None
    body_kbps: int = 0
    body_wait_ms: int = 0


class HopRequest(msgspec.Struct, frozen=True, array_like=True):
    """Head of a request on a hop.

    Attributes:
        number: Version number by which the caller's node routed the request.
        digest: Digest of that version.
        team: Team of the route.
        route: Name of the route.
        upstream: Name of the service.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        remaining_ms: Time left to receive the answer's head, in milliseconds.
        priority: Value of `Priority`.
        idempotent: Whether the request may run more than once.
        caller: Identity of the caller, for fairness.
        token: At-most-once token; None if there is none.
        wants_token: Whether the caller requests a token; such a request does not run.
        has_body: Whether DATA frames may follow.
        is_retry: Whether any node or caller made an earlier attempt.
        vm: VM of the sending node; empty if unknown.
        request_id: The caller's ID of this attempt; empty if not sent.
        objective_ms: Time left until the latency objective is missed, in milliseconds; negative if
            it is missed already; None if there is no objective.
        rate_limit: The worker's limit as last reported to the sending node, in requests per second,
            for a worker's node that has restarted since; None if it reported none.
        nested: Whether it is a call that a running request of the caller's worker made.
        expected_s: Service time that the sending node expects on an average worker of the service,
            in seconds; None if unknown.
    """

    number: int
    digest: str
    team: str
    route: str
    upstream: str
    method: str
    target: str
    headers: Headers
    remaining_ms: int
    priority: str
    idempotent: bool
    caller: str
    token: str | None
    wants_token: bool
    has_body: bool
    is_retry: bool
    vm: str = ""
    request_id: str = ""
    objective_ms: int | None = None
    rate_limit: float | None = None
    nested: bool = False
    expected_s: float | None = None


FIRST_STATUS, LAST_STATUS = 200, 599
"""Range of the status codes of final answers (RFC 9110, section 15)."""


class HopAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Head of an answer on a hop.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers.
        load: Load of the worker.
        outcome: Value of `Outcome`.
        token: The requested token; None if none was requested.
        served_s: Time that the worker took until its answer began, in seconds; None if unknown.
    """

    status: Annotated[int, msgspec.Meta(ge=FIRST_STATUS, le=LAST_STATUS)]
    headers: Headers
    load: Load
    outcome: str
    token: str | None
    served_s: float | None = None


class HopFailure(msgspec.Struct, frozen=True, array_like=True):
    """Failure of a request that ended without an answer from the worker.

    Attributes:
        kind: Value of `ErrorKind`.
        text: Error message.
        outcome: Value of `Outcome`.
        retry_after_ms: Delay before a retry, in milliseconds; None if a retry cannot help.
        load: Load of the worker.
    """

    kind: str
    text: str
    outcome: str
    retry_after_ms: int | None
    load: Load


class Frame(msgspec.Struct, frozen=True):
    """A received frame with its decompressed payload."""

    kind: FrameKind
    payload: bytes


class Hop:
    """One end of a hop.

    Args:
        sock: A connected curio socket.
    """

    def __init__(self, sock: Socket) -> None:
        self.sock = sock
        self._buffer = bytearray()
        self._compressor: HeadCompressor | None = None
        self._decompressor: HeadDecompressor | None = None

    def start_compression(self) -> None:
        """Compress the heads that are sent from now on."""
        if self._compressor is None:
            self._compressor = HeadCompressor()

    def compress_head(self, data: bytes) -> bytes:
        """Compress the head of encoded frames, if compression is on.

        The compressor is stateful, so the result must be sent, and in the order of the calls.

        Args:
            data: Complete frames; at most the first one is a head.

        Returns:
            The bytes to send.
        """
        if self._compressor is None:
            return data
        length, kind = FRAME_HEADER.unpack_from(data)
        if kind not in HEAD_KINDS:
            return data
        end = FRAME_HEADER.size + length
        head = self._compressor.compress(data[FRAME_HEADER.size : end])
        return FRAME_HEADER.pack(len(head), kind | COMPRESSED_FLAG) + head + data[end:]

    async def send(self, *frames: bytes) -> None:
        """Send encoded frames in one call."""
        data = frames[0] if len(frames) == 1 else b"".join(frames)
        await self.sock.sendall(self.compress_head(data))

    def send_nowait(self, data: bytes) -> int:
        """Send as much as the socket accepts without blocking.

        Args:
            data: Bytes returned by `compress_head`.

        Returns:
            Number of bytes sent.

        Raises:
            OSError: The connection broke.
        """
        try:
            return int(self.sock._socket.send(data))
        except BlockingIOError:
            return 0

    async def receive(self) -> Frame | None:
        """Return the next frame; None if the peer closed the connection between two frames.

        If the call is cancelled, received bytes stay in the buffer for the next call.

        Raises:
            TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
            OSError: The connection broke.
        """
        await yield_if_due()
        while True:
            frame = self.pop_frame()
            if frame is not None:
                return frame
            data = await self.sock.recv(READ_BYTES)
            if data:
                self._buffer += data
                await yield_if_due()
            elif self._buffer:
                raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, "hop ended within a frame")
            else:
                return None

    def pop_frame(self) -> Frame | None:
        """Return the next frame if it was received completely; None otherwise.

        Raises:
            TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
        """
        buffer = self._buffer
        if len(buffer) < FRAME_HEADER.size:
            return None
        length, kind = FRAME_HEADER.unpack_from(buffer)
        if length > MAX_FRAME_BYTES:
            text = f"hop frame has {length} bytes, more than the limit of {MAX_FRAME_BYTES}"
            raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
        end = FRAME_HEADER.size + length
        if len(buffer) < end:
            return None
        payload = bytes(buffer[FRAME_HEADER.size : end])
        del buffer[:end]
        if kind & COMPRESSED_FLAG:
            kind ^= COMPRESSED_FLAG
            payload = self._decompress(payload)
        try:
            return Frame(FrameKind(kind), payload)
        except ValueError as error:
            text = f"hop frame has unknown kind {kind}"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    def _decompress(self, payload: bytes) -> bytes:
        if self._decompressor is None:
            self._decompressor = HeadDecompressor(max_bytes=MAX_FRAME_BYTES)
            self.start_compression()
        return self._decompressor.decompress(payload)


def encode_frame(kind: FrameKind, payload: bytes = b"") -> bytes:
    """Return the bytes of one frame."""
    return FRAME_HEADER.pack(len(payload), kind) + payload


def encode_head(kind: FrameKind, head: HopRequest | HopAnswer | HopFailure | Load) -> bytes:
    """Return the bytes of a frame with a msgpack head."""
    return encode_frame(kind, msgspec.msgpack.encode(head))


def encode_data(chunks: Iterable[bytes]) -> bytes:
    """Return the bytes of DATA frames for the parts of a body."""
    return b"".join(encode_frame(FrameKind.DATA, chunk) for chunk in chunks if chunk)


def decode_head(payload: bytes, head_type: type[HeadT]) -> HeadT:
    """Read a msgpack head.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED`.
    """
    try:
        return msgspec.msgpack.decode(payload, type=head_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = f"hop head {head_type.__name__}: {error}"
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error
