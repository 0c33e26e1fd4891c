"""Detection of errors in background tasks, which nodes log and outlive."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager

from trefoilpick import _task_groups


class ErrorRecorder:
    """Takes the place of the logger that logs the errors of background tasks."""

    def __init__(self) -> None:
        self.errors: list[BaseException] = []
        self._logger = _task_groups.logger

    def exception(self, text: str, **fields: object) -> None:
        error = sys.exception()
        assert error is not None
        self.errors.append(error)
        self._logger.exception(text, **fields)


@contextmanager
def raise_task_errors() -> Iterator[None]:
    """Raise at the end the first error of a background task, as an assertion within a node is."""
    recorder = ErrorRecorder()
    logger, _task_groups.logger = _task_groups.logger, recorder
    try:
        yield
    finally:
        _task_groups.logger = logger
    if recorder.errors:
        raise recorder.errors[0]
