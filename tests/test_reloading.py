from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import curio
import pytest

from trefoilpick._virtual_time import run_virtual
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.reloading import CHECK_INTERVAL_S, Reloader
from trefoilpick.settings import DrainSettings, Settings, read_settings

SAMPLE = Path(__file__).parent.parent / "examples" / "node.jsonc"


class FakeNode:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.applied: list[Settings] = []

    def apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.applied.append(settings)


class ReloadBench:
    """Runs a reloader on a fake node, with a fake result of reading the settings file."""

    def __init__(self, path: Path) -> None:
        path.write_text("first")
        self.path = path
        self.node = FakeNode(read_settings(SAMPLE))
        self.reload_requested = curio.UniversalEvent()
        self.read_result: Settings | TrefoilpickError = self.node.settings
        self.reads = 0
        self.reloader = Reloader(self.node, path, self._read, self.reload_requested)  # type: ignore[arg-type]

    def _read(self, path: Path) -> Settings:
        self.reads += 1
        if isinstance(self.read_result, TrefoilpickError):
            raise self.read_result
        return self.read_result

    def run(self, *steps: Any) -> None:
        async def main() -> None:
            task = await curio.spawn(self.reloader.run)
            for step in steps:
                step()
                await curio.sleep(2 * CHECK_INTERVAL_S)
            await task.cancel()

        run_virtual(main())


def send_signal(bench: ReloadBench) -> Callable[[], None]:
    """Return a plain function that sets the event, as a signal handler does."""

    def handle() -> None:
        bench.reload_requested.set()

    return handle


def test_signal_and_changed_file_both_reload_the_settings(tmp_path: Path) -> None:
    bench = ReloadBench(tmp_path / "node")
    changed = replace(bench.node.settings, drain=DrainSettings(grace_ms=9_000))

    def change() -> None:
        bench.read_result = changed
        bench.path.write_text("second, and longer")

    bench.run(lambda: None, send_signal(bench), change)
    assert bench.reads == 2
    assert bench.node.applied[-1].drain.grace_ms == 9_000


def test_faulty_settings_are_refused_and_the_previous_ones_kept(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    bench = ReloadBench(tmp_path / "node")
    bench.read_result = TrefoilpickError(ErrorKind.SETTINGS_FAULTY, "no such field")
    logging.getLogger("trefoilpick").propagate = True
    with caplog.at_level(logging.INFO, logger="trefoilpick"):
        bench.run(send_signal(bench))
    assert bench.reads == 1
    assert not bench.node.applied
    assert "refused" in caplog.text


def test_temporarily_missing_file_does_not_stop_the_reloader(tmp_path: Path) -> None:
    bench = ReloadBench(tmp_path / "node")
    bench.run(bench.path.unlink, lambda: bench.path.write_text("back"))
    assert bench.reads >= 1
