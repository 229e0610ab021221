"""Tests of the leader election against the store stand-in."""

import asyncio

from mulberryloom_core import clock as clocks
from mulberryloom_core import effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import store
from mulberryloom_core.version import configuration as configurations
from mulberryloom_entry.jobs import configuration_feed
from mulberryloom_entry.jobs import election
from mulberryloom_entry.jobs import entry as entries
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import registration
from mulberryloom_standins.store import core as store_core
import pytest
import structlog


class StandinStore:
    """Store stand-in that is called without a network."""

    def __init__(self):
        self.core = store_core.StoreCore()

    async def call(self, request):
        return self.core.handle(request, 0)


def _make_feed(job_store, on_change):
    """Return a feed without any configuration."""
    return configuration_feed.ConfigurationFeed(
        configurations.Configuration.empty, job_store, on_change
    )


def _make_entry(standin_store, clock):
    entry_identity = entries.EntryIdentity(
        'vm', identity.Address('127.0.0.1', 1), b'secret-of-a-deployment'
    )
    return entries.JobEntry.from_parts(
        entry_identity, standin_store, _make_feed, clock=clock
    )


def _write_leader(standin_store, name):
    request = store.Transact(
        {}, {keys.LEADER: f'{{"name": "{name}", "address": "a:1"}}'.encode()}
    )
    return standin_store.core.handle(request, 0).unwrap().revision


def test_entry_becomes_leader_when_there_is_none():
    async def scenario():
        job_entry = _make_entry(StandinStore(), clocks.ManualClock())
        await job_entry._try_to_lead()
        assert job_entry.is_leading
        await job_entry.close()

    asyncio.run(scenario())


def test_entry_replaces_silent_leader():
    async def scenario():
        standin_store = StandinStore()
        generation = _write_leader(standin_store, 'other.1')
        job_entry = _make_entry(standin_store, clocks.ManualClock())
        job_entry._follow(election.LeaderRecord('other.1', 'a:1', generation))
        await job_entry._try_to_lead()
        assert job_entry.is_leading
        await job_entry.close()

    asyncio.run(scenario())


def test_entry_does_not_replace_leader_that_has_just_taken_over():
    async def scenario():
        standin_store = StandinStore()
        generation = _write_leader(standin_store, 'other.1')
        job_entry = _make_entry(standin_store, clocks.ManualClock())
        job_entry._follow(election.LeaderRecord('other.1', 'a:1', generation))
        _write_leader(standin_store, 'third.1')
        await job_entry._try_to_lead()
        assert not job_entry.is_leading
        await job_entry.close()

    asyncio.run(scenario())


def test_take_over_leaves_one_leader_of_two_candidates():
    async def scenario():
        standin_store = StandinStore()
        no_leader = election.LeaderRecord()
        first = election.LeaderRecord('a.1', 'a:1')
        second = election.LeaderRecord('b.1', 'b:1')
        first_result = await election.take_over(
            standin_store, first, no_leader
        )
        second_result = await election.take_over(
            standin_store, second, no_leader
        )
        assert (
            first_result.unwrap().name == second_result.unwrap().name == 'a.1'
        )

    asyncio.run(scenario())


# Guards against entries that stop following the leader: the record is read by
# the loop that follows it.
@pytest.mark.parametrize(
    'value',
    [
        b'x',
        b'\xff',
        b'[]',
        b'{"name": 5, "address": "a:1"}',
        b'{"name": ' + b'[' * 1_000 + b']' * 1_000 + b', "address": "a:1"}',
        b'[' * 100_000,
    ],
)
def test_entry_replaces_unreadable_leader_record(value):
    async def scenario():
        standin_store = StandinStore()
        standin_store.core.handle(store.Transact({}, {keys.LEADER: value}), 0)
        job_entry = _make_entry(standin_store, clocks.ManualClock())
        await job_entry._try_to_lead()
        await job_entry._try_to_lead()
        assert job_entry.is_leading
        await job_entry.close()

    asyncio.run(scenario())


def test_resign_frees_the_leader_key_once():
    async def scenario():
        standin_store = StandinStore()
        candidate = election.LeaderRecord('a.1', 'a:1')
        no_leader = election.LeaderRecord()
        leader_record = (
            await election.take_over(standin_store, candidate, no_leader)
        ).unwrap()
        assert await election.resign(standin_store, leader_record)
        assert not await election.resign(standin_store, leader_record)
        assert standin_store.core.state.get(keys.LEADER) is None

    asyncio.run(scenario())


class FailingReceiver:
    """Stands for an entry whose handling of every event fails."""

    def __init__(self):
        self.handled = 0
        self._node = self

    async def receive(self):
        if self.handled == 3:
            raise asyncio.CancelledError
        return object()

    def _on_event(self, _event):
        self.handled += 1
        raise ValueError('cannot be handled')


def test_failed_event_does_not_end_the_receive_task():
    receiver = FailingReceiver()
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(entries.JobEntry._receive(receiver))
    assert receiver.handled == 3


# Guards against entries and agents that find no others, since one odd entry
# stands among the registrations.
def test_odd_registration_is_skipped_alone():
    values = [
        b'127.0.0.1:70000',
        b'\xff\xfe',
        b'[' * 100_000,
        b'127.0.0.1:80',
        b'127.0.0.1:' + b'9' * 5_000,
    ]
    found = registration.read_addresses(
        store.Entry(f'{keys.ENTRIES}{index}', value, index + 1)
        for index, value in enumerate(values)
    )
    assert list(found) == [identity.Address('127.0.0.1', 80)]


# Guards against an entry that drops a notice, and with it the leader, for one
# odd address.
def test_odd_address_in_a_notice_does_not_hide_the_leader():
    async def scenario():
        job_entry = _make_entry(StandinStore(), clocks.ManualClock())
        job_entry._on_notice(
            'other.1',
            messages.EntryNotice(
                '127.0.0.1:70000',
                'other.1',
                '127.0.0.1:2',
                7,
                True,
                False,
                -1,
                ['127.0.0.1:70000', 'no-address'],
            ),
        )
        assert job_entry._leader_record.generation == 7
        job_entry.is_followed_by_all(7)
        await job_entry.close()

    asyncio.run(scenario())


def _report(worker):
    return messages.WorkerReport(
        *(worker, 7, 's', 'dc', 'r', [], 1_000, 1_000, 0, False, 0),
        *(1, 0, 0, False, True, [], [], []),
    )


def _session_lines(lines):
    return [line for line in lines if line['event'].startswith('session')]


# Guards against a lost session that leaves no line, so that a log does not
# tell whether the runs of its worker were given up while the agent was away.
def test_sessions_with_agents_are_logged_with_their_workers():
    async def scenario():
        job_entry = _make_entry(StandinStore(), clocks.ManualClock())
        agent = identity.PeerId(identity.Role.AGENT, 'vm-1.a', 1)
        other = identity.PeerId(identity.Role.ENTRY, 'vm-2.e', 1)
        with structlog.testing.capture_logs() as lines:
            job_entry._on_event(effects.PeerConnected(agent))
            await job_entry._try_to_lead()
            job_entry._on_event(effects.Received(agent, _report('w')))
            job_entry._on_event(effects.PeerLost(agent))
            job_entry._on_event(effects.PeerLost(other))
        await job_entry.close()
        return _session_lines(lines)

    opened, lost = asyncio.run(scenario())
    assert opened == {
        'event': 'session with agent opened',
        'agent': 'vm-1.a',
        'log_level': 'info',
    }
    assert lost == {
        'event': 'session with agent lost',
        'agent': 'vm-1.a',
        'worker': 'w',
        'boot': 7,
        'runs': 0,
        'log_level': 'info',
    }


# Guards against a new leader that takes a late report of an agent's earlier
# process for the present one, since it does not know which came first.
def test_new_leader_knows_the_order_of_the_sessions_before_it():
    async def scenario():
        job_entry = _make_entry(StandinStore(), clocks.ManualClock())
        earlier, present = (
            identity.PeerId(identity.Role.AGENT, name, 1)
            for name in ('vm-1.a', 'vm-1.b')
        )
        job_entry._on_event(effects.PeerConnected(earlier))
        job_entry._on_event(effects.PeerConnected(present))
        await job_entry._try_to_lead()
        with structlog.testing.capture_logs() as lines:
            job_entry._on_event(effects.Received(earlier, _report('w')))
            job_entry._on_event(effects.Received(present, _report('w')))
        fields = job_entry._term.leader.worker_fields('vm-1.b')
        await job_entry.close()
        return [line['event'] for line in lines], fields

    events, fields = asyncio.run(scenario())
    assert events == ['report of an earlier agent process ignored']
    assert fields['worker'] == 'w'
