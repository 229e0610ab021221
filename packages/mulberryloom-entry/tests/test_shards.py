"""Tests of the ownership of client accounts."""

import random

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import store
from mulberryloom_entry.process import rendezvous
from mulberryloom_entry.process import shards
from result import Err
from result import Ok

STORE_UNAVAILABLE = Err(
    exceptions.Error.from_kind(exceptions.ErrorKind.STORE_UNAVAILABLE)
)
ACCOUNTS = ['galway', 'sligo', 'limerick', 'clare']


class FakeStore:
    """In-memory store of claims with revisions; may be unavailable."""

    def __init__(self):
        self.revision = 10
        self.revision_by_key = {}
        self.is_down = False

    def call(self, request):
        if self.is_down:
            return STORE_UNAVAILABLE
        revision = self.revision_by_key.get(request.key, 0)
        if isinstance(request, store.GetKey):
            entries = [store.Entry(request.key, b'', revision)]
            return Ok(store.Entries(entries if revision else [], 0))
        if request.expected_revision != revision:
            return Err(
                exceptions.Error.from_kind(exceptions.ErrorKind.STORE_CONFLICT)
            )
        self.revision += 1
        self.revision_by_key[request.key] = self.revision
        return Ok(store.Written(self.revision))


def _make_shards(name='entry-1'):
    return shards.Shards.from_identity(name, effects.CallIds())


def _settle(table, fake, now_ms, candidates, accounts=tuple(ACCOUNTS)):
    calls = table.on_tick(now_ms, candidates, list(accounts))
    while calls:
        call = calls.pop()
        result = fake.call(call.request)
        calls.extend(table.on_store_done(call.call_id, result, now_ms))


def _run(table, fake, from_ms, until_ms, candidates):
    for now_ms in range(from_ms, until_ms, 100):
        _settle(table, fake, now_ms, candidates)


def test_rank_moves_only_accounts_of_removed_entry():
    names = [f'entry-{n}' for n in range(5)]
    before = {a: rendezvous.rank(a, names)[0] for a in map(str, range(500))}
    after = {a: rendezvous.rank(a, names[1:])[0] for a in before}
    moved = {a for a in before if before[a] != after[a]}
    assert moved == {a for a in before if before[a] == names[0]}


def test_claim_revision_becomes_epoch():
    table, fake = _make_shards(), FakeStore()
    _run(table, fake, 0, 2_000, ['entry-1'])
    assert table.owned_accounts() == set(ACCOUNTS)
    assert all(info.epoch.revision > 10 for info in table.shard_infos())


def test_new_owner_has_higher_epoch():
    first, second, fake = (
        _make_shards('entry-1'),
        _make_shards('entry-2'),
        FakeStore(),
    )
    _run(first, fake, 0, 2_000, ['entry-1'])
    _run(second, fake, 2_000, 4_000, ['entry-2'])
    for account in ACCOUNTS:
        assert first.epoch_of(account) < second.epoch_of(account)
    first.observe_epochs(second.shard_infos())
    assert first.owned_accounts() == set()


def test_store_outage_gives_provisional_epoch_above_known_epoch():
    table, fake = _make_shards(), FakeStore()
    fake.is_down = True
    known = identity.Epoch(40, 0, 'entry-2')
    table.observe_epochs([messages.ShardInfo('galway', known)])
    _run(table, fake, 0, 1_900, ['entry-1'])
    assert table.epoch_of('galway') is None
    _run(table, fake, 1_900, 2_200, ['entry-1'])
    assert known < table.epoch_of('galway') < identity.Epoch(41, 0, '')


def test_restored_store_does_not_lower_epoch():
    table, fake = _make_shards(), FakeStore()
    known = identity.Epoch(900, 2, 'entry-2')
    table.observe_epochs([messages.ShardInfo('galway', known)])
    _run(table, fake, 0, 3_000, ['entry-1'])
    assert table.epoch_of('galway') > known


def test_owner_keeps_epochs_during_store_outage():
    table, fake = _make_shards(), FakeStore()
    _run(table, fake, 0, 2_000, ['entry-1'])
    before = table.shard_infos()
    fake.is_down = True
    _run(table, fake, 2_000, 60_000, ['entry-1'])
    assert table.shard_infos() == before


def test_claim_with_lost_reply_is_repeated():
    table, fake = _make_shards(), FakeStore()
    (read,) = table.on_tick(0, ['entry-1'], ['galway'])
    (write,) = table.on_store_done(read.call_id, fake.call(read.request), 0)
    fake.call(write.request)
    table.on_store_done(write.call_id, STORE_UNAVAILABLE, 0)
    _settle(table, fake, 1_000, ['entry-1'], ['galway'])
    assert table.epoch_of('galway').revision == fake.revision


def test_new_owner_stops_rebuilding_after_rebuild_time():
    table, fake = _make_shards(), FakeStore()
    assert table.is_rebuilding('galway', 0)
    _settle(table, fake, 0, ['entry-1'], ['galway'])
    assert table.is_rebuilding('galway', shards.REBUILD_MS - 1)
    assert not table.is_rebuilding('galway', shards.REBUILD_MS)


def test_returning_owner_plans_above_epoch_of_interim_owner():
    """Only one entry lost the other, so only that one claimed the shard.

    The original owner has to claim it again above the interim epoch.
    """
    first, second, fake = (
        _make_shards('entry-1'),
        _make_shards('entry-2'),
        FakeStore(),
    )
    both = ['entry-1', 'entry-2']
    owners_by_account = {a: rendezvous.rank(a, both)[0] for a in ACCOUNTS}
    account = next(a for a in ACCOUNTS if owners_by_account[a] == 'entry-1')
    _run(first, fake, 0, 2_000, both)
    _run(second, fake, 2_000, 3_000, ['entry-2'])
    interim_epoch = second.epoch_of(account)
    _run(second, fake, 3_000, 3_200, both)
    assert account not in second.owned_accounts()
    first.observe_epochs(second.epochs_to_announce())
    assert first.epoch_of(account) is None
    _run(first, fake, 3_200, 4_400, both)
    assert first.epoch_of(account) > interim_epoch
    assert first.is_rebuilding(account, 4_400)


def test_random_faults_never_give_two_owners():
    rng = random.Random(7)
    fake = FakeStore()
    tables = {n: _make_shards(n) for n in ('entry-1', 'entry-2', 'entry-3')}
    alive = set(tables)
    for now_ms in range(0, 60_000, 100):
        if rng.random() < 0.02:
            fake.is_down = not fake.is_down
        if rng.random() < 0.02:
            alive ^= {rng.choice(sorted(tables))}
        for name in sorted(alive):
            _settle(tables[name], fake, now_ms, sorted(alive))
        for name in sorted(alive):
            for other in sorted(alive - {name}):
                tables[name].observe_epochs(tables[other].shard_infos())
        for account in ACCOUNTS:
            owners = [
                n
                for n in sorted(alive)
                if account in tables[n].owned_accounts()
            ]
            assert len(owners) <= 1
