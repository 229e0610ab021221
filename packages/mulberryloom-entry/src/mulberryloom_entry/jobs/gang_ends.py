"""What the ends of a gang's members tell of a member that is silent.

When one member of a gang ends, workers end the others as broken. A gang whose
other members are all listed as broken has therefore lost the last one, even
if its worker can't be asked: it need not wait for that worker's lease.
"""

from mulberryloom_core.request import jobs
from mulberryloom_policy.jobs import ActiveRun

#: Job id, repetition and index of the step.
_GangKey = tuple[str, int, int]


class GangEnds:
    """Counts the members that were listed as broken, by gang."""

    __slots__ = ('_run_and_broken_by_gang',)

    def __init__(self) -> None:
        # Number of the run and of its members that are broken.
        self._run_and_broken_by_gang: dict[_GangKey, tuple[int, int]] = {}

    def proves_end_of_last(self, run: ActiveRun, end: jobs.RunEnd) -> bool:
        """Record the end of a run.

        :return: whether the one member that has not been listed as ended
            has ended too, and is not done.
        """
        if not run.step.is_gang or end is not jobs.RunEnd.BROKEN:
            # Any other end may be the one that broke the gang; the count
            # then stays below the number that is needed.
            return False
        task = run.task.key
        gang = run.job.job_id, task.repetition, task.step
        number, broken = self._run_and_broken_by_gang.get(gang, (0, 0))
        if number != run.run.number:
            broken = 0
        broken += 1
        self._run_and_broken_by_gang[gang] = run.run.number, broken
        return broken == run.step.tasks - 1

    def forget(self, job_id: str) -> None:
        """Drop the counts of a job that is no longer tracked."""
        for gang in [
            gang for gang in self._run_and_broken_by_gang if gang[0] == job_id
        ]:
            del self._run_and_broken_by_gang[gang]
