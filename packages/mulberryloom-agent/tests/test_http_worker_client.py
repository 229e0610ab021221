"""Tests of the HTTP protocol between an agent and its job worker."""

import asyncio
import json

from mulberryloom_agent.connection import job_loopback
from mulberryloom_agent.jobs import http_worker_client
from mulberryloom_agent.jobs import worker_calls
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
from mulberryloom_core import messages
import pytest

Status = worker_calls.CallStatus
HEARTBEAT = {
    'boot_ms': 5,
    'sequence': 1,
    'service': 'rental',
    'address': '127.0.0.1:9',
    'processors': 2.5,
    'rack': 'r1',
    'accelerators': 8,
}


async def _call_with(status, body, *calls):
    """Make calls to a worker that sends the same response to each.

    :return: the replies, and the path and JSON body of each request.
    """
    requests = []

    async def respond(request):
        requests.append((request.path, json.loads(request.body)))
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        return http_types.HttpResponse(status, body=raw)

    server = http_server.HttpServer.from_handler(respond)
    address = await server.listen(identity.Address('127.0.0.1', 0))
    worker = http_worker_client.HttpWorkerClient(address)
    replies = []
    for call in calls:
        if isinstance(call, worker_calls.HoldCall):
            replies.append(await worker.hold(call))
        elif isinstance(call, worker_calls.StartCall):
            replies.append(await worker.start(call))
        else:
            replies.append(await worker.stop(call))
    server.stop_accepting()
    await worker.close()
    return replies, requests


START = worker_calls.StartCall(
    'w', 3, 900, messages.StartRun('j.0.0.0', 2, 'p', '')
)
STOP = worker_calls.StopCall('w', 3, messages.RunRef('j.0.0.0', 2))


def _hold(observed=0):
    return worker_calls.HoldCall(1, 'w', 3, 900, observed, 0, boot=5)


def test_start_and_stop_carry_run_and_generation():
    replies, requests = asyncio.run(
        _call_with(200, {'status': 'done', 'clock_ms': 7}, START, STOP)
    )
    assert replies == [worker_calls.CallReply(Status.DONE, 7)] * 2
    assert [path for path, _ in requests] == [
        '/v1/runs/start',
        '/v1/runs/stop',
    ]
    assert requests[0][1]['run'] == 2
    assert requests[0][1]['generation'] == 3


def test_hold_reads_both_lists():
    body = {
        'status': 'done',
        'clock_ms': 7,
        'boot_ms': 5,
        'running': [{'task': 'a', 'run': 1, 'progress_percent': 40}],
        'ended': [{'sequence': 9, 'task': 'b', 'run': 2, 'how': 'done'}],
    }
    (reply,), _ = asyncio.run(_call_with(200, body, _hold()))
    assert reply.running == (messages.RunningTask('a', 1, '', 40),)
    assert reply.ended == (messages.EndedTask(9, 'b', 2, 'done', ''),)


def test_hold_acknowledges_ended_runs_only_over_a_reused_connection():
    """A restarted worker numbers its ended runs from the start."""
    body = {
        'status': 'done',
        'clock_ms': 7,
        'boot_ms': 5,
        'running': [],
        'ended': [],
    }
    _, requests = asyncio.run(_call_with(200, body, _hold(4), _hold(4)))
    assert [fields['observed'] for _, fields in requests] == [0, 4]


# Guards against ends of a restarted worker that are forgotten unseen: the
# number of the earlier incarnation went out over any open connection.
@pytest.mark.parametrize(
    ('code', 'body'),
    [
        (421, {'status': 'other-boot'}),
        (200, {'status': 'fenced'}),
        (429, {'status': 'unhealthy'}),
        (503, {'status': 'unhealthy'}),
        (
            200,
            {
                'status': 'done',
                'clock_ms': 7,
                'boot_ms': 6,
                'running': [],
                'ended': [],
            },
        ),
    ],
)
def test_reply_of_no_or_another_incarnation_allows_no_acknowledgement(
    code, body
):
    _, requests = asyncio.run(_call_with(code, body, _hold(), _hold(4)))
    assert [fields['observed'] for _, fields in requests] == [0, 0]


@pytest.mark.parametrize(
    ('code', 'body', 'expected'),
    [
        (200, {'status': 'fenced'}, Status.FENCED),
        (421, {'status': 'other-boot'}, Status.OTHER_INCARNATION),
        (200, {'status': 'strange'}, Status.UNKNOWN),
        (400, {'title': 'malformed'}, Status.REJECTED),
        (500, {'status': 'done'}, Status.UNKNOWN),
        (200, b'\xff', Status.UNKNOWN),
        (200, b'[]', Status.UNKNOWN),
    ],
)
def test_replies_are_mapped_to_call_statuses(code, body, expected):
    replies, _ = asyncio.run(_call_with(code, body, START, _hold()))
    assert [reply.status for reply in replies] == [expected, expected]


def test_start_without_a_reply_has_unknown_status():
    async def call():
        worker = http_worker_client.HttpWorkerClient(
            identity.Address('127.0.0.1', 9)
        )
        return await worker.start(START)

    assert asyncio.run(call()).status is Status.UNKNOWN


def test_hold_tells_whether_a_process_listens():
    async def call():
        async def close(_reader, writer):
            writer.close()

        server = await asyncio.start_server(close, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        worker = http_worker_client.HttpWorkerClient(
            identity.Address('127.0.0.1', port)
        )
        broken = await worker.hold(_hold())
        server.close()
        await server.wait_closed()
        return broken, await worker.hold(_hold())

    broken, refused = asyncio.run(call())
    assert broken.status is Status.UNKNOWN
    assert refused.status is Status.NOT_LISTENING


class Listener:
    """Records heartbeats and departures of workers."""

    def __init__(self):
        self.infos = []
        self.invalid_count = 0
        self.left = []

    def on_heartbeat(self, info):
        self.infos.append(info)

    def on_invalid_heartbeat(self):
        self.invalid_count += 1

    def on_leave(self, worker):
        self.left.append(worker)

    def metrics(self):
        return 'holds_total 1\n'


def _respond(listener, method, path, body=b''):
    """Return the loopback handler's response to a request."""
    request = http_types.HttpRequest(method, path, body=body)
    return asyncio.run(job_loopback.JobLoopback(listener).respond(request))


def test_loopback_passes_heartbeats_and_leaves_to_the_agent():
    listener = Listener()
    body = json.dumps(HEARTBEAT).encode()
    assert _respond(listener, 'PUT', '/v1/worker/w1', body).status == 200
    (info,) = listener.infos
    assert (info.worker, info.cpu_millis) == ('w1', 2_500)
    assert _respond(listener, 'DELETE', '/v1/worker/w1').status == 200
    assert listener.left == ['w1']
    assert b'holds_total' in _respond(listener, 'GET', '/metrics').body


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('PUT', '/v1/worker/w1', b'\xff', 400),
        ('PUT', '/v1/worker/w1', b'{"boot_ms": "x"}', 400),
        ('PUT', '/v1/worker/', b'{}', 404),
        ('PUT', '/other', b'{}', 404),
        ('POST', '/v1/worker/w1', b'{}', 405),
    ],
)
def test_loopback_rejects_malformed_heartbeats(method, path, body, status):
    listener = Listener()
    assert _respond(listener, method, path, body).status == status
    assert not listener.infos
    assert listener.invalid_count == (status == 400)


# Guards against an agent that waits for the reply to a call which its client
# cannot send: the name of a worker is sent in a header.
@pytest.mark.parametrize('name', ['a%0Ab', 'a%20b', '%C3%A9', 'a' * 101, ''])
def test_heartbeat_under_an_unusable_name_is_refused(name):
    handler = job_loopback.JobLoopback(None)
    request = http_types.HttpRequest(
        'PUT',
        f'{job_loopback.WORKER_PATH_PREFIX}{name}',
        body=json.dumps(HEARTBEAT).encode(),
    )
    assert asyncio.run(handler.respond(request)).status == 404
