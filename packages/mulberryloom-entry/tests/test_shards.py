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

DOWN = Err(exceptions.Error.from_kind(exceptions.ErrorKind.STORE_UNAVAILABLE))
ACCOUNTS = ['galway', 'sligo', 'limerick', 'clare']


class FakeStore:
    """Claims with revisions; may be down."""

    def __init__(self):
        self.revision = 10
        self.revision_by_key = {}
        self.is_down = False

    def call(self, request):
        if self.is_down:
            return DOWN
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


def _make(name='entry-1'):
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


def test_every_account_has_one_owner_and_few_move():
    names = [f'entry-{n}' for n in range(5)]
    before = {a: rendezvous.rank(a, names)[0] for a in map(str, range(500))}
    after = {a: rendezvous.rank(a, names[1:])[0] for a in before}
    moved = {a for a in before if before[a] != after[a]}
    assert moved == {a for a in before if before[a] == names[0]}


def test_claim_gives_the_epoch():
    table, fake = _make(), FakeStore()
    _run(table, fake, 0, 2_000, ['entry-1'])
    assert table.owned() == set(ACCOUNTS)
    assert all(i.epoch.revision > 10 for i in table.infos())


def test_successor_has_a_higher_epoch():
    first, second, fake = _make('entry-1'), _make('entry-2'), FakeStore()
    _run(first, fake, 0, 2_000, ['entry-1'])
    _run(second, fake, 2_000, 4_000, ['entry-2'])
    for account in ACCOUNTS:
        assert first.epoch_of(account) < second.epoch_of(account)
    first.observe(second.infos())
    assert first.owned() == set()


def test_outage_gives_a_provisional_epoch_above_the_known_one():
    table, fake = _make(), FakeStore()
    fake.is_down = True
    known = identity.Epoch(40, 0, 'entry-2')
    table.observe([messages.ShardInfo('galway', known)])
    _run(table, fake, 0, 1_900, ['entry-1'])
    assert table.epoch_of('galway') is None
    _run(table, fake, 1_900, 2_200, ['entry-1'])
    assert known < table.epoch_of('galway') < identity.Epoch(41, 0, '')


def test_store_with_older_contents_cannot_lower_the_epoch():
    table, fake = _make(), FakeStore()
    known = identity.Epoch(900, 2, 'entry-2')
    table.observe([messages.ShardInfo('galway', known)])
    _run(table, fake, 0, 3_000, ['entry-1'])
    assert table.epoch_of('galway') > known


def test_owner_goes_on_through_an_outage():
    table, fake = _make(), FakeStore()
    _run(table, fake, 0, 2_000, ['entry-1'])
    before = table.infos()
    fake.is_down = True
    _run(table, fake, 2_000, 60_000, ['entry-1'])
    assert table.infos() == before


def test_lost_answer_to_a_claim_is_claimed_again():
    other, fake = _make(), FakeStore()
    (read,) = other.on_tick(0, ['entry-1'], ['galway'])
    (write,) = other.on_store_done(read.call_id, fake.call(read.request), 0)
    fake.call(write.request)
    other.on_store_done(write.call_id, DOWN, 0)
    _settle(other, fake, 1_000, ['entry-1'], ['galway'])
    assert other.epoch_of('galway').revision == fake.revision


def test_new_owner_rebuilds_for_a_bounded_time():
    table, fake = _make(), FakeStore()
    assert table.is_rebuilding('galway', 0)
    _settle(table, fake, 0, ['entry-1'], ['galway'])
    assert table.is_rebuilding('galway', shards.REBUILD_MS - 1)
    assert not table.is_rebuilding('galway', shards.REBUILD_MS)


def test_owner_passed_over_for_a_while_plans_above_its_stand_in():
    """Only one side saw the other as lost, so only one claimed."""
    first, second, fake = _make('entry-1'), _make('entry-2'), FakeStore()
    both = ['entry-1', 'entry-2']
    owner = {a: rendezvous.rank(a, both)[0] for a in ACCOUNTS}
    account = next(a for a in ACCOUNTS if owner[a] == 'entry-1')
    _run(first, fake, 0, 2_000, both)
    _run(second, fake, 2_000, 3_000, ['entry-2'])
    stand_in = second.epoch_of(account)
    _run(second, fake, 3_000, 3_200, both)
    assert account not in second.owned()
    first.observe(second.told_epochs())
    assert first.epoch_of(account) is None
    _run(first, fake, 3_200, 4_400, both)
    assert first.epoch_of(account) > stand_in
    assert first.is_rebuilding(account, 4_400)


def test_any_order_of_faults_keeps_owners_apart():
    rng = random.Random(7)
    fake = FakeStore()
    tables = {n: _make(n) for n in ('entry-1', 'entry-2', 'entry-3')}
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
                tables[name].observe(tables[other].infos())
        for account in ACCOUNTS:
            owners = [n for n in sorted(alive) if account in tables[n].owned()]
            assert len(owners) <= 1
