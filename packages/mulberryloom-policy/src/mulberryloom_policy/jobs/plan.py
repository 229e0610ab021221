"""Decisions of one planning round of jobs with steps."""

import dataclasses

from mulberryloom_core.request import jobs

from .capacity import ActiveRun
from .capacity import WorkerCapacity


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A task to start on a worker."""

    job: jobs.Job
    task: jobs.Task
    worker: WorkerCapacity


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A run to stop.

    :param reason: short text for the log; its first word is the label of a
        metric.
    """

    run: ActiveRun
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """A step that is ready to run and does not fit.

    :param reason: short text for the log.
    """

    job: jobs.Job
    step_index: int
    reason: str


@dataclasses.dataclass(slots=True)
class Plan:
    """Decisions of one planning round."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    blocked: list[Blocked] = dataclasses.field(default_factory=list)
