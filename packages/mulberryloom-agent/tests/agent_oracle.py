"""Oracle for agents under faults.

It checks safety properties from the outputs of the agents and the simulated
environment alone: the calls at the backend servers and the reported ends.
"""

import collections
import dataclasses

import agent_harness as harness
from mulberryloom_core import effects as core_effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes

from mulberryloom_agent import effects

CAPACITY = shapes.Resources(3, 4, 16, 4_000)
NAMES = ('w1', 'w2', 'w3')
NO = exceptions.Ran.NO
STEP_MS = 200


@dataclasses.dataclass(frozen=True)
class Run:
    """A call, stop or checkpoint in progress at a worker.

    :param call: the output that started it.
    :param resources: resources of the call; none for the others.
    """

    name: str
    call: effects.CallBackend
    resources: shapes.Resources

    @property
    def key(self):
        """Identity of the attempt."""
        return self.call.request_id, self.call.attempt


class World:
    """Three agents, one entry, and a network that may lose sessions.

    Messages between agents are queued in order until they are delivered.
    ``runs``, ``stops`` and ``checkpoints`` are in progress at the workers;
    ``closed_names`` are the workers that must not start anything.
    """

    def __init__(self):
        self.agents_by_name = {}
        self.works_by_id = {}
        self.queues_by_pair = collections.defaultdict(collections.deque)
        self.runs = []
        self.stops = []
        self.checkpoints = []
        self.forbidden_requests = collections.defaultdict(set)
        self.outcomes = collections.defaultdict(list)
        self.backend_calls = []
        self.prepared = set()
        self.unsent_attempts = set()
        self.closed_names = set()
        self._incarnation = 100
        for name in NAMES:
            self.restart(name)

    def restart(self, name):
        """Restart a worker; its tasks and its queued messages are lost."""
        self._incarnation += 1
        old = self.agents_by_name.get(name)
        agent = harness.Agent(
            self._incarnation, worker=name, is_announced=False
        )
        if old is not None:
            agent.clock.advance(old.clock.now_ms() - agent.clock.now_ms())
        self.agents_by_name[name] = agent
        self.closed_names.discard(name)
        for waiting in (self.runs, self.stops, self.checkpoints):
            waiting[:] = [each for each in waiting if each.name != name]
        for pair in list(self.queues_by_pair):
            if name in pair:
                self.queues_by_pair[pair].clear()
        self.give(
            name, effects.BackendAnnounced('b:1', ('typesetting',), CAPACITY)
        )
        self.give(name, core_effects.PeerConnected(harness.ENTRY))

    def tell(self, name, message):
        """Deliver a message of the entry to an agent."""
        self.give(name, core_effects.Received(harness.ENTRY, message))

    def give(self, name, event):
        """Pass an input to an agent and check its outputs."""
        agent = self.agents_by_name[name]
        outputs = agent.handle(event)
        if isinstance(event, effects.BackendLeft | effects.StopRequested):
            self.closed_names.add(name)
        if isinstance(event, effects.BackendAnnounced):
            self._reopen(name)
        for output in outputs:
            self._record_output(name, output)

    def deliver(self, pair, is_repeated=False):
        """Deliver the next message between two agents.

        :param is_repeated: whether it stays in the queue.
        """
        queue = self.queues_by_pair[pair]
        if not queue:
            return
        peer, message = queue[0] if is_repeated else queue.popleft()
        self.give(pair[1], core_effects.Received(peer, message))

    def deliver_all(self):
        """Deliver messages until all queues are empty."""
        while any(self.queues_by_pair.values()):
            for pair in list(self.queues_by_pair):
                self.deliver(pair)

    def answer(self, run, result):
        """Complete a call to a backend server."""
        error = result.err()
        if error is None or error.ran == NO:
            self.runs.remove(run)
        if error is not None and error.ran == NO:
            self.unsent_attempts.add((run.name, run.key))
        self.give(run.name, effects.BackendAnswered(*run.key, result))

    def stop(self, stop, is_confirmed):
        """Complete a stop."""
        self.stops.remove(stop)
        key = (stop.call.request_id, stop.call.attempt)
        if is_confirmed:
            self.runs[:] = [
                run
                for run in self.runs
                if (run.name, run.key) != (stop.name, key)
            ]
        self.give(stop.name, effects.TaskStopped(*key, is_confirmed))

    def checkpoint(self, checkpoint, is_saved):
        """Complete a checkpoint."""
        self.checkpoints.remove(checkpoint)
        call = checkpoint.call
        event = effects.CheckpointDone(call.request_id, call.attempt, is_saved)
        self.give(checkpoint.name, event)

    def pass_time(self, duration_ms, silent=()):
        """Advance the clock of every agent.

        :param silent: names of the workers whose backend server sends no
            heartbeats.
        """
        step_ms = min(duration_ms, STEP_MS)
        for _ in range(duration_ms // step_ms):
            for name, agent in self.agents_by_name.items():
                agent.clock.advance(step_ms)
                if name not in silent:
                    self.give(name, effects.BackendHeartbeat())
                self.give(name, core_effects.Tick())

    def check(self):
        """Check that the calls of each worker fit its capacity."""
        for name in NAMES:
            runs = [run for run in self.runs if run.name == name]
            total = sum((run.resources for run in runs), shapes.Resources())
            assert total.fits_in(CAPACITY), (name, runs)
            positions = [
                position for run in runs for position in run.call.positions
            ]
            assert len(positions) == len(set(positions)), (name, runs)
            assert len(positions) == total.accelerators

    def _record_output(self, name, output):
        match output:
            case effects.CallBackend():
                self._on_call(name, output)
            case effects.StopTask():
                self.stops.append(Run(name, output, shapes.Resources()))
            case effects.Checkpoint():
                self.checkpoints.append(Run(name, output, shapes.Resources()))
            case core_effects.Send(role=identity.Role.AGENT):
                self._on_send(name, output)
            case core_effects.Send(message=messages.TaskEnded() as ended):
                self._on_ended(name, ended)
            case core_effects.Send(message=messages.TaskForbidden() as answer):
                self._on_forbidden(name, answer)

    def _on_send(self, name, output):
        me = self.agents_by_name[name].core.peer_id
        if isinstance(output.message, messages.MemberPrepared):
            message = output.message
            key = (message.request_id, message.attempt, name, me.incarnation)
            self.prepared.add(key)
        self.queues_by_pair[name, output.name].append((me, output.message))

    def _on_call(self, name, call):
        work = self.works_by_id[call.request_id]
        accelerators = len(call.positions)
        run = Run(name, call, work.demand.member(accelerators))
        assert not self._is_excluded(name, call)
        assert name not in self.closed_names
        if not work.is_idempotent:
            self._check_not_called_before(name, call)
        if call.members > 1:
            self._check_committed(name, call)
        self.backend_calls.append((name, self._incarnation_of(name), call))
        self.runs.append(run)

    def _reopen(self, name):
        """Allow new work on a worker unless its agent is stopping."""
        if not self.agents_by_name[name].core.worker.is_draining:
            self.closed_names.discard(name)

    def _incarnation_of(self, name):
        return self.agents_by_name[name].incarnation

    def _check_not_called_before(self, name, call):
        """Check that this incarnation has not run the request before.

        Calls that never reached the backend server do not count.
        """
        for other, incarnation, earlier in self.backend_calls:
            if (other, incarnation) != (name, self._incarnation_of(name)):
                continue
            if earlier.request_id == call.request_id:
                key = (earlier.request_id, earlier.attempt)
                assert (name, key) in self.unsent_attempts

    def _check_committed(self, name, call):
        """Check that a member starts only after the commit of its gang.

        The first member commits, once all others are prepared.
        """
        if call.member == 0:
            prepared_names = {
                other
                for request_id, attempt, other, incarnation in self.prepared
                if (request_id, attempt) == (call.request_id, call.attempt)
                and incarnation == self._incarnation_of(other)
            }
            assert len(prepared_names - {name}) >= call.members - 1
            return
        assert any(
            earlier_call.member == 0
            and (earlier_call.request_id, earlier_call.attempt)
            == (call.request_id, call.attempt)
            for _, _, earlier_call in self.backend_calls
        )

    def _on_ended(self, name, ended):
        key = (ended.request_id, ended.attempt)
        reported = self.outcomes[name, self._incarnation_of(name), key]
        error = ended.outcome.error
        kinds = exceptions.ErrorKind
        if error is not None and error.kind == kinds.STALE_INCARNATION:
            return
        if ended.outcome not in reported:
            reported.append(ended.outcome)
        assert len(reported) == 1, reported
        if error is not None and error.ran == NO:
            self._check_not_run(name, key)

    def _check_not_run(self, name, key):
        """Check an attempt whose reported end says that it did not run.

        Neither this incarnation nor, for a gang, any other may have called
        a backend server, except for calls that never reached it.
        """
        for other, incarnation, call in self.backend_calls:
            if (call.request_id, call.attempt) != key:
                continue
            is_same_incarnation = (other, incarnation) == (
                name,
                self._incarnation_of(name),
            )
            is_unsent = (other, key) in self.unsent_attempts
            is_gang = call.members > 1
            assert is_unsent or not (is_same_incarnation or is_gang), (
                name,
                key,
            )

    def _is_excluded(self, name, call):
        """Tell whether a reported end or ``TaskForbidden`` excludes a call."""
        key = (call.request_id, call.attempt)
        agent_key = (name, self._incarnation_of(name))
        reported = self.outcomes.get((*agent_key, key))
        return (
            bool(reported)
            or (*agent_key, call.request_id) in self.forbidden_requests
        )

    def _on_forbidden(self, name, answer):
        if not answer.has_started:
            self.forbidden_requests[
                name, self._incarnation_of(name), answer.request_id
            ].add(1)
