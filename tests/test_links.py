import signal
import subprocess
import sys
from functools import partial
from pathlib import Path

import curio
import pytest
import zmq
from fakes_proxy import SilencingProxy

from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.links import ZmqLinks
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.messages import (
    Announcement,
    Body,
    Envelope,
    FetchVms,
    Leaving,
    Refusal,
    WireVersion,
)
from trefoilpick.metrics import Metrics
from trefoilpick.settings import KeySettings

PORT = 18_471

RECOVERY_S = 3.0
"""Time limit until a link works again after its connection fell silent, in seconds."""

WATCH_S = 8.0
"""Time for which a link that does not recover is watched, in seconds."""


def make_keys() -> KeySettings:
    public, secret = zmq.curve_keypair()
    return KeySettings(public.decode(), secret.decode())


class Endpoint:
    def __init__(self, host: str, name: str, keys: KeySettings | None) -> None:
        self.metrics = Metrics()
        self.address = f"{host}:{PORT}"
        message_endpoint = MessageEndpoint(name, 1, self.metrics)
        self.links = ZmqLinks(
            host, PORT, message_endpoint=message_endpoint, metrics=self.metrics, keys=keys
        )
        self.received: list[Body] = []

    async def answer(self, envelope: Envelope) -> Body | None:
        self.received.append(envelope.body)
        return Refusal("busy") if envelope.request else None

    async def wait_received(self, count: int) -> None:
        async with curio.timeout_after(30):
            while len(self.received) < count:
                await curio.sleep(0.01)


async def exchange_messages(one: Endpoint, other: Endpoint) -> None:
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(one.links.run, one.answer)
        await group.spawn(other.links.run, other.answer)
        for revision in range(100):
            answer = await one.links.request(other.address, FetchVms(revision), timeout_s=30)
            assert answer.body == Refusal("busy")
        # Both sides may send requests at the same time: each uses its own socket.
        answer = await other.links.request(one.address, FetchVms(0), timeout_s=30)
        assert answer.vm == "vm-1"
        await one.links.send(other.address, Announcement(WireVersion(1, bytes(16)), 1))
        await other.wait_received(101)
        await group.cancel_remaining()


def test_peers_with_the_fleet_keys_exchange_messages() -> None:
    keys = make_keys()
    one, other = Endpoint("127.0.41.1", "vm-1", keys), Endpoint("127.0.41.2", "vm-2", keys)
    curio.run(exchange_messages(one, other))
    assert one.links.traffic.sent == other.links.traffic.received
    assert one.links.traffic.received == other.links.traffic.sent


def test_foreign_key_is_refused() -> None:
    async def main() -> None:
        node = Endpoint("127.0.42.1", "vm-1", keys := make_keys())
        context = zmq.Context()
        foreign = context.socket(zmq.DEALER)
        # The foreign client has the fleet's public key, which is not secret.
        foreign.curve_serverkey = keys.public.encode()
        foreign.curve_publickey, foreign.curve_secretkey = zmq.curve_keypair()
        foreign.connect(f"tcp://{node.address}")
        message_endpoint = MessageEndpoint("vm-2", 1, Metrics())
        foreign.send(message_endpoint.encode(Announcement(WireVersion(9, bytes(16)), 1)))
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(node.links.run, node.answer)
            async with curio.timeout_after(30):
                while not node.metrics.get_count("trefoilpick_control_links_refused_total"):
                    await curio.sleep(0.01)
            await group.cancel_remaining()
        assert node.received == []
        context.destroy(linger=0)

    curio.run(main())


def test_only_the_newest_announcement_is_queued_for_an_absent_peer() -> None:
    async def main() -> None:
        one, other = Endpoint("127.0.43.1", "vm-1", None), None
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(one.links.run, one.answer)
            for number in range(1, 500):
                await one.links.send(
                    f"127.0.43.2:{PORT}", Announcement(WireVersion(number, bytes(16)), 1)
                )
            other = Endpoint("127.0.43.2", "vm-2", None)
            await group.spawn(other.links.run, other.answer)
            await other.wait_received(1)
            await group.cancel_remaining()
        assert other.received == [Announcement(WireVersion(499, bytes(16)), 1)]

    curio.run(main())


async def wait_for_answer(one: Endpoint, address: str) -> float:
    """Send requests until one is answered; return the elapsed time in seconds."""
    began_s = await curio.clock()
    while True:
        try:
            await one.links.request(address, FetchVms(0), timeout_s=0.5)
        except TrefoilpickError:
            elapsed_s = await curio.clock() - began_s
            assert elapsed_s < WATCH_S, f"no answer within {elapsed_s:.1f} s"
        else:
            return await curio.clock() - began_s


# Guards against a link whose connection is open and silent, and which is used for good.
@pytest.mark.parametrize(("has_keys", "net"), [(False, "127.0.44"), (True, "127.0.46")])
def test_link_works_again_after_its_connection_fell_silent(has_keys: bool, net: str) -> None:
    async def main() -> None:
        keys = make_keys() if has_keys else None
        one, other = Endpoint(f"{net}.1", "vm-1", keys), Endpoint(f"{net}.2", "vm-2", keys)
        proxy = SilencingProxy((f"{net}.3", PORT), (f"{net}.2", PORT))
        address = f"{net}.3:{PORT}"
        async with curio.TaskGroup(wait=any) as group:
            for run in (proxy.run, partial(one.links.run, one.answer)):
                await group.spawn(run)
            await group.spawn(other.links.run, other.answer)
            await one.links.request(address, FetchVms(0), timeout_s=30)
            # The delay before connecting again must not grow.
            for _ in range(3):
                proxy.silence()
                assert await wait_for_answer(one, address) < RECOVERY_S
            announcement = Announcement(WireVersion(2, bytes(16)), 1)
            await one.links.send(address, announcement)
            async with curio.timeout_after(1.0):
                while announcement not in other.received:
                    await curio.sleep(0.01)
            await group.cancel_remaining()

    curio.run(main())


# Guards against notices that are written to a silent connection for good, as nobody answers them.
def test_announcements_arrive_again_after_the_connection_fell_silent() -> None:
    async def main() -> None:
        one, other = Endpoint("127.0.45.1", "vm-1", None), Endpoint("127.0.45.2", "vm-2", None)
        proxy = SilencingProxy(("127.0.45.3", PORT), ("127.0.45.2", PORT))
        address = f"127.0.45.3:{PORT}"
        async with curio.TaskGroup(wait=any) as group:
            for run in (proxy.run, partial(one.links.run, one.answer)):
                await group.spawn(run)
            await group.spawn(other.links.run, other.answer)
            await one.links.send(address, Announcement(WireVersion(1, bytes(16)), 1))
            await other.wait_received(1)
            proxy.silence()
            began_s = await curio.clock()
            for number in range(2, 1_000):
                await one.links.send(address, Announcement(WireVersion(number, bytes(16)), 1))
                await curio.sleep(0.05)
                elapsed_s = await curio.clock() - began_s
                if len(other.received) > 1:
                    break
                assert elapsed_s < WATCH_S, f"no announcement arrived within {elapsed_s:.1f} s"
            assert elapsed_s < RECOVERY_S
            await group.cancel_remaining()

    curio.run(main())


# Guards against a delay before connecting that has grown while a peer was away.
def test_link_works_soon_after_an_absent_peer_returns() -> None:
    async def main() -> None:
        one, address = Endpoint("127.0.54.1", "vm-1", None), f"127.0.54.2:{PORT}"
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(one.links.run, one.answer)
            for _ in range(14):
                with pytest.raises(TrefoilpickError):
                    await one.links.request(address, FetchVms(0), timeout_s=0.5)
            other = Endpoint("127.0.54.2", "vm-2", None)
            await group.spawn(other.links.run, other.answer)
            assert await wait_for_answer(one, address) < 2.0
            await group.cancel_remaining()

    curio.run(main())


PEER_SCRIPT = """
import curio
from test_links import Endpoint

endpoint = Endpoint("127.0.53.2", "vm-2", None)
curio.run(endpoint.links.run, endpoint.answer)
"""


# Guards against a link that stays down after a pause of the peer's process ended.
def test_link_works_soon_after_the_peer_was_paused() -> None:
    async def main() -> None:
        one, address = Endpoint("127.0.53.1", "vm-1", None), f"127.0.53.2:{PORT}"
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(one.links.run, one.answer)
            await one.links.request(address, FetchVms(0), timeout_s=30)
            for pause_s in (0.5, 4.0):
                peer.send_signal(signal.SIGSTOP)
                with pytest.raises(TrefoilpickError):
                    await one.links.request(address, FetchVms(0), timeout_s=pause_s)
                peer.send_signal(signal.SIGCONT)
                assert await wait_for_answer(one, address) < RECOVERY_S
            await group.cancel_remaining()

    peer = subprocess.Popen([sys.executable, "-c", PEER_SCRIPT], cwd=Path(__file__).parent)
    try:
        curio.run(main())
    finally:
        peer.kill()
        peer.wait()


# Guards against heartbeats that a peer without heartbeats of its own would not answer.
def test_idle_link_to_a_peer_that_sends_no_heartbeats_keeps_its_connection() -> None:
    async def main() -> None:
        one = Endpoint("127.0.49.1", "vm-1", None)
        context = zmq.Context()
        # The bound socket of the former release: without heartbeats.
        router = context.socket(zmq.ROUTER)
        router.bind(f"tcp://127.0.49.2:{PORT}")
        proxy = SilencingProxy(("127.0.49.3", PORT), ("127.0.49.2", PORT))
        async with curio.TaskGroup(wait=any) as group:
            for run in (proxy.run, partial(one.links.run, one.answer)):
                await group.spawn(run)
            address = f"127.0.49.3:{PORT}"
            await one.links.send(address, Announcement(WireVersion(1, bytes(16)), 1))
            await curio.sleep(2 * RECOVERY_S)
            await one.links.send(address, Announcement(WireVersion(2, bytes(16)), 1))
            await curio.sleep(0.5)
            await group.cancel_remaining()
        assert router.poll(0)
        assert len({router.recv_multipart(zmq.NOBLOCK)[0] for _ in range(2)}) == 1
        assert len(proxy.connections) == 1
        context.destroy(linger=0)

    curio.run(main())


# Guards against an error, or a context that never ends, when a node sends while its links close.
def test_sending_while_or_after_the_links_close_does_nothing() -> None:
    async def main() -> None:
        one = Endpoint("127.0.50.1", "vm-1", None)
        task = await curio.spawn(one.links.run, one.answer)
        for number in range(2, 6):
            await one.links.send(f"127.0.50.{number}:{PORT}", Leaving())
        closing = await curio.spawn(task.cancel)
        for number in range(6, 26):
            await one.links.send(f"127.0.50.{number}:{PORT}", Leaving())
            await curio.sleep(0)
        await closing.join()
        with pytest.raises(TrefoilpickError) as caught:
            await one.links.request(f"127.0.50.26:{PORT}", FetchVms(0), timeout_s=0.05)
        assert caught.value.kind is ErrorKind.PEER_UNREACHABLE

    curio.run(main())


# Guards against an address that libzmq refuses ending the sending task or the shutdown (review/3).
@pytest.mark.parametrize("address", ["127.0.0.1\n:80", "", "127.0.0.1", "127.0.0.1:x"])
def test_an_address_that_takes_no_link_costs_only_its_own_messages(address: str) -> None:
    async def main() -> None:
        one = Endpoint("127.0.50.1", "vm-1", None)
        task = await curio.spawn(one.links.run, one.answer)
        await one.links.send(address, Leaving())
        with pytest.raises(TrefoilpickError) as caught:
            await one.links.request(address, FetchVms(0), timeout_s=0.05)
        assert caught.value.kind is ErrorKind.PEER_UNREACHABLE
        dropped = one.metrics.get_count("trefoilpick_control_messages_dropped_total")
        assert dropped == 1
        async with curio.timeout_after(5):
            await task.cancel()

    curio.run(main)
