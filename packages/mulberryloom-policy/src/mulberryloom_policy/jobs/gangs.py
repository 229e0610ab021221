"""The active runs of gangs, whose members start and end together."""

import typing as t

from mulberryloom_core.request import jobs

from .capacity import ActiveRun
from .capacity import WorkerCapacity

#: Job id, repetition, index of the step and number of the run.
_GangKey: t.TypeAlias = tuple[str, int, int, int]
_COMPLETE_PERCENT = 100


class GangRuns:
    """Groups the active runs of gangs for one planning round."""

    __slots__ = ('_members_by_gang', '_workers')

    def __init__(self) -> None:
        self._workers: t.Sequence[WorkerCapacity] = ()
        self._members_by_gang: dict[_GangKey, list[ActiveRun]] | None = None

    def begin_round(self, workers: t.Sequence[WorkerCapacity]) -> None:
        """Set the workers of a round; the groups are built when needed."""
        self._workers = workers
        self._members_by_gang = None

    def members_of(self, run: ActiveRun) -> list[ActiveRun]:
        """Return the active runs that end together with a run.

        It is the run alone if its step is not a gang, and if no worker of
        the round has it.
        """
        if not run.step.is_gang:
            return [run]
        if self._members_by_gang is None:
            self._members_by_gang = _group(self._workers)
        return self._members_by_gang.get(_gang_key(run), [run])

    def idle_ms(self, run: ActiveRun) -> int:
        """Return the time over which a run could progress and did not.

        The members of a gang progress only while all of them are present, so
        the time ends with the oldest of their lists: a worker that has been
        silent since may have lost its member.
        """
        if not run.step.is_gang:
            return run.unchanged_ms
        members = self.members_of(run)
        if is_waiting_for_members(run, members):
            return 0
        listed_ms = min(member.last_listed_ms for member in members)
        return max(0, listed_ms - run.progress_listed_ms)


def is_waiting_for_members(
    run: ActiveRun, members: t.Iterable[ActiveRun]
) -> bool:
    """Whether a run makes no progress because of other members of its gang.

    The members work only once all of them are present, and one that has
    finished its own work waits for the slowest.

    :param members: active runs of the gang.
    """
    is_complete = run.progress >= _COMPLETE_PERCENT
    return any(
        not member.is_confirmed
        or (is_complete and member.progress < _COMPLETE_PERCENT)
        for member in members
        if member is not run
    )


def _group(
    workers: t.Iterable[WorkerCapacity],
) -> dict[_GangKey, list[ActiveRun]]:
    members_by_gang: dict[_GangKey, list[ActiveRun]] = {}
    for worker in workers:
        for run in worker.run_by_key.values():
            if run.step.is_gang:
                members_by_gang.setdefault(_gang_key(run), []).append(run)
    return members_by_gang


def task_or_gang_name(run: ActiveRun) -> str:
    """Return the name of a run's task, or one for all members of its gang."""
    if not run.step.is_gang:
        return run.name
    key = run.task.key
    return f'{run.job.job_id}.{key.repetition}.{key.step}'


def _gang_key(run: ActiveRun) -> _GangKey:
    task: jobs.TaskKey = run.task.key
    return run.job.job_id, task.repetition, task.step, run.run.number
