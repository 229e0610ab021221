"""Jobs of the client accounts that this entry owns.

A job is here one request in the queue of its account's owner, in the form
that the planner schedules. It is unrelated to the jobs with steps of the
package ``jobs``. An open job is one that has not ended.
"""

import collections
import dataclasses
import heapq
import typing as t

from mulberryloom_core import messages
from mulberryloom_policy import decisions

from ..request import lifecycle

ENDED_RETENTION_MS = 120_000


@dataclasses.dataclass(slots=True)
class OwnedJob:
    """A request whose client account is owned by this entry.

    :param job: the request as the planner sees it.
    :param submitters: names of the entries that wait for the outcome.
    :param is_planned: whether the job is queued or placed in the planner.
    """

    request: lifecycle.Request
    job: decisions.Job
    submitters: set[str] = dataclasses.field(default_factory=set)
    is_planned: bool = False

    @property
    def request_id(self) -> str:
        """ID of the request."""
        return self.request.request_id

    @property
    def account(self) -> str:
        """Client account of the request."""
        return self.request.work.account


class OwnedJobs:
    """Open jobs, and jobs that ended within ``ENDED_RETENTION_MS``."""

    __slots__ = (
        '_deadlines',
        '_delayed',
        '_ended_by_id',
        '_jobs_by_id',
        '_ended_expirations',
    )

    def __init__(self) -> None:
        self._jobs_by_id: dict[str, OwnedJob] = {}
        self._ended_by_id: dict[str, lifecycle.Request] = {}
        self._ended_expirations: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._delayed: list[tuple[int, str]] = []
        self._deadlines: list[tuple[int, str]] = []

    def __iter__(self) -> t.Iterator[OwnedJob]:
        return iter(list(self._jobs_by_id.values()))

    def __len__(self) -> int:
        return len(self._jobs_by_id)

    def find(self, request_id: str) -> OwnedJob | None:
        """Return an open job, if there is one of this ID."""
        return self._jobs_by_id.get(request_id)

    def find_ended(self, request_id: str) -> lifecycle.Request | None:
        """Return a request that ended recently, if it is still known."""
        return self._ended_by_id.get(request_id)

    def of_account(self, account: str) -> list[OwnedJob]:
        """Return the open jobs of an account."""
        return [job for job in self if job.account == account]

    def add(self, work: messages.Work, fingerprint: str, now: int) -> OwnedJob:
        """Add a new job."""
        request = lifecycle.Request.from_work(
            work, now, fingerprint=fingerprint
        )
        owned_job = OwnedJob(request, decisions.Job.from_work(work, now))
        self._jobs_by_id[work.request_id] = owned_job
        self._add_deadline(owned_job)
        return owned_job

    def restore(
        self, work: messages.Work, fingerprint: str, age_ms: int, now: int
    ) -> OwnedJob:
        """Add a journaled job, which may have been started already.

        :param age_ms: time since the request was accepted.
        """
        owned_job = self.add(work, fingerprint, now)
        request = owned_job.request
        request.is_journaled = True
        request.has_run = True
        request.accepted_ms = now - max(0, age_ms)
        request.deadline_at_ms = request.accepted_ms + work.deadline_ms
        owned_job.job = dataclasses.replace(
            owned_job.job,
            submitted_ms=request.accepted_ms,
            deadline_at_ms=request.deadline_at_ms,
        )
        self._add_deadline(owned_job)
        return owned_job

    def _add_deadline(self, owned_job: OwnedJob) -> None:
        deadline = (owned_job.request.deadline_at_ms, owned_job.request_id)
        heapq.heappush(self._deadlines, deadline)

    def drop(self, owned_job: OwnedJob) -> None:
        """Remove an open job."""
        self._jobs_by_id.pop(owned_job.request_id, None)

    def end(self, owned_job: OwnedJob, now: int) -> None:
        """Move a job to the ended ones, without its body.

        It is retained for ``ENDED_RETENTION_MS`` to answer repeated
        submissions.
        """
        self.drop(owned_job)
        owned_job.request.drop_body()
        self._ended_by_id[owned_job.request_id] = owned_job.request
        self._ended_expirations.append(
            (now + ENDED_RETENTION_MS, owned_job.request_id)
        )

    def delay(self, owned_job: OwnedJob, until_ms: int) -> None:
        """Mark a job as not planned until the given time."""
        owned_job.is_planned = False
        heapq.heappush(self._delayed, (until_ms, owned_job.request_id))

    def take_delayed(self, now: int) -> list[OwnedJob]:
        """Remove and return the delayed jobs that are due for planning."""
        due = self._take_due(self._delayed, now)
        return [owned_job for owned_job in due if not owned_job.is_planned]

    def take_overdue(self, now: int) -> list[OwnedJob]:
        """Remove and return the jobs whose deadline has passed.

        Cancelled jobs are left out.
        """
        due = self._take_due(self._deadlines, now)
        return [
            owned_job
            for owned_job in due
            if not owned_job.request.is_cancelled
        ]

    def _take_due(
        self, heap: list[tuple[int, str]], now: int
    ) -> list[OwnedJob]:
        due = []
        while heap and heap[0][0] <= now:
            _, request_id = heapq.heappop(heap)
            owned_job = self._jobs_by_id.get(request_id)
            if owned_job is not None:
                due.append(owned_job)
        return due

    def expire_ended(self, now: int) -> None:
        """Remove ended jobs after their retention.

        A journaled job is retained until its result is in the store.
        """
        while self._ended_expirations and self._ended_expirations[0][0] <= now:
            _, request_id = self._ended_expirations.popleft()
            request = self._ended_by_id[request_id]
            if request.is_journaled and not request.is_result_stored:
                self._ended_expirations.append(
                    (now + ENDED_RETENTION_MS, request_id)
                )
            else:
                del self._ended_by_id[request_id]
