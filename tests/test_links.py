import curio
import zmq

from trefoilpick.links import ZmqLinks
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.messages import Announcement, Body, Envelope, FetchVms, Refusal, WireVersion
from trefoilpick.metrics import Metrics
from trefoilpick.settings import KeySettings

PORT = 18_471


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
