from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import curio
import pytest

from trefoilpick._virtual import run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.reloading import LOOK_S, Reloader
from trefoilpick.settings import DrainSettings, Settings, read_settings

SAMPLE = Path(__file__).parent.parent / "examples" / "node.jsonc"


class FakeNode:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.applied: list[Settings] = []

    def apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.applied.append(settings)


class Scene:
    """A node, its file, and what the file says when it is read."""

    def __init__(self, path: Path) -> None:
        path.write_text("first")
        self.path = path
        self.node = FakeNode(read_settings(SAMPLE))
        self.told = curio.UniversalEvent()
        self.answer: Settings | TrefoilpickError = self.node.settings
        self.reads = 0
        self.reloader = Reloader(self.node, path, self._read, self.told)  # type: ignore[arg-type]

    def _read(self, path: Path) -> Settings:
        self.reads += 1
        if isinstance(self.answer, TrefoilpickError):
            raise self.answer
        return self.answer

    def run(self, *steps: Any) -> None:
        async def main() -> None:
            task = await curio.spawn(self.reloader.run)
            for step in steps:
                step()
                await curio.sleep(2 * LOOK_S)
            await task.cancel()

        run_virtual(main())


def tell(scene: Scene) -> Callable[[], None]:
    """Return what a signal handler does: a plain function, which sets the event at once."""

    def handle() -> None:
        scene.told.set()

    return handle


def test_a_signal_and_a_changed_file_are_both_followed(tmp_path: Path) -> None:
    scene = Scene(tmp_path / "node")
    changed = replace(scene.node.settings, drain=DrainSettings(grace_ms=9_000))

    def change() -> None:
        scene.answer = changed
        scene.path.write_text("second, and longer")

    scene.run(lambda: None, tell(scene), change)
    assert scene.reads == 2
    assert scene.node.applied[-1].drain.grace_ms == 9_000


def test_faulty_settings_are_refused_and_the_former_ones_stay(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    scene = Scene(tmp_path / "node")
    scene.answer = TrefoilpickError(ErrorKind.SETTINGS_FAULTY, "no such field")
    logging.getLogger("trefoilpick").propagate = True
    with caplog.at_level(logging.INFO, logger="trefoilpick"):
        scene.run(tell(scene))
    assert scene.reads == 1
    assert not scene.node.applied
    assert "refused" in caplog.text


def test_a_file_that_is_gone_for_a_moment_ends_nothing(tmp_path: Path) -> None:
    scene = Scene(tmp_path / "node")
    scene.run(scene.path.unlink, lambda: scene.path.write_text("back"))
    assert scene.reads >= 1
