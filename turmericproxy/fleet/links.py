"""Send the updates of this host to its peers, and forward those of other hosts."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from turmericproxy.core import HostName, read_boottime
from turmericproxy.fleet.batches import HEARTBEAT, Batch, merge_batches
from turmericproxy.fleet.incoming import IncomingStreams
from turmericproxy.fleet.messages import (
    ForwardScope,
    Hello,
    HostUpdate,
    MessageError,
    UpdateBundle,
    pack_bundle,
    pack_hello,
    pack_update,
    unpack_update,
)
from turmericproxy.fleet.outbox import HUB_HEARTBEAT_INTERVAL_SECONDS, Outbox
from turmericproxy.fleet.peers import Peer, PeerTable
from turmericproxy.fleet.routes import Routes, plan_routes
from turmericproxy.fleet.streams import FleetStreams
from turmericproxy.logs import Part, log_event
from turmericproxy.store import ReaderUpdate
from turmericproxy.tasks import repeat

# Seconds between two batches; without changes, only heartbeats are sent, at longer intervals.
BATCH_SECONDS = 0.04
# Batches that are merged into one for hosts of other failure domains, where links have little
# bandwidth.
MERGED_BATCHES = 3
# The interval of messages to the local domain grows by one iteration for each group of this many
# peers there, which bounds the messages per second.
LOCAL_PEERS_PER_ITERATION = 25
# Seconds between two checks for lost peers and a hub that has stopped forwarding.
CHECK_INTERVAL_SECONDS = 0.08
# Seconds between two computations of the routes, unless a check finds a change.
ROUTE_INTERVAL_SECONDS = 0.6
# Seconds in which a hub collects heartbeats before it forwards them in one update.
ALIVE_INTERVAL_SECONDS = 0.12
# Seconds between two updates with a host's full state to its hub; they replace updates that a lost
# hub had not forwarded.
STATE_INTERVAL_SECONDS = 2.0
# Seconds without a message from the hub itself after which another one is chosen; a hub sends one
# in each interval in which it collects heartbeats.
HUB_TIMEOUT_SECONDS = 0.3
# Seconds after a change of the hub in which no peer counts as lost, since what the others send by
# way of the new one is still to come.
HUB_CHANGE_GRACE_SECONDS = 0.6
# Seconds for which a hub that timed out is not chosen again.
HUB_AVOIDED_SECONDS = 3.0
# Seconds for which a host keeps the streams of a hub after it last received updates to forward.
HUB_IDLE_SECONDS = 5.0


class StateSource(Protocol):
    """Create the batches that describe this host to its peers."""

    def create_update(self) -> Batch | None:
        """Return the changes since the last call, or ``None`` if there are none."""

    def create_state(self) -> Batch:
        """Return all work and spending of this host."""

    def create_introduction(self) -> Batch:
        """Return the state that a newly started host needs."""


# Returns what accepts the streams of other hosts, given the own address and the receiver.
CreateIncoming = Callable[[str, Callable[[Hello, Hello | UpdateBundle], None]], IncomingStreams]


class FleetLinks:
    """Exchange updates with the other hosts, directly or through hubs.

    ``receive_batch`` is called with each batch, ``receive_update`` with each update of a table
    reader, and ``on_peer_lost`` once for each peer that becomes unreachable.
    """

    def __init__(
        self,
        own: Hello,
        source: StateSource,
        receive_batch: Callable[[Hello, Batch], None],
        on_peer_lost: Callable[[HostName], None],
        receive_update: Callable[[HostName, ReaderUpdate], None] = lambda _host, _update: None,
        read_clock: Callable[[], float] = read_boottime,
        create_incoming: CreateIncoming = IncomingStreams,
    ) -> None:
        self._own = own
        self._source = source
        self._receive_batch = receive_batch
        self._on_peer_lost = on_peer_lost
        self._receive_update = receive_update
        self._read_clock = read_clock
        self.peers = PeerTable(own, read_clock)
        self._routes = Routes(None, (), (), ())
        self._checked_at = self._routes_updated_at = 0.0
        self._hub_since = self._state_sent_at = self._alive_sent_at = 0.0
        self._alive: set[HostName] = set()
        self._forward_requested_at = -HUB_IDLE_SECONDS
        self._streams = FleetStreams(
            self.peers, self._pack_introduction, self._request_route_update, read_clock
        )
        self._sequence = 0
        self._iterations = 0
        self._local_outbox, self._remote_outbox = Outbox(1), Outbox(MERGED_BATCHES)
        self._local_queue: list[bytes] = []
        self._remote_queue: list[bytes] = []
        self._incoming = create_incoming(own.address, self._receive_message)
        self._task: asyncio.Task[None] | None = None
        self._is_closing = False

    async def start(self) -> None:
        """Listen for peers, and start to send updates."""
        self._incoming.start()
        self._task = asyncio.get_running_loop().create_task(
            repeat(Part.PEERS, "send updates", self._send_updates)
        )

    async def close(self) -> None:
        """Announce to peers that this host leaves, and close all streams."""
        self._is_closing = True
        self._publish(Batch(is_leaving=True))
        self._flush_local()
        self._flush_remote()
        if self._task:
            self._task.cancel()
        self._streams.close()
        self._incoming.close()

    def add_peer(self, hello: Hello) -> None:
        """Add a host, or update its address, and retry a failed connection to it at once."""
        peer = None if self._is_closing else self.peers.admit(hello)
        if peer:
            peer.redial_event.set()
        if peer and peer.task is None:
            self._request_route_update()

    def send_to_domain(self, update: ReaderUpdate) -> None:
        """Send changes that this host read from the store to the hosts of its failure domain."""
        packed = self._pack(update)
        if self._routes.hub:
            self._send([self._routes.hub], ForwardScope.DOMAIN, [packed])
        else:
            self._local_queue.append(packed)

    async def _send_updates(self) -> None:
        await asyncio.sleep(BATCH_SECONDS)
        now = self._read_clock()
        if now >= self._checked_at + CHECK_INTERVAL_SECONDS:
            self._check_peers(now)
        if now >= self._routes_updated_at + ROUTE_INTERVAL_SECONDS:
            self._update_routes(now)
        self._publish_changes(now)
        self._iterations += 1
        if self._iterations % (1 + len(self._routes.local) // LOCAL_PEERS_PER_ITERATION) == 0:
            self._flush_local()
        if self._iterations % MERGED_BATCHES == 0:
            self._flush_remote()

    def _check_peers(self, now: float) -> None:
        self._checked_at = now
        self._check_hub(now)
        if now < self._hub_since + HUB_CHANGE_GRACE_SECONDS:
            return
        for host in self.peers.detect_lost():
            self._on_peer_lost(host)
            self._request_route_update()

    def _update_routes(self, now: float) -> None:
        self._routes_updated_at = now
        routes = plan_routes(self._own, self.peers, now)
        if routes.hub != self._routes.hub:
            log_event(Part.PEERS, "hub chosen", hub=routes.hub or self._own.host)
            self._hub_since, self._state_sent_at = now, 0.0
        self._routes = routes
        is_hub = routes.hub is None or self._is_forwarding(now)
        targets = routes.targets if is_hub else frozenset()
        self._streams.set_targets(targets | {routes.hub} if routes.hub else targets)

    def _is_forwarding(self, now: float) -> bool:
        """Return whether other hosts use this one as their hub."""
        return now < self._forward_requested_at + HUB_IDLE_SECONDS

    def _record_forward_request(self, now: float) -> None:
        if not self._is_forwarding(now):
            # Opens the streams to the targets at once, before hosts there count the others of this
            # domain as lost.
            self._request_route_update()
        self._forward_requested_at = now

    def _request_route_update(self) -> None:
        self._routes_updated_at = 0.0

    def _check_hub(self, now: float) -> None:
        """Avoid the hub for some time if it has stopped forwarding."""
        hub = self.peers.find(self._routes.hub) if self._routes.hub else None
        if hub is None:
            return
        last_message_at = max(self._hub_since, hub.last_direct_at or 0.0)
        if now - last_message_at > HUB_TIMEOUT_SECONDS:
            hub.avoided_until = now + HUB_AVOIDED_SECONDS
            self._request_route_update()
            log_event(
                Part.PEERS, "hub timed out", hub=hub.hello.host, age=round(now - last_message_at, 2)
            )

    def _publish_changes(self, now: float) -> None:
        batch = self._source.create_update()
        hub = self._routes.hub
        if self._is_forwarding(now) and now >= self._alive_sent_at + ALIVE_INTERVAL_SECONDS:
            # Also if it is empty: the hosts of the domain notice by it that their hub is running.
            alive, self._alive, self._alive_sent_at = Batch(alive=tuple(self._alive)), set(), now
            batch = merge_batches(batch, alive) if batch else alive
        if hub and now >= self._state_sent_at + STATE_INTERVAL_SECONDS:
            self._state_sent_at = now
            state = self._source.create_state()
            batch = merge_batches(batch, state) if batch else state
        if hub:
            due = self._local_outbox.add(batch, now, HUB_HEARTBEAT_INTERVAL_SECONDS)
            if due:
                self._send([hub], ForwardScope.FLEET, [self._pack(due)])
            return
        local, remote = self._local_outbox.add(batch, now), self._remote_outbox.add(batch, now)
        if local:
            self._local_queue.append(self._pack(local))
        if remote:
            self._remote_queue.append(self._pack(remote))

    def _publish(self, batch: Batch) -> None:
        packed = self._pack(batch)
        if self._routes.hub:
            self._send([self._routes.hub], ForwardScope.FLEET, [packed])
        else:
            self._local_queue.append(packed)
            self._remote_queue.append(packed)

    def _pack(self, content: Batch | ReaderUpdate) -> bytes:
        self._sequence += 1
        return pack_update(HostUpdate(self._own, self._sequence, content))

    def _flush_local(self) -> None:
        pending, self._local_queue = self._local_queue, []
        self._send(self._routes.local, ForwardScope.NOBODY, pending)

    def _flush_remote(self) -> None:
        pending, self._remote_queue = self._remote_queue, []
        self._send(self._routes.remote, ForwardScope.NOBODY, pending)
        self._send(self._routes.remote_hubs, ForwardScope.DOMAIN, pending)

    def _send(self, hosts: Iterable[HostName], scope: ForwardScope, packed: list[bytes]) -> None:
        if not packed:
            return
        self._streams.send(hosts, pack_bundle(UpdateBundle(scope, tuple(packed))))

    def _pack_introduction(self, peer: Peer) -> bytes:
        if peer.hello.host == self._routes.hub:
            # The hub has forwarded nothing of this host yet, so the full state is sent next.
            self._state_sent_at = 0.0
        introduction = self._pack(self._source.create_introduction())
        return pack_hello(self._own) + pack_bundle(
            UpdateBundle(ForwardScope.NOBODY, (introduction,))
        )

    def _receive_message(self, hello: Hello, message: Hello | UpdateBundle) -> None:
        if isinstance(message, Hello):
            self.add_peer(message)
        else:
            self._receive_bundle(hello, message)

    def _receive_bundle(self, hello: Hello, bundle: UpdateBundle) -> None:
        now = self._read_clock()
        peer = self.peers.find(hello.host)
        if peer:
            peer.last_direct_at = now
            if bundle.scope is ForwardScope.DOMAIN and peer.hello.domain != self._own.domain:
                peer.hub_active_at = now
        if bundle.scope is not ForwardScope.NOBODY:
            self._record_forward_request(now)
        for packed in bundle.packed:
            try:
                update = unpack_update(packed)
            except MessageError as error:
                # The other updates of the bundle may come from other hosts.
                log_event(Part.PEERS, "invalid update", peer=hello.host, reason=repr(error))
                continue
            if self.peers.record_update(update) is None:
                continue
            content = update.content
            if content is HEARTBEAT and bundle.scope is ForwardScope.FLEET:
                # Forwarded with those of other hosts, or their number would grow with the square
                # of the hosts.
                self._alive.add(update.sender.host)
                continue
            if bundle.scope is not ForwardScope.NOBODY:
                self._local_queue.append(packed)
            if bundle.scope is ForwardScope.FLEET:
                self._remote_queue.append(packed)
            self._receive_content(update.sender, content)

    def _receive_content(self, sender: Hello, content: Batch | ReaderUpdate) -> None:
        if isinstance(content, ReaderUpdate):
            self._receive_update(sender.host, content)
            return
        if content.alive:
            self.peers.record_alive(content.alive)
        if content is not HEARTBEAT:
            self._receive_batch(sender, content)
