"""Explanation of where a node would send a request now, without sending it."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING

from trefoilpick.eligibility import find_exclusion
from trefoilpick.status import Candidate, Choice, UpstreamChoice, VersionRef

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from trefoilpick.balancing import Balancer, Service, WorkerRecord
    from trefoilpick.document import Upstream
    from trefoilpick.snapshots import Snapshot, TeamRoute
    from trefoilpick.vms import Vm

MAX_CANDIDATES = 200
"""Largest number of workers of one upstream that are listed."""


def explain_choice(
    balancer: Balancer,
    snapshot: Snapshot,
    vms: Iterable[Vm],
    *,
    host: str,
    method: str,
    path: str,
    now: float,
) -> Choice:
    """Return where a request would go now, and why.

    Args:
        balancer: Chooses the workers of the node.
        snapshot: The enforced version.
        vms: All VMs known to the node, with those that get no requests.
        host: Host header without its port.
        method: HTTP method.
        path: Path without the query.
        now: Time on the node's clock, in seconds.

    Raises:
        TrefoilpickError: `NO_ROUTE`, `ROUTE_UNUSABLE` or `METHOD_NOT_ALLOWED`.
    """
    vms = tuple(vms)
    team_route = snapshot.find_route(host.lower(), method.upper(), path)

    def explain_upstream(upstream: Upstream, weight: int) -> UpstreamChoice:
        service = balancer.get_service(upstream.name, now)
        candidates = chain(_list_candidates(service, upstream, now), _list_unlisted(service, vms))
        return UpstreamChoice(upstream.name, weight, tuple(islice(candidates, MAX_CANDIDATES)))

    upstreams = tuple(
        explain_upstream(upstream, weight) for upstream, weight in _list_upstreams(team_route)
    )
    version = snapshot.version
    return Choice(
        vm=balancer.own_vm,
        version=VersionRef(version.number, version.digest),
        team=team_route.team,
        route=team_route.route.name,
        upstreams=upstreams,
    )


def _list_upstreams(team_route: TeamRoute) -> Iterator[tuple[Upstream, int]]:
    if not team_route.shares:
        yield team_route.upstream, 1
    for share, weight in team_route.shares:
        if weight:
            yield share.upstream, weight


def _list_candidates(service: Service, upstream: Upstream, now: float) -> Iterator[Candidate]:
    """Yield the workers of a service, nearest first, and of these the cheapest first."""
    ejected = service.list_ejected(now)
    mean_latency_s = service.compute_mean_latency(now)

    def describe(record: WorkerRecord, distance: int) -> Candidate:
        exclusion = record.find_exclusion(ejected, now)
        return Candidate(
            vm=record.vm.name,
            data_centre=record.vm.data_centre,
            distance=distance,
            excluded=exclusion.value if exclusion is not None else "",
            utilisation=round(record.estimate_utilisation(now, upstream.slots), 3),
            cost=round(record.estimate_cost(now, upstream.slots, mean_latency_s), 6),
            rate_limit=record.rate_limit,
        )

    for distance, zone in enumerate(service.zones):
        candidates = [describe(record, distance) for record in zone]
        yield from sorted(candidates, key=lambda found: (bool(found.excluded), found.cost))


def _list_unlisted(service: Service, vms: Iterable[Vm]) -> Iterator[Candidate]:
    """Yield the VMs of a service that the directory leaves out, with the reason."""
    for vm in vms:
        if vm.service == service.name and vm.name not in service.records:
            exclusion = find_exclusion(vm, is_unreachable=True)
            assert exclusion is not None
            distance = len(service.zones)
            yield Candidate(vm.name, vm.data_centre, distance, exclusion.value, 0.0, 0.0)
