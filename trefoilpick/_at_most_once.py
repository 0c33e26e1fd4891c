"""Requests with an at-most-once token.

The first request with a token runs. Others with the same token wait until it ends, and get its
stored answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick._clock import read_clock
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer
from trefoilpick.tokens import TokenState

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpick._hop_exchange import HopExchange
    from trefoilpick.document import Upstream
    from trefoilpick.hops import HopRequest
    from trefoilpick.tokens import TokenEntry, TokenStore


async def run_at_most_once(
    token_store: TokenStore,
    exchange: HopExchange,
    request: HopRequest,
    *,
    admit: Callable[[HopRequest], Upstream],
) -> None:
    """Answer a request with a token, and run it unless one with the same token has already run.

    Args:
        token_store: Tokens of this process.
        exchange: The exchange of the request.
        request: The request's head.
        admit: Checks that the node accepts the request, and returns its upstream.

    Raises:
        TrefoilpickError: The request ended without a complete answer.
    """
    assert request.token is not None
    while True:
        entry = token_store.find(request.token, request, read_clock())
        if entry.state is TokenState.FREE:
            await _run(token_store, entry, exchange, admit(request))
            return
        if entry.state is TokenState.ENDED:
            await exchange.send_stored_answer(entry.get_answer())
            return
        await _wait_for_end(entry, exchange.deadline_s)


async def _run(
    token_store: TokenStore, entry: TokenEntry, exchange: HopExchange, upstream: Upstream
) -> None:
    entry.state = TokenState.RUNNING
    try:
        answer = await exchange.run(upstream, max_stored_bytes=token_store.max_answer_bytes)
    except TrefoilpickError as error:
        if find_answer(error).outcome is Outcome.NOT_RUN:
            await token_store.record_not_run(entry)
        elif error.kind is ErrorKind.CALLER_GONE:
            await token_store.record_end(entry, error=_build_lost_error())
        else:
            await token_store.record_end(entry, error=error)
        raise
    except BaseException:
        if exchange.was_sent:
            await token_store.record_end(entry, error=_build_lost_error())
        else:
            await token_store.record_not_run(entry)
        raise
    await token_store.record_end(entry, answer=answer)


async def _wait_for_end(entry: TokenEntry, deadline_s: float) -> None:
    try:
        async with curio.timeout_after(deadline_s - read_clock()):
            await entry.changed.wait()
    except curio.TaskTimeout as error:
        text = "another request with the same token is still running"
        raise TrefoilpickError(ErrorKind.TOKEN_BUSY, text) from error


def _build_lost_error() -> TrefoilpickError:
    text = "the first request with this token ended before it was answered"
    return TrefoilpickError(ErrorKind.UPSTREAM_LOST, text)
