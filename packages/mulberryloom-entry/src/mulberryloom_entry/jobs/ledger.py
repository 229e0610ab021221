"""The leader's copy of all job records, and the writes that are due.

Changes are made in memory first and written in batches, one at a time.
What follows from a change is released only once its record is stored.
Every write has the leader's key and the job's last revision among its
conditions, so that a deposed leader changes nothing.
"""

import dataclasses
import typing as t

from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_policy.jobs import ActiveRun
import structlog

from . import keys

#: Jobs in one transaction: the store takes 32 conditions, writes and
#: deletions, of which the leader's key is one and each job needs two.
MAX_BATCH_JOBS = 15

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecorded:
    """The record of a run is stored, so that it may start."""

    run: ActiveRun


@dataclasses.dataclass(frozen=True, slots=True)
class EndRecorded:
    """The record of a run's end is stored, so that it may be forgotten.

    :param worker: id of the worker.
    :param boot: start of that worker's life.
    """

    worker: str
    boot: int
    sequence: int


Released: t.TypeAlias = RunRecorded | EndRecorded


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One transaction and the values that it writes."""

    request: store.Transact
    value_by_job_id: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOutcome:
    """What the store's answer to a batch means.

    :param is_deposed: another entry leads by now.
    :param released: what may happen now.
    :param changed_jobs: jobs that somebody else has cancelled.
    """

    is_deposed: bool = False
    released: list[Released] = dataclasses.field(default_factory=list)
    changed_jobs: list[jobs.Job] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Slot:
    """One job with the state of its record."""

    job: jobs.Job
    revision: int
    shown_state: jobs.JobState
    is_dirty: bool = False
    is_deleted: bool = False
    is_in_flight: bool = False
    waiting: list[Released] = dataclasses.field(default_factory=list)
    in_flight: list[Released] = dataclasses.field(default_factory=list)


class JobLedger:
    """All jobs that the store holds.

    :param generation: revision of the leader's key.
    """

    def __init__(self, generation: int) -> None:
        self._generation = generation
        self._slot_by_id: dict[str, _Slot] = {}
        self._dirty_ids: dict[str, None] = {}

    def all_jobs(self) -> t.Iterator[jobs.Job]:
        """Yield every job."""
        return (slot.job for slot in self._slot_by_id.values())

    def find(self, job_id: str) -> jobs.Job | None:
        """Return a job."""
        slot = self._slot_by_id.get(job_id)
        return slot.job if slot else None

    def shown_state(self, job_id: str) -> jobs.JobState | None:
        """Return the state that is stored, hence may be shown."""
        slot = self._slot_by_id.get(job_id)
        return slot.shown_state if slot else None

    @property
    def dirty_count(self) -> int:
        """Number of jobs whose change is not being written yet."""
        return len(self._dirty_ids)

    def adopt(self, entry: store.Entry) -> jobs.Job | None:
        """Take in a record as the store has it.

        :return: the job if it is new here or was cancelled by its caller.
        """
        known = self._slot_by_id.get(keys.job_id_of(entry.key))
        if known is not None and (
            entry.revision <= known.revision or known.is_in_flight
        ):
            return None
        decoded = job_records.decode(entry.value)
        if decoded.is_err():
            _log.warning(
                'job record skipped',
                key=entry.key,
                revision=entry.revision,
                reason=decoded.unwrap_err().detail,
            )
            return None
        stored = decoded.unwrap()
        if known is None:
            self._slot_by_id[stored.job_id] = _Slot(
                stored, entry.revision, stored.state
            )
            return stored
        known.revision = entry.revision
        return self._merge(known, stored)

    def _merge(self, slot: _Slot, stored: jobs.Job) -> jobs.Job | None:
        """Take over what only callers change: that a job is cancelled."""
        if not stored.is_cancelled or slot.job.is_cancelled:
            return None
        slot.job.is_cancelled = True
        slot.shown_state = jobs.JobState.CANCELLED
        return slot.job

    def touch(self, job_id: str, released: Released | None = None) -> None:
        """Note that a job has changed.

        :param released: what may happen once the change is stored.
        """
        slot = self._slot_by_id[job_id]
        slot.is_dirty = True
        if released is not None:
            slot.waiting.append(released)
        if not slot.is_in_flight:
            self._dirty_ids[job_id] = None

    def delete(self, job_id: str) -> None:
        """Delete a job's record at the next write."""
        self._slot_by_id[job_id].is_deleted = True
        self.touch(job_id)

    def next_batch(self) -> Batch | None:
        """Return the next transaction; the last one must be settled."""
        job_ids = list(self._dirty_ids)[:MAX_BATCH_JOBS]
        if not job_ids:
            return None
        expected_by_key = {keys.LEADER: self._generation}
        value_by_job_id: dict[str, bytes] = {}
        deleted_keys = []
        for job_id in job_ids:
            slot = self._slot_by_id[job_id]
            key = keys.job_key(job_id)
            expected_by_key[key] = slot.revision
            if slot.is_deleted:
                deleted_keys.append(key)
            else:
                value_by_job_id[job_id] = job_records.encode(slot.job)
            slot.in_flight = slot.waiting
            slot.waiting = []
            slot.is_in_flight = True
            slot.is_dirty = False
            del self._dirty_ids[job_id]
        values_by_key = {
            keys.job_key(job_id): value
            for job_id, value in value_by_job_id.items()
        }
        request = store.Transact(
            expected_by_key, values_by_key, tuple(deleted_keys)
        )
        return Batch(request, value_by_job_id)

    def settle(
        self, batch: Batch, reply: store.Written | store.Conflict
    ) -> BatchOutcome:
        """Take in the store's answer to a batch."""
        outcome = BatchOutcome()
        if isinstance(reply, store.Conflict):
            leader = reply.entry_by_key.get(keys.LEADER)
            if leader is None or leader.revision != self._generation:
                return BatchOutcome(is_deposed=True)
        for key in batch.request.expected_by_key:
            if key == keys.LEADER:
                continue
            job_id = keys.job_id_of(key)
            if isinstance(reply, store.Written):
                self._commit(job_id, batch, reply.revision, outcome)
            else:
                found = reply.entry_by_key.get(key)
                self._settle_conflict(job_id, batch, found, outcome)
        return outcome

    def _settle_conflict(
        self,
        job_id: str,
        batch: Batch,
        found: store.Entry | None,
        outcome: BatchOutcome,
    ) -> None:
        """Find out from the present record what became of one job.

        An earlier try of the same batch may have been carried out without
        an answer; then the record is the one that was to be written.
        """
        value = batch.value_by_job_id.get(job_id)
        if found is None:
            _log.warning('job record gone', job_id=job_id)
            del self._slot_by_id[job_id]
            return
        if value is not None and found.value == value:
            self._commit(job_id, batch, found.revision, outcome)
            return
        slot = self._slot_by_id[job_id]
        slot.is_in_flight = False
        slot.waiting = slot.in_flight + slot.waiting
        slot.in_flight = []
        slot.revision = found.revision
        decoded = job_records.decode(found.value)
        if decoded.is_ok():
            changed = self._merge(slot, decoded.unwrap())
            if changed is not None:
                outcome.changed_jobs.append(changed)
        self.touch(job_id)

    def _commit(
        self,
        job_id: str,
        batch: Batch,
        revision: int,
        outcome: BatchOutcome,
    ) -> None:
        slot = self._slot_by_id[job_id]
        if job_id not in batch.value_by_job_id:
            del self._slot_by_id[job_id]
            return
        slot.revision = revision
        slot.is_in_flight = False
        outcome.released.extend(slot.in_flight)
        slot.in_flight = []
        stored = job_records.decode(batch.value_by_job_id[job_id]).unwrap()
        slot.shown_state = stored.state
        if slot.is_dirty:
            self._dirty_ids[job_id] = None
