"""Tasks that belong together: when one ends, all end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


async def run_together(*parts: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    """Run several coroutines until the first ends, then cancel the others.

    Args:
        parts: Functions that make the coroutines.

    Raises:
        Exception: What ended the first, where it failed.
    """
    async with curio.TaskGroup(wait=any) as group:
        for part in parts:
            await group.spawn(part)
    if group.exception is not None:
        raise group.exception
