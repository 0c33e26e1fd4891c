from pathlib import Path

import msgspec
import pytest

from trefoilpick.document import Contract, Match, Route, Section, Upstream
from trefoilpick.replay import replay_trace
from trefoilpick.traces import (
    CallsKept,
    Expectation,
    InForce,
    NeverInForce,
    NeverOlder,
    Requests,
    SourceReads,
    Trace,
    VersionAccepted,
    VmDies,
    VmJoins,
    VmReturns,
    read_trace,
)

TRACES = sorted((Path(__file__).parent.parent / "examples" / "traces").glob("*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_example_trace_holds(path: Path) -> None:
    report = replay_trace(read_trace(path), seed=1)
    assert [verdict for verdict in report.verdicts if not verdict.holds] == []


def make_trace(*expectations: Expectation) -> Trace:
    route = Route("all", Match("/", ("GET",)), "portafolio", Contract(idempotent=True))
    section = Section("portafolio", (Upstream("portafolio"),), (route,))
    vms = [VmJoins(0.0, f"vm-{n}", "lima", f"lima-{n % 2}", "portafolio") for n in range(4)]
    events = (
        *vms,
        VersionAccepted(1.0, 1, (section,)),
        Requests(12.0, "vm-0", 20, 4.0, "GET", "q", "/x"),
        VmDies(14.0, ("vm-1",)),
        VmReturns(15.0, ("vm-1",)),
    )
    return Trace(events, expectations)


def test_same_seed_gives_same_report() -> None:
    trace = make_trace(InForce(1, 12.0), NeverOlder(), CallsKept(1.0), SourceReads(100))
    first = replay_trace(trace, seed=3)
    assert first.holds
    assert msgspec.json.encode(first.verdicts) == msgspec.json.encode(
        replay_trace(trace, seed=3).verdicts
    )


def test_unmet_expectations_fail() -> None:
    trace = make_trace(InForce(2, 8.0), NeverInForce(1), SourceReads(1))
    verdicts = replay_trace(trace, seed=3).verdicts
    assert [verdict.holds for verdict in verdicts] == [False, False, False]
