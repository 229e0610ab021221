"""Tests of the worker control over the platform's HTTP interface."""

import asyncio
import json

from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
import pytest

from mulberryloom_agent import effects
from mulberryloom_agent.process import control as controls

TASK = controls.task_id('q1', 2, 0)


def _run_with_platform(status, body, operation):
    """Run an operation against a platform stand-in.

    :param operation: coroutine function that takes the worker control.
    :return: its result and the requests that the platform received.
    """
    requests = []

    async def respond(request):
        requests.append(request)
        return http_types.HttpResponse(status, body=body)

    async def scenario():
        server = http_server.HttpServer.from_handler(respond)
        address = await server.listen(identity.Address('127.0.0.1', 0))
        control = controls.HttpControl(address)
        result = await operation(control)
        await control.close()
        await server.drain()
        return result

    return asyncio.run(scenario()), requests


def test_http_control_posts_each_operation_to_its_path():
    async def operation(control):
        await control.lease(TASK, 10_000)
        await control.checkpoint(TASK, 500)
        await control.throttle(TASK)
        await control.stop(TASK)

    _, requests = _run_with_platform(200, b'{}', operation)
    sent = [(request.path, json.loads(request.body)) for request in requests]
    assert sent == [
        ('/v1/tasks/q1.2.0/lease', {'ttl_ms': 10_000}),
        ('/v1/tasks/q1.2.0/checkpoint', {'grace_ms': 500}),
        ('/v1/tasks/q1.2.0/throttle', {}),
        ('/v1/tasks/q1.2.0/stop', {}),
    ]


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (200, b'{"is_saved": true, "is_stopped": true}', True),
        (200, b'{"is_saved": false, "is_stopped": false}', False),
        (200, b'{}', False),
        (200, b'[true]', False),
        (200, b'torn {', False),
        (503, b'{"is_saved": true, "is_stopped": true}', False),
    ],
)
def test_http_control_accepts_only_explicit_confirmations(
    status, body, expected
):
    async def operation(control):
        is_saved = await control.checkpoint(TASK, 500)
        return is_saved, await control.stop(TASK)

    results, _ = _run_with_platform(status, body, operation)
    assert results == (expected, expected)


def test_http_control_confirms_nothing_if_platform_is_unreachable():
    async def scenario():
        server = http_server.HttpServer.from_handler(None)
        address = await server.listen(identity.Address('127.0.0.1', 0))
        await server.drain()
        control = controls.HttpControl(address)
        is_stopped = await control.stop(TASK)
        return is_stopped, await control.usage()

    is_stopped, usage = asyncio.run(scenario())
    assert not is_stopped
    assert usage.usages == ()


def test_usage_skips_malformed_items():
    document = {
        'usages': [
            {
                'request_id': 'q1',
                'attempt': 2,
                'member': 0,
                'memory_mb': 300,
                'age_ms': 700,
            },
            {'request_id': 'q2'},
            7,
        ]
    }

    async def operation(control):
        return await control.usage()

    usage, _ = _run_with_platform(
        200, json.dumps(document).encode(), operation
    )
    assert usage.usages == (effects.TaskUsage('q1', 2, 300, 700),)


def test_usage_without_a_list_is_empty():
    async def operation(control):
        return await control.usage()

    usage, _ = _run_with_platform(200, b'{"usages": 7}', operation)
    assert usage.usages == ()
