"""Compression of the heads on hops between data centres.

Heads on a connection resemble each other, so each is compressed with the preceding ones as its
dictionary. Both ends therefore process the heads in the same order; a connection on which a frame
was lost is closed in any case.
"""

from __future__ import annotations

import zlib

from trefoilpick.errors import ErrorKind, TrefoilpickError

COMPRESSION_LEVEL = 1
"""Compression level from 1 to 9; the lowest suffices, since heads mostly repeat earlier ones."""

WINDOW_BITS = 12
"""Base-2 logarithm of the dictionary size in bytes: room for several heads of under 1 KB."""

MEMORY_LEVEL = 3
"""zlib's memory level, from 1 to 9: 24 KB per open connection, including the dictionary."""

SYNC_TAIL = b"\x00\x00\xff\xff"
"""End of each flushed block; it is constant and therefore not sent."""


class HeadCompressor:
    """Compresses the heads that one end of a hop sends."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, head: bytes) -> bytes:
        """Compress the next head."""
        compressed = self._deflate.compress(head) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return compressed.removesuffix(SYNC_TAIL)


class HeadDecompressor:
    """Decompresses the heads that one end of a hop receives.

    Args:
        max_bytes: Largest head, in bytes.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._inflate = zlib.decompressobj(-WINDOW_BITS)
        self._max_bytes = max_bytes

    def decompress(self, compressed: bytes) -> bytes:
        """Decompress the next head.

        Raises:
            TrefoilpickError: `MESSAGE_MALFORMED` or `MESSAGE_TOO_LARGE`.
        """
        try:
            head = self._inflate.decompress(compressed + SYNC_TAIL, self._max_bytes)
        except zlib.error as error:
            text = f"compressed hop head: {error}"
            raise TrefoilpickError(ErrorKind.MESSAGE_MALFORMED, text) from error
        if self._inflate.unconsumed_tail:
            text = f"hop head has more than {self._max_bytes} bytes"
            raise TrefoilpickError(ErrorKind.MESSAGE_TOO_LARGE, text)
        return head
