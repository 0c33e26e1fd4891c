"""Running a node as a daemon, with signals, reloading of settings and traces."""

from __future__ import annotations

from typing import TYPE_CHECKING, BinaryIO

import curio

from trefoilpick._signals import watch_reload_signals, watch_stop_signals
from trefoilpick._task_groups import keep_running
from trefoilpick.recorder import Recorder
from trefoilpick.reloading import Reloader

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from trefoilpick.node import Node
    from trefoilpick.settings import Settings


async def serve_node(
    node: Node,
    path: Path,
    read: Callable[[Path], Settings],
    *,
    out: BinaryIO | None = None,
) -> None:
    """Run a node until a stop signal, and apply changes of its settings.

    Args:
        node: The node.
        path: Path of its settings file.
        read: Reads and checks that file.
        out: Destination of a trace of the node; None for no trace.
    """
    stopped = watch_stop_signals()
    reloader = Reloader(node, path, read, watch_reload_signals())
    async with curio.TaskGroup(wait=None) as tasks:
        await tasks.spawn(_stop_on_signal, stopped, node)
        await tasks.spawn(keep_running(reloader.run, name="reload", metrics=node.metrics))
        if out is not None:
            await tasks.spawn(Recorder(node, out).run)
        await node.run()


async def _stop_on_signal(stopped: curio.UniversalEvent, node: Node) -> None:
    await stopped.wait()
    await node.request_stop()
