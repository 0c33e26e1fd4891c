"""Fetching of versions and of the list of VMs from peers that announce them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import SectionRef
from trefoilpick.membership import VmsChange
from trefoilpick.messages import (
    Delivery,
    Fetch,
    FetchSections,
    FetchVms,
    Sections,
    VmsDelivery,
    WireSection,
    pack_version,
    unpack_version,
    unpack_vms,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from trefoilpick.links import Links
    from trefoilpick.manifest import Manifest, VersionId
    from trefoilpick.membership import MembershipTable
    from trefoilpick.metrics import Metrics
    from trefoilpick.source_reader import SourceReader
    from trefoilpick.versions import VersionStore

MAX_OFFERING_PEERS = 16
"""Maximum number of peers kept that offer one version, or a newer list of VMs."""

MAX_OFFERED_VERSIONS = 8
"""Maximum number of offered versions kept."""

READ_WAIT_S = 1.0
"""Time for which a fetch waits while the node itself reads the same version, in seconds."""

WATCH_WAIT_S = 0.4
"""Time for which a fetch waits for the node's own watch of the source, in seconds; about the time
for which a watch batches changes in quick succession."""

POLL_INTERVAL_S = 0.01
"""Interval between checks of what the node has read, in seconds."""

MAX_SECTIONS = 200
"""Maximum number of sections requested in one message."""


class VersionFetcher:
    """Fetches the newest offered version, trying one peer after the other.

    Args:
        store: Collects the fetched sections.
        links: Control links to peers.
        reader: The node's reader of the source.
        metrics: Metrics of the node.
        answer_timeout_s: Timeout of one answer, in seconds.
        on_version_added: Called after a new version has been added to the store.
    """

    def __init__(
        self,
        *,
        store: VersionStore,
        links: Links,
        reader: SourceReader,
        metrics: Metrics,
        answer_timeout_s: float,
        on_version_added: Callable[[], Awaitable[None]],
    ) -> None:
        self._store = store
        self._links = links
        self._reader = reader
        self._metrics = metrics
        self._answer_timeout_s = answer_timeout_s
        self._on_version_added = on_version_added
        self._offers: dict[VersionId, list[str]] = {}
        self._offered = curio.Event()
        self.newest: VersionId | None = None

    async def add_offer(self, version: VersionId, address: str) -> None:
        """Record that a peer holds a version.

        Args:
            version: The version.
            address: "ip:port" of the peer.
        """
        if not self._store.is_newer(version):
            self._store.record_confirmation(version)
            return
        if self.newest is None or version > self.newest:
            self.newest = version
        offers = self._list_offering_peers(version)
        if address not in offers and len(offers) < MAX_OFFERING_PEERS:
            offers.append(address)
        while len(self._offers) > MAX_OFFERED_VERSIONS:
            del self._offers[min(self._offers)]
        await self._offered.set()

    def _list_offering_peers(self, version: VersionId) -> list[str]:
        """Return the peers that offer a version, filed under its last confirmation."""
        for known in self._offers:
            if known == version and known.confirmed_at < version.confirmed_at:
                self._offers[version] = self._offers.pop(known)
                break
        return self._offers.setdefault(version, [])

    async def run(self) -> None:
        """Fetch what is offered, until cancelled."""
        while True:
            await self._offered.wait()
            self._offered.clear()
            while (version := self._find_newest()) is not None:
                await self._fetch_once(version)

    def _find_newest(self) -> VersionId | None:
        self._offers = {
            version: offers
            for version, offers in self._offers.items()
            if offers and self._store.is_newer(version)
        }
        return max(self._offers, default=None)

    async def _fetch_once(self, version: VersionId) -> None:
        await self._wait_for_own_read(version)
        offers = self._offers.get(version)
        if not offers or not self._store.is_newer(version):
            return
        address = offers.pop(0)
        try:
            manifest, version = await self._fetch(version, address)
        except TrefoilpickError as error:
            self._metrics.count("trefoilpick_fetch_failures_total", kind=error.kind.value)
            return
        self._metrics.count("trefoilpick_fetches_total")
        if self._store.add_version(manifest, confirmed_at=version.confirmed_at):
            await self._on_version_added()

    async def _fetch(self, version: VersionId, address: str) -> tuple[Manifest, VersionId]:
        """Fetch a version; return it with the later of the confirmations known here and there."""
        request = Fetch(pack_version(version), pack_version(self._store.newest))
        answer = await self._links.request(address, request, timeout_s=self._answer_timeout_s)
        delivery = answer.body
        delivered = unpack_version(delivery.version) if isinstance(delivery, Delivery) else None
        if not isinstance(delivery, Delivery) or delivered is None or delivered != version:
            raise _make_unexpected_answer_error(address, delivery)
        manifest = self._store.resolve_manifest(delivery)
        self._add_sections(manifest, delivery.sections)
        while missing := self._store.list_missing(manifest):
            await self._fetch_sections(manifest, missing, address)
        return manifest, max(version, delivered, key=lambda known: known.confirmed_at)

    async def _fetch_sections(
        self, manifest: Manifest, missing: tuple[SectionRef, ...], address: str
    ) -> None:
        digests = tuple(bytes.fromhex(ref.digest) for ref in missing[:MAX_SECTIONS])
        answer = await self._links.request(
            address, FetchSections(digests), timeout_s=self._answer_timeout_s
        )
        sections = answer.body
        if not isinstance(sections, Sections) or not sections.sections:
            raise _make_unexpected_answer_error(address, sections)
        self._add_sections(manifest, sections.sections)
        if self._store.list_missing(manifest) == missing:
            raise _make_unexpected_answer_error(address, sections)

    def _add_sections(self, manifest: Manifest, sections: Iterable[WireSection]) -> None:
        refs = {ref.digest: ref for ref in manifest.sections}
        for section in sections:
            ref = refs.get(section.digest.hex())
            if ref is not None:
                self._store.add_packed(ref, section.packed)

    async def _wait_for_own_read(self, version: VersionId) -> None:
        """Wait for the node's own reading, for a bounded time, to save a transfer from a peer."""
        if self._reader.has_recent_answer():
            async with curio.ignore_after(WATCH_WAIT_S):
                while self._store.is_newer(version) and self._reader.reading_version != version:
                    await curio.sleep(POLL_INTERVAL_S)
        async with curio.ignore_after(READ_WAIT_S):
            while self._reader.reading_version == version:
                await curio.sleep(POLL_INTERVAL_S)


class ListFetcher:
    """Fetches the newest offered list of VMs as a change against the known one.

    Args:
        membership: Receives the list.
        links: Control links to peers.
        metrics: Metrics of the node.
        answer_timeout_s: Timeout of one answer, in seconds.
        on_list_adopted: Called when a new list has been adopted.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        links: Links,
        metrics: Metrics,
        answer_timeout_s: float,
        on_list_adopted: Callable[[], Awaitable[None]],
    ) -> None:
        self._membership = membership
        self._links = links
        self._metrics = metrics
        self._answer_timeout_s = answer_timeout_s
        self._on_list_adopted = on_list_adopted
        self._offers: dict[str, int] = {}
        self._offered = curio.Event()

    async def add_offer(self, revision: int, address: str) -> None:
        """Record that a peer has a revision of the list."""
        if revision <= self._membership.revision:
            return
        self._offers[address] = revision
        while len(self._offers) > MAX_OFFERING_PEERS:
            del self._offers[next(iter(self._offers))]
        await self._offered.set()

    async def run(self) -> None:
        """Fetch what is offered, until cancelled."""
        while True:
            await self._offered.wait()
            self._offered.clear()
            while self._offers:
                address, revision = self._offers.popitem()
                if revision > self._membership.revision:
                    await self._fetch_once(address)

    async def _fetch_once(self, address: str) -> None:
        try:
            change = await self._fetch(address)
        except TrefoilpickError as error:
            self._metrics.count("trefoilpick_fetch_failures_total", kind=error.kind.value)
            return
        if self._membership.adopt_change(change):
            await self._on_list_adopted()

    async def _fetch(self, address: str) -> VmsChange:
        request = FetchVms(self._membership.revision)
        answer = await self._links.request(address, request, timeout_s=self._answer_timeout_s)
        delivery = answer.body
        if not isinstance(delivery, VmsDelivery):
            raise _make_unexpected_answer_error(address, delivery)
        changed = unpack_vms(delivery.packed)
        return VmsChange(delivery.revision, delivery.base, changed, delivery.removed)


def _make_unexpected_answer_error(address: str, body: object) -> TrefoilpickError:
    text = f'peer "{address}" sent an unexpected answer: {type(body).__name__}'
    return TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text)
