"""Decisions of the job planner under typical load patterns."""

from mulberryloom_policy import jobs as policy
from mulberryloom_policy.jobs import fleet_shape
from mulberryloom_policy.jobs import reservation
import planner_region as regions
import pytest


def test_gang_starts_all_tasks_or_none():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    gang = region.submit(regions.step(3, 8, is_gang=True))
    assert region.run_round().starts == []
    region.workers.append(regions.worker(3))
    assert len(region.run_round().starts) == 3
    assert len(region.runs(gang)) == 3


def test_same_rack_gang_waits_for_one_rack():
    region = regions.Region(
        [
            regions.worker(1, 'r1'),
            regions.worker(2, 'r1'),
            regions.worker(3, 'r2'),
        ]
    )
    running_job = region.submit(regions.step(1, 8))
    region.run_round()
    region.submit(regions.step(2, 8, is_gang=True, is_same_rack=True))
    run = region.runs(running_job)[0]
    if run.run.worker == 'w3':
        pytest.fail('test setup: first job placed on w3, expected rack r1')
    assert region.run_round(100).starts == []
    region.end_run(run, is_done=True)
    racks = {start.worker.rack for start in region.run_round(100).starts}
    assert racks == {'r1'}


def test_step_starts_after_steps_it_depends_on():
    region = regions.Region([regions.worker(1)])
    job = region.submit(regions.step(1), regions.step(1, after=(0,)))
    assert [start.task.key.step for start in region.run_round().starts] == [0]
    assert region.run_round(100).starts == []
    region.end_run(region.runs(job)[0], is_done=True)
    assert [start.task.key.step for start in region.run_round(100).starts] == [
        1
    ]


def test_placement_respects_label_and_max_per_worker():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    region.submit(regions.step(4, 0, max_per_worker=1))
    started = region.run_round().starts
    assert sorted(start.worker.worker for start in started) == ['w1', 'w2']
    region.submit(regions.step(1, 0, label='other'))
    assert region.run_round(100).starts == []


def test_placement_fills_fullest_worker_first():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    region.submit(regions.step(1, 2))
    region.run_round()
    region.submit(regions.step(1, 1))
    region.run_round(100)
    free = sorted(8 - len(w.run_by_key) for w in region.workers)
    assert [bool(w.run_by_key) for w in region.workers].count(False) == 1
    assert free == [6, 8]


def test_guaranteed_job_preempts_borrowed_capacity():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    region.submit(regions.step(16, 1))
    region.run_round()
    urgent = region.submit(regions.step(2, 8, is_gang=True), priority=0)
    assert len(region.run_round(500).stops) == 16
    region.end_stopping_runs()
    region.run_round(300)
    assert len(region.runs(urgent)) == 2


def test_preemption_selects_run_with_lowest_cost():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    region.submit(regions.step(1, 8, estimate_ms=60_000))
    checkpointed = region.submit(
        regions.step(1, 8, is_checkpointed=True, estimate_ms=60_000)
    )
    region.run_round()
    region.submit(regions.step(1, 8), priority=0)
    stops = region.run_round(9_000).stops
    assert [stop.run.job for stop in stops] == [checkpointed]


def test_preemption_stops_no_more_runs_while_victims_end():
    region = regions.Region([regions.worker(index) for index in range(4)])
    for _ in range(4):
        region.submit(regions.step(8, 1, is_checkpointed=True))
    region.run_round()
    region.submit(regions.step(2, 8, is_gang=True), priority=0)
    stopped = len(region.run_round(500).stops)
    for index in range(40):
        worker = region.workers[index % 4]
        for run in list(worker.run_by_key.values())[: index % 3]:
            if run.is_stopping:
                region.end_run(run)
        stopped += len(region.run_round(20).stops)
    assert stopped == 16


def test_preemption_frees_one_worker_for_each_urgent_job():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    region.submit(regions.step(2, 8), priority=2)
    region.run_round()
    first = region.submit(regions.step(1, 8), priority=0)
    second = region.submit(regions.step(1, 8), priority=0)
    plan = region.run_round(100)
    assert len(plan.stops) == 2
    region.end_stopping_runs()
    region.run_round(500)
    assert len(region.runs(first)) == len(region.runs(second)) == 1


def test_preemption_excludes_capacity_used_by_starts():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    running_job = region.submit(regions.step(1, 8), priority=2)
    region.run_round()
    region.submit(regions.step(2, 8), priority=0)
    plan = region.run_round(100)
    assert len(plan.starts) == 1
    assert [stop.run.job for stop in plan.stops] == [running_job]


def test_reservation_of_large_tasks_uses_separate_workers():
    """Two reservations on one worker would leave the other unreserved."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    for worker, estimate_ms in zip(region.workers, (3_000, 4_000)):
        job = region.submit(regions.step(1, 1, estimate_ms=estimate_ms))
        region.start_run(job, next(iter(job.task_by_key.values())), worker)
    for _ in range(2):
        region.submit(regions.step(1, 8))
    region.run_round(100)
    small = region.submit(regions.step(1, 1, estimate_ms=60_000))
    region.run_round(100)
    assert not region.runs(small)


def test_preemption_beyond_guarantee_rejects_high_cost():
    region = regions.Region([regions.worker(index) for index in range(4)])
    region.submit(regions.step(32, 1, estimate_ms=20_000))
    region.run_round()
    region.submit(regions.step(4, 8), priority=0)
    assert region.run_round(15_000).stops == []


def test_preempted_capacity_goes_to_job_that_preempted():
    """Capacity freed by preemption is not taken by a shorter urgent job.

    The shorter job sorts first otherwise, and its value is too low for a
    preemption of its own.
    """
    region = regions.Region([regions.worker(1)])
    region.submit(
        regions.step(1, 8, estimate_ms=600_000), priority=2, queue='other'
    )
    region.run_round()
    preempting = region.submit(
        regions.step(1, 8, estimate_ms=9_000), priority=0, account='other'
    )
    assert len(region.run_round(8_000).stops) == 1
    shorter = region.submit(
        regions.step(1, 8, estimate_ms=1_000), priority=0, account='other'
    )
    region.run_round(100)
    region.end_stopping_runs()
    region.run_round(100)
    assert region.runs(preempting)
    assert not region.runs(shorter)


def test_planner_not_allowed_to_preempt_stops_and_charges_nothing():
    """A new leader plans this way until the agents have connected.

    Preemption costs of stops that are not made would prevent later ones.
    """
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(1, 8), priority=2)
    region.run_round()
    urgent = region.submit(regions.step(1, 8), priority=0)
    for _ in range(20):
        region.now_ms += 100
        assert region.plan(may_preempt=False).stops == []
    assert not region.planner._commitments.preemption_cost_by_job
    region.run_round(100)
    region.end_stopping_runs()
    region.run_round(100)
    assert region.runs(urgent)


def test_reservation_prevents_starvation_of_large_gang():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    for _ in range(16):
        region.submit(regions.step(1, 1, estimate_ms=8_000))
    region.run_round()
    gang = region.submit(regions.step(2, 8, is_gang=True, estimate_ms=8_000))
    for index in range(40):
        region.submit(regions.step(1, 1, estimate_ms=8_000))
        for worker in region.workers:
            for run in list(worker.run_by_key.values()):
                if region.now_ms - run.started_ms >= 8_000 + index:
                    region.end_run(run, is_done=True)
        region.run_round(500)
        if region.runs(gang):
            return
    pytest.fail('gang did not start within 40 planning rounds')


def test_backfill_admits_only_tasks_that_end_before_reservation():
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(1, 4, estimate_ms=20_000))
    region.run_round()
    region.submit(regions.step(1, 8, is_gang=True))
    assert region.run_round(100).starts == []
    region.submit(regions.step(1, 2, estimate_ms=3_000))
    assert len(region.run_round(100).starts) == 1
    region.submit(regions.step(1, 2, estimate_ms=60_000))
    assert region.run_round(100).starts == []


def test_health_backoff_excludes_failing_worker():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    options = policy.PlanOptions()
    policy.health.note_failure(region.workers[0], regions.NOW_MS, options)
    region.submit(regions.step(2, 1))
    assert {start.worker.worker for start in region.run_round().starts} == {
        'w2'
    }
    first_backoff_until_ms = region.workers[0].backoff_until_ms
    policy.health.note_failure(region.workers[0], regions.NOW_MS, options)
    assert region.workers[0].backoff_until_ms > first_backoff_until_ms
    (job,) = region.jobs
    run = region.start_run(
        job, next(iter(job.task_by_key.values())), region.workers[0]
    )
    policy.health.note_success(region.workers[0], run)
    assert region.workers[0].backoff_until_ms == 0


# Guards against a fleet that loses a worker for 4 s with each task that fails
# by itself.
def test_worker_of_one_task_that_fails_after_progress_gets_new_work():
    region = regions.Region([regions.worker(1)])
    job = region.submit(regions.step(1, 1))
    region.run_round()
    (run,) = region.runs(job)
    (worker,) = region.workers
    note_failure = region.planner.failure_attribution.note_failure
    note_failure(worker, run, region.now_ms, has_progressed=True)
    region.end_run(run)
    assert len(region.run_round(100).starts) == 1


# Guards against a failing worker that is trusted, since its runs progress
# before they fail.
def test_worker_whose_runs_fail_one_after_the_other_gets_no_new_work():
    region = regions.Region([regions.worker(1)])
    note_failure = region.planner.failure_attribution.note_failure
    (worker,) = region.workers
    for _ in range(2):
        job = region.submit(regions.step(1, 1))
        region.run_round(100)
        (run,) = region.runs(job)
        note_failure(worker, run, region.now_ms, has_progressed=True)
        region.end_run(run, is_done=True)
    region.submit(regions.step(1, 1))
    assert region.run_round(100).starts == []


def test_older_run_that_ends_well_does_not_end_the_backoff():
    """A worker fails what it starts; its older runs end well meanwhile."""
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(1, 1))
    region.run_round()
    (older_run,) = region.runs(region.jobs[0])
    region.now_ms += 1_000
    options = policy.PlanOptions()
    (worker,) = region.workers
    policy.health.note_failure(worker, region.now_ms, options)
    region.end_run(older_run, is_done=True)
    policy.health.note_success(worker, older_run)
    region.submit(regions.step(1, 1))
    assert region.run_round(100).starts == []


def test_failed_task_avoids_workers_whose_last_run_failed():
    """One more failure would fail the job; the other worker is fuller."""
    region = regions.Region(
        [
            regions.worker(1),
            regions.worker(2),
            regions.worker(3),
            regions.worker(4),
        ]
    )
    options = policy.PlanOptions()
    for worker in region.workers[:2]:
        policy.health.note_failure(worker, regions.NOW_MS, options)
    job = region.submit(regions.step(2, 1))
    for task in job.task_by_key.values():
        task.failures = 1
    after_ms = options.failure_backoff_ms + 100
    region.submit(regions.step(1, 7))
    starts = region.run_round(after_ms).starts
    names = {s.worker.worker for s in starts if s.job is job}
    assert names <= {'w3', 'w4'}


def test_tasks_that_fail_everywhere_do_not_shut_out_the_fleet():
    """Tasks that can never be done have failed on most workers."""
    region = regions.Region([regions.worker(index) for index in range(4)])
    options = policy.PlanOptions()
    for worker in region.workers[:3]:
        policy.health.note_failure(worker, regions.NOW_MS, options)
    job = region.submit(regions.step(16, 1))
    next(iter(job.task_by_key.values())).failures = 1
    starts = region.run_round(options.failure_backoff_ms + 100).starts
    assert len(starts) == 16


# Guards against sound workers that are kept out for up to 30 s by tasks that
# fail wherever they run, while a gang waits beside an idle fleet.
def test_workers_are_not_blamed_repeatedly_for_tasks_that_fail_elsewhere():
    region = regions.Region([regions.worker(index) for index in range(4)])
    options = policy.PlanOptions()
    first, second = region.workers[:2]
    for _ in range(4):
        job = region.submit(regions.step(1, 1))
        for worker in (first, second):
            (task,) = job.task_by_key.values()
            run = region.start_run(job, task, worker)
            region.planner.failure_attribution.note_failure(
                worker, run, region.now_ms
            )
            region.end_run(run)
        task.is_done = True
    gang = region.submit(regions.step(4, 8, is_gang=True))
    region.run_round(options.failure_backoff_ms + 100)
    assert len(region.runs(gang)) == 4


# Guards against a failing worker that is trusted, since one of the tasks that
# it fails has failed elsewhere.
def test_worker_that_fails_different_tasks_is_kept_out_for_longer():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    options = policy.PlanOptions()
    failing, other = region.workers
    for workers in ((failing, other), (failing,), (failing,)):
        job = region.submit(regions.step(1, 1))
        (task,) = job.task_by_key.values()
        for worker in workers:
            run = region.start_run(job, task, worker)
            region.planner.failure_attribution.note_failure(
                worker, run, region.now_ms
            )
            region.end_run(run)
    region.run_round()
    base_ms = region.now_ms + options.failure_backoff_ms
    assert other.backoff_until_ms == base_ms
    assert failing.backoff_until_ms == base_ms + options.failure_backoff_ms


def test_failed_gang_uses_suspect_workers_if_no_others_are_enough():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    options = policy.PlanOptions()
    policy.health.note_failure(region.workers[0], regions.NOW_MS, options)
    job = region.submit(regions.step(2, 8, is_gang=True))
    for task in job.task_by_key.values():
        task.failures = 1
    starts = region.run_round(options.failure_backoff_ms + 100).starts
    assert len(starts) == 2


def _run_gang(region, progresses, listed_after_ms=8_000):
    """Start a gang, one member for each worker, and set its progress.

    Finished members made their last progress at the start; all are listed.
    """
    job = region.submit(regions.step(len(progresses), 8, is_gang=True))
    region.run_round()
    runs = region.runs(job)
    for run, progress in zip(runs, progresses, strict=True):
        run.progress = progress
        run.last_listed_ms = region.now_ms + listed_after_ms
        if progress < 100:
            run.last_progress_ms = run.last_listed_ms
            run.progress_listed_ms = run.last_listed_ms
    return runs


def test_finished_gang_member_that_waits_for_the_slowest_is_not_stalled():
    """Slow members made whole gangs restart, and blamed the fast workers."""
    region = regions.Region(
        [regions.worker(1), regions.worker(2), regions.worker(3)]
    )
    _run_gang(region, [100, 62, 100])
    assert region.run_round(8_000).stops == []
    assert [worker.failures for worker in region.workers] == [0, 0, 0]


def test_stalled_gang_member_is_stopped_and_only_its_worker_blamed():
    region = regions.Region(
        [regions.worker(1), regions.worker(2), regions.worker(3)]
    )
    runs = _run_gang(region, [100, 62, 100])
    runs[1].progress_listed_ms = regions.NOW_MS
    stops = region.run_round(8_000).stops
    assert [stop.run for stop in stops] == [runs[1]]
    assert [worker.failures for worker in region.workers] == [0, 1, 0]


def test_gang_member_that_waits_for_a_late_start_is_not_stalled():
    """Members work only once all are present; a start order may be late."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    runs = _run_gang(region, [0, 0])
    runs[0].progress_listed_ms = regions.NOW_MS
    runs[1].is_confirmed = False
    assert region.run_round(8_000).stops == []


# Guards against gangs that are stopped, and sound workers that are kept out,
# since the worker of one member has crashed and is silent.
def test_gang_members_beside_one_on_a_silent_worker_are_not_stalled():
    region = regions.Region([regions.worker(index) for index in range(3)])
    runs = _run_gang(region, [40, 40, 40])
    for run in runs:
        run.progress_listed_ms = regions.NOW_MS + 1_000
    runs[2].last_listed_ms = regions.NOW_MS + 1_500
    assert region.run_round(8_000).stops == []
    assert [worker.failures for worker in region.workers] == [0, 0, 0]
    assert not any(worker.is_unresponsive for worker in region.workers)


def test_expected_end_of_gang_is_that_of_its_slowest_member():
    """Finished members seemed to free their workers at once."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    runs = _run_gang(region, [100, 20], listed_after_ms=4_000)
    region.run_round(4_000)
    estimator = region.planner._estimator
    for run in runs:
        assert estimator.run_remaining_ms(run, region.now_ms) == 16_000


def test_relocation_moves_stalled_run_to_another_worker():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    job = region.submit(regions.step(1, 1))
    region.run_round()
    run = region.runs(job)[0]
    run.last_listed_ms = region.now_ms + 8_000
    assert [stop.run for stop in region.run_round(8_000).stops] == [run]
    region.end_stopping_runs()
    assert region.run_round(100).starts[0].worker.worker != run.run.worker


def _set_progress(run, progress, unchanged_ms, now_ms):
    run.progress = progress
    run.last_progress_ms = now_ms - unchanged_ms
    run.progress_listed_ms = now_ms - unchanged_ms
    run.last_listed_ms = now_ms


def test_urgent_gang_avoids_worker_whose_runs_stand_still():
    """Urgent gangs started on hanging workers and were late by seconds."""
    region = regions.Region(
        [regions.worker(1), regions.worker(2), regions.worker(3)]
    )
    region.submit(regions.step(1, 2))
    region.run_round()
    (hanging,) = (w for w in region.workers if w.run_by_key)
    region.now_ms += 2_000
    for run in hanging.run_by_key.values():
        _set_progress(run, 3, 1_500, region.now_ms)
    region.submit(
        regions.step(4, 4, is_gang=True, estimate_ms=4_000), priority=0
    )
    starts = region.run_round().starts
    assert len(starts) == 4
    assert hanging not in [start.worker for start in starts]


def test_worker_with_one_progressing_run_is_not_unresponsive():
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(2, 2))
    region.run_round()
    first, second = region.workers[0].run_by_key.values()
    region.now_ms += 2_000
    _set_progress(first, 3, 1_500, region.now_ms)
    _set_progress(second, 19, 100, region.now_ms)
    region.run_round()
    assert not region.workers[0].is_unresponsive


def test_urgent_run_on_unresponsive_worker_moves_before_others():
    """A hanging worker held urgent gangs for 8 s, others as long as before."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    urgent = region.submit(regions.step(1, 8, estimate_ms=4_000), priority=0)
    other = region.submit(regions.step(1, 8, estimate_ms=4_000))
    region.run_round()
    region.now_ms += 2_400
    for job in (urgent, other):
        _set_progress(region.runs(job)[0], 20, 1_600, region.now_ms)
    assert [stop.run.job for stop in region.run_round().stops] == [urgent]


def test_urgent_run_waits_as_long_as_its_work_would_take_again():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    urgent = region.submit(regions.step(1, 8, estimate_ms=4_000), priority=0)
    region.run_round()
    region.now_ms += 4_600
    (run,) = region.runs(urgent)
    _set_progress(run, 70, 1_800, region.now_ms)
    assert region.run_round().stops == []
    _set_progress(run, 70, 3_100, region.now_ms + 1_300)
    assert len(region.run_round(1_300).stops) == 1


def test_relocation_stops_checkpointed_run_before_drain_ends():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    checkpointed = region.submit(regions.step(1, 8, is_checkpointed=True))
    region.run_round()
    worker = region.workers[0]
    assert worker.run_by_key
    worker.is_accepting = False
    worker.is_draining = True
    worker.drain_deadline_ms = region.now_ms + 5_000
    assert region.run_round(500).stops == []
    assert [stop.run.job for stop in region.run_round(3_200).stops] == [
        checkpointed
    ]


def test_placement_prefers_rack_of_step():
    region = regions.Region([regions.worker(1, 'r1'), regions.worker(2, 'r2')])
    region.submit(regions.step(1, 1, rack='r2'))
    assert region.run_round().starts[0].worker.rack == 'r2'


def test_preemption_prefers_runs_already_stopping():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    region.submit(regions.step(8, 1, is_checkpointed=True))
    region.submit(regions.step(8, 1, is_checkpointed=True))
    region.run_round()
    for run in region.workers[1].run_by_key.values():
        run.is_stopping = True
    region.submit(regions.step(1, 8), priority=0)
    assert region.run_round(100).stops == []


def test_stall_timeout_grows_with_slow_progress():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    job = region.submit(regions.step(1, 8, estimate_ms=2_000))
    region.run_round()
    run = region.runs(job)[0]
    run.progress = 60
    run.last_progress_ms = region.now_ms + 30_000
    run.progress_listed_ms = run.last_progress_ms
    run.last_listed_ms = run.last_progress_ms + 4_500
    assert region.run_round(34_500).stops == []


def test_guaranteed_job_delays_preemption_for_ending_runs():
    region = regions.Region([regions.worker(1)])
    almost_done = region.submit(regions.step(8, 1, estimate_ms=10_000))
    region.run_round()
    for run in region.runs(almost_done):
        run.progress = 97
    region.submit(regions.step(1, 8), priority=0)
    assert region.run_round(9_700).stops == []
    assert len(region.run_round(700).stops) == 8


def _region_without_an_idle_rack(racks):
    """Return a region in which one of three workers of each rack is busy."""
    region = regions.Region(
        [
            regions.worker(f'{rack}-{index}', f'r{rack}')
            for rack in range(racks)
            for index in range(3)
        ]
    )
    for worker in region.workers[::3]:
        job = region.submit(regions.step(1, 8, estimate_ms=15_000))
        (task,) = job.task_by_key.values()
        region.start_run(job, task, worker)
    return region


@pytest.mark.parametrize(('racks', 'is_started'), [(4, True), (2, False)])
def test_gang_waits_for_one_rack_only_briefly_in_an_idle_fleet(
    racks, is_started
):
    """A gang waited for 6 s at the end of a day, with most workers idle."""
    region = _region_without_an_idle_rack(racks)
    gang = regions.step(3, 8, is_gang=True, is_same_rack=True)
    region.submit(gang)
    assert region.run_round().starts == []
    for worker in region.workers[::3]:
        for run in worker.run_by_key.values():
            _set_progress(run, 13, 0, region.now_ms + 2_000)
    assert region.run_round(1_900).starts == []
    assert bool(region.run_round(200).starts) == is_started


def _racks_with_free_halves(estimate_ms=60_000, priority=1):
    """Return a region of two racks, in each of which one of two is free."""
    region = regions.Region(
        [regions.worker(index, f'r{index // 2}') for index in range(4)]
    )
    for worker in (region.workers[0], region.workers[2]):
        job = region.submit(
            regions.step(8, 1, estimate_ms=estimate_ms),
            priority=priority,
            account='b',
        )
        for task in job.task_by_key.values():
            region.start_run(job, task, worker)
    return region


def _submit_one_rack_gang(region):
    return region.submit(
        regions.step(2, 8, is_gang=True, is_same_rack=True, estimate_ms=4_000),
        priority=0,
    )


# Guards against urgent gangs that are spread over racks, where they take three
# times as long, just before the runs that make way for them have ended.
def test_guaranteed_gang_waits_for_the_runs_that_it_preempts_in_one_rack():
    region = _racks_with_free_halves()
    gang = _submit_one_rack_gang(region)
    for after_ms in (0, 700, 600):
        region.run_round(after_ms)
        assert region.runs(gang) == []
    region.end_stopping_runs()
    region.run_round(300)
    assert len(region.runs(gang)) == 2
    assert len(_racks_of(region, gang)) == 1


def _racks_of(region, job):
    names = {run.run.worker for run in region.runs(job)}
    return {w.rack for w in region.workers if w.worker in names}


# Guards against guaranteed gangs that are spread over racks when they start
# again, though they have started within their guarantee before.
def test_guaranteed_gang_that_starts_again_waits_for_one_rack():
    region = _racks_with_free_halves(estimate_ms=3_000, priority=0)
    gang = _submit_one_rack_gang(region)
    for task in gang.task_by_key.values():
        task.last_run = 1
    for _ in range(20):
        region.run_round(100)
    assert region.runs(gang) == []


# Guards against gangs that are spread over the racks of the first workers that
# have reported to a new leader.
def test_gang_is_not_spread_over_racks_while_workers_may_still_report():
    region = regions.Region([regions.worker(0, 'r0'), regions.worker(2, 'r1')])
    _submit_one_rack_gang(region)
    assert region.plan(may_preempt=False).starts == []


def test_urgent_gang_beyond_guarantee_waits_for_one_rack():
    region = regions.Region(
        [
            regions.worker(1, 'r1'),
            regions.worker(2, 'r1'),
            regions.worker(3, 'r2'),
        ]
    )
    region.submit(regions.step(1, 8, estimate_ms=4_000), priority=0)
    region.run_round()
    busy_worker = next(w for w in region.workers if w.run_by_key)
    if busy_worker.rack == 'r2':
        pytest.fail('test setup: first job placed in rack r2, expected r1')
    region.submit(
        regions.step(2, 8, is_gang=True, is_same_rack=True),
        priority=0,
        account='x',
    )
    assert region.run_round(100).starts == []
    assert region.run_round(2_000).starts == []
    for run in list(busy_worker.run_by_key.values()):
        region.end_run(run, is_done=True)
    racks = {start.worker.rack for start in region.run_round(100).starts}
    assert racks == {'r1'}


# Overload: more urgent work than the fleet can run in time


def test_guaranteed_job_preempts_urgent_work_beyond_a_guarantee():
    """Another account fills the fleet with urgent jobs of its own."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    borrowed = region.submit(regions.step(16, 1), priority=0, account='x')
    region.run_round()
    assert len(region.runs(borrowed)) == 16
    urgent = region.submit(regions.step(2, 8, is_gang=True), priority=0)
    assert region.run_round(700).stops == []
    delay_ms = policy.PlanOptions().urgent_preemption_delay_ms
    assert len(region.run_round(delay_ms).stops) == 16
    region.end_stopping_runs()
    region.run_round(300)
    assert len(region.runs(urgent)) == 2


def test_urgent_job_beyond_guarantee_preempts_no_urgent_work():
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(8, 1), priority=0, account='x')
    region.run_round()
    region.submit(regions.step(1, 8), priority=0, account='y')
    assert region.run_round(5_000).stops == []


def test_overload_order_prefers_work_of_higher_value_density():
    """A job in time that takes the whole fleet would delay many small ones."""
    region = regions.Region([regions.worker(1)])
    running = region.submit(regions.step(8, 1), priority=0, account='x')
    region.run_round()
    region.submit(regions.step(8, 1), priority=0, account='x')
    region.run_round(100)
    small = [
        region.submit(regions.step(1, 1), priority=0, account='x')
        for _ in range(4)
    ]
    for run in region.runs(running):
        region.end_run(run, is_done=True)
    region.run_round(100)
    assert all(region.runs(job) for job in small)


def test_gang_too_wide_for_a_rack_goes_after_gangs_in_time():
    """Across racks it takes three times as long, and ends late anyway."""
    region = regions.Region([regions.worker(1, 'r1'), regions.worker(2, 'r2')])
    wide = region.submit(
        regions.step(2, 8, is_gang=True, is_same_rack=True),
        priority=0,
        account='x',
    )
    narrow = region.submit(
        regions.step(2, 4, is_gang=True, is_same_rack=True),
        priority=0,
        account='x',
    )
    region.run_round(2_000)
    assert region.runs(narrow)
    assert not region.runs(wide)


def test_wide_step_has_time_for_its_waves():
    """Its single tasks cannot all run at once, which its target allows."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    wide = region.submit(regions.step(6, 8), priority=0, account='x')
    region.run_round(8_000)
    assert len(region.runs(wide)) == 2
    narrow = region.submit(regions.step(1, 8), priority=0, account='x')
    region.now_ms += 20_000
    for run in region.runs(wide):
        region.end_run(run, is_done=True)
    region.run_round(100)
    assert region.runs(narrow)


def test_reservation_counts_tasks_that_start_in_the_same_round():
    """Else no capacity is reserved for a gang behind them, and it starves."""
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(4, 1, estimate_ms=5_000))
    gang = region.submit(regions.step(8, 1, is_gang=True, estimate_ms=60_000))
    region.run_round()
    assert not region.runs(gang)
    assert region.planner._commitments.reserved_ids == {gang.job_id}


def test_long_work_leaves_capacity_that_urgent_jobs_ask_for():
    """Without checkpoints it could make way only at the loss of its work."""
    region = regions.Region([regions.worker(1), regions.worker(2)])
    for _ in range(12):
        job = region.submit(
            regions.step(1, 8, estimate_ms=5_000), priority=0, account='x'
        )
        region.run_round(500)
        for run in region.runs(job):
            region.end_run(run, is_done=True)
    long = region.submit(regions.step(16, 1, estimate_ms=60_000), priority=2)
    saved = region.submit(
        regions.step(4, 1, estimate_ms=60_000, is_checkpointed=True),
        priority=2,
    )
    region.run_round(100)
    assert 0 < len(region.runs(long)) < 12
    assert len(region.runs(saved)) == 4


def test_long_work_takes_the_whole_fleet_without_urgent_jobs():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    long = region.submit(regions.step(16, 1, estimate_ms=60_000), priority=2)
    region.run_round()
    assert len(region.runs(long)) == 16


def test_large_step_starts_under_urgent_load_while_no_other_work_runs():
    region = regions.Region([regions.worker(1), regions.worker(2)])
    for _ in range(12):
        region.submit(
            regions.step(1, 8, estimate_ms=5_000), priority=0, account='x'
        )
    region.run_round(500)
    for job in region.jobs:
        job.is_cancelled = True
        for run in region.runs(job):
            region.end_run(run)
    large = region.submit(regions.step(2, 8, is_gang=True, estimate_ms=60_000))
    region.run_round(100)
    assert len(region.runs(large)) == 2


def test_searches_of_a_round_do_not_grow_with_the_waiting_jobs(monkeypatch):
    """Many gangs with the same demand wait on a full fleet."""
    calls = []
    search = reservation.ReservationFinder._slots

    def record_search(self, *given):
        calls.append(1)
        return search(self, *given)

    monkeypatch.setattr(reservation.ReservationFinder, '_slots', record_search)
    calls_by_waiting = {}
    for waiting in (10, 40):
        region = regions.Region([regions.worker(index) for index in range(20)])
        region.submit(regions.step(160, 1), priority=0, account='x')
        region.run_round()
        for _ in range(waiting):
            region.submit(
                regions.step(2, 4, is_gang=True), priority=0, account='x'
            )
        calls.clear()
        region.run_round(100)
        calls_by_waiting[waiting] = len(calls)
    assert calls_by_waiting[40] == calls_by_waiting[10]


def test_fits_of_the_fleet_are_counted_by_shape_not_by_worker_and_job():
    fleet = fleet_shape.FleetShape()
    workers = [regions.worker(index, f'r{index % 4}') for index in range(400)]
    fleet.update(workers)
    fit = fleet.fit_of(regions.step(3, 4))
    assert (fit.slots, fit.widest_rack) == (800, 200)
    assert fleet.fit_of(regions.step(30, 4)) is fit
    fleet.update(workers[:-1])
    assert fleet.fit_of(regions.step(3, 4)).slots == 798


def _region_with_draining_run(notice_ms, **fields):
    """Return a region whose only run, 10 s long, is on a draining worker."""
    region = regions.Region([regions.worker(1)])
    region.submit(regions.step(1, 1, **fields))
    region.run_round()
    (run,) = region.runs(region.jobs[0])
    region.now_ms += 5_000
    (worker,) = region.workers
    worker.is_accepting = False
    worker.is_draining = True
    worker.drain_deadline_ms = region.now_ms + notice_ms
    return region, run


def test_run_that_ends_within_the_notice_goes_on_despite_old_progress():
    """Its worker listed 40 percent a second ago, half of it is done now."""
    region, run = _region_with_draining_run(5_600)
    run.progress = 40
    run.last_progress_ms = region.now_ms - 1_000
    assert region.run_round().stops == []


# Guards against gangs near their end that are stopped as one of their workers
# drains, and lose all of their work.
@pytest.mark.parametrize(
    ('notice_ms', 'is_stopped'), [(5_100, False), (4_600, True)]
)
def test_run_on_draining_worker_goes_on_if_that_pays_off(
    notice_ms, is_stopped
):
    region, run = _region_with_draining_run(notice_ms)
    run.progress = 50
    run.last_progress_ms = region.now_ms
    assert bool(region.run_round().stops) is is_stopped


# Guards against a run that has just started, and is left on a draining worker
# that it is not likely to outlast.
def test_short_lived_run_on_draining_worker_starts_again_elsewhere():
    region, run = _region_with_draining_run(10_000)
    run.started_ms = run.base_ms = region.now_ms - 200
    assert [stop.run for stop in region.run_round().stops] == [run]


def test_run_that_stalls_is_not_expected_to_end_soon():
    region, run = _region_with_draining_run(5_600)
    run.progress = 20
    run.last_progress_ms = region.now_ms - 4_000
    assert [stop.run for stop in region.run_round().stops] == [run]


def test_resumed_run_is_expected_to_end_at_its_own_speed():
    """It resumed from 60 percent and has done ten more in 1 s."""
    region, run = _region_with_draining_run(3_000, is_checkpointed=True)
    run.started_ms = region.now_ms - 1_050
    run.task.checkpoint = 'after-6-s'
    run.confirm(60, region.now_ms - 1_000, region.now_ms - 1_000)
    run.progress = 70
    run.last_progress_ms = region.now_ms
    region.workers[0].drain_deadline_ms = region.now_ms + 1_200
    assert [stop.run for stop in region.run_round().stops] == [run]


def test_inherited_run_is_not_expected_to_end_at_once():
    """A new leader has seen it for 200 ms, at 50 percent of 10 s."""
    region, run = _region_with_draining_run(3_000)
    run.started_ms = region.now_ms - 200
    run.is_inherited = True
    run.confirm(50, region.now_ms - 200, region.now_ms - 200)
    run.progress = 52
    run.last_progress_ms = region.now_ms
    assert [stop.run for stop in region.run_round().stops] == [run]


def _preempts_for_urgent_job(remaining_ms):
    """Whether an urgent job of 10 s preempts a checkpointed run.

    It is in time if it completes within 31 s.

    :param remaining_ms: expected time until the run ends.
    """
    region = regions.Region([regions.worker(1)])
    region.submit(
        regions.step(1, 8, is_checkpointed=True, estimate_ms=remaining_ms),
        priority=2,
    )
    region.run_round()
    region.submit(regions.step(1, 8), priority=0, account='unknown')
    return bool(region.run_round().stops)


def test_urgent_job_does_not_rely_on_an_end_just_before_its_latest_start():
    """Expected ends are inaccurate: it would be late in half of the cases."""
    assert _preempts_for_urgent_job(20_000)


def test_urgent_job_waits_for_an_end_that_leaves_it_enough_time():
    assert not _preempts_for_urgent_job(8_000)


def _cold_worker(index, rack='r1', left_ms=8_000):
    return regions.worker(index, rack, warm_ms=regions.NOW_MS + left_ms)


def _occupy(region, worker, accelerators, estimate_ms):
    """Start a task on a worker."""
    job = region.submit(regions.step(1, accelerators, estimate_ms=estimate_ms))
    (task,) = job.task_by_key.values()
    return region.start_run(job, task, worker)


def _workers_of_starts(plan):
    return sorted(start.worker.worker for start in plan.starts)


@pytest.mark.parametrize(('priority', 'chosen'), [(0, 'w2'), (1, 'w1')])
def test_only_urgent_work_avoids_cold_workers(priority, chosen):
    """Urgent tasks were late on workers that had just been taken back."""
    region = regions.Region([_cold_worker(1), regions.worker(2)])
    _occupy(region, region.workers[0], 6, 20_000)
    region.submit(regions.step(1, 1), priority=priority)
    assert _workers_of_starts(region.run_round()) == [chosen]


@pytest.mark.parametrize('is_gang', [False, True])
def test_urgent_work_takes_cold_workers_if_warm_ones_do_not_suffice(is_gang):
    region = regions.Region([_cold_worker(1), regions.worker(2)])
    region.submit(regions.step(10, 1, is_gang=is_gang), priority=0)
    chosen = _workers_of_starts(region.run_round())
    assert set(chosen) == {'w1', 'w2'}
    if not is_gang:
        assert chosen.count('w2') == 8


@pytest.mark.parametrize(
    ('is_same_rack', 'chosen'), [(False, ['w2', 'w3']), (True, ['w1', 'w2'])]
)
def test_urgent_gang_prefers_warm_workers_to_one_rack(is_same_rack, chosen):
    """A gang that asks for one rack loses more across racks."""
    region = regions.Region(
        [_cold_worker(1), regions.worker(2), regions.worker(3, 'r2')]
    )
    step = regions.step(2, 8, is_gang=True, is_same_rack=is_same_rack)
    region.submit(step, priority=0)
    assert _workers_of_starts(region.run_round()) == chosen


def test_cold_worker_is_warm_once_its_time_is_over():
    region = regions.Region([_cold_worker(1), regions.worker(2)])
    _occupy(region, region.workers[0], 6, 20_000)
    region.submit(regions.step(1, 1), priority=0)
    assert _workers_of_starts(region.run_round(8_000)) == ['w1']


@pytest.mark.parametrize(
    ('estimate_ms', 'expected_ms'), [(10_000, 14_000), (1_000, 2_000)]
)
def test_run_on_cold_worker_is_expected_to_end_later(estimate_ms, expected_ms):
    region = regions.Region([_cold_worker(1)])
    run = _occupy(region, region.workers[0], 1, estimate_ms)
    estimator = region.planner._estimator
    region.run_round()
    assert estimator.run_remaining_ms(run, region.now_ms) == expected_ms
    region.run_round(1_000)
    later_ms = estimator.run_remaining_ms(run, region.now_ms)
    assert later_ms == expected_ms - 1_000


@pytest.mark.parametrize('is_cold', [False, True])
def test_backfill_counts_the_warm_up_of_a_cold_worker(is_cold):
    """Else the task is still running when the gang could start."""
    region = regions.Region(
        [regions.worker(1), _cold_worker(2) if is_cold else regions.worker(2)]
    )
    _occupy(region, region.workers[0], 4, 20_000)
    region.submit(regions.step(2, 8, is_gang=True))
    assert region.run_round().starts == []
    region.submit(regions.step(1, 8, estimate_ms=18_000))
    assert len(region.run_round().starts) == (0 if is_cold else 1)


def test_backfill_on_warm_worker_if_the_best_fit_is_cold():
    region = regions.Region([regions.worker(1), _cold_worker(2)])
    _occupy(region, region.workers[0], 4, 20_000)
    _occupy(region, region.workers[1], 5, 16_000)
    region.submit(regions.step(2, 8, is_gang=True))
    assert region.run_round().starts == []
    region.submit(regions.step(1, 2, estimate_ms=18_000))
    assert _workers_of_starts(region.run_round()) == ['w1']


def test_reservation_counts_the_warm_up_of_tasks_that_start():
    """Else a gang behind them is promised their worker too early."""
    region = regions.Region([_cold_worker(1)])
    region.submit(regions.step(1, 5, estimate_ms=10_000))
    region.submit(regions.step(8, 1, is_gang=True))
    finder = region.planner._reservation_finder
    region.run_round()
    (end,) = finder._expected_ends(region.workers[0], region.now_ms)[-1:]
    assert end[0] == regions.NOW_MS + 14_000


def _region_of_two_data_centres(**options):
    """Return a region with two workers in ``dc1`` and one in ``dc2``."""
    workers = [regions.worker(1), regions.worker(2), regions.worker(3, 'r2')]
    for worker, data_centre in zip(workers, ('dc1', 'dc1', 'dc2')):
        worker.data_centre = data_centre
    return regions.Region(workers, **options)


def _started_in(plan):
    return {start.worker.data_centre for start in plan.starts}


def test_evacuated_data_centre_gets_no_tasks():
    region = _region_of_two_data_centres()
    region.submit(regions.step(24, 1))
    plan = region.plan(evacuated={'dc1'})
    assert len(plan.starts) == 8
    assert _started_in(plan) == {'dc2'}
    assert _started_in(region.plan()) == {'dc1', 'dc2'}


def test_gang_is_not_placed_partly_in_evacuated_data_centre():
    region = _region_of_two_data_centres()
    region.submit(regions.step(2, 8, is_gang=True))
    plan = region.plan(evacuated={'dc1'})
    assert plan.starts == []
    assert [item.reason for item in plan.blocked] == ['data centre evacuated']


def test_step_waits_for_capacity_while_open_workers_could_run_it():
    """The reason must not name an evacuation that it does not wait for."""
    region = _region_of_two_data_centres()
    region.submit(regions.step(1, 8))
    region.submit(regions.step(1, 8))
    plan = region.plan(evacuated={'dc1'})
    assert _started_in(plan) == {'dc2'}
    assert [item.reason for item in plan.blocked] != ['data centre evacuated']


def test_labelled_step_waits_for_end_of_evacuation():
    region = _region_of_two_data_centres()
    region.submit(regions.step(1, 1, label='r1'))
    plan = region.plan(evacuated={'dc1'})
    assert plan.starts == []
    assert [item.reason for item in plan.blocked] == ['data centre evacuated']


def test_no_run_is_preempted_in_evacuated_data_centre():
    region = _region_of_two_data_centres()
    region.submit(regions.step(24, 1, is_checkpointed=True), priority=2)
    region.run_round()
    region.submit(regions.step(1, 8), priority=0)
    stops = region.plan(evacuated={'dc1'}).stops
    assert stops
    assert {stop.run.run.worker for stop in stops} == {'w3'}


def test_capacity_is_reserved_only_outside_evacuated_data_centre():
    """A reservation there would keep nothing free for the large task."""
    region = _region_of_two_data_centres()
    region.submit(regions.step(3, 4))
    for task, worker in zip(region.jobs[0].tasks_of(0, 0), region.workers):
        region.start_run(region.jobs[0], task, worker)
    region.submit(regions.step(1, 8))
    region.plan(evacuated={'dc1'})
    reserved = [worker.committed_accelerators for worker in region.workers]
    assert reserved == [0, 0, 8]


def test_run_in_evacuated_data_centre_is_moved_when_its_worker_drains():
    region = _region_of_two_data_centres()
    region.submit(regions.step(1, 8, label='r1'))
    region.run_round()
    worker = next(worker for worker in region.workers if worker.run_by_key)
    worker.is_draining, worker.is_accepting = True, False
    worker.drain_deadline_ms = region.now_ms + 1_000
    plan = region.plan(evacuated={'dc1'})
    assert [stop.reason for stop in plan.stops] == ['worker draining']


def test_nothing_starts_or_stops_while_all_data_centres_are_evacuated():
    region = _region_of_two_data_centres()
    region.submit(regions.step(4, 1))
    region.run_round()
    region.submit(
        regions.step(2, 4, is_gang=True, is_same_rack=True), priority=0
    )
    plan = region.plan(evacuated={'dc1', 'dc2'})
    assert plan.starts == [] and plan.stops == []
    assert [item.reason for item in plan.blocked] == ['data centre evacuated']


def test_unknown_evacuated_data_centre_changes_no_decision():
    region = _region_of_two_data_centres()
    region.submit(regions.step(20, 1))
    other = _region_of_two_data_centres()
    other.submit(regions.step(20, 1))
    starts = region.plan(evacuated={'elsewhere'}).starts
    assert [start.worker.worker for start in starts] == [
        start.worker.worker for start in other.plan().starts
    ]
