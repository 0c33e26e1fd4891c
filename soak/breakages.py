"""Deliberate breakages of trefoilpick, used to verify that the soak detects each of them."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from trefoilpick import _at_most_once as at_most_once
from trefoilpick import (
    callers,
    errors,
    forwarding,
    hopclient,
    quarantine,
    retries,
    snapshots,
    versions,
    worker_rates,
    worker_statements,
)
from trefoilpick import hopserver as hopserver_module
from trefoilpick import node as node_module
from trefoilpick.errors import Answer, ErrorKind, Outcome, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Callable

DENIAL_PERIOD_S, DENIED_S = 2.0, 0.2
"""Period in which routes are missing once, and for how long, in seconds."""

UNSAFE_KINDS = (ErrorKind.UPSTREAM_LOST, ErrorKind.DEADLINE_AFTER_SEND, ErrorKind.ANSWER_CUT)
"""Errors after which a request may have run."""


@dataclass(frozen=True)
class Breakage:
    """A deliberate fault in the code of a node.

    Attributes:
        description: Description of the faulty behaviour.
        apply: Patches the code in the current process.
    """

    description: str
    apply: Callable[[], None]


def _retry_without_proof() -> None:
    def is_retry_safe(call: Any, error: TrefoilpickError) -> bool:
        return call.body.is_replayable

    retries.is_retry_safe = is_retry_safe


def _report_not_run() -> None:
    for kind in UNSAFE_KINDS:
        errors.ANSWERS[kind] = Answer(503, Outcome.NOT_RUN)

    def return_unchanged(error: TrefoilpickError, *, may_have_run: bool) -> TrefoilpickError:
        return error

    forwarding._apply_combined_outcome = return_unchanged


def _ignore_tokens() -> None:
    async def run(token_store: Any, exchange: Any, request: Any, *, admit: Any) -> None:
        await exchange.run(admit(request))

    at_most_once.run_at_most_once = run
    hopserver_module.run_at_most_once = run


def _reuse_unclean_hops() -> None:
    release = hopclient.HopPool.release

    async def release_unclean(self: Any, hop: Any, now: float) -> None:
        hop.is_clean = True
        await release(self, hop, now)

    hopclient.HopPool.release = release_unclean  # type: ignore[method-assign]
    hopclient.HopPool.acquire = _acquire_any  # type: ignore[method-assign]


async def _acquire_any(self: Any, vm: Any, *, timeout_s: float) -> Any:
    idle = self._idle.get(vm.name)
    if idle:
        return idle.pop()
    return await hopclient.open_hop(vm, timeout_s=timeout_s)


def _skip_drain() -> None:
    async def drain(self: Any) -> Any:
        return callers.CallerDrainReport(0)

    async def drain_hops(self: Any) -> Any:
        return hopserver_module.DrainReport(cut=0, waited_s=0.0)

    callers.CallerServer.drain = drain  # type: ignore[method-assign]
    hopserver_module.HopServer.drain = drain_hops  # type: ignore[method-assign]


def _ignore_versions() -> None:
    def is_newer(self: Any, version: Any) -> bool:
        return self.newest is None

    versions.VersionStore.is_newer = is_newer  # type: ignore[method-assign]


def _alternate_snapshots() -> None:
    cell_type = node_module.SnapshotCell
    replace = cell_type.replace

    def replace_and_keep(self: Any, snapshot: Any) -> bool:
        former = self._snapshot
        is_new = replace(self, snapshot)
        if is_new:
            self.former = former
        return is_new

    def read_either(self: Any) -> Any:
        is_odd_second = int(time.monotonic()) % 2
        return getattr(self, "former", None) or self._snapshot if is_odd_second else self._snapshot

    cell_type.replace = replace_and_keep  # type: ignore[method-assign]
    cell_type.current = property(read_either)  # type: ignore[method-assign, assignment]


def _crash_on_stop() -> None:
    async def exit_at_once(self: Any) -> None:
        raise SystemExit(1)

    node_module.Node.request_stop = exit_at_once  # type: ignore[method-assign]


def _deny_routes() -> None:
    find_route = snapshots.Snapshot.find_route

    def find_some(self: Any, host: str, method: str, path: str) -> Any:
        if time.monotonic() % DENIAL_PERIOD_S < DENIED_S:
            raise TrefoilpickError(ErrorKind.NO_ROUTE, f'no route for "{path}"')
        return find_route(self, host, method, path)

    snapshots.Snapshot.find_route = find_some  # type: ignore[method-assign]


def _ignore_limits() -> None:
    worker_rates.WorkerRate.set_limit = lambda self, limit: None  # type: ignore[method-assign]


def _ignore_leaving() -> None:
    def read_without_leaving(headers: Any, conventions: Any) -> Any:
        return replace(read_statement(headers, conventions), is_leaving=False)

    read_statement = worker_statements.read_statement
    worker_statements.read_statement = read_without_leaving


def _ignore_cases() -> None:
    quarantine.QuarantineTable.find_quarantined = (  # type: ignore[method-assign]
        lambda self, fingerprint: None
    )


BREAKAGES = {
    "retry-without-proof": Breakage(
        "requests are retried without proof that they did not run", _retry_without_proof
    ),
    "deny-runs": Breakage("requests that may have run are reported as not run", _report_not_run),
    "forget-tokens": Breakage(
        "a token does not prevent a request from running again", _ignore_tokens
    ),
    "mix-answers": Breakage("hops with unread answers are reused", _reuse_unclean_hops),
    "leave-at-once": Breakage("a drain does not wait for requests in flight", _skip_drain),
    "ignore-versions": Breakage("only the first version is accepted", _ignore_versions),
    "go-back": Breakage(
        "the snapshot alternates between the current and the previous version", _alternate_snapshots
    ),
    "deny-routes": Breakage("routes are missing now and then", _deny_routes),
    "ignore-limits": Breakage("a stated limit does not reduce a worker's requests", _ignore_limits),
    "ignore-leaving": Breakage("a worker that states that it leaves is used", _ignore_leaving),
    "ignore-cases": Breakage("a request that ends workers is not quarantined", _ignore_cases),
    "crash-on-stop": Breakage(
        "the node exits immediately when it is asked to stop", _crash_on_stop
    ),
}
"""Breakages by name."""
