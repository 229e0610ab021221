"""Detection of failing workers and stalled runs."""

from mulberryloom_core.request import jobs

from .capacity import ActiveRun
from .capacity import WorkerCapacity
from .options import PlanOptions


def note_success(worker: WorkerCapacity, run: ActiveRun) -> None:
    """Record a successful run and end the failure backoff of its worker.

    A run that started before the last failure says nothing of what starts
    now: a worker may fail new tasks while its older runs end well.
    """
    if run.started_ms < worker.failed_ms:
        return
    worker.failures = 0
    worker.backoff_until_ms = 0


def note_failure(
    worker: WorkerCapacity, now_ms: int, options: PlanOptions
) -> None:
    """Record a failed run and give its worker no new tasks for a while.

    The backoff doubles with each consecutive failure, so that a worker on
    which every task fails uses up few of the attempts of jobs.
    """
    worker.failed_ms = now_ms
    worker.failures += 1
    backoff_ms = options.failure_backoff_ms << (worker.failures - 1)
    worker.backoff_until_ms = now_ms + min(
        backoff_ms, options.max_failure_backoff_ms
    )


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
    fitting = sum(worker.fitting_count_when_empty(step) for worker in reliable)
    is_enough = fitting >= count and 2 * len(reliable) >= len(workers)
    return reliable if is_enough else workers


def is_stalled(run: ActiveRun, options: PlanOptions) -> bool:
    """Whether a run has made no progress within its stall timeout.

    The time without progress ends with the last report that listed the
    run, so that a silent worker does not count as a stall. The timeout
    grows by the duration of four percent of the task, since a long task
    reports progress less often. Unconfirmed runs never count as stalled,
    nor do runs that last until their job is cancelled.
    """
    if not run.is_confirmed or run.step.is_lasting:
        return False
    expected_ms = run.step.estimate_ms or options.default_estimate_ms
    ms_per_percent = expected_ms // 100
    if run.progress:
        elapsed_ms = run.last_progress_ms - run.started_ms
        ms_per_percent = max(ms_per_percent, elapsed_ms // run.progress)
    timeout_ms = options.stall_timeout_ms + 4 * ms_per_percent
    if not run.step.is_checkpointed:
        # Moving the run would lose its progress, so the timeout grows with
        # it: by ``stall_timeout_ms`` for each 50 percent.
        timeout_ms += options.stall_timeout_ms * run.progress // 50
    return run.last_listed_ms - run.last_progress_ms > timeout_ms
