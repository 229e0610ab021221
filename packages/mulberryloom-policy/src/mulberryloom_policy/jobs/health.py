"""Detection of failing workers and stalled runs."""

from mulberryloom_core.request import jobs

from .capacity import ActiveRun
from .capacity import BlamedTask
from .capacity import WorkerCapacity
from .gangs import GangRuns
from .options import PlanOptions

_COMPLETE_PERCENT = 100
#: Percentage by which a run should have progressed before it counts as
#: standing still.
_PROGRESS_STEPS = 4


def note_success(worker: WorkerCapacity, run: ActiveRun) -> None:
    """Record a successful run and end the failure backoff of its worker.

    A run that started before the last failure says nothing of what starts
    now: a worker may fail new tasks while its older runs end well.
    """
    if run.started_ms < worker.failed_ms:
        return
    worker.failures = 0
    worker.blamed_tasks.clear()
    worker.backoff_until_ms = 0


def note_failure(
    worker: WorkerCapacity,
    now_ms: int,
    options: PlanOptions,
    task: BlamedTask = ('', ''),
    *,
    has_progressed: bool = False,
) -> None:
    """Record a failed run and give its worker no new tasks for a while.

    The backoff doubles with each consecutive failure, so that a worker on
    which every task fails uses up few of the attempts of jobs. It begins
    with the second failure if the first run had progressed before: tasks
    fail by themselves more often than workers begin to fail, and a worker
    that does fails what it starts without any progress.

    :param task: the task of the run, if it is known.
    :param has_progressed: whether the run made progress before it failed.
    """
    worker.failed_ms = now_ms
    worker.failures += 1
    if has_progressed and worker.failures == 1:
        return
    worker.blamed_tasks.append(task)
    _set_backoff(worker, options)


def excuse(
    worker: WorkerCapacity, task: BlamedTask, options: PlanOptions
) -> None:
    """Shorten the backoff of a worker by the failures of one task."""
    if task in worker.blamed_tasks:
        worker.blamed_tasks[:] = [
            blamed for blamed in worker.blamed_tasks if blamed != task
        ]
        _set_backoff(worker, options)


def _set_backoff(worker: WorkerCapacity, options: PlanOptions) -> None:
    doublings = max(0, len(worker.blamed_tasks) - 1)
    worker.backoff_until_ms = worker.failed_ms + min(
        options.failure_backoff_ms << doublings, options.max_failure_backoff_ms
    )


def is_unresponsive(
    worker: WorkerCapacity, gang_runs: GangRuns, options: PlanOptions
) -> bool:
    """Whether none of a worker's runs progresses, though some should.

    Runs that have finished their own work are not considered, since they may
    wait for other members of their gang.
    """
    has_unchanged_run = False
    for run in worker.run_by_key.values():
        if (
            not run.is_confirmed
            or run.is_stopping
            or run.step.is_lasting
            or run.progress >= _COMPLETE_PERCENT
        ):
            continue
        timeout_ms = options.unresponsive_after_ms
        if run.unchanged_ms <= timeout_ms:
            return False
        timeout_ms += _PROGRESS_STEPS * _ms_per_percent(run, options)
        if gang_runs.idle_ms(run) <= timeout_ms:
            return False
        has_unchanged_run = True
    return has_unchanged_run


def without_unresponsive(
    step: jobs.Step, count: int, workers: list[WorkerCapacity]
) -> list[WorkerCapacity]:
    """Return the workers on which new tasks are likely to progress.

    :param count: number of tasks that start together.
    :return: all workers, if the others could not run the tasks even when
        empty, or are the smaller part.
    """
    responsive = [worker for worker in workers if not worker.is_unresponsive]
    is_enough = _are_enough(step, count, responsive, workers)
    return responsive if is_enough else workers


def without_suspects(
    step: jobs.Step, count: int, workers: list[WorkerCapacity]
) -> list[WorkerCapacity]:
    """Return the workers without failures since their last success.

    A task that has failed goes there, since one more failure may fail its
    job.

    :param count: number of tasks that start together.
    :return: all workers, if the others could not run the tasks even when
        empty, or are the smaller part: then the tasks are likely at fault.
    """
    reliable = [worker for worker in workers if not worker.failures]
    is_enough = _are_enough(step, count, reliable, workers)
    return reliable if is_enough else workers


def _are_enough(
    step: jobs.Step,
    count: int,
    selected: list[WorkerCapacity],
    workers: list[WorkerCapacity],
) -> bool:
    """Whether selected workers suffice for tasks that start together."""
    if 2 * len(selected) < len(workers):
        return False
    fitting = sum(worker.fitting_count_when_empty(step) for worker in selected)
    return fitting >= count


def is_stalled(
    run: ActiveRun,
    options: PlanOptions,
    *,
    is_worker_unresponsive: bool,
    gang_runs: GangRuns | None = None,
) -> bool:
    """Whether a run has made no progress within its stall timeout.

    The time without progress is that between two lists of the worker, so
    that a silent worker does not count as a stall. The timeout
    grows by the duration of four percent of the task, since a long task
    reports progress less often. Unconfirmed runs never count as stalled,
    nor do runs that last until their job is cancelled.

    An urgent run on an unresponsive worker waits no longer than it would
    take to repeat its work, since its job soon completes late otherwise.

    :param gang_runs: the active runs of gangs, in which a run waits for other
        members; ``None`` to look at the run alone.
    """
    if not run.is_confirmed or run.step.is_lasting:
        return False
    if run.unchanged_ms <= options.urgent_stall_timeout_ms:
        return False
    ms_per_percent = _ms_per_percent(run, options)
    steps_ms = _PROGRESS_STEPS * ms_per_percent
    timeout_ms = options.stall_timeout_ms + steps_ms
    if not run.step.is_checkpointed:
        # Moving the run would lose its progress, so the timeout grows with
        # it: by ``stall_timeout_ms`` for each 50 percent.
        timeout_ms += options.stall_timeout_ms * run.progress // 50
    if is_worker_unresponsive and run.job.terms.priority == 0:
        repeated_ms = 0
        if not run.step.is_checkpointed:
            repeated_ms = run.progress * ms_per_percent
        urgent_timeout_ms = steps_ms + max(
            options.urgent_stall_timeout_ms, repeated_ms
        )
        timeout_ms = min(timeout_ms, urgent_timeout_ms)
    idle_ms = gang_runs.idle_ms(run) if gang_runs else run.unchanged_ms
    return idle_ms > timeout_ms


def _ms_per_percent(run: ActiveRun, options: PlanOptions) -> int:
    """Return the time that a run takes for one percent of its work."""
    expected_ms = run.step.estimate_ms or options.default_estimate_ms
    ms_per_percent = expected_ms // 100
    if run.progress:
        elapsed_ms = run.last_progress_ms - run.started_ms
        ms_per_percent = max(ms_per_percent, elapsed_ms // run.progress)
    return ms_per_percent
