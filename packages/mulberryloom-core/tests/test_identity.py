"""Tests of addresses that come from outside."""

import asyncio

from mulberryloom_core import clock
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import identity
import pytest


@pytest.mark.parametrize(
    'text',
    [
        '10.0.0.1:65536',
        '10.0.0.1:' + '9' * 5_000,
        '10.0.0.1:\u0663',
        '10.0.0.1',
        ':80',
        '10.0.0.1:-1',
        'no-address:80',
        'a\0b:80',
        '10.0.0.256:80',
    ],
)
def test_unusable_address_is_refused_where_it_is_read(text):
    with pytest.raises(ValueError):
        identity.Address.from_text(text)


# Guards against peers that are lost with one odd entry among their addresses.
def test_unusable_address_is_skipped_alone():
    texts = ['10.0.0.1:70000', '10.0.0.2:80', '', '[::1]:81']
    found = identity.read_addresses((str(i), t) for i, t in enumerate(texts))
    assert [address.port for address in found] == [80, 81]


# Guards against a connector that ends by an exception of the socket.
def test_connection_attempt_to_a_port_out_of_range_fails_like_any_other():
    async def dial():
        node = nodes.Node.for_leases(
            identity.Role.AGENT, 'n', b'secret', clock.SystemClock()
        )
        return await node.dial(identity.Address('127.0.0.1', 70_000), 500)

    assert asyncio.run(dial()) is None
