"""Conversion of the settings that the platform gives a process to node settings."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure

from trefoilpick._jsonc import parse_jsonc
from trefoilpick.addresses import split_address
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.settings import Settings, check_settings, read_settings_text

if TYPE_CHECKING:
    from pathlib import Path

MACHINE_FACTS_FIELD = "platform"
"""Field of the settings file that the platform fills with facts about the machine; all other fields
are node settings."""

READ_RATE_DIVISOR = 4
"""Divisor of the store's read rate: nodes use a quarter of it, as others read the store as well."""

RETRY_BUDGET_FRACTION = 0.38
"""Fraction of the platform's retry budget to use: 1 / (2 * 1.3). The factor 2 allows for calls made
on behalf of retried requests, which count as retries at their target and can be as many as the
service's own retries; the factor 1.3 for windows in which up to 1.3 times the budget is spent."""

PERCENT = 100
MS_PER_S = 1_000

LOW_BANDWIDTH_LINK_MBPS = 20.0
"""Link bandwidth below which a node reads the source only if no other node can, in Mbit/s: a
document of 500 kB occupies such a link for at least 0.2 s, and one may arrive every 0.2 s."""


class _Listen(msgspec.Struct, frozen=True):
    outbound: str
    """Address for requests that originate on this machine."""
    ready: str
    """Address of the platform's readiness check."""


class _Store(msgspec.Struct, frozen=True, rename="kebab"):
    address: str
    reads_per_s: float
    """Reads per second allowed for all readers together."""


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    link_mbps: float = math.inf
    """Bandwidth of the machine's link, in Mbit/s."""


class _Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    grace: float
    """Time from SIGTERM to SIGKILL, in seconds."""
    retry_budget_ratio: float
    """Retries allowed per request to a service."""
    retry_budget_slack: float
    """Additional retries allowed per service and window."""
    cold_overage: float = 1.0
    """Factor by which a cold worker's tolerated rate may be exceeded."""
    cold_slack: float = 0.0
    """Requests that a cold worker may get in a second in addition."""
    evacuation: float | None = None
    """Time within which an evacuation must be in force, in milliseconds; None if there are none."""


class MachineFacts(msgspec.Struct, frozen=True, rename="kebab"):
    """Facts about one machine, as given by the platform; unused fields are omitted."""

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
    """First and last port for connections between nodes; the same on all machines."""
    provider: _Store
    bounds: _Bounds
    limits: _Limits = _Limits()


def read_platform_settings(path: Path) -> Settings:
    """Read a settings file filled in by the platform.

    Raises:
        TrefoilpickError: `FILE_UNREADABLE` or `SETTINGS_FAULTY`.
    """
    parsed = parse_jsonc(read_settings_text(path))
    if isinstance(parsed, Failure):
        fault = parsed.failure()
        message = f"{path}: line {fault.line}: {fault.text}"
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, message)
    return build_settings(parsed.unwrap(), origin=str(path))


def build_settings(raw: Any, *, origin: str) -> Settings:
    """Build node settings from a settings file with machine facts.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`.
    """
    try:
        facts = msgspec.convert(raw[MACHINE_FACTS_FIELD], MachineFacts)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        text = f"{origin}: field {MACHINE_FACTS_FIELD}: {error}"
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
    node_settings = {name: value for name, value in raw.items() if name != MACHINE_FACTS_FIELD}
    try:
        for name, value in _build_settings_from_facts(facts).items():
            node_settings[name] = {**node_settings.get(name, {}), **value}
    except (ValueError, OverflowError, TypeError) as error:
        text = f"{origin}: a number or section is unusable: {error}"
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
    return check_settings(node_settings, origin=origin)


def _build_settings_from_facts(facts: MachineFacts) -> dict[str, dict[str, Any]]:
    worker_host, worker_port = split_address(facts.app_addr)
    first_port, _ = facts.internal_port_range
    bounds = facts.bounds
    return {
        # Worker entries identify a machine only by its IP address.
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
        "source": {
            "addresses": [facts.provider.address],
            "regions": facts.zones,
            "evacuations": bounds.evacuation is not None,
        },
        "control": {
            "source_reads_per_s": max(int(facts.provider.reads_per_s) // READ_RATE_DIVISOR, 1),
            "thin_link": facts.limits.link_mbps < LOW_BANDWIDTH_LINK_MBPS,
        },
        "requests": {
            "retry_percent": int(PERCENT * RETRY_BUDGET_FRACTION * bounds.retry_budget_ratio),
            "retry_reserve": int(RETRY_BUDGET_FRACTION * bounds.retry_budget_slack),
        },
        "drain": {"grace_ms": int(MS_PER_S * bounds.grace)},
        "hops": {"cold_overage": bounds.cold_overage, "cold_slack": bounds.cold_slack},
        "link": {"mbps": facts.limits.link_mbps if math.isfinite(facts.limits.link_mbps) else 0.0},
    }
