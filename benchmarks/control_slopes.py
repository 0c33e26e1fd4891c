"""Memory and CPU time of a node's control state, by number of VMs and of sections.

Run with `python -m benchmarks.control_slopes`. It uses one process and no network; the output is
one JSON object.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING

import msgspec

from benchmarks._processes import make_section
from trefoilpick.manifest import Manifest, SectionRef, compute_digest, identify_version
from trefoilpick.membership import MembershipTable
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.messages import Exchange, pack_version, pack_vms
from trefoilpick.metrics import Metrics
from trefoilpick.overlay import FingerOverlay, OverlayView, list_targets
from trefoilpick.versions import VersionStore, prepare_snapshot
from trefoilpick.vms import Vm, VmList

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS = 20
"""Number of timed runs of each operation, of which the mean is reported."""


def main() -> None:
    result = {
        "vms": [measure_vms(count) for count in (110, 550, 1_100)],
        "sections": [measure_sections(count) for count in (40, 160, 320)],
        "exchange_bytes": len(
            MessageEndpoint("vm-1000", time.time_ns(), Metrics()).encode(
                make_exchange(), request=1_000
            )
        ),
    }
    print(json.dumps(result))


def measure_vms(count: int) -> dict[str, float]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    vms = tuple(make_vm(number) for number in range(count))
    membership = MembershipTable(vms[0])
    membership.adopt_list(VmList(1, vms))
    for vm in vms:
        membership.record_alive(vm.name, 1)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    random = Random(1)

    def draw_targets() -> None:
        list_targets(FingerOverlay(), OverlayView(vms[0], membership.list_alive(), 2), random)

    return {
        "vms": count,
        "roster_bytes": used,
        "list_json_bytes": len(msgspec.json.encode(VmList(1, vms))),
        "list_packed_bytes": len(pack_vms(vms)),
        "targets_ms": measure_ms(draw_targets),
        "endpoints_ms": measure_ms(lambda: membership.list_endpoints("service-1")),
    }


def measure_sections(count: int) -> dict[str, float]:
    store = VersionStore()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    first = add_version(store, 1, count)
    snapshot = prepare_snapshot(first, store, enforced=None)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    second = add_version(store, 2, count)
    base = identify_version(first)
    delivery = store.build_delivery(identify_version(second), base)
    whole = store.build_delivery(identify_version(second), None)
    return {
        "sections": count,
        "store_and_snapshot_bytes": used,
        "manifest_bytes": len(msgspec.json.encode(second)),
        "change_bytes": len(msgspec.msgpack.encode(delivery)),
        "whole_bytes": len(msgspec.msgpack.encode(whole)),
        "check_change_ms": measure_ms(lambda: prepare_snapshot(second, store, enforced=snapshot)),
        "check_whole_ms": measure_ms(lambda: prepare_snapshot(second, store, enforced=None)),
    }


def add_version(store: VersionStore, number: int, count: int) -> Manifest:
    refs: list[SectionRef] = []
    for index in range(count):
        text = make_section(index, number if index == 0 else 0)
        ref = SectionRef(f"team-{index}", compute_digest(text), len(text))
        store.add_text(ref, text)
        refs.append(ref)
    manifest = Manifest(number, 1_700_000_000_000, tuple(sorted(refs, key=lambda ref: ref.team)))
    store.add_version(manifest)
    return manifest


def make_exchange() -> Exchange:
    store = VersionStore()
    version = pack_version(identify_version(add_version(store, 2_000, 1)))
    return Exchange(version, version, 10_000, 5_000, leaving=False)


def make_vm(number: int) -> Vm:
    return Vm(
        name=f"vm-{number}",
        region=f"region-{number % 3}",
        data_centre=f"centre-{number % 11}",
        service=f"service-{number % 160}",
        host=f"10.{number % 11}.{number // 256}.{number % 256}",
        control_port=8082,
        hop_port=8081,
    )


def measure_ms(call: Callable[[], object]) -> float:
    call()
    began = time.perf_counter()
    for _ in range(REPEATS):
        call()
    return round(1000 * (time.perf_counter() - began) / REPEATS, 3)


if __name__ == "__main__":
    main()
