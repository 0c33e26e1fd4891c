from trefoilpick.averages import MAX_NAMES
from trefoilpick.transfer_sizes import HEAVY_BYTES, TransferSizes


def test_a_route_is_heavy_by_the_recent_size_of_its_requests() -> None:
    sizes = TransferSizes()
    assert not sizes.is_heavy("encargos", "spread")
    sizes.record("encargos", "spread", HEAVY_BYTES)
    sizes.record("encargos", "ledger", 100)
    assert sizes.is_heavy("encargos", "spread")
    assert not sizes.is_heavy("encargos", "ledger")
    for _ in range(50):
        sizes.record("encargos", "spread", 100)
    assert not sizes.is_heavy("encargos", "spread")


def test_the_number_of_routes_is_bounded() -> None:
    sizes = TransferSizes()
    for number in range(MAX_NAMES + 1):
        sizes.record("team", str(number), HEAVY_BYTES)
    assert not sizes.is_heavy("team", "0")
    assert sizes.is_heavy("team", str(MAX_NAMES))
