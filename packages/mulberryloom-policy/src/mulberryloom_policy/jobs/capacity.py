"""The planner's view of workers: capacity, active runs and failures.

Times are in milliseconds on the monotonic clock of the planner, unless they
are said to be Unix time.
"""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs

from . import crashes

#: Name of a task and number of its run.
RunKey: t.TypeAlias = tuple[str, int]
#: Id of the job, and name of the task or of the gang.
BlamedTask: t.TypeAlias = tuple[str, str]
#: Speed of a worker on which tasks take their declared durations.
NOMINAL_SPEED_PERMILLE = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class TaskDemand:
    """What one task of a step needs of a worker.

    Steps with the same demand share the searches of a planning round.

    :param cpu_millis: thousandths of a core; ``0`` for a filler task.
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int
    max_per_worker: int
    label: str

    @classmethod
    def from_step(cls, step: jobs.Step) -> 'TaskDemand':
        """Return the demand of each task of a step."""
        return cls(
            0 if step.is_filler else step.cpu_millis,
            step.memory_mb,
            step.accelerators,
            step.max_per_worker,
            step.label,
        )


@dataclasses.dataclass(slots=True)
class ActiveRun:
    """A task's current run, with state that is not in the store.

    :param incarnation_key: worker and boot on which the run occupies
        capacity now. The boot differs from the recorded one while a start
        order may still reach the worker after its restart.
    :param started_ms: time at which the run was planned or, for an
        inherited run, first seen.
    :param is_inherited: whether an earlier leader started it.
    :param is_recorded: whether its record is in the store.
    :param is_confirmed: whether the worker has listed it.
    :param is_stopping: whether the worker was told to stop it.
    :param sent_ms: when the start order was last sent; ``0`` for never.
    :param sent_sequence: sequence number of the last orders that carried
        its start or its stop; ``0`` for none.
    :param progress: percentage of the work that is done.
    :param last_progress_ms: when the planner learned of its progress.
    :param last_listed_ms: latest time from which a list of the worker shows
        it as running. A report may repeat an older list.
    :param progress_listed_ms: the same for the first list that shows its
        progress.
    :param base_progress: progress at ``base_ms``; more than 0 if the run
        resumed from a checkpoint or was inherited.
    :param start_expires_ms: time from which its start must not be sent any
        more; ``0`` if that is not limited.
    :param has_stalled: whether it made no progress for longer than its stall
        timeout, and went on later.
    :param first_listed_ms: time from which the first list is that shows it.
    """

    job: jobs.Job
    task: jobs.Task
    run: jobs.Run
    step: jobs.Step
    incarnation_key: tuple[str, int]
    started_ms: int
    sent_ms: int = 0
    is_inherited: bool = False
    is_recorded: bool = False
    is_confirmed: bool = False
    is_stopping: bool = False
    sent_sequence: int = 0
    progress: int = 0
    last_progress_ms: int = 0
    last_listed_ms: int = 0
    progress_listed_ms: int = 0
    base_progress: int = 0
    start_expires_ms: int = 0
    has_stalled: bool = False
    first_listed_ms: int = 0

    #: Time from which on the speed of the run is known.
    base_ms: int = dataclasses.field(init=False)
    #: Name of the task on workers.
    name: str = dataclasses.field(init=False)
    #: Identity of the run, unique over all workers.
    key: RunKey = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.name = jobs.task_name(self.job.job_id, self.task.key)
        self.key = self.name, self.run.number
        self.base_ms = self.started_ms

    @property
    def unchanged_ms(self) -> int:
        """Time over which lists of the worker show no progress."""
        return self.last_listed_ms - self.progress_listed_ms

    def record_listing(
        self, progress: int, listed_ms: int, now_ms: int
    ) -> None:
        """Record that the worker lists the run.

        :param progress: percentage that it lists.
        :param listed_ms: time from which the list is.
        """
        self.last_listed_ms = max(self.last_listed_ms, listed_ms)
        if progress > self.progress:
            self.progress = progress
            self.last_progress_ms = now_ms
            self.progress_listed_ms = self.last_listed_ms

    def confirm(self, progress: int, listed_ms: int, now_ms: int) -> None:
        """Record that the worker lists the run, for the first time.

        :param progress: percentage that it lists.
        :param listed_ms: time from which the list is.
        """
        self.is_confirmed = True
        self.last_progress_ms = now_ms
        self.progress_listed_ms = listed_ms
        self.first_listed_ms = listed_ms
        if self.is_inherited or self.task.checkpoint:
            self.base_progress = progress
            self.base_ms = now_ms


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """Free capacity of a worker, now or after some of its runs have ended.

    Each amount is negative where more is committed than the worker has.

    :param cpu_millis: thousandths of a core.
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int

    def release(self, step: jobs.Step) -> None:
        """Add the capacity that one task of a step frees when it ends."""
        if not step.is_filler:
            self.cpu_millis += step.cpu_millis
        self.memory_mb += step.memory_mb
        self.accelerators += step.accelerators

    def fitting_count(self, step: jobs.Step) -> int:
        """Return how many tasks of a step fit."""
        return _fitting_count(
            step, self.cpu_millis, self.memory_mb, self.accelerators
        )


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """One incarnation of a worker, as the planner sees it.

    :param boot: start of the incarnation, Unix milliseconds.
    :param cpu_millis: total CPU capacity, in thousandths of a core.
    :param is_accepting: whether it may receive new tasks.
    :param drain_deadline_ms: earliest end of a draining worker.
    :param run_by_key: runs that occupy capacity, including stopping ones.
    :param free_cpu: free CPU capacity, in thousandths of a core.
    :param free_memory: free memory in MB.
    :param backoff_until_ms: end of the time without new tasks after
        failures.
    :param failed_ms: monotonic time of the last failure.
    :param is_unresponsive: whether its runs stand still in this round.
    :param is_on_probation: whether it runs a task that may crash it, so that
        nothing else starts there; see :mod:`crashes`.
    :param is_overcommitted: whether its runs need more of a resource than it
        has, since it has shrunk. No tasks start there, of whatever shape.
    :param has_starts: whether this planning round starts tasks there.
    :param failures: failed runs since the last success of a run that
        started after them.
    :param blamed_tasks: tasks of the failures that set the backoff, one for
        each: not of a first failure after progress, nor of tasks that have
        failed on other workers too.
    :param committed_cpu: CPU capacity committed in this planning round, to
        tasks that start and to reservations, in thousandths of a core;
        ``committed_memory`` (MB) and ``committed_accelerators`` likewise.
    :param warm_ms: time from which the worker is warm; before, it is slow
        since it was started a short time ago.
    :param vm: name of the VM; empty if it is not known.
    :param speed_permille: speed relative to the declared durations, in
        thousandths.
    """

    worker: str
    boot: int
    service: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    is_accepting: bool = False
    is_draining: bool = False
    drain_deadline_ms: int = 0
    run_by_key: dict[RunKey, ActiveRun] = dataclasses.field(
        default_factory=dict
    )
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    backoff_until_ms: int = 0
    failed_ms: int = 0
    failures: int = 0
    blamed_tasks: list[BlamedTask] = dataclasses.field(default_factory=list)
    is_unresponsive: bool = False
    is_on_probation: bool = False
    is_overcommitted: bool = False
    has_starts: bool = False
    committed_cpu: int = 0
    committed_memory: int = 0
    committed_accelerators: int = 0
    warm_ms: int = 0

    def set_warmup_left(self, left_ms: int, now_ms: int) -> None:
        """Record the rest of the warm-up that a worker reports.

        The end of the last warm-up is kept, since runs that have started
        before it are expected to end later.

        :param left_ms: time that the worker states; ``0`` if it is warm.
        """
        if left_ms or self.warm_ms > now_ms:
            self.warm_ms = now_ms + left_ms

    vm: str = ''
    speed_permille: int = NOMINAL_SPEED_PERMILLE

    def begin_round(self) -> None:
        """Drop the commitments of the last round and recompute."""
        self.committed_cpu = 0
        self.committed_memory = 0
        self.committed_accelerators = 0
        self.has_starts = False
        self.recompute_free()

    def commit(self, step: jobs.Step, count: int = 1) -> None:
        """Commit free capacity for the rest of a planning round.

        :param count: number of tasks of the step; negative to undo.
        """
        if not step.is_filler:
            self.committed_cpu += step.cpu_millis * count
        self.committed_memory += step.memory_mb * count
        self.committed_accelerators += step.accelerators * count
        self.occupy(step, count)

    def recompute_free(self) -> None:
        """Recompute the free capacity from the runs."""
        self.free_cpu = self.cpu_millis
        self.free_memory = self.memory_mb
        self.free_accelerators = self.accelerators
        self.is_on_probation = False
        for run in self.run_by_key.values():
            self.occupy(run.step)
            if run.task.crashes and crashes.is_suspect(run.task):
                self.is_on_probation = True
        self.is_overcommitted = (
            min(self.free_cpu, self.free_memory, self.free_accelerators) < 0
        )

    def free_capacity(self) -> FreeCapacity:
        """Return a copy of the free capacity that is not committed."""
        return FreeCapacity(
            self.free_cpu, self.free_memory, self.free_accelerators
        )

    def idle_capacity(self) -> FreeCapacity:
        """Return a copy of the capacity that no run occupies."""
        return FreeCapacity(
            self.free_cpu + self.committed_cpu,
            self.free_memory + self.committed_memory,
            self.free_accelerators + self.committed_accelerators,
        )

    def occupy(self, step: jobs.Step, count: int = 1) -> None:
        """Subtract tasks of a step from the free capacity.

        A filler task counts as using no CPU.
        """
        if not step.is_filler:
            self.free_cpu -= step.cpu_millis * count
        self.free_memory -= step.memory_mb * count
        self.free_accelerators -= step.accelerators * count

    def fitting_count(self, step: jobs.Step) -> int:
        """Return how many tasks of a step fit into the free capacity."""
        if self.is_overcommitted:
            return 0
        return _fitting_count(
            step, self.free_cpu, self.free_memory, self.free_accelerators
        )

    def fitting_count_when_empty(self, step: jobs.Step) -> int:
        """Return how many tasks of a step fit if nothing else runs."""
        return _fitting_count(
            step, self.cpu_millis, self.memory_mb, self.accelerators
        )

    def can_ever_run(self, step: jobs.Step, service: str) -> bool:
        """Whether the service, label and total capacity match a step."""
        return (
            self.service == service
            and (not step.label or step.label in self.labels)
            and self.fitting_count_when_empty(step) > 0
        )


def _fitting_count(
    step: jobs.Step, cpu_millis: int, memory_mb: int, accelerators: int
) -> int:
    """Return how many tasks of a step fit into an amount of capacity.

    The number is limited by the step's total and its limit per worker.
    """
    count = step.tasks
    if step.accelerators:
        count = min(count, accelerators // step.accelerators)
    if step.cpu_millis and not step.is_filler:
        count = min(count, cpu_millis // step.cpu_millis)
    if step.memory_mb:
        count = min(count, memory_mb // step.memory_mb)
    if step.max_per_worker:
        count = min(count, step.max_per_worker)
    return max(0, count)
