"""Calls of a caller, each judged against the worker's receipt and kept for the ledger."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from trefoilpick._ledger import END_BY_OUTCOME, Call, CallEnd
from trefoilpick.client import Caller
from trefoilpick.errors import TrefoilpickError, find_answer
from trefoilpick.standin_worker import RunReceipt

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

HTTP_OK = 200
"""Status of a stand-in worker's answer."""


@dataclass(frozen=True)
class CallPlan:
    """A kind of call that a caller makes.

    Attributes:
        method: HTTP method.
        host: Host header.
        path: Path.
        idempotent: Whether it may run more than once.
        body_bytes: Length of its body.
        bare: Whether it is made once, without a token and without further attempts.
    """

    method: str
    host: str
    path: str
    idempotent: bool
    body_bytes: int
    bare: bool = False


class CallRecorder:
    """Makes calls and keeps how they ended.

    Args:
        name: Identity of the caller, unique among all callers.
        addresses: Callers' addresses of nodes, as "ip:port", the preferred first.
        chance: Source of bodies and of jitter.

    Attributes:
        calls: Calls that ended.
    """

    def __init__(self, name: str, addresses: Sequence[str], chance: random.Random) -> None:
        self.calls: list[Call] = []
        self._name = name
        self._caller = Caller(tuple(addresses), rng=chance)
        self._single = Caller(tuple(addresses), rng=chance, attempts=1)
        self._chance = chance

    async def make_call(self, plan: CallPlan, number: int, deadline_s: float) -> None:
        """Make one call and keep its end.

        Args:
            plan: What to call.
            number: Number of the call, unique for this caller.
            deadline_s: Time for all its attempts, in seconds.
        """
        request_id = f"{self._name}-{number}"
        body = self._chance.randbytes(plan.body_bytes)
        service = ""
        try:
            caller = self._single if plan.bare else self._caller
            answer = await caller.request(
                plan.method,
                plan.host,
                plan.path,
                headers=[("x-request-id", request_id)],
                body=body,
                deadline_s=deadline_s,
                idempotent=plan.idempotent or plan.bare,
            )
            end, service = judge_answer(answer.status, answer.body, request_id, body)
        except TrefoilpickError as error:
            end = END_BY_OUTCOME[find_answer(error).outcome]
        self.calls.append(Call(request_id, plan.idempotent, end, service))

    async def close(self) -> None:
        """Close the caller's connections."""
        await self._caller.close()
        await self._single.close()


def judge_answer(status: int, data: bytes, request_id: str, body: bytes) -> tuple[CallEnd, str]:
    """Return whether an answer is the worker's whole one to a request, and the worker's service.

    Args:
        status: HTTP status of the answer.
        data: Its body.
        request_id: Identity of the request.
        body: The request's body.
    """
    try:
        receipt = msgspec.json.decode(data, type=RunReceipt)
    except msgspec.MsgspecError:
        return CallEnd.CUT, ""
    digest = blake2b(body, digest_size=16).hexdigest()
    is_whole = receipt.request_id == request_id and receipt.body_digest == digest
    end = CallEnd.ANSWERED if status == HTTP_OK and is_whole else CallEnd.CUT
    return end, receipt.service
