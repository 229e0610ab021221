"""Handling of the entries' messages about gangs on this worker."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from result import Err
from result import Ok
from result import Result

from .. import effects
from . import coordinator as coordinators
from . import gang_registry
from . import member as members
from ..process import ledger
from ..process import worker
from . import single
from . import task

if t.TYPE_CHECKING:
    from ..process import membership


class Gangs:
    """Prepares, releases, preempts and ends members of gangs.

    :param own_id: identity of this agent.
    :param registry: the gangs on this worker.
    :param local_worker: the worker of this agent.
    :param entries: sessions to the entries.
    :param grace_ms: grace period for checkpoints when a member is preempted.
    """

    __slots__ = ('_entries', '_grace_ms', '_own_id', '_registry', '_worker')

    def __init__(
        self,
        own_id: identity.PeerId,
        registry: gang_registry.GangRegistry,
        local_worker: worker.Worker,
        entries: 'membership.Membership',
        grace_ms: int,
    ) -> None:
        self._own_id = own_id
        self._registry = registry
        self._worker = local_worker
        self._entries = entries
        self._grace_ms = grace_ms

    def is_coordinator(
        self, key: ledger.TaskKey, peer: identity.PeerId
    ) -> bool:
        """Tell whether a peer coordinates the gang of a local member."""
        member = self._registry.members_by_key.get(key)
        return member is not None and member.is_coordinator(peer)

    def on_prepare(
        self,
        peer: identity.PeerId,
        message: messages.PrepareGang,
        now_ms: int,
    ) -> list[effects.Output]:
        """Reserve a member, or answer a repeated message about it."""
        if peer.role != identity.Role.ENTRY or not message.members:
            return []
        key = ledger.TaskKey(message.work.request_id, message.attempt)
        if self._registry.contains(key):
            self._worker.accept_epoch(message.work.account, message.epoch)
            return self.add_requester(key, peer.name)
        ended_attempt = self._worker.outcomes.get(key)
        if ended_attempt is not None:
            return self._repeat_outcome(
                peer.name, message, ended_attempt.outcome
            )
        match self._reserve(message, now_ms):
            case Err(error):
                return self._refuse(peer.name, message, error, now_ms)
            case Ok(local_task):
                return self._stage(peer.name, message, local_task, now_ms)

    def add_requester(
        self, key: ledger.TaskKey, entry: str
    ) -> list[effects.Output]:
        """Report the start and the end of a gang to this entry too.

        Does nothing unless the gang is coordinated here.
        """
        gang = self._registry.coordinators_by_key.get(key)
        if gang is None:
            return []
        if entry not in gang.requesters:
            gang.requesters.append(entry)
        if gang.phase == coordinators.Phase.PREPARING:
            return []
        started = messages.TaskStarted(key.request_id, key.attempt)
        return [self._entries.send(entry, started)]

    def on_release(
        self,
        peer: identity.PeerId,
        message: messages.ReleaseGang,
        now_ms: int,
    ) -> list[effects.Output]:
        """Release a reservation that has not been committed."""
        key = ledger.TaskKey(message.request_id, message.attempt)
        member = self._registry.members_by_key.get(key)
        is_allowed = peer.role == identity.Role.ENTRY or (
            member is None or member.is_coordinator(peer)
        )
        if not is_allowed:
            return []
        if not self._registry.contains(key):
            self._registry.forbid_unseen(key, now_ms)
            return []
        return self._registry.drop_staged(
            key, gang_registry.released_error(), now_ms
        )

    def preempt(
        self, message: messages.PreemptTask, now_ms: int
    ) -> list[effects.Output]:
        """Preempt the whole gang if it is coordinated here."""
        key = ledger.TaskKey(message.request_id, message.attempt)
        gang = self._registry.coordinators_by_key.get(key)
        if gang is None:
            return []
        return gang.preempt(message.grace_ms, message.for_account, now_ms)

    def cancel(
        self, key: ledger.TaskKey, entry: str, now_ms: int
    ) -> list[effects.Output]:
        """Stop the whole gang if it is coordinated here, else this member."""
        error = exceptions.Error.from_kind(exceptions.ErrorKind.CANCELLED)
        gang = self._registry.coordinators_by_key.get(key)
        if gang is None:
            local_task = self._registry.members_by_key[key].local_task
            return (
                local_task.stop(_with_ran_if_staged(local_task, error), now_ms)
                if local_task
                else []
            )
        self.add_requester(key, entry)
        outputs = gang.stop(error, now_ms)
        return outputs + self._registry.report_if_ended(gang, now_ms)

    def forbid(self, request_id: str, now_ms: int) -> list[effects.Output]:
        """Drop staged members of a forbidden request."""
        error = exceptions.Error.from_kind(
            exceptions.ErrorKind.CANCELLED, 'forbidden', ran=exceptions.Ran.NO
        )
        outputs: list[effects.Output] = []
        for key in self._registry.keys():
            if key.request_id == request_id:
                outputs += self._registry.drop_staged(key, error, now_ms)
        return outputs

    def drop_staged(self, now_ms: int) -> list[effects.Output]:
        """Drop uncommitted reservations if the worker accepts no new work.

        Starting a staged member would be new work.
        """
        error = self._worker.check_accepts_work()
        if error is None:
            return []
        outputs: list[effects.Output] = []
        for key in self._registry.keys():
            outputs += self._registry.drop_staged(key, error, now_ms)
        return outputs

    def on_task_ended(
        self, ended_task: task.Task, now_ms: int
    ) -> list[effects.Output]:
        """Process the end of a member's task; repeated calls do nothing."""
        gang = self._registry.coordinators_by_key.get(ended_task.key)
        if gang is not None:
            return self._on_local_task_ended(gang, ended_task, now_ms)
        member = self._registry.members_by_key.get(ended_task.key)
        if member is None or member.phase in (
            members.Phase.REFUSED,
            members.Phase.ENDED,
        ):
            return []
        member.on_ended(ended_task.outcome, now_ms)
        self._worker.outcomes.add(
            ended_task.key, ended_task.outcome, [], now_ms
        )
        return member.report_phase(
            ended_task.key.request_id, ended_task.key.attempt, now_ms
        )

    def tick(self, now_ms: int) -> list[effects.Output]:
        """Apply leases and timeouts, and repeat reports that are due."""
        outputs: list[effects.Output] = []
        for gang in list(self._registry.coordinators_by_key.values()):
            outputs += gang.tick(now_ms)
            outputs += self._registry.report_if_ended(gang, now_ms)
        for key, member in list(self._registry.members_by_key.items()):
            outputs += member.tick(now_ms)
            if member.can_be_removed(now_ms):
                del self._registry.members_by_key[key]
            elif member.is_report_due(now_ms):
                outputs += member.report_phase(
                    key.request_id, key.attempt, now_ms
                )
        return outputs

    def _reserve(
        self, message: messages.PrepareGang, now_ms: int
    ) -> Result[task.Task, exceptions.Error]:
        error = self._check(message)
        if error is not None:
            return Err(error)
        accelerators = message.members[message.member].accelerators
        admission = worker.AdmissionRequest(
            message.work,
            message.attempt,
            message.work.demand.member(accelerators),
            message.epoch,
            message.is_claimed,
        )
        return self._worker.admit(admission, now_ms).map(
            lambda reservation: task.Task(
                message.work,
                message.attempt,
                reservation,
                now_ms,
                member=message.member,
                members=len(message.members),
                is_gang=True,
            )
        )

    def _check(self, message: messages.PrepareGang) -> exceptions.Error | None:
        kinds = exceptions.ErrorKind
        if not 0 <= message.member < len(message.members):
            return exceptions.Error.from_kind(kinds.MALFORMED_REQUEST)
        local_member = message.members[message.member]
        worker_names = {member.worker for member in message.members}
        total_accelerators = sum(
            member.accelerators for member in message.members
        )
        is_consistent = (
            local_member.worker == self._own_id.name
            and len(worker_names) == len(message.members)
            and total_accelerators == message.work.demand.accelerators
        )
        if not is_consistent:
            return exceptions.Error.from_kind(kinds.MALFORMED_REQUEST)
        if local_member.incarnation != self._own_id.incarnation:
            return exceptions.Error.from_kind(
                kinds.STALE_INCARNATION,
                retry_after_ms=worker.RETRY_AFTER_MS,
            )
        return None

    def _stage(
        self,
        entry: str,
        message: messages.PrepareGang,
        local_task: task.Task,
        now_ms: int,
    ) -> list[effects.Output]:
        self._worker.add_task(local_task)
        if message.member == 0:
            gang = coordinators.Coordinator(
                message, local_task, [entry], self._grace_ms, now_ms
            )
            self._registry.coordinators_by_key[local_task.key] = gang
            return self._registry.commit_if_ready(gang, now_ms)
        member = members.Member(message, local_task, now_ms)
        self._registry.members_by_key[local_task.key] = member
        return member.report_phase(
            local_task.key.request_id, local_task.key.attempt, now_ms
        )

    def _refuse(
        self,
        entry: str,
        message: messages.PrepareGang,
        error: exceptions.Error,
        now_ms: int,
    ) -> list[effects.Output]:
        key = ledger.TaskKey(message.work.request_id, message.attempt)
        outcome = messages.Outcome(error=error)
        if message.member == 0:
            self._worker.outcomes.add(key, outcome, [entry], now_ms)
            release = messages.ReleaseGang(key.request_id, key.attempt)
            outputs: list[effects.Output] = [
                coordinators.send_to(member, release)
                for member in message.members[1:]
            ]
            return outputs + single.report_outcome(
                self._entries, key, outcome, [entry]
            )
        if not 0 < message.member < len(message.members):
            return []
        self._worker.outcomes.add(key, outcome, [], now_ms)
        member = members.Member(message, None, now_ms)
        member.on_ended(outcome, now_ms)
        self._registry.members_by_key[key] = member
        return member.report_phase(key.request_id, key.attempt, now_ms)

    def _repeat_outcome(
        self,
        entry: str,
        message: messages.PrepareGang,
        outcome: messages.Outcome,
    ) -> list[effects.Output]:
        request_id = message.work.request_id
        if message.member == 0:
            ended = messages.TaskEnded(request_id, message.attempt, outcome)
            return [self._entries.send(entry, ended)]
        error = outcome.error or gang_registry.released_error()
        refused = messages.MemberRefused(
            request_id, message.attempt, message.member, error
        )
        return [coordinators.send_to(message.members[0], refused)]

    def _on_local_task_ended(
        self,
        gang: coordinators.Coordinator,
        ended_task: task.Task,
        now_ms: int,
    ) -> list[effects.Output]:
        if gang.phase == coordinators.Phase.PREPARING:
            outputs = gang.stop(
                ended_task.outcome.error or gang_registry.released_error(),
                now_ms,
            )
        else:
            outputs = gang.on_ended(0, ended_task.outcome, now_ms)
        return outputs + self._registry.report_if_ended(gang, now_ms)


def _with_ran_if_staged(
    local_task: task.Task, error: exceptions.Error
) -> exceptions.Error:
    """Return the error, with ``ran`` set to ``NO`` if the task is staged."""
    is_staged = local_task.phase == messages.TaskPhase.STAGED
    ran = exceptions.Ran.NO if is_staged else error.ran
    return exceptions.Error.from_kind(error.kind, error.detail, ran=ran)
