"""Simulated backend servers of whole-system fuzzing, with their run log."""

import dataclasses
import hashlib

from mulberryloom_agent import effects as agent_effects
from mulberryloom_core import exceptions
from result import Err
from result import Ok

SERVICE_TIME_MS = 700
LONG_SERVICE_TIME_MS = 15_000
LEASE_MS = 3_000


@dataclasses.dataclass(slots=True)
class Run:
    """Run of one attempt, or of one gang member, on a backend server.

    :param ends_ms: planned end, in simulated milliseconds.
    :param lease_expires_ms: end of the task lease; ``None`` before its first
        renewal.
    :param ended_ms: actual end; ``None`` while the run is open.
    :param is_successful: whether the run finished and returned its result.
    """

    request_id: str
    attempt: int
    member: int
    members: int
    worker: str
    incarnation: int
    body: bytes
    started_ms: int
    ends_ms: int
    lease_expires_ms: int | None = None
    ended_ms: int | None = None
    is_successful: bool = False


def expected_answer(body: bytes) -> bytes:
    """Return the only correct answer to a request body."""
    return hashlib.sha256(body).hexdigest().encode() + b':' + body


def service_time_ms(method: str) -> int:
    """Return the duration of a run of a method, in milliseconds."""
    return LONG_SERVICE_TIME_MS if method == 'typeset' else SERVICE_TIME_MS


class Backend:
    """Backend server of one worker VM; ends together with the VM.

    :ivar is_failing: new requests fail immediately, open ones at their
        planned end.
    :ivar is_silent: sends no heartbeats and no answers.
    :ivar has_left_ms: time at which the server announced its leave; ``None``
        before.
    """

    def __init__(self, worker: str, incarnation: int) -> None:
        self.worker = worker
        self.incarnation = incarnation
        self.is_failing = False
        self.is_silent = False
        self.has_left_ms: int | None = None
        self.runs: list[Run] = []
        self._open_runs: list[Run] = []

    def call(self, call: agent_effects.CallBackend, now_ms: int) -> None:
        """Start a run; it ends after the service time of its method."""
        run = Run(
            call.request_id,
            call.attempt,
            call.member,
            call.members,
            self.worker,
            self.incarnation,
            call.body,
            now_ms,
            now_ms
            if self.is_failing
            else now_ms + service_time_ms(call.method),
        )
        self.runs.append(run)
        self._open_runs.append(run)

    def renew(self, request_id: str, attempt: int, expires_ms: int) -> None:
        """Renew the platform's lease of a task."""
        for run in self._open_runs:
            if (run.request_id, run.attempt) == (request_id, attempt):
                run.lease_expires_ms = expires_ms

    def stop(self, request_id: str, attempt: int, now_ms: int) -> None:
        """Stop a task without an answer."""
        for run in list(self._open_runs):
            if (run.request_id, run.attempt) == (request_id, attempt):
                self._close(run, now_ms)

    def stop_all(self, now_ms: int) -> None:
        """Stop all tasks when the VM is killed."""
        for run in list(self._open_runs):
            self._close(run, now_ms)

    def advance(self, now_ms: int) -> list[agent_effects.BackendAnswered]:
        """End runs that are due or whose lease expired; return the answers."""
        answers = []
        for run in list(self._open_runs):
            if (
                run.lease_expires_ms is not None
                and now_ms > run.lease_expires_ms
            ):
                self._close(run, now_ms)
                answers.append(
                    self._unreachable_answer(run, 'task lease expired')
                )
            elif now_ms >= run.ends_ms and not self.is_silent:
                run.is_successful = not self.is_failing
                self._close(run, now_ms)
                answers.append(self._answer(run))
        return answers

    def _close(self, run: Run, now_ms: int) -> None:
        run.ended_ms = now_ms
        self._open_runs.remove(run)

    def _answer(self, run: Run) -> agent_effects.BackendAnswered:
        status = 200 if run.is_successful else 500
        answer = agent_effects.BackendAnswer(
            status, 'text/plain', expected_answer(run.body)
        )
        return agent_effects.BackendAnswered(
            run.request_id, run.attempt, Ok(answer)
        )

    def _unreachable_answer(
        self, run: Run, detail: str
    ) -> agent_effects.BackendAnswered:
        error = exceptions.Error.from_kind(
            exceptions.ErrorKind.BACKEND_UNREACHABLE,
            detail,
            ran=exceptions.Ran.UNKNOWN,
        )
        return agent_effects.BackendAnswered(
            run.request_id, run.attempt, Err(error)
        )
