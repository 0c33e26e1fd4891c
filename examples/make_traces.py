"""Write the example traces: ordinary days and failures of two companies, compressed in time.

Run it with `python examples/make_traces.py`; its output is deterministic.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from trefoilpick.document import Contract, Match, Priority, Route, Section, Upstream
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
    SourceFault,
    SourceReads,
    VersionAccepted,
    VmDies,
    VmJoins,
    VmLeaves,
    VmListed,
    VmPauses,
    VmReturns,
    encode_line,
)
from trefoilpick.vms import VmState

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

FOLDER = Path(__file__).parent / "traces"

OUTAGE_S = 360.0
"""Duration of a source outage, in seconds: an hour compressed by a factor of ten."""

BOUND_S = 8.0
"""Maximum time until an accepted version is in force everywhere, in seconds."""

SOURCE_PEAK = 500
"""Maximum reads per second of the whole fleet: a quarter of the source's capacity."""

LIMA = ("lima-a", "lima-b", "lima-c")
"""Data centres of Quillqa."""

NOORD = ("eemshaven", "delfzijl", "veendam")
"""Data centres of RTK."""


def build_section(team: str, slots: int, connections: int, routes: Sequence[Route]) -> Section:
    """Return a team's section with one upstream, named after the team."""
    upstream = Upstream(team, slots=slots, connections=connections)
    return Section(team, (upstream,), tuple(routes))


def build_route(
    team: str,
    name: str,
    method: str,
    *,
    idempotent: bool,
    priority: Priority,
    body_limit_bytes: int = 0,
) -> Route:
    """Return a route whose path is its name."""
    contract = Contract(
        idempotent=idempotent,
        deadline_ms=10_000,
        priority=priority,
        retries=2,
        body_limit_bytes=body_limit_bytes or 65_536,
    )
    return Route(name, Match(f"/{name}", (method,)), team, contract)


PORTAFOLIO = build_section(
    "portafolio",
    10,
    120,
    [
        build_route(
            "portafolio", "sketches", "GET", idempotent=True, priority=Priority.INTERACTIVE
        ),
        build_route("portafolio", "archive", "GET", idempotent=True, priority=Priority.DEFERRABLE),
    ],
)
ENCARGOS = build_section(
    "encargos",
    10,
    120,
    [
        build_route(
            "encargos", "advances", "POST", idempotent=False, priority=Priority.INTERACTIVE
        ),
        build_route(
            "encargos",
            "spreads",
            "PUT",
            idempotent=True,
            priority=Priority.NORMAL,
            body_limit_bytes=268_435_456,
        ),
    ],
)
VLOEISTOF = build_section(
    "vloeistof",
    6,
    130,
    [
        build_route("vloeistof", "liquor", "GET", idempotent=True, priority=Priority.INTERACTIVE),
        build_route("vloeistof", "seasons", "GET", idempotent=True, priority=Priority.DEFERRABLE),
    ],
)
CORRECTIE = build_section(
    "correctie",
    6,
    130,
    [
        build_route(
            "correctie", "corrections", "POST", idempotent=False, priority=Priority.INTERACTIVE
        ),
        build_route(
            "correctie",
            "scans",
            "PUT",
            idempotent=True,
            priority=Priority.NORMAL,
            body_limit_bytes=268_435_456,
        ),
    ],
)


def change_section(section: Section, deadline_offset_ms: int) -> Section:
    """Return a section with one deadline changed, like a routine update by a team."""
    first = section.routes[0]
    contract = replace(first.contract, deadline_ms=10_000 + deadline_offset_ms)
    return replace(section, routes=(replace(first, contract=contract), *section.routes[1:]))


def break_section(section: Section) -> Section:
    """Return an invalid section, with a route to an undefined upstream."""
    unroutable = replace(section.routes[-1], upstream="nowhere")
    return replace(section, routes=(*section.routes[:-1], unroutable))


def join_vms(
    region: str, centres: Sequence[str], counts: Sequence[tuple[str, int]]
) -> Iterator[Event]:
    """Yield events in which the VMs of a company join, spread over its data centres.

    Args:
        region: Region of the VMs.
        centres: Data centres of the VMs.
        counts: Services and their numbers of VMs.
    """
    for service, count in counts:
        for number in range(count):
            centre = centres[number % len(centres)]
            yield VmJoins(0.0, f"{service}-{number}", region, centre, service)


def call_quillqa(at_s: float, for_s: float, *, scale: int = 1) -> Iterator[Event]:
    """Yield the requests of Quillqa's editors and art directors."""
    yield Requests(at_s, "portafolio-0", 60 * scale, for_s, "GET", "q", "/sketches/7")
    yield Requests(at_s, "portafolio-2", 20 * scale, for_s, "GET", "q", "/archive/98")
    yield Requests(at_s, "encargos-1", 20 * scale, for_s, "POST", "q", "/advances", 64, token=True)
    yield Requests(at_s, "encargos-2", 6 * scale, for_s, "PUT", "q", "/spreads/3", 400_000)


def call_rtk(at_s: float, for_s: float, *, scale: int = 1) -> Iterator[Event]:
    """Yield the requests of RTK's mill operators and auditors."""
    yield Requests(at_s, "vloeistof-0", 60 * scale, for_s, "GET", "r", "/liquor/7")
    yield Requests(at_s, "vloeistof-4", 20 * scale, for_s, "GET", "r", "/seasons/98")
    yield Requests(
        at_s, "correctie-1", 20 * scale, for_s, "POST", "r", "/corrections", 64, token=True
    )
    yield Requests(at_s, "correctie-2", 6 * scale, for_s, "PUT", "r", "/scans/3", 400_000)


def build_quillqa_deadline() -> Iterator[Event | Expectation]:
    """Yield an ordinary day at Quillqa shortly before a print deadline."""
    yield from join_vms("lima", LIMA, [("portafolio", 5), ("encargos", 5)])
    yield VersionAccepted(1.0, 1, (ENCARGOS, PORTAFOLIO))
    yield from call_quillqa(15.0, 100.0, scale=3)
    yield VersionAccepted(30.0, 2, (change_section(PORTAFOLIO, 1),))
    yield VersionAccepted(40.0, 3, (break_section(ENCARGOS),))
    yield VersionAccepted(50.0, 4, (change_section(ENCARGOS, 2),))
    yield VmLeaves(60.0, "encargos-3")
    yield VmListed(64.0, "encargos-3", VmState.LEAVING)
    yield VmJoins(66.0, "encargos-5", "lima", "lima-a", "encargos", listed=False)
    yield VmListed(70.0, "encargos-5", VmState.LIVE)
    yield VmListed(72.0, "encargos-3", None)
    yield VmPauses(80.0, "portafolio-3", 6.0)
    yield VersionAccepted(82.0, 5, (change_section(PORTAFOLIO, 3),))
    yield VmDies(95.0, ("portafolio-1",))
    yield VmReturns(105.0, ("portafolio-1",))
    yield InForce(2, BOUND_S)
    yield InForce(4, BOUND_S)
    yield InForce(5, BOUND_S)
    yield NeverInForce(3)
    yield NeverOlder()
    yield CallsKept(0.99)
    yield SourceReads(SOURCE_PEAK)


def build_rtk_shift() -> Iterator[Event | Expectation]:
    """Yield a shift change at RTK: many corrections and two versions within a second."""
    yield from join_vms("nl-noord", NOORD, [("vloeistof", 7), ("correctie", 4)])
    yield VersionAccepted(1.0, 1, (CORRECTIE, VLOEISTOF))
    yield from call_rtk(15.0, 60.0, scale=3)
    yield VersionAccepted(30.0, 2, (change_section(VLOEISTOF, 1),))
    yield VersionAccepted(30.5, 3, (change_section(CORRECTIE, 1),))
    yield VmDies(40.0, ("correctie-3",))
    yield VmListed(55.0, "correctie-3", None)
    yield VersionAccepted(60.0, 4, (change_section(VLOEISTOF, 4),))
    yield InForce(3, BOUND_S)
    yield InForce(4, BOUND_S)
    yield NeverOlder()
    yield CallsKept(0.98)
    yield SourceReads(SOURCE_PEAK)


def build_source_outage() -> Iterator[Event | Expectation]:
    """Yield a source outage of an hour, during which VMs are replaced."""
    yield from join_vms("nl-noord", NOORD, [("vloeistof", 7), ("correctie", 4)])
    yield VersionAccepted(1.0, 1, (CORRECTIE, VLOEISTOF))
    yield VersionAccepted(20.0, 2, (change_section(VLOEISTOF, 1),))
    yield SourceFails(30.0, SourceFault.DOWN, OUTAGE_S)
    yield from call_rtk(35.0, 60.0)
    yield VmDies(96.0, ("vloeistof-1", "vloeistof-4"))
    yield VmReturns(99.0, ("vloeistof-1", "vloeistof-4"))
    yield from call_rtk(120.0, 60.0)
    yield VersionAccepted(200.0, 3, (change_section(CORRECTIE, 9),))
    yield from call_rtk(30.0 + OUTAGE_S, 60.0)
    yield VersionAccepted(100.0 + OUTAGE_S, 4, (change_section(CORRECTIE, 10),))
    yield InForce(2, BOUND_S)
    yield InForce(4, BOUND_S)
    yield NeverOlder()
    yield CallsKept(0.99)
    yield SourceReads(SOURCE_PEAK)


def build_data_centre_loss() -> Iterator[Event | Expectation]:
    """Yield the loss of a data centre whose nodes return with stale state."""
    yield from join_vms("lima", LIMA, [("portafolio", 5), ("encargos", 5)])
    yield VersionAccepted(1.0, 1, (ENCARGOS, PORTAFOLIO))
    yield from call_quillqa(15.0, 90.0, scale=2)
    yield VmDies(30.0, data_centre="lima-b")
    yield VersionAccepted(40.0, 2, (change_section(PORTAFOLIO, 1),))
    yield VmReturns(70.0, data_centre="lima-b")
    yield VersionAccepted(90.0, 3, (change_section(ENCARGOS, 1),))
    yield InForce(2, BOUND_S)
    yield InForce(3, BOUND_S)
    yield NeverOlder()
    yield CallsKept(0.97)
    yield SourceReads(SOURCE_PEAK)


def build_fleet_restart() -> Iterator[Event | Expectation]:
    """Yield the simultaneous failure and restart of all nodes."""
    yield from join_vms("lima", LIMA, [("portafolio", 20), ("encargos", 20)])
    yield VersionAccepted(1.0, 1, (ENCARGOS, PORTAFOLIO))
    yield VersionAccepted(20.0, 2, (change_section(PORTAFOLIO, 1),))
    for centre in LIMA:
        yield VmDies(30.0, data_centre=centre)
    for centre in LIMA:
        yield VmReturns(33.0, data_centre=centre)
    yield VersionAccepted(34.0, 3, (change_section(ENCARGOS, 1),))
    yield from call_quillqa(48.0, 20.0)
    yield InForce(3, BOUND_S)
    yield NeverOlder()
    yield CallsKept(0.99)
    yield SourceReads(SOURCE_PEAK)


def build_region_partition() -> Iterator[Event | Expectation]:
    """Yield a network partition of minutes between two regions; one also loses the source."""
    yield from join_vms("lima", LIMA, [("portafolio", 5), ("encargos", 5)])
    yield from join_vms("nl-noord", NOORD, [("vloeistof", 7), ("correctie", 4)])
    yield VersionAccepted(1.0, 1, (CORRECTIE, ENCARGOS, PORTAFOLIO, VLOEISTOF))
    yield from call_quillqa(15.0, 200.0)
    yield from call_rtk(15.0, 200.0)
    yield Partition(30.0, NOORD, 150.0, source=False)
    yield VersionAccepted(40.0, 2, (change_section(PORTAFOLIO, 1),))
    yield VersionAccepted(60.0, 3, (break_section(ENCARGOS),))
    yield VersionAccepted(170.0, 4, (change_section(ENCARGOS, 1),))
    yield VersionAccepted(220.0, 5, (change_section(VLOEISTOF, 1),))
    yield InForce(5, BOUND_S)
    yield NeverInForce(3)
    yield NeverOlder()
    yield CallsKept(0.99)
    yield SourceReads(SOURCE_PEAK)


TRACES = {
    "quillqa-deadline": build_quillqa_deadline,
    "rtk-shift": build_rtk_shift,
    "source-outage": build_source_outage,
    "lost-data-centre": build_data_centre_loss,
    "herd-return": build_fleet_restart,
    "parted-regions": build_region_partition,
}


def main() -> None:
    """Write all traces."""
    FOLDER.mkdir(exist_ok=True)
    for name, build in TRACES.items():
        data = b"".join(encode_line(entry) for entry in build())
        (FOLDER / f"{name}.jsonl").write_bytes(data)


if __name__ == "__main__":
    main()
