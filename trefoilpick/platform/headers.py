"""Headers that the platform's clients and workers use."""

from __future__ import annotations

from trefoilpick.conventions import Conventions

PLATFORM_CONVENTIONS = Conventions(
    request_id=b"x-trefoilpick-attempt-id",
    deadline=b"x-trefoilpick-deadline-ms",
    caller_service=b"x-trefoilpick-caller-service",
    expected_worker=b"x-trefoilpick-expected-instance",
    not_run=b"x-trefoilpick-not-executed",
    answer_proof=b"x-trefoilpick-response-signature",
    echoes_request_id=True,
    # Seen on the wire, not told on the platform's pages: a hint that only orders requests.
    nested_mark=b".",
    fractional_retry_after=True,
)
"""The platform's names for what the product tells and reads in headers."""
