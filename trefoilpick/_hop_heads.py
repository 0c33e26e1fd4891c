"""Conversion between a caller's request or answer and the heads of frames on a hop."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from trefoilpick.calls import MS_PER_S, OUTCOME_HEADER, OWN_HEADERS, TOKEN_HEADER
from trefoilpick.conventions import RETRY_HEADER
from trefoilpick.document import Priority
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError
from trefoilpick.hops import HopRequest

if TYPE_CHECKING:
    from trefoilpick.calls import Call
    from trefoilpick.hops import Headers, HopAnswer, HopFailure


HOP_MARGIN_MS = 15
"""Time subtracted from the deadline that is sent to the worker's node, in milliseconds: ten times
the latency between data centres of a region, so that the worker's node can still report that the
request did not run."""


def build_request(
    call: Call,
    now: float,
    *,
    is_retry: bool,
    vm: str,
    rate_limit: float | None = None,
    expected_s: float | None = None,
) -> HopRequest:
    """Build the head of a request on a hop.

    Args:
        call: The request.
        now: Current time on the node's clock, in seconds.
        is_retry: Whether an earlier attempt was made.
        vm: Name of this node's VM.
        rate_limit: The worker's limit as last reported, in requests per second.
        expected_s: Expected time on an average worker, in seconds; None if unknown.

    Raises:
        TrefoilpickError: `DEADLINE_BEFORE_RUN`, if its deadline passed.
    """
    remaining_s = call.deadline_at - now
    if remaining_s <= 0:
        text = "deadline passed before the request was sent"
        raise TrefoilpickError(ErrorKind.DEADLINE_BEFORE_RUN, text)
    head = call.head
    route = call.team_route.route
    is_retry = is_retry or head.is_retry
    return HopRequest(
        number=call.snapshot.version.number,
        digest=call.snapshot.version.digest,
        team=call.team_route.team,
        route=route.name,
        upstream=call.team_route.upstream.name,
        method=head.method,
        target=head.target,
        headers=head.headers,
        remaining_ms=max(int(remaining_s * MS_PER_S) - HOP_MARGIN_MS, 1),
        priority=find_priority(call).value,
        idempotent=route.contract.idempotent,
        caller=call.connection.caller,
        token=head.token,
        wants_token=head.wants_token,
        has_body=not call.body.is_complete or call.body.received > 0,
        is_retry=is_retry,
        vm=vm,
        request_id=head.request_id,
        objective_ms=_compute_objective_ms(call, now),
        rate_limit=rate_limit,
        nested=head.is_nested_first,
        expected_s=expected_s,
    )


def find_priority(call: Call) -> Priority:
    """Return the priority at the worker and on the link; nested calls get the highest.

    If a nested call fails, the work that its parent request has done is wasted.
    """
    return Priority.INTERACTIVE if call.head.is_nested else call.team_route.route.contract.priority


def _compute_objective_ms(call: Call, now: float) -> int | None:
    remaining_s = call.objective_at - now
    return int(remaining_s * MS_PER_S) if math.isfinite(remaining_s) else None


def build_answer_headers(answer: HopAnswer, own_headers: Headers) -> Headers:
    """Return the headers of an answer for the caller, including this node's own."""
    headers = [
        header
        for header in answer.headers
        if header[0] not in OWN_HEADERS or header[0] == RETRY_HEADER
    ]
    headers += own_headers
    if answer.token is not None:
        headers.append((TOKEN_HEADER, answer.token.encode("latin-1")))
    headers.append((OUTCOME_HEADER, answer.outcome.encode()))
    return headers


def rebuild_error(failure: HopFailure) -> TrefoilpickError:
    """Return the error that a worker's node reported."""
    try:
        kind = ErrorKind(failure.kind)
        outcome = Outcome(failure.outcome)
    except ValueError:
        kind, outcome = ErrorKind.INTERNAL, Outcome.UNKNOWN
    retry_after_ms = failure.retry_after_ms
    retry_after_s = None if retry_after_ms is None else retry_after_ms / MS_PER_S
    return TrefoilpickError(kind, failure.text, outcome=outcome, retry_after_s=retry_after_s)
