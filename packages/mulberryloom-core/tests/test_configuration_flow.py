"""Stateful tests of writers and followers with an unreliable store.

The oracle is the set of accepted tickets with their content.
"""

import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from result import Err
from result import Ok

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import store
from mulberryloom_core.version import document
from mulberryloom_core.version import follower as follower_
from mulberryloom_core.version import ticket
from mulberryloom_core.version import writer as writer_

KIND = exceptions.ErrorKind
NAMES = ['a', 'b', 'c']
#: Order in which two entries complete store calls; empty for none.
SCHEDULES = strategies.one_of(
    strategies.just([]),
    strategies.lists(strategies.integers(0, 1), min_size=8, max_size=16),
)
UNAVAILABLE = Err(exceptions.Error.from_kind(KIND.STORE_UNAVAILABLE))
CONFLICT = Err(exceptions.Error.from_kind(KIND.STORE_CONFLICT))


class OneKeyStore:
    """Store of the configuration document that keeps all its versions."""

    def __init__(self):
        self.revision = 1
        self.entry = None
        self.history = [None]
        self.failures = 0

    def call(self, request):
        """Execute a request; a watch returns at once."""
        if isinstance(request, store.PutKey):
            current = self.entry.revision if self.entry else 0
            if request.expected_revision != current:
                return CONFLICT
            self.revision += 1
            self.entry = store.Entry(request.key, request.value, self.revision)
            self.history.append(self.entry)
            return Ok(store.Written(self.revision))
        entries = [self.entry] if self.entry else []
        if isinstance(request, store.WatchPrefix):
            after = request.after_revision
            entries = [item for item in entries if item.revision > after]
        return Ok(store.Entries(entries, self.revision))

    def document(self):
        """Return the stored document."""
        if self.entry is None:
            return document.Document.empty()
        return document.decode(self.entry.value).unwrap()

    def roll_back(self, steps):
        """Restore the value from before the last writes.

        :param steps: number of writes that are lost.
        """
        self.entry = self.history[max(0, len(self.history) - 1 - steps)]
        self.history = self.history[: max(1, len(self.history) - steps)]


class Process:
    """An entry, which uses the store, or an agent, which does not.

    :param calls: store calls that have not been completed.
    :param highest_version: highest version of the configuration so far.
    """

    def __init__(self, peer, uses_store):
        call_ids = effects.CallIds()
        self.peer = peer
        self.follower = follower_.Follower.from_process(
            call_ids, uses_store=uses_store
        )
        self.writer = writer_.Writer.from_process(call_ids, self.follower)
        self.calls = []
        self.ticket_by_submission = {}
        self.highest_version = 0


class Flow(stateful.RuleBasedStateMachine):
    """Concurrent operators, lost replies and outages of a durable store."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.store = OneKeyStore()
        self.processes = [
            Process(
                identity.PeerId(identity.Role.ENTRY, f'e{index}', 1),
                uses_store=True,
            )
            for index in range(2)
        ]
        self.processes.append(
            Process(
                identity.PeerId(identity.Role.AGENT, 'w', 1), uses_store=False
            )
        )
        self.last_number = 0
        self.accepted_by_number = {}
        self.versions = {}

    def perform(self, process, actions):
        """Perform the effects that a core returned."""
        for action in actions:
            if isinstance(action, effects.CallStore):
                process.calls.append(action)
            elif isinstance(action, effects.Send):
                self.deliver(process, action)
            else:
                self.record_result(process, action)

    def deliver(self, sender, send):
        """Deliver a message to its receiver."""
        for process in self.processes:
            if process.peer.name == send.name:
                self.perform(
                    process,
                    process.follower.on_message(
                        sender.peer, send.message, self.now_ms
                    ),
                )

    def record_result(self, process, done):
        """Record the result of a ticket; check it against earlier ones."""
        item = process.ticket_by_submission.pop(done.submission)
        if done.result.is_ok():
            self.check_in_force(process, item)
            accepted = self.accepted_by_number.setdefault(item.number, item)
            assert accepted.sha256 == item.sha256
            applied = done.result.unwrap()
            version = self.versions.setdefault(item.number, applied.version)
            assert version == applied.version
            return
        error = done.result.unwrap_err()
        if error.ran is exceptions.Ran.NO:
            stored = self.store.document().find_accepted_ticket(item.number)
            assert stored is None or stored.sha256 != item.sha256

    def check_in_force(self, process, item):
        """Check that a process has the objects of a ticket it accepted."""
        numbers = process.follower.document.ticket_numbers('accounts')
        for name in item.objects_by_kind['accounts']:
            assert numbers[name] >= item.number

    def answer(self, process, action, result):
        """Pass the result of a store call to the core that made it."""
        for core in (process.follower, process.writer):
            if core.is_pending_call(action.call_id):
                self.perform(
                    process,
                    core.on_store_done(action.call_id, result, self.now_ms),
                )
                return

    def tick(self, process):
        """Send a tick to the cores of one process."""
        for core in (process.follower, process.writer):
            self.perform(process, core.on_tick(self.now_ms))

    @stateful.rule(
        index=strategies.integers(0, 1),
        step=strategies.sampled_from([-2, -1, 0, 1, 1, 2]),
        weights=strategies.dictionaries(
            strategies.sampled_from(NAMES),
            strategies.sampled_from([None, 1, 2]),
            min_size=1,
        ),
        schedule=SCHEDULES,
    )
    def submit(self, index, step, weights, schedule):
        number = max(1, self.last_number + step)
        self.last_number = max(self.last_number, number)
        accounts = {
            name: weight
            and {
                'token_sha256': name * 64,
                'guarantees': [],
                'weight': weight,
            }
            for name, weight in weights.items()
        }
        text = json.dumps({'number': number, 'accounts': accounts})
        process = self.processes[index]
        item = ticket.parse(text).unwrap()
        submission = process.writer.submit(item, self.now_ms)
        process.ticket_by_submission[submission] = item
        if schedule:
            self.run_entries(schedule, lost_at=None)

    @stateful.rule(by_ms=strategies.sampled_from([100, 600, 600, 12_000]))
    def advance_time(self, by_ms):
        self.now_ms += by_ms
        for process in self.processes:
            self.tick(process)

    @stateful.rule(
        index=strategies.integers(0, 1),
        call_outcome=strategies.sampled_from(['done', 'lost', 'failed']),
    )
    def complete_store_call(self, index, call_outcome):
        process = self.processes[index]
        if not process.calls:
            return
        action = process.calls.pop(0)
        if self.store.failures or call_outcome == 'failed':
            self.store.failures = max(0, self.store.failures - 1)
            self.answer(process, action, UNAVAILABLE)
            return
        result = self.store.call(action.request)
        self.answer(
            process, action, UNAVAILABLE if call_outcome == 'lost' else result
        )

    @stateful.rule(schedule=SCHEDULES, lost_at=strategies.integers(0, 30))
    def run_entries(self, schedule, lost_at):
        """Complete store calls of the entries in the scheduled order.

        :param lost_at: position in the schedule of a lost reply.
        """
        self.now_ms += 600
        for process in self.processes:
            self.tick(process)
        for position, index in enumerate(schedule):
            call_outcome = 'lost' if position == lost_at else 'done'
            self.complete_store_call(index, call_outcome)

    @stateful.rule(failures=strategies.integers(1, 8))
    def fail_store(self, failures):
        self.store.failures = failures

    @stateful.rule(
        sender=strategies.integers(0, 2), receiver=strategies.integers(0, 2)
    )
    def announce_version(self, sender, receiver):
        if sender == receiver:
            return
        peer = self.processes[sender]
        process = self.processes[receiver]
        self.perform(
            process,
            process.follower.on_peer_version(
                peer.peer, peer.follower.configuration.version, self.now_ms
            ),
        )

    @stateful.invariant()
    def version_never_decreases_and_tickets_are_whole(self):
        for process in self.processes:
            config = process.follower.configuration
            assert config.version >= process.highest_version
            process.highest_version = config.version
            self.check_tickets_whole(process.follower.document)

    def check_tickets_whole(self, in_force):
        """Check that each ticket of a document is applied in full."""
        numbers = in_force.ticket_numbers('accounts')
        for recent in in_force.recent_tickets:
            item = self.accepted_by_number.get(recent.number)
            if item is None or item.sha256 != recent.sha256:
                continue
            for name, state in item.objects_by_kind['accounts'].items():
                assert numbers[name] >= item.number
                if numbers[name] == item.number:
                    assert in_force.objects('accounts').get(name) == state

    def teardown(self):
        """Check that all processes converge once the store works."""
        self.store.failures = 0
        self.now_ms += follower_.REREAD_INTERVAL_MS
        for _ in range(20):
            self.now_ms += 600
            for index, process in enumerate(self.processes):
                self.tick(process)
                self.announce_version(0, index)
                self.announce_version(1, index)
                for _ in range(4):
                    if index < 2:
                        self.complete_store_call(index, 'done')
        documents = [process.follower.document for process in self.processes]
        texts = {document.encode(item) for item in documents}
        if self.store.entry is not None or self.accepted_by_number:
            texts.add(self.store.entry.value)
        assert len(texts) == 1
        assert all(not item.ticket_by_submission for item in self.processes)
        numbers = documents[0].ticket_numbers('accounts')
        for item in self.accepted_by_number.values():
            for name in item.objects_by_kind['accounts']:
                assert numbers[name] >= item.number
        self.check_tickets_whole(documents[0])


class RolledBackFlow(Flow):
    """The same with a store that is restored from an older state.

    Diverged documents can then hold different tickets of the same number.
    Each object keeps the state of the highest number, and no version
    decreases.
    """

    @stateful.precondition(lambda self: len(self.store.history) > 2)
    @stateful.rule(steps=strategies.integers(1, 3))
    def roll_back(self, steps):
        self.store.roll_back(steps)

    def record_result(self, process, done):
        item = process.ticket_by_submission.pop(done.submission)
        if done.result.is_ok():
            self.check_in_force(process, item)
            self.accepted_by_number.setdefault(item.number, item)

    def check_tickets_whole(self, in_force):
        numbers = in_force.ticket_numbers('accounts')
        for recent in in_force.recent_tickets:
            item = self.accepted_by_number.get(recent.number)
            if item is None or item.sha256 != recent.sha256:
                continue
            for name in item.objects_by_kind['accounts']:
                assert numbers[name] >= item.number


SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestFlow = Flow.TestCase
TestFlow.settings = SETTINGS
TestRolledBackFlow = RolledBackFlow.TestCase
TestRolledBackFlow.settings = SETTINGS


PEER = identity.PeerId(identity.Role.ENTRY, 'e1', 1)


def test_follower_of_agent_fetches_higher_version_once_per_timeout():
    agent = follower_.Follower.from_process(
        effects.CallIds(), uses_store=False
    )
    assert agent.on_tick(0) == []
    [send] = agent.on_peer_version(PEER, 3, 0)
    assert send.message == messages.FetchConfiguration(0)
    assert agent.on_peer_version(PEER, 3, 10) == []
    assert agent.on_peer_version(PEER, 3, 1_000) == [send]


def test_writer_fails_ticket_after_timeout_of_store():
    call_ids = effects.CallIds()
    follower = follower_.Follower.from_process(call_ids)
    writer = writer_.Writer.from_process(call_ids, follower)
    text = json.dumps({'number': 1, 'services': {'s': None}})
    writer.submit(ticket.parse(text).unwrap(), 0)
    [call] = writer.on_tick(0)
    assert writer.on_store_done(call.call_id, UNAVAILABLE, 0) == []
    [done] = writer.on_tick(writer_.TICKET_TIMEOUT_MS)
    error = done.result.unwrap_err()
    assert error.kind is KIND.STORE_UNAVAILABLE
    assert error.ran is exceptions.Ran.UNKNOWN


def test_writer_answers_repeated_ticket_without_store():
    call_ids = effects.CallIds()
    follower = follower_.Follower.from_process(call_ids)
    text = json.dumps({'number': 1, 'services': {'s': None}})
    item = ticket.parse(text).unwrap()
    applied = ticket.apply(follower.document, item).unwrap()
    follower.adopt(applied.document)
    writer = writer_.Writer.from_process(call_ids, follower)
    submission = writer.submit(item, 0)
    [done] = writer.on_tick(0)
    assert done == writer_.TicketDone(submission, Ok(applied))


def account_ticket(number, name):
    """Return a ticket that creates one account."""
    state = {'token_sha256': name * 64, 'guarantees': []}
    text = json.dumps({'number': number, 'accounts': {name: state}})
    return ticket.parse(text).unwrap()


def entry_with_tickets(one_key_store, *tickets):
    """Return an entry that has written tickets to a store."""
    flow = Flow()
    flow.store = one_key_store
    process = flow.processes[0]
    for item in tickets:
        submission = process.writer.submit(item, flow.now_ms)
        process.ticket_by_submission[submission] = item
    run_until_idle(flow, process)
    return flow, process


def run_until_idle(flow, process):
    """Run a process until it has nothing left to do but to watch."""
    for _ in range(12):
        flow.now_ms += 600
        flow.tick(process)
        for _ in range(len(process.calls)):
            flow.complete_store_call(0, 'done')


def test_writer_applies_ticket_to_merged_document_after_rollback():
    one_key_store = OneKeyStore()
    flow, process = entry_with_tickets(
        one_key_store, account_ticket(1, 'a'), account_ticket(2, 'b')
    )
    one_key_store.roll_back(1)
    process.writer.submit(account_ticket(3, 'c'), flow.now_ms)
    process.ticket_by_submission[3] = account_ticket(3, 'c')
    [call] = process.writer.on_tick(flow.now_ms)
    answer = one_key_store.call(call.request)
    [put] = process.writer.on_store_done(call.call_id, answer, flow.now_ms)
    written = document.decode(put.request.value).unwrap()
    assert written.ticket_numbers('accounts') == {'a': 1, 'b': 2, 'c': 3}


def test_follower_merges_diverged_documents_into_store():
    one_key_store = OneKeyStore()
    flow, process = entry_with_tickets(
        one_key_store, account_ticket(1, 'a'), account_ticket(2, 'b')
    )
    one_key_store.roll_back(1)
    entry_with_tickets(one_key_store, account_ticket(3, 'c'))
    assert one_key_store.document().ticket_numbers('accounts') == {
        'a': 1,
        'c': 3,
    }
    flow.now_ms += follower_.REREAD_INTERVAL_MS
    run_until_idle(flow, process)
    merged = {'a': 1, 'b': 2, 'c': 3}
    assert one_key_store.document().ticket_numbers('accounts') == merged
    assert process.follower.document == one_key_store.document()
    assert process.follower.configuration.version == 3
