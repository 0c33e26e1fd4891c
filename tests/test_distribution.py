from fakes_fleet import FakeFleet, make_version, make_vms

from trefoilpick._virtual import run_virtual

MARKS = {f"team-{number}": 0 for number in range(12)}


def test_versions_reach_all_nodes_from_few_readers() -> None:
    async def main() -> None:
        fleet = FakeFleet(make_vms(3, 8))
        await fleet.publish_vms(1)
        await fleet.source.accept(*make_version(1, MARKS))
        await fleet.start()
        await fleet.wait_all(1, 20)
        await fleet.wait_for(lambda: all(n.distributor.is_ready for n in fleet.nodes.values()), 20)
        reads = len(fleet.source.reads)
        for number in range(2, 6):
            await fleet.source.accept(*make_version(number, MARKS | {"team-3": number}))
            took = await fleet.wait_all(number, 8)
            print(number, took, len(fleet.source.reads) - reads)
        readers = sum(node.distributor.reader.is_reading for node in fleet.nodes.values())
        assert readers == 6

    run_virtual(main())
