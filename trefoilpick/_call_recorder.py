"""Makes calls, checks each answer against the worker's receipt and records the results."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from trefoilpick._call_totals import RESULT_BY_OUTCOME, Call, CallResult
from trefoilpick.client import Caller
from trefoilpick.errors import TrefoilpickError, find_answer
from trefoilpick.standin_worker import RunReceipt

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

HTTP_OK = 200
"""HTTP status of a stand-in worker's answer."""


@dataclass(frozen=True)
class CallPlan:
    """A kind of call that a caller makes.

    Attributes:
        method: HTTP method.
        host: Host header.
        path: Path.
        idempotent: Whether it may run more than once.
        body_bytes: Length of its body, in bytes.
        is_single_attempt: Whether it is made once, without a token and without retries.
    """

    method: str
    host: str
    path: str
    idempotent: bool
    body_bytes: int
    is_single_attempt: bool = False


def _ignore_end(request_id: str, plan: CallPlan, end: int | TrefoilpickError) -> None:
    """Observe nothing."""


class CallRecorder:
    """Makes calls and records their results.

    Args:
        name: Name of the caller, unique among all callers; request IDs begin with it.
        addresses: Addresses of nodes for callers, as "ip:port", the preferred one first.
        rng: Random number generator for request bodies and jitter.
        observe: Called with the ID and plan of each call that ended, and with the status of its
            answer or its error.

    Attributes:
        calls: Calls that ended.
    """

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        rng: random.Random,
        *,
        observe: Callable[[str, CallPlan, int | TrefoilpickError], None] = _ignore_end,
    ) -> None:
        self.calls: list[Call] = []
        self._observe = observe
        self._name = name
        self._caller = Caller(tuple(addresses), rng=rng)
        self._single_attempt = Caller(tuple(addresses), rng=rng, attempts=1)
        self._rng = rng

    async def make_call(self, plan: CallPlan, number: int, deadline_s: float) -> None:
        """Make one call and record its result.

        Args:
            plan: The call to make.
            number: Number of the call, unique for this caller.
            deadline_s: Deadline for all attempts together, in seconds.
        """
        request_id = f"{self._name}-{number}"
        body = self._rng.randbytes(plan.body_bytes)
        service = ""
        try:
            caller = self._single_attempt if plan.is_single_attempt else self._caller
            answer = await caller.request(
                plan.method,
                plan.host,
                plan.path,
                headers=[("x-request-id", request_id)],
                body=body,
                deadline_s=deadline_s,
                idempotent=plan.idempotent or plan.is_single_attempt,
            )
            result, service = check_answer(answer.status, answer.body, request_id, body)
            self._observe(request_id, plan, answer.status)
        except TrefoilpickError as error:
            result = RESULT_BY_OUTCOME[find_answer(error).outcome]
            self._observe(request_id, plan, error)
        self.calls.append(Call(request_id, plan.idempotent, result, service))

    async def close(self) -> None:
        """Close the caller's connections."""
        await self._caller.close()
        await self._single_attempt.close()


def check_answer(status: int, data: bytes, request_id: str, body: bytes) -> tuple[CallResult, str]:
    """Return the result of an answered call, and the service that answered.

    The answer is complete if its receipt matches the request's ID and body.

    Args:
        status: HTTP status of the answer.
        data: Body of the answer.
        request_id: ID of the request.
        body: Body of the request.
    """
    try:
        receipt = msgspec.json.decode(data, type=RunReceipt)
    except msgspec.MsgspecError:
        return CallResult.CUT, ""
    digest = blake2b(body, digest_size=16).hexdigest()
    is_complete = receipt.request_id == request_id and receipt.body_digest == digest
    result = CallResult.ANSWERED if status == HTTP_OK and is_complete else CallResult.CUT
    return result, receipt.service
