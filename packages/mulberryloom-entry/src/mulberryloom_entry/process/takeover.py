"""Recovery of the jobs of a shard by its new owner.

Journaled requests are loaded from the journal, and running tasks are found
in the reports of agents. Requests that are not journaled are submitted
again by the entries that accepted them. To adopt a task is to take over the
attempt under which it runs.
"""

import typing as t

from mulberryloom_core import messages

from . import records

if t.TYPE_CHECKING:
    from . import owned_jobs
    from ..request import attempt
    from .context import Context

#: Pause before a failed read of an account's journal is retried.
LOAD_RETRY_MS = 2_000
#: Interval at which the journal of each owned account is read again.
RELOAD_INTERVAL_MS = 600_000
#: Upper bound on the random delay of the reads after the loss of an entry.
LOAD_JITTER_MS = 2_000


class JobPlan(t.Protocol):
    """Operations of the dispatcher that the takeover needs."""

    def withdraw(self, owned_job: 'owned_jobs.OwnedJob', now: int) -> bool:
        """Remove a job from the planner's queue.

        :return: ``False`` if the job has been placed on workers already.
        """

    def requeue(self, owned_job: 'owned_jobs.OwnedJob', now: int) -> None:
        """Add a job that was accepted before to the planner's queue."""


class Takeover:
    """Loads journaled requests and adopts running tasks.

    :param listener: receives the events of adopted attempts.
    """

    __slots__ = (
        '_context',
        '_jobs',
        '_listener',
        '_next_load_ms_by_account',
        '_plan',
    )

    def __init__(
        self,
        context: 'Context',
        owned_jobs: 'owned_jobs.OwnedJobs',
        plan: JobPlan,
        listener: 'attempt.Listener',
    ) -> None:
        self._context = context
        self._jobs = owned_jobs
        self._plan = plan
        self._listener = listener
        self._next_load_ms_by_account: dict[str, int] = {}

    def add_account(self, account: str, now: int) -> None:
        """Start recovering the jobs of an account that is owned now."""
        self._next_load_ms_by_account[account] = now

    def remove_account(self, account: str) -> None:
        """Stop recovering the jobs of an account with a new owner."""
        self._next_load_ms_by_account.pop(account, None)

    def schedule_reload(self, now: int) -> None:
        """Schedule a read of the journal of every owned account.

        It finds requests that a lost entry journaled but did not submit. The
        reads have a jitter, since every owner does this at the same time.
        """
        for account in self._next_load_ms_by_account:
            delay_ms = self._context.random.randrange(LOAD_JITTER_MS)
            self._next_load_ms_by_account[account] = now + delay_ms

    def on_tick(self, now: int) -> None:
        """Load the journals of the accounts that are due."""
        for account, load_ms in list(self._next_load_ms_by_account.items()):
            if now >= load_ms:
                self._next_load_ms_by_account[account] = (
                    now + RELOAD_INTERVAL_MS
                )
                self._load(account, now)

    def _load(self, account: str, now: int) -> None:
        def on_done(
            loaded: list[records.JournalRecord], ended: set[str], now: int
        ) -> None:
            if account in self._next_load_ms_by_account:
                self._restore_records(account, loaded, ended, now)

        def on_failed(now: int) -> None:
            if account in self._next_load_ms_by_account:
                self._next_load_ms_by_account[account] = now + LOAD_RETRY_MS

        wall_ms = self._context.wall_ms(now)
        self._context.journal.load(account, wall_ms, on_done, on_failed)

    def _restore_records(
        self,
        account: str,
        loaded: list[records.JournalRecord],
        ended: set[str],
        now: int,
    ) -> None:
        for record in loaded:
            if record.work.request_id in ended:
                self._context.journal.delete_record(
                    account, record.work.request_id
                )
            else:
                self._restore(record, now)

    def _restore(self, record: records.JournalRecord, now: int) -> None:
        work = record.work
        if self._jobs.find_ended(work.request_id) is not None:
            return
        owned_job = self._jobs.find(work.request_id)
        if owned_job is not None:
            owned_job.request.is_journaled = True
            return
        age_ms = self._context.wall_ms(now) - record.accepted_wall_ms
        owned_job = self._jobs.restore(work, record.fingerprint, age_ms, now)
        self._plan.requeue(owned_job, now)
        self._adopt_running(owned_job, now)

    def _adopt_running(
        self, owned_job: 'owned_jobs.OwnedJob', now: int
    ) -> None:
        if self._context.attempts.find(owned_job.request_id) is not None:
            return
        for view in self._context.membership.workers_by_name.values():
            tasks = view.state.tasks if view.state is not None else []
            for task in tasks:
                if task.request_id == owned_job.request_id:
                    self._adopt(owned_job, task, now)
                    return

    def adopt_tasks(self, state: messages.WorkerState, now: int) -> None:
        """Adopt the running tasks of jobs that an earlier owner started."""
        for task in state.tasks:
            owned_job = self._jobs.find(task.request_id)
            if (
                owned_job is None
                or task.account not in self._next_load_ms_by_account
            ):
                continue
            if self._context.attempts.find(task.request_id) is None:
                self._adopt(owned_job, task, now)

    def _adopt(
        self,
        owned_job: 'owned_jobs.OwnedJob',
        task: messages.TaskState,
        now: int,
    ) -> None:
        if not self._plan.withdraw(owned_job, now):
            return
        members = self._gang_members(task)
        epoch = self._context.shards.epoch_of(task.account)
        self._context.attempts.adopt(
            owned_job.request,
            members,
            task.attempt,
            self._listener,
            now,
            epoch,
        )

    def _gang_members(
        self, task: messages.TaskState
    ) -> list[messages.GangMember]:
        """Return the workers that run members of a task."""
        return [
            messages.GangMember(
                view.worker,
                view.incarnation,
                view.state.address,
                member_task.resources.accelerators,
            )
            for view in self._context.membership.workers_by_name.values()
            if view.state is not None
            for member_task in view.state.tasks
            if member_task.request_id == task.request_id
            and member_task.attempt == task.attempt
        ]
