"""Tests of the leader's core with a single agent."""

from mulberryloom_core import messages
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import leader as leaders
from mulberryloom_entry.jobs import record_cache
import pytest
import structlog

JOB_ID = 'a' * 16
TASK = f'{JOB_ID}.0.0.0'
GENERATION = 5
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a')],
)


class LeaderHarness:
    """A leader, one agent and a store that always replies."""

    def __init__(self):
        self.now_ms = 10_000
        self.revision = 100
        self.write_count = 0
        self.stored_job = None
        options = leaders.LeaderOptions()
        self.metrics = process_metrics.ProcessMetrics()
        self.leader = leaders.Leader(GENERATION, options, 0, self.metrics)
        self.leader.catalogue = CATALOGUE
        self.orders = []

    def report(self, *, running=(), sequence=0, node='vm.1', **fields):
        found = {'boot': 1, 'is_listed': True, 'is_alive': True, **fields}
        report = messages.WorkerReport(
            found.get('worker', 'w'),
            found['boot'],
            found.get('service', 's'),
            found.get('data_centre', 'dc'),
            found.get('rack', 'r'),
            found.get('labels', ['a', 'r']),
            found.get('cpu_millis', 16_000),
            16_000,
            found.get('accelerators', 8),
            False,
            0,
            GENERATION,
            sequence,
            self.now_ms,
            found['is_listed'],
            found['is_alive'],
            [
                messages.RunningTask(
                    TASK,
                    run,
                    found.get('checkpoint', ''),
                    found.get('progress', 0),
                )
                for run in running
            ],
            list(found.get('ended', ())),
            [],
            warmup_left_ms=found.get('warmup_left_ms', 0),
            lists_age_ms=found.get('lists_age_ms', 0),
            speed_permille=found.get('speed_permille', 0),
            is_partial=found.get('is_partial', False),
        )
        self.leader.on_report(node, report, self.now_ms, self.now_ms)

    def submit(self, *, is_cancelled=False, **fields):
        self.submit_steps(
            jobs.Step(1, 1_000, **fields), is_cancelled=is_cancelled
        )

    def submit_other(self):
        """Submit another job, of one task that needs a core."""
        self.submit_steps(jobs.Step(1, 1_000), job_id='b' * 16)

    def submit_steps(self, *steps, job_id=JOB_ID, is_cancelled=False):
        spec = jobs.JobSpec('x', steps)
        job = jobs.Job.from_spec(job_id, spec, jobs.JobTerms('q', 's', 'a'), 0)
        job.is_cancelled = is_cancelled
        self.revision += 1
        entry = store.Entry(
            keys.job_key(job_id), job_records.encode(job), self.revision
        )
        self.leader.apply_records([entry], self.now_ms, self.now_ms)

    def advance(self):
        """Advance the time; plan, write records and take orders."""
        self.now_ms += 50
        leader = self.leader
        leader.confirmed_ms = self.now_ms
        leader.tick(self.now_ms, self.now_ms)
        leader.plan(self.now_ms, self.now_ms)
        batch = leader.next_batch()
        if batch is not None:
            self.revision += 1
            self.write_count += 1
            for value in batch.value_by_job_id.values():
                self.stored_job = job_records.decode(value).unwrap()
            reply = store.Written(self.revision)
            leader.complete_batch(batch, reply, self.now_ms, self.now_ms)
        self.orders = [o for _, o in leader.take_orders(self.now_ms)]

    def started_runs(self):
        return [s.run_number for o in self.orders for s in o.starts]

    def stopped_runs(self):
        return [s.run_number for o in self.orders for s in o.stops]


def _harness_with_running_job():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit()
    harness.advance()
    assert harness.started_runs() == [1]
    return harness


# Guards against a worker that gets no work, since its agent had described it
# by a heartbeat of another writer at first.
def test_worker_that_is_described_anew_gets_the_work_of_its_service():
    harness = LeaderHarness()
    harness.report(service='x', data_centre='y', rack='z', labels=['b'])
    harness.advance()
    harness.submit(label='a')
    harness.advance()
    assert harness.started_runs() == []
    harness.report()
    harness.advance()
    assert harness.started_runs() == [1]


# Guards against runs that are given up, since their worker is described anew.
def test_runs_of_a_worker_that_is_described_anew_go_on():
    harness = _harness_with_running_job()
    harness.report(running=[1], sequence=99)
    harness.report(running=[1], sequence=99, service='x', rack='z')
    harness.advance()
    assert (harness.started_runs(), harness.stopped_runs()) == ([], [])
    (worker,) = harness.leader._link_by_key.values()
    assert (worker.capacity.service, worker.capacity.rack) == ('x', 'z')
    assert len(worker.capacity.run_by_key) == 1


def test_leader_sends_start_only_after_its_record_is_stored():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit()
    leader = harness.leader
    leader.plan(harness.now_ms + 50, harness.now_ms)
    sent = [
        s for _, o in leader.take_orders(harness.now_ms + 60) for s in o.starts
    ]
    assert sent == []
    harness.advance()
    assert harness.started_runs() == [1]


@pytest.mark.parametrize(('is_silent', 'is_stopped'), [(1, 0), (0, 1)])
def test_run_of_silent_worker_is_not_taken_for_stalled(is_silent, is_stopped):
    """Agents repeat the last list of a worker that does not answer.

    Its run was stopped for lack of progress, though it went on.
    """
    harness = _harness_with_running_job()
    listed_ms = harness.now_ms
    stopped = []
    for _ in range(160):
        age_ms = (harness.now_ms - listed_ms) * is_silent
        harness.report(running=[1], sequence=2, lists_age_ms=age_ms)
        harness.advance()
        stopped += harness.stopped_runs()
    assert stopped == [1] * is_stopped


def test_new_leader_starts_runs_once_its_workers_have_reported():
    """Once they have reported, the startup wait delays only stops."""
    harness = LeaderHarness()
    began_ms = harness.now_ms
    options = leaders.LeaderOptions()
    harness.leader = leaders.Leader(GENERATION, options, began_ms)
    harness.leader.catalogue = CATALOGUE
    harness.submit()
    harness.report()
    harness.advance()
    assert harness.started_runs() == []
    while not harness.started_runs():
        harness.report()
        harness.advance()
    assert harness.now_ms - began_ms <= options.startup_quiet_ms + 100


def test_new_leader_stops_no_runs_during_startup_wait():
    harness = LeaderHarness()
    options = leaders.LeaderOptions()
    harness.leader = leaders.Leader(GENERATION, options, harness.now_ms)
    harness.leader.catalogue = CATALOGUE
    began_ms = harness.now_ms
    harness.submit()
    may_preempt_by_age_ms = {}
    plan = harness.leader._planner.plan

    def record_may_preempt(*given, may_preempt, **options):
        may_preempt_by_age_ms[harness.now_ms - began_ms] = may_preempt
        return plan(*given, may_preempt=may_preempt, **options)

    harness.leader._planner.plan = record_may_preempt
    while harness.now_ms - began_ms < options.startup_wait_ms + 100:
        harness.leader._needs_plan = True
        harness.report()
        harness.advance()
    assert min(may_preempt_by_age_ms) < options.startup_wait_ms
    for after_ms, may_preempt in may_preempt_by_age_ms.items():
        assert may_preempt == (after_ms >= options.startup_wait_ms)


def test_reports_without_changes_trigger_no_extra_plans():
    """Each agent reports more than once a second, even without changes."""
    harness = _harness_with_running_job()
    harness.report(running=[1], sequence=1)
    harness.advance()
    plan_calls = []
    plan = harness.leader._planner.plan

    def record_plan_call(*given, **options):
        plan_calls.append(1)
        return plan(*given, **options)

    harness.leader._planner.plan = record_plan_call
    for _ in range(40):
        harness.report(running=[1], sequence=1)
        harness.advance()
    spent_ms = 40 * 50
    assert (
        len(plan_calls)
        <= spent_ms // leaders.LeaderOptions().replan_interval_ms
    )
    harness.report(running=[1], sequence=1, is_alive=False)
    harness.advance()
    assert len(plan_calls) > 0


def test_leader_plans_more_often_while_steps_wait():
    """Active runs may end later than expected, which no report shows."""
    harness = _harness_with_running_job()
    spec = jobs.JobSpec('x', (jobs.Step(1, accelerators=8),))
    for job_id in ('b' * 16, 'c' * 16):
        job = jobs.Job.from_spec(job_id, spec, jobs.JobTerms('q', 's', 'a'), 0)
        harness.revision += 1
        value = job_records.encode(job)
        entry = store.Entry(keys.job_key(job_id), value, harness.revision)
        harness.leader.apply_records([entry], harness.now_ms, harness.now_ms)
    harness.advance()
    plan_calls = []
    plan = harness.leader._planner.plan

    def record_plan_call(*given, **options):
        plan_calls.append(1)
        return plan(*given, **options)

    harness.leader._planner.plan = record_plan_call
    for _ in range(40):
        harness.advance()
    spent_ms = 40 * 50
    pause_ms = leaders.LeaderOptions().waiting_replan_interval_ms
    assert len(plan_calls) >= spent_ms // (2 * pause_ms)


def test_new_session_resends_orders():
    harness = _harness_with_running_job()
    harness.leader.on_session('vm.1')
    harness.advance()
    assert harness.started_runs() == [1]


def test_sent_run_is_stopped_when_cancelled_after_new_session():
    harness = _harness_with_running_job()
    harness.leader.on_session('vm.1')
    harness.submit(is_cancelled=True)
    harness.advance()
    assert harness.stopped_runs() == [1]
    assert harness.started_runs() == []


def test_unlisted_run_is_restarted_under_new_number():
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(sequence=sequence - 1)
    harness.advance()
    assert harness.started_runs() == []
    harness.report(sequence=sequence)
    harness.advance()
    assert harness.started_runs() == [2]


# Guards against two runs of one task: more runs had ended while the store was
# away than a worker lists at a time.
def test_run_that_a_partial_list_lacks_is_not_restarted():
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(sequence=sequence, is_partial=True)
    harness.advance()
    assert harness.started_runs() == []
    end = messages.EndedTask(501, TASK, 1, 'done', '')
    harness.report(sequence=sequence, ended=[end])
    harness.advance()
    assert harness.started_runs() == []
    assert _job_state(harness) is jobs.JobState.COMPLETED


# Guards against the same with a new leader, which knows the run from its
# record only.
def test_inherited_run_that_a_partial_list_lacks_is_not_restarted():
    harness = _harness_with_running_job()
    record = job_records.encode(harness.stored_job)
    entry = store.Entry(keys.job_key(JOB_ID), record, harness.revision)
    options = leaders.LeaderOptions()
    harness.leader = leaders.Leader(GENERATION, options, harness.now_ms)
    harness.leader.catalogue = CATALOGUE
    harness.leader.apply_records([entry], harness.now_ms, harness.now_ms)
    for _ in range(40):
        harness.report(is_partial=True)
        harness.advance()
        assert harness.started_runs() == []
    harness.report()
    harness.advance()
    assert harness.started_runs() == [2]


def test_expired_lease_discards_only_starts_that_agent_has_processed():
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(sequence=sequence - 1, is_alive=False)
    harness.report(sequence=sequence - 1)
    harness.advance()
    assert harness.started_runs() == []
    harness.report(sequence=sequence, is_alive=False)
    harness.report(sequence=sequence)
    harness.advance()
    assert harness.started_runs() == [2]


def _job_state(harness):
    return harness.leader.job_state(JOB_ID)


def test_late_success_stops_the_run_that_repeats_it():
    """An agent that was frozen reports the expired lease before the end.

    The leader has started the task again by the time at which the end of
    the first run is listed.
    """
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(running=[1], sequence=sequence)
    harness.report(sequence=sequence, is_alive=False)
    harness.report(sequence=sequence)
    harness.advance()
    assert harness.started_runs() == [2]
    done = messages.EndedTask(1, TASK, 1, 'done', '')
    harness.report(
        running=[2], sequence=harness.orders[0].sequence, ended=[done]
    )
    harness.advance()
    assert harness.stopped_runs() == [2]
    assert _job_state(harness) is jobs.JobState.COMPLETED


def test_repeated_run_that_fails_does_not_fail_the_done_job():
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(running=[1], sequence=sequence)
    harness.report(sequence=sequence, is_alive=False)
    harness.report(sequence=sequence)
    harness.advance()
    ends = [
        messages.EndedTask(1, TASK, 1, 'done', ''),
        messages.EndedTask(2, TASK, 2, 'failed', ''),
    ]
    harness.report(sequence=harness.orders[0].sequence, ended=ends)
    harness.advance()
    assert _job_state(harness) is jobs.JobState.COMPLETED


def _harness_with_checkpointed_run():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit(is_checkpointed=True)
    harness.advance()
    assert harness.started_runs() == [1]
    return harness


def test_checkpoints_survive_the_loss_of_the_leader_and_the_worker():
    """A power failure of a region ends the leader and all workers."""
    harness = _harness_with_checkpointed_run()
    sequence = harness.orders[0].sequence
    began_ms = harness.now_ms
    while harness.now_ms - began_ms <= record_cache.CHECKPOINT_WRITE_DELAY_MS:
        harness.report(running=[1], sequence=sequence, checkpoint='after-1-s')
        harness.advance()
    (task,) = harness.stored_job.active_tasks()
    assert task.checkpoint == 'after-1-s'


def test_checkpoints_of_a_long_run_are_written_at_intervals():
    harness = _harness_with_checkpointed_run()
    sequence = harness.orders[0].sequence
    written_before = harness.write_count
    began_ms = harness.now_ms
    intervals = 4
    spent_ms = intervals * record_cache.CHECKPOINT_WRITE_DELAY_MS
    while harness.now_ms - began_ms < spent_ms:
        harness.report(
            running=[1], sequence=sequence, checkpoint=str(harness.now_ms)
        )
        harness.advance()
    assert 0 < harness.write_count - written_before <= intervals


def test_a_checkpoint_that_is_listed_again_is_not_written_again():
    harness = _harness_with_checkpointed_run()
    sequence = harness.orders[0].sequence
    written_before = harness.write_count
    for _ in range(200):
        harness.report(running=[1], sequence=sequence, checkpoint='after-1-s')
        harness.advance()
    assert harness.write_count - written_before == 1


def test_callers_see_the_state_that_is_stored_not_a_later_one():
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(running=[1], sequence=sequence)
    harness.leader._records.mark_dirty(JOB_ID)
    batch = harness.leader.next_batch()
    done = messages.EndedTask(1, TASK, 1, 'done', '')
    harness.report(sequence=sequence, ended=[done])
    reply = store.Written(harness.revision + 1)
    harness.leader.complete_batch(batch, reply, harness.now_ms, harness.now_ms)
    assert _job_state(harness) is jobs.JobState.RUNNING
    harness.advance()
    assert _job_state(harness) is jobs.JobState.COMPLETED


def test_write_conflict_deposes_superseded_leader():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit()
    harness.leader.plan(harness.now_ms + 50, harness.now_ms)
    batch = harness.leader.next_batch()
    other = store.Entry(keys.LEADER, b'{}', GENERATION + 1)
    conflict = store.Conflict({keys.LEADER: other})
    harness.leader.complete_batch(
        batch, conflict, harness.now_ms, harness.now_ms
    )
    assert harness.leader.is_deposed
    assert all(
        not o.starts for _, o in harness.leader.take_orders(harness.now_ms)
    )


# Guards against two runs of one task: the agent was cut off while its worker
# restarted, so that its first report of the new incarnation holds its lists.
def test_restarted_worker_stops_a_run_before_its_task_starts_again():
    harness = _harness_with_running_job()
    sequence = harness.orders[0].sequence
    harness.report(running=[1], sequence=sequence)
    harness.advance()
    harness.report(boot=2, sequence=sequence)
    harness.advance()
    assert harness.stopped_runs() == [1]
    assert harness.started_runs() == []
    harness.report(boot=2, sequence=harness.orders[-1].sequence)
    harness.advance()
    harness.advance()
    assert harness.stored_job.task_by_key[jobs.TaskKey(0, 0, 0)].last_run == 2


# Guards against two runs of one task: a worker elsewhere with the name of
# this one is no evidence that this one has ended.
def test_worker_of_the_same_name_on_another_vm_ends_no_run():
    harness = _harness_with_running_job()
    for _ in range(20):
        harness.report(running=[1], sequence=harness.revision)
        harness.report(boot=9, sequence=harness.revision, node='other.1')
        harness.advance()
        assert not harness.started_runs()


# Guards against two runs of one task: another agent that takes this worker for
# its own says that its lease is over.
def test_report_from_another_vm_ends_no_run_of_a_worker():
    harness = _harness_with_running_job()
    sequence = harness.revision
    for _ in range(4):
        harness.report(running=[1], sequence=sequence)
        harness.report(is_alive=False, sequence=sequence, node='other.1')
        harness.advance()
        assert (harness.started_runs(), harness.stopped_runs()) == ([], [])


# Guards against two runs of one task: a restarted worker runs it by an order
# that was sent long before its agent came to know of the restart.
def test_run_that_a_restarted_worker_lists_is_stopped_before_it_starts_again():
    harness = _harness_with_running_job()
    for _ in range(17):
        harness.now_ms += 1_000
        harness.report(running=[1], sequence=harness.revision)
    harness.report(boot=2, running=[1])
    harness.advance()
    assert (harness.started_runs(), harness.stopped_runs()) == ([], [1])


# Guards against two runs of one task: a worker that has restarted carries out
# a start that was given up, and lists the run.
def test_task_waits_while_a_worker_lists_an_untracked_run_of_it():
    harness = _harness_with_running_job()
    harness.report(sequence=harness.orders[0].sequence)
    harness.advance()
    assert harness.started_runs() == [2]
    harness.report(sequence=harness.orders[0].sequence)
    harness.report(boot=2, running=[1])
    harness.advance()
    assert (harness.started_runs(), harness.stopped_runs()) == ([], [1])
    harness.report(boot=2)
    harness.advance()
    assert harness.started_runs() == [3]


# Guards against two runs of one task: an earlier process of the agent has
# reported the end of a lease, which arrives after its successor's reports.
def test_late_report_of_an_earlier_agent_process_ends_no_run():
    harness = LeaderHarness()
    harness.report(node='vm.1')
    harness.advance()
    earlier_sequence = harness.orders[0].sequence
    harness.report(node='vm.2')
    harness.submit()
    harness.advance()
    assert harness.started_runs() == [1]
    sequence = harness.orders[0].sequence
    harness.report(running=[1], sequence=sequence, node='vm.2')
    harness.report(is_alive=False, sequence=earlier_sequence, node='vm.1')
    for _ in range(4):
        harness.report(running=[1], sequence=sequence, node='vm.2')
        harness.advance()
        assert (harness.started_runs(), harness.stopped_runs()) == ([], [])


# Guards against two runs of one task: the clock of the VM was stepped back
# before its worker and its agent restarted, and a report on the earlier worker
# is the first that a new leader receives from the earlier agent process.
def test_late_report_on_an_earlier_worker_ends_no_run():
    harness = LeaderHarness()
    harness.leader.on_session('vm.1')
    harness.leader.on_session('vm.2')
    harness.report(worker='x', boot=5, node='vm.2')
    harness.submit()
    harness.advance()
    assert harness.started_runs() == [1]
    sequence = harness.orders[0].sequence
    running = {'worker': 'x', 'boot': 5, 'running': [1], 'sequence': sequence}
    harness.report(**running, node='vm.2')
    harness.report(worker='w', boot=9, node='vm.1')
    for _ in range(4):
        harness.report(**running, node='vm.2')
        harness.advance()
        assert (harness.started_runs(), harness.stopped_runs()) == ([], [])


# Guards against an agent whose reports are ignored for good, since an earlier
# process of it was the last that the leader came to know.
def test_agent_counts_again_once_the_session_of_its_earlier_process_ends():
    harness = LeaderHarness()
    harness.report(node='vm.2')
    harness.report(node='vm.1')
    harness.leader.on_session_lost('vm.1')
    harness.report(node='vm.2')
    harness.submit()
    harness.advance()
    assert harness.started_runs() == [1]
    (link,) = harness.leader._link_by_key.values()
    assert link.node == 'vm.2'


def test_warm_up_of_worker_is_kept_on_the_clock_of_the_planner():
    """The end must outlast the warm-up: runs begun before it end later."""
    harness = LeaderHarness()
    warm_at_ms = harness.now_ms + 2_000
    harness.report(warmup_left_ms=2_000)
    (link,) = harness.leader._link_by_key.values()
    assert link.capacity.warm_ms == warm_at_ms
    harness.leader._needs_plan = False
    harness.now_ms += 500
    harness.report(warmup_left_ms=1_500)
    assert link.capacity.warm_ms == warm_at_ms
    assert not harness.leader._needs_plan
    harness.now_ms += 2_500
    harness.report()
    assert link.capacity.warm_ms == warm_at_ms


def test_worker_that_is_warm_early_is_no_longer_cold():
    harness = LeaderHarness()
    harness.report(warmup_left_ms=60_000)
    harness.now_ms += 500
    harness.report()
    (link,) = harness.leader._link_by_key.values()
    assert link.capacity.warm_ms == harness.now_ms


def _sent_speeds(harness):
    """Return the speeds in the orders of the next second."""
    harness.now_ms += 1_000
    harness.advance()
    return {orders.speed_permille for orders in harness.orders}


def test_new_leader_starts_from_the_speed_that_an_agent_reports():
    harness = LeaderHarness()
    harness.report(speed_permille=620)
    assert _sent_speeds(harness) == {620}


def test_restarted_worker_keeps_the_speed_of_its_vm():
    """A new incarnation would be planned as a worker of normal speed."""
    harness = LeaderHarness()
    harness.report(speed_permille=620)
    harness.advance()
    harness.report(boot=2)
    assert _sent_speeds(harness) == {620}


def _harness_with_slow_run():
    """Return a leader that has learned from half of a run.

    It is declared to take 5 s and takes about 20 s.
    """
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit(estimate_ms=5_000)
    harness.advance()
    harness.report(running=[1], sequence=harness.orders[0].sequence)
    for progress in (5, 20, 35, 50):
        harness.now_ms += 2_500
        harness.report(
            running=[1],
            sequence=harness.orders[0].sequence,
            progress=progress,
        )
    return harness


def test_speed_learned_from_progress_is_sent_to_the_agent():
    (speed,) = _sent_speeds(_harness_with_slow_run())
    assert 0 < speed < 1_000


def test_run_that_is_stopped_teaches_no_speed():
    """A stopped run may have been disturbed by what caused the stop."""
    harness = _harness_with_slow_run()
    harness.submit(is_cancelled=True, estimate_ms=5_000)
    assert _sent_speeds(harness) == {0}


def _harness_with_unstored_run():
    """Return a leader that has planned a run whose record is not stored."""
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit(accelerators=8)
    harness.now_ms += 50
    harness.leader.plan(harness.now_ms, harness.now_ms)
    return harness


# Guards against a start on a worker that shrank while the store was slow.
def test_run_is_withdrawn_if_its_worker_shrinks_before_its_record_is_stored():
    harness = _harness_with_unstored_run()
    harness.report(accelerators=4)
    harness.advance()
    assert harness.started_runs() == []
    harness.advance()
    assert not any(harness.stored_job.active_tasks())


# Guards against starts that are withdrawn without need.
def test_run_starts_if_its_worker_has_grown_again_by_then():
    harness = _harness_with_unstored_run()
    harness.report(accelerators=4)
    harness.report(accelerators=8)
    harness.advance()
    assert harness.started_runs() == [1]


# Guards against a start that is sent again to a worker that has shrunk.
def test_start_is_not_sent_again_to_a_worker_that_has_shrunk():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit(accelerators=8)
    harness.advance()
    harness.report(accelerators=4)
    harness.leader.on_session('vm.1')
    harness.advance()
    assert harness.started_runs() == []
    assert harness.stopped_runs() == [1]


# Guards against a gang that runs in part on a worker that has shrunk.
def test_gang_is_withdrawn_as_a_whole_if_its_worker_shrinks():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    step = jobs.Step(2, 1_000, accelerators=4, is_gang=True)
    harness.submit_steps(step)
    harness.now_ms += 50
    harness.leader.plan(harness.now_ms, harness.now_ms)
    harness.report(accelerators=4)
    harness.advance()
    assert harness.started_runs() == []
    harness.advance()
    assert not any(harness.stored_job.active_tasks())


# Guards against a task without accelerators on a worker that has fewer of them
# than its runs use.
def test_worker_that_has_shrunk_below_its_runs_gets_no_start_of_any_shape():
    harness = LeaderHarness()
    harness.report()
    harness.advance()
    harness.submit(accelerators=8)
    harness.advance()
    sequence = harness.orders[0].sequence
    harness.report(running=[1], sequence=sequence, accelerators=4)
    harness.submit_other()
    harness.advance()
    assert harness.started_runs() == []
    harness.report(running=[1], sequence=sequence, accelerators=8)
    harness.advance()
    assert harness.started_runs() == [1]


# Guards against a new leader that counts with the room of earlier reports.
def test_new_leader_adopts_a_worker_that_has_shrunk_below_its_runs():
    harness = _harness_with_running_job()
    stored = harness.stored_job
    harness.leader = leaders.Leader(
        GENERATION, leaders.LeaderOptions(), harness.now_ms
    )
    harness.leader.catalogue = CATALOGUE
    entry = store.Entry(
        keys.job_key(JOB_ID), job_records.encode(stored), harness.revision
    )
    harness.leader.apply_records([entry], harness.now_ms, harness.now_ms)
    harness.submit_other()
    started = []
    for _ in range(60):
        harness.report(running=[1], cpu_millis=1_500)
        harness.advance()
        started += harness.started_runs()
    assert started == []


def _let_silent(harness):
    harness.now_ms += 60_000
    harness.leader.tick(harness.now_ms, harness.now_ms)


def _let_lease_expire(harness):
    harness.report(running=[1], sequence=1)
    harness.report(is_alive=False, sequence=1)


def _restart_worker(harness):
    harness.report(boot=2)


def _replace_worker(harness):
    harness.report(worker='x', boot=2)


def _list_without_run(harness):
    harness.report(sequence=1 << 40)


# Guards against causes of lost runs that cannot be told apart by the counts.
@pytest.mark.parametrize(
    ('lose', 'label'),
    [
        (_let_silent, 'no report'),
        (_let_lease_expire, 'worker lease expired'),
        (_restart_worker, 'worker restarted'),
        (_replace_worker, 'replaced by another worker'),
        (_list_without_run, 'worker does not list the run'),
    ],
)
def test_discarded_runs_are_counted_by_reason(lose, label):
    harness = _harness_with_running_job()
    # Past the time for which the start may be in transit.
    for _ in range(20):
        harness.report(running=[1], sequence=1)
        harness.now_ms += 1_000
    lose(harness)
    counts = [
        line
        for line in harness.metrics.text().splitlines()
        if line.startswith('runs_discarded_total')
    ]
    assert counts == [f'runs_discarded_total{{kind="{label}"}} 1']


# Guards against a discarded run of which the log does not tell whether its
# agent was silent, or reported something else.
@pytest.mark.parametrize(
    ('lose', 'report_age_ms'),
    [
        (_let_silent, 60_000),
        (_let_lease_expire, 0),
        (_restart_worker, 700),
        (_replace_worker, 700),
    ],
)
def test_discarded_run_tells_the_age_of_the_last_report(lose, report_age_ms):
    harness = _harness_with_running_job()
    for _ in range(20):
        harness.report(running=[1], sequence=1)
        harness.now_ms += 1_000
    harness.report(running=[1], sequence=1)
    if lose is not _let_silent:
        harness.now_ms += 700
    lose(harness)
    (found,) = [
        decision
        for decision in harness.leader.decisions_on(JOB_ID)
        if decision['event'] == 'run discarded'
    ]
    assert found['report_age_ms'] == report_age_ms
    assert found['agent'] == 'vm.1'


# Guards against a log that does not tell which agent a worker is beside.
def test_lines_about_a_worker_name_its_agent():
    harness = LeaderHarness()
    with structlog.testing.capture_logs() as lines:
        harness.report(node='vm.2')
        _let_silent(harness)
    agent_by_event = {line['event']: line.get('agent') for line in lines}
    assert agent_by_event['worker adopted'] == 'vm.2'
    assert agent_by_event['worker removed'] == 'vm.2'
