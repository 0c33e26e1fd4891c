"""Replay of a trace: applies its events to running nodes, then checks its expected outcomes."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import singledispatch
from typing import TYPE_CHECKING

import curio

from trefoilpick._call_recorder import CallPlan, CallRecorder
from trefoilpick._call_totals import Call, CallTotals, total_calls
from trefoilpick._clock import read_clock
from trefoilpick._replay_fleet import Incarnation, ReplayFleet
from trefoilpick._virtual_time import run_virtual
from trefoilpick.manifest import Manifest, SectionRef, compute_digest
from trefoilpick.sections import encode_section
from trefoilpick.traces import (
    CallsKept,
    Event,
    Expectation,
    InForce,
    NeverInForce,
    NeverOlder,
    Partition,
    Requests,
    SourceFails,
    SourceReads,
    VersionAccepted,
    VmDies,
    VmJoins,
    VmLeaves,
    VmListed,
    VmPauses,
    VmReturns,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpick.document import Section
    from trefoilpick.traces import Trace

SETTLE_S = 20.0
"""Time between the last event and the check of the outcomes, in seconds."""

CALL_DEADLINE_S = 20.0
"""Deadline of each call, in seconds."""


@dataclass(frozen=True)
class Verdict:
    """Result of the check of one expected outcome.

    Attributes:
        outcome: Description of the expected outcome.
        holds: Whether it holds.
        detail: What was observed.
    """

    outcome: str
    holds: bool
    detail: str


@dataclass(frozen=True)
class ReplayReport:
    """Results of a replay.

    Attributes:
        verdicts: One for each expected outcome.
        requests: Totals of calls, from callers' results and workers' runs.
        source_reads: Number of calls to the source.
        source_peak: Maximum number of calls to the source within any second.
        messages: Number of messages that nodes sent to each other.
    """

    verdicts: tuple[Verdict, ...]
    requests: CallTotals
    source_reads: int
    source_peak: int
    messages: int

    @property
    def holds(self) -> bool:
        """Whether every expected outcome holds."""
        return all(verdict.holds for verdict in self.verdicts)


@dataclass
class Replay:
    """A replay in progress.

    Attributes:
        trace: The trace to replay.
        fleet: The fleet to which the events are applied.
        seed: Seed of every random choice.
        accepted_s: Time when each version was accepted, in seconds on the virtual clock, by number.
        calls: All finished calls.
        sections: Sections of the newest version, by team.
    """

    trace: Trace
    fleet: ReplayFleet
    seed: int
    accepted_s: dict[int, float] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    sections: dict[str, Section] = field(default_factory=dict)

    async def run(self) -> ReplayReport:
        """Apply all events and check the outcomes."""
        began_s = read_clock()
        async with curio.TaskGroup() as tasks:
            for event in self.trace.events:
                await curio.sleep(max(0.0, began_s + event.at_s - read_clock()))
                await tasks.spawn(apply_event, event, self)
        await curio.sleep(SETTLE_S)
        report = self._build_report()
        for name in self.fleet.vms:
            await self.fleet.kill(name)
        return report

    def _build_report(self) -> ReplayReport:
        runs: Counter[str] = Counter()
        for entry in self.fleet.vms.values():
            runs.update(entry.worker.runs)
        totals = total_calls(self.calls, runs)
        observed = ReplayObservations(self.fleet, self.accepted_s, totals)
        verdicts = tuple(
            check_outcome(expectation, observed) for expectation in self.trace.expectations
        )
        source = self.fleet.source
        return ReplayReport(
            verdicts,
            totals,
            len(source.call_times_s),
            source.count_peak_calls(),
            self.fleet.network.messages,
        )


@dataclass(frozen=True)
class ReplayObservations:
    """Observations of a finished replay, against which its expected outcomes are checked.

    Attributes:
        fleet: The fleet with the history of its nodes.
        accepted_s: Time when each version was accepted, in seconds on the virtual clock, by number.
        calls: Totals of all calls.
    """

    fleet: ReplayFleet
    accepted_s: dict[int, float]
    calls: CallTotals


@singledispatch
async def apply_event(event: Event, replay: Replay) -> None:
    """Apply an event and wait until its duration has passed."""
    raise TypeError(f'event "{type(event).__name__}" cannot be replayed')


@apply_event.register
async def _(event: VmJoins, replay: Replay) -> None:
    await replay.fleet.join(event)
    await replay.fleet.publish_list()


@apply_event.register
async def _(event: VmListed, replay: Replay) -> None:
    await replay.fleet.update_listing(event.vm, event.state)


@apply_event.register
async def _(event: VmLeaves, replay: Replay) -> None:
    await replay.fleet.stop(event.vm)


@apply_event.register
async def _(event: VmDies, replay: Replay) -> None:
    for name in replay.fleet.select_vms(event.vms, event.data_centre):
        await replay.fleet.kill(name)


@apply_event.register
async def _(event: VmReturns, replay: Replay) -> None:
    for name in replay.fleet.select_vms(event.vms, event.data_centre):
        await replay.fleet.start(name)


@apply_event.register
async def _(event: VmPauses, replay: Replay) -> None:
    await replay.fleet.pause(event.vm, event.for_s)


@apply_event.register
async def _(event: Partition, replay: Replay) -> None:
    await replay.fleet.partition(event.side, event.for_s, has_source=event.source)


@apply_event.register
async def _(event: SourceFails, replay: Replay) -> None:
    source = replay.fleet.source
    await source.begin_fault(event.fault)
    await curio.sleep(event.for_s)
    await source.end_fault(event.fault)


@apply_event.register
async def _(event: VersionAccepted, replay: Replay) -> None:
    for section in event.sections:
        replay.sections[section.team] = section
    for team in event.removed:
        replay.sections.pop(team, None)
    texts: dict[str, bytes] = {}
    refs: list[SectionRef] = []
    for team in sorted(replay.sections):
        text = encode_section(replay.sections[team])
        digest = compute_digest(text)
        texts[digest] = text
        refs.append(SectionRef(team, digest, len(text)))
    replay.accepted_s[event.number] = read_clock()
    manifest = Manifest(event.number, int(event.at_s * 1000), tuple(refs))
    await replay.fleet.source.accept(manifest, texts)


@apply_event.register
async def _(event: Requests, replay: Replay) -> None:
    addresses = replay.fleet.list_addresses(event.vm)
    plan = CallPlan(event.method, event.host, event.path, not event.token, event.body_bytes)
    label = f"{event.vm}@{event.at_s:g}{event.path}"
    recorder = CallRecorder(label, addresses, random.Random(f"{replay.seed}/{label}"))
    pause_s = event.for_s / max(1, event.count)
    async with curio.TaskGroup() as tasks:
        for number in range(event.count):
            await tasks.spawn(recorder.make_call, plan, number, CALL_DEADLINE_S)
            await curio.sleep(pause_s)
    await recorder.close()
    replay.calls += recorder.calls


@singledispatch
def check_outcome(expectation: Expectation, observed: ReplayObservations) -> Verdict:
    """Check one expected outcome."""
    raise TypeError(f'outcome "{type(expectation).__name__}" cannot be checked')


@check_outcome.register
def _(expectation: InForce, observed: ReplayObservations) -> Verdict:
    title = f"version {expectation.number} in force everywhere within {expectation.within_s:g} s"
    accepted_s = observed.accepted_s.get(expectation.number)
    if accepted_s is None:
        return Verdict(title, False, "the version was never accepted")
    delays = list(_list_delays(observed.fleet.incarnations, expectation, accepted_s))
    late = [f"{vm} ({took:.2f} s)" for vm, took in delays if took > expectation.within_s]
    if late or not delays:
        return Verdict(
            title,
            False,
            "late: " + ", ".join(late) if late else "no node ran long enough to be checked",
        )
    worst = max(took for _, took in delays)
    return Verdict(title, True, f"{len(delays)} nodes, the last after {worst:.2f} s")


@check_outcome.register
def _(expectation: NeverInForce, observed: ReplayObservations) -> Verdict:
    title = f"version {expectation.number} never in force"
    vms = sorted(
        {
            incarnation.vm
            for incarnation in observed.fleet.incarnations
            if any(entry.version.number == expectation.number for entry in incarnation.history)
        }
    )
    return Verdict(title, not vms, f"enforced by {', '.join(vms)}" if vms else "nowhere")


@check_outcome.register
def _(expectation: NeverOlder, observed: ReplayObservations) -> Verdict:
    incarnations = observed.fleet.incarnations
    reverted = [
        incarnation.vm
        for incarnation in incarnations
        for before, after in zip(incarnation.history, incarnation.history[1:], strict=False)
        if after.version <= before.version
    ]
    detail = (
        f"went back: {', '.join(reverted)}" if reverted else f"{len(incarnations)} incarnations"
    )
    return Verdict("no node went back to an older version", not reverted, detail)


@check_outcome.register
def _(expectation: CallsKept, observed: ReplayObservations) -> Verdict:
    title = f"no call lost, doubled or cut, {expectation.answered_share:.1%} answered"
    calls = observed.calls
    broken = calls.lost + calls.doubled + calls.cut + calls.false_not_run
    share = calls.answered / calls.sent if calls.sent else 0.0
    detail = (
        f"{calls.sent} calls: {calls.answered} answered, {calls.not_run} not run,"
        f" {calls.unknown} unknown, {calls.lost} lost, {calls.doubled} doubled, {calls.cut} cut,"
        f" {calls.false_not_run} falsely not run"
    )
    return Verdict(title, broken == 0 and share >= expectation.answered_share, detail)


@check_outcome.register
def _(expectation: SourceReads, observed: ReplayObservations) -> Verdict:
    title = f"at most {expectation.peak} reads of the source in any second"
    peak = observed.fleet.source.count_peak_calls()
    return Verdict(title, peak <= expectation.peak, f"peak {peak}")


def replay_trace(trace: Trace, *, seed: int) -> ReplayReport:
    """Replay a trace on a virtual clock.

    Args:
        trace: The events and the outcomes that must hold.
        seed: Seed of every random choice; the same seed gives the same report.
    """
    return run_virtual(_run(trace, seed))


async def _run(trace: Trace, seed: int) -> ReplayReport:
    return await Replay(trace, ReplayFleet(seed), seed).run()


def _list_delays(
    incarnations: list[Incarnation], expectation: InForce, accepted_s: float
) -> Iterator[tuple[str, float]]:
    """Yield each incarnation's VM and the time until it enforced the version or a newer one.

    The time is in seconds and infinite if it never did so. Incarnations that ended before they had
    to enforce the version are left out.
    """
    for incarnation in incarnations:
        from_s = max(accepted_s, incarnation.began_s)
        reached = [
            entry.at_s
            for entry in incarnation.history
            if entry.version.number >= expectation.number
        ]
        if reached:
            yield incarnation.vm, max(0.0, reached[0] - from_s)
        elif incarnation.ended_s >= from_s + expectation.within_s:
            yield incarnation.vm, float("inf")
