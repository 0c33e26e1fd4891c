"""HTTP headers used by the platform's clients and workers."""

from __future__ import annotations

from trefoilpick.conventions import Conventions

PLATFORM_CONVENTIONS = Conventions(
    request_id=b"x-trefoilpick-attempt-id",
    deadline=b"x-trefoilpick-deadline-ms",
    caller_service=b"x-trefoilpick-caller-service",
    expected_worker=b"x-trefoilpick-expected-instance",
    not_run=b"x-trefoilpick-not-executed",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    cold_start_ms=b"x-trefoilpick-cold-start-ms",
    answer_proof=b"x-trefoilpick-response-signature",
    echoes_request_id=True,
    # Observed on the wire but not documented by the platform, so it is used only to order requests.
    nested_separator=b".",
    fractional_retry_after=True,
)
"""The platform's header names and conventions."""
