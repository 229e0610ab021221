"""Sans-I/O core of the agent: turns inputs and the time into outputs."""

import random as randoms
import typing as t

from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.version import follower

from .. import effects
from . import drain
from . import ledger
from . import membership
from ..request import gang
from ..request import gang_peers
from ..request import gang_registry
from ..request import single
from . import settings as settings_module
from . import worker

_Handler = t.Callable[[t.Any, int], list[effects.Output]]
_MessageHandler = t.Callable[
    [identity.PeerId, t.Any, int], list[effects.Output]
]


class AgentCore:
    """State machine of the agent; every decision is made here.

    :param settings: settings whose ``listen`` is the bound address, at
        which entries reach this agent.
    :param incarnation: incarnation of the agent, larger at each start.
    :param random: random source of the heartbeat jitter.
    """

    def __init__(
        self,
        settings: settings_module.AgentSettings,
        incarnation: int,
        random: randoms.Random,
    ) -> None:
        self._settings = settings
        self._peer_id = identity.PeerId(
            identity.Role.AGENT, settings.worker, incarnation
        )
        self._worker = worker.Worker(incarnation)
        self._entries = membership.Membership(
            self._peer_id, settings.entries, random
        )
        self._single_tasks = single.SingleTasks(self._worker, self._entries)
        self._gang_registry = gang_registry.GangRegistry(
            self._worker, self._entries
        )
        self._gangs = gang.Gangs(
            self._peer_id,
            self._gang_registry,
            self._worker,
            self._entries,
            settings.grace_ms,
        )
        self._gang_peers = gang_peers.GangPeerHandler(
            self._gang_registry, self._worker
        )
        self._follower = follower.Follower.from_process(
            core_effects.CallIds(), uses_store=False
        )
        self._drain = drain.Drain(self._worker, settings.grace_ms)
        self._handlers_by_type = self._input_handlers()
        self._handlers_by_message_type = self._message_handlers()

    @classmethod
    def from_settings(
        cls,
        settings: settings_module.AgentSettings,
        incarnation: int,
        random: randoms.Random,
    ) -> 'AgentCore':
        """Build the core of one incarnation of an agent."""
        return cls(settings, incarnation, random)

    @property
    def peer_id(self) -> identity.PeerId:
        """Peer identity of this incarnation of the agent."""
        return self._peer_id

    @property
    def worker(self) -> worker.Worker:
        """State of the worker; for reading only."""
        return self._worker

    @property
    def connected_entries(self) -> list[str]:
        """Names of the entries with a session."""
        return self._entries.connected_names

    def handle(
        self, event: effects.Input, now_ms: int
    ) -> list[effects.Output]:
        """Process one input.

        :param now_ms: monotonic time in milliseconds.
        :return: outputs for the process to execute, in order.
        """
        handler = self._handlers_by_type.get(type(event))
        outputs = handler(event, now_ms) if handler else []
        outputs += self._report_ended_tasks(now_ms)
        return outputs

    def state_version(self) -> int:
        """Return the version of the worker state."""
        return self._worker.state_version

    def config_version(self) -> int:
        """Return the configuration version in force."""
        return self._follower.configuration.version

    def state(self, now_ms: int) -> messages.WorkerState:
        """Return the worker state that heartbeats carry to entries."""
        backend = self._worker.backend
        health = backend.health
        if self._worker.is_draining:
            health = messages.BackendHealth.LEAVING
        return messages.WorkerState(
            worker=self._peer_id.name,
            incarnation=self._peer_id.incarnation,
            data_centre=self._settings.data_centre,
            rack=self._settings.rack,
            address=str(self._settings.listen),
            services=list(backend.services),
            health=health,
            capacity=self._worker.ledger.capacity,
            tasks=[
                task.state(now_ms)
                for task in self._worker.tasks_by_key.values()
            ],
            version=self._worker.state_version,
        )

    def _input_handlers(self) -> dict[type, _Handler]:
        return {
            core_effects.Received: self._on_received,
            core_effects.PeerConnected: self._on_peer_connected,
            core_effects.PeerLost: self._on_peer_lost,
            core_effects.Tick: self._on_tick,
            effects.BackendAnnounced: self._on_backend_announced,
            effects.BackendHeartbeat: self._on_backend_heartbeat,
            effects.BackendLeft: self._on_backend_left,
            effects.BackendAnswered: self._on_backend_answered,
            effects.CheckpointDone: self._on_checkpoint_done,
            effects.TaskStopped: self._on_task_stopped,
            effects.UsageReported: self._on_usage_reported,
            effects.StopRequested: self._on_stop_requested,
        }

    def _message_handlers(self) -> dict[type, _MessageHandler]:
        return {
            messages.HeartbeatReply: self._on_heartbeat_reply,
            messages.FetchConfiguration: self._on_configuration_message,
            messages.ConfigurationDocument: self._on_configuration_message,
            messages.StartTask: self._on_start_task,
            messages.CancelTask: self._on_cancel_task,
            messages.PreemptTask: self._on_preempt_task,
            messages.ForbidTask: self._on_forbid_task,
            messages.PrepareGang: self._gangs.on_prepare,
            messages.ReleaseGang: self._gangs.on_release,
            messages.MemberPrepared: self._gang_peers.on_prepared,
            messages.MemberRefused: self._gang_peers.on_refused,
            messages.StartMember: self._gang_peers.on_start,
            messages.MemberAlive: self._gang_peers.on_alive,
            messages.MemberEnded: self._gang_peers.on_ended,
            messages.StopMember: self._gang_peers.on_stop,
        }

    def _on_received(
        self, event: core_effects.Received, now_ms: int
    ) -> list[effects.Output]:
        handler = self._handlers_by_message_type.get(type(event.message))
        if handler is None:
            return []
        return handler(event.peer, event.message, now_ms)

    def _on_peer_connected(
        self, event: core_effects.PeerConnected, now_ms: int
    ) -> list[effects.Output]:
        if event.peer.role != identity.Role.ENTRY:
            return []
        resend_since_ms = self._entries.on_connected(event.peer, now_ms)
        outputs: list[effects.Output] = []
        if resend_since_ms is not None:
            outputs = self._single_tasks.resend(
                event.peer.name, resend_since_ms
            )
        if self._worker.is_draining:
            outputs.append(
                self._entries.send(event.peer.name, self._leave_message())
            )
        return outputs

    def _on_peer_lost(
        self, event: core_effects.PeerLost, now_ms: int
    ) -> list[effects.Output]:
        if event.peer.role == identity.Role.ENTRY:
            self._entries.on_lost(event.peer, now_ms)
        return []

    def _on_tick(
        self, event: core_effects.Tick, now_ms: int
    ) -> list[effects.Output]:
        del event
        outputs: list[effects.Output] = []
        if self._worker.backend.tick(now_ms):
            self._worker.state_version += 1
            outputs += self._gangs.drop_staged(now_ms)
        self._worker.outcomes.tick(now_ms)
        self._worker.run_records.tick(now_ms)
        for task in list(self._worker.tasks_by_key.values()):
            phase = task.phase
            outputs += task.tick(now_ms)
            if task.phase != phase:
                self._worker.state_version += 1
        outputs += self._gangs.tick(now_ms)
        outputs += self._drain.tick(self._gang_registry.is_busy, now_ms)
        outputs += self._entries.tick(self, now_ms)
        return outputs

    def _on_backend_announced(
        self, event: effects.BackendAnnounced, now_ms: int
    ) -> list[effects.Output]:
        if self._worker.backend.announce(event, now_ms):
            self._worker.ledger.resize(event.capacity)
            self._worker.state_version += 1
        return []

    def _on_backend_heartbeat(
        self, event: effects.BackendHeartbeat, now_ms: int
    ) -> list[effects.Output]:
        del event
        if self._worker.backend.heartbeat(now_ms):
            self._worker.state_version += 1
        return []

    def _on_backend_left(
        self, event: effects.BackendLeft, now_ms: int
    ) -> list[effects.Output]:
        del event
        if not self._worker.backend.leave():
            return []
        self._worker.state_version += 1
        outputs = self._entries.broadcast(self._leave_message())
        outputs += self._gangs.drop_staged(now_ms)
        return outputs

    def _on_backend_answered(
        self, event: effects.BackendAnswered, now_ms: int
    ) -> list[effects.Output]:
        task = self._find_task(event.request_id, event.attempt)
        if task is None:
            return []
        return self._mark_changed(task.on_answer(event.result, now_ms))

    def _on_checkpoint_done(
        self, event: effects.CheckpointDone, now_ms: int
    ) -> list[effects.Output]:
        task = self._find_task(event.request_id, event.attempt)
        if task is None:
            return []
        return self._mark_changed(task.on_checkpoint(event.is_saved, now_ms))

    def _on_task_stopped(
        self, event: effects.TaskStopped, now_ms: int
    ) -> list[effects.Output]:
        task = self._find_task(event.request_id, event.attempt)
        if task is None:
            return []
        return task.on_stopped(event.is_confirmed, now_ms)

    def _on_usage_reported(
        self, event: effects.UsageReported, now_ms: int
    ) -> list[effects.Output]:
        outputs: list[effects.Output] = []
        for usage in event.usages:
            task = self._find_task(usage.request_id, usage.attempt)
            if task is not None:
                outputs += task.on_usage(usage, now_ms)
        if outputs:
            self._worker.state_version += 1
        return outputs

    def _on_stop_requested(
        self, event: effects.StopRequested, now_ms: int
    ) -> list[effects.Output]:
        del event
        if self._worker.is_draining:
            return []
        self._drain.begin(now_ms)
        outputs = self._entries.broadcast(self._leave_message())
        outputs += self._gangs.drop_staged(now_ms)
        return outputs

    def _on_heartbeat_reply(
        self,
        peer: identity.PeerId,
        message: messages.HeartbeatReply,
        now_ms: int,
    ) -> list[effects.Output]:
        self._entries.on_heartbeat_reply(peer, message)
        version = message.config_version
        return self._follower.on_peer_version(peer, version, now_ms)

    def _on_configuration_message(
        self,
        peer: identity.PeerId,
        message: messages.FetchConfiguration | messages.ConfigurationDocument,
        now_ms: int,
    ) -> list[effects.Output]:
        previous_version = self.config_version()
        outputs = self._follower.on_message(peer, message, now_ms)
        if self.config_version() != previous_version:
            self._worker.shares.configure(self._follower.configuration)
        return outputs

    def _on_start_task(
        self, peer: identity.PeerId, message: messages.StartTask, now_ms: int
    ) -> list[effects.Output]:
        if peer.role != identity.Role.ENTRY:
            return []
        key = ledger.TaskKey(message.work.request_id, message.attempt)
        if self._gang_registry.contains(key):
            return self._gangs.add_requester(key, peer.name)
        return self._single_tasks.start(peer.name, message, now_ms)

    def _on_cancel_task(
        self, peer: identity.PeerId, message: messages.CancelTask, now_ms: int
    ) -> list[effects.Output]:
        if peer.role != identity.Role.ENTRY:
            return []
        key = ledger.TaskKey(message.request_id, message.attempt)
        if self._gang_registry.contains(key):
            return self._gangs.cancel(key, peer.name, now_ms)
        return self._mark_changed(
            self._single_tasks.cancel(peer.name, key, now_ms)
        )

    def _on_preempt_task(
        self,
        peer: identity.PeerId,
        message: messages.PreemptTask,
        now_ms: int,
    ) -> list[effects.Output]:
        key = ledger.TaskKey(message.request_id, message.attempt)
        if peer.role == identity.Role.AGENT:
            if not self._gangs.is_coordinator(key, peer):
                return []
        elif self._worker.accept_epoch(message.for_account, message.epoch):
            return []
        task = self._worker.tasks_by_key.get(key)
        if task is None:
            return []
        self._worker.holds.register_preemption(key, message.for_account)
        outputs = self._gangs.preempt(message, now_ms)
        detail = f'for {message.for_account}'
        outputs += task.preempt(message.grace_ms, now_ms, detail)
        return self._mark_changed(outputs)

    def _on_forbid_task(
        self, peer: identity.PeerId, message: messages.ForbidTask, now_ms: int
    ) -> list[effects.Output]:
        if peer.role != identity.Role.ENTRY:
            return []
        has_started = self._worker.forbid(message.request_id, now_ms)
        outputs: list[effects.Output] = []
        if not has_started:
            outputs = self._gangs.forbid(message.request_id, now_ms)
        reply = messages.TaskForbidden(message.request_id, has_started)
        outputs.append(self._entries.send(peer.name, reply))
        return outputs

    def _report_ended_tasks(self, now_ms: int) -> list[effects.Output]:
        outputs: list[effects.Output] = []
        for task in list(self._worker.tasks_by_key.values()):
            if task.outcome is None:
                continue
            task_outputs = self._single_tasks.on_task_ended(task, now_ms)
            if task_outputs is None:
                task_outputs = self._gangs.on_task_ended(task, now_ms)
            outputs += task_outputs
        self._worker.release_ended(now_ms)
        return outputs

    def _mark_changed(
        self, outputs: list[effects.Output]
    ) -> list[effects.Output]:
        self._worker.state_version += 1
        return outputs

    def _find_task(self, request_id: str, attempt: int):
        return self._worker.tasks_by_key.get(
            ledger.TaskKey(request_id, attempt)
        )

    def _leave_message(self) -> messages.AgentLeave:
        return messages.AgentLeave(
            self._peer_id.name,
            self._peer_id.incarnation,
            self._worker.state_version,
        )
