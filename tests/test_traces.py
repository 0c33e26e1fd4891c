import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.traces import (
    NeverOlder,
    SourceFails,
    SourceFault,
    VmDies,
    encode_line,
    parse_trace,
)


def test_lines_round_trip() -> None:
    entries = [VmDies(1.0, ("a",)), SourceFails(2.0, SourceFault.DOWN, 3.0), NeverOlder()]
    trace = parse_trace((encode_line(entry) for entry in entries), origin="t")
    assert [*trace.events, *trace.expectations] == entries


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ([b'{"event":"vm_dies","at_s":1}'], "no expected outcome"),
        ([b'{"event":"vm_dies","at_s":2}', b'{"event":"vm_dies","at_s":1}'], "t:2"),
        ([b'{"outcome":"never_older"}', b'{"event":"vm_dies","at_s":1}'], "t:2"),
        ([b'{"event":"vm_sleeps","at_s":1}'], "t:1"),
        ([b'{"event":"vm_pauses","at_s":1,"vm":"a","for_s":-1}'], "t:1"),
    ],
)
def test_faulty_trace_names_the_line(lines: list[bytes], message: str) -> None:
    with pytest.raises(TrefoilpickError, match=message) as caught:
        parse_trace(iter(lines), origin="t")
    assert caught.value.kind is ErrorKind.TRACE_FAULTY


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.binary(max_size=200), max_size=4))
def test_arbitrary_bytes_raise_only_trace_faulty(lines: list[bytes]) -> None:
    with pytest.raises(TrefoilpickError) as caught:
        parse_trace(iter(lines), origin="t")
    assert caught.value.kind is ErrorKind.TRACE_FAULTY
