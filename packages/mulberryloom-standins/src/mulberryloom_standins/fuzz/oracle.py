"""Oracle of whole-system fuzzing: invariants of answers, runs and versions."""

import collections
import dataclasses
import typing as t

import mulberryloom_agent as agent
from mulberryloom_core import exceptions
from mulberryloom_core import messages
import mulberryloom_entry as entry

from . import backends
from . import processes

if t.TYPE_CHECKING:
    from .world import World

#: Time after a backend server announced its leave, in which runs may still
#: start there.
LEAVE_GRACE_MS = 3_000
#: Longest time for which only some members of a gang may run.
PARTIAL_GANG_LIMIT_MS = 11_000


class PromiseBroken(AssertionError):
    """An invariant of the system was violated."""


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller to an entry, with its reply.

    :param label: the caller's name of the request; calls with the same
        label are attempts to submit the same request.
    :param incarnation: incarnation of the entry at the time of the call.
    :param submitted_ms: simulated time of the call.
    :param is_abandoned: the entry was killed before it replied.
    """

    call_id: int
    label: str
    entry: str
    incarnation: int
    body: bytes
    is_idempotent: bool
    is_async: bool
    submitted_ms: int
    reply: entry.Reply | None = None
    is_abandoned: bool = False


class Oracle:
    """Records calls, replies and tickets, and checks the invariants.

    :ivar accepted_by_label: request ids of accepted asynchronous requests.
    :ivar drained: names of processes that completed a graceful stop.
    :ivar accepted_tickets: configuration versions by ticket number.
    :ivar ticket_calls_by_id: ticket numbers by call id.
    """

    def __init__(self) -> None:
        self.calls_by_id: dict[int, Call] = {}
        self.accepted_by_label: dict[str, str] = {}
        self.drained: list[str] = []
        self._version_by_incarnation: dict[tuple[str, int], int] = {}
        self.tickets: dict[int, bytes] = {}
        self.accepted_tickets: dict[int, int] = {}
        self.ticket_calls_by_id: dict[int, int] = {}

    def on_answer(
        self, run: processes.EntryRun, answer: entry.Answer, now_ms: int
    ) -> None:
        """Record the reply to a call and check it."""
        if answer.call_id in self.ticket_calls_by_id:
            self._on_ticket_answer(answer)
            return
        call = self.calls_by_id.get(answer.call_id)
        if call is None:
            raise PromiseBroken(f'reply to unknown call {answer.call_id}')
        if call.reply is not None:
            raise PromiseBroken(
                f'call {call.call_id} ({call.label}) was answered twice'
            )
        call.reply = answer.reply
        if isinstance(answer.reply, entry.Accepted):
            self.accepted_by_label[call.label] = answer.reply.request_id
        self._check_outcome_body(call)

    def _on_ticket_answer(self, answer: entry.Answer) -> None:
        number = self.ticket_calls_by_id.pop(answer.call_id)
        if isinstance(answer.reply, entry.TicketAccepted):
            self.accepted_tickets[number] = answer.reply.config_version

    def on_call(
        self,
        run: processes.AgentRun,
        call: agent.CallBackend,
        now_ms: int,
    ) -> None:
        """Check that no run starts after the grace period of a leave."""
        left_ms = run.backend.has_left_ms
        if left_ms is not None and now_ms > left_ms + LEAVE_GRACE_MS:
            raise PromiseBroken(
                f'{run.me.name} started request {call.request_id} '
                f'{now_ms - left_ms} ms after its backend server left, '
                f'at most {LEAVE_GRACE_MS} ms are allowed'
            )

    def on_drained(self, name: str, now_ms: int) -> None:
        """Check that a gracefully stopped process left no call open."""
        self.drained.append(name)
        for call in self.calls_by_id.values():
            is_open = call.reply is None and not call.is_abandoned
            if call.entry == name and is_open:
                raise PromiseBroken(
                    f'{name} stopped with call {call.call_id} '
                    f'({call.label}) unanswered'
                )

    def check(self, world: 'World') -> None:
        """Check the invariants that hold at any time."""
        runs = world.all_runs()
        self._check_at_most_once(runs)
        self._check_refused_did_not_run(runs)
        self._check_gangs(runs, world.now_ms)
        self._check_versions(world)
        self._check_capacity(runs)

    def check_settled(self, world: 'World') -> None:
        """Check a system in which no fault was active for some time."""
        for call in self.calls_by_id.values():
            if call.reply is None and not call.is_abandoned:
                raise PromiseBroken(
                    f'call {call.call_id} ({call.label}) was never answered'
                )
        self._check_tickets(world)

    def _check_outcome_body(self, call: Call) -> None:
        reply = call.reply
        if not isinstance(reply, messages.Outcome):
            return
        if reply.error is None and reply.status == 200:
            if reply.body != backends.expected_answer(call.body):
                raise PromiseBroken(
                    f'call {call.call_id} ({call.label}) got body '
                    f'{reply.body[:60]!r}'
                )

    def _group_by_body(
        self, runs: list[backends.Run]
    ) -> dict[bytes, list[backends.Run]]:
        runs_by_body = collections.defaultdict(list)
        for run in runs:
            runs_by_body[run.body].append(run)
        return runs_by_body

    def _check_at_most_once(self, runs: list[backends.Run]) -> None:
        runs_by_body = self._group_by_body(runs)
        for call in self.calls_by_id.values():
            if call.is_idempotent:
                continue
            start_count_by_member = collections.Counter(
                run.member for run in runs_by_body[call.body]
            )
            for member, count in start_count_by_member.items():
                if count > 1:
                    raise PromiseBroken(
                        f'{call.label} is not idempotent, its member {member} '
                        f'started {count} times'
                    )

    def _check_refused_did_not_run(self, runs: list[backends.Run]) -> None:
        """Check that requests refused with ``ran: no`` have no run.

        Requests that were submitted more than once are not checked: another
        submission may have run.
        """
        runs_by_body = self._group_by_body(runs)
        submission_count_by_label = collections.Counter(
            call.label for call in self.calls_by_id.values()
        )
        for call in self.calls_by_id.values():
            error = error_of(call.reply)
            if error is None or error.ran is not exceptions.Ran.NO:
                continue
            if (
                submission_count_by_label[call.label] == 1
                and runs_by_body[call.body]
            ):
                raise PromiseBroken(
                    f'{call.label} was refused as not run '
                    f'({error.kind.value}: {error.detail}), but it ran'
                )

    def _check_gangs(self, runs: list[backends.Run], now_ms: int) -> None:
        """Check that members of a failed or incomplete gang are stopped."""
        gangs = collections.defaultdict(list)
        for run in runs:
            if run.members > 1:
                gangs[run.request_id, run.attempt].append(run)
        for (request_id, attempt), members in gangs.items():
            running = [run for run in members if run.ended_ms is None]
            if not running:
                continue
            since_ms = max(run.started_ms for run in members)
            failed_ends_ms = [
                run.ended_ms
                for run in members
                if run.ended_ms is not None and not run.is_successful
            ]
            if failed_ends_ms:
                since_ms = min(failed_ends_ms)
            elif len(members) == running[0].members:
                continue
            if now_ms - since_ms > PARTIAL_GANG_LIMIT_MS:
                raise PromiseBroken(
                    f'partial gang {request_id}/{attempt}: '
                    f'{len(running)} of {running[0].members} members run on '
                    f'{[run.worker for run in running]} for more than '
                    f'{PARTIAL_GANG_LIMIT_MS} ms'
                )

    def _check_versions(self, world: 'World') -> None:
        for name, run in [
            *world.entries_by_name.items(),
            *world.agents_by_name.items(),
        ]:
            version = version_of(run)
            key = (name, run.me.incarnation)
            previous_version = self._version_by_incarnation.get(key, 0)
            if version < previous_version:
                raise PromiseBroken(
                    f'{name} went from configuration version '
                    f'{previous_version} back to {version}'
                )
            self._version_by_incarnation[key] = version

    def _check_capacity(self, runs: list[backends.Run]) -> None:
        open_by_worker = collections.Counter(
            (run.worker, run.incarnation)
            for run in runs
            if run.ended_ms is None
        )
        for (worker, _), count in open_by_worker.items():
            if count > processes.CAPACITY.slots:
                raise PromiseBroken(
                    f'{worker} runs {count} requests on '
                    f'{processes.CAPACITY.slots} slots'
                )

    def _check_tickets(self, world: 'World') -> None:
        if not self.accepted_tickets:
            return
        newest_version = max(self.accepted_tickets.values())
        for name, run in [
            *world.entries_by_name.items(),
            *world.agents_by_name.items(),
        ]:
            if version_of(run) < newest_version:
                raise PromiseBroken(
                    f'{name} has configuration version {version_of(run)}, '
                    f'but {newest_version} was accepted'
                )


def error_of(reply: entry.Reply | None) -> exceptions.Error | None:
    """Return the error of a reply; ``None`` if it is not an error."""
    if isinstance(reply, exceptions.Error):
        return reply
    if isinstance(reply, messages.Outcome):
        return reply.error
    return None


def version_of(run: processes.EntryRun | processes.AgentRun) -> int:
    """Return the configuration version that a process uses."""
    if isinstance(run, processes.EntryRun):
        return run.core.configuration.version
    return run.core.config_version()
