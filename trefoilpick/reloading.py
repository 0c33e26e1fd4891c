"""Reloading of a node's settings, on a signal or when the file changes."""

from __future__ import annotations

import logging
import os
from dataclasses import fields
from typing import TYPE_CHECKING

import curio

from trefoilpick.errors import TrefoilpickError
from trefoilpick.logs import LOGGER_NAME

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

    from trefoilpick.node import Node
    from trefoilpick.settings import Settings

CHECK_INTERVAL_S = 1.0
"""Time between checks of the file, in seconds: half of the time in which a change must apply."""

RELOADABLE_SECTIONS = frozenset({"source", "drain"})
"""Sections of the settings that a running node applies; changes of all others need a restart."""

logger = logging.getLogger(LOGGER_NAME)


class Reloader:
    """Keeps a node's settings up to date.

    Args:
        node: The node.
        path: Path of the settings file.
        read: Reads and checks the file.
        reload_requested: Set by a signal.
    """

    def __init__(
        self,
        node: Node,
        path: Path,
        read: Callable[[Path], Settings],
        reload_requested: curio.UniversalEvent,
    ) -> None:
        self._node = node
        self._path = path
        self._read = read
        self._reload_requested = reload_requested
        self._last_identity = _read_file_identity(path)

    async def run(self) -> None:
        """Check for changes until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            identity = _read_file_identity(self._path)
            if identity != self._last_identity or self._reload_requested.is_set():
                self._last_identity = identity
                self._reload_requested.clear()
                self._reload()

    def _reload(self) -> None:
        try:
            settings = self._read(self._path)
        except TrefoilpickError as error:
            logger.warning(
                "settings: refused",
                extra={"event": "settings", "value": "refused", "text": error.text},
            )
            return
        changed = tuple(_list_changed(self._node.settings, settings))
        self._node.apply_settings(settings)
        logger.info(
            "settings: read",
            extra={
                "event": "settings",
                "value": "read",
                "changed": changed,
                "held_back": tuple(name for name in changed if name not in RELOADABLE_SECTIONS),
            },
        )


def _read_file_identity(path: Path) -> tuple[int, int, int] | None:
    """Return modification time, size and inode of a file; None if it does not exist."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def _list_changed(previous: Settings, settings: Settings) -> Iterator[str]:
    for entry in fields(settings):
        if getattr(previous, entry.name) != getattr(settings, entry.name):
            yield entry.name
