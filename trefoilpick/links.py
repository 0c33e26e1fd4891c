"""Control links between nodes over ZeroMQ: one bound socket, and one socket per peer."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Protocol

import curio
import zmq
import zmq.utils.z85
from curio.traps import _read_wait

from trefoilpick._clock import read_clock
from trefoilpick._task_groups import keep_running, run_until_first_ends
from trefoilpick._time_slices import yield_if_due
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.logs import SubjectWarnings
from trefoilpick.message_endpoint import MessageEndpoint
from trefoilpick.messages import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from trefoilpick.message_endpoint import Handler
    from trefoilpick.messages import Body, Envelope
    from trefoilpick.metrics import Metrics
    from trefoilpick.settings import KeySettings, Settings

MAX_QUEUED_MESSAGES = 64
"""Maximum number of queued messages per peer."""

IDLE_TIMEOUT_S = 60.0
"""Idle timeout of a link, in seconds."""

IDLE_CHECK_S = 10.0
"""Interval between checks for idle links, in seconds."""

LINGER_MS = 200
"""Time to send queued messages before a socket closes, in milliseconds."""

RECONNECT_MS = 100
"""Initial delay before reconnecting, in milliseconds."""

RECONNECT_MAX_MS = 1_000
"""Maximum delay before reconnecting, in milliseconds."""

HEARTBEAT_INTERVAL_MS = 800
"""Interval between heartbeats on a connection to a peer, in milliseconds."""

HEARTBEAT_TIMEOUT_MS = 1_000
"""Time after a heartbeat within which anything must arrive, in milliseconds; otherwise the
connection is replaced."""

HEARTBEAT_TTL_MS = 5_000
"""Time after a heartbeat for which the peer keeps a connection on which nothing arrives, in
milliseconds."""

CONNECT_TIMEOUT_MS = 2_000
"""Timeout of connecting and of the handshake, in milliseconds each."""

GREETING_BYTES = 64
"""Size of the ZMTP greeting in each direction, in bytes."""

HANDSHAKE_BYTES = 40
"""Estimated size of the handshake without keys in each direction, in bytes."""

CURVE_HANDSHAKE_BYTES = 350
"""Estimated size of the handshake with keys in each direction, in bytes."""

CURVE_MESSAGE_BYTES = 33
"""Overhead of encryption per message, in bytes."""

LINK_EVENT = "link_failed"
"""Event of log lines about addresses that take no link."""

ZAP_ADDRESS = "inproc://zeromq.zap.01"
"""Address at which libzmq requests the authentication of a client's key (ZAP)."""

CONTROL_BYTES = "trefoilpick_control_bytes_total"
"""Name of the counter of control bytes by direction."""


@dataclass
class Traffic:
    """Counts the bytes of control messages, including ZeroMQ framing but not TCP and IP headers.

    Heartbeats are not counted, as libzmq does not report them: 16 bytes for each interval and link,
    both directions together, and 82 with keys.

    Args:
        metrics: Receives the counts by direction.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    metrics: Metrics
    sent: int = 0
    received: int = 0

    def add_sent(self, amount: int) -> None:
        """Count sent bytes."""
        self.sent += amount
        self.metrics.count(CONTROL_BYTES, amount, direction="sent")

    def add_received(self, amount: int) -> None:
        """Count received bytes."""
        self.received += amount
        self.metrics.count(CONTROL_BYTES, amount, direction="received")


class Links(Protocol):
    """Transport between a node and its peers."""

    traffic: Traffic

    async def run(self, handler: Handler) -> None:
        """Receive messages and pass them to a handler until cancelled."""

    async def send(self, address: str, body: Body) -> None:
        """Send a message that has no answer; it replaces a queued message of the same type.

        Args:
            address: "ip:port" of the peer's control link.
            body: The message.
        """

    async def request(self, address: str, body: Body, *, timeout_s: float) -> Envelope:
        """Send a request and wait for its answer.

        Raises:
            TrefoilpickError: `PEER_UNREACHABLE`.
        """


@dataclass
class Peer:
    """A link to one peer.

    Attributes:
        address: "ip:port" of the peer.
        sock: Socket connected to the peer.
        queue: Queued messages by topic; a newer message replaces an older one of its topic.
        last_used_s: Time of last use, by the monotonic clock, in seconds.
        task: Task that sends and receives on the socket.
    """

    address: str
    sock: zmq.Socket
    queue: dict[str, bytes] = field(default_factory=dict)
    last_used_s: float = 0.0
    task: curio.Task | None = None


class ZmqLinks:
    """Links over ZeroMQ.

    Args:
        host: IP address to listen on.
        port: Port to listen on.
        message_endpoint: Encodes and decodes the messages.
        metrics: Metrics of the node.
        keys: Keys of the fleet; with None, links are neither encrypted nor authenticated.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        message_endpoint: MessageEndpoint,
        metrics: Metrics,
        keys: KeySettings | None = None,
    ) -> None:
        self.traffic = Traffic(metrics)
        self._message_endpoint = message_endpoint
        self._metrics = metrics
        self._keys = keys
        self._host = host
        self._peers: dict[str, Peer] = {}
        self._identities: set[bytes] = set()
        self._warnings = SubjectWarnings(LINK_EVENT)
        self._is_closed = False
        self._context = _open_context()
        self._zap = self._open_zap() if keys else None
        self._router = self._open_router(port)

    async def run(self, handler: Handler) -> None:
        """Receive messages until cancelled, then close all sockets."""
        self._message_endpoint.set_handler(handler)
        try:
            tasks = [
                keep_running(self._serve, name="serve_links", metrics=self._metrics),
                keep_running(self._close_idle, name="close_idle_links", metrics=self._metrics),
            ]
            if self._zap is not None:
                tasks.append(partial(self._authenticate, self._zap))
            await run_until_first_ends(*tasks)
        finally:
            await self._close()

    async def send(self, address: str, body: Body) -> None:
        """Send a message that has no answer; it replaces a queued message of the same type."""
        try:
            await self._send(address, type(body).__name__, self._message_endpoint.encode(body))
        except TrefoilpickError as error:
            self._metrics.count("trefoilpick_control_messages_dropped_total", reason="address")
            self._warnings.warn(address, error.text)

    async def request(self, address: str, body: Body, *, timeout_s: float) -> Envelope:
        """Send a request and wait for its answer."""
        pending = self._message_endpoint.register_request(address)
        topic = f"request {pending.request}"
        data = self._message_endpoint.encode(body, request=pending.request)
        try:
            await self._send(address, topic, data)
        except TrefoilpickError as error:
            self._message_endpoint.drop_request(pending)
            self._warnings.warn(address, error.text)
            raise
        try:
            return await self._message_endpoint.wait_for_answer(pending, timeout_s)
        finally:
            peer = self._peers.get(address)
            if peer is not None:
                peer.queue.pop(topic, None)

    def _open_router(self, port: int) -> zmq.Socket:
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._configure(router)
        if self._keys is not None:
            router.curve_server = True
            router.curve_secretkey = self._keys.secret.encode()
            router.curve_publickey = self._keys.public.encode()
        try:
            router.bind(f"tcp://{self._host}:{port}")
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            _open_contexts.discard(self._context)
            text = f"control link cannot listen on {self._host}:{port}: {error}"
            raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
        return router

    def _open_zap(self) -> zmq.Socket:
        zap = self._context.socket(zmq.REP)
        zap.bind(ZAP_ADDRESS)
        return zap

    def _open_peer(self, address: str) -> Peer:
        """Open a link.

        Raises:
            TrefoilpickError: `PEER_UNREACHABLE`, if the address or the process allows none.
        """
        try:
            sock = self._context.socket(zmq.DEALER)
        except zmq.ZMQError as error:
            raise _build_link_error(address, error) from error
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        sock.setsockopt(zmq.HANDSHAKE_IVL, CONNECT_TIMEOUT_MS)
        # Only the connecting side sends heartbeats; the other side answers them by itself.
        sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        sock.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TTL_MS)
        self._configure(sock)
        if self._keys is not None:
            sock.curve_serverkey = self._keys.public.encode()
            sock.curve_secretkey = self._keys.secret.encode()
            sock.curve_publickey = self._keys.public.encode()
        try:
            sock.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            # A socket that stays open would keep the context from ending.
            sock.close(linger=0)
            raise _build_link_error(address, error) from error
        self._count_handshake()
        return Peer(address, sock)

    def _configure(self, sock: zmq.Socket) -> None:
        sock.setsockopt(zmq.LINGER, LINGER_MS)
        sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        sock.setsockopt(zmq.RCVHWM, 4 * MAX_QUEUED_MESSAGES)
        sock.setsockopt(zmq.MAXMSGSIZE, 2 * MAX_MESSAGE_BYTES)

    async def _send(self, address: str, topic: str, data: bytes) -> None:
        if self._is_closed:
            # A socket that is opened now would keep the context from ending.
            self._metrics.count("trefoilpick_control_messages_dropped_total", reason="closed")
            return
        peer = self._peers.get(address)
        if peer is None:
            peer = self._open_peer(address)
            self._peers[address] = peer
            peer.task = await curio.spawn(self._run_peer, peer, daemon=True)
        peer.last_used_s = read_clock()
        peer.queue.pop(topic, None)
        peer.queue[topic] = data
        while len(peer.queue) > MAX_QUEUED_MESSAGES:
            peer.queue.pop(next(iter(peer.queue)))
            self._metrics.count("trefoilpick_control_messages_dropped_total", reason="queue_full")
        await self._pump_peer(peer)

    async def _run_peer(self, peer: Peer) -> None:
        descriptor = peer.sock.getsockopt(zmq.FD)
        while True:
            await self._pump_peer(peer)
            await _read_wait(descriptor)

    async def _pump_peer(self, peer: Peer) -> None:
        """Send queued messages and receive answers until the socket blocks in both directions."""
        has_progress = True
        # The descriptor is edge-triggered: a cancelled read of the events would lose the edge.
        async with curio.disable_cancellation():
            while has_progress and not peer.sock.closed:
                events = _read_events(peer.sock)
                has_progress = False
                if events & zmq.POLLOUT and peer.queue:
                    has_progress = self._send_next(peer)
                if events & zmq.POLLIN:
                    has_progress = await self._receive_answer(peer) or has_progress
                await yield_if_due()

    def _send_next(self, peer: Peer) -> bool:
        topic, data = next(iter(peer.queue.items()))
        try:
            peer.sock.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        del peer.queue[topic]
        self.traffic.add_sent(self._measure(data))
        return True

    async def _receive_answer(self, peer: Peer) -> bool:
        try:
            data = peer.sock.recv_multipart(zmq.NOBLOCK)[-1]
        except zmq.Again:
            return False
        self.traffic.add_received(self._measure(data))
        peer.last_used_s = read_clock()
        await self._message_endpoint.handle_answer(data, peer.address)
        return True

    async def _serve(self) -> None:
        descriptor = self._router.getsockopt(zmq.FD)
        while True:
            while _read_events(self._router) & zmq.POLLIN:
                await self._receive_request()
                await yield_if_due()
            await _read_wait(descriptor)

    async def _receive_request(self) -> None:
        try:
            identity, *rest = self._router.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
        data = rest[-1] if rest else b""
        self._record_identity(identity)
        self.traffic.add_received(self._measure(data))
        answer = await self._message_endpoint.handle_request(data)
        if answer is None:
            return
        try:
            self._router.send_multipart([identity, answer], zmq.NOBLOCK)
        except zmq.ZMQError:
            self._metrics.count(
                "trefoilpick_control_messages_dropped_total", reason="peer_slow_or_gone"
            )
            return
        self.traffic.add_sent(self._measure(answer))

    def _record_identity(self, identity: bytes) -> None:
        if identity in self._identities:
            return
        if len(self._identities) >= 8_192:
            self._identities.clear()
        self._identities.add(identity)
        self._count_handshake()

    def _count_handshake(self) -> None:
        handshake = HANDSHAKE_BYTES if self._keys is None else CURVE_HANDSHAKE_BYTES
        self.traffic.add_sent(GREETING_BYTES + handshake)
        self.traffic.add_received(GREETING_BYTES + handshake)

    def _measure(self, data: bytes) -> int:
        length = len(data) + (0 if self._keys is None else CURVE_MESSAGE_BYTES)
        return length + (2 if length <= 255 else 9)

    async def _close_idle(self) -> None:
        while True:
            await curio.sleep(IDLE_CHECK_S)
            expired_s = read_clock() - IDLE_TIMEOUT_S
            for peer in [peer for peer in self._peers.values() if peer.last_used_s < expired_s]:
                await self._close_peer(peer)

    async def _authenticate(self, zap: zmq.Socket) -> None:
        """Answer libzmq's authentication requests; only the fleet's own key is accepted."""
        descriptor = zap.getsockopt(zmq.FD)
        while True:
            while _read_events(zap) & zmq.POLLIN:
                zap.send_multipart(self._check_key(zap.recv_multipart()))
                await yield_if_due()
            await _read_wait(descriptor)

    def _check_key(self, request: list[bytes]) -> list[bytes]:
        keys = self._keys
        key = request[6] if len(request) > 6 and request[5] == b"CURVE" else b""
        if keys is not None and key == zmq.utils.z85.decode(keys.public):
            return [b"1.0", request[1], b"200", b"OK", b"fleet", b""]
        self._metrics.count("trefoilpick_control_links_refused_total", reason="key")
        return [b"1.0", request[1], b"400", b"key is not the fleet's", b"", b""]

    async def _close_peer(self, peer: Peer) -> None:
        self._peers.pop(peer.address, None)
        if peer.task is not None:
            await peer.task.cancel()
        peer.sock.close(linger=LINGER_MS)

    async def _close(self) -> None:
        self._is_closed = True
        for peer in list(self._peers.values()):
            await self._close_peer(peer)
        self._router.close(linger=LINGER_MS)
        if self._zap is not None:
            self._zap.close(linger=0)
        self._context.term()
        _open_contexts.discard(self._context)


_open_contexts: set[zmq.Context[zmq.Socket[bytes]]] = set()


def _open_context() -> zmq.Context[zmq.Socket[bytes]]:
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    # Garbage collection of a context with open sockets would block forever.
    _open_contexts.add(context)
    return context


def open_links(settings: Settings, *, incarnation: int, metrics: Metrics) -> ZmqLinks:
    """Bind a node's control link; `run` starts serving.

    Args:
        settings: Settings of the node.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        metrics: Metrics of the node.
    """
    listen = settings.listen
    message_endpoint = MessageEndpoint(settings.vm.name, incarnation, metrics)
    return ZmqLinks(
        listen.host,
        listen.control_port,
        message_endpoint=message_endpoint,
        metrics=metrics,
        keys=settings.keys,
    )


def _build_link_error(address: str, error: zmq.ZMQError) -> TrefoilpickError:
    text = f'cannot open a link to "{address}": {error}'
    return TrefoilpickError(ErrorKind.PEER_UNREACHABLE, text)


def _read_events(sock: zmq.Socket) -> int:
    return int(sock.getsockopt(zmq.EVENTS))
