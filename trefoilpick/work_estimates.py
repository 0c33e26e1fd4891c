"""Expected work of the requests at one worker, learned beside that worker.

Times are seconds of this worker. They are learned by route, and within a route by one mark of a
request (method, leading path segments, caller or size) if its predictions were better than those of
the route alone. Everything is pure: callers pass the time.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from trefoilpick.averages import update_average

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_ROUTES = 256
"""Largest number of routes that are learned; a new route evicts the one that was not used for the
longest time."""

MAX_VALUES = 16
"""Largest number of values of a mark that are learned for a route, evicted like routes."""

MAX_AGE_S = 600.0
"""Age of the newest service time at which what was learned is forgotten, in seconds."""

MIN_SAMPLES = 3
"""Number of service times from which a mean is used."""

MIN_COMPARED = 40
"""Number of compared predictions from which a mark may be used."""

TIME_WEIGHT = 0.05
"""Weight of the newest service time once there are many."""

ERROR_WEIGHT = 0.02
"""Weight of the newest squared error, so that a comparison covers about a hundred requests."""

MAX_ERROR_RATIO = 0.9
"""Largest error of a mark, as a share of the route's error, at which the mark is used. Noise moves
this ratio by a few percent for a mark that tells nothing."""

MIN_SPREAD_RATIO = 0.1
"""Smallest spread that is assumed, as a share of the mean."""

MIN_TAIL_PROBABILITY = 1e-9
"""Probability of a request that runs so long, below which the fitted distribution is not used."""

OVERRUN_SHARE = 0.5
"""Expected remaining time of a request, as a share of the time by which it has exceeded its mean,
where the fitted distribution expects less: its worker may have become slow."""

STEADY_WEIGHT = 0.02
"""Weight of the newest request in the steady average of the speed."""

QUICK_WEIGHT = 0.2
"""Weight of the newest request in the quick average of the speed."""

MIN_SLOWDOWN = 0.4
"""Smallest fall of the logarithm of the speed, from the steady to the quick average, that is taken
for a slowdown: the worker takes half as long again."""

SLOWDOWN_SPREADS = 1.0
"""The same in standard deviations of that logarithm for one request. The quick average of about
nine requests moves by a third of this deviation."""

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, eq=False)
class RequestMarks:
    """What is known of a request before it runs; each instance stands for one request.

    Attributes:
        route: Name of the route.
        method: HTTP method.
        path: Path, without the query.
        caller: Identity of the caller.
        size: Size of the body, in bytes; 0 if unknown.
        expected_s: Time that the sending node expects on an average worker of the service, in
            seconds; None if unknown.
    """

    route: str
    method: str = ""
    path: str = ""
    caller: str = ""
    size: int = 0
    expected_s: float | None = None

    def list_values(self) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each mark within the route."""
        segments = self.path.strip("/").split("/")
        yield "method", self.method
        yield "segment", segments[0]
        yield "segments", "/".join(segments[:2])
        yield "caller", self.caller
        yield "size", str(self.size.bit_length())


@dataclass(frozen=True)
class Estimate:
    """Expected service time of a request.

    Attributes:
        mean_s: Mean, in seconds.
        spread_s: Standard deviation, in seconds.
    """

    mean_s: float
    spread_s: float

    def estimate_remaining(self, elapsed_s: float) -> float:
        """Return the mean remaining time of a request that has run for some time, in seconds.

        This is the conditional mean of a log-normal distribution with this mean and spread.
        """
        if elapsed_s <= 0.0 or self.mean_s <= 0.0:
            return self.mean_s
        ratio = max(self.spread_s / self.mean_s, MIN_SPREAD_RATIO)
        sigma = math.sqrt(math.log1p(ratio * ratio))
        position = (math.log(elapsed_s / self.mean_s) + sigma * sigma / 2) / sigma
        overrun_s = OVERRUN_SHARE * (elapsed_s - self.mean_s)
        tail = _compute_tail(position)
        if tail < MIN_TAIL_PROBABILITY:
            return overrun_s
        total_s = self.mean_s * _compute_tail(position - sigma) / tail
        return max(total_s - elapsed_s, overrun_s, 0.0)


class ServiceTime:
    """Moving mean and variance of service times.

    Args:
        weight: Weight of the newest one once there are many.

    Attributes:
        count: Number of service times.
        mean_s: Mean, in seconds.
        updated_at: Time of the newest one, in seconds.
    """

    __slots__ = ("_variance", "_weight", "count", "mean_s", "updated_at")

    def __init__(self, weight: float = TIME_WEIGHT) -> None:
        self._weight = weight
        self.count = 0
        self.mean_s = 0.0
        self.updated_at = 0.0
        self._variance = 0.0

    def record(self, served_s: float, now: float) -> None:
        """Add a service time, in seconds."""
        if now - self.updated_at > MAX_AGE_S:
            self.count = 0
        self.count += 1
        self.updated_at = now
        weight = max(1 / self.count, self._weight)
        change = served_s - self.mean_s
        self.mean_s += weight * change
        self._variance = (1 - weight) * (self._variance + weight * change * change)

    def estimate(self, now: float) -> Estimate | None:
        """Return the expected service time; None if it is unknown."""
        if self.count < MIN_SAMPLES or now - self.updated_at > MAX_AGE_S:
            return None
        return Estimate(self.mean_s, self.spread_s)

    @property
    def spread_s(self) -> float:
        """Standard deviation, in seconds."""
        return math.sqrt(self._variance)


class MarkTimes:
    """Service times by the values of one mark within a route, and their prediction error.

    Attributes:
        compared: Number of predictions that were compared with those of the route.
        error: Mean squared error of the predictions by the mark.
        route_error: Mean squared error of the predictions by the route, for the same requests.
    """

    def __init__(self) -> None:
        self.compared = 0
        self.error: float | None = None
        self.route_error: float | None = None
        self._times: dict[str, ServiceTime] = {}

    @property
    def is_useful(self) -> bool:
        """Whether the mark has lowered the prediction error."""
        if self.compared < MIN_COMPARED or self.error is None or self.route_error is None:
            return False
        return self.error < MAX_ERROR_RATIO * self.route_error

    def estimate(self, value: str, now: float) -> Estimate | None:
        """Return the expected service time for a value of the mark; None if it is unknown."""
        times = self._times.get(value)
        return None if times is None else times.estimate(now)

    def record(self, value: str, served_s: float, route: Estimate | None, now: float) -> None:
        """Add a service time, in seconds, and compare the prediction with that of the route."""
        if route is not None:
            predicted = self.estimate(value, now) or route
            self.compared += 1
            self.error = update_average(
                self.error, (predicted.mean_s - served_s) ** 2, weight=ERROR_WEIGHT
            )
            self.route_error = update_average(
                self.route_error, (route.mean_s - served_s) ** 2, weight=ERROR_WEIGHT
            )
        _get_or_evict(self._times, value, ServiceTime(), MAX_VALUES).record(served_s, now)


class RouteTimes:
    """Service times of one route, alone and by each mark.

    Attributes:
        marks: Service times by the name of the mark.
    """

    def __init__(self) -> None:
        self.marks: dict[str, MarkTimes] = {}
        self._times = ServiceTime()

    def record(self, marks: RequestMarks, served_s: float, now: float) -> None:
        """Add a service time, in seconds."""
        route = self._times.estimate(now)
        for name, value in marks.list_values():
            self.marks.setdefault(name, MarkTimes()).record(value, served_s, route, now)
        self._times.record(served_s, now)

    def estimate(self, marks: RequestMarks, now: float) -> Estimate | None:
        """Return the expected service time by the mark that predicts best; None if unknown."""
        useful = {name: mark for name, mark in self.marks.items() if mark.is_useful}
        if useful:
            best = min(useful, key=lambda name: useful[name].error or 0.0)
            estimate = useful[best].estimate(dict(marks.list_values())[best], now)
            if estimate is not None:
                return estimate
        return self._times.estimate(now)


class WorkEstimator:
    """Expected service times of requests at one worker.

    Attributes:
        routes: What was learned, by route.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteTimes] = {}
        self._times = ServiceTime()

    def record(self, marks: RequestMarks, served_s: float, now: float) -> None:
        """Add the service time of a request, in seconds."""
        _get_or_evict(self.routes, marks.route, RouteTimes(), MAX_ROUTES).record(
            marks, served_s, now
        )
        self._times.record(served_s, now)

    def estimate(self, marks: RequestMarks, now: float) -> Estimate | None:
        """Return the expected service time of a request; None if it is unknown.

        A request of an unknown route is expected to take the mean over all routes.
        """
        route = self.routes.get(marks.route)
        estimate = None if route is None else route.estimate(marks, now)
        return estimate or self._times.estimate(now)


class WorkerSpeed:
    """Speed of a worker: expected against observed service times.

    The speed is steady under noise, and follows at once when the worker has become slow.
    """

    def __init__(self) -> None:
        self._count = 0
        self._steady = (0.0, 0.0)
        self._quick = (0.0, 0.0)
        self._steady_log = ServiceTime(weight=STEADY_WEIGHT)
        self._quick_log = 0.0

    @property
    def speed(self) -> float | None:
        """Speed of the worker; 1 is the mean of its service, None if unknown."""
        expected_s, served_s = self._steady
        return expected_s / served_s if self._count >= MIN_SAMPLES and served_s else None

    def record(self, expected_s: float, served_s: float) -> None:
        """Add the expected and the observed time of a request, in seconds."""
        if expected_s <= 0.0 or served_s <= 0.0:
            return
        self._count += 1
        pair = (expected_s, served_s)
        quick_weight = max(1 / self._count, QUICK_WEIGHT)
        self._quick = _average_pair(self._quick, pair, quick_weight)
        self._steady = _average_pair(self._steady, pair, max(1 / self._count, STEADY_WEIGHT))
        slowness = math.log(served_s / expected_s)
        self._quick_log = update_average(self._quick_log, slowness, weight=quick_weight)
        self._steady_log.record(slowness, 0.0)
        fall = self._quick_log - self._steady_log.mean_s
        if fall > max(MIN_SLOWDOWN, SLOWDOWN_SPREADS * self._steady_log.spread_s):
            self._steady = self._quick
            self._steady_log.mean_s = self._quick_log


class WorkLedger:
    """Expected work of the running and waiting requests of one worker.

    Attributes:
        estimator: Expected service times.
        speed: Speed of the worker.
    """

    def __init__(self) -> None:
        self.estimator = WorkEstimator()
        self.speed = WorkerSpeed()
        self._waiting: dict[RequestMarks, float | None] = {}
        self._running: dict[RequestMarks, tuple[Estimate | None, float]] = {}

    @contextmanager
    def track_waiting(self, marks: RequestMarks | None, now: float) -> Iterator[None]:
        """Count a request as waiting within the context."""
        if marks is None:
            yield
            return
        estimate = self.estimator.estimate(marks, now)
        self._waiting[marks] = None if estimate is None else estimate.mean_s
        try:
            yield
        finally:
            del self._waiting[marks]

    def start(self, marks: RequestMarks | None, now: float) -> None:
        """Count a request as running."""
        if marks is not None:
            self._running[marks] = (self.estimator.estimate(marks, now), now)

    def finish(
        self, marks: RequestMarks | None, served_s: float | None, now: float
    ) -> Estimate | None:
        """Count a request as finished; further calls for the same request do nothing.

        Args:
            marks: The request; None if it is not tracked.
            served_s: Its service time, in seconds; None if the worker did not answer.
            now: Current clock reading, in seconds.

        Returns:
            The service time that was expected when the request began; None if it was unknown.
        """
        if marks is None or marks not in self._running:
            return None
        estimate, _ = self._running.pop(marks)
        if served_s is not None:
            self.estimator.record(marks, served_s, now)
            if marks.expected_s is not None:
                self.speed.record(marks.expected_s, served_s)
        return estimate

    def estimate_remaining(self, now: float) -> float | None:
        """Return the expected work of all requests, in seconds of this worker; None if unknown."""
        work_s = 0.0
        for estimate, began_at in self._running.values():
            if estimate is None:
                return None
            work_s += estimate.estimate_remaining(now - began_at)
        for mean_s in self._waiting.values():
            if mean_s is None:
                return None
            work_s += mean_s
        return work_s if self.estimator.routes else None


def _get_or_evict(values: dict[str, ValueT], name: str, new: ValueT, limit: int) -> ValueT:
    """Return a value by name, or the new one; at the limit, evict the one used least recently."""
    value = values.pop(name, None)
    if value is None:
        if len(values) >= limit:
            del values[next(iter(values))]
        value = new
    values[name] = value
    return value


def _average_pair(
    average: tuple[float, float], newest: tuple[float, float], weight: float
) -> tuple[float, float]:
    return (
        update_average(average[0], newest[0], weight=weight),
        update_average(average[1], newest[1], weight=weight),
    )


def _compute_tail(position: float) -> float:
    """Return the probability that a standard normal value exceeds a position."""
    return 0.5 * math.erfc(position / math.sqrt(2))
