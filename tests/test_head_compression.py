"""Tests of head compression between data centres."""

from __future__ import annotations

import msgspec
import pytest

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.head_compression import HeadCompressor, HeadDecompressor
from trefoilpick.hops import HopRequest

MAX_BYTES = 4_096


def encode_request(number: int) -> bytes:
    request = HopRequest(
        number=12,
        digest="5a" * 32,
        team="encargos",
        route="ledger",
        upstream="encargos",
        method="GET",
        target=f"/ledger/{number}",
        headers=[(b"host", b"encargos.example"), (b"accept", b"*/*")],
        remaining_ms=400 - number,
        priority="normal",
        idempotent=True,
        caller="10.1.0.38",
        token=None,
        wants_token=False,
        has_body=False,
        is_retry=False,
        vm="10.1.0.38",
        request_id=f"{number * 7_919:016x}",
        objective_ms=120,
    )
    return msgspec.msgpack.encode(request)


def test_heads_are_restored_in_order_and_compressed_to_a_quarter() -> None:
    compressor, decompressor = HeadCompressor(), HeadDecompressor(max_bytes=MAX_BYTES)
    heads = [encode_request(number) for number in range(100)]
    compressed = [compressor.compress(head) for head in heads]
    assert [decompressor.decompress(data) for data in compressed] == heads
    assert sum(map(len, compressed)) * 4 < sum(map(len, heads))


def test_a_head_over_the_limit_is_refused() -> None:
    compressed = HeadCompressor().compress(bytes(MAX_BYTES + 1))
    with pytest.raises(TrefoilpickError) as caught:
        HeadDecompressor(max_bytes=MAX_BYTES).decompress(compressed)
    assert caught.value.kind is ErrorKind.MESSAGE_TOO_LARGE


@pytest.mark.parametrize("data", [b"\xff\xff\xff", b"\x07", b"garbage that is no block"])
def test_invalid_compressed_heads_are_refused(data: bytes) -> None:
    with pytest.raises(TrefoilpickError) as caught:
        HeadDecompressor(max_bytes=MAX_BYTES).decompress(data)
    assert caught.value.kind is ErrorKind.MESSAGE_MALFORMED
