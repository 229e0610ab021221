"""Jobs: steps of equal tasks that run on workers.

A job is accepted when its record is in the store. Each start of a task is
a numbered run. A run is recorded before it is started on the worker, and
the end of a run is recorded before the result is visible to callers.
"""

import dataclasses
import enum
import typing as t


class JobState(enum.Enum):
    """State of a job as shown to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class RunEnd(enum.Enum):
    """Way in which a run ended, as reported by its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    #: The lease of the worker expired.
    LAPSED = 'lapsed'
    #: Another member of the gang ended without success.
    BROKEN = 'broken'
    ALONE = 'alone'


class JobFailure(enum.Enum):
    """Why a job failed."""

    #: A task failed as often as the queue allows.
    ATTEMPTS = 'attempts-spent'
    #: Workers crashed when they started one of its tasks.
    CRASHES = 'worker-crashes'


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of one job.

    :param tasks: number of tasks.
    :param cpu_millis: thousandths of a core per task.
    :param memory_mb: memory in mebibytes per task.
    :param accelerators: accelerators per task.
    :param estimate_ms: declared duration, possibly inaccurate.
    :param after: indexes of the steps that must be done before.
    :param is_gang: whether the tasks make progress only while all run.
    :param is_same_rack: whether the tasks are slow across racks.
    :param label: required label of the worker; empty for none.
    :param rack: preferred rack, close to the data; empty for none.
    :param max_per_worker: limit on the tasks that run on one worker at the
        same time; ``0`` for none.
    :param is_checkpointed: whether a new run resumes from the last
        checkpoint.
    :param is_lasting: whether the tasks run until the job is cancelled.
    :param is_filler: whether the tasks use only processor time that is
        left idle by others.
    """

    tasks: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_same_rack: bool = False
    label: str = ''
    rack: str = ''
    max_per_worker: int = 0
    is_checkpointed: bool = False
    is_lasting: bool = False
    is_filler: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job as submitted by a caller.

    :param payload: opaque text that every task receives.
    :param repeats: number of scheduled repetitions of the steps; ``0`` for
        a job that runs once and immediately.
    :param first_due_ms: Unix time of the first repetition.
    :param interval_ms: time between the starts of repetitions.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobTerms:
    """Configuration of a job's queue at the time of acceptance.

    :param queue: name of the queue.
    :param service: service whose workers run the tasks.
    :param account: client account; empty on a public queue.
    :param priority: ``0`` is the most urgent.
    :param max_attempts: failed runs of a task after which the job fails.
    :param stretch: target duration of the job, as a multiple of the
        duration of its longest chain of dependent steps.
    :param slack_ms: time added to the target duration.
    """

    queue: str
    service: str
    account: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Position of a task in its job; all indexes start at ``0``."""

    repetition: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a task on one incarnation of a worker.

    :param number: increases with each run of the task.
    :param worker: id of the worker.
    :param worker_boot: start time of the worker's incarnation, Unix
        milliseconds.
    :param vm: VM of the worker; a VM hosts one worker at a time.
    """

    number: int
    worker: str
    worker_boot: int
    vm: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a worker while it ran a task.

    :param run_number: number of the run that the crash ended.
    :param vm: VM of the worker.
    :param age_ms: time from the first order to start the run to the crash.
    :param is_last_start: whether the run was among the last to start there.
    :param is_only_start: whether the runs of all other jobs on the worker had
        started clearly earlier.
    """

    run_number: int
    vm: str
    age_ms: int
    is_last_start: bool
    is_only_start: bool


@dataclasses.dataclass(slots=True)
class Task:
    """A task and its current run.

    :param last_run: highest run number assigned; ``0`` before the first.
    :param failures: number of failed runs.
    :param checkpoint: checkpoint from which the next run resumes; empty
        for none.
    :param run: current run, ``None`` between runs.
    :param crashes: crashes of workers under the task since its last run that
        showed that it does not cause them.
    :param proven_run: number of that run; ``0`` for none.
    """

    key: TaskKey
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ''
    is_done: bool = False
    run: Run | None = None
    crashes: tuple[Crash, ...] = ()
    proven_run: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted job.

    :param accepted_ms: Unix time of acceptance.
    :param ended_ms: Unix time of the end; ``0`` until then.
    :param failure: why it failed; ``None`` if it has not, or if an earlier
        version of the software recorded its failure.
    """

    job_id: str
    spec: JobSpec
    terms: JobTerms
    accepted_ms: int
    task_by_key: dict[TaskKey, Task]
    is_cancelled: bool = False
    is_failed: bool = False
    ended_ms: int = 0
    failure: JobFailure | None = None
    _tasks_by_step: dict[tuple[int, int], list[Task]] = dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    @classmethod
    def from_spec(
        cls, job_id: str, spec: JobSpec, terms: JobTerms, accepted_ms: int
    ) -> 'Job':
        """Build a job without any started task."""
        task_by_key = {
            key: Task(key)
            for repetition in range(max(1, spec.repeats))
            for step_index, step in enumerate(spec.steps)
            for index in range(step.tasks)
            for key in [TaskKey(repetition, step_index, index)]
        }
        return cls(job_id, spec, terms, accepted_ms, task_by_key)

    @property
    def state(self) -> JobState:
        """State as shown to callers."""
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.is_failed:
            return JobState.FAILED
        has_started = False
        is_done = True
        for task in self.task_by_key.values():
            is_done = is_done and task.is_done
            has_started = has_started or task.last_run > 0
        if is_done:
            return JobState.COMPLETED
        return JobState.RUNNING if has_started else JobState.QUEUED

    @property
    def has_started(self) -> bool:
        """Whether a run was ever assigned to any task."""
        return any(task.last_run for task in self.task_by_key.values())

    def step_of(self, key: TaskKey) -> Step:
        """Return the step of a task."""
        return self.spec.steps[key.step]

    def tasks_of(self, repetition: int, step_index: int) -> list[Task]:
        """Return the tasks of one repetition of a step.

        The list is kept and must not be changed: planners ask for it many
        times in each round.
        """
        tasks = self._tasks_by_step.get((repetition, step_index))
        if tasks is None:
            step = self.spec.steps[step_index]
            tasks = [
                self.task_by_key[TaskKey(repetition, step_index, index)]
                for index in range(step.tasks)
            ]
            self._tasks_by_step[repetition, step_index] = tasks
        return tasks

    def active_tasks(self) -> t.Iterator[Task]:
        """Yield the tasks that have a current run."""
        return (task for task in self.task_by_key.values() if task.run)

    def fail(self, failure: JobFailure) -> None:
        """Mark the job as failed, unless it was cancelled."""
        if self.is_cancelled or self.is_failed:
            return
        self.is_failed = True
        self.failure = failure

    def due_ms(self, repetition: int) -> int:
        """Return the earliest start of a repetition, Unix milliseconds."""
        if not self.spec.repeats:
            return 0
        return self.spec.first_due_ms + repetition * self.spec.interval_ms


def task_name(job_id: str, key: TaskKey) -> str:
    """Return the name that identifies a task on its worker."""
    return f'{job_id}.{key.repetition}.{key.step}.{key.index}'


def parse_task_name(name: str) -> tuple[str, TaskKey] | None:
    """Return the job id and key in a task's name, ``None`` if malformed."""
    job_id, *numbers = name.split('.')
    if len(numbers) != 3 or not all(part.isdecimal() for part in numbers):
        return None
    return job_id, TaskKey(*(int(number) for number in numbers))
