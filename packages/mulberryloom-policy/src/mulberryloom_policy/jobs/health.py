"""Workers that fail or stall what others finish."""

from .options import PlanOptions
from .room import ActiveRun
from .room import WorkerRoom


def note_success(worker: WorkerRoom) -> None:
    """Note that a run ended well."""
    worker.successes += 1
    worker.failures = 0
    worker.suspect_until_ms = 0


def note_failure(
    worker: WorkerRoom, now_ms: int, options: PlanOptions
) -> None:
    """Keep new work away from a worker for a while.

    The time doubles with each failure that no success has followed, so
    that a worker that fails everything eats few attempts of jobs.
    """
    worker.successes = 0
    worker.failures += 1
    pause_ms = options.suspect_ms << (worker.failures - 1)
    worker.suspect_until_ms = now_ms + min(pause_ms, options.max_suspect_ms)


def is_stalled(run: ActiveRun, options: PlanOptions) -> bool:
    """Whether a run has made no progress for too long.

    Counts up to the last time that the worker listed it; a whole percent
    of a long task takes its time as well.
    """
    if not run.is_confirmed or run.step.is_lasting:
        return False
    expected_ms = run.step.estimate_ms or options.default_estimate_ms
    percent_ms = expected_ms // 100
    if run.progress:
        worked_ms = run.progress_ms - run.started_ms
        percent_ms = max(percent_ms, worked_ms // run.progress)
    patience_ms = options.stalled_ms + 4 * percent_ms
    if not run.step.is_checkpointed:
        # What has been done is lost by a move, so that a pause has to last.
        patience_ms += options.stalled_ms * run.progress // 50
    return run.listed_ms - run.progress_ms > patience_ms
