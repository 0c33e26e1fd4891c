"""Compressed heads of hops between data centres.

Heads of one connection are much alike, so each is compressed with those before it as its
dictionary. Both ends take part in the same order, frame by frame; a connection on which a frame
was lost is closed anyway.
"""

from __future__ import annotations

import zlib

from trefoilpick.errors import ErrorKind, TrefoilpickError

LEVEL = 1
"""Effort of the compression, from 1 to 9: heads repeat the ones before, which the least finds."""

WINDOW_BITS = 12
"""Dictionary of 2 to this power bytes: several heads of under 1 KB."""

MEMORY_LEVEL = 3
"""Memory for the search, from 1 to 9: with the dictionary 24 KB an open connection."""

SYNC_TAIL = b"\x00\x00\xff\xff"
"""End of each flushed block; it says nothing and is not sent."""


class Packer:
    """Compresses the heads that one end of a hop sends."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)

    def pack(self, head: bytes) -> bytes:
        """Return the compressed bytes of the next head."""
        packed = self._deflate.compress(head) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(SYNC_TAIL)


class Unpacker:
    """Restores the heads that one end of a hop receives.

    Args:
        max_bytes: Largest head, in bytes.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._inflate = zlib.decompressobj(-WINDOW_BITS)
        self._max_bytes = max_bytes

    def unpack(self, packed: bytes) -> bytes:
        """Return the next head.

        Raises:
            TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
        """
        try:
            head = self._inflate.decompress(packed + SYNC_TAIL, self._max_bytes)
        except zlib.error as error:
            text = f"compressed hop head: {error}"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error
        if self._inflate.unconsumed_tail:
            text = f"hop head has over {self._max_bytes} bytes"
            raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
        return head
