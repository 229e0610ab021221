"""Speeds of workers: how they are learned, and what is planned with them."""

import copy
import math
import random

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy
import pytest

NOW_MS = 1_000_000
DECLARED_MS = 4_000
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a', frozenset('k'), 16)],
)


class Fleet:
    """Workers of given true speeds, and what is learned of them."""

    def __init__(self, *speeds):
        self.speed_by_worker = {f'w{i}': s for i, s in enumerate(speeds)}
        self.workers = [
            policy.WorkerCapacity(
                name,
                1,
                's',
                'dc',
                'r',
                frozenset(),
                128_000,
                262_144,
                8,
                is_accepting=True,
                vm=f'vm-{name}',
            )
            for name in self.speed_by_worker
        ]
        self.learned = policy.WorkerSpeeds()
        self.now_ms = NOW_MS
        self.jobs = []

    def start_job(self, workers, step=None, **terms):
        """Start a job with one task on each of some workers."""
        job = self.submit(step or _gang(len(workers)), **terms)
        tasks = job.task_by_key.values()
        return [
            self._start(job, task, worker)
            for task, worker in zip(tasks, workers, strict=True)
        ]

    def submit(self, step, priority=1, stretch=3.0, slack_ms=1_000):
        terms = jobs.JobTerms('q', 's', 'a', priority, 2, stretch, slack_ms)
        number = len(self.jobs)
        spec = jobs.JobSpec('x', (step,))
        job = jobs.Job.from_spec(f'{number:016x}', spec, terms, self.now_ms)
        self.jobs.append(job)
        return job

    def _start(self, job, task, worker):
        task.last_run += 1
        task.run = jobs.Run(task.last_run, worker.worker, 1)
        run = policy.ActiveRun(
            job,
            task,
            task.run,
            job.step_of(task.key),
            (worker.worker, 1),
            self.now_ms,
            is_recorded=True,
            is_confirmed=True,
            last_progress_ms=self.now_ms,
            last_listed_ms=self.now_ms,
            progress_listed_ms=self.now_ms,
        )
        worker.run_by_key[run.key] = run
        return run

    def progress(self, runs, after_ms, *, error=1.0, spread=None):
        """Let runs go on for a time, at most to their ends, and learn.

        :param error: actual duration relative to the declared one.
        :param spread: draws the difference between tasks.
        """
        at_ms = self.now_ms + after_ms
        for run in runs:
            own = error * (spread() if spread else 1.0)
            speed = self.speed_by_worker[run.run.worker]
            duration_ms = run.step.estimate_ms * own / speed
            run.progress = min(99, int(100 * after_ms / duration_ms))
            run.last_progress_ms = run.started_ms + int(
                run.progress * duration_ms / 100
            )
            run.last_listed_ms = at_ms
            worker = self._worker_of(run)
            self.learned.note_progress(run, worker, has_stalled=False)
        self.now_ms = at_ms

    def end(self, runs):
        """End runs well."""
        for run in runs:
            worker = self._worker_of(run)
            del worker.run_by_key[run.key]
            run.task.run = None
            run.task.is_done = True
            self.learned.forget(run)
            self.learned.note_done(run, worker, self.now_ms)

    def run_gangs(self, count=1, **how):
        """Run gangs on all workers, one after the other."""
        for _ in range(count):
            runs = self.start_job(self.workers)
            self.progress(runs, 3_000, **how)
            self.end(runs)
            self.learned.begin_round(self.workers)

    def _worker_of(self, run):
        return next(w for w in self.workers if w.worker == run.run.worker)

    def learned_permille(self):
        self.learned.begin_round(self.workers)
        return [self.learned.permille_of(w.vm) for w in self.workers]

    def used_permille(self):
        self.learned.begin_round(self.workers)
        return [worker.speed_permille for worker in self.workers]

    def plan(self, planner=None):
        planner = planner or policy.JobPlanner(policy.PlanOptions())
        return planner.plan(
            [job for job in self.jobs if not job.state.is_final],
            self.workers,
            CATALOGUE,
            self.now_ms,
            self.now_ms,
        )


def _gang(tasks, accelerators=1, **fields):
    fields.setdefault('estimate_ms', DECLARED_MS)
    return jobs.Step(
        tasks, 10_000, 1_000, accelerators, is_gang=True, **fields
    )


def test_gangs_on_unequal_workers_teach_their_speeds():
    fleet = Fleet(0.6, 1.0, 1.6, 0.6, 1.0, 1.6)
    fleet.run_gangs(8)
    assert fleet.used_permille() == [700, 1_000, 1_400, 700, 1_000, 1_400]


@pytest.mark.parametrize('error', [1 / 1.5, 1.5])
def test_wrong_declaration_of_a_step_moves_no_speed(error):
    """All workers would seem slow after a step declared too short."""
    fleet = Fleet(1.0, 1.0, 1.0, 1.0, 1.0)
    fleet.run_gangs(1, error=error)
    assert all(970 <= s <= 1_030 for s in fleet.learned_permille())


def test_wrong_declarations_do_not_hide_unequal_speeds():
    rng = random.Random(1)
    fleet = Fleet(0.6, 1.0, 1.6, 0.6, 1.0, 1.6)
    for _ in range(8):
        fleet.run_gangs(
            error=math.exp(rng.uniform(-0.4, 0.4)),
            spread=lambda: rng.uniform(0.85, 1.15),
        )
    slow, normal, fast = fleet.used_permille()[:3]
    assert slow <= 800 < normal < 1_200 <= fast


def test_single_run_proves_little():
    """Its declaration may be wrong by as much as the speeds differ."""
    fleet = Fleet(0.6)
    fleet.run_gangs()
    assert fleet.learned_permille()[0] > 900
    assert fleet.used_permille() == [1_000]


def test_slow_phase_is_forgotten_after_10_s_of_normal_runs():
    """A worker that was slow for a while would be avoided for ever."""
    fleet = Fleet(1.0, 1.0, 1.0, 1.0, 1.0)
    fleet.run_gangs(4)
    fleet.speed_by_worker['w0'] = 0.4
    fleet.run_gangs(2)
    assert fleet.learned_permille()[0] < 800
    fleet.speed_by_worker['w0'] = 1.0
    fleet.run_gangs(4)
    assert fleet.learned_permille()[0] > 930
    assert set(fleet.used_permille()) == {1_000}


def test_restarted_worker_keeps_the_speed_of_its_vm():
    fleet = Fleet(0.6, 1.0, 1.6)
    fleet.run_gangs(8)
    before = fleet.used_permille()
    for worker in fleet.workers:
        worker.worker = f'new-{worker.worker}'
        worker.boot = 2
    assert fleet.used_permille() == before != [1_000] * 3


def test_new_leader_starts_from_reported_speeds_and_corrects_them():
    """A VM may have been replaced under the same name."""
    fleet = Fleet(1.0, 1.0, 1.6)
    for worker, permille in zip(fleet.workers, (600, 0, 1_600), strict=True):
        fleet.learned.adopt(worker.vm, permille, fleet.now_ms)
    assert fleet.used_permille() == [600, 1_000, 1_600]
    fleet.run_gangs(6)
    slow, _, fast = fleet.learned_permille()
    assert slow > 850
    assert fast > 1_300


def test_stopped_run_that_was_learned_from_does_not_count():
    fleet = Fleet(0.5, 1.0, 1.0)
    runs = fleet.start_job(fleet.workers)
    fleet.progress(runs, 2_000)
    assert fleet.learned_permille()[0] < 900
    for run in runs:
        run.is_stopping = True
        fleet.learned.forget(run)
        fleet.learned.note_progress(
            run, fleet._worker_of(run), has_stalled=False
        )
    assert fleet.learned_permille() == [0, 0, 0]


@pytest.mark.parametrize(
    'fault', ['stalled', 'resumed lately', 'other rack', 'spread gang']
)
def test_run_whose_duration_has_another_cause_does_not_count(fault):
    fleet = Fleet(0.5, 1.0)
    rack = 'elsewhere' if fault == 'other rack' else ''
    step = _gang(2, rack=rack, is_same_rack=fault == 'spread gang')
    runs = fleet.start_job(fleet.workers, step)
    if fault == 'resumed lately':
        for run in runs:
            run.base_progress = 15
    if fault == 'spread gang':
        fleet.workers[0].rack = 'elsewhere'
    fleet.progress(runs, 1_000)
    if fault == 'stalled':
        for run in runs:
            fleet.learned.note_progress(
                run, fleet._worker_of(run), has_stalled=True
            )
    assert all(s in (0, 1_000) for s in fleet.learned_permille())


# Equal fleets


def _decisions(plan):
    return (
        [(s.job.job_id, s.task.key, s.worker.worker) for s in plan.starts],
        [(s.run.key, s.reason) for s in plan.stops],
        [(b.job.job_id, b.step_index, b.reason) for b in plan.blocked],
    )


def _submit_random(fleet, rng):
    size = rng.choice([1, 2, 4, 8])
    priority = rng.choice([0, 1, 2])
    is_gang = rng.random() < 0.6
    step = jobs.Step(
        rng.randint(1, 6),
        rng.choice([8_000, 16_000]),
        4_000,
        size,
        rng.randint(2_000, 12_000),
        is_gang=is_gang,
        is_same_rack=is_gang and rng.random() < 0.4,
        is_checkpointed=rng.random() < 0.4,
    )
    stretch, slack_ms = (1.5, 250) if priority == 0 else (3.0, 1_000)
    fleet.submit(step, priority, stretch, slack_ms)


@pytest.mark.parametrize('seed', range(12))
def test_equal_fleet_is_planned_as_without_learned_speeds(seed):
    """Noise of durations and declarations must change no decision.

    Workers differ by less than 15 percent. The same jobs are planned on a
    fleet whose speeds are learned and on a copy that learns nothing.
    """
    rng = random.Random(seed)
    fleet = Fleet(*(rng.uniform(0.97, 1.03) for _ in range(12)))
    for index, worker in enumerate(fleet.workers):
        worker.rack = f'r{index % 4}'
    planners = [policy.JobPlanner(policy.PlanOptions()) for _ in range(2)]
    error_by_job = {}
    started = []
    compared = 0
    for _ in range(150):
        if rng.random() < 0.35:
            _submit_random(fleet, rng)
        fleet.learned.begin_round(fleet.workers)
        plain_fleet = copy.deepcopy(fleet)
        for worker in plain_fleet.workers:
            worker.speed_permille = 1_000
        plan = fleet.plan(planners[0])
        assert _decisions(plan) == _decisions(plain_fleet.plan(planners[1]))
        compared += len(plan.starts) + len(plan.stops)
        for stop in plan.stops:
            for run in [r for r in started if r.job is stop.run.job]:
                fleet.learned.forget(run)
                fleet._worker_of(run).run_by_key.pop(run.key)
                run.task.run = None
                started.remove(run)
        started += [fleet._start(s.job, s.task, s.worker) for s in plan.starts]
        fleet.now_ms += 200
        _advance(fleet, started, rng, error_by_job)
    assert compared > 50
    assert any(fleet.learned_permille())


def _advance(fleet, started, rng, error_by_job):
    """Let all runs go on, and end those that are done."""
    for run in list(started):
        job_id = run.job.job_id
        error = error_by_job.setdefault(job_id, rng.uniform(0.67, 1.5))
        own = error_by_job.setdefault(run.key, rng.uniform(0.85, 1.15))
        speed = fleet.speed_by_worker[run.run.worker]
        duration_ms = run.step.estimate_ms * error * own / speed
        elapsed_ms = fleet.now_ms - run.started_ms
        progress = min(100, int(100 * elapsed_ms / duration_ms))
        run.last_listed_ms = fleet.now_ms
        if progress > run.progress:
            run.progress = progress
            run.last_progress_ms = fleet.now_ms
            worker = fleet._worker_of(run)
            fleet.learned.note_progress(run, worker, has_stalled=False)
    for run in list(started):
        members = [r for r in started if r.job is run.job]
        ends_with = members if run.step.is_gang else [run]
        if all(r.progress >= 100 for r in ends_with):
            fleet.end(ends_with)
            for ended in ends_with:
                started.remove(ended)


# Placement and preemption


def _uneven_fleet(*speeds):
    fleet = Fleet(*speeds)
    for worker in fleet.workers:
        speed = fleet.speed_by_worker[worker.worker]
        worker.speed_permille = round(1_000 * speed)
    return fleet


def _started_on(plan):
    return sorted(start.worker.worker for start in plan.starts)


def _urgent(fleet, step):
    return fleet.submit(step, priority=0, stretch=1.5, slack_ms=250)


def test_urgent_gang_goes_where_its_slowest_member_is_fastest():
    """One member on a slow worker makes the whole gang late."""
    fleet = _uneven_fleet(0.6, 1.6, 1.0, 1.0, 0.6)
    _urgent(fleet, _gang(3, 8))
    assert _started_on(fleet.plan()) == ['w1', 'w2', 'w3']


def test_urgent_gang_takes_the_fastest_worker_that_holds_all_of_it():
    fleet = _uneven_fleet(1.0, 1.6, 0.6)
    fleet.start_job([fleet.workers[0]], _gang(1, 2))
    _urgent(fleet, _gang(3, 2))
    assert _started_on(fleet.plan()) == ['w1'] * 3


def test_other_work_takes_the_slowest_workers_on_which_it_ends_in_time():
    """Fast workers must stay free for urgent work."""
    fleet = _uneven_fleet(1.6, 0.6, 1.0)
    fleet.submit(_gang(2, 4))
    assert _started_on(fleet.plan()) == ['w1', 'w1']


def test_other_work_avoids_workers_on_which_it_would_be_late():
    fleet = _uneven_fleet(1.6, 0.6, 1.0)
    fleet.submit(_gang(2, 4), stretch=1.1, slack_ms=0)
    assert _started_on(fleet.plan()) == ['w2', 'w2']


def test_no_worker_is_left_idle_while_other_work_waits():
    """It starts on fast and on too slow workers rather than not at all."""
    fleet = _uneven_fleet(1.6, 0.6, 1.0)
    step = jobs.Step(3, 10_000, 1_000, 8, DECLARED_MS)
    fleet.submit(step, stretch=1.1, slack_ms=0)
    assert _started_on(fleet.plan()) == ['w0', 'w1', 'w2']


def test_urgent_gang_preempts_checkpointed_work_instead_of_a_slow_start():
    """It would end late on the free slow worker."""
    fleet = _uneven_fleet(0.6, 1.6)
    step = _gang(1, 8, is_checkpointed=True, estimate_ms=60_000)
    fleet.start_job([fleet.workers[1]], step)
    fleet.now_ms += 500
    _urgent(fleet, _gang(2, 4))
    plan = fleet.plan()
    assert [stop.run.run.worker for stop in plan.stops] == ['w1']
    assert plan.starts == []


def test_guaranteed_gang_does_not_wait_for_fast_workers_beyond_its_guarantee():
    """Stops of preempted runs may take longer than a guarantee allows."""
    fleet = _uneven_fleet(0.6, 1.6)
    step = _gang(1, 8, is_checkpointed=True, estimate_ms=60_000)
    (run,) = fleet.start_job([fleet.workers[1]], step)
    fleet.now_ms += 500
    _urgent(fleet, _gang(2, 4))
    planner = policy.JobPlanner(policy.PlanOptions())
    assert [stop.run for stop in fleet.plan(planner).stops] == [run]
    run.is_stopping = True
    fleet.now_ms += 1_100
    assert fleet.plan(planner).starts == []
    fleet.now_ms += 200
    assert _started_on(fleet.plan(planner)) == ['w0', 'w0']


def test_urgent_gang_starts_slowly_rather_than_at_a_high_cost():
    """Work without checkpoints is worth more than being in time."""
    fleet = _uneven_fleet(0.6, 1.6)
    fleet.start_job([fleet.workers[1]], _gang(1, 8, estimate_ms=90_000))
    fleet.now_ms += 60_000
    _urgent(fleet, _gang(2, 4))
    plan = fleet.plan()
    assert plan.stops == []
    assert _started_on(plan) == ['w0', 'w0']


def test_urgent_gang_preempts_where_it_ends_in_time():
    """The same work on a slow worker is as cheap, and useless to it."""
    fleet = _uneven_fleet(0.6, 1.6, 0.6)
    step = _gang(3, 8, is_checkpointed=True, estimate_ms=60_000)
    fleet.start_job(fleet.workers, step)
    fleet.now_ms += 500
    _urgent(fleet, _gang(2, 4))
    assert [s.run.run.worker for s in fleet.plan().stops] == ['w1']


def test_expected_end_of_a_run_follows_the_speed_of_its_worker():
    """A reservation would start too late behind fast, too early behind slow.

    The gang needs both slow workers or the two others; these end first.
    """
    fleet = _uneven_fleet(0.6, 0.6, 1.6, 1.6)
    step = jobs.Step(4, 10_000, 1_000, 8, DECLARED_MS)
    fleet.start_job(fleet.workers, step)
    planner = policy.JobPlanner(policy.PlanOptions())
    fleet.submit(_gang(2, 8))
    fleet.plan(planner)
    committed = [w.worker for w in fleet.workers if w.committed_accelerators]
    assert committed == ['w2', 'w3']
