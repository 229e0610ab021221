"""The leader after a power failure: all workers restart, some report late.

Each of two workers has eight accelerators. The earlier leader had started
urgent work on the second one, which is silent at first. Batch work that
fills the fleet waits.
"""

from mulberryloom_core import messages
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import leader as leaders
import pytest

URGENT_ID = 'a' * 16
BATCH_ID = 'b' * 16
ACCELERATORS = 8
OLD_BOOT = 1
NEW_BOOT = 2
OPTIONS = leaders.LeaderOptions()
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a')],
)


class Region:
    """A new leader whose store always replies, and two workers.

    :param id_suffix: what a restart adds to the id of a worker; the VM stays
        the same.
    """

    def __init__(self, id_suffix=''):
        self.id_suffix = id_suffix
        self.now_ms = 10_000
        self.began_ms = self.now_ms
        self.leader = leaders.Leader(5, OPTIONS, self.now_ms)
        self.leader.catalogue = CATALOGUE
        self.revision = 100
        self.started_tasks = []
        self.orders_sequence_by_worker = {}
        self.runs_by_worker = {}

    def add_job(self, job_id, priority, steps, workers=()):
        """Add a job; its tasks run on workers of the earlier leader."""
        terms = jobs.JobTerms('q', 's', 'a', priority, 2, 3.0, 1_000)
        job = jobs.Job.from_spec(
            job_id, jobs.JobSpec('x', steps), terms, self.now_ms
        )
        for task, worker in zip(
            job.task_by_key.values(), workers, strict=False
        ):
            task.last_run = 1
            task.run = jobs.Run(1, worker, OLD_BOOT, f'vm-{worker}')
        self.revision += 1
        entry = store.Entry(
            keys.job_key(job_id), job_records.encode(job), self.revision
        )
        self.leader.apply_records([entry], self.now_ms, self.now_ms)

    def report(self, worker, boot):
        report = messages.WorkerReport(
            worker + self.id_suffix,
            boot,
            's',
            'dc',
            'r',
            ['a', 'r'],
            16_000,
            16_000,
            ACCELERATORS,
            False,
            0,
            self.leader.generation,
            self.orders_sequence_by_worker.get(worker, 0),
            self.now_ms,
            True,
            True,
            [
                messages.RunningTask(*key, '', 0)
                for key in self.runs_by_worker.get(worker, ())
            ],
            [],
            [],
        )
        self.leader.on_report(
            f'vm-{worker}.1', report, self.now_ms, self.now_ms
        )

    def advance_to(self, age_ms, reporting):
        """Advance to an age of the term; the workers report meanwhile."""
        while self.now_ms - self.began_ms < age_ms:
            self.now_ms += 50
            self.leader.confirmed_ms = self.now_ms
            for worker in reporting:
                self.report(worker, NEW_BOOT)
            self.leader.tick(self.now_ms, self.now_ms)
            self.leader.plan(self.now_ms, self.now_ms)
            batch = self.leader.next_batch()
            if batch is not None:
                self.revision += 1
                self.leader.complete_batch(
                    batch,
                    store.Written(self.revision),
                    self.now_ms,
                    self.now_ms,
                )
            for _, orders in self.leader.take_orders(self.now_ms):
                worker = orders.worker.removesuffix(self.id_suffix)
                self._apply_orders(worker, orders)
                self.started_tasks += [
                    start.task
                    for start in orders.starts
                    if start.task not in self.started_tasks
                ]

    def _apply_orders(self, worker, orders):
        """Carry orders out at once, as a worker without faults does."""
        self.orders_sequence_by_worker[worker] = orders.sequence
        runs = self.runs_by_worker.setdefault(worker, {})
        for start in orders.starts:
            runs[start.task, start.run_number] = None
        for stop in orders.stops:
            runs.pop((stop.task, stop.run_number), None)

    def started(self, job_id):
        return [t for t in self.started_tasks if t.startswith(job_id)]


def _batch_steps():
    step = jobs.Step(2 * ACCELERATORS, accelerators=1, estimate_ms=15_000)
    return (step,)


def _urgent_gang_steps():
    step = jobs.Step(
        2, accelerators=ACCELERATORS, estimate_ms=2_000, is_gang=True
    )
    return (step,)


def _region_with_urgent_gang(id_suffix=''):
    region = Region(id_suffix)
    region.add_job(URGENT_ID, 0, _urgent_gang_steps(), ['w1', 'w2'])
    region.add_job(BATCH_ID, 2, _batch_steps())
    return region


@pytest.mark.parametrize('id_suffix', ['', '-new'])
def test_batch_work_leaves_the_fleet_to_the_restarting_gang(id_suffix):
    region = _region_with_urgent_gang(id_suffix)
    region.advance_to(1_000, ['w1'])
    assert region.started(BATCH_ID) == []
    region.advance_to(1_200, ['w1', 'w2'])
    assert len(region.started(URGENT_ID)) == 2
    assert region.started(BATCH_ID) == []


def test_urgent_work_starts_while_workers_are_silent():
    region = Region()
    region.add_job(URGENT_ID, 0, _urgent_gang_steps(), ['w2', 'w2'])
    urgent = 'c' * 16
    region.add_job(urgent, 0, (jobs.Step(1, accelerators=1),))
    region.advance_to(1_000, ['w1'])
    assert len(region.started(urgent)) == 1


# Guards against urgent work that waits for the reports of workers which were
# lost for good with the power.
def test_urgent_work_starts_once_the_other_workers_have_reported():
    region = Region()
    region.add_job(URGENT_ID, 0, _urgent_gang_steps(), ['w2', 'w2'])
    region.add_job(BATCH_ID, 2, _batch_steps())
    urgent = 'c' * 16
    region.add_job(urgent, 0, (jobs.Step(1, accelerators=1),))
    region.advance_to(OPTIONS.startup_quiet_ms + 100, ['w1'])
    assert len(region.started(urgent)) == 1
    region.advance_to(OPTIONS.startup_wait_ms - 100, ['w1'])
    assert region.started(BATCH_ID) == []


def test_a_silent_worker_that_had_only_batch_work_delays_nothing():
    region = Region()
    region.add_job(URGENT_ID, 2, (jobs.Step(1, accelerators=1),), ['w2'])
    region.add_job(BATCH_ID, 2, _batch_steps())
    region.advance_to(OPTIONS.startup_wait_ms + 100, ['w1'])
    assert len(region.started(BATCH_ID)) == ACCELERATORS


def test_a_worker_that_never_returns_delays_batch_work_for_a_short_time():
    region = _region_with_urgent_gang()
    region.advance_to(OPTIONS.startup_fill_wait_ms - 100, ['w1'])
    assert region.started(BATCH_ID) == []
    region.advance_to(OPTIONS.startup_fill_wait_ms + 100, ['w1'])
    assert region.started(BATCH_ID) != []


def test_the_wait_is_explained():
    region = _region_with_urgent_gang()
    region.advance_to(1_000, ['w1'])
    reasons = [
        decision.get('reason')
        for decision in region.leader.decisions_on(BATCH_ID)
    ]
    assert 'capacity is kept for runs whose workers are silent' in reasons
