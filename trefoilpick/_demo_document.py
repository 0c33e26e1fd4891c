"""Versions of Quillqa's document that the demo publishes one after another."""

from __future__ import annotations

from dataclasses import replace

from trefoilpick.document import Contract, Match, Priority, Route, Section, Upstream

SLOTS = 10
"""Number of requests that a worker runs concurrently."""

CONNECTIONS = 120
"""Maximum number of connections to a worker."""

SPREAD_LIMIT_BYTES = 512 * 1024 * 1024
"""Maximum size of an uploaded spread, in bytes."""


def build_first_version() -> tuple[Section, ...]:
    """Return version 1: teams encargos and portafolio, each with its upstream."""
    return (_build_encargos(), _build_portafolio(archive_upstream="portafolio"))


def build_moved_version() -> tuple[Section, ...]:
    """Return version 2: the archive route moves to the workers of encargos."""
    return (_build_encargos(), _build_portafolio(archive_upstream="encargos"))


def build_faulty_version() -> tuple[Section, ...]:
    """Return version 3: the archive route refers to an undefined upstream."""
    return (_build_encargos(), _build_portafolio(archive_upstream="archivo"))


def build_last_version() -> tuple[Section, ...]:
    """Return version 4: the sketches route gets a shorter deadline."""
    encargos, portafolio = build_moved_version()
    route = portafolio.routes[0]
    sketches = replace(route, contract=replace(route.contract, deadline_ms=2_000))
    return encargos, replace(portafolio, routes=(sketches, *portafolio.routes[1:]))


def _build_encargos() -> Section:
    return Section(
        team="encargos",
        upstreams=(_build_upstream("encargos"),),
        routes=(
            Route(
                name="advances",
                match=Match(path_prefix="/advances", methods=("POST",)),
                upstream="encargos",
                contract=Contract(idempotent=False, priority=Priority.INTERACTIVE, retries=2),
            ),
            Route(
                name="spreads",
                match=Match(path_prefix="/spreads", methods=("PUT",)),
                upstream="encargos",
                contract=Contract(
                    idempotent=True,
                    deadline_ms=60_000,
                    retries=0,
                    body_limit_bytes=SPREAD_LIMIT_BYTES,
                ),
            ),
        ),
    )


def _build_portafolio(*, archive_upstream: str) -> Section:
    return Section(
        team="portafolio",
        upstreams=(_build_upstream("portafolio"),),
        routes=(
            Route(
                name="sketches",
                match=Match(path_prefix="/sketches", methods=("GET",)),
                upstream="portafolio",
                contract=Contract(idempotent=True, retries=2),
            ),
            Route(
                name="archive",
                match=Match(path_prefix="/archive", methods=("GET",)),
                upstream=archive_upstream,
                contract=Contract(idempotent=True, priority=Priority.DEFERRABLE),
            ),
        ),
    )


def _build_upstream(name: str) -> Upstream:
    return Upstream(name=name, slots=SLOTS, connections=CONNECTIONS)
