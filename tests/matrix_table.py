"""The fault matrix: the expected outcome of every fault at every step."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    DEATH = "death"
    HERD = "herd death"
    """All nodes die at once."""
    PAUSE = "pause"
    REFUSED = "refused"
    RESET = "reset"
    BLACK_HOLE = "black hole"
    SLOW = "slow"
    TRUNCATED = "truncated"
    DOUBLED = "doubled"
    REORDERED = "reordered"
    STALE = "stale"
    SOURCE_DOWN = "source down"
    RESTORED = "restored"
    """The source returns to an older copy; what was written since is written again later."""
    PARTITION = "partition"
    GARBAGE = "garbage"


class Step(Enum):
    ANNOUNCE = "announce"
    WATCH = "watch"
    READ_MANIFEST = "read manifest"
    READ_SECTION = "read section"
    CHECK = "check"
    PREPARE = "prepare"
    ENFORCE = "enforce"
    RELAY = "relay"
    REPORT = "report"
    ACCEPT = "accept"
    READ_HEAD = "read head"
    ADMIT = "admit"
    CHOOSE = "choose"
    CONNECT = "connect"
    SEND_HEAD = "send head"
    SEND_BODY = "send body"
    AWAIT = "await"
    RELAY_ANSWER = "relay answer"
    FINISH = "finish"
    START = "start"
    JOIN = "join"
    SERVE = "serve"
    LEAVE = "leave"
    DRAIN = "drain"
    EXIT = "exit"


VERSION_STEPS = tuple(Step)[:9]
REQUEST_STEPS = tuple(Step)[9:19]
LIFECYCLE_STEPS = tuple(Step)[19:]


class Expected(Enum):
    """Expected outcome, in addition to the guarantees that hold for every cell."""

    IN_TIME = "in force in 8 s"
    """The new version is in force on every running node within 8 s despite the fault."""
    AFTER = "in force 8 s after the fault"
    """The new version is in force on every running node within 8 s of the fault's end."""
    KEPT = "previous kept"
    """The previous version stays in force; the next valid one is in force within 8 s."""
    ANSWERED = "answered"
    """Idempotent requests are answered; others get an answer or an error with a true outcome."""
    ANSWERED_TRUTHFULLY = "answered truthfully"
    """Every request gets an answer or an error with a true outcome before its deadline."""
    SERVED = "served"
    """Callers are served during the fault, and the node is up to date afterwards."""
    IMPOSSIBLE = "impossible"


@dataclass(frozen=True)
class Cell:
    step: Step
    fault: Fault
    expected: Expected
    reason: str = ""
    second_fault: Fault | None = None
    """Another fault injected at the same time."""

    @property
    def name(self) -> str:
        pair = f" with {self.second_fault.value}" if self.second_fault else ""
        return f"{self.step.value}: {self.fault.value}{pair}"


F, S = Fault, Step
DEATHS = {F.DEATH, F.HERD, F.PAUSE}
SYNCHRONOUS = "checking, preparing and enforcing never suspend, so nothing can arrive in between"
IN_ORDER = "TCP delivers the bytes of a connection in order and once"
NO_PEER = "no peer or source is involved in this step"
ONE_ANSWER = "each read has one response, on the connection of its request"
NO_SOURCE = "the source is not involved in a request; a node keeps serving without it"
NO_BODY_CHECK = "only TCP's checksum protects the body; HTTP/1.1 cannot detect a changed byte"
OWN_TASK = "the step runs within one task of the node and uses no link"


def list_cells() -> Iterator[Cell]:
    """Yield the cells with one fault, then those with two."""
    for step in VERSION_STEPS:
        for fault in Fault:
            yield make_version_cell(step, fault)
    for step in REQUEST_STEPS:
        for fault in Fault:
            yield make_request_cell(step, fault)
    for step in LIFECYCLE_STEPS:
        for fault in Fault:
            yield make_lifecycle_cell(step, fault)
    yield from list_fault_pairs()


def make_version_cell(step: Step, fault: Fault) -> Cell:
    if step in (S.CHECK, S.PREPARE, S.ENFORCE):
        if fault in DEATHS:
            return Cell(step, fault, Expected.IN_TIME if fault is F.DEATH else Expected.AFTER)
        if fault in (F.GARBAGE, F.TRUNCATED) and step is S.CHECK:
            return Cell(step, fault, Expected.KEPT)
        return Cell(step, fault, Expected.IMPOSSIBLE, SYNCHRONOUS)
    if step in (S.WATCH, S.READ_MANIFEST, S.READ_SECTION):
        if fault is F.DOUBLED or (fault is F.REORDERED and step is S.READ_SECTION):
            return Cell(step, fault, Expected.IMPOSSIBLE, ONE_ANSWER)
        if fault in (F.HERD, F.SOURCE_DOWN, F.STALE, F.RESTORED):
            return Cell(step, fault, Expected.AFTER)
        return Cell(step, fault, Expected.IN_TIME)
    return Cell(step, fault, Expected.AFTER if fault is F.HERD else Expected.IN_TIME)


def make_request_cell(step: Step, fault: Fault) -> Cell:
    if fault in (F.DOUBLED, F.REORDERED):
        return Cell(step, fault, Expected.IMPOSSIBLE, IN_ORDER)
    if fault is F.RESTORED:
        return Cell(step, fault, Expected.IMPOSSIBLE, NO_SOURCE)
    if fault in (F.STALE, F.SOURCE_DOWN):
        return Cell(step, fault, Expected.ANSWERED)
    if step in (S.ADMIT, S.CHOOSE) and fault not in DEATHS | {F.PARTITION}:
        return Cell(step, fault, Expected.IMPOSSIBLE, OWN_TASK)
    if step is S.SEND_BODY and fault is F.GARBAGE:
        return Cell(step, fault, Expected.IMPOSSIBLE, NO_BODY_CHECK)
    if fault is F.SLOW:
        return Cell(step, fault, Expected.ANSWERED)
    if step is S.CONNECT and fault in (F.DEATH, F.REFUSED, F.RESET):
        return Cell(step, fault, Expected.ANSWERED)
    if step is S.CONNECT and fault in (F.TRUNCATED, F.GARBAGE):
        return Cell(
            step,
            fault,
            Expected.IMPOSSIBLE,
            "no bytes are sent before the connection is established",
        )
    return Cell(step, fault, Expected.ANSWERED_TRUTHFULLY)


def make_lifecycle_cell(step: Step, fault: Fault) -> Cell:
    if step is S.EXIT and fault not in DEATHS | {F.PARTITION, F.SOURCE_DOWN, F.STALE, F.RESTORED}:
        return Cell(step, fault, Expected.IMPOSSIBLE, "a stopped node has no links")
    if step is S.START and fault in (F.TRUNCATED, F.DOUBLED, F.REORDERED, F.GARBAGE, F.SLOW):
        return Cell(
            step, fault, Expected.IMPOSSIBLE, "a starting node has not received a message yet"
        )
    return Cell(step, fault, Expected.SERVED)


def list_fault_pairs() -> Iterator[Cell]:
    """Yield cells with two simultaneous faults."""
    yield Cell(S.ANNOUNCE, F.DEATH, Expected.IN_TIME, second_fault=F.PARTITION)
    yield Cell(S.RELAY, F.DOUBLED, Expected.IN_TIME, second_fault=F.REORDERED)
    yield Cell(S.RELAY, F.GARBAGE, Expected.IN_TIME, second_fault=F.PAUSE)
    yield Cell(S.READ_SECTION, F.DEATH, Expected.AFTER, second_fault=F.SOURCE_DOWN)
    yield Cell(S.WATCH, F.HERD, Expected.AFTER, second_fault=F.STALE)
    yield Cell(S.READ_MANIFEST, F.RESTORED, Expected.AFTER, second_fault=F.DEATH)
    yield Cell(S.RELAY, F.RESTORED, Expected.AFTER, second_fault=F.PARTITION)
    yield Cell(S.WATCH, F.RESTORED, Expected.AFTER, second_fault=F.HERD)
    yield Cell(S.SERVE, F.PAUSE, Expected.SERVED, second_fault=F.PARTITION)
    yield Cell(S.JOIN, F.SOURCE_DOWN, Expected.SERVED, second_fault=F.DEATH)
    yield Cell(S.DRAIN, F.SOURCE_DOWN, Expected.SERVED, second_fault=F.PARTITION)
