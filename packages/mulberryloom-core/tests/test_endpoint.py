"""Tests of sessions over simulated, lossy connections, without sockets."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from mulberryloom_core.connection import codec
from mulberryloom_core.connection import endpoint
from mulberryloom_core.connection import frame
from mulberryloom_core.connection import options
from mulberryloom_core.connection import outputs
from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages

SECRET = b'secret of the deployment'
ENTRY = identity.PeerId(identity.Role.ENTRY, 'entry-1', 5)
AGENT = identity.PeerId(identity.Role.AGENT, 'worker-1', 7)
OPTIONS = options.SessionOptions()


def task_started(number):
    """Return a small message that carries a number."""
    return messages.TaskStarted('r', number)


class Network:
    """Two endpoints and simulated connections between them.

    The bytes that a sender writes to a link in ``blackholed`` are discarded;
    with ``drops_closes`` a close does not reach the other end.
    """

    def __init__(self, seed=0, agent_secret=SECRET):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.last_link_id = 0
        self.endpoint_by_peer = {
            ENTRY: self.make_endpoint(ENTRY, SECRET),
            AGENT: self.make_endpoint(AGENT, agent_secret),
        }
        self.events_by_peer = {ENTRY: [], AGENT: []}
        self.closed = []
        self.blackholed = set()
        self.drops_closes = False
        # Bytes in flight by link and sender; ``None`` for a close.
        self.in_flight = collections.defaultdict(collections.deque)
        self.links = []

    def make_endpoint(self, peer, secret):
        """Return a new endpoint."""
        return endpoint.Endpoint(peer, secret, OPTIONS, self.random.randbytes)

    def peers(self):
        """Return both peers."""
        return list(self.endpoint_by_peer)

    def open(self, initiator):
        """Open a connection without delivering any bytes."""
        self.last_link_id += 1
        link = self.last_link_id
        self.links.append(link)
        for peer, core in self.endpoint_by_peer.items():
            self.apply(
                peer,
                core.open_link(
                    link, self.now_ms, is_initiator=peer == initiator
                ),
            )
        return link

    def apply(self, peer, actions):
        """Carry out the outputs of an endpoint."""
        for action in actions:
            if isinstance(action, outputs.WriteLink):
                if action.link_id in self.links:
                    flow = self.in_flight[action.link_id, peer]
                    flow.append(action.data)
            elif isinstance(action, outputs.CloseLink):
                self.closed.append((peer, action))
                flow = self.in_flight[action.link_id, peer]
                flow.append(None)
            elif isinstance(action, outputs.Event):
                self.events_by_peer[peer].append(action)

    def other(self, peer):
        """Return the other peer."""
        return next(item for item in self.peers() if item != peer)

    def deliver_next(self, link, sender):
        """Deliver the next chunk of one direction of a connection.

        :return: whether there was one.
        """
        flow = self.in_flight[link, sender]
        if not flow or link not in self.links:
            return False
        data = flow.popleft()
        receiver = self.other(sender)
        if (link, sender) in self.blackholed:
            return True
        core = self.endpoint_by_peer[receiver]
        if data is None:
            if self.drops_closes:
                return True
            core.close_link(link, self.now_ms)
        else:
            self.apply(receiver, core.receive(link, data, self.now_ms))
        return True

    def cut(self, link):
        """End a connection; its bytes in flight are lost."""
        self.links.remove(link)
        for core in self.endpoint_by_peer.values():
            core.close_link(link, self.now_ms)

    def deliver_all(self):
        """Deliver all bytes in flight, also those sent meanwhile."""
        while any(
            [
                self.deliver_next(link, peer)
                for link in list(self.links)
                for peer in self.peers()
            ]
        ):
            pass

    def advance_time(self, by_ms):
        """Advance the time in steps of one tick."""
        for _ in range(by_ms // 250):
            self.now_ms += 250
            for peer, core in self.endpoint_by_peer.items():
                self.apply(peer, core.on_tick(self.now_ms))

    def send(self, sender, message):
        """Send a message to the other peer."""
        name = outputs.PeerName.from_peer(self.other(sender))
        self.apply(
            sender,
            self.endpoint_by_peer[sender].send(
                name, message, self.now_ms, waits_for_session=True
            ),
        )

    def is_connected(self):
        """Tell whether both endpoints have a connection."""
        return all(
            core.is_connected(outputs.PeerName.from_peer(self.other(peer)))
            for peer, core in self.endpoint_by_peer.items()
        )

    def received(self, peer):
        """Return the messages that a peer has received."""
        return [
            event.message
            for event in self.events_by_peer[peer]
            if isinstance(event, effects.Received)
        ]

    def lost(self):
        """Return the losses that the two endpoints have reported."""
        return [
            event
            for events in self.events_by_peer.values()
            for event in events
            if isinstance(event, effects.PeerLost)
        ]


class ReplacedConnections(stateful.RuleBasedStateMachine):
    """Every message arrives once and in order despite failing connections.

    The time does not advance, so no session may end.
    """

    def __init__(self):
        super().__init__()
        self.network = Network()
        self.sent_by_peer = {ENTRY: [], AGENT: []}

    @stateful.rule(
        sender=strategies.sampled_from([ENTRY, AGENT]),
        count=strategies.integers(1, 40),
    )
    def send(self, sender, count):
        sent = self.sent_by_peer[sender]
        for _ in range(count):
            sent.append(task_started(len(sent)))
            self.network.send(sender, sent[-1])

    @stateful.rule(initiator=strategies.sampled_from([ENTRY, AGENT]))
    def open(self, initiator):
        self.network.open(initiator)

    @stateful.rule(
        index=strategies.integers(0, 9),
        sender=strategies.sampled_from([ENTRY, AGENT]),
        count=strategies.integers(1, 10),
    )
    def deliver_next(self, index, sender, count):
        links = self.network.links
        for _ in range(count):
            if links:
                self.network.deliver_next(links[index % len(links)], sender)

    @stateful.rule(
        initiator=strategies.sampled_from([ENTRY, AGENT]),
        steps=strategies.integers(1, 3),
        count=strategies.integers(1, 10),
    )
    def deliver_on_older_links_during_handshake(self, initiator, steps, count):
        """Deliver over older connections while a new one opens."""
        network = self.network
        link = network.open(initiator)
        senders = [initiator, network.other(initiator)] * 2
        for sender in senders[:steps]:
            network.deliver_next(link, sender)
        for older in network.links[:-1]:
            for _ in range(count):
                network.deliver_next(older, ENTRY)
                network.deliver_next(older, AGENT)

    @stateful.rule()
    def deliver_all(self):
        self.network.deliver_all()

    @stateful.rule(index=strategies.integers(0, 9))
    def cut(self, index):
        links = self.network.links
        if links:
            self.network.cut(links[index % len(links)])

    @stateful.rule(
        index=strategies.integers(0, 9),
        sender=strategies.sampled_from([ENTRY, AGENT]),
    )
    def blackhole(self, index, sender):
        links = self.network.links
        if links:
            link = links[index % len(links)]
            self.network.blackholed.add((link, sender))

    @stateful.rule(
        index=strategies.integers(0, 9),
        sender=strategies.sampled_from([ENTRY, AGENT]),
        position=strategies.integers(0, 200),
        mask=strategies.integers(1, 255),
    )
    def corrupt(self, index, sender, position, mask):
        links = self.network.links
        if not links:
            return
        flow = self.network.in_flight[links[index % len(links)], sender]
        if flow and flow[0] is not None:
            data = bytearray(flow[0])
            data[position % len(data)] ^= mask
            flow[0] = bytes(data)

    @stateful.invariant()
    def received_messages_are_prefix_of_sent(self):
        for peer in (ENTRY, AGENT):
            received = self.network.received(peer)
            sent = self.sent_by_peer[self.network.other(peer)]
            assert received == sent[: len(received)]
        assert self.network.lost() == []

    def teardown(self):
        """Open a reliable connection, over which all messages must arrive."""
        network = self.network
        for _ in range(5):
            for link in list(network.links):
                network.cut(link)
            network.open(AGENT)
            network.deliver_all()
            if network.is_connected():
                break
        for peer in (ENTRY, AGENT):
            sent = self.sent_by_peer[network.other(peer)]
            assert network.received(peer) == sent
        assert network.lost() == []


TestReplacedConnections = ReplacedConnections.TestCase
TestReplacedConnections.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)


def test_endpoint_replaces_silent_connection_and_keeps_session():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.blackholed.add((link, AGENT))
    network.send(AGENT, task_started(1))
    for _ in range(OPTIONS.silence_timeout_ms // 250):
        network.advance_time(250)
        network.deliver_all()
    assert not network.is_connected()
    network.open(AGENT)
    network.deliver_all()
    assert network.is_connected()
    assert network.received(ENTRY) == [task_started(1)]
    assert network.lost() == []


def test_endpoint_delivers_message_sent_over_two_connections_once():
    network = Network()
    older = network.open(AGENT)
    network.deliver_all()
    network.send(AGENT, task_started(1))
    newer = network.open(AGENT)
    network.deliver_next(newer, AGENT)
    network.deliver_next(newer, ENTRY)
    network.deliver_next(older, AGENT)
    network.deliver_all()
    assert network.is_connected()
    assert network.received(ENTRY) == [task_started(1)]
    assert network.endpoint_by_peer[ENTRY].counters.duplicates == 1


def test_endpoint_accepts_long_message_in_one_chunk_with_welcome():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    body = b'x' * (2 * endpoint.HANDSHAKE_PAYLOAD_BYTES)
    message = messages.ConfigurationDocument(1, body)
    network.cut(link)
    network.send(ENTRY, message)
    link = network.open(AGENT)
    for sender in (AGENT, ENTRY, AGENT):
        network.deliver_next(link, sender)
    flow = network.in_flight[link, ENTRY]
    assert len(flow) == 2
    flow.append(flow.popleft() + flow.popleft())
    network.deliver_all()
    assert network.received(AGENT) == [message]
    assert network.closed == []


def test_endpoint_closes_connection_on_gap_in_sequence_numbers():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    out_of_order = codec.Envelope(2, 0, AGENT.incarnation, task_started(2))
    data = frame.encode(codec.encode(out_of_order).unwrap())
    [close] = network.endpoint_by_peer[ENTRY].receive(link, data, 0)
    assert close.error.kind is exceptions.ErrorKind.BAD_FRAME


@pytest.mark.parametrize('silent', [ENTRY, AGENT])
def test_endpoints_close_connection_silent_in_one_direction(silent):
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.blackholed.add((link, silent))
    network.drops_closes = True
    limit_ms = OPTIONS.silence_timeout_ms + 2 * OPTIONS.ping_interval_ms
    for _ in range(limit_ms // 250):
        network.advance_time(250)
        network.deliver_all()
    closed_by = {peer for peer, _ in network.closed}
    assert closed_by == {ENTRY, AGENT}


def test_endpoint_ends_session_without_connection_after_timeout():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.cut(link)
    network.advance_time(OPTIONS.session_timeout_ms - 250)
    assert network.lost() == []
    network.advance_time(250)
    assert set(network.lost()) == {
        effects.PeerLost(AGENT),
        effects.PeerLost(ENTRY),
    }


def test_endpoint_keeps_idle_session_open():
    network = Network()
    network.open(AGENT)
    network.deliver_all()
    for _ in range(100):
        network.advance_time(250)
        network.deliver_all()
    assert network.is_connected()
    assert network.closed == []


@pytest.mark.parametrize('initiator', [ENTRY, AGENT])
def test_endpoints_refuse_handshake_with_wrong_secret(initiator):
    network = Network(agent_secret=b'other')
    network.open(initiator)
    network.deliver_all()
    network.send(ENTRY, task_started(1))
    network.deliver_all()
    assert network.events_by_peer == {ENTRY: [], AGENT: []}
    kinds = {action.error.kind for _, action in network.closed}
    assert kinds == {exceptions.ErrorKind.BAD_HANDSHAKE}


def test_endpoint_refuses_reflected_mac():
    network = Network()
    core = network.endpoint_by_peer[ENTRY]
    core.open_link(1, 0, is_initiator=False)
    attacker = endpoint.Endpoint(
        AGENT, b'unknown', OPTIONS, network.random.randbytes
    )
    [hello] = attacker.open_link(1, 0, is_initiator=True)
    [challenge] = core.receive(1, hello.data, 0)
    envelope = codec.decode(challenge.data[frame.HEADER_BYTES :]).unwrap()
    proof = codec.Envelope(
        0,
        0,
        AGENT.incarnation,
        codec.control.Proof(
            envelope.message.session_id, 0, envelope.message.mac
        ),
    )
    data = frame.encode(codec.encode(proof).unwrap())
    actions = core.receive(1, data, 0)
    assert any(
        isinstance(action, outputs.CloseLink)
        and action.error.kind is exceptions.ErrorKind.BAD_HANDSHAKE
        for action in actions
    )


def replace_agent(network, incarnation):
    """Replace the agent's endpoint by one of another incarnation."""
    peer = identity.PeerId(AGENT.role, AGENT.name, incarnation)
    del network.endpoint_by_peer[AGENT]
    network.endpoint_by_peer[peer] = network.make_endpoint(peer, SECRET)
    network.events_by_peer[peer] = []
    return peer


def test_endpoint_supersedes_session_of_older_incarnation():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.links.remove(link)
    newer = replace_agent(network, AGENT.incarnation + 1)
    network.open(newer)
    network.deliver_all()
    assert network.events_by_peer[ENTRY] == [
        effects.PeerConnected(AGENT),
        effects.PeerLost(AGENT),
        effects.PeerConnected(newer),
    ]


def test_endpoint_refuses_older_incarnation():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.links.remove(link)
    older = replace_agent(network, AGENT.incarnation - 1)
    network.open(older)
    network.deliver_all()
    assert network.events_by_peer[ENTRY] == [effects.PeerConnected(AGENT)]
    assert network.events_by_peer[older] == []
    kinds = {action.error.kind for _, action in network.closed}
    assert kinds == {exceptions.ErrorKind.STALE_INCARNATION}


def test_endpoint_closes_connection_on_message_of_older_incarnation():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    stale = codec.Envelope(1, 0, AGENT.incarnation - 1, task_started(1))
    data = frame.encode(codec.encode(stale).unwrap())
    actions = network.endpoint_by_peer[ENTRY].receive(link, data, 0)
    [close] = actions
    assert close.error.kind is exceptions.ErrorKind.STALE_INCARNATION


def test_endpoint_opens_new_session_after_peer_ended_the_old_one():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.cut(link)
    entry = network.endpoint_by_peer[ENTRY]
    network.apply(ENTRY, entry.on_tick(OPTIONS.session_timeout_ms))
    network.send(AGENT, task_started(1))
    network.open(AGENT)
    network.deliver_all()
    network.open(AGENT)
    network.deliver_all()
    network.send(AGENT, task_started(2))
    network.deliver_all()
    assert network.events_by_peer[AGENT] == [
        effects.PeerConnected(ENTRY),
        effects.PeerLost(ENTRY),
        effects.PeerConnected(ENTRY),
    ]
    assert network.received(ENTRY) == [task_started(2)]


def test_endpoint_ends_session_over_limit_of_unacked_messages():
    network = Network()
    link = network.open(AGENT)
    network.deliver_all()
    network.cut(link)
    for number in range(OPTIONS.max_unacked + 1):
        network.send(AGENT, task_started(number))
    assert network.lost() == [effects.PeerLost(ENTRY)]


def test_endpoint_reports_leaving_peer_lost_after_its_last_messages():
    network = Network()
    network.open(AGENT)
    network.deliver_all()
    agent = network.endpoint_by_peer[AGENT]
    network.send(AGENT, task_started(1))
    network.apply(AGENT, agent.leave_all(0))
    network.deliver_all()
    assert network.events_by_peer[ENTRY][1:] == [
        effects.Received(AGENT, task_started(1)),
        effects.PeerLost(AGENT),
    ]
    assert agent.unacked_count() == 0
