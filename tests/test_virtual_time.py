import time

import curio

from trefoilpick._virtual_time import run_virtual


async def measure_sleep() -> float:
    before = await curio.clock()
    async with curio.ignore_after(1800):
        await curio.sleep(3600)
    return await curio.clock() - before


def test_sleep_takes_no_real_time() -> None:
    before = time.monotonic()
    assert run_virtual(measure_sleep()) == 1800
    assert time.monotonic() - before < 60
