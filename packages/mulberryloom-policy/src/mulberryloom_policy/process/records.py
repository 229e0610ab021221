"""Records of accepted jobs, and the queues of the accounts."""

import dataclasses
import enum
import heapq

from .. import decisions
from ..options import PolicyOptions
from . import queue as queues


class JobPhase(enum.Enum):
    """Phase of a job between its acceptance and its end.

    ``PENDING_PREEMPTION``: it has a placement and waits for preempted work to
    stop there. ``PLACED``: its start has been decided.
    """

    WAITING = 'waiting'
    PENDING_PREEMPTION = 'pending-preemption'
    PLACED = 'placed'


@dataclasses.dataclass(slots=True)
class Record:
    """One accepted job.

    :param attempt: number of the attempt that started last; ``0`` before.
    :param placed_ms: when its last placement was decided.
    :param queued_ms: when it was last queued.
    :param work: share of the fleet times run time, in ms, as estimated
        when it was submitted.
    :param is_preempting: whether its running attempt is being preempted.
    :param preemptions: number of times that it was preempted.
    :param has_run: whether an attempt has started.
    """

    job: decisions.Job
    phase: JobPhase = JobPhase.WAITING
    attempt: int = 0
    placed_ms: int = 0
    queued_ms: int = 0
    work: float = 0.0
    is_preempting: bool = False
    preemptions: int = 0
    has_run: bool = False


class Records:
    """All accepted jobs, with one queue for each account."""

    __slots__ = (
        'queues_by_account',
        'records_by_id',
        '_deadlines',
        '_options',
    )

    def __init__(self, options: PolicyOptions) -> None:
        self.queues_by_account: dict[str, queues.AccountQueue] = {}
        self.records_by_id: dict[str, Record] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._options = options

    def get(self, request_id: str) -> Record | None:
        """Return the record of a job, if it is known."""
        return self.records_by_id.get(request_id)

    def queue(self, account: str) -> queues.AccountQueue:
        """Return the queue of an account."""
        queue = self.queues_by_account.get(account)
        if queue is None:
            queue = queues.AccountQueue(self._options)
            self.queues_by_account[account] = queue
        return queue

    def add(self, record: Record, avoided: frozenset[str]) -> None:
        """Accept a job and queue it.

        :param avoided: workers on which it has failed.
        """
        job = record.job
        self.records_by_id[job.request_id] = record
        heapq.heappush(self._deadlines, (job.deadline_at_ms, job.request_id))
        self.queue(job.account).add(job, record.work, avoided)

    def requeue(self, record: Record) -> None:
        """Queue a job again that had a placement.

        It gets its earlier position, which depends on its submission.
        """
        record.phase = JobPhase.WAITING
        record.is_preempting = False
        job = record.job
        heapq.heappush(self._deadlines, (job.deadline_at_ms, job.request_id))
        self.queue(job.account).add(job, record.work, frozenset())

    def dequeue(self, record: Record, phase: JobPhase, now_ms: int) -> None:
        """Remove a job from its queue and set its phase.

        :param phase: ``PENDING_PREEMPTION`` or ``PLACED``.
        """
        if record.phase is JobPhase.WAITING:
            self.queue(record.job.account).remove(record.job.request_id)
        record.phase = phase
        record.placed_ms = now_ms

    def forget(self, request_id: str) -> Record | None:
        """Remove a job and return its record, if it is known."""
        record = self.records_by_id.pop(request_id, None)
        if record is not None and record.phase is JobPhase.WAITING:
            self.queue(record.job.account).remove(request_id)
        return record

    def pop_expired(self, now_ms: int) -> list[Record]:
        """Return jobs whose deadline passed before they were placed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._deadlines)
            record = self.get(request_id)
            if record is not None and self._is_expired(record, now_ms):
                expired.append(record)
        return expired

    def _is_expired(self, record: Record, now_ms: int) -> bool:
        is_unplaced = record.phase is not JobPhase.PLACED
        return is_unplaced and record.job.deadline_at_ms <= now_ms
