"""Client of the platform's configuration service.

The service stores values by key, each with a revision that increases with every change:
`manifest`, `sections/<digest>` (canonical JSON of one section) and `vms` (the list of VMs).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import curio

from trefoilpick._source_connection import (
    SourceConnection,
    SourceReply,
    open_source_connection,
)
from trefoilpick.addresses import split_address
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.revisions import compose_revision, get_source_revision

if TYPE_CHECKING:
    from trefoilpick.settings import SourceSettings

MANIFEST_KEY = "manifest"
"""Key of the newest accepted manifest."""

VMS_KEY = "vms"
"""Key of the list of VMs."""

READ_CONNECTION = ""
"""Name of the kept connection for reads; a watch uses its key as the name."""

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_NOT_FOUND = 404
STATUS_RATE_LIMITED = 429

REVISION_HEADER = "x-revision"
"""Header with the revision of a value."""

ERA_HEADER = "x-era"
"""Header with the service's era."""

MAX_REVISION_DIGITS = 18
"""Maximum length of an accepted revision or era, in decimal digits."""


@dataclass(frozen=True)
class SourceValue:
    """A value of the configuration service.

    Attributes:
        data: Bytes of the value.
        revision: Revision assigned by the service.
        era: How often the service was restored from an older copy; revisions of a later era are
            newer.
    """

    data: bytes
    revision: int
    era: int = 0

    @property
    def composed_revision(self) -> int:
        """Revision that is ordered by era first."""
        return compose_revision(self.era, get_source_revision(self.revision))


class Source(Protocol):
    """Access to the configuration service; each call counts against its rate limit."""

    async def read_value(self, key: str) -> SourceValue:
        """Read the current value.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a revision after the given one.

        Args:
            key: Key of the value.
            after: Revision of the known value.

        Returns:
            The value; None if the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """

    def find_held(self, key: str) -> bytes | None:
        """Return a value that needs no call, because an earlier one brought it; None otherwise."""

    def apply_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and timeouts."""


class SourceClient:
    """HTTP client of the configuration service.

    Connections are kept open by name. A connection is closed after a failed call and not reused;
    after a timeout all idle ones are closed.

    Args:
        settings: Addresses and timeouts.

    Attributes:
        calls: Calls made, regardless of outcome.
        bytes_received: Bytes received from the service.
        bytes_sent: Bytes sent to the service.
    """

    def __init__(self, settings: SourceSettings) -> None:
        self.calls = 0
        self.bytes_received = 0
        self.bytes_sent = 0
        self._settings = settings
        self._next_address = 0
        self._kept_connections: dict[str, SourceConnection] = {}
        self._locks: dict[str, curio.Lock] = {}

    def apply_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and timeouts; calls in progress keep the previous ones."""
        self._settings = settings

    async def close(self) -> None:
        """Close the kept connections."""
        kept, self._kept_connections = self._kept_connections, {}
        for connection in kept.values():
            await connection.close()

    async def call(
        self,
        connection_name: str,
        target: str,
        *,
        wait_s: float = 0.0,
        response_timeout_s: float | None = None,
    ) -> SourceReply:
        """Make a call and return the complete response.

        Args:
            connection_name: Name of the kept connection to use.
            target: Path and query.
            wait_s: Time for which the service may delay its response, in seconds.
            response_timeout_s: Additional time until the response begins, in seconds; by default
                the read timeout from the settings.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE`.
        """
        if response_timeout_s is None:
            response_timeout_s = self._settings.read_timeout_ms / 1000
        timeout_s = wait_s + response_timeout_s
        async with self._locks.setdefault(connection_name, curio.Lock()):
            failure: TrefoilpickError | None = None
            for _ in self._settings.addresses:
                try:
                    return await self._call_address(connection_name, target, timeout_s)
                except TrefoilpickError as error:
                    failure = error
                    self._next_address += 1
            assert failure is not None
            raise failure

    async def _call_address(
        self, connection_name: str, target: str, timeout_s: float
    ) -> SourceReply:
        addresses = self._settings.addresses
        address = addresses[self._next_address % len(addresses)]
        try:
            reply = await self._call_on_kept_connection(connection_name, target, timeout_s)
            if reply is not None:
                return reply
            connection = await curio.timeout_after(timeout_s, open_source_connection, address)
            return await self._call_on_connection(connection, connection_name, target, timeout_s)
        except curio.TaskTimeout as error:
            # The other kept connections may have fallen silent as well.
            await self.close()
            text = f'source "{address}" did not answer within {timeout_s:g} s'
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text) from error
        except OSError as error:
            text = f'source "{address}" cannot be reached: {error}'
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text) from error

    async def _call_on_kept_connection(
        self, connection_name: str, target: str, timeout_s: float
    ) -> SourceReply | None:
        # Returns None if no connection is kept or the service closed it while it was idle.
        connection = self._kept_connections.pop(connection_name, None)
        if connection is None:
            return None
        if connection.address not in self._settings.addresses:
            await connection.close()
            return None
        received_before = connection.bytes_received
        try:
            return await self._call_on_connection(connection, connection_name, target, timeout_s)
        except (OSError, TrefoilpickError):
            if connection.bytes_received > received_before:
                raise
            return None

    async def _call_on_connection(
        self, connection: SourceConnection, connection_name: str, target: str, timeout_s: float
    ) -> SourceReply:
        received_before, sent_before = connection.bytes_received, connection.bytes_sent
        self.calls += 1
        is_reusable = False
        try:
            reply = await connection.call(target, response_timeout_s=timeout_s)
            is_reusable = reply.may_reuse
        finally:
            self.bytes_received += connection.bytes_received - received_before
            self.bytes_sent += connection.bytes_sent - sent_before
            if is_reusable:
                self._kept_connections[connection_name] = connection
            else:
                await connection.close()
        return reply


class HttpSource:
    """Source that reads values by key over HTTP.

    Args:
        client: HTTP client of the service.
        settings: Timeouts.
    """

    def __init__(self, client: SourceClient, settings: SourceSettings) -> None:
        self.client = client
        self._watch_ms = settings.watch_ms
        self._era = 0
        self._value_eras: dict[str, int] = {}

    def apply_settings(self, settings: SourceSettings) -> None:
        """Apply changed addresses and timeouts."""
        self.client.apply_settings(settings)
        self._watch_ms = settings.watch_ms

    def find_held(self, key: str) -> bytes | None:
        """Return None: each value needs a call."""
        return None

    async def read_value(self, key: str) -> SourceValue:
        """Read the current value.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """
        reply = await self.client.call(READ_CONNECTION, f"/v1/values/{key}")
        era = self._check_era(reply)
        self._value_eras[key] = era
        return _convert_reply(key, reply, era)

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a revision after the given one.

        Args:
            key: Key of the value.
            after: Revision of the known value.

        Returns:
            The value; None if the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """
        known_era = self._value_eras.get(key, self._era)
        target = f"/v1/values/{key}?after={after}&era={known_era}&wait_ms={self._watch_ms}"
        reply = await self.client.call(key, target, wait_s=self._watch_ms / 1000)
        era = self._check_era(reply)
        if era != known_era:
            # The revision to watch from belongs to an earlier era.
            return await self.read_value(key)
        if reply.status == STATUS_NOT_MODIFIED:
            return None
        return _convert_reply(key, reply, era)

    def _check_era(self, reply: SourceReply) -> int:
        """Return the service's era; the one known before if the response names none.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` if the response is of an earlier era.
        """
        era = read_era(reply, ERA_HEADER)
        if era is None:
            return self._era
        if era < self._era:
            raise make_earlier_era_error(era, self._era)
        self._era = era
        return era


def _convert_reply(key: str, reply: SourceReply, era: int) -> SourceValue:
    if reply.status == STATUS_RATE_LIMITED:
        text = f'source refused value "{key}": rate limit'
        raise TrefoilpickError(ErrorKind.SOURCE_RATE_LIMITED, text)
    if reply.status == STATUS_NOT_FOUND:
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no value "{key}"')
    if reply.status != STATUS_OK:
        text = f'source answered value "{key}" with status {reply.status}'
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)
    revision = reply.headers.get(REVISION_HEADER, "")
    if not _is_number(revision):
        text = f'source sent value "{key}" without a revision'
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)
    return SourceValue(reply.body, int(revision), era)


def read_era(reply: SourceReply, header: str) -> int | None:
    """Return the era that a response names in a header; None if it names none."""
    text = reply.headers.get(header, "")
    return int(text) if _is_number(text) else None


def make_earlier_era_error(era: int, known_era: int) -> TrefoilpickError:
    """Return the error for a response from before the service was restored."""
    text = f"source answered from era {era} after era {known_era}"
    return TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_REVISION_DIGITS


def open_client(settings: SourceSettings) -> SourceClient:
    """Build a client of the configuration service; it connects on the first call.

    Args:
        settings: Addresses and timeouts.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY` if an address is not of the form ip:port.
    """
    for address in settings.addresses:
        split_address(address)
    return SourceClient(settings)


def open_source(settings: SourceSettings) -> HttpSource:
    """Build the source of a node; it connects on the first call.

    Args:
        settings: Addresses and timeouts.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY` if an address is not of the form ip:port.
    """
    return HttpSource(open_client(settings), settings)


def build_section_key(digest: str) -> str:
    """Return the key of the section with the given digest."""
    return f"sections/{digest}"
