"""Links and a configuration service within one process, for replay and for tests.

Both carry what real ones carry, as well or as badly as they are told to. They stand at the
interfaces `Links` and `Source`; everything behind those is the nodes' own code.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import curio

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.links import Traffic
from trefoilpick.manifest import encode_manifest
from trefoilpick.source import MANIFEST_KEY, SourceValue, build_section_key
from trefoilpick.traces import SourceFault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping
    from random import Random

    from trefoilpick.mailbox import Handler, Mailbox
    from trefoilpick.manifest import Manifest
    from trefoilpick.messages import Body, Envelope
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import SourceSettings

FOREVER_S = 1e9
"""Time that no run reaches, in seconds."""

WATCH_S = 30.0
"""Time that a watch waits, in seconds."""

READ_S = 0.002
"""Time that a read takes, in seconds."""

SLOW_READ_S = 1.5
"""Time that a read takes of a slow service, in seconds."""


class LocalNetwork:
    """Carries messages between the nodes of one process.

    Args:
        random: Source of delays and faults.

    Attributes:
        ends: Links by the address that they listen on.
        is_cut: Tells whether nothing passes between two addresses.
        is_held: Tells whether the node at an address stands still; what arrives there waits.
        loss: Share of messages that are lost.
        doubling: Share of messages that arrive twice.
        delay_s: Least and greatest time on the way, in seconds.
        spoil: Changes the bytes of a message on its way.
        messages: Messages that were sent.
    """

    def __init__(self, random: Random) -> None:
        self.ends: dict[str, LocalLinks] = {}
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.is_held: Callable[[str], bool] = lambda address: False
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_s = (0.001, 0.002)
        self.spoil: Callable[[bytes], bytes] = lambda data: data
        self.messages = 0
        self._random = random

    async def carry(
        self, data: bytes, one: str, other: str, arrive: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Carry a message from one address to another.

        Args:
            data: The message.
            one: Address of the sender.
            other: Address of the receiver.
            arrive: Called with what arrives, as often as it arrives.
        """
        self.messages += 1
        for _ in range(1 + (self._random.random() < self.doubling)):
            if self._random.random() >= self.loss:
                await curio.spawn(self._carry_once, data, one, other, arrive, daemon=True)

    async def _carry_once(
        self, data: bytes, one: str, other: str, arrive: Callable[[bytes], Awaitable[None]]
    ) -> None:
        await curio.sleep(self._random.uniform(*self.delay_s))
        while self.is_held(other) or self.is_held(one):
            await curio.sleep(self.delay_s[1])
        if not self.is_cut(one, other):
            with suppress(TrefoilpickError):
                await arrive(self.spoil(data))


class LocalLinks:
    """`Links` over a `LocalNetwork`.

    Args:
        network: Carries the messages.
        address: Where this node listens.
        mailbox: Makes and takes the messages.
        metrics: Where bytes are counted.
    """

    def __init__(
        self, network: LocalNetwork, address: str, *, mailbox: Mailbox, metrics: Metrics
    ) -> None:
        self.traffic = Traffic(metrics)
        self._network = network
        self._address = address
        self._mailbox = mailbox

    async def run(self, handler: Handler) -> None:
        """Take messages until cancelled."""
        self._mailbox.set_handler(handler)
        self._network.ends[self._address] = self
        try:
            await curio.sleep(FOREVER_S)
        finally:
            if self._network.ends.get(self._address) is self:
                del self._network.ends[self._address]

    async def tell(self, address: str, body: Body) -> None:
        """Send a message that wants no answer."""
        await self._send(address, self._mailbox.encode(body))

    async def ask(self, address: str, body: Body, *, timeout_s: float) -> Envelope:
        """Send a message and wait for the answer.

        Raises:
            TrefoilpickError: `PEER_UNREACHABLE`, after the timeout.
        """
        pending = self._mailbox.open_request(address)
        await self._send(address, self._mailbox.encode(body, request=pending.request))
        return await self._mailbox.wait_answer(pending, timeout_s)

    async def take(self, data: bytes, asker: LocalLinks) -> None:
        """Take a message that arrived, and send the answer back."""
        self.traffic.add_received(len(data))
        answer = await self._mailbox.take_request(data)
        if answer is None:
            return

        async def arrive(received: bytes) -> None:
            asker.traffic.add_received(len(received))
            await asker._mailbox.take_answer(received, self._address)

        self.traffic.add_sent(len(answer))
        await self._network.carry(answer, self._address, asker._address, arrive)

    async def _send(self, address: str, data: bytes) -> None:
        self.traffic.add_sent(len(data))

        async def arrive(received: bytes) -> None:
            end = self._network.ends.get(address)
            if end is not None:
                await end.take(received, self)

        await self._network.carry(data, self._address, address, arrive)


class LocalSource:
    """A configuration service that counts its calls and fails as it is told to.

    Attributes:
        values: Values by key.
        times: When each call was made, by the kernel's clock, in seconds.
        faults: What is wrong with it now.
    """

    def __init__(self) -> None:
        self.values: dict[str, SourceValue] = {}
        self.times: list[float] = []
        self.faults: set[SourceFault] = set()
        self._frozen: dict[str, SourceValue] | None = None
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

    async def begin_fault(self, fault: SourceFault) -> None:
        """Be faulty from now on."""
        self.faults.add(fault)
        if fault is SourceFault.STALE:
            self._frozen = dict(self.values)
        await self._wake()

    async def end_fault(self, fault: SourceFault) -> None:
        """Be free of a fault again."""
        self.faults.discard(fault)
        if fault is SourceFault.STALE:
            self._frozen = None
        await self._wake()

    async def read_value(self, key: str) -> SourceValue:
        """Read a value now."""
        self.times.append(await curio.clock())
        await curio.sleep(SLOW_READ_S if SourceFault.SLOW in self.faults else READ_S)
        value = self._find(key)
        if value is None:
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, f'source has no "{key}"')
        return self._deliver(value)

    def apply_settings(self, settings: SourceSettings) -> None:
        """Take over nothing: this source has no address and no times."""

    async def watch_value(self, key: str, *, after: int) -> SourceValue | None:
        """Wait until a value has a revision after the given one."""
        self.times.append(await curio.clock())
        self._check_up()
        async with curio.ignore_after(WATCH_S):
            while (value := self._find(key)) is None or value.revision <= after:
                async with self._changed:
                    await self._changed.wait()
                self._check_up()
            return self._deliver(value)
        return None

    def count_peak(self) -> int:
        """Return the most calls within any one second."""
        first = 0
        peak = 0
        for last, at in enumerate(self.times):
            while self.times[first] <= at - 1.0:
                first += 1
            peak = max(peak, last - first + 1)
        return peak

    def _find(self, key: str) -> SourceValue | None:
        values = self.values if self._frozen is None else self._frozen
        return values.get(key)

    def _check_up(self) -> None:
        if SourceFault.DOWN in self.faults:
            raise TrefoilpickError(ErrorKind.SOURCE_UNAVAILABLE, "source is down")

    def _deliver(self, value: SourceValue) -> SourceValue:
        self._check_up()
        data = value.data
        if SourceFault.TRUNCATED in self.faults:
            data = data[: len(data) // 2]
        if SourceFault.WRONG in self.faults:
            data = data.replace(b'"', b"'", 1)
        return SourceValue(data, value.revision)

    async def _wake(self) -> None:
        async with self._changed:
            await self._changed.notify_all()
