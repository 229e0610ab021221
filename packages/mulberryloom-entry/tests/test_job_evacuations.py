"""Tests of evacuated data centres: their state, and the leader's runs."""

import asyncio

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import evacuations
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import leader as leaders
from mulberryloom_entry.jobs import record_cache
from mulberryloom_entry.jobs import term as terms
from mulberryloom_standins.store import core as store_core
import pytest
from result import Err
from result import Ok
import structlog

PREFIX = keys.EVACUATIONS
VALID_MS = 1_500
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a')],
)


def _entry(name, revision):
    return store.Entry(PREFIX + name, b'', revision)


# The state


def test_stale_list_does_not_end_an_evacuation():
    state = evacuations.Evacuations(PREFIX)
    state.apply_list([_entry('d1', 7)], 9)
    assert state.apply_list([], 8).is_stale
    assert state.names == {'d1'}
    assert state.apply_list([], 10).ended_by_name == {'d1': 10}


def test_list_read_before_a_conflict_does_not_end_the_evacuation():
    """A late answer: the key was written after the list was read."""
    state = evacuations.Evacuations(PREFIX)
    state.apply_list([], 9)
    assert state.apply_conflict([_entry('d1', 12)]).begun_by_name == {'d1': 12}
    state.apply_list([], 11)
    assert state.names == {'d1'}
    state.apply_list([], 13)
    assert state.names == frozenset()


def test_late_conflict_does_not_repeat_an_ended_evacuation():
    """It would block the data centre until the next change of a key."""
    state = evacuations.Evacuations(PREFIX)
    state.apply_list([], 14)
    assert state.apply_conflict([_entry('d1', 12)]).begun_by_name == {}
    assert state.names == frozenset()


def test_list_from_before_the_election_is_stale():
    state = evacuations.Evacuations(PREFIX, 20)
    assert state.apply_list([], 19).is_stale
    assert not state.is_ready
    state.apply_list([_entry('d1', 7)], 20)
    assert state.is_ready and state.names == {'d1'}


def test_store_without_its_history_is_listed_at_a_higher_revision():
    """Keys keep their old revisions when the history of changes is lost."""
    state = evacuations.Evacuations(PREFIX)
    state.apply_list([_entry('d1', 3)], 50)
    change = state.apply_list([_entry('d1', 3)], 900)
    assert change == evacuations.EvacuationChange()
    assert state.names == {'d1'}


# The leader


class Region:
    """A leader, one worker in each of two data centres, and a store."""

    def __init__(self, **options):
        self.now_ms = 10_000
        self.store = store_core.StoreCore()
        self.options = leaders.LeaderOptions(
            **{
                'evacuation_prefix': PREFIX,
                'start_order_valid_ms': VALID_MS,
                **options,
            }
        )
        self.orders = []
        self.listed = {'w1': [], 'w2': []}
        self.sequence_by_worker = {'w1': 0, 'w2': 0}
        self.elect()

    def elect(self):
        """Start the term of a new leader, which has not read any list."""
        revision = self.store.state.revision_of(keys.LEADER)
        reply = self.call(
            store.Transact({keys.LEADER: revision}, {keys.LEADER: b'{}'})
        )
        self.leader = leaders.Leader(reply.revision, self.options, self.now_ms)
        self.leader.catalogue = CATALOGUE
        self.leader.apply_records(
            self.store.state.list_prefix(keys.JOBS), self.now_ms, self.now_ms
        )

    def call(self, request):
        return self.store.handle(request, self.now_ms).unwrap()

    def evacuate(self, name):
        self.call(store.Transact({PREFIX + name: 0}, {PREFIX + name: b'1'}))

    def list_evacuations(self):
        reply = self.call(store.ListKeys(PREFIX))
        self.leader.apply_evacuations(
            reply.entries, reply.revision, self.now_ms
        )

    def report(self):
        for worker, data_centre in (('w1', 'd1'), ('w2', 'd2')):
            running = [
                messages.RunningTask(task, run, '', 10)
                for task, run in self.listed[worker]
            ]
            report = messages.WorkerReport(
                worker, 1, 's', data_centre, 'r', ['a', 'r'], 16_000, 16_000,
                8, False, 0, self.leader.generation,
                self.sequence_by_worker[worker], self.now_ms, True, True,
                running, [], [],
            )  # fmt: skip
            self.leader.on_report(
                f'{worker}.1', report, self.now_ms, self.now_ms
            )

    def submit(self, number, tasks, accelerators=8, **fields):
        job_id = f'{number:016x}'
        step = jobs.Step(tasks, 1_000, accelerators=accelerators, **fields)
        spec = jobs.JobSpec('x', (step,))
        job = jobs.Job.from_spec(job_id, spec, jobs.JobTerms('q', 's', 'a'), 0)
        key, value = keys.job_key(job_id), job_records.encode(job)
        reply = self.call(store.Transact({key: 0}, {key: value}))
        entry = store.Entry(key, value, reply.revision)
        self.leader.apply_records([entry], self.now_ms, self.now_ms)
        return job_id

    def start_term(self):
        self.list_evacuations()
        self.report()
        self.now_ms += self.options.startup_wait_ms
        self.report()

    def plan(self):
        self.now_ms += 10
        self.leader.confirmed_ms = self.now_ms
        self.leader.tick(self.now_ms, self.now_ms)
        self.leader._needs_plan = True
        self.leader.plan(self.now_ms, self.now_ms)

    def write(self, batch=None, **times):
        """Write a batch, by default the next one; return the reply."""
        batch = batch or self.leader.next_batch()
        if batch is None:
            return None
        reply = self.call(batch.request)
        self.leader.complete_batch(
            batch, reply, self.now_ms, self.now_ms, **times
        )
        return reply

    def write_all(self):
        while self.write() is not None:
            pass

    def send(self):
        """Take orders; return the starts and stops by worker."""
        starts, stops = set(), set()
        for node, orders in self.leader.take_orders(self.now_ms):
            self.sequence_by_worker[orders.worker] = orders.sequence
            for item in orders.starts:
                starts.add((orders.worker, item.task, item.run_number))
            for item in orders.stops:
                stops.add((orders.worker, item.task, item.run_number))
        return starts, stops

    def recorded_workers(self):
        """Return the workers of all runs that the store's records hold."""
        return {
            task.run.worker
            for entry in self.store.state.list_prefix(keys.JOBS)
            for task in job_records.decode(entry.value).unwrap().active_tasks()
        }


def _workers(orders):
    return {order[0] for order in orders}


@pytest.fixture
def region():
    region = Region()
    region.start_term()
    return region


def test_leader_plans_only_after_the_first_list():
    region = Region()
    region.submit(1, 1)
    region.report()
    region.now_ms += 1_000
    region.plan()
    assert region.leader.next_batch() is None
    region.list_evacuations()
    region.plan()
    assert region.leader.next_batch() is not None


def test_evacuation_between_plan_and_write_rejects_the_record(region):
    region.submit(1, 2)
    region.plan()
    region.evacuate('d1')
    assert isinstance(region.write(), store.Conflict)
    region.write_all()
    assert region.recorded_workers() == {'w2'}
    starts, stops = region.send()
    assert _workers(starts) == {'w2'} and not stops
    region.plan()
    assert region.leader.next_batch() is None
    metrics = region.leader._metrics.text()
    assert 'evacuation_conflicts_total' in metrics


def test_evacuation_between_record_and_order_discards_the_run(region):
    region.submit(1, 2)
    region.plan()
    region.write()
    region.evacuate('d1')
    region.list_evacuations()
    starts, stops = region.send()
    assert _workers(starts) == {'w2'} and not stops
    region.write_all()
    assert region.recorded_workers() == {'w2'}


def test_evacuation_after_order_stops_only_runs_that_are_not_listed(region):
    region.submit(1, 1)
    region.submit(2, 1)
    region.plan()
    region.write_all()
    starts, _ = region.send()
    for worker, task, run in starts:
        region.listed[worker].append((task, run))
    region.report()
    region.evacuate('d1')
    region.evacuate('d2')
    region.list_evacuations()
    assert region.send() == (set(), set())


def test_unlisted_run_is_stopped_when_its_data_centre_is_evacuated(region):
    region.submit(1, 2)
    region.plan()
    region.write()
    region.send()
    region.evacuate('d1')
    region.list_evacuations()
    _, stops = region.send()
    assert _workers(stops) == {'w1'}


def test_conflict_discards_all_members_of_a_gang(region):
    """A member elsewhere would wait for the one that cannot start."""
    job_id = region.submit(1, 2, is_gang=True)
    region.plan()
    region.evacuate('d1')
    assert isinstance(region.write(), store.Conflict)
    region.write_all()
    assert region.send() == (set(), set())
    assert region.recorded_workers() == set()
    assert not region.leader._runs.run_by_key
    region.plan()
    assert [
        item['reason']
        for item in region.leader.decisions_on(job_id)
        if item['event'] == 'step waiting'
    ] == ['data centre evacuated']


def test_evacuation_stops_listed_member_of_a_gang_that_cannot_begin(region):
    region.submit(1, 2, is_gang=True)
    region.plan()
    region.write()
    starts, _ = region.send()
    region.listed['w2'] = [s[1:] for s in starts if s[0] == 'w2']
    region.sequence_by_worker['w1'] = 0
    region.report()
    region.evacuate('d1')
    region.list_evacuations()
    _, stops = region.send()
    assert _workers(stops) == {'w1', 'w2'}


def test_retry_that_finds_its_records_sends_no_start_to_the_evacuated(region):
    """The reply to the first attempt was lost."""
    region.submit(1, 2)
    region.plan()
    batch = region.leader.next_batch()
    assert isinstance(region.call(batch.request), store.Written)
    region.evacuate('d1')
    assert isinstance(region.write(batch), store.Conflict)
    starts, stops = region.send()
    assert _workers(starts) == {'w2'} and not stops
    region.write_all()
    assert region.recorded_workers() == {'w2'}


def test_runs_that_are_planned_during_a_write_are_discarded_too(region):
    """They wait for the next batch when the conflict arrives."""
    region.submit(1, 1, accelerators=4)
    region.plan()
    batch = region.leader.next_batch()
    region.submit(2, 3, accelerators=4)
    region.plan()
    region.evacuate('d1')
    region.write(batch)
    assert {
        run.run.worker for run in region.leader._runs.run_by_key.values()
    } <= {'w2'}
    while region.write() is not None:
        region.plan()
    assert region.recorded_workers() == {'w2'}


def test_unrelated_jobs_of_a_rejected_batch_are_written(region):
    region.submit(1, 1)
    region.submit(2, 1)
    region.plan()
    region.evacuate('d1')
    region.write()
    region.write_all()
    starts, _ = region.send()
    assert _workers(starts) == {'w2'}


def test_new_leader_orders_no_run_that_its_predecessor_recorded(region):
    """The order may never have been sent, and the data centre is evacuated."""
    region.submit(1, 2)
    region.plan()
    region.write()
    region.evacuate('d1')
    region.elect()
    region.start_term()
    assert region.send()[0] == set()
    region.report()
    region.plan()
    region.write_all()
    starts, _ = region.send()
    assert _workers(starts) == {'w2'}


def test_paused_leader_sends_no_expired_start(region):
    region.submit(1, 1)
    region.plan()
    sent_ms = region.now_ms
    region.write(first_sent_ms=sent_ms, last_sent_ms=sent_ms)
    region.now_ms += VALID_MS
    assert region.send() == (set(), set())
    assert not region.leader._runs.run_by_key


def test_start_that_a_lost_session_may_have_lost_is_not_repeated_late(region):
    region.submit(1, 1)
    region.plan()
    region.write()
    (start,) = region.send()[0]
    region.now_ms += 1_000
    region.leader.on_session(f'{start[0]}.1')
    assert region.send()[0] == {start}
    region.now_ms += VALID_MS
    region.leader.on_session(f'{start[0]}.1')
    assert region.send() == (set(), {start})


def test_sent_start_may_be_listed_after_its_order_has_expired(region):
    region.submit(1, 1)
    region.plan()
    region.write()
    (start,) = region.send()[0]
    region.now_ms += 2 * VALID_MS
    assert region.send() == (set(), set())
    region.listed[start[0]] = [start[1:]]
    region.report()
    region.plan()
    assert region.send()[1] == set()


@pytest.mark.parametrize(('is_first_lost', 'may_start'), [(0, 1), (1, 0)])
def test_validity_counts_from_the_attempt_that_wrote_the_record(
    region, is_first_lost, may_start
):
    region.submit(1, 1)
    region.plan()
    batch = region.leader.next_batch()
    first_sent_ms = region.now_ms
    if is_first_lost:
        region.call(batch.request)
    region.now_ms += VALID_MS
    region.write(
        batch, first_sent_ms=first_sent_ms, last_sent_ms=region.now_ms
    )
    assert len(region.send()[0]) == may_start


def test_start_expires_only_where_its_validity_is_set():
    region = Region(evacuation_prefix='', start_order_valid_ms=0)
    region.start_term()
    region.submit(1, 1)
    region.plan()
    region.write()
    region.now_ms += 1_999
    assert len(region.send()[0]) == 1


# Guards against lines that operators look for but that are not written, or
# are repeated with every plan.
def test_evacuations_are_logged_and_counted_once(region):
    account = catalogues.Account('a', frozenset(), 12)
    region.leader.catalogue = catalogues.Catalogue.from_parts(
        2, [], [], [account]
    )
    with structlog.testing.capture_logs() as lines:
        region.evacuate('d1')
        region.evacuate('elsewhere')
        region.list_evacuations()
        for _ in range(3):
            region.plan()
    by_event = {}
    for line in lines:
        by_event.setdefault(line['event'], []).append(line)
    begun = {
        line['data_centre']: line for line in by_event[evacuations.REASON]
    }
    assert begun['d1']['learned_by'] == 'list'
    assert (begun['d1']['workers'], begun['d1']['running']) == (1, 0)
    (unknown,) = by_event['evacuated data centre unknown']
    assert unknown['data_centre'] == 'elsewhere'
    (shortage,) = by_event[
        'guaranteed accelerators while data centres are evacuated'
    ]
    assert (shortage['accelerators'], shortage['guaranteed']) == (8, 12)
    region.leader.update_gauges()
    gauges = region.leader._metrics.text().splitlines()
    assert any(
        line.startswith('evacuated_data_centres')
        and float(line.split()[-1]) == 2
        for line in gauges
    ), [line for line in gauges if 'evacuated' in line]


# The record cache


def _cache_with_runs(region, data_centres_by_job):
    cache = record_cache.JobRecordCache(1, PREFIX)
    for number, data_centres in enumerate(data_centres_by_job):
        job_id = region.submit(number, len(data_centres) or 1)
        entry = region.store.state.get(keys.job_key(job_id))
        job = cache.apply_entry(entry)
        cache.mark_dirty(job_id)
        for task, data_centre in zip(job.tasks_of(0, 0), data_centres):
            task.run = jobs.Run(1, 'w', 1)
            run = leaders.ActiveRun(
                job, task, task.run, job.spec.steps[0], ('w', 1), 0
            )
            event = record_cache.RunRecorded(run, data_centre)
            cache.mark_dirty(job_id, event)
    return cache


def _size(batch):
    request = batch.request
    return len(request.expected_by_key) + len(request.values_by_key)


def test_conditions_count_towards_the_size_of_a_transaction(region):
    cache = _cache_with_runs(region, [[f'd{n % 4}'] for n in range(20)])
    batch = cache.next_batch()
    assert _size(batch) <= record_cache.MAX_TRANSACTION_ITEMS
    assert len(batch.value_by_job_id) == 13
    assert {
        key for key in batch.request.expected_by_key if key.startswith(PREFIX)
    } == {f'{PREFIX}d{n}' for n in range(4)}


def test_batch_without_new_runs_has_no_condition_on_data_centres(region):
    cache = _cache_with_runs(region, [[]] * 20)
    batch = cache.next_batch()
    assert len(batch.value_by_job_id) == 15
    assert not any(
        key.startswith(PREFIX) for key in batch.request.expected_by_key
    )


def test_stopping_run_needs_no_condition(region):
    """It could not be recorded, and so not be discarded, otherwise."""
    region.submit(1, 1)
    region.plan()
    (run,) = region.leader._runs.run_by_key.values()
    region.leader._runs.stop(run, 'test')
    region.evacuate('d1')
    region.evacuate('d2')
    assert isinstance(region.write(), store.Written)
    assert region.send() == (set(), set())


# The term


class ScriptedStore:
    """Store whose answers to lists and watches a test supplies.

    :ivar requests: names of all requests.
    """

    def __init__(self, answers):
        self._answers = list(answers)
        self.requests = []

    async def call(self, request):
        await asyncio.sleep(0)
        self.requests.append(type(request).__name__)
        if not self._answers:
            await asyncio.Event().wait()
        return self._answers.pop(0)


def _follow(answers, monkeypatch):
    """Follow the keys until the answers are used up; return what happened."""
    monkeypatch.setattr(terms, 'EVACUATION_RETRY_PAUSE_MS', 1)

    async def run():
        leader = leaders.Leader(
            5, leaders.LeaderOptions(evacuation_prefix=PREFIX), 0
        )
        client = ScriptedStore(answers)
        term = terms.Term(leader, None, client, clocks.ManualClock(1_000), 5)
        task = asyncio.create_task(term._follow_evacuations())
        await asyncio.sleep(0.05)
        task.cancel()
        return client.requests, leader._evacuations.names

    return asyncio.run(run())


def test_term_lists_again_after_events_and_failures(monkeypatch):
    error = exceptions.Error.from_kind(exceptions.ErrorKind.STORE_UNAVAILABLE)
    requests, names = _follow(
        [
            Err(error),
            Ok(store.Entries([], 4)),  # from before the election
            Ok(store.Entries([], 6)),
            Ok(store.Entries([], 7)),  # the watch has timed out
            Ok(store.Entries([_entry('d1', 8)], 8)),
            Ok(store.Entries([_entry('d1', 8)], 8)),
            Err(error),  # the watch was reset
            Ok(store.Entries([_entry('d1', 8), _entry('d2', 9)], 9)),
        ],
        monkeypatch,
    )
    lists, watches = 'ListKeys', 'WatchPrefix'
    assert requests == [
        lists, lists, lists, watches, watches, lists, watches, lists, watches
    ]  # fmt: skip
    assert names == {'d1', 'd2'}
