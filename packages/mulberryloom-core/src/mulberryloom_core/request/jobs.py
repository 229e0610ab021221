"""Jobs: steps of equal tasks that run on workers.

A job is accepted when its record is in the store. Its tasks are started
by numbered runs; a run is recorded before the worker is told to start it,
and its end before anybody is shown the result.
"""

import dataclasses
import enum
import typing as t


class JobState(enum.Enum):
    """What a caller is told about a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job will never change its state again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class RunEnd(enum.Enum):
    """How a worker says that a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of one job.

    :param tasks: number of tasks.
    :param cpu_millis: thousandths of a core for each task.
    :param memory_mb: memory for each task.
    :param accelerators: accelerators for each task.
    :param estimate_ms: declared duration; may be far off.
    :param after: earlier steps that must be done first.
    :param is_gang: the tasks only work all together.
    :param is_same_rack: the tasks are slow over more than one rack.
    :param label: label that the worker must have; empty for any.
    :param rack: rack near the data; empty for any.
    :param max_per_worker: tasks on one worker at once; ``0`` for any.
    :param is_checkpointed: a later run goes on from the last checkpoint.
    :param is_lasting: runs until the job is cancelled.
    :param is_filler: takes only processor time that others leave unused.
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
    """What a caller submits.

    :param payload: opaque text that every task receives.
    :param repeats: how often the steps run; ``0`` for once, at once.
    :param first_due_ms: Unix time of the first repetition.
    :param interval_ms: time between repetitions.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What the configuration said of a job's queue when it was accepted.

    :param queue: name of the queue.
    :param service: whose workers run the tasks.
    :param account: client account; empty on a public queue.
    :param priority: ``0`` is the most urgent.
    :param max_attempts: runs that may fail before the job has failed.
    :param stretch: how many times its longest chain a job may take.
    :param slack_ms: what it may take beyond that.
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
    """Position of a task in its job."""

    repetition: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start of a task on one life of a worker.

    :param number: rises with every start of the task.
    :param worker: id of the worker.
    :param worker_boot: start of that worker's life, Unix milliseconds.
    :param vm: VM of the worker, which carries one worker at a time.
    """

    number: int
    worker: str
    worker_boot: int
    vm: str = ''


@dataclasses.dataclass(slots=True)
class Task:
    """A task and its current run.

    :param last_run: highest run number that was given out.
    :param failures: runs that ended as failed.
    :param checkpoint: where the next run starts from; empty for nowhere.
    """

    key: TaskKey
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ''
    is_done: bool = False
    run: Run | None = None


@dataclasses.dataclass(slots=True)
class Job:
    """One accepted job.

    :param accepted_ms: Unix time of acceptance.
    :param ended_ms: Unix time of the end; ``0`` before.
    """

    job_id: str
    spec: JobSpec
    terms: Terms
    accepted_ms: int
    task_by_key: dict[TaskKey, Task]
    is_cancelled: bool = False
    is_failed: bool = False
    ended_ms: int = 0

    @classmethod
    def from_spec(
        cls, job_id: str, spec: JobSpec, terms: Terms, accepted_ms: int
    ) -> 'Job':
        """Build a job none of whose tasks has started."""
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
        """What a caller is told."""
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
        """Whether any task was ever told to start."""
        return any(task.last_run for task in self.task_by_key.values())

    def step_of(self, key: TaskKey) -> Step:
        """Return the step that a task belongs to."""
        return self.spec.steps[key.step]

    def tasks_of(self, repetition: int, step_index: int) -> list[Task]:
        """Return the tasks of one repetition of a step."""
        step = self.spec.steps[step_index]
        return [
            self.task_by_key[TaskKey(repetition, step_index, index)]
            for index in range(step.tasks)
        ]

    def active_tasks(self) -> t.Iterator[Task]:
        """Yield the tasks that have a current run."""
        return (task for task in self.task_by_key.values() if task.run)

    def due_ms(self, repetition: int) -> int:
        """Return the Unix time from which a repetition may start."""
        if not self.spec.repeats:
            return 0
        return self.spec.first_due_ms + repetition * self.spec.interval_ms


def task_name(job_id: str, key: TaskKey) -> str:
    """Return the name under which a worker knows a task."""
    return f'{job_id}.{key.repetition}.{key.step}.{key.index}'


def parse_task_name(name: str) -> tuple[str, TaskKey] | None:
    """Return the job id and position in a task's name, if it is one."""
    job_id, *numbers = name.split('.')
    if len(numbers) != 3 or not all(n.isdecimal() for n in numbers):
        return None
    return job_id, TaskKey(*(int(number) for number in numbers))
