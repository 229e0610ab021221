"""Tests of nodes whose connections are silenced or cut by a relay."""

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
from mulberryloom_standins import relay as relay_module

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


def _make_node(peer):
    """Return a node with short intervals and timeouts."""
    return connection.Node.from_identity(
        peer, b'secret', clock.SystemClock(), OPTIONS
    )


def _work_ended(number):
    """Return a message of about 10 KB."""
    return messages.WorkEnded(f'r{number}', messages.Outcome(body=BODY))


async def _receive_messages(node, count):
    """Return the next ``count`` messages; no peer may be lost meanwhile."""
    received = []
    async with asyncio.timeout(20):
        while len(received) < count:
            event = await node.receive()
            assert not isinstance(event, effects.PeerLost)
            if isinstance(event, effects.Received):
                received.append(event.message)
    return received


async def _exchange_messages(disturb_relay):
    """Send messages both ways, and disturb the relay half-way through."""
    entry, agent = _make_node(ENTRY), _make_node(AGENT)
    relay = relay_module.Relay.from_target(
        await entry.listen(ANY_PORT), ANY_PORT
    )
    agent.connect(await relay.listen(ANY_PORT))
    assert await entry.receive() == effects.PeerConnected(AGENT)
    assert await agent.receive() == effects.PeerConnected(ENTRY)
    for number in range(MESSAGES):
        if number == MESSAGES // 2:
            disturb_relay(relay)
        for node, peer in ((entry, AGENT), (agent, ENTRY)):
            node.send(effects.Send(peer.role, peer.name, _work_ended(number)))
        await asyncio.sleep(0.001)
    expected = [_work_ended(number) for number in range(MESSAGES)]
    assert await _receive_messages(agent, MESSAGES) == expected
    assert await _receive_messages(entry, MESSAGES) == expected
    counters = entry.counters
    await agent.close()
    await entry.close()
    await relay.stop()
    return relay, counters


@pytest.mark.parametrize('direction', list(relay_module.Direction))
def test_messages_in_flight_arrive_complete_after_reconnect(direction):
    relay, counters = asyncio.run(
        _exchange_messages(lambda relay: relay.silence(direction))
    )
    assert relay.accepted_connections >= 2
    assert counters.reconnects >= 1


def test_messages_arrive_complete_after_a_cut():
    relay, counters = asyncio.run(_exchange_messages(relay_module.Relay.cut))
    assert relay.accepted_connections >= 2
    assert counters.reconnects >= 1


def test_relay_delays_bytes():
    async def scenario():
        entry, agent = _make_node(ENTRY), _make_node(AGENT)
        target = await entry.listen(ANY_PORT)
        relay = relay_module.Relay.from_target(target, ANY_PORT, delay_ms=30)
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


async def _post_to_relay(control, path, body=b''):
    """Send a command to a relay process; return the connections affected."""
    client = http_client.HttpClient.from_limits()
    request = http_types.HttpRequest('POST', path, body=body)
    response = await client.call(control, request, 5_000)
    await client.close()
    return json.loads(response.unwrap().body)['connections']


async def _send_through_relay_process(path, body=b''):
    """Send messages after a relay process disturbed its connections."""
    entry, agent = _make_node(ENTRY), _make_node(AGENT)
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
        assert await _post_to_relay(control, path, body) == 1
        for number in range(20):
            entry.send(
                effects.Send(AGENT.role, AGENT.name, _work_ended(number))
            )
        expected = [_work_ended(number) for number in range(20)]
        assert await _receive_messages(agent, 20) == expected
        assert entry.counters.reconnects >= 1
        await agent.close()
        await entry.close()
    finally:
        process.terminate()
        process.wait(10)
        process.stdout.close()
    assert process.returncode == 0


def test_relay_process_silences_connections():
    body = json.dumps({'direction': 'both'}).encode()
    asyncio.run(_send_through_relay_process('/standin/swallow', body))


def test_relay_process_cuts_connections():
    asyncio.run(_send_through_relay_process('/standin/cut'))
