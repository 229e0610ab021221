"""Tests of the agent process with an entry node and a backend server."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys

import agent_harness as harness
from mulberryloom_core import clock
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_server
from mulberryloom_core.connection import http_types
from mulberryloom_core.connection import node as nodes
from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages

from mulberryloom_agent.process import control as controls
from mulberryloom_agent.process import runner

ANY = identity.Address('127.0.0.1', 0)
SECRET = b'0123456789abcdef'
TIMEOUT_S = 10


class GatedBackend:
    """Backend server that holds responses until ``may_answer`` is set."""

    def __init__(self):
        self.requests = []
        self.may_answer = asyncio.Event()
        self.server = http_server.HttpServer.from_handler(self._answer)

    async def _answer(self, request):
        self.requests.append(request)
        await self.may_answer.wait()
        return http_types.HttpResponse(200, 'text/plain', request.body)


class Environment:
    """Agent process, entry node and backend server on loopback."""

    async def __aenter__(self):
        self.entry = nodes.Node.from_identity(
            harness.ENTRY, SECRET, clock.SystemClock()
        )
        self.entry_address = await self.entry.listen(ANY)
        self.backend = GatedBackend()
        self.backend_address = await self.backend.server.listen(ANY)
        self.control = RecordingControl()
        self.process = runner.AgentProcess.from_settings(
            harness.agent_settings(port=0, entries=[str(self.entry_address)]),
            control=self.control,
        )
        self.run_task = asyncio.create_task(self.process.run())
        self.client = http_client.HttpClient.from_limits()
        while not self.process.loopback_addresses:
            await asyncio.sleep(0.01)
        self.early_heartbeat_response = await self.call_agent(
            'POST', '/v1/heartbeat'
        )
        address = self.process.loopback_addresses[0]
        self.announce_response = await self.announce(address)
        return self

    async def announce(self, address):
        """Announce the backend server to an agent; retry until it listens."""
        announcement = {
            'address': str(self.backend_address),
            'services': ['typesetting'],
            'slots': 8,
            'accelerators': 8,
            'processors': 130,
            'memory_mb': 250_000,
        }
        body = json.dumps(announcement).encode()
        request = http_types.HttpRequest('POST', '/v1/announce', body=body)
        for _ in range(100):
            result = await self.client.call(address, request, 5_000)
            if result.is_ok():
                break
            await asyncio.sleep(0.1)
        return result.unwrap()

    async def __aexit__(self, *details):
        self.backend.may_answer.set()
        self.process.request_stop()
        await asyncio.wait_for(self.run_task, TIMEOUT_S)
        await self.client.close()
        await self.entry.close()
        await self.backend.server.drain()

    async def call_agent(self, method, path, body=b''):
        """Call the agent's loopback HTTP interface; return the response."""
        address = self.process.loopback_addresses[0]
        request = http_types.HttpRequest(method, path, body=body)
        result = await self.client.call(address, request, 5_000)
        return result.unwrap()

    async def receive(self, kind):
        """Return the next message of a type received by the entry."""
        while True:
            event = await asyncio.wait_for(self.entry.receive(), TIMEOUT_S)
            message = getattr(event, 'message', None)
            if isinstance(message, kind):
                return message

    def send(self, message, worker='w1'):
        """Send a message to an agent."""
        self.entry.send(
            core_effects.Send(identity.Role.AGENT, worker, message)
        )

    async def start_task(self, job, worker='w1'):
        """Start a task once the agent reports services; wait until it runs."""
        heartbeat = await self.receive(messages.AgentHeartbeat)
        while heartbeat.worker != worker or not _has_services(heartbeat):
            heartbeat = await self.receive(messages.AgentHeartbeat)
        start = messages.StartTask(job, 1, heartbeat.incarnation)
        self.send(start, worker)
        await self.receive(messages.TaskStarted)


def _has_services(heartbeat):
    return heartbeat.state is not None and bool(heartbeat.state.services)


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class RecordingControl(controls.NoControl):
    """Worker control that records the tasks that it stops."""

    def __init__(self):
        self.stopped_tasks = []

    async def stop(self, task):
        """Record a stop and confirm it."""
        self.stopped_tasks.append(task)
        return True


def test_request_reaches_backend_and_response_returns_unchanged():
    async def scenario():
        async with Environment() as environment:
            environment.backend.may_answer.set()
            body = bytes(range(256)) * 4_000
            await environment.start_task(
                harness.work(accelerators=2, body=body)
            )
            ended = await environment.receive(messages.TaskEnded)
            assert ended.outcome.body == body
            (request,) = environment.backend.requests
            headers = request.headers_by_name
            assert request.path == '/typesetting/edition'
            assert headers['mulberryloom-request-id'] == 'q1'
            assert headers['mulberryloom-accelerators'] == '0,1'
            assert headers['mulberryloom-member'] == '0/1'
            metrics = await environment.call_agent('GET', '/metrics')
            lines = metrics.body.decode().splitlines()
            assert 'mulberryloom_agent_tasks_started_total 1' in lines
            assert 'mulberryloom_agent_free{resource="slots"} 8' in lines

    asyncio.run(scenario())


def test_stop_waits_for_the_open_request():
    async def scenario():
        async with Environment() as environment:
            await environment.start_task(harness.work())
            environment.process.request_stop()
            environment.process.request_stop()
            await environment.receive(messages.AgentLeave)
            status = await environment.call_agent('GET', '/v1/status')
            tasks = json.loads(status.body)['tasks']
            assert [task['request_id'] for task in tasks] == ['q1']
            environment.backend.may_answer.set()
            ended = await environment.receive(messages.TaskEnded)
            assert ended.outcome.body == b'pages'
            await asyncio.wait_for(environment.run_task, TIMEOUT_S)

    asyncio.run(scenario())


def test_cancel_stops_the_task_by_its_platform_id():
    async def scenario():
        async with Environment() as environment:
            await environment.start_task(harness.work())
            environment.send(messages.CancelTask('q1', 1))
            ended = await environment.receive(messages.TaskEnded)
            assert ended.outcome.error.kind.value == 'cancelled'
            assert environment.control.stopped_tasks == ['q1.1.0']

    asyncio.run(scenario())


def _launch_process(environment, path):
    """Start an agent as a separate process.

    :return: the process and its address for the backend server.
    """
    document = {
        'worker': 'w2',
        'data_centre': 'galway-a',
        'rack': 'r1',
        'listen': '127.0.0.1:0',
        'backend_listen': f'127.0.0.1:{_free_port()}',
        'entries': [str(environment.entry_address)],
        'secret': SECRET.decode(),
    }
    path.write_text(json.dumps(document))
    command = [sys.executable, '-m', 'mulberryloom_agent', 'serve']
    process = subprocess.Popen(
        [*command, '--settings', str(path)],
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
    )
    return process, identity.Address.from_text(document['backend_listen'])


def test_sigterm_waits_for_the_task_and_exits(tmp_path):
    async def scenario():
        async with Environment() as environment:
            process, address = _launch_process(
                environment, tmp_path / 'agent.json'
            )
            try:
                await environment.announce(address)
                await environment.start_task(harness.work(), worker='w2')
                process.send_signal(signal.SIGTERM)
                await environment.receive(messages.AgentLeave)
                process.send_signal(signal.SIGTERM)
                environment.backend.may_answer.set()
                ended = await environment.receive(messages.TaskEnded)
                assert ended.outcome.body == b'pages'
                log, _ = await asyncio.to_thread(process.communicate, None, 20)
            finally:
                process.kill()
                process.wait()
            assert process.returncode == 0
            records = [json.loads(line) for line in log.splitlines()]
            (started,) = [
                record
                for record in records
                if record['event'] == 'task started'
            ]
            assert (started['request_id'], started['worker']) == ('q1', 'w2')
            assert started['account'] == 'galway'
            assert started['incarnation'] > 0

    asyncio.run(scenario())


def test_heartbeat_before_announcement_is_refused():
    async def scenario():
        async with Environment() as environment:
            assert environment.early_heartbeat_response.status == 409
            assert environment.announce_response.status == 200
            heartbeat = await environment.call_agent('POST', '/v1/heartbeat')
            assert heartbeat.status == 200

    asyncio.run(scenario())


def test_malformed_announcement_reports_every_problem():
    async def scenario():
        async with Environment() as environment:
            malformed = await environment.call_agent(
                'POST', '/v1/announce', b'{"a":1}'
            )
            assert malformed.status == 400
            assert len(json.loads(malformed.body)['errors']) == 6

    asyncio.run(scenario())
