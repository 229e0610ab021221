"""The leader's core, fed by hand."""

from mulberryloom_core import messages
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import leader as leaders

JOB_ID = 'a' * 16
TASK = f'{JOB_ID}.0.0.0'
GENERATION = 5
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a')],
)


class Term:
    """A leader with one agent and a store that always answers."""

    def __init__(self):
        self.now_ms = 10_000
        self.revision = 100
        options = leaders.LeaderOptions()
        self.leader = leaders.Leader(GENERATION, options, 0)
        self.leader.catalogue = CATALOGUE
        self.orders = []

    def report(self, *, running=(), sequence=0, node='vm.1', **fields):
        found = {'is_listed': True, 'is_alive': True, **fields}
        report = messages.WorkerReport(
            'w',
            1,
            's',
            'dc',
            'r',
            ['a', 'r'],
            16_000,
            16_000,
            8,
            False,
            0,
            GENERATION,
            sequence,
            self.now_ms,
            found['is_listed'],
            found['is_alive'],
            [messages.RunningTask(TASK, run, '', 0) for run in running],
            [],
            [],
        )
        self.leader.on_report(node, report, self.now_ms, self.now_ms)

    def submit(self, *, is_cancelled=False):
        spec = jobs.JobSpec('x', (jobs.Step(1, 1_000),))
        job = jobs.Job.from_spec(JOB_ID, spec, jobs.Terms('q', 's', 'a'), 0)
        job.is_cancelled = is_cancelled
        self.revision += 1
        entry = store.Entry(
            keys.job_key(JOB_ID), job_records.encode(job), self.revision
        )
        self.leader.adopt([entry], self.now_ms, self.now_ms)

    def step(self):
        """Plan, write and send what is due."""
        self.now_ms += 50
        leader = self.leader
        leader.confirmed_ms = self.now_ms
        leader.plan(self.now_ms, self.now_ms)
        batch = leader.next_batch()
        if batch is not None:
            self.revision += 1
            reply = store.Written(self.revision)
            leader.settle(batch, reply, self.now_ms, self.now_ms)
        self.orders = [o for _, o in leader.take_orders(self.now_ms)]

    def started(self):
        return [s.run_number for o in self.orders for s in o.starts]

    def stopped(self):
        return [s.run_number for o in self.orders for s in o.stops]


def _running_term():
    term = Term()
    term.report()
    term.step()
    term.submit()
    term.step()
    assert term.started() == [1]
    return term


def test_start_is_sent_only_after_its_record_is_stored():
    term = Term()
    term.report()
    term.step()
    term.submit()
    leader = term.leader
    leader.plan(term.now_ms + 50, term.now_ms)
    sent = [
        s for _, o in leader.take_orders(term.now_ms + 60) for s in o.starts
    ]
    assert sent == []
    term.step()
    assert term.started() == [1]


def test_a_new_leader_starts_work_once_its_agents_have_come():
    """It waits for more agents only before it stops anything."""
    term = Term()
    began_ms = term.now_ms
    options = leaders.LeaderOptions()
    term.leader = leaders.Leader(GENERATION, options, began_ms)
    term.leader.catalogue = CATALOGUE
    term.submit()
    term.report()
    term.step()
    assert term.started() == []
    while not term.started():
        term.report()
        term.step()
    assert term.now_ms - began_ms <= options.settle_ms + 100


def test_a_new_leader_stops_nothing_while_agents_may_come():
    term = Term()
    options = leaders.LeaderOptions()
    term.leader = leaders.Leader(GENERATION, options, term.now_ms)
    term.leader.catalogue = CATALOGUE
    began_ms = term.now_ms
    term.submit()
    allowed = {}
    plan = term.leader._planner.plan

    def watch(*given, may_stop):
        allowed[term.now_ms - began_ms] = may_stop
        return plan(*given, may_stop=may_stop)

    term.leader._planner.plan = watch
    while term.now_ms - began_ms < options.gather_ms + 100:
        term.leader._needs_plan = True
        term.report()
        term.step()
    assert min(allowed) < options.gather_ms
    for after_ms, may_stop in allowed.items():
        assert may_stop == (after_ms >= options.gather_ms)


def test_reports_without_news_cause_no_plans():
    """Agents report more than once a second each, whatever happens."""
    term = _running_term()
    term.report(running=[1], sequence=1)
    term.step()
    rounds = []
    plan = term.leader._planner.plan

    def count(*given, **options):
        rounds.append(1)
        return plan(*given, **options)

    term.leader._planner.plan = count
    for _ in range(40):
        term.report(running=[1], sequence=1)
        term.step()
    spent_ms = 40 * 50
    assert len(rounds) <= spent_ms // leaders.LeaderOptions().replan_ms
    term.report(running=[1], sequence=1, is_alive=False)
    term.step()
    assert len(rounds) > 0


def test_waiting_work_is_looked_at_more_often():
    """What runs may end later than it seemed, and nobody reports that."""
    term = _running_term()
    spec = jobs.JobSpec('x', (jobs.Step(1, accelerators=8),))
    for job_id in ('b' * 16, 'c' * 16):
        job = jobs.Job.from_spec(job_id, spec, jobs.Terms('q', 's', 'a'), 0)
        term.revision += 1
        value = job_records.encode(job)
        entry = store.Entry(keys.job_key(job_id), value, term.revision)
        term.leader.adopt([entry], term.now_ms, term.now_ms)
    term.step()
    rounds = []
    plan = term.leader._planner.plan

    def count(*given, **options):
        rounds.append(1)
        return plan(*given, **options)

    term.leader._planner.plan = count
    for _ in range(40):
        term.step()
    spent_ms = 40 * 50
    pause_ms = leaders.LeaderOptions().waiting_replan_ms
    assert len(rounds) >= spent_ms // (2 * pause_ms)


def test_orders_are_sent_again_in_a_new_session():
    term = _running_term()
    term.leader.on_session('vm.1')
    term.step()
    assert term.started() == [1]


def test_sent_run_is_stopped_and_not_forgotten_after_a_new_session():
    term = _running_term()
    term.leader.on_session('vm.1')
    term.submit(is_cancelled=True)
    term.step()
    assert term.stopped() == [1]
    assert term.started() == []


def test_run_that_the_worker_does_not_have_starts_under_another_number():
    term = _running_term()
    sequence = term.orders[0].sequence
    term.report(sequence=sequence - 1)
    term.step()
    assert term.started() == []
    term.report(sequence=sequence)
    term.step()
    assert term.started() == [2]


def test_lapsed_lease_gives_up_only_what_the_agent_has_taken_in():
    term = _running_term()
    sequence = term.orders[0].sequence
    term.report(sequence=sequence - 1, is_alive=False)
    term.report(sequence=sequence - 1)
    term.step()
    assert term.started() == []
    term.report(sequence=sequence, is_alive=False)
    term.report(sequence=sequence)
    term.step()
    assert term.started() == [2]


def test_deposed_leader_learns_it_from_its_next_write():
    term = Term()
    term.report()
    term.step()
    term.submit()
    term.leader.plan(term.now_ms + 50, term.now_ms)
    batch = term.leader.next_batch()
    other = store.Entry(keys.LEADER, b'{}', GENERATION + 1)
    conflict = store.Conflict({keys.LEADER: other})
    term.leader.settle(batch, conflict, term.now_ms, term.now_ms)
    assert term.leader.is_deposed
    assert all(not o.starts for _, o in term.leader.take_orders(term.now_ms))
