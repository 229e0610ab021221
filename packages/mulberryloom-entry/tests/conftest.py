"""Test region: entry cores, fake agents and one in-memory store."""

import dataclasses
import random

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core import store
from mulberryloom_core.version import configuration
import mulberryloom_entry as entry
import pytest
from result import Err
from result import Ok

STEP_MS = 50
DOCUMENT = {
    'name': 'entry-1',
    'region': 'eire-west',
    'data_centre': 'galway-a',
    'listen': '127.0.0.1:0',
    'operators_listen': '127.0.0.1:0',
    'peers_listen': '127.0.0.1:0',
    'secret': 'sixteen bytes or more',
    'store': ['127.0.0.1:1'],
}


def _store_unavailable() -> Err[exceptions.Error]:
    kind = exceptions.ErrorKind.STORE_UNAVAILABLE
    return Err(exceptions.Error.from_kind(kind))


class FakeStore:
    """In-memory store that can be unavailable or lose replies to writes.

    ``replies_to_lose`` is how many of the next write replies are lost, and
    ``expired_lease_ids`` holds the IDs of expired leases.
    """

    def __init__(self) -> None:
        self.entries_by_key: dict[str, store.Entry] = {}
        self.revision = 0
        self.is_down = False
        self.replies_to_lose = 0
        self.last_lease_id = 0
        self.expired_lease_ids = set()
        self.calls: list[store.StoreRequest] = []

    def call(self, request):
        self.calls.append(request)
        if self.is_down:
            return _store_unavailable()
        result = self._apply(request)
        if self.replies_to_lose and not isinstance(
            request, store.GetKey | store.ListKeys
        ):
            self.replies_to_lose -= 1
            return _store_unavailable()
        return result

    def _apply(self, request):
        if isinstance(request, store.GetKey):
            stored = self.entries_by_key.get(request.key)
            return Ok(store.Entries([stored] if stored else [], self.revision))
        if isinstance(request, store.ListKeys):
            stored = [
                stored_entry
                for key, stored_entry in sorted(self.entries_by_key.items())
                if key.startswith(request.prefix)
            ]
            return Ok(store.Entries(stored, self.revision))
        if isinstance(request, store.GrantLease):
            self.last_lease_id += 1
            return Ok(store.LeaseGranted(self.last_lease_id, request.ttl_ms))
        if isinstance(request, store.RenewLease):
            ttl_ms = (
                0 if request.lease_id in self.expired_lease_ids else 15_000
            )
            return Ok(store.LeaseGranted(request.lease_id, ttl_ms))
        self.revision += 1
        if isinstance(request, store.PutMany):
            for key, value in request.values_by_key.items():
                self._put(key, value)
        elif isinstance(request, store.DeleteMany):
            for key in request.keys:
                self.entries_by_key.pop(key, None)
        else:
            stored = self.entries_by_key.get(request.key)
            revision = stored.revision if stored else 0
            if revision != request.expected_revision:
                kind = exceptions.ErrorKind.STORE_CONFLICT
                return Err(exceptions.Error.from_kind(kind))
            if isinstance(request, store.DeleteKey):
                self.entries_by_key.pop(request.key, None)
            else:
                self._put(request.key, request.value)
        return Ok(store.Written(self.revision))

    def changed_entries(self, watch):
        """Return the entries that a watch has to report."""
        return [
            stored
            for key, stored in self.entries_by_key.items()
            if key.startswith(watch.prefix)
            and stored.revision > watch.after_revision
        ]

    def _put(self, key, value):
        self.entries_by_key[key] = store.Entry(key, value, self.revision)


@dataclasses.dataclass
class FakeAgent:
    """Agent whose tasks end ``run_ms`` after their start.

    :param refusals: error kinds with which it refuses its next tasks.
    :param failures: how many of its next tasks fail.
    :param is_silent: whether messages to and from it are dropped.
    :param run_ids: request IDs of all runs, kept over restarts.
    :param started: request IDs of the runs of this incarnation.
    :param running: work, attempt, end time and sender by request ID.
    :param prepared: request IDs of gangs in which it is not coordinator.
    :param forbidden: request IDs that it must not start any more.
    :param ended: message of the end by request ID and attempt.
    """

    worker: str
    incarnation: int = 1
    run_ms: int = 100
    slots: int = 4
    refusals: list = dataclasses.field(default_factory=list)
    failures: int = 0
    is_silent: bool = False
    is_alive: bool = True
    run_ids: list = dataclasses.field(default_factory=list)
    started: set = dataclasses.field(default_factory=set)
    running: dict = dataclasses.field(default_factory=dict)
    prepared: list = dataclasses.field(default_factory=list)
    forbidden: set = dataclasses.field(default_factory=set)
    ended: dict = dataclasses.field(default_factory=dict)

    def restart(self):
        """Start a new incarnation; only the list of runs is kept."""
        self.incarnation += 1
        for records in (self.started, self.running, self.forbidden):
            records.clear()
        self.ended.clear()

    def state(self) -> messages.WorkerState:
        return messages.WorkerState(
            self.worker,
            self.incarnation,
            'galway-a',
            'rack-1',
            '127.0.0.1:9',
            ['rental'],
            messages.BackendHealth.HEALTHY,
            shapes.Resources(self.slots, 8, 64, 64_000),
            [self._task_state(*run) for run in self.running.values()],
        )

    def _task_state(
        self, work, attempt, _until_ms, _sender
    ) -> messages.TaskState:
        return messages.TaskState(
            work.request_id,
            attempt,
            work.account,
            work.service,
            work.method,
            work.request_class,
            messages.TaskPhase.RUNNING,
            work.demand.member(work.demand.accelerators),
            [],
            work.is_checkpointable,
            work.is_idempotent,
            False,
            work.declared_run_ms,
            0,
            0,
        )

    def handle(self, sender, message, now):
        """Handle a message of an entry; return the replies."""
        if isinstance(message, messages.ForbidTask):
            has_started = message.request_id in self.started
            if not has_started:
                self.forbidden.add(message.request_id)
            return [messages.TaskForbidden(message.request_id, has_started)]
        if isinstance(message, messages.CancelTask):
            return self._cancel(message)
        if isinstance(message, messages.StartTask):
            return self._start(sender, message, now)
        if isinstance(message, messages.PrepareGang):
            return self._prepare(sender, message, now)
        return []

    def _prepare(self, sender, message, now):
        """Run a gang at its coordinator; record it at other members."""
        if message.member != 0:
            self.prepared.append(message.work.request_id)
            return []
        start = messages.StartTask(
            message.work,
            message.attempt,
            message.members[0].incarnation,
            message.epoch,
            message.is_claimed,
        )
        return self._start(sender, start, now)

    def _cancel(self, message):
        run = self.running.pop(message.request_id, None)
        if run is None:
            return []
        kind = exceptions.ErrorKind.CANCELLED
        return [
            self._record_end(run, messages.Outcome(error=_make_error(kind)))
        ]

    def _start(self, sender, message, now):
        work = message.work
        key = (work.request_id, message.attempt)
        if key in self.ended:
            return [self.ended[key]]
        if work.request_id in self.running:
            run = self.running[work.request_id]
            self.running[work.request_id] = (*run[:3], sender)
            return [messages.TaskStarted(*key)]
        refusal = self._refusal_kind(message)
        if refusal is not None:
            outcome = messages.Outcome(error=_make_error(refusal))
            self.ended[key] = messages.TaskEnded(*key, outcome)
            return [self.ended[key]]
        self.run_ids.append(work.request_id)
        self.started.add(work.request_id)
        until_ms = now + self.run_ms
        run = (work, message.attempt, until_ms, sender)
        self.running[work.request_id] = run
        return [messages.TaskStarted(*key)]

    def _refusal_kind(self, message):
        kinds = exceptions.ErrorKind
        work = message.work
        if message.incarnation != self.incarnation:
            return kinds.STALE_INCARNATION
        if work.request_id in self.forbidden:
            return kinds.CLAIM_TAKEN
        if not work.is_idempotent:
            assert message.is_claimed
        if self.refusals:
            return self.refusals.pop(0)
        if len(self.running) >= self.slots:
            return kinds.NO_CAPACITY
        return None

    def _record_end(self, run, outcome):
        work, attempt, _until_ms, _sender = run
        key = (work.request_id, attempt)
        self.ended[key] = messages.TaskEnded(*key, outcome)
        return self.ended[key]

    def take_ended(self, now):
        """End the tasks that are due; return pairs of sender and message."""
        ends = []
        for request_id, run in list(self.running.items()):
            if run[2] > now:
                continue
            del self.running[request_id]
            outcome = messages.Outcome(
                body=b'answer to ' + run[0].body, run_ms=self.run_ms
            )
            if self.failures:
                self.failures -= 1
                kind = exceptions.ErrorKind.BACKEND_FAILED
                ran = exceptions.Ran.YES
                outcome = messages.Outcome(error=_make_error(kind, ran))
            ends.append((run[3], self._record_end(run, outcome)))
        return ends


def _make_error(kind, ran=exceptions.Ran.NO):
    return exceptions.Error.from_kind(kind, ran=ran)


def make_configuration(version=1, **account_fields):
    """Return a configuration with one account and one service."""
    fields = {'token_sha256': '0' * 64, 'guarantees': [], **account_fields}
    account = configuration.ClientAccount('accra', 1, **fields)
    demand = shapes.Demand()
    interactive = shapes.RequestClass.INTERACTIVE
    methods = [
        configuration.Method('fit', interactive, demand),
        configuration.Method('review', interactive, demand, False),
        configuration.Method('count', shapes.RequestClass.BATCH, demand),
    ]
    service = configuration.Service(
        'rental',
        1,
        ['accra'],
        {method.name: method for method in methods},
        {},
    )
    rack = configuration.Rack(
        'rack-1', 1, 'galway-a', 3, shapes.Resources(8, 8, 64, 64_000)
    )
    return configuration.Configuration(
        version,
        1,
        {'accra': account},
        {'rental': service},
        {'rack-1': rack},
        {},
    )


class Region:
    """Entries, agents and a store with immediate message delivery."""

    def __init__(self, entries=1, agents=2, seed=1, **account_fields):
        self.now = 1_000
        self.store = FakeStore()
        self.cores = {}
        self.answers = {}
        self.runs_by_call = {}
        self.drained_entries = []
        self.watches = []
        self.sessions = []
        self._last_call_id = 0
        self._seed = seed
        self.configuration = make_configuration(**account_fields)
        self.agents = {
            f'w{index}': FakeAgent(f'w{index}') for index in range(agents)
        }
        for index in range(entries):
            self.add_entry(f'entry-{index + 1}', entries - 1)

    def add_entry(
        self,
        name,
        other_count=0,
        incarnation=1,
        configuration='',
        is_connected=True,
    ):
        settings = entry.EntrySettings.from_document(
            {
                **DOCUMENT,
                'name': name,
                'entries': ['127.0.0.1:2'] * other_count,
            }
        )
        rng = random.Random(f'{self._seed}{name}')
        core = entry.EntryCore.from_settings(settings, incarnation, rng)
        if configuration is not None and self.configuration.version:
            core.configure(self.configuration, self.now)
        self.cores[name] = core
        for other in list(self.cores):
            if other != name and is_connected:
                self.sessions.append({name, other})
                self._connect(name, other)
                self._connect(other, name)
        return core

    def _connect(self, name, other):
        peer = identity.PeerId(identity.Role.ENTRY, other, 1)
        self.deliver(name, effects.PeerConnected(peer))

    def _open_session(self, name, effect):
        """Open a session if an address was given and none is open."""
        if effect.address and effect.name in self.cores:
            pair = {name, effect.name}
            if pair not in self.sessions:
                self.sessions.append(pair)
                self._connect(name, effect.name)
                self._connect(effect.name, name)

    def kill_entry(self, name):
        del self.cores[name]
        peer = identity.PeerId(identity.Role.ENTRY, name, 1)
        for other in self.cores:
            self.deliver(other, effects.PeerLost(peer))

    def deliver(self, name, event):
        if name not in self.cores:
            return
        for effect in self.cores[name].handle(event, self.now):
            self._carry_out(name, effect)

    def _carry_out(self, name, effect):
        if isinstance(effect, effects.CallStore):
            if isinstance(effect.request, store.WatchPrefix):
                until_ms = self.now + effect.request.timeout_ms
                self.watches.append((name, effect, until_ms))
                return
            result = self.store.call(effect.request)
            self.deliver(name, effects.StoreDone(effect.call_id, result))
        elif isinstance(effect, entry.Answer):
            assert effect.call_id not in self.answers
            self.answers[effect.call_id] = effect.reply
            self.runs_by_call[effect.call_id] = len(self.runs())
        elif isinstance(effect, entry.Drained):
            self.drained_entries.append(name)
        elif effect.role is identity.Role.ENTRY:
            self._open_session(name, effect)
            if {name, effect.name} not in self.sessions:
                return
            peer = identity.PeerId(identity.Role.ENTRY, name, 1)
            self.deliver(effect.name, effects.Received(peer, effect.message))
        else:
            self._deliver_to_agent(name, effect)

    def _deliver_to_agent(self, name, effect):
        agent = self.agents.get(effect.name)
        if agent is None or not agent.is_alive or agent.is_silent:
            return
        for answer in agent.handle(name, effect.message, self.now):
            self._deliver_from_agent(agent, name, answer)

    def _deliver_from_agent(self, agent, name, message):
        peer = identity.PeerId(
            identity.Role.AGENT, agent.worker, agent.incarnation
        )
        self.deliver(name, effects.Received(peer, message))

    def run(self, by_ms=STEP_MS, step_ms=STEP_MS):
        """Advance the time; step agents, watches and entries.

        :param by_ms: how far the time is advanced.
        :param step_ms: duration of one step.
        """
        until_ms = self.now + by_ms
        while self.now < until_ms:
            self.now += step_ms
            for agent in self.agents.values():
                if agent.is_alive and not agent.is_silent:
                    self._step_agent(agent)
            self._reply_to_watches()
            for name in list(self.cores):
                self.deliver(name, effects.Tick())

    def _reply_to_watches(self):
        watches = self.watches
        self.watches = []
        for name, effect, until_ms in watches:
            changed = self.store.changed_entries(effect.request)
            if self.store.is_down:
                self.deliver(
                    name,
                    effects.StoreDone(effect.call_id, _store_unavailable()),
                )
            elif changed or self.now >= until_ms:
                reply = Ok(store.Entries(changed, self.store.revision))
                self.deliver(name, effects.StoreDone(effect.call_id, reply))
            else:
                self.watches.append((name, effect, until_ms))

    def _step_agent(self, agent):
        for sender, ended in agent.take_ended(self.now):
            self._deliver_from_agent(agent, sender, ended)
        if self.now % 500:
            return
        heartbeat = messages.AgentHeartbeat(
            agent.worker, agent.incarnation, 1, agent.state()
        )
        for name in list(self.cores):
            self._deliver_from_agent(agent, name, heartbeat)

    def submit(self, name='entry-1', method='fit', **options):
        """Submit a request; return the ID of the call."""
        self._last_call_id += 1
        key = options.pop('key', '')
        wants_async = options.pop('wants_async', False)
        service = self.configuration.services_by_name['rental']
        method_settings = service.methods_by_name[method]
        fields = {
            'request_id': '',
            'account': 'accra',
            'service': 'rental',
            'method': method,
            'request_class': method_settings.request_class,
            'demand': method_settings.demand,
            'body': b'size 42',
            'is_idempotent': method_settings.is_idempotent,
            'deadline_ms': 30_000,
        }
        work = messages.Work(**{**fields, **options})
        event = entry.RequestSubmitted(
            self._last_call_id, work, wants_async, key
        )
        self.deliver(name, event)
        return self._last_call_id

    def submit_input(self, call_spec):
        """Pass an entry an input with a new call ID; return the ID.

        :param call_spec: name of the entry, and a function that builds the
            input from the call ID.
        """
        self._last_call_id += 1
        name, build = call_spec
        self.deliver(name, build(self._last_call_id))
        return self._last_call_id

    def runs(self):
        """Return the request IDs of all runs of all agents."""
        return [
            request_id
            for agent in self.agents.values()
            for request_id in agent.run_ids
        ]


@pytest.fixture(scope='session')
def make_region():
    """Return a builder of regions whose entries know all agents."""

    def build(**options):
        region = Region(**options)
        region.run(7_000)
        return region

    return build


@pytest.fixture(scope='session')
def document():
    """Settings document of an entry that uses any free ports."""
    return dict(DOCUMENT)
