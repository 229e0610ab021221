"""Patterns of load, and what the planner makes of them."""

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy
import pytest

NOW_MS = 1_000_000
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a', frozenset('k'), 16)],
)


def _worker(index, rack='r1', **fields):
    room = policy.WorkerRoom(
        f'w{index}',
        1,
        's',
        'dc',
        rack,
        frozenset({'kind', rack}),
        128_000,
        262_144,
        8,
        is_accepting=True,
        **fields,
    )
    room.recount()
    return room


def _step(tasks=1, accelerators=1, **fields):
    fields.setdefault('estimate_ms', 10_000)
    return jobs.Step(tasks, 10_000, 1_000, accelerators, **fields)


class Region:
    """Jobs and workers of one test, with plans carried out at once."""

    def __init__(self, workers, options=None):
        self.workers = workers
        self.planner = policy.JobPlanner(options or policy.PlanOptions())
        self.jobs = []
        self.now_ms = NOW_MS

    def submit(self, *steps, priority=1, account='a', queue='q'):
        terms = jobs.Terms(queue, 's', account, priority, 2, 3.0, 1_000)
        job = jobs.Job.from_spec(
            f'{len(self.jobs):016x}',
            jobs.JobSpec('x', steps),
            terms,
            self.now_ms,
        )
        self.jobs.append(job)
        return job

    def plan(self, **options):
        return self.planner.plan(
            [job for job in self.jobs if not job.state.is_final],
            self.workers,
            CATALOGUE,
            self.now_ms,
            self.now_ms,
            **options,
        )

    def round(self, after_ms=0):
        """Plan, start what is planned, and mark what stops."""
        self.now_ms += after_ms
        plan = self.plan()
        for start in plan.starts:
            self.start(start.job, start.task, start.worker)
        for stop in plan.stops:
            stop.run.is_stopping = True
        return plan

    def start(self, job, task, worker):
        task.last_run += 1
        task.run = jobs.Run(task.last_run, worker.worker, worker.boot)
        run = policy.ActiveRun(
            job,
            task,
            task.run,
            job.step_of(task.key),
            (worker.worker, worker.boot),
            self.now_ms,
            is_recorded=True,
            is_confirmed=True,
            progress_ms=self.now_ms,
            listed_ms=self.now_ms,
        )
        worker.run_by_key[run.key] = run
        return run

    def end(self, run, *, is_done=False):
        run.task.run = None
        run.task.is_done = is_done
        for worker in self.workers:
            worker.run_by_key.pop(run.key, None)

    def end_stopped(self):
        for worker in self.workers:
            for run in list(worker.run_by_key.values()):
                if run.is_stopping:
                    self.end(run)

    def runs(self, job):
        return [
            run
            for worker in self.workers
            for run in worker.run_by_key.values()
            if run.job is job
        ]


def test_gang_starts_whole_or_not_at_all():
    region = Region([_worker(1), _worker(2)])
    gang = region.submit(_step(3, 8, is_gang=True))
    assert region.round().starts == []
    region.workers.append(_worker(3))
    assert len(region.round().starts) == 3
    assert len(region.runs(gang)) == 3


def test_gang_of_one_rack_is_not_spread_while_it_can_wait():
    region = Region([_worker(1, 'r1'), _worker(2, 'r1'), _worker(3, 'r2')])
    filler = region.submit(_step(1, 8))
    region.round()
    region.submit(_step(2, 8, is_gang=True, is_same_rack=True))
    first = region.runs(filler)[0]
    if first.run.worker == 'w3':
        pytest.fail('the test needs the filler in the large rack')
    assert region.round(100).starts == []
    region.end(first, is_done=True)
    racks = {start.worker.rack for start in region.round(100).starts}
    assert racks == {'r1'}


def test_work_waits_for_what_it_comes_after():
    region = Region([_worker(1)])
    job = region.submit(_step(1), _step(1, after=(0,)))
    assert [s.task.key.step for s in region.round().starts] == [0]
    assert region.round(100).starts == []
    region.end(region.runs(job)[0], is_done=True)
    assert [s.task.key.step for s in region.round(100).starts] == [1]


def test_label_and_tasks_per_worker_are_kept():
    region = Region([_worker(1), _worker(2)])
    region.submit(_step(4, 0, max_per_worker=1))
    started = region.round().starts
    assert sorted(s.worker.worker for s in started) == ['w1', 'w2']
    region.submit(_step(1, 0, label='other'))
    assert region.round(100).starts == []


def test_small_work_fills_the_fullest_worker_first():
    region = Region([_worker(1), _worker(2)])
    region.submit(_step(1, 2))
    region.round()
    region.submit(_step(1, 1))
    region.round(100)
    free = sorted(8 - len(w.run_by_key) for w in region.workers)
    assert [bool(w.run_by_key) for w in region.workers].count(False) == 1
    assert free == [6, 8]


def test_guaranteed_job_clears_borrowed_room():
    region = Region([_worker(1), _worker(2)])
    region.submit(_step(16, 1))
    region.round()
    urgent = region.submit(_step(2, 8, is_gang=True), priority=0)
    assert len(region.round(500).stops) == 16
    region.end_stopped()
    region.round(300)
    assert len(region.runs(urgent)) == 2


def test_reclaim_takes_the_work_that_loses_least():
    region = Region([_worker(1), _worker(2)])
    region.submit(_step(1, 8, estimate_ms=60_000))
    saved = region.submit(
        _step(1, 8, is_checkpointed=True, estimate_ms=60_000)
    )
    region.round()
    region.submit(_step(1, 8), priority=0)
    stops = region.round(9_000).stops
    assert [stop.run.job for stop in stops] == [saved]


def test_room_that_is_being_cleared_is_not_cleared_twice():
    region = Region([_worker(index) for index in range(4)])
    for _ in range(4):
        region.submit(_step(8, 1, is_checkpointed=True))
    region.round()
    region.submit(_step(2, 8, is_gang=True), priority=0)
    stopped = len(region.round(500).stops)
    for index in range(40):
        worker = region.workers[index % 4]
        for run in list(worker.run_by_key.values())[: index % 3]:
            if run.is_stopping:
                region.end(run)
        stopped += len(region.round(20).stops)
    assert stopped == 16


def test_two_urgent_jobs_at_once_clear_a_worker_each():
    region = Region([_worker(1), _worker(2)])
    region.submit(_step(2, 8), priority=2)
    region.round()
    first = region.submit(_step(1, 8), priority=0)
    second = region.submit(_step(1, 8), priority=0)
    plan = region.round(100)
    assert len(plan.stops) == 2
    region.end_stopped()
    region.round(500)
    assert len(region.runs(first)) == len(region.runs(second)) == 1


def test_tasks_of_one_urgent_job_do_not_clear_the_same_room():
    region = Region([_worker(1), _worker(2)])
    other = region.submit(_step(1, 8), priority=2)
    region.round()
    region.submit(_step(2, 8), priority=0)
    plan = region.round(100)
    assert len(plan.starts) == 1
    assert [stop.run.job for stop in plan.stops] == [other]


def test_room_is_not_kept_for_two_at_once():
    """Each large task has room kept on a worker of its own."""
    region = Region([_worker(1), _worker(2)])
    for worker, estimate_ms in zip(region.workers, (3_000, 4_000)):
        job = region.submit(_step(1, 1, estimate_ms=estimate_ms))
        region.start(job, next(iter(job.task_by_key.values())), worker)
    for _ in range(2):
        region.submit(_step(1, 8))
    region.round(100)
    small = region.submit(_step(1, 1, estimate_ms=60_000))
    region.round(100)
    assert not region.runs(small)


def test_urgent_job_beyond_the_guarantee_throws_little_away():
    region = Region([_worker(index) for index in range(4)])
    region.submit(_step(32, 1, estimate_ms=20_000))
    region.round()
    region.submit(_step(4, 8), priority=0)
    assert region.round(15_000).stops == []


def test_room_goes_to_the_urgent_job_that_it_was_cleared_for():
    """Another would go first, and is not worth clearing any for."""
    region = Region([_worker(1)])
    region.submit(_step(1, 8, estimate_ms=600_000), priority=2, queue='other')
    region.round()
    large = region.submit(
        _step(1, 8, estimate_ms=9_000), priority=0, account='other'
    )
    assert len(region.round(8_000).stops) == 1
    small = region.submit(
        _step(1, 8, estimate_ms=1_000), priority=0, account='other'
    )
    region.round(100)
    region.end_stopped()
    region.round(100)
    assert region.runs(large)
    assert not region.runs(small)


def test_nothing_is_stopped_or_charged_while_a_leader_gathers_agents():
    region = Region([_worker(1)])
    region.submit(_step(1, 8), priority=2)
    region.round()
    urgent = region.submit(_step(1, 8), priority=0)
    for _ in range(20):
        region.now_ms += 100
        assert region.plan(may_stop=False).stops == []
    assert not region.planner._spent_by_job
    region.round(100)
    region.end_stopped()
    region.round(100)
    assert region.runs(urgent)


def test_large_gang_is_not_starved_by_small_work():
    region = Region([_worker(1), _worker(2)])
    for _ in range(16):
        region.submit(_step(1, 1, estimate_ms=8_000))
    region.round()
    gang = region.submit(_step(2, 8, is_gang=True, estimate_ms=8_000))
    for index in range(40):
        region.submit(_step(1, 1, estimate_ms=8_000))
        for worker in region.workers:
            for run in list(worker.run_by_key.values()):
                if region.now_ms - run.started_ms >= 8_000 + index:
                    region.end(run, is_done=True)
        region.round(500)
        if region.runs(gang):
            return
    pytest.fail('the gang never started')


def test_short_work_passes_a_reservation_that_it_does_not_delay():
    region = Region([_worker(1)])
    region.submit(_step(1, 4, estimate_ms=20_000))
    region.round()
    region.submit(_step(1, 8, is_gang=True))
    assert region.round(100).starts == []
    region.submit(_step(1, 2, estimate_ms=3_000))
    assert len(region.round(100).starts) == 1
    region.submit(_step(1, 2, estimate_ms=60_000))
    assert region.round(100).starts == []


def test_failing_worker_gets_no_new_work_for_a_while():
    region = Region([_worker(1), _worker(2)])
    options = policy.PlanOptions()
    policy.health.note_failure(region.workers[0], NOW_MS, options)
    region.submit(_step(2, 1))
    assert {s.worker.worker for s in region.round().starts} == {'w2'}
    first_ms = region.workers[0].suspect_until_ms
    policy.health.note_failure(region.workers[0], NOW_MS, options)
    assert region.workers[0].suspect_until_ms > first_ms
    policy.health.note_success(region.workers[0])
    assert region.workers[0].suspect_until_ms == 0


def test_standing_work_moves_to_another_worker():
    region = Region([_worker(1), _worker(2)])
    job = region.submit(_step(1, 1))
    region.round()
    run = region.runs(job)[0]
    run.listed_ms = region.now_ms + 8_000
    assert [s.run for s in region.round(8_000).stops] == [run]
    region.end_stopped()
    assert region.round(100).starts[0].worker.worker != run.run.worker


def test_drained_worker_is_left_in_time():
    region = Region([_worker(1), _worker(2)])
    saved = region.submit(_step(1, 8, is_checkpointed=True))
    region.round()
    worker = region.workers[0]
    assert worker.run_by_key
    worker.is_accepting = False
    worker.is_draining = True
    worker.leaves_ms = region.now_ms + 5_000
    assert region.round(500).stops == []
    assert [s.run.job for s in region.round(3_200).stops] == [saved]


def test_data_at_a_rack_draws_its_work():
    region = Region([_worker(1, 'r1'), _worker(2, 'r2')])
    region.submit(_step(1, 1, rack='r2'))
    assert region.round().starts[0].worker.rack == 'r2'


def test_room_that_is_being_cleared_goes_before_any_other():
    region = Region([_worker(1), _worker(2)])
    region.submit(_step(8, 1, is_checkpointed=True))
    region.submit(_step(8, 1, is_checkpointed=True))
    region.round()
    for run in region.workers[1].run_by_key.values():
        run.is_stopping = True
    region.submit(_step(1, 8), priority=0)
    assert region.round(100).stops == []


def test_slow_work_far_on_is_not_taken_for_standing():
    region = Region([_worker(1), _worker(2)])
    job = region.submit(_step(1, 8, estimate_ms=2_000))
    region.round()
    run = region.runs(job)[0]
    run.progress = 60
    run.progress_ms = region.now_ms + 30_000
    run.listed_ms = run.progress_ms + 4_500
    assert region.round(34_500).stops == []


def test_guaranteed_job_waits_briefly_for_work_about_to_end():
    region = Region([_worker(1)])
    done = region.submit(_step(8, 1, estimate_ms=10_000))
    region.round()
    for run in region.runs(done):
        run.progress = 97
    region.submit(_step(1, 8), priority=0)
    assert region.round(9_700).stops == []
    assert len(region.round(700).stops) == 8


def test_urgent_gang_beyond_the_guarantee_waits_for_one_rack():
    region = Region([_worker(1, 'r1'), _worker(2, 'r1'), _worker(3, 'r2')])
    region.submit(_step(1, 8, estimate_ms=4_000), priority=0)
    region.round()
    taken = next(w for w in region.workers if w.run_by_key)
    if taken.rack == 'r2':
        pytest.fail('the test needs the large rack to be taken in part')
    region.submit(
        _step(2, 8, is_gang=True, is_same_rack=True), priority=0, account='x'
    )
    assert region.round(100).starts == []
    assert region.round(2_000).starts == []
    for run in list(taken.run_by_key.values()):
        region.end(run, is_done=True)
    racks = {start.worker.rack for start in region.round(100).starts}
    assert racks == {'r1'}
