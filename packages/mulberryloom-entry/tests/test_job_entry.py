"""An entry's part in the election, against the store stand-in."""

import asyncio

from mulberryloom_core import clock as clocks
from mulberryloom_core import identity
from mulberryloom_core import store
from mulberryloom_core.version import configuration as configurations
from mulberryloom_entry.jobs import configuration_feed
from mulberryloom_entry.jobs import election
from mulberryloom_entry.jobs import entry as entries
from mulberryloom_entry.jobs import keys
from mulberryloom_standins.store import core as store_core


class DirectStore:
    """The store stand-in without a network."""

    def __init__(self):
        self.core = store_core.StoreCore()

    async def call(self, request):
        return self.core.handle(request, 0)


def _make_feed(job_store, on_change):
    """Return a feed without any configuration."""
    return configuration_feed.ConfigurationFeed(
        configurations.Configuration.empty, job_store, on_change
    )


def _entry(direct, clock):
    me = entries.EntryIdentity(
        'vm', identity.Address('127.0.0.1', 1), b'secret-of-a-deployment'
    )
    return entries.JobEntry.from_parts(me, direct, _make_feed, clock=clock)


def _lead(direct, name):
    request = store.Transact(
        {}, {keys.LEADER: f'{{"name": "{name}", "address": "a:1"}}'.encode()}
    )
    return direct.core.handle(request, 0).unwrap().revision


def test_entry_leads_where_nobody_does():
    async def scenario():
        found = _entry(DirectStore(), clocks.ManualClock())
        await found._try_to_lead()
        assert found.is_leading
        await found.close()

    asyncio.run(scenario())


def test_leader_that_is_silent_is_replaced():
    async def scenario():
        direct = DirectStore()
        generation = _lead(direct, 'other.1')
        found = _entry(direct, clocks.ManualClock())
        found._follow(election.LeaderRecord('other.1', 'a:1', generation))
        await found._try_to_lead()
        assert found.is_leading
        await found.close()

    asyncio.run(scenario())


def test_leader_that_has_just_taken_over_gets_time_to_be_heard():
    async def scenario():
        direct = DirectStore()
        old = _lead(direct, 'other.1')
        found = _entry(direct, clocks.ManualClock())
        found._follow(election.LeaderRecord('other.1', 'a:1', old))
        _lead(direct, 'third.1')
        await found._try_to_lead()
        assert not found.is_leading
        await found.close()

    asyncio.run(scenario())


def test_two_takeovers_at_once_leave_one_leader():
    async def scenario():
        direct = DirectStore()
        nobody = election.LeaderRecord()
        first = election.LeaderRecord('a.1', 'a:1')
        second = election.LeaderRecord('b.1', 'b:1')
        won = await election.take_over(direct, first, nobody)
        lost = await election.take_over(direct, second, nobody)
        assert won.unwrap().name == lost.unwrap().name == 'a.1'

    asyncio.run(scenario())


def test_unreadable_leader_record_can_be_replaced():
    async def scenario():
        direct = DirectStore()
        direct.core.handle(store.Transact({}, {keys.LEADER: b'x'}), 0)
        found = _entry(direct, clocks.ManualClock())
        await found._try_to_lead()
        await found._try_to_lead()
        assert found.is_leading
        await found.close()

    asyncio.run(scenario())


def test_resigning_frees_the_key():
    async def scenario():
        direct = DirectStore()
        me = election.LeaderRecord('a.1', 'a:1')
        nobody = election.LeaderRecord()
        leading = (await election.take_over(direct, me, nobody)).unwrap()
        assert await election.resign(direct, leading)
        assert not await election.resign(direct, leading)
        assert direct.core.state.get(keys.LEADER) is None

    asyncio.run(scenario())
