"""In-process links and an in-process configuration service, for replay and for tests.

They implement the interfaces `Links` and `Source` and can inject faults: loss, duplication, delay,
corruption, partitions. Everything behind those interfaces is the nodes' own code.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import curio

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.links import Traffic
from trefoilpick.manifest import encode_manifest
from trefoilpick.revisions import compose_revision
from trefoilpick.source import MANIFEST_KEY, SourceValue, build_section_key
from trefoilpick.traces import SourceFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping
    from random import Random

    from trefoilpick.manifest import Manifest
    from trefoilpick.message_endpoint import Handler, MessageEndpoint
    from trefoilpick.messages import Body, Envelope
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import SourceSettings

FOREVER_S = 1e9
"""Sleep that outlasts any run, in seconds."""

WATCH_S = 30.0
"""Timeout of a watch, in seconds."""

READ_S = 0.002
"""Duration of a read, in seconds."""

SLOW_READ_S = 1.5
"""Duration of a read while the service is slow, in seconds."""


class LocalNetwork:
    """Delivers messages between the nodes of one process, with injected faults.

    Args:
        random: Source of delays and faults.

    Attributes:
        links: Links by the address that they listen on.
        is_partitioned: Returns whether two addresses are partitioned from each other.
        is_suspended: Returns whether the node at an address is suspended; its messages are
            delayed until it resumes.
        loss: Share of messages that are lost.
        duplication: Share of messages that are delivered twice.
        delay_s: Shortest and longest delay of a message, in seconds.
        corrupt: Corrupts the bytes of a message in transit.
        messages: Number of messages sent.
    """

    def __init__(self, random: Random) -> None:
        self.links: dict[str, LocalLinks] = {}
        self.is_partitioned: Callable[[str, str], bool] = lambda sender, receiver: False
        self.is_suspended: Callable[[str], bool] = lambda address: False
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = (0.001, 0.002)
        self.corrupt: Callable[[bytes], bytes] = lambda data: data
        self.messages = 0
        self._random = random

    async def deliver(
        self, data: bytes, sender: str, receiver: str, arrive: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Deliver a message from one address to another, subject to the faults.

        Args:
            data: The message.
            sender: Address of the sender.
            receiver: Address of the receiver.
            arrive: Called with the delivered bytes, once for each delivery.
        """
        self.messages += 1
        for _ in range(1 + (self._random.random() < self.duplication)):
            if self._random.random() >= self.loss:
                await curio.spawn(self._deliver_once, data, sender, receiver, arrive, daemon=True)

    async def _deliver_once(
        self, data: bytes, sender: str, receiver: str, arrive: Callable[[bytes], Awaitable[None]]
    ) -> None:
        await curio.sleep(self._random.uniform(*self.delay_s))
        while self.is_suspended(receiver) or self.is_suspended(sender):
            await curio.sleep(self.delay_s[1])
        if not self.is_partitioned(sender, receiver):
            with suppress(TrefoilpickError):
                await arrive(self.corrupt(data))


class LocalLinks:
    """`Links` over a `LocalNetwork`.

    Args:
        network: The network between the nodes.
        address: The address that this node listens on.
        message_endpoint: Encodes the messages and handles those received.
        metrics: Metrics that count the bytes sent and received.
    """

    def __init__(
        self,
        network: LocalNetwork,
        address: str,
        *,
        message_endpoint: MessageEndpoint,
        metrics: Metrics,
    ) -> None:
        self.traffic = Traffic(metrics)
        self._network = network
        self._address = address
        self._message_endpoint = message_endpoint

    async def run(self, handler: Handler) -> None:
        """Receive messages until cancelled."""
        self._message_endpoint.set_handler(handler)
        self._network.links[self._address] = self
        try:
            await curio.sleep(FOREVER_S)
        finally:
            if self._network.links.get(self._address) is self:
                del self._network.links[self._address]

    async def send(self, address: str, body: Body) -> None:
        """Send a message that needs no answer."""
        await self._send(address, self._message_endpoint.encode(body))

    async def request(self, address: str, body: Body, *, timeout_s: float) -> Envelope:
        """Send a message and wait for the answer.

        Raises:
            TrefoilpickError: `PEER_UNREACHABLE`, after the timeout.
        """
        pending = self._message_endpoint.register_request(address)
        await self._send(address, self._message_endpoint.encode(body, request=pending.request))
        return await self._message_endpoint.wait_for_answer(pending, timeout_s)

    async def receive(self, data: bytes, requester: LocalLinks) -> None:
        """Handle a received message and send its answer back."""
        self.traffic.add_received(len(data))
        answer = await self._message_endpoint.handle_request(data)
        if answer is None:
            return

        async def arrive(received: bytes) -> None:
            requester.traffic.add_received(len(received))
            await requester._message_endpoint.handle_answer(received, self._address)

        self.traffic.add_sent(len(answer))
        await self._network.deliver(answer, self._address, requester._address, arrive)

    async def _send(self, address: str, data: bytes) -> None:
        self.traffic.add_sent(len(data))

        async def arrive(received: bytes) -> None:
            peer = self._network.links.get(address)
            if peer is not None:
                await peer.receive(received, self)

        await self._network.deliver(data, self._address, address, arrive)


class LocalSource:
    """A configuration service that counts its calls and has injected faults.

    Attributes:
        values: Values by key.
        call_times_s: Time of each call by the curio kernel's clock, in seconds.
        faults: Current faults.
        era: How often the values were restored from an older copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self.values: dict[str, SourceValue] = {}
        self.call_times_s: list[float] = []
        self.faults: set[SourceFault] = set()
        self._stale_values: dict[str, SourceValue] | None = None
        self._revision = 0
        self._changed = curio.Condition()

    async def put(self, key: str, data: bytes) -> None:
        """Publish a value and wake its watches."""
        self._revision += 1
        self.values[key] = SourceValue(data, self._revision)
        await self._wake()

    async def accept(self, manifest: Manifest, texts: Mapping[str, bytes]) -> None:
        """Publish a version: its sections by digest, then its manifest."""
        for digest, text in texts.items():
            await self.put(build_section_key(digest), text)
        await self.put(MANIFEST_KEY, encode_manifest(manifest))

    async def restore(self, values: Mapping[str, SourceValue]) -> None:
        """Return to an older copy of the values, in a new era; revisions are assigned again."""
        self.values = dict(values)
        self._revision = max((value.revision for value in values.values()), default=0)
        self.era += 1
        await self._wake()

    async def begin_fault(self, fault: SourceFault) -> None:
        """Inject a fault until `end_fault` is called."""
        self.faults.add(fault)
        if fault is SourceFault.STALE:
            self._stale_values = dict(self.values)
        await self._wake()

    async def end_fault(self, fault: SourceFault) -> None:
        """Remove a fault."""
        self.faults.discard(fault)
        if fault is SourceFault.STALE:
            self._stale_values = None
        await self._wake()

    async def read_value(self, key: str) -> SourceValue:
        """Read the current value of a key."""
        self.call_times_s.append(await curio.clock())
        await curio.sleep(SLOW_READ_S if SourceFault.SLOW in self.faults else READ_S)
        value = self._find(key)
        if value is None:
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no value "{key}"')
        return self._deliver(value)

    def find_held(self, key: str) -> bytes | None:
        """Return None: each value needs a call."""
        return None

    def apply_settings(self, settings: SourceSettings) -> None:
        """Ignore the settings: this source has no address and no timeouts."""

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait for a revision after the given one; return None after `WATCH_S`.

        Revisions that are returned contain the era.
        """
        self.call_times_s.append(await curio.clock())
        self._check_available()
        async with curio.ignore_after(WATCH_S):
            while (value := self._find(key)) is None or self._compose(value) <= after:
                async with self._changed:
                    await self._changed.wait()
                self._check_available()
            return self._deliver(value)
        return None

    def count_peak_calls(self) -> int:
        """Return the largest number of calls within one second."""
        first = 0
        peak = 0
        for last, called_s in enumerate(self.call_times_s):
            while self.call_times_s[first] <= called_s - 1.0:
                first += 1
            peak = max(peak, last - first + 1)
        return peak

    def _find(self, key: str) -> SourceValue | None:
        values = self.values if self._stale_values is None else self._stale_values
        return values.get(key)

    def _check_available(self) -> None:
        if SourceFault.DOWN in self.faults:
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, "source is down")

    def _deliver(self, value: SourceValue) -> SourceValue:
        self._check_available()
        data = value.data
        if SourceFault.TRUNCATED in self.faults:
            data = data[: len(data) // 2]
        if SourceFault.WRONG in self.faults:
            data = data.replace(b'"', b"'", 1)
        return SourceValue(data, self._compose(value), self.era)

    def _compose(self, value: SourceValue) -> int:
        return compose_revision(self.era, value.revision)

    async def _wake(self) -> None:
        async with self._changed:
            await self._changed.notify_all()
