"""The hop: how a caller's node hands a request to the node beside the worker.

A hop is a TCP connection that carries one request at a time, as frames: a length, a kind and a
payload. Heads are msgpack; bodies are raw bytes, so that TCP's own flow control is the
backpressure of both bodies. A body is whole only when its END frame arrived.

On a hop between data centres heads are compressed: the end that opened it begins, and the other
end follows from the first compressed head on.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import TYPE_CHECKING, TypeVar

import msgspec

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.packing import Packer, Unpacker

if TYPE_CHECKING:
    from collections.abc import Iterable

    from curio.io import Socket

FRAME_HEADER = struct.Struct(">IB")
"""Length of the payload in bytes, then kind of the frame."""

MAX_FRAME_BYTES = 1_048_576
"""Largest payload of one frame, in bytes."""

READ_BYTES = 65_536
"""Bytes asked of the socket at a time."""

HeadT = TypeVar("HeadT", bound=msgspec.Struct)

Headers = list[tuple[bytes, bytes]]
"""HTTP headers, names in lower case, without those of one connection."""


class FrameKind(IntEnum):
    """Kinds of frames on a hop."""

    REQUEST = 1
    """Payload: `HopRequest`. From the caller's node."""
    DATA = 2
    """Payload: bytes of a body. Both ways."""
    END = 3
    """The body is whole. Both ways; empty payload."""
    ANSWER = 4
    """Payload: `HopAnswer`. From the worker's node."""
    FAILURE = 5
    """Payload: `HopFailure`. From the worker's node; ends the request."""
    NOTICE = 6
    """Payload: `Load`. From the worker's node between requests, when its state changes."""


HEAD_KINDS = frozenset((FrameKind.REQUEST, FrameKind.ANSWER, FrameKind.FAILURE, FrameKind.NOTICE))
"""Kinds whose payload is a head; one is always the first frame that is sent together."""

PACKED_FLAG = 0x80
"""Bit of a frame's kind: the payload is compressed."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """First-hand load of one worker, as its own node sees it.

    Attributes:
        vm: Name of the VM.
        incarnation: Start of the node's process, in nanoseconds since the Unix epoch.
        number: Version number that the node enforces.
        digest: Digest of that version.
        in_flight: Requests that the worker runs.
        queued: Requests that wait for a slot.
        slots: Slots of the worker.
        leaving: Whether the node takes no new work.
        failing_percent: Failing share of the worker's recent answers.
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


class HopRequest(msgspec.Struct, frozen=True, array_like=True):
    """Head of a request on a hop.

    Attributes:
        number: Version number that admitted the request.
        digest: Digest of that version.
        team: Team of the route.
        route: Name of the route.
        upstream: Name of the service.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        remaining_ms: Time left until the answer's head, in milliseconds.
        priority: Value of `Priority`.
        idempotent: Whether the request may run more than once.
        caller: Identity of the caller, for fairness.
        token: Token for running at most once; None without one.
        wants_token: Whether this asks for a token and runs nothing.
        has_body: Whether DATA frames may follow.
        is_retry: Whether an earlier attempt was made anywhere above.
        vm: VM of the node that sends it; empty where it is not told.
        request_id: The caller's name for this attempt; empty where it gave none.
        objective_ms: Time left until the answer is late, in milliseconds, below 0 where it is late
            already; None where the route has no objective.
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


class HopAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Head of an answer on a hop.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers.
        load: Load of the worker.
        outcome: Value of `Outcome`.
        token: A new token, where one was asked for.
    """

    status: int
    headers: Headers
    load: Load
    outcome: str
    token: str | None


class HopFailure(msgspec.Struct, frozen=True, array_like=True):
    """A request that ended without an answer of the worker.

    Attributes:
        kind: Value of `ErrorKind`.
        text: What went wrong.
        outcome: Value of `Outcome`.
        retry_after_ms: When to come back, in milliseconds; None where it cannot help.
        load: Load of the worker.
    """

    kind: str
    text: str
    outcome: str
    retry_after_ms: int | None
    load: Load


class Frame(msgspec.Struct, frozen=True):
    """One received frame."""

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
        self._packer: Packer | None = None
        self._unpacker: Unpacker | None = None

    def begin_packing(self) -> None:
        """Compress the heads that are sent from now on."""
        if self._packer is None:
            self._packer = Packer()

    def pack(self, data: bytes) -> bytes:
        """Return encoded frames as they go on the wire; they must be sent, and in this order.

        Args:
            data: Whole frames; at most the first one is a head.
        """
        if self._packer is None:
            return data
        length, kind = FRAME_HEADER.unpack_from(data)
        if kind not in HEAD_KINDS:
            return data
        end = FRAME_HEADER.size + length
        head = self._packer.pack(data[FRAME_HEADER.size : end])
        return FRAME_HEADER.pack(len(head), kind | PACKED_FLAG) + head + data[end:]

    async def send(self, *frames: bytes) -> None:
        """Send encoded frames in one call."""
        data = frames[0] if len(frames) == 1 else b"".join(frames)
        await self.sock.sendall(self.pack(data))

    def send_some(self, data: bytes) -> int:
        """Send as much as the socket takes without waiting.

        Args:
            data: Bytes as they go on the wire.

        Returns:
            How many bytes were sent.

        Raises:
            OSError: The connection broke.
        """
        try:
            return int(self.sock._socket.send(data))
        except BlockingIOError:
            return 0

    async def receive(self) -> Frame | None:
        """Return the next frame; None where the peer closed between two frames.

        A cancelled call loses nothing: the next one goes on where it stopped.

        Raises:
            TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
            OSError: The connection broke.
        """
        while True:
            frame = self.take()
            if frame is not None:
                return frame
            data = await self.sock.recv(READ_BYTES)
            if data:
                self._buffer += data
            elif self._buffer:
                raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, "hop ended within a frame")
            else:
                return None

    def take(self) -> Frame | None:
        """Return the next frame if all of it was already received; None otherwise.

        Raises:
            TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
        """
        buffer = self._buffer
        if len(buffer) < FRAME_HEADER.size:
            return None
        length, kind = FRAME_HEADER.unpack_from(buffer)
        if length > MAX_FRAME_BYTES:
            text = f"hop frame has {length} bytes, over {MAX_FRAME_BYTES}"
            raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
        end = FRAME_HEADER.size + length
        if len(buffer) < end:
            return None
        payload = bytes(buffer[FRAME_HEADER.size : end])
        del buffer[:end]
        if kind & PACKED_FLAG:
            kind ^= PACKED_FLAG
            payload = self._unpack(payload)
        try:
            return Frame(FrameKind(kind), payload)
        except ValueError as error:
            text = f"hop frame has unknown kind {kind}"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    def _unpack(self, payload: bytes) -> bytes:
        if self._unpacker is None:
            self._unpacker = Unpacker(max_bytes=MAX_FRAME_BYTES)
            self.begin_packing()
        return self._unpacker.unpack(payload)


def encode_frame(kind: FrameKind, payload: bytes = b"") -> bytes:
    """Return the bytes of one frame."""
    return FRAME_HEADER.pack(len(payload), kind) + payload


def encode_head(kind: FrameKind, head: HopRequest | HopAnswer | HopFailure | Load) -> bytes:
    """Return the bytes of a frame with a msgpack head."""
    return encode_frame(kind, msgspec.msgpack.encode(head))


def encode_data(chunks: Iterable[bytes]) -> bytes:
    """Return the bytes of DATA frames for the parts of a body."""
    return b"".join(encode_frame(FrameKind.DATA, chunk) for chunk in chunks if chunk)


def decode_head(payload: bytes, kind: type[HeadT]) -> HeadT:
    """Read a msgpack head.

    Raises:
        TrefoilpickError: `MESSAGE_MALFORMED`.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = f"hop head {kind.__name__}: {error}"
        raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error
