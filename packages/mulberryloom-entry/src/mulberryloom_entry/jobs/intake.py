"""Callers' requests about jobs: submit, ask, cancel, count.

A job is accepted once its record is stored, by whichever entry took it;
the leader is told at once and finds it in the store otherwise.
"""

import asyncio
import typing as t

from mulberryloom_core import clock as clocks
from mulberryloom_core import exceptions
from mulberryloom_core.process import tally
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from result import Err
from result import Ok
from result import Result
import structlog

from . import keys

#: Longest time for which a submission is tried again; a caller that is
#: told sooner can go to another entry.
SUBMIT_BUDGET_MS = 1_500
#: Pause between tries against a store that does not answer.
RETRY_PAUSE_MS = 60
_MS_PER_S = 1_000

_Kind = exceptions.ErrorKind
_log = structlog.get_logger(__name__)


class PatientStore(store.Store, t.Protocol):
    """Store that knows for how long it has not been reached."""

    @property
    def retry_after_ms(self) -> int:
        """When to come back while it cannot be reached."""


class LeaderAccess(t.Protocol):
    """The leader, in this process or in another one."""

    def notify_changed(self, entry: store.Entry) -> None:
        """Tell the leader of a record that was written."""

    async def job_state(self, job_id: str) -> jobs.JobState | None:
        """Return what the leader knows of a job; ``None`` if nothing."""

    async def pending_count(self, queue: str) -> int | None:
        """Return the leader's count; ``None`` when it is not reached."""


class Intake:
    """Requests about jobs at one entry.

    :param job_store: the store, directly or by a detour.
    :param leader: the leader, wherever it is.
    :param counts: where answers are counted.
    """

    def __init__(
        self,
        job_store: PatientStore,
        leader: LeaderAccess,
        clock: clocks.Clock,
        counts: tally.Tally,
    ) -> None:
        self._store = job_store
        self._leader = leader
        self._clock = clock
        self._tally = counts

    async def submit(
        self,
        job_id: str,
        spec: jobs.JobSpec,
        terms: jobs.Terms,
        budget_ms: int,
    ) -> Result[None, exceptions.Error]:
        """Accept a job.

        :param budget_ms: how long the caller waits for an answer.
        :return: nothing when the job is stored, also if it was before; an
            error whose ``ran`` is ``no`` only if it can never be stored
            by this call.
        """
        limit_ms = min(budget_ms, SUBMIT_BUDGET_MS)
        try:
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                return await self._store_job(job_id, spec, terms, limit_ms)
        except TimeoutError:
            detail = f'record not stored within {limit_ms} ms'
            error = exceptions.Error.from_kind(_Kind.OUTCOME_UNKNOWN, detail)
            return self._not_stored(job_id, Err(error), exceptions.Ran.UNKNOWN)

    async def _store_job(
        self,
        job_id: str,
        spec: jobs.JobSpec,
        terms: jobs.Terms,
        limit_ms: int,
    ) -> Result[None, exceptions.Error]:
        """Write a job's record, again while the outcome is open."""
        job = jobs.Job.from_spec(job_id, spec, terms, self._clock.wall_ms())
        key = keys.job_key(job_id)
        value = job_records.encode(job)
        request = store.Transact({key: 0}, {key: value})
        give_up_ms = self._clock.now_ms() + limit_ms
        ran = exceptions.Ran.NO
        while True:
            answer = await self._store.call(request)
            if answer.is_ok():
                reply = answer.unwrap()
                if isinstance(reply, store.Written):
                    entry = store.Entry(key, value, reply.revision)
                    return self._accepted(job, entry, 'stored')
                found = reply.entry_by_key.get(key)
                if found is not None:
                    return self._on_present(job, found)
            elif answer.unwrap_err().ran is not exceptions.Ran.NO:
                ran = exceptions.Ran.UNKNOWN
            if self._clock.now_ms() + RETRY_PAUSE_MS >= give_up_ms:
                return self._not_stored(job_id, answer, ran)
            if answer.is_err() and ran is exceptions.Ran.NO:
                return self._not_stored(job_id, answer, ran)
            await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)

    def _on_present(
        self, job: jobs.Job, found: store.Entry
    ) -> Result[None, exceptions.Error]:
        """Answer for a job whose id is taken already."""
        decoded = job_records.decode(found.value)
        if decoded.is_err() or decoded.unwrap().spec != job.spec:
            return Err(
                exceptions.Error.from_kind(
                    _Kind.IDEMPOTENCY_KEY_REUSED,
                    'a job with this id and other content exists',
                )
            )
        return self._accepted(job, found, 'present')

    def _accepted(
        self, job: jobs.Job, entry: store.Entry, outcome: str
    ) -> Result[None, exceptions.Error]:
        self._tally.count('submissions_total', outcome)
        _log.info(
            'job accepted',
            job_id=job.job_id,
            queue=job.terms.queue,
            account=job.terms.account,
            priority=job.terms.priority,
            tasks=len(job.task_by_key),
            revision=entry.revision,
            outcome=outcome,
        )
        self._leader.notify_changed(entry)
        return Ok(None)

    def _not_stored(
        self,
        job_id: str,
        answer: Result[store.StoreReply, exceptions.Error],
        ran: exceptions.Ran,
    ) -> Result[None, exceptions.Error]:
        self._tally.count('submissions_total', f'refused-{ran.value}')
        detail = 'record not stored'
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

    async def job_state(
        self, job_id: str
    ) -> Result[jobs.JobState, exceptions.Error]:
        """Return what may be shown of a job.

        What the leader does not know is looked up in the store, since the
        leader may not have heard of it yet.
        """
        state = await self._leader.job_state(job_id)
        if state is not None:
            return Ok(state)
        found = await self._read(job_id)
        if found.is_err():
            return Err(found.unwrap_err())
        return Ok(found.unwrap()[0].state)

    async def find(self, job_id: str) -> Result[jobs.Job, exceptions.Error]:
        """Return a job as it is stored."""
        return (await self._read(job_id)).map(lambda found: found[0])

    async def list_jobs(
        self,
    ) -> Result[list[jobs.Job], exceptions.Error]:
        """Return all jobs that are stored, ended ones for a while too."""
        answer = await self._store.call(store.ListKeys(keys.JOBS))
        if answer.is_err():
            return Err(self._unreached(answer.unwrap_err()))
        found = []
        for entry in answer.unwrap().entries:
            decoded = job_records.decode(entry.value)
            if decoded.is_ok():
                found.append(decoded.unwrap())
            else:
                _log.warning(
                    'job record skipped',
                    key=entry.key,
                    revision=entry.revision,
                    reason=decoded.unwrap_err().detail,
                )
        return Ok(found)

    def _unreached(self, error: exceptions.Error) -> exceptions.Error:
        """Return the error of a read that the store did not answer."""
        return exceptions.Error.from_kind(
            _Kind.STORE_UNAVAILABLE,
            error.detail,
            retry_after_ms=self._store.retry_after_ms,
        )

    async def _read(
        self, job_id: str
    ) -> Result[tuple[jobs.Job, int], exceptions.Error]:
        """Return a job as it is stored, and its revision."""
        key = keys.job_key(job_id)
        answer = await self._store.call(store.GetKey(key))
        if answer.is_err():
            return Err(self._unreached(answer.unwrap_err()))
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
        self, job_id: str, budget_ms: int
    ) -> Result[jobs.JobState, exceptions.Error]:
        """Cancel a job that has not ended.

        :return: the state that the job is in now.
        """
        try:
            async with asyncio.timeout(budget_ms / _MS_PER_S):
                return await self._cancel(job_id, budget_ms)
        except TimeoutError:
            detail = f'not cancelled within {budget_ms} ms'
            kind = _Kind.OUTCOME_UNKNOWN
            return Err(exceptions.Error.from_kind(kind, detail))

    async def _cancel(
        self, job_id: str, budget_ms: int
    ) -> Result[jobs.JobState, exceptions.Error]:
        """Write the cancelling, again while its outcome is open."""
        give_up_ms = self._clock.now_ms() + budget_ms
        while True:
            result = await self._cancel_once(job_id)
            if result.is_ok():
                return result
            kind = result.unwrap_err().kind
            if kind not in (_Kind.STORE_CONFLICT, _Kind.STORE_UNAVAILABLE):
                return result
            if self._clock.now_ms() + RETRY_PAUSE_MS >= give_up_ms:
                return result
            await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)

    async def _cancel_once(
        self, job_id: str
    ) -> Result[jobs.JobState, exceptions.Error]:
        found = await self._read(job_id)
        if found.is_err():
            return Err(found.unwrap_err())
        job, revision = found.unwrap()
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
        self._tally.count('cancels_total')
        _log.info('job cancelled', job_id=job_id, revision=reply.revision)
        self._leader.notify_changed(store.Entry(key, value, reply.revision))
        return Ok(jobs.JobState.CANCELLED)

    async def pending_count(self, queue: str) -> Result[int, exceptions.Error]:
        """Return how many accepted jobs of a queue have not started."""
        count = await self._leader.pending_count(queue)
        if count is not None:
            return Ok(count)
        listed = await self.list_jobs()
        return listed.map(
            lambda found: sum(
                job.terms.queue == queue and job.state is jobs.JobState.QUEUED
                for job in found
            )
        )
