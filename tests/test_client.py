from __future__ import annotations

import curio
import pytest
from fakes_hop import HOST, Bench, FakeWorkerNode, fail_with, run_bench
from test_callers import (
    answer_twice,
    queue_scripts,
    reset_after_head,
    reset_after_run,
    truncate_body,
)

from trefoilpick.client import Caller
from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError, find_answer


async def send_advance(caller: Caller, request_id: str = "1", **options: float) -> bytes:
    answer = await caller.request(
        "POST",
        "encargos.quillqa",
        "/advance",
        headers=[("x-request-id", request_id)],
        body=b"b",
        **options,
    )
    assert answer.status == 200
    assert (answer.outcome, answer.version) == (Outcome.RUN, 7)
    return answer.body


def test_complete_answers_and_large_bodies() -> None:
    async def main(bench: Bench) -> None:
        caller = Caller((f"{HOST}:{bench.server.port}",))
        assert await send_advance(caller) == b"vm-1:b"
        body = bytes(range(256)) * 8_000
        answer = await caller.request("PUT", "a", "/spread", body=body, idempotent=True)
        assert answer.body == b"vm-1:" + body
        await caller.close()

    bench = run_bench(main, FakeWorkerNode())
    assert bench.fakes[0].received[0].head.token is not None
    assert bench.fakes[0].received[1].head.token is None


def test_fails_over_to_another_node() -> None:
    async def main(bench: Bench) -> None:
        caller = Caller((f"{HOST}:1", f"{HOST}:{bench.server.port}"))
        for number in range(3):
            assert await send_advance(caller, str(number)) == b"vm-1:b"

    assert run_bench(main, FakeWorkerNode()).runs == {"0": 1, "1": 1, "2": 1}


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (reset_after_head, None),
        (answer_twice, None),
        (fail_with(ErrorKind.QUEUE_FULL), None),
        (fail_with(ErrorKind.TOKEN_FOREIGN, Outcome.UNKNOWN), Outcome.UNKNOWN),
        (fail_with(ErrorKind.ANSWER_NOT_KEPT, Outcome.RUN), Outcome.RUN),
        (fail_with(ErrorKind.TOKEN_MALFORMED, Outcome.NOT_RUN), Outcome.NOT_RUN),
    ],
    ids=["reset", "twice", "full", "foreign", "not-kept", "malformed"],
)
def test_runs_at_most_once_and_reports_the_true_outcome(
    script: object, outcome: Outcome | None
) -> None:
    async def main(bench: Bench) -> None:
        caller = Caller((f"{HOST}:{bench.server.port}",))
        reported: Outcome | None = None
        try:
            assert await send_advance(caller) == b"vm-1:b"
        except TrefoilpickError as error:
            reported = find_answer(error).outcome
        assert reported is outcome
        assert bench.runs["1"] == (1 if outcome is None else 0)

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(FakeWorkerNode.send_token, script)))


@pytest.mark.parametrize("script", [reset_after_run, truncate_body])
def test_a_broken_attempt_is_retried_with_the_same_token(script: object) -> None:
    async def main(bench: Bench) -> None:
        caller = Caller((f"{HOST}:{bench.server.port}",))
        await send_advance(caller)
        tokens = {received.head.token for received in bench.fakes[0].received}
        assert len(tokens) == 1

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(FakeWorkerNode.send_token, script)))


def test_an_unresponsive_node_yields_the_known_outcome_at_the_deadline() -> None:
    async def main(bench: Bench) -> None:
        listener = curio.socket.socket()
        listener.bind((HOST, 0))
        listener.listen(5)
        caller = Caller((f"{HOST}:{listener.getsockname()[1]}",))
        with pytest.raises(TrefoilpickError) as caught:
            await caller.request("GET", "a", "/status", idempotent=True, deadline_s=0.3)
        assert find_answer(caught.value).outcome is Outcome.UNKNOWN
        with pytest.raises(TrefoilpickError) as caught:
            await send_advance(caller, deadline_s=0.3)
        assert find_answer(caught.value).outcome is Outcome.NOT_RUN
        await listener.close()

    run_bench(main, FakeWorkerNode())
