"""Workers as the planner sees them: what is free, and what runs."""

import dataclasses
import typing as t

from mulberryloom_core.request import jobs


#: Name of a task and number of its run.
RunKey: t.TypeAlias = tuple[str, int]


@dataclasses.dataclass(slots=True)
class ActiveRun:
    """A task's current run, with what the store does not keep.

    :param home: worker and boot on which it is counted now; another boot
        than recorded while an order may still reach a restarted worker.
    :param started_ms: when the run was planned, or first seen.
    :param is_inherited: whether an earlier leader started it.
    :param is_recorded: whether its record is in the store.
    :param is_confirmed: whether the worker has listed it.
    :param is_stopping: whether it was told to stop.
    :param sent_ms: when the start was last sent; ``0`` for never.
    :param sent_sequence: orders that carried the start; ``0`` for none.
    :param progress: percent of the work that is done.
    :param progress_ms: when the progress last grew.
    :param listed_ms: when the worker last listed it as running.
    """

    job: jobs.Job
    task: jobs.Task
    run: jobs.Run
    step: jobs.Step
    home: tuple[str, int]
    started_ms: int
    sent_ms: int = 0
    is_inherited: bool = False
    is_recorded: bool = False
    is_confirmed: bool = False
    is_stopping: bool = False
    sent_sequence: int = 0
    progress: int = 0
    progress_ms: int = 0
    listed_ms: int = 0

    #: Name under which the worker knows the task.
    name: str = dataclasses.field(init=False)
    #: Identity of the run on every worker.
    key: RunKey = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.name = jobs.task_name(self.job.job_id, self.task.key)
        self.key = self.name, self.run.number


@dataclasses.dataclass(slots=True)
class FreeRoom:
    """Free room of a worker, as it is or as it will be.

    :param cpu: thousandths of a core; below zero where more was given
        away than there is. Likewise the other two.
    """

    cpu: int
    memory: int
    accelerators: int

    def add(self, step: jobs.Step) -> None:
        """Count a task of a step as gone."""
        if not step.is_filler:
            self.cpu += step.cpu_millis
        self.memory += step.memory_mb
        self.accelerators += step.accelerators

    def fitting(self, step: jobs.Step) -> int:
        """Return how many tasks of a step fit."""
        return _fitting(step, self.cpu, self.memory, self.accelerators)


@dataclasses.dataclass(slots=True)
class WorkerRoom:
    """One life of a worker.

    :param is_accepting: whether it may get new work.
    :param leaves_ms: earliest end of a draining worker.
    :param run_by_key: runs that take room, also those being stopped.
    :param suspect_until_ms: until when it gets no new work, after failures.
    :param successes: runs that ended well since the last failure.
    :param promised_cpu: room given away in this planning round, to tasks
        that start and to those that it is kept for, in thousandths of a
        core; likewise the other two.
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
    leaves_ms: int = 0
    run_by_key: dict[RunKey, ActiveRun] = dataclasses.field(
        default_factory=dict
    )
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    suspect_until_ms: int = 0
    successes: int = 0
    failures: int = 0
    promised_cpu: int = 0
    promised_memory: int = 0
    promised_accelerators: int = 0

    def begin_round(self) -> None:
        """Work out the free room, with nothing promised."""
        self.promised_cpu = 0
        self.promised_memory = 0
        self.promised_accelerators = 0
        self.recount()

    def promise(self, step: jobs.Step, count: int = 1) -> None:
        """Give room away for the rest of a planning round.

        :param count: tasks of the step; negative to take it back.
        """
        if not step.is_filler:
            self.promised_cpu += step.cpu_millis * count
        self.promised_memory += step.memory_mb * count
        self.promised_accelerators += step.accelerators * count
        self.take(step, count)

    def recount(self) -> None:
        """Work out the free room from the runs."""
        self.free_cpu = self.cpu_millis
        self.free_memory = self.memory_mb
        self.free_accelerators = self.accelerators
        for run in self.run_by_key.values():
            self.take(run.step)

    def free_room(self) -> FreeRoom:
        """Return what is free and not promised."""
        return FreeRoom(
            self.free_cpu, self.free_memory, self.free_accelerators
        )

    def take(self, step: jobs.Step, count: int = 1) -> None:
        """Count tasks of a step as present."""
        if not step.is_filler:
            self.free_cpu -= step.cpu_millis * count
        self.free_memory -= step.memory_mb * count
        self.free_accelerators -= step.accelerators * count

    def fitting(self, step: jobs.Step) -> int:
        """Return how many tasks of a step fit into the free room."""
        return _fitting(
            step, self.free_cpu, self.free_memory, self.free_accelerators
        )

    def fitting_when_empty(self, step: jobs.Step) -> int:
        """Return how many tasks of a step fit when nothing runs."""
        return _fitting(
            step, self.cpu_millis, self.memory_mb, self.accelerators
        )

    def can_ever_run(self, step: jobs.Step, service: str) -> bool:
        """Whether this worker is of the kind that a step needs."""
        return (
            self.service == service
            and (not step.label or step.label in self.labels)
            and self.fitting_when_empty(step) > 0
        )


def _fitting(step: jobs.Step, cpu: int, memory: int, accelerators: int) -> int:
    counts = [step.tasks]
    if step.cpu_millis and not step.is_filler:
        counts.append(cpu // step.cpu_millis)
    if step.memory_mb:
        counts.append(memory // step.memory_mb)
    if step.accelerators:
        counts.append(accelerators // step.accelerators)
    if step.max_per_worker:
        counts.append(step.max_per_worker)
    return max(0, min(counts))
