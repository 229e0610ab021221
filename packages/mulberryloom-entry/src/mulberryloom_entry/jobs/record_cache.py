"""Write-behind cache of all job records.

The leader changes jobs in memory and writes them in batches, one at a
time. Events that depend on a change, such as sending a start, are returned
only once its record is stored. Every write has the leader's key and the
job's last revision as conditions, so that a superseded leader changes
nothing.
"""

import dataclasses
import typing as t

from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_policy.jobs import ActiveRun
import structlog

from . import keys

#: Conditions, writes and deletions that the store allows in total in one
#: transaction. The leader's key takes one, each job takes two, and each data
#: centre in which runs start takes one.
MAX_TRANSACTION_ITEMS = 32
_ITEMS_PER_JOB = 2
#: Longest time for which a new checkpoint is kept in memory only.
CHECKPOINT_WRITE_DELAY_MS = 3_000

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecorded:
    """The record of a run is stored; the start may be sent.

    :param data_centre: where the run starts.
    """

    run: ActiveRun
    data_centre: str = ''

    @property
    def may_start(self) -> bool:
        """Whether the start will be sent once the run is recorded."""
        return not self.run.is_stopping and self.run.task.run == self.run.run


@dataclasses.dataclass(frozen=True, slots=True)
class EndRecorded:
    """The record of a run's end is stored; the worker may forget the end.

    :param worker: id of the worker.
    :param boot: start of the worker's incarnation, Unix milliseconds.
    :param sequence: number of the end in that incarnation.
    """

    worker: str
    boot: int
    sequence: int


RecordedEvent: t.TypeAlias = RunRecorded | EndRecorded


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One transaction and the job records that it writes.

    :param state_by_job_id: states of the jobs in their written records.
    """

    request: store.Transact
    value_by_job_id: dict[str, bytes]
    state_by_job_id: dict[str, jobs.JobState]


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOutcome:
    """Result of the store's reply to a batch.

    :param is_deposed: whether another leader has superseded this one.
    :param recorded_events: events whose job records are now stored.
    :param changed_jobs: jobs that a caller has cancelled meanwhile.
    :param evacuation_entries: keys of evacuated data centres that have
        rejected the batch.
    """

    is_deposed: bool = False
    recorded_events: list[RecordedEvent] = dataclasses.field(
        default_factory=list
    )
    changed_jobs: list[jobs.Job] = dataclasses.field(default_factory=list)
    evacuation_entries: list[store.Entry] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class _CachedJob:
    """One job and the state of its record.

    :param revision: revision of the record in the store.
    :param stored_state: state of the job in the stored record.
    :param is_dirty: whether the job has changed since its last write began.
    :param is_deleted: whether the next write deletes the record.
    :param is_in_flight: whether a write of the job awaits its reply.
    :param pending_events: events that depend on the next write.
    :param in_flight_events: events that depend on the write in flight.
    """

    job: jobs.Job
    revision: int
    stored_state: jobs.JobState
    is_dirty: bool = False
    is_deleted: bool = False
    is_in_flight: bool = False
    pending_events: list[RecordedEvent] = dataclasses.field(
        default_factory=list
    )
    in_flight_events: list[RecordedEvent] = dataclasses.field(
        default_factory=list
    )


class JobRecordCache:
    """Cache of all job records in the store.

    :param generation: revision of the leader's key in the store.
    :param evacuation_prefix: prefix of the keys of evacuated data centres;
        empty if evacuations are not followed.
    """

    def __init__(self, generation: int, evacuation_prefix: str = '') -> None:
        self._generation = generation
        self._evacuation_prefix = evacuation_prefix
        self._cached_by_id: dict[str, _CachedJob] = {}
        self._dirty_ids: dict[str, None] = {}
        self._checkpoint_due_ms_by_id: dict[str, int] = {}

    def all_jobs(self) -> t.Iterator[jobs.Job]:
        """Return an iterator over all jobs."""
        return (cached.job for cached in self._cached_by_id.values())

    def find(self, job_id: str) -> jobs.Job | None:
        """Return a job, ``None`` if it is unknown."""
        cached = self._cached_by_id.get(job_id)
        return cached.job if cached else None

    def stored_state(self, job_id: str) -> jobs.JobState | None:
        """Return the stored state of a job, which callers may see."""
        cached = self._cached_by_id.get(job_id)
        return cached.stored_state if cached else None

    @property
    def dirty_count(self) -> int:
        """Number of changed jobs without a write in flight."""
        return len(self._dirty_ids)

    def apply_entry(self, entry: store.Entry) -> jobs.Job | None:
        """Process a record that was read from the store.

        :return: the job if it was unknown or its caller has cancelled it.
        """
        known = self._cached_by_id.get(keys.job_id_of(entry.key))
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
            self._cached_by_id[stored.job_id] = _CachedJob(
                stored, entry.revision, stored.state
            )
            return stored
        known.revision = entry.revision
        return self._merge_cancellation(known, stored)

    def _merge_cancellation(
        self, cached: _CachedJob, stored: jobs.Job
    ) -> jobs.Job | None:
        """Apply a cancellation; callers make no other changes."""
        if not stored.is_cancelled or cached.job.is_cancelled:
            return None
        cached.job.is_cancelled = True
        cached.stored_state = jobs.JobState.CANCELLED
        return cached.job

    def mark_dirty(
        self, job_id: str, event: RecordedEvent | None = None
    ) -> None:
        """Mark a job as changed.

        :param event: returned once the change is stored.
        """
        cached = self._cached_by_id[job_id]
        cached.is_dirty = True
        if event is not None:
            cached.pending_events.append(event)
        if not cached.is_in_flight:
            self._dirty_ids[job_id] = None

    def mark_checkpointed(self, job_id: str, now_ms: int) -> None:
        """Schedule the write of a new checkpoint of one of a job's tasks.

        The write waits, so that the checkpoints of all tasks and earlier
        changes of the job share it.
        """
        self._checkpoint_due_ms_by_id.setdefault(
            job_id, now_ms + CHECKPOINT_WRITE_DELAY_MS
        )

    def mark_due_checkpoints(self, now_ms: int) -> None:
        """Mark the jobs as changed whose checkpoints are due."""
        due_ids = [
            job_id
            for job_id, due_ms in self._checkpoint_due_ms_by_id.items()
            if due_ms <= now_ms
        ]
        for job_id in due_ids:
            del self._checkpoint_due_ms_by_id[job_id]
            if job_id in self._cached_by_id:
                self.mark_dirty(job_id)

    def delete(self, job_id: str) -> None:
        """Delete a job's record in the next batch."""
        self._cached_by_id[job_id].is_deleted = True
        self.mark_dirty(job_id)

    def next_batch(self) -> Batch | None:
        """Return the next transaction; the previous must be completed.

        It is rejected if a data centre in which runs start is evacuated.
        """
        job_ids, evacuation_keys = self._select_for_batch()
        if not job_ids:
            return None
        expected_by_key = {keys.LEADER: self._generation}
        expected_by_key.update(dict.fromkeys(sorted(evacuation_keys), 0))
        value_by_job_id: dict[str, bytes] = {}
        state_by_job_id: dict[str, jobs.JobState] = {}
        deleted_keys = []
        for job_id in job_ids:
            cached = self._cached_by_id[job_id]
            key = keys.job_key(job_id)
            expected_by_key[key] = cached.revision
            if cached.is_deleted:
                deleted_keys.append(key)
            else:
                value_by_job_id[job_id] = job_records.encode(cached.job)
                state_by_job_id[job_id] = cached.job.state
            cached.in_flight_events = cached.pending_events
            cached.pending_events = []
            cached.is_in_flight = True
            cached.is_dirty = False
            del self._dirty_ids[job_id]
            self._checkpoint_due_ms_by_id.pop(job_id, None)
        values_by_key = {
            keys.job_key(job_id): value
            for job_id, value in value_by_job_id.items()
        }
        request = store.Transact(
            expected_by_key, values_by_key, tuple(deleted_keys)
        )
        return Batch(request, value_by_job_id, state_by_job_id)

    def _select_for_batch(self) -> tuple[list[str], set[str]]:
        """Return the jobs of the next batch.

        :return: their ids, and the keys of evacuations that must be absent.
        """
        room = MAX_TRANSACTION_ITEMS - 1
        job_ids: list[str] = []
        evacuation_keys: set[str] = set()
        for job_id in self._dirty_ids:
            new_keys = self._evacuation_keys_of(job_id) - evacuation_keys
            needed = _ITEMS_PER_JOB + len(new_keys)
            if needed <= room:
                room -= needed
                job_ids.append(job_id)
                evacuation_keys |= new_keys
            elif job_ids:
                break
            else:
                _log.error(
                    'job starts in too many data centres for one write',
                    job_id=job_id,
                    data_centres=len(new_keys),
                )
        return job_ids, evacuation_keys

    def _evacuation_keys_of(self, job_id: str) -> set[str]:
        """Return the keys that must be absent to record a job's new runs."""
        if not self._evacuation_prefix:
            return set()
        return {
            self._evacuation_prefix + event.data_centre
            for event in self._cached_by_id[job_id].pending_events
            if isinstance(event, RunRecorded)
            and event.data_centre
            and event.may_start
        }

    def complete_batch(
        self, batch: Batch, reply: store.Written | store.Conflict
    ) -> BatchOutcome:
        """Process the store's reply to a batch."""
        outcome = BatchOutcome()
        if isinstance(reply, store.Conflict):
            leader = reply.entry_by_key.get(keys.LEADER)
            if leader is None or leader.revision != self._generation:
                return BatchOutcome(is_deposed=True)
            outcome.evacuation_entries.extend(
                entry
                for key, entry in reply.entry_by_key.items()
                if key != keys.LEADER and not key.startswith(keys.JOBS)
            )
        for key in batch.request.expected_by_key:
            if key == keys.LEADER:
                continue
            if not key.startswith(keys.JOBS):
                # The key of an evacuation, which the batch does not write.
                continue
            job_id = keys.job_id_of(key)
            if isinstance(reply, store.Written):
                self._mark_stored(job_id, batch, reply.revision, outcome)
            else:
                found = reply.entry_by_key.get(key)
                self._resolve_conflict(job_id, batch, found, outcome)
        return outcome

    def _resolve_conflict(
        self,
        job_id: str,
        batch: Batch,
        found: store.Entry | None,
        outcome: BatchOutcome,
    ) -> None:
        """Derive the outcome of a job's write from its current record.

        An earlier attempt of the same batch may have succeeded without a
        reply; the record then equals the value that was to be written.
        """
        value = batch.value_by_job_id.get(job_id)
        if found is None:
            _log.warning('job record missing from the store', job_id=job_id)
            del self._cached_by_id[job_id]
            return
        if value is not None and found.value == value:
            self._mark_stored(job_id, batch, found.revision, outcome)
            return
        cached = self._cached_by_id[job_id]
        cached.is_in_flight = False
        cached.pending_events = cached.in_flight_events + cached.pending_events
        cached.in_flight_events = []
        cached.revision = found.revision
        decoded = job_records.decode(found.value)
        if decoded.is_ok():
            changed = self._merge_cancellation(cached, decoded.unwrap())
            if changed is not None:
                outcome.changed_jobs.append(changed)
        self.mark_dirty(job_id)

    def _mark_stored(
        self,
        job_id: str,
        batch: Batch,
        revision: int,
        outcome: BatchOutcome,
    ) -> None:
        cached = self._cached_by_id[job_id]
        if job_id not in batch.value_by_job_id:
            # The batch has deleted the record.
            del self._cached_by_id[job_id]
            return
        cached.revision = revision
        cached.is_in_flight = False
        outcome.recorded_events.extend(cached.in_flight_events)
        cached.in_flight_events = []
        cached.stored_state = batch.state_by_job_id[job_id]
        if cached.is_dirty:
            self._dirty_ids[job_id] = None
