"""What the experiments' callers ask for, and what became of it."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpick.document import Priority

SERVICE = "encargos"
DATA_CENTRES = ("lima-a", "lima-b", "lima-c")
SPEEDS = (0.7, 1.0, 1.6)
"""Speeds of workers, in turn."""

SLOTS = 6
WORKERS = 6
"""Workers, and as many nodes that take callers' requests."""

RETRY_PERCENT = 8
"""Further attempts for each request in the experiments, in percent."""

DURATION_S = 20.0
"""Time for which callers ask, in seconds."""

MS_PER_S = 1_000

REFUSED_STATUS = 503
"""Status of a refusal."""

PATIENT_TRIES, HASTY_TRIES = 2, 4
"""Attempts of a caller that waits as it is told, and of one that repeats at once."""


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of its route.
        priority: Rank among the requests of its service.
        share: Share of all requests.
        work_s: Mean work, in seconds of a usual worker.
        objective_s: Time in which an answer earns its whole worth, in seconds.
        deadline_s: Time that callers wait, in seconds.
        worth: What an answer in time earns.
        late_worth: What a late one earns.
        is_idempotent: Whether it may run more than once.
    """

    name: str
    priority: Priority
    share: float
    work_s: float
    objective_s: float
    deadline_s: float
    worth: float
    late_worth: float
    is_idempotent: bool


KINDS = (
    Kind("read", Priority.DEFERRABLE, 0.5, 0.12, 0.4, 1.0, 1.0, 0.3, True),
    Kind("correction", Priority.NORMAL, 0.25, 0.16, 0.5, 1.2, 2.0, 0.6, False),
    Kind("upload", Priority.INTERACTIVE, 0.17, 0.08, 0.25, 0.6, 3.0, 0.9, False),
    Kind("audit", Priority.DEFERRABLE, 0.08, 0.48, 1.2, 3.0, 1.0, 0.3, True),
)
"""The kinds that the experiments' callers ask for, after both firms' own."""

MEAN_WORK_S = sum(kind.share * kind.work_s for kind in KINDS)
CAPACITY_PER_S = WORKERS * SLOTS * sum(SPEEDS) / len(SPEEDS) / MEAN_WORK_S
"""Requests a second that all workers run at most."""


@dataclass
class Tally:
    """What became of the requests of one kind.

    Attributes:
        owed: Worth of all requests.
        earned: Worth of those that were answered.
        asked: Requests.
        in_time: Answered within the objective.
        late: Answered later.
        refused: Ended with a refusal.
        failed: Ended without an answer otherwise.
        waited_s: Time that answered ones took, in seconds, all together.
        refused_after_s: Time until the first refusal, in seconds, all together.
        refusals: Requests that were refused at least once.
    """

    owed: float = 0.0
    earned: float = 0.0
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    waited_s: float = 0.0
    refused_after_s: float = 0.0
    refusals: int = 0
