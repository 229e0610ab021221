"""Tests of child processes and of the store stand-in as a process."""

import asyncio
import json
import signal

import pytest

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core.process import store_client
from mulberryloom_core import store
from mulberryloom_standins import ports
from mulberryloom_standins import processes


@pytest.fixture
def store_process(tmp_path):
    address = ports.PortPool().take()
    process = processes.ChildProcess.start(
        'store',
        ['mulberryloom_standins.store', '--port', str(address.port)],
        tmp_path,
    )
    try:
        process.wait_until_listening(address, timeout_s=20)
        yield process, address
    finally:
        process.kill()


def test_store_process_serves_until_sigterm(store_process):
    process, address = store_process

    async def use():
        client = store_client.EtcdStore.from_settings([str(address)])
        written = await client.call(store.PutKey('a', b'1', 0))
        await client.close()
        return written

    assert asyncio.run(use()).is_ok()
    assert process.resident_mb() > 0
    assert process.cpu_s() > 0
    process.send(signal.SIGTERM)
    assert process.wait() == 0
    assert str(address) in process.last_output()


def test_store_process_applies_posted_faults(store_process):
    _, address = store_process

    async def use():
        http = http_client.HttpClient.from_limits()
        body = json.dumps({'outage': True}).encode()
        post = http_types.HttpRequest('POST', '/standin/faults', body=body)
        response = await http.call(address, post, 5_000)
        client = store_client.EtcdStore.from_settings([str(address)])
        read = await client.call(store.GetKey('a'))
        get = http_types.HttpRequest('GET', '/standin/calls')
        counts = await http.call(address, get, 5_000)
        await client.close()
        await http.close()
        return response.unwrap(), read, json.loads(counts.unwrap().body)

    response, read, counts = asyncio.run(use())
    assert json.loads(response.body)['outage'] is True
    unavailable = exceptions.ErrorKind.STORE_UNAVAILABLE
    assert read.unwrap_err().kind is unavailable
    assert counts == {'GetKey': 1}


def test_process_that_ends_early_is_reported_with_output(tmp_path):
    process = processes.ChildProcess.start(
        'broken', ['mulberryloom_standins.no_such_module'], tmp_path
    )
    address = ports.PortPool().take()
    with pytest.raises(TimeoutError, match='no_such_module'):
        process.wait_until_listening(address, timeout_s=20)
    process.kill()
