"""The settings that the platform gives a process, as the product's own."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure

from trefoilpick._texts import parse_text
from trefoilpick.addresses import split_address
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.settings import Settings, check_settings, read_settings_text

if TYPE_CHECKING:
    from pathlib import Path

FACTS_FIELD = "platform"
"""Field of the settings file with what the platform says of the machine; all others are the
product's own settings."""

READS_SHARE = 4
"""One in so many of the store's reads is for this system: others read there too."""

RETRY_SHARE = 0.38
"""Part of the platform's retry budget that is planned for. Calls of repeats count as repeats where
they arrive, up to as many as the service's own, and 1.3 times a window's part may be spent in it:
1 / (2 * 1.3)."""

PERCENT = 100
MS_PER_S = 1_000


THIN_LINK_MBPS = 20.0
"""Link below which a node leaves reading to others, in Mbit/s: a document of 500 kB would fill it
for 0.2 s and more, and one may come each 0.2 s."""


class _Listen(msgspec.Struct, frozen=True):
    outbound: str
    """Address for requests that begin on this machine."""
    ready: str
    """Address on which the platform asks whether the node is ready."""


class _Store(msgspec.Struct, frozen=True, rename="kebab"):
    address: str
    reads_per_s: float
    """Reads that all readers together may make in a second."""


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    link_mbps: float = math.inf
    """Bandwidth of the machine's link, in Mbit/s."""


class _Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    grace: float
    """Time from SIGTERM to SIGKILL, in seconds."""
    retry_budget_ratio: float
    """Further attempts for each request to a service."""
    retry_budget_slack: float
    """Further attempts to a service in a window besides."""


class MachineFacts(msgspec.Struct, frozen=True, rename="kebab"):
    """What the platform says of one machine; fields that nothing needs are left out."""

    ip: str
    zone: str
    """The machine's data centre."""
    region: str
    zones: dict[str, str]
    """Region by data centre."""
    service: str
    """Service of the worker on this machine."""
    app_addr: str
    """Address of that worker."""
    listen: _Listen
    internal_port_range: tuple[int, int]
    """First and last port for links between nodes, the same on all machines."""
    provider: _Store
    bounds: _Bounds
    limits: _Limits = _Limits()


def read_platform_settings(path: Path) -> Settings:
    """Read the settings file that the platform filled in.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` or `SETTINGS_FAULTY`.
    """
    parsed = parse_text(read_settings_text(path))
    if isinstance(parsed, Failure):
        fault = parsed.failure()
        message = f"{path}: line {fault.line}: {fault.text}"
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, message)
    return build_settings(parsed.unwrap(), origin=str(path))


def build_settings(raw: Any, *, origin: str) -> Settings:
    """Build the product's settings from its own and the machine's facts.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`.
    """
    try:
        facts = msgspec.convert(raw[FACTS_FIELD], MachineFacts)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        text = f"{origin}: field {FACTS_FIELD}: {error}"
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
    own = {name: value for name, value in raw.items() if name != FACTS_FIELD}
    for name, value in _translate(facts).items():
        own[name] = {**own.get(name, {}), **value}
    return check_settings(own, origin=origin)


def _translate(facts: MachineFacts) -> dict[str, dict[str, Any]]:
    worker_host, worker_port = split_address(facts.app_addr)
    first_port, _ = facts.internal_port_range
    bounds = facts.bounds
    return {
        # Entries of workers name no machine but by its IP address.
        "vm": {
            "name": facts.ip,
            "region": facts.region,
            "data_centre": facts.zone,
            "service": facts.service,
        },
        "listen": {
            "host": facts.ip,
            "caller_port": split_address(facts.listen.outbound)[1],
            "hop_port": first_port,
            "control_port": first_port + 1,
            "operator_port": split_address(facts.listen.ready)[1],
        },
        "worker": {"host": worker_host, "port": worker_port},
        "source": {"addresses": [facts.provider.address], "regions": facts.zones},
        "control": {
            "source_reads_per_s": max(int(facts.provider.reads_per_s) // READS_SHARE, 1),
            "thin_link": facts.limits.link_mbps < THIN_LINK_MBPS,
        },
        "requests": {
            "retry_percent": int(PERCENT * RETRY_SHARE * bounds.retry_budget_ratio),
            "retry_reserve": int(RETRY_SHARE * bounds.retry_budget_slack),
        },
        "drain": {"grace_ms": int(MS_PER_S * bounds.grace)},
    }
