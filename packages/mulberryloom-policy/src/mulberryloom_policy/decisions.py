"""Jobs as the input of the planner, and the decisions that it returns.

A job here is a single request. The jobs with steps, which the package
``jobs`` schedules, are another type.
"""

import dataclasses
import enum
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request in the form that the planner schedules.

    :param declared_run_ms: run time that the caller declares; estimates
        correct it by observed run times.
    :param submitted_ms: time at which the request was accepted.
    :param deadline_at_ms: time after which the caller no longer waits.
    """

    request_id: str
    account: str
    service: str
    method: str
    request_class: shapes.RequestClass
    demand: shapes.Demand
    is_idempotent: bool
    is_checkpointable: bool
    declared_run_ms: int
    submitted_ms: int
    deadline_at_ms: int

    @property
    def is_stoppable(self) -> bool:
        """Whether the job is preemptible.

        A preemptible job can be checkpointed, stopped and run again.
        """
        return self.is_checkpointable and self.is_idempotent

    @classmethod
    def from_work(cls, work: messages.Work, now_ms: int) -> 'Job':
        """Build a job from work that is submitted at ``now_ms``."""
        return cls(
            request_id=work.request_id,
            account=work.account,
            service=work.service,
            method=work.method,
            request_class=work.request_class,
            demand=work.demand,
            is_idempotent=work.is_idempotent,
            is_checkpointable=work.is_checkpointable,
            declared_run_ms=work.declared_run_ms,
            submitted_ms=now_ms,
            deadline_at_ms=now_ms + work.deadline_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Place of one member of a job.

    A job has several members only if it is a gang: a job whose members
    run on several workers and start together.

    :param accelerators: number of accelerators of the member.
    """

    worker: str
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Decision to start a job now; several placements form a gang."""

    request_id: str
    placements: list[Placement]


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Decision to preempt a running job.

    :param workers: names of the workers on which its members run.
    :param for_account: account for which the resources are freed.
    :param grace_ms: grace period in which the job may write a checkpoint.
    """

    request_id: str
    attempt: int
    workers: list[str]
    for_account: str
    grace_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to end a queued job with an error.

    The job is not running; ``error.ran`` tells whether an earlier attempt
    has run.
    """

    request_id: str
    error: exceptions.Error


Decision: t.TypeAlias = Place | Preempt | Refuse


class WaitCause(enum.Enum):
    """Kind of reason for which a job waits.

    - ``IN_TURN``: other jobs of the account are ahead, or it is not queued.
    - ``NO_CAPACITY``: no free placement fits the job.
    - ``RESERVED``: resources are reserved or being freed for the job.
    - ``UNSCHEDULABLE_TODAY``: the current workers can't run the job, even
      when idle.
    - ``REBUILDING``: the owner is rebuilding its state of the account; no
      planner sets it at present.
    """

    IN_TURN = 'in-turn'
    NO_CAPACITY = 'no-capacity'
    RESERVED = 'reserved'
    UNSCHEDULABLE_TODAY = 'unschedulable-today'
    REBUILDING = 'rebuilding'


@dataclasses.dataclass(frozen=True, slots=True)
class WaitReason:
    """Reason why a job waits, as shown to operators.

    :param expected_start_ms: predicted time until the job starts;
        ``None`` if unknown.
    """

    cause: WaitCause
    detail: str
    expected_start_ms: int | None = None
