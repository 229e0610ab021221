"""Simulated system of whole-system fuzzing: all cores on one clock."""

import collections
import heapq
import itertools
import random
import typing as t

import mulberryloom_agent as agent
from mulberryloom_core import effects
from mulberryloom_core import identity
import mulberryloom_entry as entry

from . import backends
from . import network as networks
from . import processes
from ..store import core as stores

STEP_MS = 50
ENTRIES = ('entry-1', 'entry-2')
RACK_BY_WORKER = {
    'w1': 'rack-a',
    'w2': 'rack-a',
    'w3': 'rack-b',
    'w4': 'rack-b',
}


class Observer(t.Protocol):
    """Receives the events that the oracle checks."""

    def on_answer(
        self, run: processes.EntryRun, answer: entry.Answer, now_ms: int
    ) -> None:
        """Record the reply to a call."""

    def on_call(
        self,
        run: processes.AgentRun,
        call: agent.CallBackend,
        now_ms: int,
    ) -> None:
        """Record the start of a request on a backend server."""

    def on_drained(self, name: str, now_ms: int) -> None:
        """Record the end of a graceful stop."""


class World:
    """Two entries, four agents, store, network and simulated clock.

    :param seed: the same seed and the same calls give the same results.
    :ivar faults: number of injected faults by name.
    """

    def __init__(self, seed: int, observer: Observer) -> None:
        self._seed = seed
        self._observer = observer
        self._incarnations = itertools.count(1)
        self.now_ms = 0
        self.network = networks.Network(random.Random(seed))
        self.store = stores.StoreCore()
        self.entries_by_name: dict[str, processes.EntryRun] = {}
        self.agents_by_name: dict[str, processes.AgentRun] = {}
        self._runs_of_killed_backends: list[backends.Run] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self._store_caller_by_id: dict[int, tuple[str, int]] = {}
        self._store_call_ids = itertools.count(1)
        self._timers: list[tuple[int, int, t.Callable[[], None]]] = []
        self._timer_ids = itertools.count(1)
        for name in ENTRIES:
            self.start_entry(name)
        for name in RACK_BY_WORKER:
            self.start_agent(name)

    def start_entry(self, name: str) -> None:
        """Start a new incarnation of an entry."""
        others = [other for other in ENTRIES if other != name]
        self.entries_by_name[name] = processes.EntryRun.start(
            name, next(self._incarnations), others, self._seed
        )

    def start_agent(self, name: str) -> None:
        """Start a new incarnation of an agent and its backend server."""
        self.agents_by_name[name] = processes.AgentRun.start(
            name,
            RACK_BY_WORKER[name],
            next(self._incarnations),
            list(ENTRIES),
            self._seed,
        )

    def kill_entry(self, name: str) -> None:
        """Kill an entry."""
        self.entries_by_name.pop(name, None)

    def kill_agent(self, name: str) -> None:
        """Kill a worker VM: its agent and its backend server."""
        run = self.agents_by_name.pop(name, None)
        if run is not None:
            run.backend.stop_all(self.now_ms)
            self._runs_of_killed_backends.extend(run.backend.runs)

    def all_runs(self) -> list[backends.Run]:
        """Return all runs of all backend servers, open or ended."""
        return self._runs_of_killed_backends + [
            run
            for agent_run in self.agents_by_name.values()
            for run in agent_run.backend.runs
        ]

    def later(self, after_ms: int, action: t.Callable[[], None]) -> None:
        """Schedule an action after a delay, in simulated milliseconds."""
        timer = (self.now_ms + after_ms, next(self._timer_ids), action)
        heapq.heappush(self._timers, timer)

    def advance(self, by_ms: int, step_ms: int = STEP_MS) -> None:
        """Advance the simulated clock.

        :param step_ms: time between two ticks of each process.
        """
        for _ in range(max(1, by_ms // step_ms)):
            self.now_ms += step_ms
            self._step()

    def _step(self) -> None:
        while self._timers and self._timers[0][0] <= self.now_ms:
            heapq.heappop(self._timers)[-1]()
        live = self._live_peers()
        self._connect()
        for change in self.network.take_changes(self.now_ms, live):
            self._notify(change)
        for delivery in self.network.take_due(self.now_ms, live):
            self._deliver(delivery)
        for completion in self.store.take_due_answers(self.now_ms):
            self._answer_store(completion)
        for run in list(self.entries_by_name.values()):
            for effect in run.step(self.now_ms):
                self._apply_entry_effect(run, effect)
        for agent_run in list(self.agents_by_name.values()):
            for output in agent_run.step(self.now_ms):
                self._apply_agent_output(agent_run, output)

    def _live_peers(self) -> set[identity.PeerId]:
        runs = [
            *self.entries_by_name.values(),
            *self.agents_by_name.values(),
        ]
        return {run.me for run in runs if not run.is_frozen}

    def _find_incarnation(self, peer: identity.PeerId):
        runs = self.entries_by_name
        if peer.role is identity.Role.AGENT:
            runs = self.agents_by_name
        run = runs.get(peer.name)
        if run is None or run.me != peer:
            return None
        return run

    def _find_by_name(self, role: identity.Role, name: str):
        if role is identity.Role.AGENT:
            return self.agents_by_name.get(name)
        return self.entries_by_name.get(name)

    def _connect(self) -> None:
        """Open missing sessions, as processes reconnect continually."""
        entries = [
            run for run in self.entries_by_name.values() if not run.is_frozen
        ]
        for left, right in itertools.combinations(entries, 2):
            self.network.open(left.me, right.me)
        for agent_run in self.agents_by_name.values():
            if agent_run.is_frozen:
                continue
            for run in entries:
                if (
                    processes.address_of(run.me.name)
                    in agent_run.entry_addresses
                ):
                    self.network.open(agent_run.me, run.me)

    def _notify(self, change: networks.SessionChange) -> None:
        run = self._find_incarnation(change.receiver)
        if run is None:
            return
        kind = effects.PeerConnected if change.is_open else effects.PeerLost
        run.inbox.append(kind(change.peer))

    def _deliver(self, delivery: networks.Delivery) -> None:
        run = self._find_incarnation(delivery.receiver)
        if run is not None:
            received = effects.Received(delivery.sender, delivery.message)
            run.inbox.append(received)

    def _send(self, sender: identity.PeerId, send: effects.Send) -> None:
        target = self._find_by_name(send.role, send.name)
        if target is None:
            return
        if not self.network.has_session(sender, target.me) and send.address:
            self.network.open(sender, target.me)
        self.network.send(sender, target.me, send.message, self.now_ms)

    def _apply_entry_effect(
        self, run: processes.EntryRun, effect: entry.Effect
    ) -> None:
        match effect:
            case effects.Send():
                self._send(run.me, effect)
            case effects.CallStore():
                call_id = next(self._store_call_ids)
                self._store_caller_by_id[call_id] = (run.me, effect.call_id)
                self.store.submit(call_id, effect.request, self.now_ms)
            case entry.Answer():
                self._observer.on_answer(run, effect, self.now_ms)
            case entry.Drained():
                self._observer.on_drained(run.me.name, self.now_ms)
                self.entries_by_name.pop(run.me.name)

    def _answer_store(self, completion: effects.StoreDone) -> None:
        peer, call_id = self._store_caller_by_id.pop(completion.call_id)
        run = self._find_incarnation(peer)
        if run is not None:
            run.inbox.append(effects.StoreDone(call_id, completion.result))

    def _apply_agent_output(
        self, run: processes.AgentRun, output: agent.Output
    ) -> None:
        backend = run.backend
        match output:
            case effects.Send():
                self._send(run.me, output)
            case agent.CallBackend():
                self._observer.on_call(run, output, self.now_ms)
                backend.call(output, self.now_ms)
            case agent.Checkpoint():
                run.inbox.append(
                    agent.CheckpointDone(
                        output.request_id, output.attempt, is_saved=True
                    )
                )
            case agent.StopTask():
                backend.stop(output.request_id, output.attempt, self.now_ms)
                run.inbox.append(
                    agent.TaskStopped(
                        output.request_id, output.attempt, is_confirmed=True
                    )
                )
            case agent.RenewTaskLease():
                backend.renew(
                    output.request_id,
                    output.attempt,
                    self.now_ms + output.ttl_ms,
                )
            case agent.ConnectEntry():
                run.entry_addresses.add(output.address)
            case agent.DisconnectEntry():
                run.entry_addresses.discard(output.address)
            case agent.Drained():
                self._observer.on_drained(run.me.name, self.now_ms)
                self.kill_agent(run.me.name)
