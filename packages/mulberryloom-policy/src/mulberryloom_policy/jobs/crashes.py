"""Attribution of worker crashes to tasks.

A crash takes all runs on its worker along, and often only one of them has
caused it. A task that crashes each worker that starts it is told from those
that ran beside it by the time since its start, and by what happens to it
afterwards: a suspect task starts on probation, on a worker on which nothing
else starts at that time. If the worker crashes, the task has caused it. If the
run outlives the time that earlier runs had, the task is cleared.
"""

import typing as t

from mulberryloom_core import messages
from mulberryloom_core.request import jobs

#: Age below which one of the last runs to start is suspected of the crash of
#: its worker. Other runs are suspected only after a second crash.
SUSPECT_AGE_MS = 1_500
#: Difference in age up to which two crashes under a task look alike.
ALIKE_MS = 100
#: Difference in age from which on a run counts as clearly older.
CLEARLY_OLDER_MS = 500
#: Age from which a run shows that its task crashes no worker by starting. It
#: also bounds the time for which a suspect task keeps others off its worker.
PROVEN_AGE_MS = 10_000
#: Time by which a run has to outlive the earlier ones.
PROBATION_MARGIN_MS = 1_000
#: Crashes on different VMs, the last one on probation, that suffice.
_CRASHES_ON_PROBATION = 2
#: Crashes that suffice if all of them came soon after a start.
_EARLY_CRASHES = 3
#: Crashes that suffice at any age below ``PROVEN_AGE_MS``.
MAX_CRASHES = 4


def is_suspect(task: jobs.Task) -> bool:
    """Whether a task may have caused the crashes of its workers."""
    return len(task.crashes) > 1 or any(map(_is_early, task.crashes))


def is_at_fault(task: jobs.Task) -> bool:
    """Whether the crashes of its workers are attributed to a task.

    Two suffice on different VMs, since one VM may be faulty, if the task was
    suspect before the second one, if nothing else had started on that worker
    shortly before, and if both came at about the same age. Crashes that differ
    more are likely to have other causes.
    """
    crashes = task.crashes
    if len(crashes) >= MAX_CRASHES:
        return True
    if len(crashes) >= _EARLY_CRASHES and all(map(_is_early, crashes)):
        return True
    if len(crashes) < _CRASHES_ON_PROBATION:
        return False
    *earlier, last = crashes
    return last.is_only_start and any(
        _is_early(crash)
        and crash.vm != last.vm
        and abs(crash.age_ms - last.age_ms) <= ALIKE_MS
        for crash in earlier
    )


def note_crash(task: jobs.Task, crash: jobs.Crash) -> bool:
    """Add a crash to those of a task, unless it is known or refuted.

    A run that is old enough refutes the earlier crashes instead.

    :return: whether it was added.
    """
    if task.is_done or crash.run_number <= task.proven_run:
        return False
    if crash.age_ms >= PROVEN_AGE_MS:
        clear(task, crash.run_number)
        return False
    if any(known.run_number == crash.run_number for known in task.crashes):
        return False
    task.crashes += (crash,)
    return True


def probation_ms(task: jobs.Task) -> int:
    """Return the time after which a run of a suspect task clears it."""
    ages_ms = (crash.age_ms for crash in task.crashes)
    return max(ages_ms, default=0) + PROBATION_MARGIN_MS


def clear(task: jobs.Task, run_number: int) -> None:
    """Drop the crashes of a task, one of whose runs has cleared it."""
    task.crashes = ()
    task.proven_run = max(task.proven_run, run_number)


def crash_of(
    vm: str, run: messages.CrashedRun, runs: t.Iterable[messages.CrashedRun]
) -> jobs.Crash:
    """Return a crash from the point of view of one of the runs that it ended.

    Runs of the same job are not told apart, since the job fails as a whole.

    :param vm: VM of the worker.
    :param runs: all runs on the worker at its crash.
    """
    other_ages_ms = [
        other.age_ms for other in runs if _job_id(other) != _job_id(run)
    ]
    youngest_ms = min(other_ages_ms, default=run.age_ms + CLEARLY_OLDER_MS)
    return jobs.Crash(
        run.run_number,
        vm,
        run.age_ms,
        is_last_start=run.age_ms < youngest_ms + CLEARLY_OLDER_MS,
        is_only_start=run.age_ms + CLEARLY_OLDER_MS <= youngest_ms,
    )


def _is_early(crash: jobs.Crash) -> bool:
    """Whether a crash followed the start of the run and of no later one."""
    return crash.age_ms < SUSPECT_AGE_MS and crash.is_last_start


def _job_id(run: messages.CrashedRun) -> str:
    return run.task.partition('.')[0]
