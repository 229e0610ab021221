"""Tests of sessions without sockets: lossy connections against a list."""

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


def started(number):
    """Return a small message that carries a number."""
    return messages.TaskStarted('r', number)


class Network:
    """Two endpoints and the connections between them."""

    def __init__(self, seed=0, agent_secret=SECRET):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.last_link = 0
        self.endpoint_by_peer = {
            ENTRY: self.make(ENTRY, SECRET),
            AGENT: self.make(AGENT, agent_secret),
        }
        self.events_by_peer = {ENTRY: [], AGENT: []}
        self.closed = []
        self.swallowed = set()
        self.loses_closes = False
        # Bytes on their way, by connection and sender.
        self.flows = collections.defaultdict(collections.deque)
        self.links = []

    def make(self, peer, secret):
        """Return a fresh endpoint."""
        return endpoint.Endpoint(peer, secret, OPTIONS, self.random.randbytes)

    def peers(self):
        """Return both peers."""
        return list(self.endpoint_by_peer)

    def open(self, initiator):
        """Open a connection and leave its handshake on the way."""
        self.last_link += 1
        link = self.last_link
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
        """Carry out what an endpoint asked for."""
        for action in actions:
            if isinstance(action, outputs.WriteLink):
                if action.link_id in self.links:
                    flow = self.flows[action.link_id, peer]
                    flow.append(action.data)
            elif isinstance(action, outputs.CloseLink):
                self.closed.append((peer, action))
                flow = self.flows[action.link_id, peer]
                flow.append(None)
            elif isinstance(action, outputs.Event):
                self.events_by_peer[peer].append(action)

    def other(self, peer):
        """Return the other peer."""
        return next(item for item in self.peers() if item != peer)

    def move(self, link, sender):
        """Deliver the next bytes of one direction of a connection."""
        flow = self.flows[link, sender]
        if not flow or link not in self.links:
            return False
        data = flow.popleft()
        receiver = self.other(sender)
        if (link, sender) in self.swallowed:
            return True
        core = self.endpoint_by_peer[receiver]
        if data is None:
            if self.loses_closes:
                return True
            core.close_link(link, self.now_ms)
        else:
            self.apply(receiver, core.receive(link, data, self.now_ms))
        return True

    def cut(self, link):
        """End a connection; what is on its way is lost."""
        self.links.remove(link)
        for core in self.endpoint_by_peer.values():
            core.close_link(link, self.now_ms)

    def settle(self):
        """Deliver everything that is on its way."""
        while any(
            [
                self.move(link, peer)
                for link in list(self.links)
                for peer in self.peers()
            ]
        ):
            pass

    def pass_time(self, by_ms):
        """Let time pass in steps of a tick."""
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
        """Tell whether both ends have a working connection."""
        return all(
            core.is_connected(outputs.PeerName.from_peer(self.other(peer)))
            for peer, core in self.endpoint_by_peer.items()
        )

    def received(self, peer):
        """Return the messages that a peer got."""
        return [
            event.message
            for event in self.events_by_peer[peer]
            if isinstance(event, effects.Received)
        ]

    def lost(self):
        """Return the losses that either side has seen."""
        return [
            event
            for events in self.events_by_peer.values()
            for event in events
            if isinstance(event, effects.PeerLost)
        ]


class ReplacedConnections(stateful.RuleBasedStateMachine):
    """Every message arrives once and in order, whatever the connections do.

    Time passes only while a connection works, so that no session may end.
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
            sent.append(started(len(sent)))
            self.network.send(sender, sent[-1])

    @stateful.rule(initiator=strategies.sampled_from([ENTRY, AGENT]))
    def open(self, initiator):
        self.network.open(initiator)

    @stateful.rule(
        index=strategies.integers(0, 9),
        sender=strategies.sampled_from([ENTRY, AGENT]),
        count=strategies.integers(1, 10),
    )
    def move(self, index, sender, count):
        links = self.network.links
        for _ in range(count):
            if links:
                self.network.move(links[index % len(links)], sender)

    @stateful.rule(
        initiator=strategies.sampled_from([ENTRY, AGENT]),
        steps=strategies.integers(1, 3),
        count=strategies.integers(1, 10),
    )
    def deliver_during_a_handshake(self, initiator, steps, count):
        """Let an older connection bring messages while a new one opens."""
        network = self.network
        link = network.open(initiator)
        senders = [initiator, network.other(initiator)] * 2
        for sender in senders[:steps]:
            network.move(link, sender)
        for older in network.links[:-1]:
            for _ in range(count):
                network.move(older, ENTRY)
                network.move(older, AGENT)

    @stateful.rule()
    def settle(self):
        self.network.settle()

    @stateful.rule(index=strategies.integers(0, 9))
    def cut(self, index):
        links = self.network.links
        if links:
            self.network.cut(links[index % len(links)])

    @stateful.rule(
        index=strategies.integers(0, 9),
        sender=strategies.sampled_from([ENTRY, AGENT]),
    )
    def swallow(self, index, sender):
        links = self.network.links
        if links:
            link = links[index % len(links)]
            self.network.swallowed.add((link, sender))

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
        flow = self.network.flows[links[index % len(links)], sender]
        if flow and flow[0] is not None:
            data = bytearray(flow[0])
            data[position % len(data)] ^= mask
            flow[0] = bytes(data)

    @stateful.invariant()
    def nothing_doubled_or_out_of_order(self):
        for peer in (ENTRY, AGENT):
            received = self.network.received(peer)
            sent = self.sent_by_peer[self.network.other(peer)]
            assert received == sent[: len(received)]
        assert self.network.lost() == []

    def teardown(self):
        """Give the peers a good connection: all must arrive."""
        network = self.network
        for _ in range(5):
            for link in list(network.links):
                network.cut(link)
            network.open(AGENT)
            network.settle()
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


def test_silent_connection_is_replaced_and_the_session_goes_on():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.swallowed.add((link, AGENT))
    network.send(AGENT, started(1))
    for _ in range(OPTIONS.silence_ms // 250):
        network.pass_time(250)
        network.settle()
    assert not network.is_connected()
    network.open(AGENT)
    network.settle()
    assert network.is_connected()
    assert network.received(ENTRY) == [started(1)]
    assert network.lost() == []


def test_message_that_comes_over_both_connections_is_taken_once():
    network = Network()
    older = network.open(AGENT)
    network.settle()
    network.send(AGENT, started(1))
    newer = network.open(AGENT)
    network.move(newer, AGENT)
    network.move(newer, ENTRY)
    network.move(older, AGENT)
    network.settle()
    assert network.is_connected()
    assert network.received(ENTRY) == [started(1)]
    assert network.endpoint_by_peer[ENTRY].counters.duplicates == 1


def test_long_message_may_come_in_one_piece_with_the_welcome():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    body = b'x' * (2 * endpoint.HANDSHAKE_PAYLOAD_BYTES)
    message = messages.ConfigurationDocument(1, body)
    network.cut(link)
    network.send(ENTRY, message)
    link = network.open(AGENT)
    for sender in (AGENT, ENTRY, AGENT):
        network.move(link, sender)
    flow = network.flows[link, ENTRY]
    assert len(flow) == 2
    flow.append(flow.popleft() + flow.popleft())
    network.settle()
    assert network.received(AGENT) == [message]
    assert network.closed == []


def test_missing_message_closes_the_connection():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    early = codec.Envelope(2, 0, AGENT.incarnation, started(2))
    data = frame.encode(codec.encode(early).unwrap())
    [close] = network.endpoint_by_peer[ENTRY].receive(link, data, 0)
    assert close.error.kind is exceptions.ErrorKind.BAD_FRAME


@pytest.mark.parametrize('silent', [ENTRY, AGENT])
def test_either_end_notices_a_one_way_silence(silent):
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.swallowed.add((link, silent))
    network.loses_closes = True
    limit_ms = OPTIONS.silence_ms + 2 * OPTIONS.ping_interval_ms
    for _ in range(limit_ms // 250):
        network.pass_time(250)
        network.settle()
    closed_by = {peer for peer, _ in network.closed}
    assert closed_by == {ENTRY, AGENT}


def test_session_without_a_connection_is_lost_in_time():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.cut(link)
    network.pass_time(OPTIONS.lost_after_ms - 250)
    assert network.lost() == []
    network.pass_time(250)
    assert set(network.lost()) == {
        effects.PeerLost(AGENT),
        effects.PeerLost(ENTRY),
    }


def test_idle_session_stays_open():
    network = Network()
    network.open(AGENT)
    network.settle()
    for _ in range(100):
        network.pass_time(250)
        network.settle()
    assert network.is_connected()
    assert network.closed == []


@pytest.mark.parametrize('initiator', [ENTRY, AGENT])
def test_wrong_secret_is_refused_by_both_ends(initiator):
    network = Network(agent_secret=b'other')
    network.open(initiator)
    network.settle()
    network.send(ENTRY, started(1))
    network.settle()
    assert network.events_by_peer == {ENTRY: [], AGENT: []}
    kinds = {action.error.kind for _, action in network.closed}
    assert kinds == {exceptions.ErrorKind.BAD_HANDSHAKE}


def test_peer_cannot_reflect_the_proof():
    network = Network()
    core = network.endpoint_by_peer[ENTRY]
    core.open_link(1, 0, is_initiator=False)
    mirror = endpoint.Endpoint(
        AGENT, b'unknown', OPTIONS, network.random.randbytes
    )
    [hello] = mirror.open_link(1, 0, is_initiator=True)
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


def restarted_agent(network, incarnation):
    """Put another incarnation in the agent's place."""
    peer = identity.PeerId(AGENT.role, AGENT.name, incarnation)
    del network.endpoint_by_peer[AGENT]
    network.endpoint_by_peer[peer] = network.make(peer, SECRET)
    network.events_by_peer[peer] = []
    return peer


def test_newer_incarnation_replaces_the_session():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.links.remove(link)
    newer = restarted_agent(network, AGENT.incarnation + 1)
    network.open(newer)
    network.settle()
    assert network.events_by_peer[ENTRY] == [
        effects.PeerConnected(AGENT),
        effects.PeerLost(AGENT),
        effects.PeerConnected(newer),
    ]


def test_older_incarnation_is_refused():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.links.remove(link)
    older = restarted_agent(network, AGENT.incarnation - 1)
    network.open(older)
    network.settle()
    assert network.events_by_peer[ENTRY] == [effects.PeerConnected(AGENT)]
    assert network.events_by_peer[older] == []
    kinds = {action.error.kind for _, action in network.closed}
    assert kinds == {exceptions.ErrorKind.STALE_INCARNATION}


def test_message_of_an_older_incarnation_closes_the_connection():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    stale = codec.Envelope(1, 0, AGENT.incarnation - 1, started(1))
    data = frame.encode(codec.encode(stale).unwrap())
    actions = network.endpoint_by_peer[ENTRY].receive(link, data, 0)
    [close] = actions
    assert close.error.kind is exceptions.ErrorKind.STALE_INCARNATION


def test_side_that_gave_up_makes_the_other_begin_anew():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.cut(link)
    entry = network.endpoint_by_peer[ENTRY]
    network.apply(ENTRY, entry.on_tick(OPTIONS.lost_after_ms))
    network.send(AGENT, started(1))
    network.open(AGENT)
    network.settle()
    network.open(AGENT)
    network.settle()
    network.send(AGENT, started(2))
    network.settle()
    assert network.events_by_peer[AGENT] == [
        effects.PeerConnected(ENTRY),
        effects.PeerLost(ENTRY),
        effects.PeerConnected(ENTRY),
    ]
    assert network.received(ENTRY) == [started(2)]


def test_full_buffer_ends_the_session():
    network = Network()
    link = network.open(AGENT)
    network.settle()
    network.cut(link)
    for number in range(OPTIONS.max_unacked + 1):
        network.send(AGENT, started(number))
    assert network.lost() == [effects.PeerLost(ENTRY)]


def test_peer_that_leaves_is_lost_at_once_with_its_last_words():
    network = Network()
    network.open(AGENT)
    network.settle()
    agent = network.endpoint_by_peer[AGENT]
    network.send(AGENT, started(1))
    network.apply(AGENT, agent.leave_all(0))
    network.settle()
    assert network.events_by_peer[ENTRY][1:] == [
        effects.Received(AGENT, started(1)),
        effects.PeerLost(AGENT),
    ]
    assert agent.unacked_count() == 0
