"""Tests of nodes over real sockets on the loopback interface."""

import asyncio

from mulberryloom_core import clock
from mulberryloom_core import connection
from mulberryloom_core.connection import outputs
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages

SECRET = b'secret of the deployment'
ANY_PORT = identity.Address('127.0.0.1', 0)
ENTRY = identity.PeerId(identity.Role.ENTRY, 'entry-1', 5)
AGENT = identity.PeerId(identity.Role.AGENT, 'worker-1', 7)
OPTIONS = connection.SessionOptions(reconnect_max_ms=100, close_timeout_ms=500)


def make_node(peer, secret=SECRET):
    """Return a node that uses the system clock."""
    return connection.Node.from_identity(
        peer, secret, clock.SystemClock(), OPTIONS
    )


def send_to(peer, message, address=''):
    """Return the effect that sends a message to a peer."""
    return effects.Send(peer.role, peer.name, message, str(address))


def task_started(number):
    """Return a small message that carries a number."""
    return messages.TaskStarted(f'request-{number}', number)


async def next_event(node):
    """Return the node's next event."""
    async with asyncio.timeout(10):
        return await node.receive()


def test_node_delivers_messages_in_order_both_ways():
    async def scenario():
        entry, agent = make_node(ENTRY), make_node(AGENT)
        agent.connect(await entry.listen(ANY_PORT))
        assert await next_event(entry) == effects.PeerConnected(AGENT)
        assert await next_event(agent) == effects.PeerConnected(ENTRY)
        for number in range(100):
            entry.send(send_to(AGENT, task_started(number)))
            agent.send(send_to(ENTRY, task_started(-number)))
        for number in range(100):
            assert await next_event(agent) == effects.Received(
                ENTRY, task_started(number)
            )
            assert await next_event(entry) == effects.Received(
                AGENT, task_started(-number)
            )
        await agent.close()
        assert await next_event(entry) == effects.PeerLost(AGENT)
        await entry.close()

    asyncio.run(scenario())


def test_node_send_connects_to_address_of_effect():
    async def scenario():
        entry, agent = make_node(ENTRY), make_node(AGENT)
        address = await agent.listen(ANY_PORT)
        entry.send(send_to(AGENT, task_started(1), address))
        entry.send(send_to(AGENT, task_started(2), address))
        assert await next_event(agent) == effects.PeerConnected(ENTRY)
        for number in (1, 2):
            assert await next_event(agent) == effects.Received(
                ENTRY, task_started(number)
            )
        await entry.close()
        await agent.close()

    asyncio.run(scenario())


def test_node_refuses_peer_with_another_secret():
    async def scenario():
        entry, agent = make_node(ENTRY), make_node(AGENT, b'other')
        agent.connect(await entry.listen(ANY_PORT))
        async with asyncio.timeout(10):
            while not entry.counters.refused_handshakes:
                await asyncio.sleep(0.01)
        entry.send(send_to(AGENT, task_started(1)))
        assert entry.counters.dropped == 1
        await agent.close()
        await entry.close()

    asyncio.run(scenario())


def test_nodes_exchange_messages_when_both_connect():
    async def scenario():
        entry, agent = make_node(ENTRY), make_node(AGENT)
        agent.connect(await entry.listen(ANY_PORT))
        entry.connect(await agent.listen(ANY_PORT))
        assert await next_event(entry) == effects.PeerConnected(AGENT)
        for number in range(200):
            entry.send(send_to(AGENT, task_started(number)))
            await asyncio.sleep(0.001)
        assert await next_event(agent) == effects.PeerConnected(ENTRY)
        for number in range(200):
            assert await next_event(agent) == effects.Received(
                ENTRY, task_started(number)
            )
        await agent.close()
        await entry.close()

    asyncio.run(scenario())


def test_node_disconnect_ends_session():
    async def scenario():
        entry, agent = make_node(ENTRY), make_node(AGENT)
        address = await entry.listen(ANY_PORT)
        agent.connect(address)
        assert await next_event(entry) == effects.PeerConnected(AGENT)
        assert await next_event(agent) == effects.PeerConnected(ENTRY)
        agent.disconnect(address)
        assert await next_event(entry) == effects.PeerLost(AGENT)
        assert await next_event(agent) == effects.PeerLost(ENTRY)
        await agent.close()
        await entry.close()

    asyncio.run(scenario())


def test_node_does_not_abort_connection_that_is_closed():
    """The abort timer of a closing connection expires after its last bytes.

    The connection is closed by then, and aborting a closed transport would
    raise an error in the event loop.
    """
    loop_errors = []

    async def read_all(reader, writer):
        while await reader.read(1 << 20):
            await asyncio.sleep(0)
        writer.close()

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: loop_errors.append(context)
        )
        server = await asyncio.start_server(read_all, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        node = make_node(AGENT)
        address = identity.Address(host, port)
        node.connect(address)
        while not node._link_by_id:
            await asyncio.sleep(0.01)
        (link,) = node._link_by_id.values()
        link.transport.write(bytes(20_000_000))
        node._close_link(outputs.CloseLink(link.link_id))
        node.disconnect(address)
        await asyncio.sleep(OPTIONS.close_timeout_ms / 1_000 + 0.5)
        await node.close()
        server.close()

    asyncio.run(scenario())
    assert loop_errors == []
