"""State machine of a request, from acceptance to its final outcome."""

import dataclasses
import enum
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages

if t.TYPE_CHECKING:
    from .budget import RetryBudget

#: Number of failed attempts that end a request. A journaled request is
#: retried beyond it after the loss of a worker or the stop of a gang.
MAX_ATTEMPTS = 4
#: Number of healthy workers whose failures end a request.
MAX_HEALTHY_WORKER_FAILURES = 2
#: Default delay that a caller is asked to keep before it retries.
RETRY_AFTER_MS = 1_000
#: Memory demand of the attempt after one that exceeded its memory, relative
#: to the memory that it used.
MEMORY_GROWTH_PERCENT = 150

_Kind = exceptions.ErrorKind
_Ran = exceptions.Ran

#: Refusals that end the request. A journaled request still awaits the store
#: after ``STORE_UNAVAILABLE``.
_FINAL_REFUSALS = frozenset(
    {
        _Kind.CANCELLED,
        _Kind.DEADLINE_PASSED,
        _Kind.DEADLINE_UNREACHABLE,
        _Kind.IDEMPOTENCY_KEY_IN_USE,
        _Kind.IDEMPOTENCY_KEY_REUSED,
        _Kind.MALFORMED_REQUEST,
        _Kind.NEVER_FITS,
        _Kind.STORE_UNAVAILABLE,
    }
)


class Phase(enum.Enum):
    """Phase of a request, as reported to callers."""

    ACCEPTED = 'accepted'
    CLAIMED = 'claimed'
    DISPATCHED = 'dispatched'
    RUNNING = 'running'
    ENDED = 'ended'


def failure(
    kind: exceptions.ErrorKind,
    detail: str = '',
    ran: exceptions.Ran | None = None,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> messages.Outcome:
    """Return the outcome of a request that failed.

    :param ran: whether the request ran; by default that of the kind.
    :param retry_after_ms: delay that the caller is asked to keep before it
        retries; ignored for kinds that are not retryable.
    """
    error = exceptions.Error.from_kind(
        kind, detail, ran=ran, retry_after_ms=retry_after_ms
    )
    answer = exceptions.RESPONSE_BY_KIND[kind]
    return messages.Outcome(error=error, status=answer.status)


@dataclasses.dataclass(slots=True)
class Request:
    """State machine of one request.

    :param accepted_ms: time of acceptance on the entry's clock.
    :param deadline_at_ms: time on the entry's clock at which the caller's
        deadline passes.
    :param call_id: HTTP call that awaits the answer, if any.
    :param is_journaled: whether the request is in the store's journal.
    :param is_result_stored: whether its result is in the store.
    :param has_idempotency_key: whether the caller gave an idempotency key.
    :param fingerprint: hash of the request's contents, which detects an
        idempotency key reused for another request.
    :param failed_attempts: number of failed attempts that ran or may have run.
    :param refusals: number of attempts that ended without a run.
    :param has_run: whether an attempt ran, or may have run.
    :param owner: name of the entry that schedules the request; empty on
        the fast path.
    :param tried_workers: workers to which an attempt was sent.
    :param failed_workers: healthy workers on which an attempt failed.
    :param outcome: the final outcome; ``None`` until the request ends.
    """

    work: messages.Work
    accepted_ms: int
    deadline_at_ms: int
    call_id: int | None = None
    is_journaled: bool = False
    is_result_stored: bool = False
    has_idempotency_key: bool = False
    fingerprint: str = ''
    phase: Phase = Phase.ACCEPTED
    failed_attempts: int = 0
    refusals: int = 0
    has_run: bool = False
    is_cancelled: bool = False
    started_ms: int | None = None
    ended_ms: int | None = None
    owner: str = ''
    tried_workers: set[str] = dataclasses.field(default_factory=set)
    failed_workers: set[str] = dataclasses.field(default_factory=set)
    outcome: messages.Outcome | None = None

    @classmethod
    def from_work(
        cls, work: messages.Work, now: int, **options: t.Any
    ) -> 'Request':
        """Accept work whose relative deadline starts now.

        :param now: time on the entry's clock, in milliseconds.
        """
        return cls(work, now, now + work.deadline_ms, **options)

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.work.request_id

    @property
    def is_settled(self) -> bool:
        """Whether the request has ended with a definitive outcome.

        After any other end, a repetition with the same idempotency key is
        treated as a new request.
        """
        if self.outcome is None:
            return False
        error = self.outcome.error
        if error is None or error.ran is _Ran.YES:
            return True
        return error.kind is _Kind.OUTCOME_UNKNOWN

    def work_with_remaining_deadline(self, now: int) -> messages.Work:
        """Return the work with its deadline reduced to the remaining time.

        The remaining time is at least 1 ms.
        """
        remaining_ms = max(1, self.deadline_at_ms - now)
        return dataclasses.replace(self.work, deadline_ms=remaining_ms)

    def mark_dispatched(self, workers: t.Iterable[str]) -> None:
        """Record that an attempt is sent to these workers."""
        self.phase = Phase.DISPATCHED
        self.tried_workers.update(workers)

    def mark_started(self, now: int) -> None:
        """Record that an attempt has started."""
        self.phase = Phase.RUNNING
        self.has_run = True
        if self.started_ms is None:
            self.started_ms = now

    def end(self, outcome: messages.Outcome, now: int) -> bool:
        """Set the final outcome.

        :return: false when the request has already ended.
        """
        if self.phase is Phase.ENDED:
            return False
        self.phase = Phase.ENDED
        self.outcome = outcome
        self.ended_ms = now
        return True

    def drop_body(self) -> None:
        """Release the request body, which no further attempt needs."""
        self.work = dataclasses.replace(self.work, body=b'')

    def judge(
        self,
        outcome: messages.Outcome,
        failed_worker: str | None,
        budget: 'RetryBudget',
        now: int,
    ) -> messages.Outcome | None:
        """Decide whether an attempt's outcome is final or is retried.

        :param failed_worker: worker on which the attempt failed, if that
            worker is otherwise healthy.
        :param budget: retry budget of the account.
        :return: the final outcome, or ``None`` when another attempt
            has to be made.
        """
        error = outcome.error
        if error is None:
            return outcome
        self.has_run = self.has_run or error.ran is not _Ran.NO
        if (
            error.kind is _Kind.IDEMPOTENCY_KEY_IN_USE
            and not self.has_idempotency_key
        ):
            self.phase = Phase.ACCEPTED
            return None
        if error.ran is _Ran.NO:
            return self._judge_refusal(outcome, error, now)
        self.failed_attempts += 1
        if error.kind is _Kind.CANCELLED and now >= self.deadline_at_ms:
            return failure(_Kind.DEADLINE_PASSED, ran=error.ran)
        if not self.work.is_idempotent or error.kind is _Kind.CANCELLED:
            return outcome
        if self.is_cancelled:
            return failure(_Kind.CANCELLED)
        if now >= self.deadline_at_ms:
            return failure(_Kind.DEADLINE_PASSED)
        self.phase = Phase.ACCEPTED
        if error.kind is _Kind.PREEMPTED:
            return None
        if error.kind is _Kind.MEMORY_EXCEEDED:
            self._raise_memory_demand(outcome.peak_memory_mb)
        return self._judge_failure(outcome, error, failed_worker, budget)

    def _judge_refusal(
        self, outcome: messages.Outcome, error: exceptions.Error, now: int
    ) -> messages.Outcome | None:
        self.refusals += 1
        if now >= self.deadline_at_ms:
            return self._failure_after_earlier_runs(_Kind.DEADLINE_PASSED)
        if self.is_cancelled:
            return self._failure_after_earlier_runs(_Kind.CANCELLED)
        is_store_awaited = (
            self.is_journaled and error.kind is _Kind.STORE_UNAVAILABLE
        )
        if error.kind in _FINAL_REFUSALS and not is_store_awaited:
            return dataclasses.replace(
                outcome, error=self._error_after_earlier_runs(error)
            )
        self.phase = Phase.ACCEPTED
        return None

    def _judge_failure(
        self,
        outcome: messages.Outcome,
        error: exceptions.Error,
        failed_worker: str | None,
        budget: 'RetryBudget',
    ) -> messages.Outcome | None:
        if failed_worker is not None:
            self.failed_workers.add(failed_worker)
        if len(self.failed_workers) >= MAX_HEALTHY_WORKER_FAILURES:
            return outcome
        is_lost = error.kind in (_Kind.WORKER_LOST, _Kind.GANG_STOPPED)
        if self.is_journaled and is_lost:
            return None
        if self.failed_attempts >= MAX_ATTEMPTS:
            detail = (
                f'{self.failed_attempts} attempts failed, last: {error.detail}'
            )
            return failure(_Kind.ATTEMPTS_SPENT, detail, error.ran)
        if not budget.try_spend():
            return failure(_Kind.RETRY_BUDGET_SPENT, ran=error.ran)
        return None

    def _failure_after_earlier_runs(
        self, kind: exceptions.ErrorKind
    ) -> messages.Outcome:
        """Return a failure that accounts for runs of earlier attempts."""
        ran = _Ran.UNKNOWN if self.has_run else _Ran.NO
        return failure(kind, ran=ran)

    def _error_after_earlier_runs(
        self, error: exceptions.Error
    ) -> exceptions.Error:
        """Correct ``ran`` of a refusal if an earlier attempt may have run."""
        if not self.has_run:
            return error
        return dataclasses.replace(error, ran=_Ran.UNKNOWN)

    def _raise_memory_demand(self, peak_memory_mb: int) -> None:
        demand = self.work.demand
        used_mb = max(demand.memory_mb, peak_memory_mb)
        memory_mb = used_mb * MEMORY_GROWTH_PERCENT // 100
        larger = dataclasses.replace(demand, memory_mb=memory_mb)
        self.work = dataclasses.replace(self.work, demand=larger)

    def abort_outcome(self, kind: exceptions.ErrorKind) -> messages.Outcome:
        """Return the outcome of a request that is aborted before its end.

        :param kind: reason for the abort.
        """
        is_sent = self.phase in (Phase.DISPATCHED, Phase.RUNNING)
        ran = _Ran.UNKNOWN if is_sent or self.has_run else _Ran.NO
        return failure(kind, ran=ran)
