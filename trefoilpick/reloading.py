"""Reading a node's settings again: on a signal, or when the file changes without one."""

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

LOOK_S = 1.0
"""Time between two looks at the file, in seconds: half of the time in which a change is to hold."""

LIVE_SECTIONS = frozenset({"source", "drain"})
"""Sections of the settings that a running node takes over; all others hold from the next start."""

logger = logging.getLogger(LOGGER_NAME)


class Reloader:
    """Keeps a node's settings up to date.

    Args:
        node: The node.
        path: The file of the settings.
        read: Reads and checks the file.
        told: Set by a signal.
    """

    def __init__(
        self,
        node: Node,
        path: Path,
        read: Callable[[Path], Settings],
        told: curio.UniversalEvent,
    ) -> None:
        self._node = node
        self._path = path
        self._read = read
        self._told = told
        self._seen = _identify(path)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await curio.sleep(LOOK_S)
            found = _identify(self._path)
            if found != self._seen or self._told.is_set():
                self._seen = found
                self._told.clear()
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
                "held_back": tuple(name for name in changed if name not in LIVE_SECTIONS),
            },
        )


def _identify(path: Path) -> tuple[int, int, int] | None:
    """Return what tells one state of a file from another; None where there is none."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def _list_changed(former: Settings, settings: Settings) -> Iterator[str]:
    for entry in fields(settings):
        if getattr(former, entry.name) != getattr(settings, entry.name):
            yield entry.name
