"""Decoding of the operators' configuration, entry by entry.

A faulty entry affects only itself. A field that has a cautious substitute is replaced by it, as
`CAUTIOUS_VALUES` lists; a route without one of its other fields is unusable. A configuration whose
routes or services as a whole cannot be read is refused, so that the former one stays in force.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache, lru_cache
from typing import TYPE_CHECKING, Annotated, Any, TypeVar, cast

import msgspec
from msgspec import UNSET, Meta, UnsetType

from trefoilpick.errors import ErrorKind, TrefoilpickError

if TYPE_CHECKING:
    from collections.abc import Iterator

EntryT = TypeVar("EntryT", bound=msgspec.Struct)

IDEMPOTENT = "idempotent"

DOWNLOAD = "download"
"""Kind of idempotent requests with large answers."""

UPLOAD = "upload"
"""Kind of requests with large bodies, which run at most once."""

AT_MOST_ONCE_KINDS = frozenset(("non_idempotent", UPLOAD))
"""Kinds of routes whose requests run at most once."""

MAX_KEPT_ENTRIES = 20_000
"""Maximum number of decoded entries that are kept to be reused in later configurations."""

UNKNOWN_KIND = ""
"""Stands for a kind that cannot be read."""

Positive = Annotated[float, Meta(gt=0)]

_DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Split(msgspec.Struct, frozen=True):
    """One part of a route's traffic."""

    service: str
    weight: Annotated[float, Meta(ge=0)]


class PlatformRoute(msgspec.Struct, frozen=True, rename="kebab"):
    """A route as operators write it."""

    name: str
    hostname: Annotated[str, Meta(min_length=1, max_length=253)]
    path_prefix: Annotated[str, Meta(pattern=r"^/[^\s?#]*\Z", max_length=1024)]
    kind: str
    timeout: Positive
    """Deadline of a request, in milliseconds."""
    target_latency: Positive
    """Latency objective for the complete response, in milliseconds."""
    priority: int
    max_attempts: int
    """Maximum number of attempts for one request, including the first."""
    service: str = ""
    traffic_split: tuple[Split, ...] = ()


class PlatformService(msgspec.Struct, frozen=True, rename="kebab"):
    """A service as operators write it."""

    name: Annotated[str, Meta(min_length=1)]
    max_connections: Annotated[int, Meta(ge=1)]
    health_path: Annotated[str, Meta(max_length=1024)] = ""
    cold_start: Annotated[float, Meta(ge=0)] = 0.0
    """Time for which a worker is cold after its start, in seconds."""
    cold_per_s: Annotated[float, Meta(ge=0)] = 0.0
    """Requests per second that a cold worker tolerates."""


class PlatformLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits for callers as operators write them."""

    max_header_bytes: Annotated[int, Meta(ge=1)]
    max_body_bytes: Annotated[int, Meta(ge=0)]
    header_timeout: Positive
    """Timeout for receiving a request head, in milliseconds."""
    idle_timeout: Positive
    """Idle timeout of a connection, in milliseconds."""


CAUTIOUS_VALUES: dict[type[msgspec.Struct], dict[str, Any]] = {
    PlatformRoute: {
        "name": "unnamed",
        "kind": UNKNOWN_KIND,
        "target-latency": 1_000.0,
        "priority": 1,
        "max-attempts": 1,
    },
    PlatformService: {"max-connections": 100, "health-path": ""},
    PlatformLimits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 67_108_864,
        "header-timeout": 3_000.0,
        "idle-timeout": 15_000.0,
    },
}
"""Values that replace missing or faulty fields without risk to callers: an unknown kind runs at
most once, an unknown limit is a usual one."""


@dataclass(frozen=True)
class ConfigurationFault:
    """A fault in a configuration and its consequence.

    Attributes:
        entry: The faulty entry, for example `route "r-1"`.
        text: Description of the fault, naming the field and its value.
    """

    entry: str
    text: str


@dataclass(frozen=True)
class UnreadableRoute:
    """A route that cannot be used.

    Attributes:
        name: Its name; empty if that cannot be read.
        hostname: Its host; empty if that cannot be read.
        path_prefix: Its path prefix; empty if that cannot be read.
        text: Why it cannot be used.
    """

    name: str
    hostname: str
    path_prefix: str
    text: str


@dataclass(frozen=True)
class Configuration:
    """The operators' configuration, as far as it can be read.

    Attributes:
        version: Number of the version.
        routes: Usable routes.
        unreadable: Routes without a field that has no substitute.
        services: Services whose names can be read.
        limits: Limits for callers.
        faults: All faults that were found.
    """

    version: int
    routes: tuple[PlatformRoute, ...]
    unreadable: tuple[UnreadableRoute, ...]
    services: tuple[PlatformService, ...]
    limits: PlatformLimits
    faults: tuple[ConfigurationFault, ...]


class _RawConfiguration(msgspec.Struct, frozen=True):
    version: Annotated[int, Meta(ge=1, lt=2**53)]
    routes: msgspec.Raw
    services: msgspec.Raw
    limits: msgspec.Raw | UnsetType = UNSET


_CONFIGURATION_DECODER = msgspec.json.Decoder(_RawConfiguration)
_TABLE_DECODER = msgspec.json.Decoder(list[msgspec.Raw] | dict[str, msgspec.Raw])
_DECODERS: dict[type[msgspec.Struct], msgspec.json.Decoder[Any]] = {
    kind: msgspec.json.Decoder(kind) for kind in (PlatformRoute, PlatformService, PlatformLimits)
}


class _ConfigurationReader:
    """Reads the entries of one configuration and collects their faults."""

    def __init__(self) -> None:
        self.faults: list[ConfigurationFault] = []
        self.unreadable: list[UnreadableRoute] = []

    def read_routes(self, raw: msgspec.Raw) -> Iterator[PlatformRoute]:
        for key, entry in self._list_entries("routes", raw):
            try:
                yield self._read_entry(PlatformRoute, "route", key, entry)
            except TrefoilpickError as error:
                fields = _read_fields(entry)
                route = UnreadableRoute(
                    _read_field(PlatformRoute, "name", fields, key),
                    _read_field(PlatformRoute, "hostname", fields, ""),
                    _read_field(PlatformRoute, "path-prefix", fields, ""),
                    error.text,
                )
                self.unreadable.append(route)

    def read_services(self, raw: msgspec.Raw) -> Iterator[PlatformService]:
        for key, entry in self._list_entries("services", raw):
            try:
                yield self._read_entry(PlatformService, "service", key, entry)
            except TrefoilpickError as error:
                self.faults.append(ConfigurationFault(f'service "{key}"', error.text))

    def read_limits(self, raw: msgspec.Raw | UnsetType) -> PlatformLimits:
        entry = msgspec.Raw(b"{}") if raw is UNSET else raw
        return self._read_entry(PlatformLimits, "limits", "", entry)

    def _list_entries(self, name: str, raw: msgspec.Raw) -> Iterator[tuple[str, msgspec.Raw]]:
        """Yield the entries of a list or table, each with its key; those of a list have none.

        Raises:
            TrefoilpickError: `MANIFEST_FAULTY` if it is neither.
        """
        try:
            entries = _TABLE_DECODER.decode(raw)
        except _DECODING_ERRORS as error:
            text = f"configuration: {name}: {error}"
            raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, text) from error
        if isinstance(entries, dict):
            yield from entries.items()
        else:
            yield from (("", entry) for entry in entries)

    def _read_entry(self, kind: type[EntryT], noun: str, key: str, entry: msgspec.Raw) -> EntryT:
        """Decode an entry, with cautious values in place of faulty fields.

        Raises:
            TrefoilpickError: `MANIFEST_FAULTY` if a field without a substitute is faulty.
        """
        decoded = _decode_faultless(kind, bytes(entry))
        if decoded is not None:
            return cast("EntryT", decoded)
        fields = _read_fields(entry)
        if key:
            fields = {"name": key, **fields}
        name = fields.get("name")
        label = f'{noun} "{name}"' if isinstance(name, str) else noun
        for field, substitute in CAUTIOUS_VALUES[kind].items():
            value = fields.get(field, UNSET)
            if _is_valid(kind, field, value):
                continue
            found = "it is missing" if value is UNSET else f"value {value!r:.100}"
            self.faults.append(
                ConfigurationFault(label, f"field {field}: {found}; {substitute!r} is used")
            )
            fields[field] = substitute
        try:
            return msgspec.convert(fields, kind)
        except msgspec.ValidationError as error:
            raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, f"{label}: {error}") from error


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration; faulty entries are reported and affect only themselves.

    Raises:
        TrefoilpickError: `MANIFEST_FAULTY` if the data is not a configuration with a version, or
            its routes or services as a whole cannot be read.
    """
    try:
        raw = _CONFIGURATION_DECODER.decode(data)
    except _DECODING_ERRORS as error:
        raise TrefoilpickError(ErrorKind.MANIFEST_FAULTY, f"configuration: {error}") from error
    reader = _ConfigurationReader()
    routes = tuple(reader.read_routes(raw.routes))
    services = tuple(reader.read_services(raw.services))
    limits = reader.read_limits(raw.limits)
    return Configuration(
        raw.version,
        routes,
        tuple(reader.unreadable),
        services,
        limits,
        tuple(reader.faults),
    )


@lru_cache(maxsize=MAX_KEPT_ENTRIES)
def _decode_faultless(kind: type[msgspec.Struct], entry: bytes) -> msgspec.Struct | None:
    """Decode an entry; return None if it has any fault."""
    try:
        return _DECODERS[kind].decode(entry)
    except _DECODING_ERRORS:
        return None


def _read_fields(entry: msgspec.Raw) -> dict[str, Any]:
    """Return the fields of an entry; none if it is not an object."""
    try:
        return msgspec.json.decode(entry, type=dict[str, Any])
    except _DECODING_ERRORS:
        return {}


def _read_field(
    kind: type[msgspec.Struct], field: str, fields: dict[str, Any], default: str
) -> str:
    value = fields.get(field)
    return value if isinstance(value, str) and _is_valid(kind, field, value) else default


def _is_valid(kind: type[msgspec.Struct], field: str, value: object) -> bool:
    """Return whether a value is valid for a field of an entry, by the field's name on the wire."""
    if value is UNSET:
        return False
    try:
        msgspec.convert(value, _find_field_types(kind)[field])
    except msgspec.ValidationError:
        return False
    return True


@cache
def _find_field_types(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return {info.encode_name: info.type for info in msgspec.structs.fields(kind)}
