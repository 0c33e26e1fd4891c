import io

import curio

from trefoilpick._demo_document import build_first_version, build_moved_version
from trefoilpick._demo_fleet import build_fleet
from trefoilpick.client import Caller
from trefoilpick.recorder import Recorder
from trefoilpick.standin import open_standin
from trefoilpick.traces import (
    NeverOlder,
    Requests,
    VersionAccepted,
    VmJoins,
    VmLeaves,
    encode_line,
    parse_trace,
)


def test_node_records_a_trace_that_parses() -> None:
    out = io.BytesIO()

    async def main() -> None:
        async with open_standin() as standin, curio.timeout_after(60):
            fleet = build_fleet(standin, seed=5)
            node = fleet.vms["encargos-lima-a"].node
            await fleet.publish_vms()
            await fleet.publish_version(1, build_first_version(), accepted_at_ms=1)
            await fleet.start()
            recorder = await curio.spawn(Recorder(node, out).run)
            while not all(entry.node.is_ready for entry in fleet.vms.values()):
                await curio.sleep(0.05)
            caller = Caller([fleet.vms["encargos-lima-a"].caller_address])
            for _ in range(3):
                await caller.request("GET", "q", "/sketches/1", idempotent=True)
            await caller.close()
            # The recorder polls: of two versions within one interval it records the second only.
            while b'"number":1' not in out.getvalue():
                await curio.sleep(0.05)
            await fleet.publish_version(2, build_moved_version(), accepted_at_ms=2)
            while b'"number":2' not in out.getvalue():
                await curio.sleep(0.05)
            await recorder.cancel()
            await fleet.stop()

    curio.run(main())
    trace = parse_trace(
        iter([*out.getvalue().splitlines(), encode_line(NeverOlder())]), origin="recorded"
    )
    kinds = [type(event) for event in trace.events]
    assert kinds.count(VmJoins) == 6
    assert isinstance(trace.events[-1], VmLeaves)
    versions = [event for event in trace.events if isinstance(event, VersionAccepted)]
    assert [event.number for event in versions] == [1, 2]
    assert [section.team for section in versions[1].sections] == ["portafolio"]
    assert sum(event.count for event in trace.events if isinstance(event, Requests)) == 3
