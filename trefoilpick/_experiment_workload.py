"""Kinds of requests in the experiments, their rates, and the tallies of their results."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpick.document import Priority

SERVICE = "encargos"
DATA_CENTRES = ("lima-a", "lima-b", "lima-c")
SPEEDS = (0.7, 1.0, 1.6)
"""Relative speeds of workers, assigned in turn."""

SLOTS = 6
"""Number of requests that a worker runs concurrently."""

WORKERS = 6
"""Number of workers, and of nodes that receive callers' requests."""

RETRY_PERCENT = 8
"""Retries that the retry budget allows, in percent of requests."""

DURATION_S = 20.0
"""Time for which callers send requests, in seconds."""

MS_PER_S = 1_000

REFUSED_STATUS = 503
"""HTTP status of a refused request."""

ADVISED_RETRY_ATTEMPTS, IMMEDIATE_RETRY_ATTEMPTS = 2, 4
"""Maximum attempts of callers that follow the retry advice, and of those that retry immediately."""


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    Attributes:
        name: Name of its route.
        priority: Priority among the requests of its service.
        share: Share of all requests.
        work_s: Mean service time on a worker of speed 1, in seconds.
        objective_s: Latency objective, in seconds.
        deadline_s: Deadline of the request with all its attempts, in seconds.
        worth: Value of an answer within the objective.
        late_worth: Value of an answer after the objective, before the deadline.
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


REQUEST_KINDS = (
    RequestKind("read", Priority.DEFERRABLE, 0.5, 0.12, 0.4, 1.0, 1.0, 0.3, True),
    RequestKind("correction", Priority.NORMAL, 0.25, 0.16, 0.5, 1.2, 2.0, 0.6, False),
    RequestKind("upload", Priority.INTERACTIVE, 0.17, 0.08, 0.25, 0.6, 3.0, 0.9, False),
    RequestKind("audit", Priority.DEFERRABLE, 0.08, 0.48, 1.2, 3.0, 1.0, 0.3, True),
)
"""All kinds of requests, modelled on the routes of both companies in the mesh."""

MEAN_WORK_S = sum(kind.share * kind.work_s for kind in REQUEST_KINDS)
"""Mean service time of a request on a worker of speed 1, in seconds."""

WORK_SIGMA = 0.4
"""Spread of the work of requests of one kind: the standard deviation of its logarithm."""


@dataclass(frozen=True)
class MeshShape:
    """Size of a simulated mesh.

    Attributes:
        workers: Number of workers, and of nodes that receive callers' requests.
        slots: Number of requests that a worker runs concurrently.
        speeds: Relative speeds of workers, assigned in turn.
        duration_s: Time for which callers send requests, in seconds.
        work_sigma: Standard deviation of the logarithm of the work of requests of one kind.
    """

    workers: int = WORKERS
    slots: int = SLOTS
    speeds: tuple[float, ...] = SPEEDS
    duration_s: float = DURATION_S
    work_sigma: float = WORK_SIGMA

    @property
    def capacity_per_s(self) -> float:
        """Highest rate that all workers together can serve, in requests per second."""
        speed = sum(self.speeds[n % len(self.speeds)] for n in range(self.workers))
        return speed * self.slots / MEAN_WORK_S


@dataclass
class Tally:
    """Results of the requests of one kind.

    Attributes:
        owed: Worth of all requests, if all were answered within the objective.
        earned: Worth of the answered requests.
        asked: Number of requests.
        in_time: Requests answered within the objective.
        late: Requests answered after the objective.
        refused: Requests that ended with a refusal.
        failed: Requests that ended without an answer for another reason.
        waited_s: Total latency of the answered requests, in seconds.
        refused_after_s: Total time until the refusal of those first attempts that were refused,
            in seconds.
        refusals: Requests whose first attempt was refused.
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
