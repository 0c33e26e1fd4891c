"""HTTP headers that the callers, nodes and workers of a fleet agree on."""

from __future__ import annotations

from dataclasses import dataclass

VERSION_HEADER = b"x-trefoilpick-version"
"""Header with the number of the version that admitted a request."""

RETRY_HEADER = b"x-trefoilpick-retry"
"""Request header that marks a retry; in an answer it tells the caller not to retry."""

DEADLINE_HEADER = b"x-trefoilpick-deadline-ms"
"""Header with the time left until the caller needs the answer's head, in milliseconds."""


@dataclass(frozen=True)
class Conventions:
    """Names of one fleet's headers, in lower case, and how its callers and workers use them.

    Attributes:
        request_id: Request header that identifies one attempt of a caller.
        deadline: Request header with the time left, in milliseconds.
        caller_service: Request header with the service on whose VM the request originated.
        expected_worker: Request header with the identity of the worker that may run the request.
        not_run: Answer header by which a worker states that it did not run the request.
        rate_limit: Answer header by which a worker in need states how many requests per second it
            accepts from all nodes together.
        leaving: Answer header by which a worker states that it is leaving.
        cold_start_ms: Answer header of the health path by which a worker states for how many
            milliseconds it stays cold; 0 if it is warm.
        answer_proof: Answer header that every successful answer of a worker has; empty if workers
            send none.
        echoes_request_id: Whether every answer of a worker repeats the request's ID.
        nested_separator: Separator between the parent request's ID and the rest in the ID of a
            nested call, which a worker makes while it runs a request; empty if IDs do not show
            nesting.
        fractional_retry_after: Whether callers read fractions of seconds in `Retry-After`.
        caller_identity: Request headers that, with the caller's service, identify the caller of a
            request that comes again.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = DEADLINE_HEADER
    caller_service: bytes = b"x-trefoilpick-caller-service"
    expected_worker: bytes = b"x-trefoilpick-expected-worker"
    not_run: bytes = b"x-not-run"
    rate_limit: bytes = b"x-worker-limit"
    leaving: bytes = b"x-worker-leaving"
    cold_start_ms: bytes = b"x-worker-cold-start-ms"
    answer_proof: bytes = b""
    echoes_request_id: bool = False
    nested_separator: bytes = b""
    fractional_retry_after: bool = False
    caller_identity: frozenset[bytes] = frozenset({b"authorization", b"cookie", b"x-api-key"})


DEFAULT_CONVENTIONS = Conventions()
"""The default conventions."""
