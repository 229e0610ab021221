"""Stateful test of writers and followers round a store that fails.

The oracle: a list of the tickets that were accepted, with their content.
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
#: Order in which two entries get on; empty for not at all.
TURNS = strategies.one_of(
    strategies.just([]),
    strategies.lists(strategies.integers(0, 1), min_size=8, max_size=16),
)
UNAVAILABLE = Err(exceptions.Error.from_kind(KIND.STORE_UNAVAILABLE))
CONFLICT = Err(exceptions.Error.from_kind(KIND.STORE_CONFLICT))


class OneKeyStore:
    """Keeps every value that the configuration ever had."""

    def __init__(self):
        self.revision = 1
        self.entry = None
        self.past = [None]
        self.failures = 0

    def call(self, request):
        """Carry out a request that does not wait."""
        if isinstance(request, store.PutKey):
            current = self.entry.revision if self.entry else 0
            if request.expected_revision != current:
                return CONFLICT
            self.revision += 1
            self.entry = store.Entry(request.key, request.value, self.revision)
            self.past.append(self.entry)
            return Ok(store.Written(self.revision))
        entries = [self.entry] if self.entry else []
        if isinstance(request, store.WatchPrefix):
            after = request.after_revision
            entries = [item for item in entries if item.revision > after]
        return Ok(store.Entries(entries, self.revision))

    def document(self):
        """Return the document that the store holds."""
        if self.entry is None:
            return document.Document.empty()
        return document.decode(self.entry.value).unwrap()

    def roll_back(self, steps):
        """Come back with what the key was some writes ago."""
        self.entry = self.past[max(0, len(self.past) - 1 - steps)]
        self.past = self.past[: max(1, len(self.past) - steps)]


class Process:
    """An entry, which uses the store, or an agent, which does not."""

    def __init__(self, peer, uses_store):
        call_ids = effects.CallIds()
        self.peer = peer
        self.follower = follower_.Follower.from_process(
            call_ids, uses_store=uses_store
        )
        self.writer = writer_.Writer.from_process(call_ids, self.follower)
        self.calls = []
        self.ticket_by_submission = {}
        self.highest = 0


class Flow(stateful.RuleBasedStateMachine):
    """Racing operators, lost answers and outages; the store keeps all."""

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

    def carry_out(self, process, actions):
        """Take what a core returned."""
        for action in actions:
            if isinstance(action, effects.CallStore):
                process.calls.append(action)
            elif isinstance(action, effects.Send):
                self.pass_on(process, action)
            else:
                self.note(process, action)

    def pass_on(self, sender, send):
        """Hand a message to the process that is meant."""
        for process in self.processes:
            if process.peer.name == send.name:
                self.carry_out(
                    process,
                    process.follower.on_message(
                        sender.peer, send.message, self.now_ms
                    ),
                )

    def note(self, process, done):
        """Write an answer down; check that it agrees with the others."""
        item = process.ticket_by_submission.pop(done.submission)
        if done.result.is_ok():
            self.check_in_force(process, item)
            known = self.accepted_by_number.setdefault(item.number, item)
            assert known.sha256 == item.sha256
            applied = done.result.unwrap()
            version = self.versions.setdefault(item.number, applied.version)
            assert version == applied.version
            return
        error = done.result.unwrap_err()
        if error.ran is exceptions.Ran.NO:
            stored = self.store.document().accepted(item.number)
            assert stored is None or stored.sha256 != item.sha256

    def check_in_force(self, process, item):
        """An accepted ticket is in force where it was accepted."""
        numbers = process.follower.document.ticket_numbers('accounts')
        for name in item.objects_by_kind['accounts']:
            assert numbers[name] >= item.number

    def answer(self, process, action, result):
        """Give a store answer to the core that asked."""
        for core in (process.follower, process.writer):
            if core.is_mine(action.call_id):
                self.carry_out(
                    process,
                    core.on_store_done(action.call_id, result, self.now_ms),
                )
                return

    def tick(self, process):
        """Let one process notice the time."""
        for core in (process.follower, process.writer):
            self.carry_out(process, core.on_tick(self.now_ms))

    @stateful.rule(
        index=strategies.integers(0, 1),
        step=strategies.sampled_from([-2, -1, 0, 1, 1, 2]),
        weights=strategies.dictionaries(
            strategies.sampled_from(NAMES),
            strategies.sampled_from([None, 1, 2]),
            min_size=1,
        ),
        turns=TURNS,
    )
    def submit(self, index, step, weights, turns):
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
        if turns:
            self.work(turns, lost_at=None)

    @stateful.rule(by_ms=strategies.sampled_from([100, 600, 600, 12_000]))
    def pass_time(self, by_ms):
        self.now_ms += by_ms
        for process in self.processes:
            self.tick(process)

    @stateful.rule(
        index=strategies.integers(0, 1),
        fate=strategies.sampled_from(['done', 'lost', 'failed']),
    )
    def serve_call(self, index, fate):
        process = self.processes[index]
        if not process.calls:
            return
        action = process.calls.pop(0)
        if self.store.failures or fate == 'failed':
            self.store.failures = max(0, self.store.failures - 1)
            self.answer(process, action, UNAVAILABLE)
            return
        result = self.store.call(action.request)
        self.answer(process, action, UNAVAILABLE if fate == 'lost' else result)

    @stateful.rule(turns=TURNS, lost_at=strategies.integers(0, 30))
    def work(self, turns, lost_at):
        """Let the entries get on with the store, in this order."""
        self.now_ms += 600
        for process in self.processes:
            self.tick(process)
        for position, index in enumerate(turns):
            fate = 'lost' if position == lost_at else 'done'
            self.serve_call(index, fate)

    @stateful.rule(failures=strategies.integers(1, 8))
    def outage(self, failures):
        self.store.failures = failures

    @stateful.rule(
        shown=strategies.integers(0, 2), seen=strategies.integers(0, 2)
    )
    def show_version(self, shown, seen):
        if shown == seen:
            return
        peer = self.processes[shown]
        process = self.processes[seen]
        self.carry_out(
            process,
            process.follower.on_peer_version(
                peer.peer, peer.follower.configuration.version, self.now_ms
            ),
        )

    @stateful.invariant()
    def never_back_and_never_in_part(self):
        for process in self.processes:
            config = process.follower.configuration
            assert config.version >= process.highest
            process.highest = config.version
            self.check_whole(process.follower.document)

    def check_whole(self, known):
        """Every ticket in a document is there with all that it touched."""
        numbers = known.ticket_numbers('accounts')
        for recent in known.recent_tickets:
            item = self.accepted_by_number.get(recent.number)
            if item is None or item.sha256 != recent.sha256:
                continue
            for name, state in item.objects_by_kind['accounts'].items():
                assert numbers[name] >= item.number
                if numbers[name] == item.number:
                    assert known.objects('accounts').get(name) == state

    def teardown(self):
        """With a working store and peers, all is in force everywhere."""
        self.store.failures = 0
        self.now_ms += follower_.REREAD_INTERVAL_MS
        for _ in range(20):
            self.now_ms += 600
            for index, process in enumerate(self.processes):
                self.tick(process)
                self.show_version(0, index)
                self.show_version(1, index)
                for _ in range(4):
                    if index < 2:
                        self.serve_call(index, 'done')
        known = [process.follower.document for process in self.processes]
        texts = {document.encode(item) for item in known}
        if self.store.entry is not None or self.accepted_by_number:
            texts.add(self.store.entry.value)
        assert len(texts) == 1
        assert all(not item.ticket_by_submission for item in self.processes)
        numbers = known[0].ticket_numbers('accounts')
        for item in self.accepted_by_number.values():
            for name in item.objects_by_kind['accounts']:
                assert numbers[name] >= item.number
        self.check_whole(known[0])


class RolledBackFlow(Flow):
    """The same, with a store that comes back with older contents.

    Two sides can then accept tickets of the same number; each object keeps
    the state of the highest number, and no version goes down.
    """

    @stateful.precondition(lambda self: len(self.store.past) > 2)
    @stateful.rule(steps=strategies.integers(1, 3))
    def roll_back(self, steps):
        self.store.roll_back(steps)

    def note(self, process, done):
        item = process.ticket_by_submission.pop(done.submission)
        if done.result.is_ok():
            self.check_in_force(process, item)
            self.accepted_by_number.setdefault(item.number, item)

    def check_whole(self, known):
        numbers = known.ticket_numbers('accounts')
        for recent in known.recent_tickets:
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


def test_agent_fetches_a_higher_version_once_from_a_peer():
    agent = follower_.Follower.from_process(
        effects.CallIds(), uses_store=False
    )
    assert agent.on_tick(0) == []
    [send] = agent.on_peer_version(PEER, 3, 0)
    assert send.message == messages.FetchConfiguration(0)
    assert agent.on_peer_version(PEER, 3, 10) == []
    assert agent.on_peer_version(PEER, 3, 1_000) == [send]


def test_ticket_is_given_up_when_the_store_stays_away():
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


def test_repeated_ticket_is_answered_while_the_store_is_away():
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


def accounts_ticket(number, name):
    """Return a ticket that creates one account."""
    state = {'token_sha256': name * 64, 'guarantees': []}
    text = json.dumps({'number': number, 'accounts': {name: state}})
    return ticket.parse(text).unwrap()


def entry_that_follows(kept, *tickets):
    """Return an entry, and bring tickets through it into a store."""
    flow = Flow()
    flow.store = kept
    process = flow.processes[0]
    for item in tickets:
        submission = process.writer.submit(item, flow.now_ms)
        process.ticket_by_submission[submission] = item
    catch_up(flow, process)
    return flow, process


def catch_up(flow, process):
    """Let a process get on until it only watches."""
    for _ in range(12):
        flow.now_ms += 600
        flow.tick(process)
        for _ in range(len(process.calls)):
            flow.serve_call(0, 'done')


def test_ticket_after_a_rollback_is_put_on_top_of_what_is_in_force():
    kept = OneKeyStore()
    flow, process = entry_that_follows(
        kept, accounts_ticket(1, 'a'), accounts_ticket(2, 'b')
    )
    kept.roll_back(1)
    process.writer.submit(accounts_ticket(3, 'c'), flow.now_ms)
    process.ticket_by_submission[3] = accounts_ticket(3, 'c')
    [call] = process.writer.on_tick(flow.now_ms)
    answer = kept.call(call.request)
    [put] = process.writer.on_store_done(call.call_id, answer, flow.now_ms)
    written = document.decode(put.request.value).unwrap()
    assert written.ticket_numbers('accounts') == {'a': 1, 'b': 2, 'c': 3}


def test_documents_that_grew_apart_are_joined():
    kept = OneKeyStore()
    flow, process = entry_that_follows(
        kept, accounts_ticket(1, 'a'), accounts_ticket(2, 'b')
    )
    kept.roll_back(1)
    entry_that_follows(kept, accounts_ticket(3, 'c'))
    assert kept.document().ticket_numbers('accounts') == {'a': 1, 'c': 3}
    flow.now_ms += follower_.REREAD_INTERVAL_MS
    catch_up(flow, process)
    joined = {'a': 1, 'b': 2, 'c': 3}
    assert kept.document().ticket_numbers('accounts') == joined
    assert process.follower.document == kept.document()
    assert process.follower.configuration.version == 3
