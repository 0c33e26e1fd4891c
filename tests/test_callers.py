from __future__ import annotations

import errno
from collections import deque

import curio
import h11
import pytest
from curio import socket
from fakes_hop import (
    END,
    HOST,
    Bench,
    FakeWorkerNode,
    ReceivedAnswer,
    Script,
    answer_ok,
    connect,
    fail_with,
    make_token,
    run_bench,
    wait_until,
)

from trefoilpick._clock import read_clock
from trefoilpick._hop_heads import HOP_MARGIN_MS
from trefoilpick.callers import ANSWER_MARGIN_MS
from trefoilpick.conventions import DEFAULT_CONVENTIONS, Conventions
from trefoilpick.document import Objective
from trefoilpick.errors import ErrorKind, Outcome
from trefoilpick.fingerprints import compute_fingerprint
from trefoilpick.hopclient import ClientHop
from trefoilpick.hops import (
    Frame,
    FrameKind,
    Hop,
    HopRequest,
    Load,
    encode_data,
    encode_frame,
    encode_head,
)
from trefoilpick.metrics import Metrics
from trefoilpick.quarantine import TRIAL_DELAYS_S, CaseState, QuarantineTable
from trefoilpick.quarantine_gate import QuarantineGate
from trefoilpick.running_requests import RunningRequests
from trefoilpick.settings import DrainSettings, HopSettings, RequestSettings
from trefoilpick.tokens import read_claims

ROUND_TRIP_S = 0.1
UPLOAD_BYTES = 2_000_000
MAX_UNACCEPTED_BYTES = 65_536
"""Part of a body that may be sent with its request's head, in bytes."""

LENGTH_10 = ((b"content-length", b"10"),)


def reset(hop: Hop) -> None:
    hop.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    raise ConnectionResetError


async def reset_after_head(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    reset(hop)


async def reset_within_body(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await hop.receive()
    reset(hop)


async def reset_after_run(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    reset(hop)


async def never_answer(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    if await hop.receive() is None:
        raise ConnectionResetError


async def send_answer_byte_by_byte(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    for byte in fake.encode_answer(headers=LENGTH_10):
        await hop.sock.sendall(bytes((byte,)))
        await curio.sleep(0.05)


async def truncate_head(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(fake.encode_answer()[:-4])
    reset(hop)


async def close_before_body(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(fake.encode_answer(headers=LENGTH_10))
    await hop.close()
    raise ConnectionResetError


async def truncate_body(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(fake.encode_answer(headers=LENGTH_10), encode_data([b"half."]))
    await hop.close()
    raise ConnectionResetError


async def close_before_end(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(fake.encode_answer(), encode_data([b"all but the end"]))
    await hop.close()
    raise ConnectionResetError


async def answer_too_short(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(fake.encode_answer(headers=LENGTH_10), encode_data([b"short"]), END)


async def answer_too_long(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(fake.encode_answer(headers=LENGTH_10), encode_data([b"far too long"]), END)


async def answer_garbage(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(encode_frame(FrameKind.ANSWER, b"\xc1"))


async def send_body_without_head(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await hop.send(encode_data([b"no head"]))


async def answer_twice(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await answer_ok(fake, hop, head)
    await hop.send(fake.encode_answer(status=418), END)


def answer_with_status(status: int) -> Script:
    async def answer(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await hop.send(fake.encode_answer(status=status), END)

    return answer


FAILURES: tuple[Script, ...] = (
    reset_after_head,
    reset_within_body,
    reset_after_run,
    never_answer,
    send_answer_byte_by_byte,
    truncate_head,
    close_before_body,
    truncate_body,
    close_before_end,
    answer_too_short,
    answer_too_long,
    answer_garbage,
    send_body_without_head,
    answer_twice,
    *(fail_with(kind) for kind in (ErrorKind.SHED, ErrorKind.DRAINING, ErrorKind.QUEUE_FULL)),
    fail_with(ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN),
)


def check_outcome(answer: ReceivedAnswer, runs: int, *, idempotent: bool) -> None:
    """Check a reported outcome against the number of runs of the request."""
    if answer.is_complete and not answer.error:
        assert runs >= 1
        assert answer.status == 200
    if answer.outcome == "not_run":
        assert runs == 0
    if answer.outcome == "run":
        assert runs >= 1
    if not idempotent:
        assert runs <= 1


@pytest.mark.parametrize("route", ["advance", "note", "short"])
@pytest.mark.parametrize("script", FAILURES, ids=lambda script: script.__qualname__)
def test_reports_the_true_outcome_after_any_failure(script: Script, route: str) -> None:
    method = "PUT" if route == "note" else "POST"

    async def main(bench: Bench) -> None:
        first = await (await connect(bench)).request(method, f"/{route}", b"b", x_request_id="1")
        check_outcome(first, bench.runs["1"], idempotent=route == "note")
        caller = await connect(bench)
        second = await caller.request("PUT", "/note", b"own", x_request_id="2")
        assert (second.status, second.body, second.is_complete) == (200, b"vm-1:own", True)

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(script)))


@pytest.mark.parametrize(
    "script",
    [
        reset_after_head,
        reset_within_body,
        reset_after_run,
        truncate_head,
        answer_garbage,
        send_body_without_head,
        fail_with(ErrorKind.SHED),
        fail_with(ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN),
    ],
    ids=lambda script: script.__qualname__,
)
def test_idempotent_requests_are_retried_after_failures_before_the_answer(script: Script) -> None:
    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("PUT", "/note", b"b", x_request_id="1")
        assert (answer.status, answer.body) == (200, b"vm-1:b")

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(script, script)))


# Guards against a node of another release passing on a worker's status that no answer has.
@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, 999, 2_000, -200])
def test_a_status_that_no_answer_has_is_not_passed_on(status: int) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        answer = await caller.request("POST", "/advance", b"b")
        assert (answer.status, answer.error) == (502, "answer_malformed")
        assert (await (await connect(bench)).request("POST", "/advance", b"b")).status == 200

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(answer_with_status(status))))


def queue_scripts(*scripts: Script) -> deque[Script]:
    return deque(scripts)


def test_a_refused_connection_has_the_outcome_not_run() -> None:
    async def main(bench: Bench) -> None:
        vm = bench.directory.vms[0]
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as unused:
            unused.bind((HOST, 0))
            port = unused.getsockname()[1]
        bench.directory.vms = (type(vm)(**{**vm.__dict__, "hop_port": port}),)
        answer = await (await connect(bench)).request("POST", "/advance", b"b")
        assert (answer.status, answer.error, answer.outcome) == (503, "upstream_refused", "not_run")
        assert answer.headers["x-trefoilpick-retry"] == "exhausted"
        assert answer.headers["retry-after"] == "1"
        assert not bench.directory.refused

    run_bench(main, FakeWorkerNode())


def test_the_outcome_is_unknown_if_an_earlier_attempt_may_have_run() -> None:
    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("PUT", "/note", b"b", x_request_id="1")
        assert (answer.error, answer.outcome, bench.runs["1"]) == ("shed", "unknown", 1)

    shed = fail_with(ErrorKind.SHED)
    run_bench(main, FakeWorkerNode(scripts=queue_scripts(reset_after_run, shed, shed)))


@pytest.mark.parametrize(("ends", "status"), [(1, 200), (2, 502)])
def test_a_request_under_which_two_workers_ended_is_sent_to_no_third(
    ends: int, status: int
) -> None:
    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("PUT", "/note", b"b", x_request_id="1")
        assert (answer.status, bench.fakes[0].connections) == (status, min(ends + 1, 2))

    ended = fail_with(ErrorKind.UPSTREAM_ENDED, Outcome.UNKNOWN)
    run_bench(main, FakeWorkerNode(scripts=queue_scripts(*ends * [ended])))


def test_a_quarantined_request_is_refused_without_asking_a_worker() -> None:
    table = QuarantineTable()
    gate = QuarantineGate("vm-0", table, list_endpoints=lambda service: (), metrics=Metrics())

    async def main(bench: Bench) -> None:
        headers = [(b"host", b"encargos.quillqa")]
        caller = await connect(bench)
        assert (await caller.request("PUT", "/note", b"poison")).status == 200
        # The fingerprint also covers the service of the caller's VM, which the node adds.
        headers.append((DEFAULT_CONVENTIONS.caller_service, b"portafolio"))
        fingerprint = compute_fingerprint(
            "PUT", "/note", headers, [b"poison"], conventions=DEFAULT_CONVENTIONS
        )
        table.escalate(fingerprint, CaseState.QUARANTINED, service="encargos", route="note", ends=3)
        connections = bench.fakes[0].connections
        answer = await caller.request("PUT", "/note", b"poison")
        assert (answer.status, answer.error, answer.outcome) == (503, "quarantined", "not_run")
        assert answer.headers["x-trefoilpick-retry"] == "exhausted"
        assert int(answer.headers["retry-after"]) <= TRIAL_DELAYS_S[0]
        assert bench.fakes[0].connections == connections
        assert (await caller.request("PUT", "/note", b"harmless")).status == 200

    run_bench(main, FakeWorkerNode(), gate=gate)


def test_a_request_marked_as_retry_is_not_retried() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        answer = await caller.request("PUT", "/note", b"b", x_trefoilpick_retry="1")
        assert (answer.status, answer.outcome) == (503, "not_run")
        assert "x-trefoilpick-retry" not in answer.headers
        assert (await caller.request("PUT", "/note", b"b")).status == 200

    bench = run_bench(main, FakeWorkerNode(scripts=queue_scripts(fail_with(ErrorKind.SHED))))
    assert bench.fakes[0].connections == 2


def test_a_token_is_forwarded_only_to_its_vm() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        answer = await caller.request("POST", "/advance", b"", x_trefoilpick_token="request")
        token = answer.headers["x-trefoilpick-token"]
        assert (answer.status, answer.outcome) == (204, "not_run")
        vm = read_claims(token).vm
        for _ in range(8):
            answer = await caller.request("POST", "/advance", b"b", x_trefoilpick_token=token)
            assert answer.body == vm.encode() + b":b"
        foreign = await caller.request(
            "POST", "/advance", b"b", x_trefoilpick_token=make_token("vm-9")
        )
        assert (foreign.status, foreign.error, foreign.outcome) == (
            409,
            "token_foreign",
            "unknown",
        )
        bad = await caller.request("POST", "/advance", b"b", x_trefoilpick_token="nothing")
        assert (bad.status, bad.outcome) == (400, "unknown")

    run_bench(main, FakeWorkerNode("vm-1"), FakeWorkerNode("vm-2"))


def test_the_deadline_is_forwarded_and_enforced() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        answer = await caller.request("POST", "/advance", b"b", x_trefoilpick_deadline_ms="150")
        assert (answer.status, answer.error, answer.outcome) == (
            504,
            "deadline_after_send",
            "unknown",
        )
        late = await caller.request("POST", "/advance", b"b", x_trefoilpick_deadline_ms="0")
        assert (late.status, late.outcome) == (503, "not_run")
        assert 0 < bench.fakes[0].received[0].head.remaining_ms <= 150
        assert len(bench.fakes[0].received) == 1

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(never_answer)))


def test_a_long_deadline_is_enforced_and_cancels_the_hop() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        answer = await caller.request("GET", "/status", x_trefoilpick_deadline_ms="1100")
        assert (answer.status, answer.error, answer.outcome) == (
            504,
            "deadline_after_send",
            "unknown",
        )
        assert (await caller.request("GET", "/status")).status == 200
        await wait_until(lambda: bench.fakes[0].cancelled == 1)

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(never_answer)))


@pytest.mark.parametrize(
    ("sent", "status", "error"),
    [
        (b"NONSENSE\r\n\r\n", 400, "head_malformed"),
        (b"GET /status HTTP/1.1\r\n\r\n", 400, "head_malformed"),
        (b"GET /status/../advance HTTP/1.1\r\nhost: a\r\n\r\n", 400, "head_malformed"),
        (b"GET /status/%2E%2e/advance HTTP/1.1\r\nhost: a\r\n\r\n", 400, "head_malformed"),
        (b"GET /" + b"x" * 40_000, 431, "head_too_large"),
        (b"GET /status HTTP/1.1\r\nhost: ", 408, "head_timeout"),
        (b"GET /other HTTP/1.1\r\nhost: a\r\n\r\n", 404, "no_route"),
        (b"PUT /status HTTP/1.1\r\nhost: a\r\n\r\n", 405, "method_not_allowed"),
        (
            b"POST /advance HTTP/1.1\r\nhost: a\r\ncontent-length: 100001\r\n\r\n",
            413,
            "body_too_large",
        ),
        (
            b"POST /advance HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"fff0\r\n"
            + b"x" * 0xFFF0
            + b"\r\nfff0\r\n"
            + b"x" * 0xFFF0
            + b"\r\n",
            413,
            "body_too_large",
        ),
        (
            b"POST /advance HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
            "body_malformed",
        ),
        (b"POST /advance HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc", 400, "body_timeout"),
    ],
)
def test_invalid_requests_get_specific_errors(sent: bytes, status: int, error: str) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(sent)
        caller.http.send(_any_request())
        answer = await caller.receive()
        assert (answer.status, answer.error, answer.is_complete) == (status, error, True)
        assert bench.runs.total() == 0

    run_bench(
        main, FakeWorkerNode(), requests=RequestSettings(head_timeout_ms=300, body_idle_ms=300)
    )


def _any_request() -> h11.Request:
    return h11.Request(method="GET", target="/", headers=[("host", "a")])


def test_refuses_requests_when_not_ready_behind_or_at_the_connection_limit() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        bench.is_up_to_date = False
        assert (await caller.request("GET", "/status")).error == "not_level"
        bench.is_ready = False
        answer = await caller.request("GET", "/status")
        assert (answer.status, answer.error, answer.outcome) == (503, "not_ready", "not_run")
        bench.is_ready = bench.is_up_to_date = True
        assert (await caller.request("GET", "/status")).status == 200
        surplus = await connect(bench)
        surplus.http.send(_any_request())
        answer = await surplus.receive()
        assert (answer.status, answer.error) == (503, "too_many_connections")

    run_bench(main, FakeWorkerNode(), requests=RequestSettings(max_connections=1))


# A node that knew of a newer version answered 404 for routes that it did not have yet.
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_unknown_route_is_not_refused_for_good_by_a_node_that_may_be_behind(method: str) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        path = "/new/" if method == "GET" else "/status"
        assert (await caller.request(method, path)).status in (404, 405)
        bench.may_be_behind = True
        caller = await connect(bench)
        answer = await caller.request(method, path)
        assert (answer.status, answer.error, answer.outcome) == (503, "not_level", "not_run")
        assert (await caller.request("GET", "/status")).status == 200
        bench.may_be_behind = False
        assert (await caller.request(method, path)).status in (404, 405)

    run_bench(main, FakeWorkerNode())


def test_pipelined_requests_get_their_own_answers_in_order() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        head = b"PUT /note HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n"
        await caller.sock.sendall(b"".join(head + b"%d" % number for number in range(5)))
        received = b""
        while received.count(b"vm-1:") < 5:
            received += await caller.sock.recv(65_536)
        positions = [received.index(b"vm-1:%d" % number) for number in range(5)]
        assert positions == sorted(positions)

    run_bench(main, FakeWorkerNode())


def test_expect_continue_and_streaming_of_a_large_body() -> None:
    size = 3_000_000

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        head = b"PUT /spread HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
        await caller.sock.sendall(head + b"content-length: %d\r\n\r\n" % size)
        assert (await caller.sock.recv(100)).startswith(b"HTTP/1.1 100")
        await caller.sock.sendall(bytes(size))
        caller.http.send(_any_request())
        answer = await caller.receive()
        assert (answer.status, len(answer.body)) == (200, size + len(b"vm-1:"))
        assert bench.fakes[0].received[0].is_complete

    run_bench(main, FakeWorkerNode())


async def answer_early(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await hop.send(fake.encode_answer(status=409), END)
    await curio.sleep(0.2)
    raise ConnectionResetError


def test_a_request_goes_on_to_other_workers_while_they_refuse_it_by_their_limited_rates() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        assert (await caller.request("PUT", "/spread", b"pages")).status == 200
        assert (await caller.request("PUT", "/spread", b"pages")).status == 200

    limited = fail_with(ErrorKind.RATE_LIMITED)
    fakes = [FakeWorkerNode(name="vm-1", scripts=queue_scripts(limited))]
    fakes += [FakeWorkerNode(name="vm-2", scripts=queue_scripts(limited))]
    fakes += [FakeWorkerNode(name="vm-3")]
    bench = run_bench(main, *fakes)
    assert bench.runs.total() == 2


def test_a_request_is_refused_with_the_advised_delay_if_all_workers_have_limited_rates() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        for _ in range(3):
            answer = await caller.request("PUT", "/spread", b"pages")
            assert (answer.status, answer.outcome) == (503, "not_run")
            assert answer.error == "upstream_limited"
            assert answer.headers["retry-after"] in ("1", "2")

    fakes = [
        FakeWorkerNode(
            name=f"vm-{number}", scripts=queue_scripts(fail_with(ErrorKind.RATE_LIMITED))
        )
        for number in range(2)
    ]
    bench = run_bench(main, *fakes)
    assert [len(fake.scripts) for fake in fakes] == [0, 0]
    assert bench.runs.total() == 0


@pytest.mark.parametrize("script", [answer_early, fail_with(ErrorKind.SHED)])
def test_an_early_answer_reaches_a_caller_that_still_uploads(script: Script) -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.send("PUT", "/spread", bytes(100_000), length=50_000_000)
        answer = await caller.receive()
        assert answer.status == (409 if script is answer_early else 503)
        assert answer.is_complete

    # A refused upload is tried once more, since its body has not been sent.
    run_bench(main, FakeWorkerNode(scripts=queue_scripts(script, script)))


def test_a_truncated_answer_resets_an_http_1_0_connection() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.sock.sendall(b"GET /status HTTP/1.0\r\nhost: a\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while await caller.sock.recv(65_536):
                pass

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(close_before_end)))


@pytest.mark.parametrize("state", ["upload", "wait", "answer"])
def test_a_disconnect_cancels_the_request(state: str) -> None:
    async def begin_answer(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await hop.send(fake.encode_answer(headers=LENGTH_10), encode_data([b"half."]))
        if await hop.receive() is None:
            raise ConnectionResetError

    script = begin_answer if state == "answer" else never_answer

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.send("POST", "/advance", b"b", length=10 if state == "upload" else 1)
        fake = bench.fakes[0]
        await wait_until(lambda: bool(fake.hops if state == "upload" else fake.received))
        await caller.sock.close()
        await wait_until(lambda: fake.cancelled == 1)
        await wait_until(lambda: bench.server.in_flight == 0)
        assert bench.metrics.get_count("trefoilpick_requests_total", result="caller_gone") == 1

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(script)))


async def answer_slowly(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
    await fake.receive_body(hop, head)
    await curio.sleep(0.3)
    await hop.send(fake.encode_answer(headers=LENGTH_10), encode_data([b"01234"]))
    await curio.sleep(0.3)
    await hop.send(encode_data([b"56789"]), END)


def test_a_drain_completes_requests_in_every_state() -> None:
    async def main(bench: Bench) -> None:
        idle = await connect(bench)
        assert (await idle.request("GET", "/status")).status == 200
        new = await connect(bench)
        waiting = await connect(bench)
        bench.fakes[0].scripts.append(answer_slowly)
        await waiting.send("GET", "/status")
        await wait_until(lambda: len(bench.fakes[0].received) == 2)
        uploading = await connect(bench)
        await uploading.send("PUT", "/spread", b"12345", length=10)
        await wait_until(lambda: bench.server.in_flight == 2)
        drain_task = await curio.spawn(bench.server.drain)
        during = await (await connect(bench)).request("GET", "/status")
        assert (during.status, during.headers["connection"]) == (200, "close")
        answer = await waiting.receive()
        assert (answer.status, answer.body, answer.is_complete) == (200, b"0123456789", True)
        refused = await (await connect(bench)).request("GET", "/status")
        assert (refused.status, refused.error) == (503, "draining")
        await uploading.sock.sendall(b"67890")
        answer = await uploading.receive()
        assert (answer.status, answer.body) == (200, b"vm-1:1234567890")
        assert (await drain_task.join()).cut == 0
        assert await new.sock.recv(1) == b""
        assert await idle.sock.recv(1) == b""

    run_bench(main, FakeWorkerNode(), drain=DrainSettings(notice_ms=200, limit_ms=20_000))


# Guards against requests that come late in a drain being sent to a worker and cut at its end.
def test_a_drain_refuses_at_once_what_it_would_cut() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        for _ in range(2):
            assert (await caller.request("GET", "/status")).status == 200
        draining = await curio.spawn(bench.server.drain)
        await curio.sleep(0.05)
        began_at = read_clock()
        refused = await (await connect(bench)).request("GET", "/status")
        assert (refused.status, refused.error, refused.outcome) == (503, "draining", "not_run")
        assert read_clock() - began_at < 0.2
        assert bench.runs.total() == 2
        short = await (await connect(bench)).request("GET", "/short")
        assert short.status == 200
        assert (await draining.join()).cut == 0

    async def answer_slowly(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await curio.sleep(1.0)
        await answer_ok(fake, hop, head)

    scripts = queue_scripts(answer_slowly, answer_slowly)
    run_bench(main, FakeWorkerNode(scripts=scripts), drain=DrainSettings(500, 300))


# Guards against another attempt, late in a drain, that its end would cut.
def test_a_drain_makes_no_attempt_that_it_would_cut() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        assert (await caller.request("GET", "/status")).status == 200
        await caller.send("GET", "/status")
        await wait_until(lambda: bench.runs.total() == 2)
        draining = await curio.spawn(bench.server.drain)
        answer = await caller.receive()
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert bench.runs.total() == 2
        assert (await draining.join()).cut == 0

    async def answer_slowly(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await curio.sleep(0.6)
        await answer_ok(fake, hop, head)

    async def lose_late(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await curio.sleep(0.3)
        raise ConnectionResetError

    scripts = queue_scripts(answer_slowly, lose_late)
    run_bench(main, FakeWorkerNode(scripts=scripts), drain=DrainSettings(0, 500))


# Guards against a worker working on for longer than the node that waits for its answer stays.
def test_a_request_in_a_drain_has_no_more_time_than_the_node() -> None:
    async def main(bench: Bench) -> None:
        draining = await curio.spawn(bench.server.drain)
        answer = await (await connect(bench)).request("GET", "/status")
        assert answer.status == 200
        assert bench.fakes[0].received[0].head.remaining_ms <= 800
        await draining.join()

    run_bench(main, FakeWorkerNode(), drain=DrainSettings(500, 300))


def test_a_drain_reports_requests_in_flight_at_its_limit() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.send("POST", "/advance", b"b")
        await wait_until(lambda: bool(bench.fakes[0].received))
        assert (await bench.server.drain()).cut == 1

    run_bench(
        main, FakeWorkerNode(scripts=queue_scripts(never_answer)), drain=DrainSettings(0, 100)
    )


def test_a_leaving_notice_stops_new_requests_to_the_node() -> None:
    async def main(bench: Bench) -> None:
        leaving_node = bench.fakes[0]
        caller = await connect(bench)
        while not leaving_node.hops:
            await caller.request("GET", "/status")
        leaving_node.leaving = True
        notice: Load = leaving_node.build_load()
        await leaving_node.hops[0].send(encode_head(FrameKind.NOTICE, notice))
        await wait_until(lambda: bench.directory.leaving == ["vm-1"])
        received = len(leaving_node.received)
        for _ in range(20):
            assert (await caller.request("GET", "/status")).body == b"vm-2:"
        assert len(leaving_node.received) == received

    run_bench(main, FakeWorkerNode("vm-1"), FakeWorkerNode("vm-2"))


def test_draining_refusals_use_no_attempts_and_no_budget() -> None:
    """In a rolling replacement, four of five nodes refuse as draining and one accepts."""

    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("PUT", "/spread", b"b")
        assert (answer.status, answer.is_complete) == (200, True)

    refusing = [
        FakeWorkerNode(name=f"vm-{number}", scripts=queue_scripts(fail_with(ErrorKind.DRAINING)))
        for number in range(1, 5)
    ]
    run_bench(main, *refusing, FakeWorkerNode(name="vm-5"))


def test_a_server_error_is_retried_once_if_the_route_is_idempotent() -> None:
    async def fail(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await hop.send(fake.encode_answer(status=500), encode_data([b"broken"]), END)

    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("PUT", "/note", b"b", x_request_id="1")
        assert (answer.status, answer.is_complete, bench.runs["1"]) == (200, True, 2)
        bench.fakes[0].scripts.append(fail)
        answer = await (await connect(bench)).request("POST", "/advance", b"b", x_request_id="2")
        assert (answer.status, answer.body, bench.runs["2"]) == (500, b"broken", 1)

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(fail)))


def test_content_length_with_transfer_encoding_is_refused_and_the_rest_is_not_read() -> None:
    smuggled = b"POST /advance HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb"

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        head = b"PUT /note HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
        await caller.sock.sendall(head + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled)
        received = b""
        while data := await caller.sock.recv(65_536):
            received += data
        assert received.startswith(b"HTTP/1.1 400")
        assert received.count(b"HTTP/1.1") == 1
        assert bench.runs.total() == 0

    run_bench(main, FakeWorkerNode())


def test_the_worker_gets_a_shorter_deadline_and_the_objective() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        latency_ms = Objective().latency_ms
        for deadline_ms, lost_ms in ((600, 0), (400, 200)):
            sent_s = read_clock()
            await caller.request("PUT", "/note", b"b", x_trefoilpick_deadline_ms=str(deadline_ms))
            elapsed_ms = (read_clock() - sent_s) * 1_000
            head = bench.fakes[0].received[-1].head
            margin_ms = ANSWER_MARGIN_MS + HOP_MARGIN_MS
            limit_ms = deadline_ms - margin_ms
            assert limit_ms - elapsed_ms - 1 <= head.remaining_ms <= limit_ms
            # Both are computed at once, so their difference does not depend on the time elapsed.
            assert head.objective_ms is not None
            difference_ms = head.objective_ms - head.remaining_ms
            assert abs(difference_ms - (latency_ms - lost_ms - limit_ms)) <= 1

    run_bench(main, FakeWorkerNode())


def test_an_unresponsive_vm_gets_only_one_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a partition, sent data is not acknowledged, and the hop breaks with a timeout."""
    receive = ClientHop.receive

    async def receive_unless_partitioned(hop: ClientHop) -> Frame | None:
        if hop.vm.name == "vm-1":
            raise TimeoutError(errno.ETIMEDOUT, "timed out")
        return await receive(hop)

    monkeypatch.setattr(ClientHop, "receive", receive_unless_partitioned)

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        for _ in range(20):
            answer = await caller.request("PUT", "/note", b"b")
            assert answer.body.startswith(b"vm-2")

    bench = run_bench(main, FakeWorkerNode("vm-1"), FakeWorkerNode("vm-2"))
    assert bench.fakes[0].connections == 1


def test_heads_between_data_centres_are_compressed_in_both_directions() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        for _ in range(3):
            answer = await caller.request("PUT", "/note", b"body")
            assert answer.body.endswith(b":body")

    bench = run_bench(main, FakeWorkerNode("vm-1", data_centre="lima-z"), FakeWorkerNode("vm-2"))
    run_bench(main, FakeWorkerNode("vm-1", data_centre="lima-z"))
    assert all(hop._compressor is None for fake in bench.fakes[1:] for hop in fake.hops)


@pytest.mark.parametrize(
    ("request_id", "priority", "objective_ms"),
    [("7a.1", "interactive", 320 - ANSWER_MARGIN_MS), ("7b", "normal", 320)],
    ids=["nested", "returning"],
)
def test_a_nested_call_has_high_priority_and_its_parents_deadline(
    request_id: str, priority: str, objective_ms: int
) -> None:
    """A nested call has less time left because its parent ran, not because it is a retry."""

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        for deadline_ms, name in (("1000", "1"), ("320", request_id)):
            sent_s = read_clock()
            await caller.request(
                "PUT", "/note", b"b", x_request_id=name, x_trefoilpick_deadline_ms=deadline_ms
            )
        elapsed_ms = (read_clock() - sent_s) * 1_000
        head = bench.fakes[0].received[-1].head
        assert head.priority == priority
        assert head.objective_ms is not None
        assert objective_ms - elapsed_ms - 1 <= head.objective_ms <= objective_ms
        # Both are computed at once, so their difference does not depend on the time elapsed.
        limit_ms = 320 - ANSWER_MARGIN_MS - HOP_MARGIN_MS
        difference_ms = head.objective_ms - head.remaining_ms
        assert abs(difference_ms - (objective_ms - limit_ms)) <= 1

    run_bench(main, FakeWorkerNode(), conventions=Conventions(nested_separator=b"."))


@pytest.mark.parametrize(
    ("request_id", "nested_first", "is_uneven", "expected"),
    [
        ("7a.1", True, True, ("interactive", True)),
        ("7b.1", True, True, ("normal", False)),
        ("7b.1", False, True, ("interactive", False)),
        ("7a.1", True, False, ("interactive", False)),
    ],
    ids=[
        "worker runs the parent",
        "only the form of the ID",
        "setting is off",
        "document declares no uneven load",
    ],
)
def test_nested_call_goes_first_only_if_the_worker_runs_its_parent(
    request_id: str, nested_first: bool, is_uneven: bool, expected: tuple[str, bool]
) -> None:
    """Guards against clients that gain by a dot in an ID; without the setting nothing changes."""
    running = RunningRequests()

    async def main(bench: Bench) -> None:
        with running.track("7a"):
            await (await connect(bench)).request("PUT", "/note", b"b", x_request_id=request_id)
        head = bench.fakes[0].received[-1].head
        assert (head.priority, head.nested) == expected

    run_bench(
        main,
        FakeWorkerNode(),
        conventions=Conventions(nested_separator=b"."),
        hops=HopSettings(nested_first=nested_first),
        running=running,
        large_answers=is_uneven,
    )


def test_a_worker_timeout_is_not_retried() -> None:
    """After a worker's 504 no time is left, and another run would only occupy a slot."""

    async def run_out_of_time(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        await fake.receive_body(hop, head)
        await hop.send(fake.encode_answer(status=504), encode_data([b"late"]), END)

    async def main(bench: Bench) -> None:
        answer = await (await connect(bench)).request("PUT", "/note", b"b", x_request_id="1")
        assert (answer.status, answer.body, bench.runs["1"]) == (504, b"late", 1)

    run_bench(main, FakeWorkerNode(scripts=queue_scripts(run_out_of_time)))


def test_a_body_stays_with_the_caller_until_a_worker_accepts_its_request() -> None:
    """Bodies of refused uploads must not fill a worker's link of 7 Mbit/s."""
    received: list[int] = []

    async def refuse_after_a_round_trip(fake: FakeWorkerNode, hop: Hop, head: HopRequest) -> None:
        size = 0
        async with curio.ignore_after(ROUND_TRIP_S):
            while (frame := await hop.receive()) is not None:
                size += len(frame.payload)
        received.append(size)
        await fail_with(ErrorKind.SHED)(fake, hop, head)

    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.send("PUT", "/spread", bytes(UPLOAD_BYTES), length=UPLOAD_BYTES)
        assert (await caller.receive()).status == 503
        assert max(received) <= MAX_UNACCEPTED_BYTES

    scripts = queue_scripts(refuse_after_a_round_trip, refuse_after_a_round_trip)
    run_bench(main, FakeWorkerNode(scripts=scripts))


def test_a_refused_upload_is_sent_whole_to_another_worker() -> None:
    async def main(bench: Bench) -> None:
        caller = await connect(bench)
        await caller.send("PUT", "/spread", bytes(UPLOAD_BYTES))
        answer = await caller.receive()
        assert answer.status == 200
        assert len(answer.body) == len(b"vm-1:") + UPLOAD_BYTES
        assert sum(len(fake.received) for fake in bench.fakes) == 1

    scripts = [queue_scripts(fail_with(ErrorKind.SHED)), queue_scripts()]
    run_bench(main, *(FakeWorkerNode(f"vm-{n}", scripts=s) for n, s in enumerate(scripts, 1)))
