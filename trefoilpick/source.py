"""The platform's configuration service, as a node reads it.

The service holds values by key, each with a revision that grows by each change:
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

if TYPE_CHECKING:
    from trefoilpick.settings import SourceSettings

MANIFEST_KEY = "manifest"
"""Key of the newest accepted manifest."""

VMS_KEY = "vms"
"""Key of the list of VMs."""

READS = ""
"""Use of the kept connection that serves reads; watches use their keys."""

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_NOT_FOUND = 404
STATUS_RATE_LIMITED = 429

MAX_REVISION_DIGITS = 18
"""Longest revision that a node accepts, in decimal digits."""


@dataclass(frozen=True)
class SourceValue:
    """A value of the configuration service.

    Attributes:
        data: The value's bytes.
        revision: The service's revision of the value.
    """

    data: bytes
    revision: int


class Source(Protocol):
    """Reads of the configuration service, each counted against its rate."""

    async def read_value(self, key: str) -> SourceValue:
        """Read a value now.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a revision after the given one.

        Returns:
            The value; None where the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times."""


class SourceClient:
    """Calls of the configuration service over HTTP.

    One connection is kept for each use. A connection on which a call did not end well is closed
    and never used again.

    Args:
        settings: Addresses and times.

    Attributes:
        calls: Calls made, whatever their outcome.
        bytes_received: Bytes that the service sent.
        bytes_sent: Bytes that the service was sent.
    """

    def __init__(self, settings: SourceSettings) -> None:
        self.calls = 0
        self.bytes_received = 0
        self.bytes_sent = 0
        self._settings = settings
        self._next_address = 0
        self._kept: dict[str, SourceConnection] = {}
        self._locks: dict[str, curio.Lock] = {}

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times; calls under way end as they began."""
        self._settings = settings

    async def close(self) -> None:
        """Close the kept connections."""
        kept, self._kept = self._kept, {}
        for connection in kept.values():
            await connection.close()

    async def call(
        self, use: str, target: str, *, wait_s: float = 0.0, answer_s: float | None = None
    ) -> SourceReply:
        """Make a call and return its whole answer.

        Args:
            use: What the connection is kept for.
            target: Path and query.
            wait_s: Time for which the service may hold the call, in seconds.
            answer_s: Time until the answer begins besides, in seconds; by default that of the
                settings.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE`.
        """
        if answer_s is None:
            answer_s = self._settings.read_timeout_ms / 1000
        timeout_s = wait_s + answer_s
        async with self._locks.setdefault(use, curio.Lock()):
            failure: TrefoilpickError | None = None
            for _ in self._settings.addresses:
                try:
                    return await self._call_address(use, target, timeout_s)
                except TrefoilpickError as error:
                    failure = error
                    self._next_address += 1
            assert failure is not None
            raise failure

    async def _call_address(self, use: str, target: str, timeout_s: float) -> SourceReply:
        addresses = self._settings.addresses
        address = addresses[self._next_address % len(addresses)]
        try:
            reply = await self._call_kept(use, target, timeout_s)
            if reply is not None:
                return reply
            connection = await curio.timeout_after(timeout_s, open_source_connection, address)
            return await self._call_on(connection, use, target, timeout_s)
        except curio.TaskTimeout as error:
            text = f'source "{address}" did not answer within {timeout_s:g} s'
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text) from error
        except OSError as error:
            text = f'source "{address}" cannot be reached: {error}'
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text) from error

    async def _call_kept(self, use: str, target: str, timeout_s: float) -> SourceReply | None:
        # None where no connection is kept, or the service closed it while it was idle.
        connection = self._kept.pop(use, None)
        if connection is None:
            return None
        if connection.address not in self._settings.addresses:
            await connection.close()
            return None
        received = connection.bytes_received
        try:
            return await self._call_on(connection, use, target, timeout_s)
        except (OSError, TrefoilpickError):
            if connection.bytes_received > received:
                raise
            return None

    async def _call_on(
        self, connection: SourceConnection, use: str, target: str, timeout_s: float
    ) -> SourceReply:
        received, sent = connection.bytes_received, connection.bytes_sent
        self.calls += 1
        is_kept = False
        try:
            reply = await connection.call(target, answer_s=timeout_s)
            is_kept = reply.may_reuse
        finally:
            self.bytes_received += connection.bytes_received - received
            self.bytes_sent += connection.bytes_sent - sent
            if is_kept:
                self._kept[use] = connection
            else:
                await connection.close()
        return reply


class HttpSource:
    """The configuration service with its values by key.

    Args:
        client: Makes the calls.
        settings: Times.
    """

    def __init__(self, client: SourceClient, settings: SourceSettings) -> None:
        self.client = client
        self._watch_ms = settings.watch_ms

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over changed addresses and times."""
        self.client.apply_settings(settings)
        self._watch_ms = settings.watch_ms

    async def read_value(self, key: str) -> SourceValue:
        """Read a value now.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """
        reply = await self.client.call(READS, f"/v1/values/{key}")
        return _read_reply(key, reply)

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a revision after the given one.

        Returns:
            The value; None where the watch ended without a change.

        Raises:
            TrefoilpickError: `SOURCE_UNAVAILABLE` or `SOURCE_RATE_LIMITED`.
        """
        target = f"/v1/values/{key}?after={after}&wait_ms={self._watch_ms}"
        reply = await self.client.call(key, target, wait_s=self._watch_ms / 1000)
        if reply.status == STATUS_NOT_MODIFIED:
            return None
        return _read_reply(key, reply)


def _read_reply(key: str, reply: SourceReply) -> SourceValue:
    if reply.status == STATUS_RATE_LIMITED:
        text = f'source refused value "{key}": rate limit'
        raise TrefoilpickError(ErrorKind.SOURCE_RATE_LIMITED, text)
    if reply.status == STATUS_NOT_FOUND:
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no value "{key}"')
    if reply.status != STATUS_OK:
        text = f'source answered value "{key}" with status {reply.status}'
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)
    revision = reply.revision
    if not (revision.isascii() and revision.isdigit() and len(revision) <= MAX_REVISION_DIGITS):
        text = f'source sent value "{key}" without a revision'
        raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, text)
    return SourceValue(reply.body, int(revision))


def open_client(settings: SourceSettings) -> SourceClient:
    """Build a client of the configuration service; it connects at the first call.

    Args:
        settings: Addresses and times.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, where an address is not of the form ip:port.
    """
    for address in settings.addresses:
        split_address(address)
    return SourceClient(settings)


def open_source(settings: SourceSettings) -> HttpSource:
    """Build the configuration service as a node reads it; it connects at the first call.

    Args:
        settings: Addresses and times.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, where an address is not of the form ip:port.
    """
    return HttpSource(open_client(settings), settings)


def name_section_key(digest: str) -> str:
    """Return the key of the section with a digest."""
    return f"sections/{digest}"
