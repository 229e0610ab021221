"""Steps that are ready to run and have tasks without a run."""

import typing as t

from mulberryloom_core.request import jobs

from . import crashes
from .round_state import PendingStep

#: Id of the job, repetition and index of the step.
_StepKey: t.TypeAlias = tuple[str, int, int]


class ReadySteps:
    """Finds the steps to place, and remembers since when they wait."""

    __slots__ = ('_last_since_by_step', '_since_by_step')

    def __init__(self) -> None:
        self._last_since_by_step: dict[_StepKey, int] = {}
        self._since_by_step: dict[_StepKey, int] = {}

    def begin_round(self) -> None:
        """Forget the steps that did not wait in the last round."""
        self._last_since_by_step = self._since_by_step
        self._since_by_step = {}

    def of(
        self,
        job: jobs.Job,
        now_ms: int,
        wall_ms: int,
    ) -> t.Iterator[PendingStep]:
        """Yield the steps of a job that are ready and have tasks to start.

        A gang starts as a whole: it is left out while any of its tasks has a
        run.
        """
        for repetition in range(max(1, job.spec.repeats)):
            if job.due_ms(repetition) > wall_ms:
                break
            for step_index, step in enumerate(job.spec.steps):
                tasks = job.tasks_of(repetition, step_index)
                unstarted = [
                    task
                    for task in tasks
                    if not task.is_done and task.run is None
                ]
                if not unstarted or not _is_ready(job, repetition, step):
                    continue
                if step.is_gang and any(task.run for task in tasks):
                    continue
                key = (job.job_id, repetition, step_index)
                since_ms = self._last_since_by_step.get(key, now_ms)
                self._since_by_step[key] = since_ms
                for startable, is_suspect in _by_suspicion(step, unstarted):
                    yield PendingStep(
                        job,
                        repetition,
                        step_index,
                        step,
                        startable,
                        now_ms - since_ms,
                        is_suspect,
                    )


def _by_suspicion(
    step: jobs.Step, tasks: list[jobs.Task]
) -> t.Iterator[tuple[list[jobs.Task], bool]]:
    """Yield the tasks that start like any other, then the suspect ones.

    A gang starts as a whole, so that one suspect member makes it suspect.
    """
    suspects = [task for task in tasks if crashes.is_suspect(task)]
    if not suspects or step.is_gang:
        yield tasks, bool(suspects)
        return
    others = [task for task in tasks if not crashes.is_suspect(task)]
    if others:
        yield others, False
    yield suspects, True


def _is_ready(job: jobs.Job, repetition: int, step: jobs.Step) -> bool:
    """Whether all steps on which a step depends are done."""
    return all(
        task.is_done
        for earlier in step.after
        for task in job.tasks_of(repetition, earlier)
    )
