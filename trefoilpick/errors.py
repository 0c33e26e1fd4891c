"""All kinds of errors, and the HTTP answers to requests that end with an error.

Every error that the package reports is a `TrefoilpickError` with one of these kinds.
`ANSWERS` gives the answer to the caller for each kind that can end a request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """What a caller may conclude about the execution of its request."""

    NOT_RUN = "not_run"
    """The request did not run and will not run."""
    RUN = "run"
    """The request ran."""
    UNKNOWN = "unknown"
    """The request may have run."""


class ErrorKind(Enum):
    """Every kind of error that the package raises; docs/answers.md lists those that callers see."""

    DOCUMENT_FAULTY = "document_faulty"
    SETTINGS_FAULTY = "settings_faulty"
    MANIFEST_FAULTY = "manifest_faulty"
    DIGEST_MISMATCH = "digest_mismatch"
    MESSAGE_MALFORMED = "message_malformed"
    MESSAGE_TOO_LARGE = "message_too_large"
    SOURCE_UNAVAILABLE = "source_unavailable"
    SOURCE_RATE_LIMITED = "source_rate_limited"
    PEER_UNREACHABLE = "peer_unreachable"
    FILE_UNREADABLE = "file_unreadable"
    TRACE_FAULTY = "trace_faulty"

    NOT_READY = "not_ready"
    NOT_LEVEL = "not_level"
    DRAINING = "draining"
    HEAD_MALFORMED = "head_malformed"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NO_ROUTE = "no_route"
    ROUTE_UNUSABLE = "route_unusable"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    BODY_MALFORMED = "body_malformed"
    BODY_TIMEOUT = "body_timeout"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    RATE_LIMITED = "rate_limited"
    UPSTREAM_LIMITED = "upstream_limited"
    DEADLINE_BEFORE_RUN = "deadline_before_run"
    DEADLINE_AFTER_SEND = "deadline_after_send"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_REPLACED = "upstream_replaced"
    QUARANTINED = "quarantined"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_ENDED = "upstream_ended"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_FAILED = "upstream_failed"
    NODE_STOPPED = "node_stopped"
    ANSWER_MALFORMED = "answer_malformed"
    ANSWER_CUT = "answer_cut"
    ANSWER_NOT_KEPT = "answer_not_kept"
    TOKEN_MALFORMED = "token_malformed"
    TOKEN_EXPIRED = "token_expired"
    TOKEN_FOREIGN = "token_foreign"
    TOKEN_BUSY = "token_busy"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class TrefoilpickError(Exception):
    """The exception that the package raises for every kind of error.

    Args:
        kind: The kind of error.
        text: Error message, which names the faulty input or component.
        outcome: What is known of the request's execution, if it differs from the kind's default.
        retry_after_s: Time until a retry makes sense, in seconds, if it differs from the kind's
            default.
    """

    def __init__(
        self,
        kind: ErrorKind,
        text: str,
        *,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.outcome = outcome
        self.retry_after_s = retry_after_s


@dataclass(frozen=True)
class Answer:
    """The answer to a caller for one kind of error.

    Attributes:
        status: HTTP status code.
        outcome: What the caller may conclude.
        retry_after_s: Time until a retry makes sense, in seconds; None if a retry cannot help.
    """

    status: int
    outcome: Outcome
    retry_after_s: float | None = None


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.NOT_READY: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.NOT_LEVEL: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.DRAINING: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.HEAD_MALFORMED: Answer(400, Outcome.NOT_RUN),
    ErrorKind.HEAD_TOO_LARGE: Answer(431, Outcome.NOT_RUN),
    ErrorKind.HEAD_TIMEOUT: Answer(408, Outcome.NOT_RUN),
    ErrorKind.TOO_MANY_CONNECTIONS: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.NO_ROUTE: Answer(404, Outcome.NOT_RUN),
    ErrorKind.ROUTE_UNUSABLE: Answer(503, Outcome.NOT_RUN, 5.0),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Outcome.NOT_RUN),
    ErrorKind.BODY_MALFORMED: Answer(400, Outcome.UNKNOWN),
    ErrorKind.BODY_TIMEOUT: Answer(400, Outcome.UNKNOWN),
    ErrorKind.NO_UPSTREAM: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.QUEUE_FULL: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.SHED: Answer(503, Outcome.NOT_RUN, 2.0),
    ErrorKind.RATE_LIMITED: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.UPSTREAM_LIMITED: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.DEADLINE_BEFORE_RUN: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.DEADLINE_AFTER_SEND: Answer(504, Outcome.UNKNOWN),
    ErrorKind.UPSTREAM_REFUSED: Answer(503, Outcome.NOT_RUN, 1.0),
    ErrorKind.UPSTREAM_SHED: Answer(503, Outcome.NOT_RUN, 0.1),
    ErrorKind.UPSTREAM_REPLACED: Answer(503, Outcome.NOT_RUN, 0.1),
    ErrorKind.QUARANTINED: Answer(503, Outcome.NOT_RUN, 5.0),
    ErrorKind.UPSTREAM_LOST: Answer(502, Outcome.UNKNOWN),
    ErrorKind.UPSTREAM_ENDED: Answer(502, Outcome.UNKNOWN),
    ErrorKind.UPSTREAM_SILENT: Answer(502, Outcome.UNKNOWN),
    ErrorKind.UPSTREAM_FAILED: Answer(502, Outcome.RUN),
    ErrorKind.NODE_STOPPED: Answer(502, Outcome.UNKNOWN),
    ErrorKind.ANSWER_MALFORMED: Answer(502, Outcome.UNKNOWN),
    ErrorKind.ANSWER_CUT: Answer(502, Outcome.RUN),
    ErrorKind.ANSWER_NOT_KEPT: Answer(409, Outcome.RUN),
    ErrorKind.TOKEN_MALFORMED: Answer(400, Outcome.NOT_RUN),
    ErrorKind.TOKEN_EXPIRED: Answer(410, Outcome.UNKNOWN),
    ErrorKind.TOKEN_FOREIGN: Answer(409, Outcome.UNKNOWN),
    ErrorKind.TOKEN_BUSY: Answer(409, Outcome.UNKNOWN, 1.0),
    ErrorKind.CALLER_GONE: Answer(499, Outcome.UNKNOWN),
    ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN),
}
"""The answer for every kind that can end a request."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Status codes from which callers conclude that a request did not run and will not run."""

UNKNOWN_OUTCOME_STATUS = 502
"""Replaces a status that means "not run" if the request may have run."""

RETRYABLE_STATUS = 503
"""Replaces a server error when the request is known not to have run, so that callers retry."""

MIN_SERVER_ERROR = 500
"""Lowest status of a server error."""


def find_answer(error: TrefoilpickError) -> Answer:
    """Return the answer to the caller for an error.

    Args:
        error: The error that ended the request.

    Returns:
        The kind's answer; an outcome or retry time of the error itself overrides the default.
    """
    answer = ANSWERS.get(error.kind, ANSWERS[ErrorKind.INTERNAL])
    outcome = error.outcome or answer.outcome
    return Answer(
        _adjust_status(answer.status, outcome),
        outcome,
        answer.retry_after_s if error.retry_after_s is None else error.retry_after_s,
    )


def _adjust_status(status: int, outcome: Outcome) -> int:
    """Return the status, or one that agrees with what is known of the request's execution."""
    if outcome is not Outcome.NOT_RUN:
        return UNKNOWN_OUTCOME_STATUS if status in NOT_RUN_STATUSES else status
    is_ambiguous = status >= MIN_SERVER_ERROR and status not in NOT_RUN_STATUSES
    return RETRYABLE_STATUS if is_ambiguous else status
