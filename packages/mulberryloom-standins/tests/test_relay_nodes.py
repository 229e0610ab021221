"""Tests of nodes whose connections a relay silences or cuts."""

import asyncio
import json
import subprocess
import sys

import pytest

from mulberryloom_core import clock
from mulberryloom_core import connection
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_standins import ports
from mulberryloom_standins import relay as relay_

ANY_PORT = identity.Address('127.0.0.1', 0)
ENTRY = identity.PeerId(identity.Role.ENTRY, 'entry-1', 5)
AGENT = identity.PeerId(identity.Role.AGENT, 'worker-1', 7)
OPTIONS = connection.SessionOptions(
    ping_interval_ms=200,
    silence_timeout_ms=600,
    session_timeout_ms=3_000,
    close_timeout_ms=300,
)
MESSAGES = 200
BODY = bytes(range(256)) * 40


def make_node(peer):
    """Return a node with short times."""
    return connection.Node.from_identity(
        peer, b'secret', clock.SystemClock(), OPTIONS
    )


def outcome(number):
    """Return a message of some 10 KB."""
    return messages.WorkEnded(f'r{number}', messages.Outcome(body=BODY))


async def collect(node, count):
    """Return so many messages; no peer may be lost meanwhile."""
    received = []
    async with asyncio.timeout(20):
        while len(received) < count:
            event = await node.receive()
            assert not isinstance(event, effects.PeerLost)
            if isinstance(event, effects.Received):
                received.append(event.message)
    return received


async def exchange(disturb):
    """Send both ways while the relay is disturbed half-way."""
    entry, agent = make_node(ENTRY), make_node(AGENT)
    relay = relay_.Relay.from_target(await entry.listen(ANY_PORT), ANY_PORT)
    agent.connect(await relay.listen(ANY_PORT))
    assert await entry.receive() == effects.PeerConnected(AGENT)
    assert await agent.receive() == effects.PeerConnected(ENTRY)
    for number in range(MESSAGES):
        if number == MESSAGES // 2:
            disturb(relay)
        for node, peer in ((entry, AGENT), (agent, ENTRY)):
            node.send(effects.Send(peer.role, peer.name, outcome(number)))
        await asyncio.sleep(0.001)
    expected = [outcome(number) for number in range(MESSAGES)]
    assert await collect(agent, MESSAGES) == expected
    assert await collect(entry, MESSAGES) == expected
    counters = entry.counters
    await agent.close()
    await entry.close()
    await relay.stop()
    return relay, counters


@pytest.mark.parametrize('direction', list(relay_.Direction))
def test_messages_in_flight_arrive_whole_over_the_replacement(direction):
    relay, counters = asyncio.run(
        exchange(lambda relay: relay.silence(direction))
    )
    assert relay.accepted >= 2
    assert counters.reconnects >= 1


def test_messages_survive_a_cut():
    relay, counters = asyncio.run(exchange(relay_.Relay.cut))
    assert relay.accepted >= 2
    assert counters.reconnects >= 1


def test_relay_delays_bytes():
    async def scenario():
        entry, agent = make_node(ENTRY), make_node(AGENT)
        target = await entry.listen(ANY_PORT)
        relay = relay_.Relay.from_target(target, ANY_PORT, delay_ms=30)
        loop = asyncio.get_running_loop()
        started = loop.time()
        agent.connect(await relay.listen(ANY_PORT))
        assert await entry.receive() == effects.PeerConnected(AGENT)
        # Hello, Challenge and Proof, one after the other.
        assert loop.time() - started >= 3 * 0.030
        await agent.close()
        await entry.close()
        await relay.stop()

    asyncio.run(scenario())


async def command(control, path, body=b''):
    """Tell a relay process what to do; return how many it concerned."""
    client = http_client.HttpClient.from_limits()
    request = http_types.HttpRequest('POST', path, body=body)
    response = await client.call(control, request, 5_000)
    await client.close()
    return json.loads(response.unwrap().body)['connections']


async def through_process(path, body=b''):
    """Send while a relay process is told to disturb its connections."""
    entry, agent = make_node(ENTRY), make_node(AGENT)
    target = await entry.listen(ANY_PORT)
    control = ports.PortPool().take()
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'mulberryloom_standins.relay',
            f'--target={target}',
            f'--control-port={control.port}',
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        line = await asyncio.to_thread(process.stdout.readline)
        agent.connect(identity.Address.from_text(line.strip()))
        assert await entry.receive() == effects.PeerConnected(AGENT)
        assert await command(control, path, body) == 1
        for number in range(20):
            entry.send(effects.Send(AGENT.role, AGENT.name, outcome(number)))
        expected = [outcome(number) for number in range(20)]
        assert await collect(agent, 20) == expected
        assert entry.counters.reconnects >= 1
        await agent.close()
        await entry.close()
    finally:
        process.terminate()
        process.wait(10)
        process.stdout.close()
    assert process.returncode == 0


def test_relay_process_swallows():
    body = json.dumps({'direction': 'both'}).encode()
    asyncio.run(through_process('/standin/swallow', body))


def test_relay_process_cuts():
    asyncio.run(through_process('/standin/cut'))
