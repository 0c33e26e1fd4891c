"""Entry point of a node on the users' platform: one process beside each worker."""

from __future__ import annotations

import os
import random
import sys
from pathlib import Path

import curio

from trefoilpick.daemon import serve_node
from trefoilpick.errors import TrefoilpickError
from trefoilpick.logs import open_log
from trefoilpick.node import open_node
from trefoilpick.platform.headers import PLATFORM_CONVENTIONS
from trefoilpick.platform.settings import read_platform_settings
from trefoilpick.platform.store import open_store

SETTINGS_VARIABLE = "TREFOILPICK_SETTINGS"
"""Environment variable, set by the platform, with the path of the settings file."""


def main() -> None:
    """Run the node until it receives a stop signal."""
    rng = random.Random()
    try:
        path = Path(os.environ[SETTINGS_VARIABLE])
        settings = read_platform_settings(path)
        open_log(settings, stream=sys.stdout)
        node = open_node(
            settings,
            source=open_store(settings, random=rng),
            rng=rng,
            conventions=PLATFORM_CONVENTIONS,
        )
    except TrefoilpickError as error:
        sys.exit(f"{error.kind.value}: {error.text}")
    curio.run(serve_node(node, path, read_platform_settings))


if __name__ == "__main__":
    main()
