from typing import Any

import curio
import pytest
from fakes_worker import make_request
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.tokens import StoredAnswer, TokenStore

REQUEST = make_request()


class WallClock:
    now_s = 1_700_000_000.0

    def read(self) -> float:
        return self.now_s


def build_token_store(clock: WallClock | None = None, **fields: Any) -> TokenStore:
    limits = {"max_tokens": 3, "max_answer_bytes": 100, "max_answers_bytes": 150}
    wall = (clock or WallClock()).read
    values = {"vm": "vm-1", "incarnation": 7, "lifetime_s": 60.0, "read_wall_clock": wall}
    return TokenStore(**{**values, **limits, **fields})


def find_error(token_store: TokenStore, token: str, *, now_s: float = 0.0, **fields: Any) -> Any:
    """Return the kind and outcome of the error with which the lookup of a token fails."""
    with pytest.raises(TrefoilpickError) as caught:
        token_store.find(token, make_request(**fields), now_s)
    return caught.value.kind, find_answer(caught.value).outcome


def test_a_token_is_valid_only_for_its_request_and_its_process() -> None:
    token_store = build_token_store()
    token = token_store.issue(REQUEST, 0.0)
    assert token_store.find(token, REQUEST, 0.0).serial == 1
    not_run = (ErrorKind.TOKEN_MALFORMED, Outcome.NOT_RUN)
    for fields in ({"method": "PUT"}, {"target": "/advances/8"}, {"headers": [(b"host", b"b")]}):
        assert find_error(token_store, token, **fields) == not_run
    renamed = make_request(team="b", route="b", number=2)
    assert token_store.find(token, renamed, 0.0).serial == 1
    foreign = (ErrorKind.TOKEN_FOREIGN, Outcome.UNKNOWN)
    assert find_error(build_token_store(vm="vm-2"), token) == foreign
    assert find_error(build_token_store(incarnation=8), token) == foreign
    # Two processes with the same incarnation, due to the clock, still have different keys.
    assert find_error(build_token_store(), token) == (ErrorKind.TOKEN_MALFORMED, Outcome.UNKNOWN)


@pytest.mark.parametrize(("elapsed_s", "wall_s"), [(61, 0), (0, 61), (61, -500)])
def test_a_token_expires_by_either_clock(elapsed_s: float, wall_s: float) -> None:
    clock = WallClock()
    token_store = build_token_store(clock)
    free, ended = token_store.issue(REQUEST, 0.0), token_store.issue(REQUEST, 0.0)
    entry = token_store.find(ended, REQUEST, 0.0)
    curio.run(token_store.record_end(entry, answer=StoredAnswer(200, [], b"ok")))
    clock.now_s += wall_s
    assert find_error(token_store, ended, now_s=elapsed_s) == (
        ErrorKind.TOKEN_EXPIRED,
        Outcome.UNKNOWN,
    )
    assert find_error(token_store, free, now_s=elapsed_s) == (
        ErrorKind.TOKEN_EXPIRED,
        Outcome.NOT_RUN,
    )
    # Setting the clock back does not make an expired token valid again.
    clock.now_s -= wall_s
    assert find_error(token_store, free)[0] is ErrorKind.TOKEN_EXPIRED
    token_store.issue(REQUEST, 1000.0)
    assert len(token_store) == 1
    assert token_store.stored_bytes == 0


def test_a_full_token_store_issues_no_token_and_evicts_none() -> None:
    token_store = build_token_store()
    tokens = [token_store.issue(REQUEST, 0.0) for _ in range(3)]
    with pytest.raises(TrefoilpickError) as caught:
        token_store.issue(REQUEST, 59.0)
    assert caught.value.kind is ErrorKind.QUEUE_FULL
    assert [token_store.find(token, REQUEST, 59.0).serial for token in tokens] == [1, 2, 3]


@pytest.mark.parametrize(("sizes", "stored"), [((100, 100), 1), ((101, 50), 1), ((75, 75), 2)])
def test_stored_answers_are_limited_in_size(sizes: tuple[int, ...], stored: int) -> None:
    token_store = build_token_store()
    entries = [token_store.find(token_store.issue(REQUEST, 0.0), REQUEST, 0.0) for _ in sizes]
    for entry, size in zip(entries, sizes, strict=True):
        curio.run(token_store.record_end(entry, answer=StoredAnswer(200, [], bytes(size))))
    assert sum(entry.answer is not None for entry in entries) == stored
    for entry in entries:
        if entry.answer is None:
            assert entry.error is not None and entry.error.kind is ErrorKind.ANSWER_NOT_KEPT
    assert token_store.stored_bytes <= 150


@settings(derandomize=True, max_examples=200)
@given(st.data())
def test_altered_tokens_are_rejected(data: st.DataObject) -> None:
    token_store = build_token_store()
    token = token_store.issue(REQUEST, 0.0)
    index = data.draw(st.integers(0, len(token) - 1))
    altered = token[:index] + data.draw(st.characters(max_codepoint=300)) + token[index + 1 :]
    try:
        entry = token_store.find(altered, REQUEST, 0.0)
    except TrefoilpickError as error:
        assert find_answer(error).outcome is not Outcome.RUN
    else:
        assert entry.serial == 1
        assert altered == token
