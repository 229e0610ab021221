"""Which workers may be used for a step."""

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from . import health
from . import placement
from . import probation
from .capacity import TaskDemand
from .capacity import WorkerCapacity
from .round_state import PendingStep
from .round_state import RoundState


def usable_workers(
    pending: PendingStep, state: RoundState
) -> list[WorkerCapacity]:
    """Return the workers that may receive tasks of a step.

    Free capacity is not considered.
    """
    step = pending.step
    count = len(pending.tasks) if step.is_gang else 1
    workers = health.without_unresponsive(
        step, count, _accepting_workers(pending, state)
    )
    if any(task.failures for task in pending.tasks):
        workers = health.without_suspects(step, count, workers)
    if pending.is_suspect:
        workers = probation.on_other_vms(pending.tasks, step, workers)
    if state.has_probation:
        workers = [w for w in workers if not w.is_on_probation]
    return workers


def _accepting_workers(
    pending: PendingStep, state: RoundState
) -> list[WorkerCapacity]:
    service = service_of(pending.job, state.catalogue)
    key = (service, TaskDemand.from_step(pending.step))
    workers = state.eligible_by_demand.get(key)
    if workers is None:
        workers = placement.eligible_workers(
            pending.step, service, state.workers, state.now_ms
        )
        state.eligible_by_demand[key] = workers
    return workers


def service_of(job: jobs.Job, catalogue: catalogues.Catalogue) -> str:
    """Return the service whose workers run a job.

    Jobs of a queue that was removed from the configuration keep the service
    with which they were accepted.
    """
    queue = catalogue.queue_by_name.get(job.terms.queue)
    return queue.service if queue else job.terms.service
