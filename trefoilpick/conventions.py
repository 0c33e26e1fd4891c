"""What the callers, nodes and workers of a fleet agree on beyond plain HTTP."""

from __future__ import annotations

from dataclasses import dataclass

VERSION_HEADER = b"x-trefoilpick-version"
"""Header with the number of the version that admitted a request."""

RETRY_HEADER = b"x-trefoilpick-retry"
"""Header that marks a further attempt, and an answer after which a further one is no use."""

DEADLINE_HEADER = b"x-trefoilpick-deadline-ms"
"""Header with the time that a caller leaves for the answer's head, in milliseconds."""


@dataclass(frozen=True)
class Conventions:
    """Headers of one fleet, in lower case, and what they promise.

    Attributes:
        request_id: Request header that names one attempt of a caller.
        deadline: Request header with the time that the sender leaves, in milliseconds.
        caller_service: Request header with the service on whose VM the request began.
        expected_worker: Request header with the identity of the worker that may run the request.
        not_run: Answer header by which a worker says that it did not run the request.
        answer_proof: Answer header that each success of a worker bears; empty where none does.
        echoes_request_id: Whether each answer of a worker repeats the request's identity.
        nested_mark: What stands, in the identity of a call that a worker makes while it runs a
            request, between the identity of that request and the rest; empty where calls do not
            tell.
        fractional_retry_after: Whether callers read fractions of seconds in `Retry-After`.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = DEADLINE_HEADER
    caller_service: bytes = b"x-trefoilpick-caller-service"
    expected_worker: bytes = b"x-trefoilpick-expected-worker"
    not_run: bytes = b"x-not-run"
    answer_proof: bytes = b""
    echoes_request_id: bool = False
    nested_mark: bytes = b""
    fractional_retry_after: bool = False


OWN_CONVENTIONS = Conventions()
"""The product's own conventions."""
