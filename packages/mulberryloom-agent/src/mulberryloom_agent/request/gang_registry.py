"""Registry of the gangs that have a member on this worker."""

import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages

from .. import effects
from . import coordinator as coordinators
from . import member as members
from ..process import ledger
from ..process import worker
from . import single

if t.TYPE_CHECKING:
    from ..process import membership


class GangRegistry:
    """Coordinators and members on this worker, by attempt.

    A gang is listed as a coordinator if it is coordinated here, otherwise
    as a member.

    :param local_worker: the worker of this agent.
    :param entries: sessions to the entries.
    """

    __slots__ = (
        'coordinators_by_key',
        'members_by_key',
        '_entries',
        '_worker',
    )

    def __init__(
        self, local_worker: worker.Worker, entries: 'membership.Membership'
    ) -> None:
        self.coordinators_by_key: dict[
            ledger.TaskKey, coordinators.Coordinator
        ] = {}
        self.members_by_key: dict[ledger.TaskKey, members.Member] = {}
        self._worker = local_worker
        self._entries = entries

    @property
    def is_busy(self) -> bool:
        """Whether any gang runs here or has an end still to be reported."""
        return bool(self.coordinators_by_key or self.members_by_key)

    def contains(self, key: ledger.TaskKey) -> bool:
        """Tell whether an attempt belongs to a registered gang."""
        return key in self.coordinators_by_key or key in self.members_by_key

    def commit_if_ready(
        self, gang: coordinators.Coordinator, now_ms: int
    ) -> list[effects.Output]:
        """Commit a gang whose members are all prepared."""
        if not gang.is_ready(now_ms):
            return []
        if not self._worker.mark_started(gang.local_task, now_ms):
            return self.drop_staged(gang.key, released_error(), now_ms)
        self._worker.state_version += 1
        outputs = gang.commit(now_ms)
        key = gang.key
        started = messages.TaskStarted(key.request_id, key.attempt)
        for entry in gang.requesters:
            outputs.append(self._entries.send(entry, started))
        return outputs

    def start_member(
        self, key: ledger.TaskKey, member: members.Member, now_ms: int
    ) -> list[effects.Output]:
        """Start a staged member, or report the phase of one that ended.

        A member whose request must not start any more is dropped.
        """
        if member.phase == members.Phase.STAGED:
            if not self._worker.mark_started(member.local_task, now_ms):
                member.local_task.drop(released_error(), now_ms)
                return []
            self._worker.state_version += 1
            outputs = member.start(now_ms)
            return outputs + member.report_phase(
                key.request_id, key.attempt, now_ms
            )
        if member.phase == members.Phase.RUNNING:
            return []
        return member.report_phase(key.request_id, key.attempt, now_ms)

    def drop_staged(
        self, key: ledger.TaskKey, error: exceptions.Error, now_ms: int
    ) -> list[effects.Output]:
        """Drop a gang or a member that has not been committed."""
        gang = self.coordinators_by_key.get(key)
        if gang is not None:
            if gang.phase != coordinators.Phase.PREPARING:
                return []
            outputs = gang.stop(error, now_ms)
            return outputs + self.report_if_ended(gang, now_ms)
        member = self.members_by_key[key]
        if member.phase == members.Phase.STAGED:
            member.local_task.drop(error, now_ms)
        return []

    def report_if_ended(
        self, gang: coordinators.Coordinator, now_ms: int
    ) -> list[effects.Output]:
        """Remove a gang that has ended and report its outcome."""
        if gang.outcome is None or gang.key not in self.coordinators_by_key:
            return []
        del self.coordinators_by_key[gang.key]
        self._worker.outcomes.add(
            gang.key, gang.outcome, gang.requesters, now_ms
        )
        return single.report_outcome(
            self._entries, gang.key, gang.outcome, gang.requesters
        )

    def forbid_unseen(self, key: ledger.TaskKey, now_ms: int) -> None:
        """Refuse later messages that would start an unknown attempt."""
        if self._worker.outcomes.get(key) is None:
            self._worker.forbid_attempt(key, now_ms)
            outcome = messages.Outcome(error=released_error())
            self._worker.outcomes.add(key, outcome, [], now_ms)

    def keys(self) -> list[ledger.TaskKey]:
        """Return the attempts of all registered gangs."""
        return [*self.coordinators_by_key, *self.members_by_key]


def stop_message(peer: identity.PeerId, key: ledger.TaskKey) -> effects.Output:
    """Return the output that tells a member's agent to stop the member."""
    info = messages.GangMember(peer.name, peer.incarnation, '', 0)
    message = messages.StopMember(key.request_id, key.attempt)
    return coordinators.send_to(info, message)


def released_error() -> exceptions.Error:
    """Return the error of a reservation that was released."""
    return stopped_error('reservation released', exceptions.Ran.NO)


def stopped_error(
    detail: str, ran: exceptions.Ran | None = None
) -> exceptions.Error:
    """Return a ``GANG_STOPPED`` error."""
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.GANG_STOPPED, detail, ran=ran
    )
