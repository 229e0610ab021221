"""Callers' requests about jobs: submission, queries and cancellation.

Any entry accepts a job by writing its record to the store. The leader is
notified at once; if the notification is lost, it finds the record in the
store.
"""

import asyncio
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from result import Err
from result import Ok
from result import Result
import structlog

from . import keys

#: Upper bound on the time that a submission is retried; a caller that gets
#: the error early can still try another entry.
SUBMIT_TIMEOUT_MS = 1_500
#: Pause before a store call without a conclusive answer is retried.
RETRY_PAUSE_MS = 60
#: Submissions with an unknown outcome that are remembered.
MAX_UNKNOWN_SUBMISSIONS = 1_000
_MS_PER_S = 1_000

_Kind = exceptions.ErrorKind
_log = structlog.get_logger(__name__)


class StoreWithRetryHint(store.Store, t.Protocol):
    """Store client that suggests retry times during an outage."""

    @property
    def retry_after_ms(self) -> int:
        """Delay after which callers should retry."""


class LeaderClient(t.Protocol):
    """Calls to the leader, in this process or in another one."""

    def notify_changed(self, entry: store.Entry) -> None:
        """Notify the leader that a job record was written."""

    async def job_state(self, job_id: str) -> jobs.JobState | None:
        """Return a job's state from the leader; ``None`` if not available."""

    async def pending_count(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not started.

        :return: ``None`` if the leader is unreachable.
        """


class Intake:
    """Handles callers' requests about jobs at one entry.

    :param job_store: client of the store with the job records.
    :param leader: calls to the leader.
    :param metrics: metrics in which outcomes are counted.
    """

    def __init__(
        self,
        job_store: StoreWithRetryHint,
        leader: LeaderClient,
        clock: clocks.Clock,
        metrics: process_metrics.ProcessMetrics,
    ) -> None:
        self._store = job_store
        self._leader = leader
        self._clock = clock
        self._metrics = metrics
        # Jobs whose record may have been stored, oldest first.
        self._unknown_ids: dict[str, None] = {}

    async def submit(
        self,
        job_id: str,
        spec: jobs.JobSpec,
        terms: jobs.JobTerms,
        timeout_ms: int,
    ) -> Result[None, exceptions.Error]:
        """Accept a job by storing its record.

        Submitting the same job again succeeds.

        :param timeout_ms: how long the caller waits for an answer.
        :return: an error if the job is not known to be stored; its ``ran``
            is ``no`` only if this call can never store the job.
        """
        limit_ms = min(timeout_ms, SUBMIT_TIMEOUT_MS)
        try:
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                return await self._store_job(job_id, spec, terms, limit_ms)
        except TimeoutError:
            detail = f'job record not stored within {limit_ms} ms'
            error = exceptions.Error.from_kind(_Kind.OUTCOME_UNKNOWN, detail)
            return self._submission_failed(
                job_id, Err(error), exceptions.Ran.UNKNOWN
            )

    async def _store_job(
        self,
        job_id: str,
        spec: jobs.JobSpec,
        terms: jobs.JobTerms,
        limit_ms: int,
    ) -> Result[None, exceptions.Error]:
        """Write a job's record; retry while the outcome is unknown."""
        job = jobs.Job.from_spec(job_id, spec, terms, self._clock.wall_ms())
        key = keys.job_key(job_id)
        value = job_records.encode(job)
        request = store.Transact({key: 0}, {key: value})
        deadline_ms = self._clock.now_ms() + limit_ms
        ran = exceptions.Ran.NO
        if job_id in self._unknown_ids:
            # An earlier call may have stored the job; wait for the store to
            # tell, since the caller cannot retry in the dark for long.
            ran = exceptions.Ran.UNKNOWN
        while True:
            answer = await self._store.call(request)
            if answer.is_ok():
                reply = answer.unwrap()
                if isinstance(reply, store.Written):
                    entry = store.Entry(key, value, reply.revision)
                    return self._submission_accepted(job, entry, 'stored')
                existing = reply.entry_by_key.get(key)
                if existing is not None:
                    return self._answer_duplicate(job, existing)
            elif answer.unwrap_err().ran is not exceptions.Ran.NO:
                ran = exceptions.Ran.UNKNOWN
            if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                return self._submission_failed(job_id, answer, ran)
            if answer.is_err() and ran is exceptions.Ran.NO:
                return self._submission_failed(job_id, answer, ran)
            await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)

    def _answer_duplicate(
        self, job: jobs.Job, existing: store.Entry
    ) -> Result[None, exceptions.Error]:
        """Return the result for a job whose id is already stored."""
        decoded = job_records.decode(existing.value)
        if decoded.is_err() or decoded.unwrap().spec != job.spec:
            return Err(
                exceptions.Error.from_kind(
                    _Kind.IDEMPOTENCY_KEY_REUSED,
                    f'job {job.job_id} exists with different content',
                )
            )
        return self._submission_accepted(job, existing, 'present')

    def _submission_accepted(
        self, job: jobs.Job, entry: store.Entry, outcome: str
    ) -> Result[None, exceptions.Error]:
        self._unknown_ids.pop(job.job_id, None)
        self._metrics.count('submissions_total', outcome)
        _log.info(
            'job accepted',
            job_id=job.job_id,
            queue=job.terms.queue,
            account=job.terms.account,
            priority=job.terms.priority,
            tasks=len(job.task_by_key),
            steps=[_summarize(step) for step in job.spec.steps],
            revision=entry.revision,
            outcome=outcome,
        )
        self._leader.notify_changed(entry)
        return Ok(None)

    def _submission_failed(
        self,
        job_id: str,
        answer: Result[store.StoreReply, exceptions.Error],
        ran: exceptions.Ran,
    ) -> Result[None, exceptions.Error]:
        if ran is exceptions.Ran.UNKNOWN:
            self._remember_unknown(job_id)
        self._metrics.count('submissions_total', f'refused-{ran.value}')
        detail = f'job record {job_id} not stored: store reported a conflict'
        if answer.is_err():
            detail = answer.unwrap_err().detail
        _log.warning(
            'job not accepted', job_id=job_id, ran=ran.value, reason=detail
        )
        if ran is exceptions.Ran.NO:
            error = exceptions.Error.from_kind(
                _Kind.STORE_UNAVAILABLE,
                detail,
                retry_after_ms=self._store.retry_after_ms,
            )
        else:
            error = exceptions.Error.from_kind(_Kind.OUTCOME_UNKNOWN, detail)
        return Err(error)

    def _remember_unknown(self, job_id: str) -> None:
        self._unknown_ids[job_id] = None
        if len(self._unknown_ids) > MAX_UNKNOWN_SUBMISSIONS:
            del self._unknown_ids[next(iter(self._unknown_ids))]

    async def job_state(
        self, job_id: str
    ) -> Result[jobs.JobState, exceptions.Error]:
        """Return the state of a job.

        A job that the leader does not know is looked up in the store, since
        the leader may not have received its record yet.
        """
        state = await self._leader.job_state(job_id)
        if state is not None:
            return Ok(state)
        stored = await self._read_job(job_id)
        if stored.is_err():
            return Err(stored.unwrap_err())
        return Ok(stored.unwrap()[0].state)

    async def find(self, job_id: str) -> Result[jobs.Job, exceptions.Error]:
        """Return a job from its stored record."""
        return (await self._read_job(job_id)).map(lambda stored: stored[0])

    async def list_jobs(
        self,
    ) -> Result[list[jobs.Job], exceptions.Error]:
        """Return all stored jobs.

        Ended jobs are included until the leader deletes their records.
        """
        answer = await self._store.call(store.ListKeys(keys.JOBS))
        if answer.is_err():
            return Err(self._store_unavailable(answer.unwrap_err()))
        stored_jobs = []
        for entry in answer.unwrap().entries:
            decoded = job_records.decode(entry.value)
            if decoded.is_ok():
                stored_jobs.append(decoded.unwrap())
            else:
                _log.warning(
                    'job record skipped',
                    key=entry.key,
                    revision=entry.revision,
                    reason=decoded.unwrap_err().detail,
                )
        return Ok(stored_jobs)

    def _store_unavailable(self, error: exceptions.Error) -> exceptions.Error:
        """Return the error for a read that the store did not answer."""
        return exceptions.Error.from_kind(
            _Kind.STORE_UNAVAILABLE,
            error.detail,
            retry_after_ms=self._store.retry_after_ms,
        )

    async def _read_job(
        self, job_id: str
    ) -> Result[tuple[jobs.Job, int], exceptions.Error]:
        """Return a job from its stored record, and the record's revision."""
        key = keys.job_key(job_id)
        answer = await self._store.call(store.GetKey(key))
        if answer.is_err():
            return Err(self._store_unavailable(answer.unwrap_err()))
        entries = answer.unwrap().entries
        if not entries:
            return Err(exceptions.Error.from_kind(_Kind.UNKNOWN_JOB))
        decoded = job_records.decode(entries[0].value)
        if decoded.is_err():
            _log.error(
                'job record unreadable',
                job_id=job_id,
                reason=decoded.unwrap_err().detail,
            )
            return Err(
                exceptions.Error.from_kind(
                    _Kind.INTERNAL, decoded.unwrap_err().detail
                )
            )
        return Ok((decoded.unwrap(), entries[0].revision))

    async def cancel(
        self, job_id: str, timeout_ms: int
    ) -> Result[jobs.JobState, exceptions.Error]:
        """Cancel a job, unless it has ended.

        :param timeout_ms: how long the caller waits for an answer.
        :return: the job's state afterwards; that of an ended job is
            unchanged.
        """
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await self._cancel(job_id, timeout_ms)
        except TimeoutError:
            detail = f'job {job_id} not cancelled within {timeout_ms} ms'
            kind = _Kind.OUTCOME_UNKNOWN
            return Err(exceptions.Error.from_kind(kind, detail))

    async def _cancel(
        self, job_id: str, timeout_ms: int
    ) -> Result[jobs.JobState, exceptions.Error]:
        """Store the cancellation; retry after conflicts and outages."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            result = await self._cancel_once(job_id)
            if result.is_ok():
                return result
            kind = result.unwrap_err().kind
            if kind not in (_Kind.STORE_CONFLICT, _Kind.STORE_UNAVAILABLE):
                return result
            if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                return result
            await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)

    async def _cancel_once(
        self, job_id: str
    ) -> Result[jobs.JobState, exceptions.Error]:
        stored = await self._read_job(job_id)
        if stored.is_err():
            return Err(stored.unwrap_err())
        job, revision = stored.unwrap()
        if job.state.is_final:
            return Ok(job.state)
        job.is_cancelled = True
        key = keys.job_key(job_id)
        value = job_records.encode(job)
        request = store.Transact({key: revision}, {key: value})
        answer = await self._store.call(request)
        if answer.is_err():
            return Err(answer.unwrap_err())
        reply = answer.unwrap()
        if not isinstance(reply, store.Written):
            return Err(exceptions.Error.from_kind(_Kind.STORE_CONFLICT))
        self._metrics.count('cancels_total')
        _log.info('job cancelled', job_id=job_id, revision=reply.revision)
        self._leader.notify_changed(store.Entry(key, value, reply.revision))
        return Ok(jobs.JobState.CANCELLED)

    async def pending_count(self, queue: str) -> Result[int, exceptions.Error]:
        """Return how many accepted jobs of a queue have not started.

        Without the leader, the stored records are counted.
        """
        count = await self._leader.pending_count(queue)
        if count is not None:
            return Ok(count)
        listed = await self.list_jobs()
        return listed.map(
            lambda stored_jobs: sum(
                job.terms.queue == queue and job.state is jobs.JobState.QUEUED
                for job in stored_jobs
            )
        )


def _summarize(step: jobs.Step) -> str:
    """Return the size of a step for the log."""
    gang = ' gang' if step.is_gang else ''
    rack = ' in one rack' if step.is_same_rack else ''
    checkpoints = ' with checkpoints' if step.is_checkpointed else ''
    return (
        f'{step.tasks} x {step.accelerators} accelerators, '
        f'{step.cpu_millis} millicores, {step.estimate_ms} ms'
        f'{gang}{rack}{checkpoints}'
    )
