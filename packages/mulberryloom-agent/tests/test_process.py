"""Tests of the process on loopback, with an entry's node and a backend."""

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


class Backend:
    """Backend server that answers when it is told to."""

    def __init__(self):
        self.requests = []
        self.may_answer = asyncio.Event()
        self.server = http_server.HttpServer.from_handler(self._answer)

    async def _answer(self, request):
        self.requests.append(request)
        await self.may_answer.wait()
        return http_types.HttpResponse(200, 'text/plain', request.body)


class Setting:
    """An agent, an entry's node and a backend server on loopback."""

    async def __aenter__(self):
        self.entry = nodes.Node.from_identity(
            harness.ENTRY, SECRET, clock.SystemClock()
        )
        self.entry_address = await self.entry.listen(ANY)
        self.backend = Backend()
        self.backend_address = await self.backend.server.listen(ANY)
        self.control = Control()
        self.process = runner.AgentProcess.from_settings(
            harness.agent_settings(port=0, entries=[str(self.entry_address)]),
            control=self.control,
        )
        self.run = asyncio.create_task(self.process.run())
        self.client = http_client.HttpClient.from_limits()
        while not self.process.loopback_addresses:
            await asyncio.sleep(0.01)
        self.early = await self.ask('POST', '/v1/heartbeat')
        address = self.process.loopback_addresses[0]
        self.announced = await self.announce(address)
        return self

    async def announce(self, address):
        """Announce the backend server to an agent, once it listens."""
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
        await asyncio.wait_for(self.run, TIMEOUT_S)
        await self.client.close()
        await self.entry.close()
        await self.backend.server.drain()

    async def ask(self, method, path, body=b''):
        """Call the agent's loopback HTTP; return the response."""
        address = self.process.loopback_addresses[0]
        request = http_types.HttpRequest(method, path, body=body)
        result = await self.client.call(address, request, 5_000)
        return result.unwrap()

    async def next(self, kind):
        """Return the next message of a type that the entry receives."""
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

    async def start(self, job, worker='w1'):
        """Start a task, once the agent has its backend server."""
        heartbeat = await self.next(messages.AgentHeartbeat)
        while heartbeat.worker != worker or not _is_served(heartbeat):
            heartbeat = await self.next(messages.AgentHeartbeat)
        start = messages.StartTask(job, 1, heartbeat.incarnation)
        self.send(start, worker)
        await self.next(messages.TaskStarted)


def _is_served(heartbeat):
    return heartbeat.state is not None and bool(heartbeat.state.services)


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Control(controls.NoControl):
    """Worker control that notes what it is asked."""

    def __init__(self):
        self.stopped = []

    async def stop(self, task):
        """Note a stop."""
        self.stopped.append(task)
        return True


def test_a_request_reaches_the_backend_and_its_answer_comes_back_whole():
    async def scenario():
        async with Setting() as setting:
            setting.backend.may_answer.set()
            body = bytes(range(256)) * 4_000
            await setting.start(harness.work(accelerators=2, body=body))
            ended = await setting.next(messages.TaskEnded)
            assert ended.outcome.body == body
            (request,) = setting.backend.requests
            headers = request.headers_by_name
            assert request.path == '/typesetting/edition'
            assert headers['mulberryloom-request-id'] == 'q1'
            assert headers['mulberryloom-accelerators'] == '0,1'
            assert headers['mulberryloom-member'] == '0/1'
            metrics = await setting.ask('GET', '/metrics')
            lines = metrics.body.decode().splitlines()
            assert 'mulberryloom_agent_tasks_started_total 1' in lines
            assert 'mulberryloom_agent_free{resource="slots"} 8' in lines

    asyncio.run(scenario())


def test_a_stop_lets_the_open_request_end():
    async def scenario():
        async with Setting() as setting:
            await setting.start(harness.work())
            setting.process.request_stop()
            setting.process.request_stop()
            await setting.next(messages.AgentLeave)
            status = await setting.ask('GET', '/v1/status')
            tasks = json.loads(status.body)['tasks']
            assert [task['request_id'] for task in tasks] == ['q1']
            setting.backend.may_answer.set()
            ended = await setting.next(messages.TaskEnded)
            assert ended.outcome.body == b'pages'
            await asyncio.wait_for(setting.run, TIMEOUT_S)

    asyncio.run(scenario())


def test_cancelling_stops_the_task_by_its_platform_name():
    async def scenario():
        async with Setting() as setting:
            await setting.start(harness.work())
            setting.send(messages.CancelTask('q1', 1))
            ended = await setting.next(messages.TaskEnded)
            assert ended.outcome.error.kind.value == 'cancelled'
            assert setting.control.stopped == ['q1.1.0']

    asyncio.run(scenario())


def _launch(setting, path):
    """Start an agent as a process of its own."""
    document = {
        'worker': 'w2',
        'data_centre': 'galway-a',
        'rack': 'r1',
        'listen': '127.0.0.1:0',
        'backend_listen': f'127.0.0.1:{_free_port()}',
        'entries': [str(setting.entry_address)],
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


def test_a_signalled_process_ends_its_task_and_exits(tmp_path):
    async def scenario():
        async with Setting() as setting:
            process, address = _launch(setting, tmp_path / 'agent.json')
            try:
                await setting.announce(address)
                await setting.start(harness.work(), worker='w2')
                process.send_signal(signal.SIGTERM)
                await setting.next(messages.AgentLeave)
                process.send_signal(signal.SIGTERM)
                setting.backend.may_answer.set()
                ended = await setting.next(messages.TaskEnded)
                assert ended.outcome.body == b'pages'
                log, _ = await asyncio.to_thread(process.communicate, None, 20)
            finally:
                process.kill()
                process.wait()
            assert process.returncode == 0
            lines = [json.loads(line) for line in log.splitlines()]
            (started,) = [x for x in lines if x['event'] == 'task started']
            assert (started['request_id'], started['worker']) == ('q1', 'w2')
            assert started['account'] == 'galway'
            assert started['incarnation'] > 0

    asyncio.run(scenario())


def test_a_heartbeat_before_the_announcement_is_refused():
    async def scenario():
        async with Setting() as setting:
            assert setting.early.status == 409
            assert setting.announced.status == 200
            heartbeat = await setting.ask('POST', '/v1/heartbeat')
            assert heartbeat.status == 200

    asyncio.run(scenario())


def test_every_mistake_of_an_announcement_is_told():
    async def scenario():
        async with Setting() as setting:
            malformed = await setting.ask('POST', '/v1/announce', b'{"a":1}')
            assert malformed.status == 400
            assert len(json.loads(malformed.body)['errors']) == 6

    asyncio.run(scenario())
