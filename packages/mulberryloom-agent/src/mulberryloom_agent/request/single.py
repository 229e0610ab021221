"""Requests that run on a single worker."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from result import Err
from result import Ok

from .. import effects
from ..process import ledger
from ..process import worker
from . import task

if t.TYPE_CHECKING:
    from ..process import membership


class SingleTasks:
    """Starts single tasks and reports their ends to the entries.

    :param local_worker: the worker of this agent.
    :param entries: sessions to the entries.
    """

    __slots__ = ('_entries', '_requesters_by_key', '_worker')

    def __init__(
        self, local_worker: worker.Worker, entries: 'membership.Membership'
    ) -> None:
        self._worker = local_worker
        self._entries = entries
        self._requesters_by_key: dict[ledger.TaskKey, list[str]] = {}

    def start(
        self, entry: str, message: messages.StartTask, now_ms: int
    ) -> list[effects.Output]:
        """Start an attempt, or answer a repeated message about it."""
        work = message.work
        key = ledger.TaskKey(work.request_id, message.attempt)
        if message.incarnation != self._worker.incarnation:
            return [
                self._send_ended(
                    entry, key, _stale_incarnation_outcome(message.incarnation)
                )
            ]
        if key in self._requesters_by_key:
            self._worker.accept_epoch(work.account, message.epoch)
            return self._repeat_started(entry, key)
        ended_attempt = self._worker.outcomes.get(key)
        if ended_attempt is not None:
            _add_requester(ended_attempt.requesters, entry)
            return [self._send_ended(entry, key, ended_attempt.outcome)]
        admission = worker.AdmissionRequest(
            work,
            message.attempt,
            work.demand.member(work.demand.accelerators),
            message.epoch,
            message.is_claimed,
        )
        match self._worker.admit(admission, now_ms):
            case Err(error):
                outcome = messages.Outcome(error=error)
                return self._report(key, outcome, [entry], now_ms)
            case Ok(reservation):
                new_task = task.Task(
                    work, message.attempt, reservation, now_ms
                )
                return self._run(entry, new_task, now_ms)

    def cancel(
        self, entry: str, key: ledger.TaskKey, now_ms: int
    ) -> list[effects.Output]:
        """Stop an attempt, or forbid it if it has not been seen."""
        requesters = self._requesters_by_key.get(key)
        if requesters is not None:
            _add_requester(requesters, entry)
            current_task = self._worker.tasks_by_key[key]
            error = exceptions.Error.from_kind(exceptions.ErrorKind.CANCELLED)
            return current_task.stop(error, now_ms)
        ended_attempt = self._worker.outcomes.get(key)
        if ended_attempt is not None:
            return [self._send_ended(entry, key, ended_attempt.outcome)]
        is_unstarted = self._worker.forbid_attempt(key, now_ms)
        ran = exceptions.Ran.UNKNOWN
        if is_unstarted:
            ran = exceptions.Ran.NO
        outcome = messages.Outcome(
            error=exceptions.Error.from_kind(
                exceptions.ErrorKind.CANCELLED, ran=ran
            )
        )
        return self._report(key, outcome, [entry], now_ms)

    def on_task_ended(
        self, ended_task: task.Task, now_ms: int
    ) -> list[effects.Output] | None:
        """Report the end of a task, once.

        :return: ``None`` if the task is not a single task or has been
            reported.
        """
        requesters = self._requesters_by_key.pop(ended_task.key, None)
        if requesters is None:
            return None
        if _did_not_run(ended_task.outcome):
            self._worker.mark_not_started(ended_task, now_ms)
        return self._report(
            ended_task.key, ended_task.outcome, requesters, now_ms
        )

    def resend(self, entry: str, since_ms: int) -> list[effects.Output]:
        """Repeat the ends that the last session to an entry may have lost.

        :param since_ms: earliest end to repeat.
        """
        return [
            self._send_ended(entry, key, ended_attempt.outcome)
            for key, ended_attempt in self._worker.outcomes.outcomes_sent_to(
                entry, since_ms
            )
        ]

    def _run(
        self, entry: str, new_task: task.Task, now_ms: int
    ) -> list[effects.Output]:
        self._worker.add_task(new_task)
        self._worker.mark_started(new_task, now_ms)
        self._requesters_by_key[new_task.key] = [entry]
        outputs = new_task.start(now_ms)
        outputs.append(self._send_started(entry, new_task.key))
        return outputs

    def _repeat_started(
        self, entry: str, key: ledger.TaskKey
    ) -> list[effects.Output]:
        _add_requester(self._requesters_by_key[key], entry)
        return [self._send_started(entry, key)]

    def _report(
        self,
        key: ledger.TaskKey,
        outcome: messages.Outcome,
        requesters: list[str],
        now_ms: int,
    ) -> list[effects.Output]:
        self._worker.outcomes.add(key, outcome, requesters, now_ms)
        return report_outcome(self._entries, key, outcome, requesters)

    def _send_started(self, entry: str, key: ledger.TaskKey) -> effects.Output:
        message = messages.TaskStarted(key.request_id, key.attempt)
        return self._entries.send(entry, message)

    def _send_ended(
        self, entry: str, key: ledger.TaskKey, outcome: messages.Outcome
    ) -> effects.Output:
        message = messages.TaskEnded(key.request_id, key.attempt, outcome)
        return self._entries.send(entry, message)


def report_outcome(
    entries: 'membership.Membership',
    key: ledger.TaskKey,
    outcome: messages.Outcome,
    requesters: list[str],
) -> list[effects.Output]:
    """Report the end of an attempt to the entries that asked for it.

    If none of them is connected any more, it is sent to every connected
    entry too, since another entry may have taken over the request.
    """
    message = messages.TaskEnded(key.request_id, key.attempt, outcome)
    names = list(requesters)
    if not set(requesters) & set(entries.connected_names):
        names += entries.connected_names
    return [entries.send(name, message) for name in names]


def _add_requester(requesters: list[str], entry: str) -> None:
    if entry not in requesters:
        requesters.append(entry)


def _did_not_run(outcome: messages.Outcome | None) -> bool:
    if outcome is None or outcome.error is None:
        return False
    return outcome.error.ran == exceptions.Ran.NO


def _stale_incarnation_outcome(incarnation: int) -> messages.Outcome:
    return messages.Outcome(
        error=exceptions.Error.from_kind(
            exceptions.ErrorKind.STALE_INCARNATION,
            f'task is for incarnation {incarnation}, not for this run of '
            'the agent',
            retry_after_ms=worker.RETRY_AFTER_MS,
        )
    )
