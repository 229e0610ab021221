"""Tests of the attribution of worker crashes, and of probation."""

from mulberryloom_core import messages
from mulberryloom_core.request import jobs
from mulberryloom_policy.jobs import crashes
import planner_region as regions
import pytest

EARLY_MS = 10


def _crash(run_number=1, vm='vm1', age_ms=EARLY_MS, *, last=True, only=True):
    return jobs.Crash(run_number, vm, age_ms, last, only)


def _task(*found):
    task = jobs.Task(jobs.TaskKey(0, 0, 0), last_run=len(found))
    for crash in found:
        assert crashes.note_crash(task, crash)
    return task


def _crashed_runs(**age_ms_by_job):
    return [
        messages.CrashedRun('w', 1, f'{job_id}.0.0.0', 1, age_ms)
        for job_id, age_ms in age_ms_by_job.items()
    ]


# Guards against blame for a task that only ran beside the one at fault.
def test_task_that_started_clearly_earlier_is_not_suspect():
    runs = _crashed_runs(old=1_400, new=10)
    old, new = (_task(crashes.crash_of('vm1', run, runs)) for run in runs)
    assert not crashes.is_suspect(old)
    assert crashes.is_suspect(new)


# Guards against blame by chance: a crash does not tell these tasks apart.
def test_tasks_that_started_at_the_same_time_are_all_suspect():
    runs = _crashed_runs(a=10, b=200)
    for run in runs:
        crash = crashes.crash_of('vm1', run, runs)
        assert crashes.is_suspect(_task(crash))
        assert not crash.is_only_start


# Guards against jobs that fail since a VM is faulty.
def test_two_crashes_on_one_vm_do_not_suffice():
    assert not crashes.is_at_fault(_task(_crash(1), _crash(2)))


# Guards against a third worker that crashes under a task.
def test_two_crashes_on_different_vms_suffice_on_probation():
    assert crashes.is_at_fault(_task(_crash(1), _crash(2, 'vm2')))


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (_crash(1, age_ms=9_000), _crash(2, 'vm2')),
        (_crash(1, last=False, only=False), _crash(2, 'vm2')),
        (_crash(1), _crash(2, 'vm2', only=False)),
        (_crash(1), _crash(2, 'vm2', EARLY_MS + crashes.ALIKE_MS + 1)),
    ],
)
def test_second_crash_under_a_task_beside_others_does_not_suffice(
    first, second
):
    task = _task(first, second)
    assert not crashes.is_at_fault(task)
    assert crashes.is_suspect(task)


# Guards against a task that crashes workers later than soon after its start.
def test_crashes_at_any_age_suffice_in_the_end():
    found = [
        _crash(number, 'vm1', 9_000, last=False, only=False)
        for number in range(1, crashes.MAX_CRASHES + 1)
    ]
    assert not crashes.is_at_fault(_task(*found[:-1]))
    assert crashes.is_at_fault(_task(*found))


# Guards against workers that take no tasks for hours, since a task that ran as
# long before a crash is on probation there.
def test_run_of_some_age_clears_its_task_instead_of_counting_its_crash():
    task = _task(_crash(1, age_ms=9_000))
    old = _crash(2, age_ms=crashes.PROVEN_AGE_MS)
    assert not crashes.note_crash(task, old)
    assert task.crashes == ()
    assert task.proven_run == 2


# Guards against crashes that count twice, as agents repeat their reports.
def test_each_crash_counts_once_and_none_before_a_run_that_cleared_the_task():
    task = _task(_crash(3))
    assert not crashes.note_crash(task, _crash(3))
    crashes.clear(task, 4)
    assert not crashes.is_suspect(task)
    assert not crashes.note_crash(task, _crash(2))
    assert crashes.note_crash(task, _crash(5))


def _region(workers=3):
    region = regions.Region([regions.worker(i) for i in range(workers)])
    for worker in region.workers:
        worker.vm = f'vm-{worker.worker}'
    return region


def _suspect(job, index=0, vm='vm-elsewhere'):
    task = job.task_by_key[jobs.TaskKey(0, 0, index)]
    crashes.note_crash(task, _crash(vm=vm))
    return task


def _names(plan):
    return [start.worker.worker for start in plan.starts]


# Guards against sound tasks that are lost again and again beside the one that
# crashes its workers.
def test_suspect_tasks_start_on_different_workers():
    region = _region()
    job = region.submit(regions.step(3, 1))
    for index in range(3):
        _suspect(job, index)
    assert sorted(_names(region.run_round())) == ['w0', 'w1', 'w2']


# Guards against tasks that are lost with a suspect one.
def test_nothing_starts_on_a_worker_on_probation():
    region = _region(2)
    _suspect(region.submit(regions.step(1, 1)))
    (on_probation,) = _names(region.run_round())
    region.submit(regions.step(8, 1))
    plan = region.run_round(after_ms=100)
    assert plan.starts
    assert on_probation not in _names(plan)


# Guards against workers that stay closed after a probation.
def test_worker_takes_tasks_again_once_its_suspect_is_cleared():
    region = _region(1)
    task = _suspect(region.submit(regions.step(1, 1)))
    region.run_round()
    region.submit(regions.step(1, 1))
    assert not region.run_round(after_ms=100).starts
    crashes.clear(task, 1)
    assert region.run_round(after_ms=100).starts


# Guards against a second crash that could be that of a recent start.
def test_suspect_task_waits_until_recent_starts_are_older():
    region = _region(1)
    region.submit(regions.step(1, 1))
    region.run_round()
    _suspect(region.submit(regions.step(1, 1)))
    assert not region.run_round(after_ms=100).starts
    assert region.run_round(after_ms=crashes.CLEARLY_OLDER_MS * 2).starts


# Guards against urgent runs that are lost by a probation.
def test_suspect_task_starts_where_a_crash_costs_least():
    region = _region()
    for worker, priority in zip(region.workers, (0, 1), strict=False):
        job = region.submit(regions.step(1, 1), priority=priority)
        (task,) = job.task_by_key.values()
        region.start_run(job, task, worker)
    region.now_ms += 5_000
    _suspect(region.submit(regions.step(1, 1)))
    assert _names(region.run_round()) == ['w2']
    region.workers.pop()
    _suspect(region.submit(regions.step(1, 1)))
    assert _names(region.run_round()) == ['w1']


# Guards against blame for a task on a faulty VM.
def test_suspect_task_avoids_the_vm_that_crashed_under_it():
    region = _region(2)
    _suspect(region.submit(regions.step(1, 1)), vm='vm-w0')
    assert _names(region.run_round()) == ['w1']


# Guards against a suspect task that waits for ever for another VM.
def test_suspect_task_of_a_single_vm_starts_there_again():
    region = _region(1)
    _suspect(region.submit(regions.step(1, 1)), vm='vm-w0')
    assert _names(region.run_round()) == ['w0']


# Guards against a gang whose crash could be that of a recent start.
def test_gang_with_a_suspect_member_starts_apart_from_recent_starts():
    region = _region(3)
    region.submit(regions.step(1, 1))
    busy = _names(region.run_round())
    job = region.submit(regions.step(2, 8, is_gang=True))
    _suspect(job, index=1)
    plan = region.run_round(after_ms=100)
    assert len(plan.starts) == 2
    assert not set(_names(plan)) & set(busy)


# Guards against sound tasks that are held up by a suspect one.
def test_other_tasks_of_a_step_do_not_wait_for_its_suspect_ones():
    region = _region(1)
    job = region.submit(regions.step(3, 1))
    _suspect(job)
    plan = region.run_round()
    assert len(plan.starts) == 2
