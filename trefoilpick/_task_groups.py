"""Task groups that end as soon as one of their tasks ends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


async def run_until_first_ends(*parts: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    """Run several coroutines concurrently until the first ends, then cancel the others.

    Args:
        parts: Coroutine functions without arguments.

    Raises:
        Exception: The exception of the first coroutine that ended, if it failed.
    """
    async with curio.TaskGroup(wait=any) as group:
        for part in parts:
            await group.spawn(part)
    if group.exception is not None:
        raise group.exception
