"""Deliberate defects of the product; each must make its cell of the matrix fail."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from matrix_table import Cell, Expected, Fault, Step

from trefoilpick import errors, retries, versions
from trefoilpick.callers import CallerDrainReport, CallerServer
from trefoilpick.document import Document
from trefoilpick.errors import Answer, ErrorKind, Outcome
from trefoilpick.hopserver import DrainReport, HopServer
from trefoilpick.manifest import identify_version
from trefoilpick.snapshots import Snapshot, SnapshotCell, build_snapshot
from trefoilpick.tokens import TokenStore
from trefoilpick.versions import VersionStore


@dataclass(frozen=True)
class Breakage:
    name: str
    cell: Cell
    apply: Callable[[], Any]


@contextmanager
def remove_version_check() -> Iterator[None]:
    add_version = VersionStore.add_version

    def add_any(store: VersionStore, manifest: Any, **fields: Any) -> bool:
        enforced, store.newest = store.newest, None
        is_newest = add_version(store, manifest, **fields)
        return is_newest and enforced != store.newest

    def replace_any(cell: SnapshotCell, snapshot: Snapshot) -> bool:
        cell._snapshot = snapshot
        return True

    with (
        patch.object(VersionStore, "add_version", add_any),
        patch.object(SnapshotCell, "replace", replace_any),
        patch.object(VersionStore, "is_newer", lambda store, version: True),
    ):
        yield


@contextmanager
def remove_digest_check() -> Iterator[None]:
    with patch.object(versions, "_check_text", lambda ref, text: None):
        yield


@contextmanager
def apply_partially() -> Iterator[None]:
    def prepare(manifest: Any, store: VersionStore, *, enforced: Any) -> Snapshot:
        known = versions._index_sections(enforced)
        sections = [versions._read_section(ref, store, known) for ref in manifest.sections]
        names = {upstream.name for section in sections for upstream in section.upstreams}
        valid = [s for s in sections if all(route.upstream in names for route in s.routes)]
        return build_snapshot(identify_version(manifest), manifest, Document(tuple(valid)))

    with patch("trefoilpick.enforcement.prepare_snapshot", prepare):
        yield


@contextmanager
def retry_without_proof() -> Iterator[None]:
    with patch.object(retries, "is_retry_safe", lambda call, error: call.body.is_replayable):
        yield


@contextmanager
def report_lost_as_not_run() -> Iterator[None]:
    wrong_answers = {ErrorKind.UPSTREAM_LOST: Answer(502, Outcome.NOT_RUN)}
    find_answer = errors.find_answer

    def find(error: Any) -> Answer:
        return wrong_answers.get(error.kind) or find_answer(error)

    with ExitStack() as stack:
        for module in ("callers", "client", "_call_recorder", "hopserver", "retries"):
            stack.enter_context(patch(f"trefoilpick.{module}.find_answer", find, create=True))
        yield


@contextmanager
def forget_tokens() -> Iterator[None]:
    find = TokenStore.find

    def find_fresh(token_store: TokenStore, token: str, request: Any, now_s: float) -> Any:
        entry = find(token_store, token, request, now_s)
        entry.state = type(entry.state).FREE
        return entry

    with patch.object(TokenStore, "find", find_fresh):
        yield


@contextmanager
def close_without_drain() -> Iterator[None]:
    async def drain_callers(server: CallerServer) -> CallerDrainReport:
        return CallerDrainReport(0)

    async def drain_hops(server: HopServer) -> DrainReport:
        return DrainReport(0, 0)

    with (
        patch.object(CallerServer, "drain", drain_callers),
        patch.object(HopServer, "drain", drain_hops),
    ):
        yield


BREAKAGES = (
    Breakage(
        "version check removed",
        Cell(Step.WATCH, Fault.REORDERED, Expected.IN_TIME),
        remove_version_check,
    ),
    Breakage(
        "digest check removed",
        Cell(Step.READ_SECTION, Fault.GARBAGE, Expected.IN_TIME),
        remove_digest_check,
    ),
    Breakage(
        "faulty version applied partially",
        Cell(Step.CHECK, Fault.GARBAGE, Expected.KEPT),
        apply_partially,
    ),
    Breakage(
        "retry without proof",
        Cell(Step.RELAY_ANSWER, Fault.RESET, Expected.ANSWERED_TRUTHFULLY),
        retry_without_proof,
    ),
    Breakage(
        "lost request reported as not run",
        Cell(Step.AWAIT, Fault.RESET, Expected.ANSWERED_TRUTHFULLY),
        report_lost_as_not_run,
    ),
    Breakage(
        "tokens forgotten",
        Cell(Step.AWAIT, Fault.RESET, Expected.ANSWERED_TRUTHFULLY),
        forget_tokens,
    ),
    Breakage(
        "connections closed without a drain",
        Cell(Step.LEAVE, Fault.STALE, Expected.SERVED),
        close_without_drain,
    ),
)
