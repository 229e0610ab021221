"""Tests of the entry process over loopback, with one fake agent."""

import asyncio
import hashlib
import json

from mulberryloom_core import clock
from mulberryloom_core import connection
from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import store
from mulberryloom_core.version import configuration
import pytest
from result import Ok

from mulberryloom_entry.process import runner
from mulberryloom_entry.process import settings as entry_settings

SECRET = 'sixteen bytes or more'
TOKEN = 'counter-token'
OPERATOR_TOKEN = 'operator-token'


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


class MemoryStore:
    """Store client that answers from the fake store of the test region."""

    def __init__(self, fake_store):
        self._fake_store = fake_store

    async def call(self, request):
        if isinstance(request, store.WatchPrefix):
            await asyncio.sleep(request.timeout_ms / 1_000)
            return Ok(store.Entries([], self._fake_store.revision))
        return self._fake_store.call(request)


class NodeAgent:
    """Connects the fake agent of the test region through a real node."""

    def __init__(self, fake_agent):
        self._fake_agent = fake_agent
        self._clock = clock.SystemClock()
        me = identity.PeerId(
            identity.Role.AGENT, fake_agent.worker, fake_agent.incarnation
        )
        self._node = connection.Node.from_identity(
            me, SECRET.encode(), self._clock
        )

    async def run(self, address):
        self._node.connect(identity.Address.from_text(address))
        await asyncio.gather(self._receive(), self._tick())

    async def _receive(self):
        while True:
            event = await self._node.receive()
            if not isinstance(event, effects.Received):
                continue
            now = self._clock.now_ms()
            sender = event.peer.name
            for answer in self._fake_agent.handle(sender, event.message, now):
                self._send(sender, answer)

    async def _tick(self):
        while True:
            now = self._clock.now_ms()
            for sender, ended in self._fake_agent.take_ended(now):
                self._send(sender, ended)
            heartbeat = messages.AgentHeartbeat(
                self._fake_agent.worker, 1, 1, self._fake_agent.state()
            )
            self._send('entry-1', heartbeat)
            await asyncio.sleep(0.05)

    def _send(self, entry, message):
        role = identity.Role.ENTRY
        self._node.send(effects.Send(role, entry, message))

    async def close(self):
        await self._node.close()


class ProcessHarness:
    """Runs one entry process with one agent and an HTTP client."""

    def __init__(self, region, document):
        settings_document = {
            **document,
            'balancer_notice_ms': 100,
            'operator_bootstrap_sha256': digest(OPERATOR_TOKEN),
        }
        self.settings = entry_settings.EntrySettings.from_document(
            settings_document
        )
        self.store = region.store
        self.fake_agent = region.agents['w0']
        self.configuration = region.configuration
        self.process = runner.EntryProcess.from_settings(
            self.settings, store=MemoryStore(region.store)
        )
        self.client = http_client.HttpClient.from_limits()

    async def __aenter__(self):
        self.task = asyncio.create_task(self.process.run())
        await self.process.wait_started()
        core = self.process.core
        core.configure(self.configuration, self.process.now_ms())
        self.agent = NodeAgent(self.fake_agent)
        address = self.process.settings.peers_listen
        self.agent_task = asyncio.create_task(self.agent.run(address))
        while not core.context.membership.workers_by_name:
            await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *_):
        self.agent_task.cancel()
        await self.agent.close()
        await self.client.close()
        self.process.request_stop()
        async with asyncio.timeout(10):
            await self.task

    async def call(self, method, path, body=b'', token=TOKEN, **headers):
        headers_by_name = {
            **({'authorization': f'Bearer {token}'} if token else {}),
            **{name.replace('_', '-'): v for name, v in headers.items()},
        }
        request = http_types.HttpRequest(
            method, path, '', headers_by_name, body
        )
        is_operator = token == OPERATOR_TOKEN
        listening = self.process.settings
        address = identity.Address.from_text(
            listening.operators_listen if is_operator else listening.listen
        )
        answer = await self.client.call(address, request, 10_000)
        return answer.unwrap()


@pytest.fixture
def region(make_region):
    return make_region(agents=1, token_sha256=digest(TOKEN))


FIT = '/v1/services/rental/fit'
COUNT = '/v1/services/rental/count'


def test_process_answers_request_with_agent_outcome(region, document):
    async def scenario():
        async with ProcessHarness(region, document) as harness:
            answer = await harness.call('POST', FIT, b'boots')
            assert answer.status == 200
            assert answer.body == b'answer to boots'
            assert answer.headers_by_name['mulberryloom-request-id']

    asyncio.run(scenario())


def test_process_refuses_wrong_token(region, document):
    async def scenario():
        async with ProcessHarness(region, document) as harness:
            for token in ('', 'wrong'):
                answer = await harness.call('POST', FIT, b'', token=token)
                assert answer.status == 401
                assert json.loads(answer.body)['ran'] == 'no'
            assert harness.fake_agent.run_ids == []

    asyncio.run(scenario())


def test_process_without_configuration_asks_to_retry_later(region, document):
    async def scenario():
        async with ProcessHarness(region, document) as harness:
            empty = configuration.Configuration.empty()
            harness.process.core.configure(empty, harness.process.now_ms())
            answer = await harness.call('POST', FIT)
            assert answer.status == 503
            assert answer.headers_by_name['retry-after']
            assert json.loads(answer.body)['ran'] == 'no'
            ready = await harness.call('GET', '/ready')
            assert ready.status == 503

    asyncio.run(scenario())


def test_asynchronous_request_outcome_is_fetched_later(region, document):
    async def scenario():
        async with ProcessHarness(region, document) as harness:
            answer = await harness.call('POST', COUNT, prefer='respond-async')
            assert answer.status == 202
            location = answer.headers_by_name['location']
            for _ in range(300):
                answer = await harness.call('GET', location)
                if answer.status != 202:
                    break
                await asyncio.sleep(0.05)
            assert answer.status == 200
            assert answer.body == b'answer to '

    asyncio.run(scenario())


def test_process_refuses_malformed_demand_and_unknown_method(region, document):
    async def scenario():
        async with ProcessHarness(region, document) as harness:
            for text in ('accelerators', 'adjacency=near', 'wings=2'):
                answer = await harness.call(
                    'POST', FIT, mulberryloom_demand=text
                )
                assert answer.status == 400
                problem = json.loads(answer.body)
                assert problem['kind'] == 'malformed-request'
            answer = await harness.call('POST', '/v1/services/rental/fly')
            assert answer.status == 404

    asyncio.run(scenario())


def test_operator_listener_serves_status_and_metrics(region, document):
    async def scenario():
        async with ProcessHarness(region, document) as harness:
            answer = await harness.call(
                'GET', '/v1/status', token=OPERATOR_TOKEN
            )
            status = json.loads(answer.body)
            assert status['name'] == 'entry-1'
            assert [worker['name'] for worker in status['workers']] == ['w0']
            answer = await harness.call(
                'GET', '/v1/burn', token=OPERATOR_TOKEN
            )
            assert answer.status == 200
            answer = await harness.call(
                'GET', '/metrics', token=OPERATOR_TOKEN
            )
            assert b'mulberryloom_live_workers' in answer.body

    asyncio.run(scenario())


def test_stop_answers_open_requests(region, document):
    region.agents['w0'].run_ms = 700

    async def scenario():
        async with ProcessHarness(region, document) as harness:
            open_call = asyncio.create_task(harness.call('POST', FIT, b'one'))
            await asyncio.sleep(0.2)
            harness.process.request_stop()
            harness.process.request_stop()
            await asyncio.sleep(0.05)
            ready = await harness.call('GET', '/ready')
            assert ready.status == 503
            answer = await open_call
            assert answer.body == b'answer to one'
            async with asyncio.timeout(5):
                await asyncio.shield(harness.task)

    asyncio.run(scenario())
