"""Tests of requests that are planned by the owner of their account."""

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
import mulberryloom_entry as entry

from mulberryloom_entry.process import fast_path
from mulberryloom_entry.process import records
from mulberryloom_entry.process import shards
from mulberryloom_entry.request import lifecycle

Kind = exceptions.ErrorKind
Ran = exceptions.Ran

GANG = shapes.Demand(16, shapes.Adjacency.RACK, 32, 8_000)


def owner_of(region):
    core = next(iter(region.cores.values()))
    return core.context.shards.owner_of('accra')


def other_entry(region, name):
    return next(n for n in region.cores if n != name)


def keys_with_prefix(region, prefix):
    entries_by_key = region.store.entries_by_key
    return [key for key in entries_by_key if key.startswith(prefix)]


def test_owner_runs_batch_work_of_every_entry(make_region):
    region = make_region(entries=2)
    for name in list(region.cores):
        call = region.submit(name, 'count')
        region.run(1_000)
        assert region.answers[call].error is None
    assert len(region.runs()) == 2


def test_owner_prepares_gang_at_every_member(make_region):
    region = make_region()
    call = region.submit(method='count', demand=GANG)
    region.run(1_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1
    prepared_counts = [len(agent.prepared) for agent in region.agents.values()]
    assert sorted(prepared_counts) == [0, 1]


def test_owner_places_refused_job_again(make_region):
    region = make_region(agents=1)
    region.agents['w0'].refusals = [Kind.NO_CAPACITY] * 5
    call = region.submit(method='count')
    region.run(3_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1


def test_owner_retries_job_of_lost_worker(make_region):
    region = make_region()
    for agent in region.agents.values():
        agent.run_ms = 2_000
    call = region.submit(method='count')
    region.run(100)
    agent = next(a for a in region.agents.values() if a.run_ids)
    agent.is_alive = False
    region.run(9_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 2


def test_retry_backoff_ignores_earlier_refusals(make_region):
    region = make_region()
    for agent in region.agents.values():
        agent.run_ms = 2_000
        agent.refusals = [Kind.NO_CAPACITY] * 20
    call = region.submit(method='count')
    while not region.runs():
        region.run(100)
    agent = next(a for a in region.agents.values() if a.run_ids)
    agent.is_alive = False
    region.run(9_000)
    assert region.answers[call].error is None


def test_preempted_job_restarts_without_retry_budget(make_region):
    region = make_region(agents=1, retry_percent=0)
    call = region.submit(method='count', request_id='r-1')
    region.run(100)
    agent = region.agents['w0']
    _, attempt, _, sender = agent.running.pop('r-1')
    error = exceptions.Error.from_kind(Kind.PREEMPTED, ran=Ran.YES)
    outcome = messages.Outcome(error=error, is_checkpointed=True)
    ended = messages.TaskEnded('r-1', attempt, outcome)
    peer = identity.PeerId(identity.Role.AGENT, 'w0', 1)
    region.deliver(sender, effects.Received(peer, ended))
    assert call not in region.answers
    region.run(2_000)
    assert region.answers[call].error is None
    assert agent.run_ids == ['r-1', 'r-1']


def test_new_owner_adopts_run_of_lost_owner(make_region):
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.run_ms = 8_000
    owner = owner_of(region)
    other = other_entry(region, owner)
    call = region.submit(other, 'count')
    region.run(500)
    region.kill_entry(owner)
    region.run(20_000)
    assert region.answers[call].body == b'answer to size 42'
    assert len(region.runs()) == 1


def _submit_to_own_owner(region, name):
    """Have the fast path of the owner give a request to its own queue."""
    for agent in region.agents.values():
        agent.refusals = [Kind.NO_CAPACITY] * fast_path.MAX_REFUSALS
    call = region.submit(name, 'review', key='parcel-1')
    region.run(300)
    for agent in region.agents.values():
        agent.refusals = []
    return call


def test_claim_of_open_attempt_survives_a_change_of_owner(
    make_region, monkeypatch
):
    """Its caller's entry is the previous owner, whose agent runs it."""
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.run_ms = 8_000
    name = owner_of(region)
    call = _submit_to_own_owner(region, name)
    region.run(2_000)
    assert len(region.runs()) == 1
    new_owner = other_entry(region, name)
    monkeypatch.setattr(
        shards.Shards, 'owner_of', lambda _self, _account: new_owner
    )
    region.run(4_000)
    assert keys_with_prefix(region, records.CLAIMS_PREFIX)
    region.run(10_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1


class RecordingListener:
    """Listener of an attempt that keeps the outcomes."""

    def __init__(self):
        self.outcomes = []

    def on_started(self, _request, _now):
        pass

    def on_attempt_ended(self, _request, outcome, _worker, _now):
        self.outcomes.append(outcome)


def test_request_has_one_open_attempt_at_an_entry(make_region):
    """A caller and another entry may bring the same keyed request.

    A second attempt under the request id would replace the first one, whose
    caller would never be answered.
    """
    region = make_region()
    context = region.cores['entry-1'].context
    work = messages.Work(
        'k-1', 'accra', 'rental', 'fit', shapes.RequestClass.INTERACTIVE,
        shapes.Demand(), deadline_ms=30_000,
    )  # fmt: skip
    listeners = [RecordingListener(), RecordingListener()]
    for listener, worker in zip(listeners, ['w0', 'w1'], strict=True):
        region.agents[worker].is_silent = True
        request = lifecycle.Request.from_work(work, region.now)
        member = messages.GangMember(worker, 1, '127.0.0.1:9', 1)
        context.attempts.begin(request, [member], listener, region.now)
    assert [o.error.kind for o in listeners[1].outcomes] == [
        Kind.IDEMPOTENCY_KEY_IN_USE
    ]
    context.attempts.on_worker_lost('w1', region.now)
    context.attempts.on_worker_lost('w0', region.now)
    assert [o.error.kind for o in listeners[0].outcomes] == [Kind.WORKER_LOST]


def test_owner_keeps_jobs_while_reclaiming_superseded_shard(make_region):
    """A higher epoch is known, but the entry is still the designated owner.

    Dropping its jobs then would lose them: their submitters know no other
    owner.
    """
    region = make_region(entries=2, agents=1)
    region.run(4_000)
    name = owner_of(region)
    region.agents['w0'].refusals = [Kind.NO_CAPACITY] * 9
    calls = [region.submit(name, method='count') for _ in range(3)]
    shards = region.cores[name].context.shards
    known = shards.epoch_of('accra')
    higher = identity.Epoch(known.revision, known.sub + 7, 'entry-9')
    shards.observe_epochs([messages.ShardInfo('accra', higher)])
    region.run(20_000)
    assert [region.answers[call].error for call in calls] == [None] * 3


def test_accepted_request_survives_loss_of_its_entry(make_region):
    region = make_region(entries=2)
    owner = owner_of(region)
    call = region.submit(owner, 'count', wants_async=True)
    region.run(100)
    accepted = region.answers[call]
    assert isinstance(accepted, entry.Accepted)
    region.kill_entry(owner)
    region.run(20_000)
    other = next(iter(region.cores))
    asked = region.submit_input(
        (
            other,
            lambda c: entry.OutcomeRequested(c, 'accra', accepted.request_id),
        )
    )
    assert region.answers[asked].body == b'answer to size 42'
    region.run(20_000)
    assert keys_with_prefix(region, records.JOURNAL_PREFIX) == []


def test_journaled_request_survives_loss_before_submission(make_region):
    region = make_region(entries=2)
    owner = owner_of(region)
    other = other_entry(region, owner)
    region.store.replies_to_lose = 1
    region.submit(other, 'count', wants_async=True)
    region.kill_entry(other)
    assert len(keys_with_prefix(region, records.JOURNAL_PREFIX)) == 1
    region.run(5_000)
    assert len(region.runs()) == 1
    assert len(keys_with_prefix(region, records.RESULTS_PREFIX)) == 1


def test_journal_batches_writes(make_region):
    region = make_region()
    before = len(region.store.calls)
    for _ in range(200):
        region.submit(method='count', wants_async=True)
    region.run(300)
    writes = [
        call
        for call in region.store.calls[before:]
        if type(call).__name__ == 'PutMany'
    ]
    assert len(writes) <= 7
    accepted = [
        a for a in region.answers.values() if isinstance(a, entry.Accepted)
    ]
    assert len(accepted) == 200


def test_asynchronous_requests_fail_while_store_is_down(make_region):
    region = make_region()
    region.store.is_down = True
    first = region.submit(method='count', wants_async=True)
    region.run(6_000)
    assert region.answers[first].kind is Kind.STORE_UNAVAILABLE
    assert region.answers[first].ran is Ran.UNKNOWN
    region.submit(method='count', wants_async=True)
    second = region.submit(method='count', wants_async=True)
    assert region.answers[second].kind is Kind.STORE_UNAVAILABLE
    assert region.answers[second].ran is Ran.NO
    assert region.runs() == []


def test_keyed_asynchronous_retry_at_other_entry_runs_once(make_region):
    region = make_region(entries=2)
    for name in list(region.cores):
        call = region.submit(name, 'count', wants_async=True, key='night-1')
        region.run(2_000)
        assert isinstance(region.answers[call], entry.Accepted)
    assert len(region.runs()) == 1
    call = region.submit(
        'entry-2', 'count', wants_async=True, key='night-1', body=b'other'
    )
    region.run(500)
    assert region.answers[call].kind is Kind.IDEMPOTENCY_KEY_REUSED


def test_idempotency_key_is_in_use_until_request_is_journaled(make_region):
    region = make_region()
    core = region.cores['entry-1']
    work = messages.Work(
        '',
        'accra',
        'rental',
        'count',
        shapes.RequestClass.BATCH,
        shapes.Demand(),
    )
    first = entry.RequestSubmitted(1, work, True, 'night-1')
    first_effects = core.handle(first, region.now)
    assert [type(effect) for effect in first_effects] == [effects.CallStore]
    second = entry.RequestSubmitted(2, work, True, 'night-1')
    answer = core.handle(second, region.now)[0]
    assert answer.call_id == 2
    assert answer.reply.kind is Kind.IDEMPOTENCY_KEY_IN_USE


def test_outcome_lookup_finds_request_that_ends_between_reads(make_region):
    region = make_region(entries=2)
    owner = owner_of(region)
    call = region.submit(owner, 'count', wants_async=True)
    region.run(50)
    request_id = region.answers[call].request_id
    core = region.cores[other_entry(region, owner)]
    asked = entry.OutcomeRequested(99, 'accra', request_id)
    outputs = core.handle(asked, region.now)
    while not isinstance(outputs[0], entry.Answer):
        read = outputs[0]
        found = region.store.call(read.request)
        region.run(15_000)
        done = effects.StoreDone(read.call_id, found)
        outputs = core.handle(done, region.now)
    assert keys_with_prefix(region, records.JOURNAL_PREFIX) == []
    assert outputs[0].reply.body == b'answer to size 42'


def test_polling_open_requests_limits_store_reads(make_region):
    region = make_region(entries=2, agents=0)
    call = region.submit('entry-1', 'count', wants_async=True)
    region.run(500)
    request_id = region.answers[call].request_id
    before = len(region.store.calls)
    for _ in range(40):
        asked = region.submit_input(
            (
                'entry-2',
                lambda c: entry.OutcomeRequested(c, 'accra', request_id),
            )
        )
        assert isinstance(region.answers[asked], entry.Pending)
        region.run(50)
    reads = [
        call
        for call in region.store.calls[before:]
        if request_id in getattr(call, 'key', '')
    ]
    assert len(reads) <= 2 * 3


def test_results_are_deleted_after_retention(make_region):
    region = make_region()
    region.submit(method='count', wants_async=True)
    region.run(2_000)
    assert len(keys_with_prefix(region, records.RESULTS_PREFIX)) == 1
    region.run(3_625_000, step_ms=500)
    assert keys_with_prefix(region, records.RESULTS_PREFIX) == []


def test_cancelled_queued_request_did_not_run(make_region):
    region = make_region(agents=0)
    call = region.submit(method='count', request_id='r-1')
    region.run(500)
    region.submit_input(
        ('entry-1', lambda c: entry.CancelRequested(c, 'accra', ['r-1']))
    )
    assert region.answers[call].kind is Kind.CANCELLED
    assert region.answers[call].ran is Ran.NO


def test_asynchronous_request_can_be_cancelled_at_any_entry(make_region):
    region = make_region(entries=2, agents=0)
    call = region.submit('entry-1', 'count', wants_async=True)
    region.run(500)
    request_id = region.answers[call].request_id
    region.submit_input(
        ('entry-2', lambda c: entry.CancelRequested(c, 'accra', [request_id]))
    )
    region.run(500)
    for name in ('entry-1', 'entry-2'):
        asked = region.submit_input(
            (name, lambda c: entry.OutcomeRequested(c, 'accra', request_id))
        )
        assert region.answers[asked].kind is Kind.CANCELLED


def test_request_is_hidden_from_other_accounts(make_region):
    region = make_region()
    call = region.submit(method='count', wants_async=True)
    region.run(500)
    request_id = region.answers[call].request_id
    asked = region.submit_input(
        ('entry-1', lambda c: entry.OutcomeRequested(c, 'tema', request_id))
    )
    assert region.answers[asked].kind is Kind.UNKNOWN_REQUEST


def test_stop_drains_every_open_request(make_region):
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.run_ms = 3_000
    owner = owner_of(region)
    other = other_entry(region, owner)
    calls = [region.submit(owner), region.submit(owner, 'count')]
    calls.append(region.submit(other, 'count'))
    region.run(500)
    region.deliver(owner, entry.StopRequested())
    region.deliver(owner, entry.StopRequested())
    region.run(1_500)
    assert owner not in region.drained_entries
    region.run(15_000)
    assert region.drained_entries == [owner]
    assert all(region.answers[call].error is None for call in calls)
    assert len(region.runs()) == 3


def test_full_queue_refuses_request_that_did_not_run(make_region):
    region = make_region(agents=0, queue_limit=3)
    calls = [region.submit(method='count') for _ in range(5)]
    region.run(500)
    refused = [region.answers[c] for c in calls if c in region.answers]
    assert [error.kind for error in refused] == [Kind.QUEUE_FULL] * 2
    assert all(error.ran is Ran.NO for error in refused)
    assert all(error.retry_after_ms > 0 for error in refused)
