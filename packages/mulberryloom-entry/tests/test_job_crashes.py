"""Tests of the leader's count of worker crashes, with several agents."""

from mulberryloom_core import messages
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import leader as leaders
import pytest

JOB_ID = 'a' * 16
KEY = jobs.TaskKey(0, 0, 0)
TASK = jobs.task_name(JOB_ID, KEY)
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a')],
)
VMS = ('vm0', 'vm1', 'vm2', 'vm3')


class CrashHarness:
    """A leader and workers that carry out every start at once.

    :ivar boot_by_vm: start of the worker of each VM.
    :ivar crashed_runs: what the agents still report about crashes.
    """

    def __init__(self):
        self.now_ms = 10_000
        self.revision = 100
        self.entry = None
        self.has_store = True
        self.boot_by_vm = dict.fromkeys(VMS, 1)
        self.incarnation_by_vm = dict.fromkeys(VMS, 1)
        self.crashed_runs = {vm: [] for vm in VMS}
        self.running = {vm: {} for vm in VMS}
        self.sequence_by_vm = dict.fromkeys(VMS, 0)
        self.generation = 5
        self.leader = self._new_leader()

    def _new_leader(self):
        leader = leaders.Leader(
            self.generation, leaders.LeaderOptions(), self.now_ms
        )
        leader.catalogue = CATALOGUE
        return leader

    def change_leader(self):
        """Elect a leader, which knows what is stored."""
        self.generation += 1
        self.leader = self._new_leader()
        self.leader.apply_records([self.entry], self.now_ms, self.now_ms)

    def submit(self, *, tasks=1, **fields):
        step = jobs.Step(tasks, 1_000, **fields)
        job = jobs.Job.from_spec(
            JOB_ID, jobs.JobSpec('x', (step,)), jobs.JobTerms('q', 's', 'a'), 0
        )
        self._store(job_records.encode(job))
        self.leader.apply_records([self.entry], self.now_ms, self.now_ms)

    def _store(self, value):
        self.revision += 1
        self.entry = store.Entry(keys.job_key(JOB_ID), value, self.revision)

    @property
    def stored_job(self):
        return job_records.decode(self.entry.value).unwrap()

    def report(self):
        for vm in VMS:
            report = messages.WorkerReport(
                vm.replace('vm', 'w'),
                self.boot_by_vm[vm],
                's',
                'dc',
                'r',
                ['a', 'r'],
                16_000,
                16_000,
                8,
                False,
                0,
                self.generation,
                self.sequence_by_vm[vm],
                self.now_ms,
                True,
                True,
                [
                    messages.RunningTask(task, number, '', 0)
                    for task, number in self.running[vm]
                ],
                [],
                [],
                crashed_runs=list(self.crashed_runs[vm]),
            )
            node = f'{vm}.{self.incarnation_by_vm[vm]}'
            self.leader.on_report(node, report, self.now_ms, self.now_ms)

    def advance(self, rounds=1):
        """Report, plan, write and start; return the VMs of the starts."""
        vms = []
        for _ in range(rounds):
            self.now_ms += 50
            self.report()
            self.leader.confirmed_ms = self.now_ms
            self.leader.tick(self.now_ms, self.now_ms)
            self.leader.plan(self.now_ms, self.now_ms)
            batch = self.leader.next_batch() if self.has_store else None
            if batch is not None:
                for value in batch.value_by_job_id.values():
                    self._store(value)
                reply = store.Written(self.revision)
                self.leader.complete_batch(
                    batch, reply, self.now_ms, self.now_ms
                )
            for node, orders in self.leader.take_orders(self.now_ms):
                vm = node.partition('.')[0]
                self.sequence_by_vm[vm] = orders.sequence
                for start in orders.starts:
                    key = (start.task, start.run_number)
                    self.running[vm][key] = self.now_ms
                    vms.append(vm)
        return vms

    def crash(self, vm, *, has_lost_power=False):
        """Replace a worker; an agent that lost power knows of no crash."""
        boot = self.boot_by_vm[vm]
        if has_lost_power:
            self.incarnation_by_vm[vm] += 1
        else:
            self.crashed_runs[vm] += [
                messages.CrashedRun(
                    vm.replace('vm', 'w'),
                    boot,
                    task,
                    number,
                    self.now_ms - since_ms,
                )
                for (task, number), since_ms in self.running[vm].items()
            ]
        self.running[vm].clear()
        self.boot_by_vm[vm] = boot + 1
        self.now_ms += 3_300


def _running_harness(**fields):
    harness = CrashHarness()
    harness.advance()
    harness.submit(**fields)
    return harness


def _early_crash(harness, **how):
    """Crash the worker on which the task starts next, at once."""
    for _ in range(200):
        vms = harness.advance()
        if vms:
            harness.crash(vms[0], **how)
            return vms[0]
    raise AssertionError('the task did not start within 10 s')


# Guards against a task that crashes worker after worker: its lost runs were
# not counted.
@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'is_lasting': True},
        {'is_filler': True},
        {'is_checkpointed': True},
        {'is_gang': True, 'tasks': 2},
    ],
)
def test_job_fails_after_two_workers_crashed_as_they_started_its_task(fields):
    harness = _running_harness(**fields)
    first = _early_crash(harness)
    second = _early_crash(harness)
    assert first != second
    assert harness.advance(rounds=200) == []
    assert harness.stored_job.state is jobs.JobState.FAILED
    assert harness.stored_job.failure is jobs.JobFailure.CRASHES


# Guards against a count that is lost with the leader that saw the crash.
@pytest.mark.parametrize('is_stored', [True, False])
def test_new_leader_knows_of_the_crash_before_it(is_stored):
    harness = _running_harness()
    _early_crash(harness)
    if is_stored:
        harness.advance()
    harness.change_leader()
    _early_crash(harness)
    harness.change_leader()
    assert harness.advance(rounds=200) == []
    assert harness.stored_job.state is jobs.JobState.FAILED


# Guards against a start that precedes the count of the crash before it.
def test_task_does_not_start_while_the_store_cannot_record_the_crash():
    harness = _running_harness()
    _early_crash(harness)
    harness.has_store = False
    assert harness.advance(rounds=100) == []
    harness.has_store = True
    assert len(harness.advance(rounds=20)) == 1
    task = harness.stored_job.task_by_key[KEY]
    assert task.run.number == 2
    assert [crash.run_number for crash in task.crashes] == [1]


# Guards against a job that fails by one crash that is reported again.
def test_report_of_a_crash_that_is_repeated_counts_once():
    harness = _running_harness()
    _early_crash(harness)
    harness.advance(rounds=20)
    assert len(harness.stored_job.task_by_key[KEY].crashes) == 1


# Guards against jobs that fail since VMs lost power or workers were exchanged.
def test_loss_of_power_is_no_crash():
    harness = _running_harness()
    for _ in range(5):
        _early_crash(harness, has_lost_power=True)
    assert harness.advance(rounds=20)
    assert harness.stored_job.task_by_key[KEY].crashes == ()


# Guards against a sound task that stays suspect.
def test_task_that_outlives_its_probation_is_cleared():
    harness = _running_harness()
    _early_crash(harness)
    harness.advance(rounds=200)
    task = harness.stored_job.task_by_key[KEY]
    assert task.crashes == ()
    assert task.proven_run == task.last_run == 2
    (vm,) = (vm for vm in VMS if harness.running[vm])
    harness.crash(vm)
    assert harness.advance(rounds=20)
    assert harness.stored_job.state is jobs.JobState.RUNNING


# Guards against a crash that is learned of after the lease has expired, when
# the task has been started elsewhere.
def test_crash_that_is_reported_late_still_counts():
    harness = _running_harness()
    _early_crash(harness)
    (vm,) = (vm for vm in VMS if harness.crashed_runs[vm])
    late, harness.crashed_runs[vm] = harness.crashed_runs[vm], []
    harness.advance(rounds=5)
    harness.crashed_runs[vm] = late
    harness.advance()
    assert len(harness.stored_job.task_by_key[KEY].crashes) == 1
