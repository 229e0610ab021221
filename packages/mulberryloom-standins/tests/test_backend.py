"""Tests of the backend server, platform and caller stand-ins."""

import asyncio
import json

import pytest

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core.identity import Address
from mulberryloom_core import shapes
from mulberryloom_standins import answers
from mulberryloom_standins import backend
from mulberryloom_standins import caller
from mulberryloom_standins import platform
from mulberryloom_standins import runs
from mulberryloom_standins import targets

ANY_PORT = Address('127.0.0.1', 0)
CAPACITY = shapes.Resources(8, 8, 130, 250_000)


class FakeAgent:
    """Agent that records the calls of a backend server."""

    def __init__(self):
        self.calls = []
        self.http = http_server.HttpServer.from_handler(self._answer)

    async def _answer(self, request):
        self.calls.append((request.path, json.loads(request.body)))
        return http_types.HttpResponse(200)

    async def wait_for(self, path):
        async with asyncio.timeout(5):
            while path not in [called for called, _ in self.calls]:
                await asyncio.sleep(0.005)


async def _start_backend():
    agent = FakeAgent()
    agent_address = await agent.http.listen(ANY_PORT)
    spec = backend.BackendSpec('w1', agent_address, ['rental'], CAPACITY)
    server = backend.BackendServer.from_spec(spec)
    address = await server.listen(ANY_PORT)
    return agent, server, address


async def _send_order(address, order, member='0/1', positions='0,1'):
    client = http_client.HttpClient.from_limits()
    request = http_types.HttpRequest(
        'POST',
        '/rental/fit',
        headers_by_name={
            'mulberryloom-request-id': f'r-{order.token}',
            'mulberryloom-attempt': '1',
            'mulberryloom-member': member,
            'mulberryloom-accelerators': positions,
        },
        body=order.to_body(),
    )
    answer = await client.call(address, request, 5_000)
    await client.close()
    return answer.unwrap()


async def _wait_for_open_run(server):
    async with asyncio.timeout(5):
        while not server.log.open_runs():
            await asyncio.sleep(0.005)
    return server.log.open_runs()[0].run_id


def test_backend_announces_itself_and_deregisters():
    async def scenario():
        agent, server, address = await _start_backend()
        await agent.wait_for('/v1/heartbeat')
        await server.stop()
        paths = [path for path, _ in agent.calls]
        assert paths == ['/v1/announce', '/v1/heartbeat', '/v1/leave']
        assert agent.calls[0][1] == {
            'address': str(address),
            'services': ['rental'],
            'slots': 8,
            'accelerators': 8,
            'processors': 130,
            'memory_mb': 250_000,
        }

    asyncio.run(scenario())


def test_backend_answers_an_order_completely_and_records_the_run():
    async def scenario():
        _, server, address = await _start_backend()
        order = answers.Order('t1', run_ms=1, answer_bytes=100_000)
        response = await _send_order(address, order)
        assert answers.find_fault(order.to_body(), response.body) == ''
        (run,) = server.log.runs
        assert run.run_id == runs.RunId('r-t1', 1, 0)
        assert run.positions == [0, 1]
        assert run.end is runs.RunEnd.FINISHED
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('faults', 'run_ms'),
    [
        (backend.BackendFaults(fails_everything=True), 60_000),
        (backend.BackendFaults(fail_percent=100), 1),
    ],
)
def test_backend_fails_orders_by_its_fault_switches(faults, run_ms):
    async def scenario():
        _, server, address = await _start_backend()
        server.faults = faults
        response = await _send_order(
            address, answers.Order('t1', run_ms=run_ms)
        )
        assert response.status == 500
        assert server.log.runs[0].end is runs.RunEnd.FAILED
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize('action', ['stop', 'checkpoint'])
def test_platform_ends_an_open_run(action):
    async def scenario():
        _, server, address = await _start_backend()
        control = platform.PlatformServer.from_backend(address)
        control_address = await control.listen(ANY_PORT)
        order = answers.Order('t1', run_ms=60_000)
        running = asyncio.create_task(_send_order(address, order))
        run_id = await _wait_for_open_run(server)
        client = http_client.HttpClient.from_limits()
        request = http_types.HttpRequest(
            'POST',
            f'/v1/tasks/{run_id}/{action}',
            body=b'{"grace_ms": 1000}',
        )
        first_answer = await client.call(control_address, request, 5_000)
        second_answer = await client.call(control_address, request, 5_000)
        assert first_answer.unwrap().status == 200
        if action == 'checkpoint':
            assert json.loads(first_answer.unwrap().body) == {'is_saved': True}
            assert json.loads(second_answer.unwrap().body) == {
                'is_saved': False
            }
        response = await running
        assert response.status == 503
        assert server.log.runs[0].end.value.startswith(action)
        await client.close()
        await control.stop()
        await server.stop()

    asyncio.run(scenario())


def test_platform_stops_a_task_whose_lease_lapses():
    async def scenario():
        _, server, address = await _start_backend()
        control = platform.PlatformServer.from_backend(address)
        control_address = await control.listen(ANY_PORT)
        order = answers.Order('t1', run_ms=60_000)
        running = asyncio.create_task(_send_order(address, order))
        run_id = await _wait_for_open_run(server)
        client = http_client.HttpClient.from_limits()
        request = http_types.HttpRequest(
            'POST', f'/v1/tasks/{run_id}/lease', body=b'{"ttl_ms": 1}'
        )
        await client.call(control_address, request, 5_000)
        response = await running
        assert json.loads(response.body) == {'end': 'stopped'}
        await client.close()
        await control.stop()
        await server.stop()

    asyncio.run(scenario())


def test_platform_reports_usage_with_a_lag():
    async def scenario():
        _, server, address = await _start_backend()
        control = platform.PlatformServer.from_backend(address, lag_ms=300)
        control_address = await control.listen(ANY_PORT)
        order = answers.Order('t1', run_ms=900, memory_mb=77)
        running = asyncio.create_task(_send_order(address, order))
        client = http_client.HttpClient.from_limits()
        request = http_types.HttpRequest('GET', '/v1/usage')
        usages = []
        async with asyncio.timeout(5):
            while not usages:
                answer = await client.call(control_address, request, 5_000)
                usages = json.loads(answer.unwrap().body)['usages']
                await asyncio.sleep(0.01)
        assert usages[0]['memory_mb'] == 77
        assert usages[0]['age_ms'] >= 300
        await running
        await client.close()
        await control.stop()
        await server.stop()

    asyncio.run(scenario())


def _start_answering_server(worker='w1', is_swapped=False, cut_bytes=0):
    """Return a server that answers as an entry does.

    :param is_swapped: answer each request as if it were the first.
    :param cut_bytes: number of bytes missing at the end of each answer.
    """
    earlier = []

    async def answer(request):
        earlier.append(request.body)
        body = earlier[0] if is_swapped else request.body
        answer_body = answers.OrderAnswer.from_request(body, worker).to_body()
        return http_types.HttpResponse(
            200, body=answer_body[: len(answer_body) - cut_bytes]
        )

    return http_server.HttpServer.from_handler(answer)


@pytest.mark.parametrize(
    ('answer_faults', 'fault_count'),
    [({}, 0), ({'is_swapped': True}, 4), ({'cut_bytes': 3}, 5)],
)
def test_caller_detects_swapped_and_truncated_answers(
    answer_faults, fault_count
):
    async def scenario():
        http = _start_answering_server(**answer_faults)
        address = await http.listen(ANY_PORT)
        sender = caller.Caller.from_token([address], 'token')
        report = await sender.closed_loop(
            lambda: targets.RequestSpec('rental', 'fit', caller.new_order()),
            5,
            1,
        )
        assert len(report.faults) == fault_count
        assert report.count_by_status == {200: 5}
        await sender.close()
        await http.drain()

    asyncio.run(scenario())


def test_caller_open_loop_sends_all_requests():
    async def scenario():
        http = _start_answering_server()
        address = await http.listen(ANY_PORT)
        sender = caller.Caller.from_token([address], 'token')
        report = await sender.open_loop(
            lambda: targets.RequestSpec('rental', 'fit', caller.new_order()),
            rate_per_s=1_000,
            count=50,
        )
        assert report.count_by_status == {200: 50}
        assert 0 < report.percentile_ms(50) <= report.percentile_ms(99)
        await sender.close()
        await http.drain()

    asyncio.run(scenario())
