"""Live workers and entries of the region, as one entry sees them.

Agents with a session to this entry report by heartbeat; all others are
known from the digests of other entries. A digest is the periodic message in
which an entry sends the other entries its own state, the agents that report
to it and the changed states of their workers. A worker gets no new work after
``MEMBER_TIMEOUT_MS`` without a heartbeat to any entry, and none at once
after its agent announced that it leaves.
"""

import dataclasses

from mulberryloom_core import messages

MEMBER_TIMEOUT_MS = 3_000
#: Age of an agent's last heartbeat above which each digest lists the agent.
LATE_HEARTBEAT_MS = 1_500
DIGEST_STATES_MAX = 64


@dataclasses.dataclass(slots=True)
class WorkerView:
    """A worker as this entry knows it.

    :param last_seen_ms: time of the last known heartbeat to any entry.
    :param state: last state; ``None`` until the first one arrives.
    :param last_heartbeat_ms: time of the last heartbeat to this entry;
        ``None`` if the worker is known from digests only.
    :param leave_version: state version at which the worker left; ``None``
        if it has not left. A state with a higher version cancels the leave.
    :param config_version: configuration version active in the agent.
    """

    worker: str
    incarnation: int
    last_seen_ms: int
    state: messages.WorkerState | None = None
    last_heartbeat_ms: int | None = None
    leave_version: int | None = None
    config_version: int = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the worker has left and not returned since."""
        if self.leave_version is None:
            return False
        return self.state is None or self.state.version <= self.leave_version

    def update_state(self, state: messages.WorkerState) -> bool:
        """Store a state, unless a later one is known.

        :return: whether it was stored.
        """
        if self.state is not None and state.version < self.state.version:
            return False
        self.state = state
        return True

    def record_leave(self, leave: messages.AgentLeave) -> bool:
        """Record a leave, unless it is known already.

        :return: whether it is new.
        """
        known_version = self.leave_version
        if known_version is not None and leave.version <= known_version:
            return False
        self.leave_version = leave.version
        return True

    def is_schedulable(self, now_ms: int) -> bool:
        """Return whether the worker may get new work."""
        if self.state is None or self.is_leaving:
            return False
        if self.state.health is not messages.BackendHealth.HEALTHY:
            return False
        return now_ms - self.last_seen_ms < MEMBER_TIMEOUT_MS


@dataclasses.dataclass(slots=True)
class EntryView:
    """Another entry, as of its last digest."""

    info: messages.EntryInfo
    last_seen_ms: int
    config_version: int = 0
    is_draining: bool = False
    shards: list[messages.ShardInfo] = dataclasses.field(default_factory=list)
    pressures: list[messages.AccountPressure] = dataclasses.field(
        default_factory=list
    )


class Membership:
    """Views of all workers and entries of the region.

    Construct it with :meth:`from_identity`.
    """

    def __init__(self, own_info: messages.EntryInfo) -> None:
        self._own_info = own_info
        self.workers_by_name: dict[str, WorkerView] = {}
        self.entries_by_name: dict[str, EntryView] = {}
        self._changed_workers: dict[str, None] = {}
        self._pending_leaves_by_worker: dict[str, messages.AgentLeave] = {}
        self._last_sent_agents: list[messages.AgentAlive] = []
        self._agents_by_entry: dict[str, list[messages.AgentAlive]] = {}

    @classmethod
    def from_identity(cls, own_info: messages.EntryInfo) -> 'Membership':
        """Build the empty membership of an entry.

        :param own_info: identity of this entry.
        """
        return cls(own_info)

    def on_heartbeat(
        self, heartbeat: messages.AgentHeartbeat, now_ms: int
    ) -> bool:
        """Update a worker from a heartbeat of its agent to this entry.

        :return: whether the agent has to send its full state.
        """
        view = self._view_of(heartbeat.worker, heartbeat.incarnation, now_ms)
        if view is None:
            return False
        view.last_seen_ms = now_ms
        view.last_heartbeat_ms = now_ms
        view.config_version = heartbeat.config_version
        if heartbeat.state is not None:
            view.update_state(heartbeat.state)
            self._changed_workers[heartbeat.worker] = None
        return view.state is None

    def on_leave(self, leave: messages.AgentLeave, now_ms: int) -> None:
        """Exclude a worker from new work at once."""
        view = self._view_of(leave.worker, leave.incarnation, now_ms)
        if view is not None and view.record_leave(leave):
            self._pending_leaves_by_worker[leave.worker] = leave

    def on_digest(self, digest: messages.Digest, now_ms: int) -> list[str]:
        """Apply a digest of another entry.

        :return: names of the workers whose state was updated.
        """
        self._update_entry(digest, now_ms)
        self._update_agents(digest, now_ms)
        changed = []
        for state in digest.states:
            view = self.workers_by_name.get(state.worker)
            if view is None or view.incarnation != state.incarnation:
                continue
            if view.update_state(state):
                changed.append(state.worker)
        for leave in digest.left:
            view = self._view_of(leave.worker, leave.incarnation, now_ms)
            if view is not None:
                view.record_leave(leave)
        return changed

    def on_entry_lost(self, name: str) -> None:
        """Remove an entry whose session has ended."""
        self.entries_by_name.pop(name, None)
        self._agents_by_entry.pop(name, None)

    def expire(self, now_ms: int) -> list[str]:
        """Remove the workers and entries that have timed out.

        :return: names of the removed workers.
        """
        lost_workers = [
            view.worker
            for view in self.workers_by_name.values()
            if now_ms - view.last_seen_ms >= MEMBER_TIMEOUT_MS
        ]
        for worker in lost_workers:
            del self.workers_by_name[worker]
            self._changed_workers.pop(worker, None)
        lost_entries = [
            name
            for name, entry in self.entries_by_name.items()
            if now_ms - entry.last_seen_ms >= MEMBER_TIMEOUT_MS
        ]
        for name in lost_entries:
            del self.entries_by_name[name]
        return lost_workers

    def candidates(self, service: str, now_ms: int) -> list[WorkerView]:
        """Return the workers that may get new work of a service."""
        return [
            view
            for view in self.workers_by_name.values()
            if view.is_schedulable(now_ms)
            and view.state is not None
            and service in view.state.services
        ]

    def live_entries(self) -> list[messages.EntryInfo]:
        """Return the live entries, this one included, ordered by name."""
        infos = [view.info for view in self.entries_by_name.values()]
        return sorted([self._own_info, *infos], key=lambda info: info.name)

    def shard_candidates(self, is_draining: bool) -> list[str]:
        """Return the names of the entries that may own shards.

        :param is_draining: whether this entry is stopping.
        """
        names = [
            view.info.name
            for view in self.entries_by_name.values()
            if not view.is_draining
        ]
        if not is_draining:
            names.append(self._own_info.name)
        return sorted(names)

    def digest(
        self,
        now_ms: int,
        config_version: int,
        shards: list[messages.ShardInfo],
        pressures: list[messages.AccountPressure],
        is_draining: bool = False,
    ) -> messages.Digest:
        """Build a digest of the changes since the last digest.

        A digest has at most ``DIGEST_STATES_MAX`` states; the rest is left
        for the next ones. While the local agents are unchanged, only those
        with a late heartbeat are listed, and ``steady_age_ms`` covers the
        others.

        :param shards: epochs of shards to announce.
        :param pressures: unmet demand of the accounts of this entry.
        :param is_draining: whether this entry is stopping.
        """
        agents = self._local_agents(now_ms)
        agents_without_age = [
            dataclasses.replace(agent, age_ms=0) for agent in agents
        ]
        steady_age_ms = 0
        if agents_without_age == self._last_sent_agents:
            steady_age_ms = _max_on_time_age_ms(agents)
            agents = [
                agent for agent in agents if agent.age_ms > steady_age_ms
            ]
        self._last_sent_agents = agents_without_age
        left = list(self._pending_leaves_by_worker.values())
        self._pending_leaves_by_worker.clear()
        return messages.Digest(
            entry=self._own_info,
            config_version=config_version,
            shards=shards,
            pressures=pressures,
            agents=agents,
            states=self._take_changed(),
            left=left,
            is_draining=is_draining,
            steady_age_ms=steady_age_ms,
        )

    def resend_all(self, now_ms: int) -> None:
        """Include every local agent and its state in the next digests."""
        self._last_sent_agents = []
        for view in self.workers_by_name.values():
            if self._is_local(view, now_ms) and view.state is not None:
                self._changed_workers[view.worker] = None

    def _take_changed(self) -> list[messages.WorkerState]:
        names = list(self._changed_workers)[:DIGEST_STATES_MAX]
        states = []
        for name in names:
            del self._changed_workers[name]
            state = self.workers_by_name[name].state
            if state is not None:
                states.append(state)
        return states

    def _update_entry(self, digest: messages.Digest, now_ms: int) -> None:
        name = digest.entry.name
        known_entry = self.entries_by_name.get(name)
        if (
            known_entry is None
            or known_entry.info.incarnation != digest.entry.incarnation
        ):
            self.resend_all(now_ms)
        self.entries_by_name[name] = EntryView(
            info=digest.entry,
            last_seen_ms=now_ms,
            config_version=digest.config_version,
            is_draining=digest.is_draining,
            shards=digest.shards,
            pressures=digest.pressures,
        )

    def _local_agents(self, now_ms: int) -> list[messages.AgentAlive]:
        return [
            messages.AgentAlive(
                view.worker,
                view.incarnation,
                view.config_version,
                now_ms - (view.last_heartbeat_ms or 0),
            )
            for view in self.workers_by_name.values()
            if self._is_local(view, now_ms)
        ]

    def _update_agents(self, digest: messages.Digest, now_ms: int) -> None:
        for agent in digest.agents:
            self._update_last_seen(agent, now_ms - agent.age_ms)
        name = digest.entry.name
        if digest.steady_age_ms == 0:
            self._agents_by_entry[name] = digest.agents
            return
        listed_workers = {agent.worker for agent in digest.agents}
        for agent in self._agents_by_entry.get(name, []):
            if agent.worker not in listed_workers:
                self._update_last_seen(agent, now_ms - digest.steady_age_ms)

    def _update_last_seen(
        self, agent: messages.AgentAlive, last_seen_ms: int
    ) -> None:
        view = self._view_of(agent.worker, agent.incarnation, last_seen_ms)
        if view is None:
            return
        view.last_seen_ms = max(view.last_seen_ms, last_seen_ms)
        view.config_version = max(view.config_version, agent.config_version)

    def _view_of(
        self, worker: str, incarnation: int, now_ms: int
    ) -> WorkerView | None:
        view = self.workers_by_name.get(worker)
        if view is not None and view.incarnation > incarnation:
            return None
        if view is None or view.incarnation < incarnation:
            view = WorkerView(worker, incarnation, now_ms)
            self.workers_by_name[worker] = view
            self._pending_leaves_by_worker.pop(worker, None)
        return view

    def _is_local(self, view: WorkerView, now_ms: int) -> bool:
        if view.last_heartbeat_ms is None:
            return False
        return now_ms - view.last_heartbeat_ms < MEMBER_TIMEOUT_MS


def _max_on_time_age_ms(agents: list[messages.AgentAlive]) -> int:
    """Return the largest age up to ``LATE_HEARTBEAT_MS``, at least 1 ms."""
    ages = [
        agent.age_ms for agent in agents if agent.age_ms <= LATE_HEARTBEAT_MS
    ]
    return max([1, *ages])
