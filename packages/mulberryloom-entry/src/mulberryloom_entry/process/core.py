"""Sans-I/O core of an entry: handles typed inputs, returns typed effects.

Terms of this package:

- work: contents of a request, with all that is needed to schedule and run
  it (``messages.Work``);
- request: work with its state, from acceptance to the outcome
  (``lifecycle.Request``); the entry that accepted it and the entry that owns
  its account each keep such an object;
- job: a request in the queue of its account's owner (``OwnedJob``); but
  "job" in the runner, the settings, the commands and the reports means a job
  with steps, which the package ``jobs`` serves;
- attempt: one attempt to run a request, on one worker or, as a gang, on
  several;
- member: in a gang, the part of an attempt on one worker; in the region, as
  in ``MEMBER_TIMEOUT_MS``, a worker or an entry;
- task: an attempt, or one member of its gang, as an agent keeps and reports
  it.
"""

import random
import typing as t

from mulberryloom_core import effects as core_effects
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.version import configuration as configurations
from mulberryloom_policy import options as policy_options
from mulberryloom_policy import planner as planners
from mulberryloom_policy.version import packing

from .. import effects
from . import composition
from . import dispatch
from . import entry_list
from . import peer_entries
from . import registry
from . import requests
from ..version import tickets

if t.TYPE_CHECKING:
    from .settings import EntrySettings

SHARD_UPDATE_INTERVAL_MS = 1_000
STARTUP_TIMEOUT_MS = 3_000


class EntryCore:
    """State machine of one entry, without sockets or clocks.

    Construct it with :meth:`from_settings`, then pass every input to
    :meth:`handle` and execute the effects that it returns.
    """

    __slots__ = (
        '_dispatcher',
        '_handlers_by_type',
        '_incarnations_by_worker',
        '_is_drained',
        '_own_info',
        '_peer_entries',
        '_next_shard_update_ms',
        '_registry',
        '_requests',
        '_entry_list_tracker',
        '_shard_candidates',
        '_started_ms',
        '_stop_ms',
        '_tickets',
        'context',
        'settings',
    )

    def __init__(
        self,
        settings: 'EntrySettings',
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._own_info = messages.EntryInfo(
            settings.name, incarnation, settings.advertised_address
        )
        self._entry_list_tracker = entry_list.EntryListTracker()
        empty_configuration = configurations.Configuration.empty()
        call_ids = core_effects.CallIds()
        self.context = composition.build_context(
            self._own_info, rng, empty_configuration, call_ids
        )
        self._tickets = tickets.TicketHandler(
            self.context.outbox, call_ids, packing.check
        )
        options = policy_options.PolicyOptions.from_settings(settings.policy)
        planner = planners.Planner.from_configuration(
            empty_configuration, options
        )
        self._dispatcher = dispatch.Dispatcher(self.context, planner)
        self._requests = requests.Requests(self.context, self._dispatcher)
        self._dispatcher.set_ended_callback(self._requests.on_work_ended)
        self._peer_entries = peer_entries.PeerEntries(self.context)
        self._registry = registry.Registry(
            self._own_info,
            self.context.outbox,
            self._peer_entries.on_registered,
        )
        self._incarnations_by_worker: dict[str, int] = {}
        self._shard_candidates: list[str] = []
        self._started_ms: int | None = None
        self._stop_ms: int | None = None
        self._is_drained = False
        self._next_shard_update_ms = 0
        self._handlers_by_type = self._build_handlers()

    @classmethod
    def from_settings(
        cls,
        settings: 'EntrySettings',
        incarnation: int,
        rng: random.Random,
    ) -> 'EntryCore':
        """Build the core of an entry that has no peers yet.

        :param incarnation: incarnation of this process; larger than that of
            any earlier process of the same entry.
        :param rng: random number generator; with a fixed seed the decisions
            are reproducible.
        """
        return cls(settings, incarnation, rng)

    @property
    def configuration(self) -> configurations.Configuration:
        """Configuration that is active in this entry."""
        return self.context.configuration

    @property
    def is_stopping(self) -> bool:
        """Whether a stop of this entry has been requested."""
        return self._stop_ms is not None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may route callers to this entry."""
        return not self.is_stopping and self.configuration.version > 0

    @property
    def requests(self) -> requests.Requests:
        """Requests that callers submitted to this entry."""
        return self._requests

    @property
    def dispatcher(self) -> dispatch.Dispatcher:
        """Dispatcher of the client accounts that this entry owns."""
        return self._dispatcher

    def handle(self, event: effects.Input, now: int) -> list[effects.Effect]:
        """Handle one input.

        :param now: monotonic time in milliseconds.
        :return: effects to execute, in order.
        """
        self._handlers_by_type[type(event)](event, now)
        latest = self._tickets.configuration
        if latest.version > self.configuration.version:
            self.configure(latest, now)
        self._dispatcher.plan_if_requested(now)
        if self._dispatcher.pop_has_preempted():
            self._send_urgent_digest(now)
        return self.context.outbox.take()

    def _build_handlers(self) -> dict[type, t.Callable[[t.Any, int], None]]:
        return {
            core_effects.Received: self._on_received,
            core_effects.PeerConnected: self._on_peer_connected,
            core_effects.PeerLost: self._on_peer_lost,
            core_effects.StoreDone: self._on_store_done,
            core_effects.Tick: self._on_tick,
            effects.RequestSubmitted: self._requests.on_submitted,
            effects.CancelRequested: self._requests.on_cancel_requested,
            effects.OutcomeRequested: self._requests.on_outcome_requested,
            effects.TicketSubmitted: self._tickets.on_submitted,
            effects.CallerDisconnected: self._on_caller_disconnected,
            effects.StopRequested: self._on_stop_requested,
            effects.WallTime: self._on_wall_time,
        }

    def configure(
        self, configuration: configurations.Configuration, now: int
    ) -> None:
        """Activate a version of the configuration."""
        self.context.configuration = configuration
        self.context.budgets.configure(configuration)
        self._requests.configure()
        self._dispatcher.configure()
        self._next_shard_update_ms = now

    def version_of_ticket(self, number: int) -> int | None:
        """Return a configuration version that includes a ticket's change.

        :param number: number of the ticket.
        :return: the version that the ticket created or a later one; ``None``
            if this entry has no configuration that includes the ticket.
        """
        return self._tickets.version_of_ticket(number)

    def _on_wall_time(self, event: effects.WallTime, now: int) -> None:
        self.context.wall_offset_ms = event.wall_ms - now

    def _on_caller_disconnected(
        self, event: effects.CallerDisconnected, now: int
    ) -> None:
        self._requests.on_caller_gone(event.call_id, now)

    def _on_peer_connected(
        self, connected: core_effects.PeerConnected, now: int
    ) -> None:
        peer = connected.peer
        if peer.role is identity.Role.AGENT:
            self._entry_list_tracker.forget(peer.name)
            self._on_worker_incarnation(peer.name, peer.incarnation, now)
            self.context.attempts.on_session_open(peer.name, peer.incarnation)
            return
        if self._peer_entries.on_connected(peer, now):
            self._on_entry_lost(peer.name, now)

    def _on_worker_incarnation(
        self, worker: str, incarnation: int, now: int
    ) -> None:
        """Record a worker's incarnation and detect restarts of its agent."""
        known_incarnation = self._incarnations_by_worker.get(worker, 0)
        if incarnation <= known_incarnation:
            return
        self._incarnations_by_worker[worker] = incarnation
        if known_incarnation:
            self.context.circuits.forget(worker)
            self.context.attempts.on_worker_restarted(worker, incarnation, now)

    def _on_peer_lost(self, lost: core_effects.PeerLost, now: int) -> None:
        peer = lost.peer
        if peer.role is identity.Role.AGENT:
            self.context.attempts.on_session_lost(
                peer.name, peer.incarnation, now
            )
        elif self._peer_entries.on_lost(peer):
            self._on_entry_lost(peer.name, now)

    def _on_entry_lost(self, name: str, now: int) -> None:
        self._next_shard_update_ms = now
        self._requests.on_entry_lost(name, now)
        self._dispatcher.on_entry_lost(now)

    def _on_store_done(self, done: core_effects.StoreDone, now: int) -> None:
        context = self.context
        if context.outbox.on_store_done(done, now):
            return
        if context.shards.is_own_call(done.call_id):
            calls = context.shards.on_store_done(
                done.call_id, done.result, now
            )
            context.outbox.extend(calls)
            return
        self._tickets.on_store_done(done, now)

    def _on_received(self, received: core_effects.Received, now: int) -> None:
        message = received.message
        name = received.peer.name
        if isinstance(message, messages.AgentHeartbeat):
            self._on_heartbeat(message, now)
            self._on_peer_config_version(
                received.peer, message.config_version, now
            )
        elif isinstance(message, messages.Digest):
            self._on_digest(message, now)
            self._on_peer_config_version(
                received.peer, message.config_version, now
            )
        elif isinstance(message, messages.TaskStarted):
            self.context.attempts.on_started(received, message, now)
        elif isinstance(message, messages.TaskEnded):
            self.context.attempts.on_ended(received, message, now)
            self._requests.on_capacity_change(now)
        elif isinstance(message, messages.TaskForbidden):
            self.context.attempts.on_forbidden(received, message, now)
            self.context.claims.on_forbidden(received, message, now)
        elif isinstance(message, messages.AgentLeave):
            self._on_agent_leave(message, now)
        elif isinstance(message, messages.SubmitWork):
            self._dispatcher.on_submit(message, name, now)
        elif isinstance(message, messages.WorkEnded):
            self._requests.on_work_ended(name, message, now)
        elif isinstance(message, messages.CancelWork):
            self._dispatcher.on_cancel(message, now)
        elif isinstance(message, messages.FetchOutcome):
            self._requests.on_fetch_outcome(name, message.request_id)
        elif isinstance(message, messages.HandOver):
            self._on_handover(message, now)
        elif isinstance(message, messages.BurnReport):
            self.context.burn.merge(message)
        elif isinstance(
            message,
            messages.FetchConfiguration | messages.ConfigurationDocument,
        ):
            self._tickets.on_message(received.peer, message, now)

    def _on_peer_config_version(
        self, peer: identity.PeerId, version: int, now: int
    ) -> None:
        if version > self.configuration.version:
            self._tickets.on_peer_version(peer, version, now)

    def _on_heartbeat(
        self, heartbeat: messages.AgentHeartbeat, now: int
    ) -> None:
        context = self.context
        worker = heartbeat.worker
        self._on_worker_incarnation(worker, heartbeat.incarnation, now)
        wants_state = context.membership.on_heartbeat(heartbeat, now)
        reply = messages.HeartbeatReply(
            self.configuration.version,
            self._entry_list_tracker.entries_for(
                worker, context.membership.live_entries()
            ),
            wants_state,
        )
        context.outbox.send_agent(heartbeat.worker, reply)
        is_stale = heartbeat.incarnation < self._incarnations_by_worker[worker]
        if heartbeat.state is not None and not is_stale:
            self._dispatcher.on_worker_state(heartbeat.state, now)
            self._requests.on_capacity_change(now)

    def _on_agent_leave(self, leave: messages.AgentLeave, now: int) -> None:
        self.context.membership.on_leave(leave, now)
        self._dispatcher.on_worker_lost(leave.worker, now)
        self._send_digests(now)

    def _on_digest(self, digest: messages.Digest, now: int) -> None:
        context = self.context
        changed = context.membership.on_digest(digest, now)
        context.shards.observe_epochs(digest.shards)
        self._dispatcher.on_pressures(digest.pressures, now)
        for agent in digest.agents:
            self._on_worker_incarnation(agent.worker, agent.incarnation, now)
        for leave in digest.left:
            self._dispatcher.on_worker_lost(leave.worker, now)
        for worker in changed:
            view = context.membership.workers_by_name[worker]
            if view.state is not None:
                self._dispatcher.on_worker_state(view.state, now)
        if changed:
            self._requests.on_capacity_change(now)

    def _on_handover(self, handover: messages.HandOver, now: int) -> None:
        """Record the epoch of a stopping owner and update the shards next.

        Nothing else is needed: this entry's own epoch will be above the
        recorded one, and the queue in the message is empty (see
        :meth:`dispatch.Dispatcher.hand_over`).
        """
        info = messages.ShardInfo(handover.account, handover.epoch)
        self.context.shards.observe_epochs([info])
        self._next_shard_update_ms = now

    def _on_tick(self, _tick: core_effects.Tick, now: int) -> None:
        if self._started_ms is None:
            self._started_ms = now
        context = self.context
        self._expire_silent_members(now)
        self._update_shards(now)
        self._tickets.on_tick(now)
        self._registry.on_tick(now)
        context.claims.on_tick(now)
        context.attempts.on_tick(now)
        self._requests.on_tick(now)
        self._dispatcher.on_tick(now)
        context.journal.on_tick(now)
        if self._peer_entries.is_digest_due(now):
            self._send_digests(now)
        self._peer_entries.send_burn(now)
        self._check_drained(now)

    def _expire_silent_members(self, now: int) -> None:
        context = self.context
        entries_before = set(context.membership.entries_by_name)
        for worker in context.membership.expire(now):
            context.attempts.on_worker_lost(worker, now)
            context.in_flight.forget(worker)
            context.circuits.forget(worker)
            self._dispatcher.on_worker_lost(worker, now)
        lost_entries = entries_before - set(context.membership.entries_by_name)
        for name in sorted(lost_entries):
            self._on_entry_lost(name, now)

    def _update_shards(self, now: int) -> None:
        """Update shard ownership from the live entries and the accounts.

        After a start this waits up to ``STARTUP_TIMEOUT_MS`` until every
        other configured entry is known, so that the entry does not claim
        shards that belong to entries it has not discovered yet.
        """
        context = self.context
        entry_count = len(context.membership.entries_by_name)
        is_starting = now - (self._started_ms or now) < STARTUP_TIMEOUT_MS
        if is_starting and entry_count < len(
            self.settings.other_entry_addresses
        ):
            return
        candidates = context.membership.shard_candidates(self.is_stopping)
        if not candidates:
            candidates = [context.name]
        is_changed = candidates != self._shard_candidates
        if not is_changed and now < self._next_shard_update_ms:
            return
        self._shard_candidates = candidates
        self._next_shard_update_ms = now + SHARD_UPDATE_INTERVAL_MS
        accounts = list(self.configuration.accounts_by_name)
        calls = context.shards.on_tick(now, candidates, accounts)
        context.outbox.extend(calls)

    def _on_stop_requested(
        self, _event: effects.StopRequested, now: int
    ) -> None:
        if self.is_stopping:
            return
        handovers = self._dispatcher.hand_over()
        self._stop_ms = now
        self._next_shard_update_ms = now
        self._send_digests(now)
        self._peer_entries.hand_over(handovers)

    def _send_urgent_digest(self, now: int) -> None:
        """Send a digest at once if an account newly needs its guarantee.

        Without it, the owner of a preempted job could place the job on the
        freed worker again before the next regular digest.
        """
        pressures = self._dispatcher.pressures(now)
        if self._peer_entries.has_new_shortfall(pressures):
            self._send_digests(now)

    def _send_digests(self, now: int) -> None:
        self._peer_entries.send_digests(
            self._dispatcher.pressures(now), self.is_stopping, now
        )

    def _check_drained(self, now: int) -> None:
        if self._stop_ms is None or self._is_drained:
            return
        if now - self._stop_ms < self.settings.balancer_notice_ms:
            return
        is_open = any(
            not request.is_journaled or request.call_id is not None
            for request in self._requests.open_requests
        )
        if is_open or not self.context.journal.is_idle:
            return
        self._is_drained = True
        self._registry.deregister()
        self.context.outbox.put(effects.Drained())
