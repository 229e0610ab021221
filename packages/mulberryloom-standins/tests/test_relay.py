"""Tests of the relay that silences connections."""

import asyncio

import pytest

from mulberryloom_core.identity import Address
from mulberryloom_standins import relay as relay_module

ANY_PORT = Address('127.0.0.1', 0)
SILENCE_S = 0.2


async def _echo(reader, writer):
    while data := await reader.read(1_000):
        writer.write(data)
    writer.close()


def _run(scenario):
    async def run():
        echo = await asyncio.start_server(_echo, '127.0.0.1', 0)
        target = Address(*echo.sockets[0].getsockname())
        relay = relay_module.Relay.from_target(target, ANY_PORT)
        address = await relay.listen(ANY_PORT)
        try:
            await scenario(relay, address)
        finally:
            await relay.stop()
            echo.close()

    asyncio.run(run())


async def _exchange(connection, data):
    reader, writer = connection
    writer.write(data)
    async with asyncio.timeout(SILENCE_S):
        return await reader.readexactly(len(data))


@pytest.mark.parametrize('direction', list(relay_module.Direction))
def test_silenced_connection_drops_bytes_and_a_new_one_works(direction):
    async def scenario(relay, address):
        first = await asyncio.open_connection(address.host, address.port)
        assert await _exchange(first, b'one') == b'one'
        assert relay.silence(direction) == 1
        with pytest.raises(TimeoutError):
            await _exchange(first, b'two')
        assert not first[0].at_eof()
        second = await asyncio.open_connection(address.host, address.port)
        assert await _exchange(second, b'three') == b'three'
        first[1].close()
        second[1].close()

    _run(scenario)
