"""Handling of messages between a gang's members and its coordinator."""

import typing as t

from mulberryloom_core import identity
from mulberryloom_core import messages

from .. import effects
from . import coordinator as coordinators
from . import gang_registry
from . import member as members
from ..process import ledger
from ..process import worker

_MemberMessage: t.TypeAlias = (
    messages.MemberPrepared
    | messages.MemberRefused
    | messages.MemberAlive
    | messages.MemberEnded
)


class GangPeerHandler:
    """Processes the messages that the agents of a gang exchange.

    :param registry: the gangs on this worker.
    :param local_worker: the worker of this agent.
    """

    __slots__ = ('_registry', '_worker')

    def __init__(
        self, registry: gang_registry.GangRegistry, local_worker: worker.Worker
    ) -> None:
        self._registry = registry
        self._worker = local_worker

    def on_prepared(
        self,
        peer: identity.PeerId,
        message: messages.MemberPrepared,
        now_ms: int,
    ) -> list[effects.Output]:
        """Record a prepared member; commit if all members are prepared."""
        key, gang, index = self._resolve(peer, message)
        if gang is None or index is None:
            return self._stop_if_unknown(
                peer, key, can_precede_reservation=True
            )
        outputs = gang.on_prepared(index, now_ms)
        return outputs + self._registry.commit_if_ready(gang, now_ms)

    def on_refused(
        self,
        peer: identity.PeerId,
        message: messages.MemberRefused,
        now_ms: int,
    ) -> list[effects.Output]:
        """Stop a gang after a member has refused its reservation."""
        key, gang, index = self._resolve(peer, message)
        if gang is None or index is None:
            return self._stop_if_unknown(
                peer, key, can_precede_reservation=True
            )
        outputs = gang.on_refused(index, message.error, now_ms)
        return outputs + self._registry.report_if_ended(gang, now_ms)

    def on_alive(
        self,
        peer: identity.PeerId,
        message: messages.MemberAlive,
        now_ms: int,
    ) -> list[effects.Output]:
        """Process a heartbeat of a member or of the coordinator.

        A coordinator sends heartbeats only after the commit, so a heartbeat
        of the coordinator starts a member that is still staged.
        """
        key, gang, index = self._resolve(peer, message)
        if gang is not None and index is not None:
            gang.on_alive(index, now_ms)
            return []
        member = self._registry.members_by_key.get(key)
        if member is None or not member.is_coordinator(peer):
            return self._stop_if_unknown(
                peer, key, can_precede_reservation=False
            )
        member.on_coordinator_message(now_ms)
        return self._registry.start_member(key, member, now_ms)

    def on_start(
        self,
        peer: identity.PeerId,
        message: messages.StartMember,
        now_ms: int,
    ) -> list[effects.Output]:
        """Start a member of a committed gang."""
        key = ledger.TaskKey(message.request_id, message.attempt)
        member = self._registry.members_by_key.get(key)
        if member is None or not member.is_coordinator(peer):
            return []
        member.on_coordinator_message(now_ms)
        return self._registry.start_member(key, member, now_ms)

    def on_ended(
        self,
        peer: identity.PeerId,
        message: messages.MemberEnded,
        now_ms: int,
    ) -> list[effects.Output]:
        """Process the end of a member and acknowledge it."""
        key, gang, index = self._resolve(peer, message)
        if gang is None or index is None:
            return self._stop_if_unknown(
                peer, key, can_precede_reservation=False
            )
        outputs = gang.on_ended(index, message.outcome, now_ms)
        outputs += [gang_registry.stop_message(peer, key)]
        return outputs + self._registry.report_if_ended(gang, now_ms)

    def on_stop(
        self,
        peer: identity.PeerId,
        message: messages.StopMember,
        now_ms: int,
    ) -> list[effects.Output]:
        """Stop a member, or remove one that has ended.

        An unknown attempt is refused from now on.
        """
        key = ledger.TaskKey(message.request_id, message.attempt)
        member = self._registry.members_by_key.get(key)
        if member is None:
            if key not in self._registry.coordinators_by_key:
                self._registry.forbid_unseen(key, now_ms)
            return []
        if not member.is_coordinator(peer):
            return []
        if member.phase in (members.Phase.REFUSED, members.Phase.ENDED):
            del self._registry.members_by_key[key]
            return []
        return member.local_task.stop(
            gang_registry.stopped_error('stopped by the coordinator'), now_ms
        )

    def _resolve(
        self, peer: identity.PeerId, message: _MemberMessage
    ) -> tuple[ledger.TaskKey, coordinators.Coordinator | None, int | None]:
        """Return the attempt, its coordinator and the sender's index.

        The last two are ``None`` if the gang is not coordinated here; the
        index is ``None`` if the sender runs no member of it.
        """
        key = ledger.TaskKey(message.request_id, message.attempt)
        gang = self._registry.coordinators_by_key.get(key)
        is_agent = peer.role == identity.Role.AGENT
        if gang is None or not is_agent:
            return key, None, None
        return key, gang, gang.index_of(peer)

    def _stop_if_unknown(
        self,
        peer: identity.PeerId,
        key: ledger.TaskKey,
        *,
        can_precede_reservation: bool,
    ) -> list[effects.Output]:
        """Stop a member whose gang is not coordinated here any more.

        :param can_precede_reservation: whether the message can arrive
            before the coordinator's own ``PrepareGang``. Then an attempt
            without an outcome is ignored; the member sends its message
            again.
        """
        if peer.role != identity.Role.AGENT or self._registry.contains(key):
            return []
        if can_precede_reservation and self._worker.outcomes.get(key) is None:
            return []
        return [gang_registry.stop_message(peer, key)]
