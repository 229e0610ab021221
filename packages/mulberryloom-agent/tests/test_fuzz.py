"""Stateful fuzzing of three agents against an oracle."""

import agent_harness as harness
import agent_oracle as oracle
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core import shapes
from result import Err
from result import Ok

from mulberryloom_agent import effects

Kind = exceptions.ErrorKind
Ran = exceptions.Ran

SINGLE_IDS = ('q0', 'q1', 'q2')
GANG_IDS = ('g0', 'g1')
IDS = SINGLE_IDS + GANG_IDS
names = st.sampled_from(oracle.NAMES)
ids = st.sampled_from(IDS)
attempts = st.integers(1, 4)
picks = st.integers(0, 99)
rarely = st.sampled_from([False, False, False, False, False, True])
epochs = st.sampled_from(
    [harness.EPOCH] * 4
    + [identity.Epoch(4, 0, 'e1'), identity.Epoch(6, 0, 'e1')]
)
results = st.sampled_from(
    [
        Ok(effects.BackendAnswer(200, 'text/plain', b'whole')),
        Ok(effects.BackendAnswer(503, 'text/plain', b'')),
        Err(exceptions.Error(Kind.BACKEND_UNREACHABLE, ran=Ran.NO)),
        Err(exceptions.Error(Kind.BACKEND_UNREACHABLE, ran=Ran.UNKNOWN)),
    ]
)
MAX_TIME_MS = 100_000


def _work(request_id):
    """Return the work of a request; its properties depend on the id only."""
    accelerators = 6 if request_id in GANG_IDS else 3
    return harness.work(
        request_id,
        demand=shapes.Demand(accelerators, processors=6, memory_mb=1_200),
        is_idempotent=request_id not in ('q1', 'g1'),
        is_checkpointable=request_id in ('q0', 'g0'),
        deadline_ms=20_000,
    )


# Each rule is an event of the environment: a message of the entry, a delivered
# or lost message between agents, an answer of a backend server, the end of a
# stop or of a checkpoint, time, or the restart of a process. Rules with
# ``is_due`` or another flag of ``rarely`` act on few of their calls, since
# these events end much of the state. ``started`` holds the attempts whose end
# must be reported by the worker to which they were sent; ``teardown`` lets
# all tasks end and checks that.
#
# The source of the class without comments seeds the derandomized examples.
# Renames and changed docstrings inside would draw other examples, so it keeps
# its wording.
class Agents(stateful.RuleBasedStateMachine):
    """Rules are the events of the surroundings, in any order."""

    def __init__(self):
        super().__init__()
        self.world = oracle.World()
        self.world.works_by_id = {each: _work(each) for each in IDS}
        self.gangs_by_key = {}
        self.started = set()
        self.time_ms = 0

    def _incarnation(self, name):
        return self.world.agents_by_name[name].incarnation

    @stateful.rule(
        name=names,
        request_id=st.sampled_from(SINGLE_IDS),
        attempt=attempts,
        epoch=epochs | st.none(),
    )
    def start(self, name, request_id, attempt, epoch):
        incarnation = self._incarnation(name)
        message = messages.StartTask(
            self.world.works_by_id[request_id],
            attempt,
            incarnation,
            epoch,
            is_claimed=True,
        )
        self.started.add((name, incarnation, (request_id, attempt)))
        self.world.tell(name, message)

    def _members(self):
        return [
            messages.GangMember(
                name, self._incarnation(name), '127.0.0.1:1', 2
            )
            for name in oracle.NAMES
        ]

    @stateful.rule(
        request_id=st.sampled_from(GANG_IDS),
        attempt=attempts,
        order=st.permutations(range(3)),
        count=st.sampled_from([1, 2, 3, 3, 3]),
        lease_ms=st.sampled_from([1_000, 5_000]),
    )
    def prepare(self, request_id, attempt, order, count, lease_ms):
        key = (request_id, attempt)
        members = self.gangs_by_key.setdefault(key, self._members())
        for index in order[:count]:
            name = members[index].worker
            if index == 0 and members[0].incarnation == self._incarnation(
                name
            ):
                self.started.add((name, self._incarnation(name), key))
            message = messages.PrepareGang(
                self.world.works_by_id[request_id],
                attempt,
                members,
                index,
                lease_ms,
                harness.EPOCH,
                is_claimed=True,
            )
            self.world.tell(name, message)

    @stateful.rule(
        name=names,
        request_id=ids,
        attempt=attempts,
        kind=st.sampled_from(
            [messages.CancelTask, messages.ReleaseGang, messages.StopMember]
        ),
        is_due=rarely,
    )
    def withdraw(self, name, request_id, attempt, kind, is_due):
        if is_due:
            self.world.tell(name, kind(request_id, attempt))

    @stateful.rule(pick=picks)
    def cancel_running(self, pick):
        if self.world.runs:
            run = self.world.runs[pick % len(self.world.runs)]
            self.world.tell(run.name, messages.CancelTask(*run.key))

    @stateful.rule(name=names, request_id=ids, is_due=rarely)
    def forbid(self, name, request_id, is_due):
        if is_due and not self.world.works_by_id[request_id].is_idempotent:
            self.world.tell(name, messages.ForbidTask(request_id))

    @stateful.rule(pick=picks, epoch=epochs)
    def preempt(self, pick, epoch):
        if self.world.runs:
            run = self.world.runs[pick % len(self.world.runs)]
            message = messages.PreemptTask(*run.key, 2_000, 'sligo', epoch)
            self.world.tell(run.name, message)

    @stateful.rule(pick=picks, is_repeated=st.booleans())
    def deliver(self, pick, is_repeated):
        pairs = [p for p, q in self.world.queues_by_pair.items() if q]
        if pairs:
            self.world.deliver(pairs[pick % len(pairs)], is_repeated)

    @stateful.rule()
    def deliver_all(self):
        self.world.deliver_all()

    @stateful.rule(pick=picks)
    def lose_session(self, pick):
        pairs = [p for p, q in self.world.queues_by_pair.items() if q]
        if pairs:
            self.world.queues_by_pair[pairs[pick % len(pairs)]].clear()

    @stateful.rule(pick=picks, result=results)
    def answer(self, pick, result):
        if self.world.runs:
            run = self.world.runs[pick % len(self.world.runs)]
            self.world.answer(run, result)

    @stateful.rule(pick=picks, is_confirmed=st.booleans())
    def stop(self, pick, is_confirmed):
        if self.world.stops:
            stop = self.world.stops[pick % len(self.world.stops)]
            self.world.stop(stop, is_confirmed)

    @stateful.rule(pick=picks, is_saved=st.booleans())
    def checkpoint(self, pick, is_saved):
        waiting = self.world.checkpoints
        if waiting:
            self.world.checkpoint(waiting[pick % len(waiting)], is_saved)

    @stateful.rule(
        duration_ms=st.sampled_from([100, 1_000, 3_200]),
        silent=st.sets(names, max_size=1),
    )
    def pass_time(self, duration_ms, silent):
        if self.time_ms < MAX_TIME_MS:
            self.time_ms += duration_ms
            self.world.pass_time(duration_ms, silent)

    @stateful.rule(name=names, memory_mb=st.sampled_from([10, 9_999]))
    def report_usage(self, name, memory_mb):
        usages = tuple(
            effects.TaskUsage(*run.key, memory_mb, 0)
            for run in self.world.runs
            if run.name == name
        )
        self.world.give(name, effects.UsageReported(usages))

    @stateful.rule(name=names, is_leave=rarely)
    def change_backend(self, name, is_leave):
        event = effects.BackendLeft()
        if not is_leave:
            event = effects.BackendAnnounced(
                'b:1', ('typesetting',), oracle.CAPACITY
            )
        self.world.give(name, event)

    @stateful.rule(name=names, is_drain=rarely, is_due=rarely)
    def end_process(self, name, is_drain, is_due):
        if is_drain:
            self.world.give(name, effects.StopRequested())
        elif is_due:
            self.world.restart(name)

    @stateful.invariant()
    def nothing_runs_that_does_not_fit(self):
        self.world.check()

    def teardown(self):
        """Let all end, and check that every start was told its end."""
        for _ in range(50):
            for run in list(self.world.runs):
                answer = effects.BackendAnswer(200, 'text/plain', b'whole')
                self.world.answer(run, Ok(answer))
            for stop in list(self.world.stops):
                self.world.stop(stop, is_confirmed=True)
            for checkpoint in list(self.world.checkpoints):
                self.world.checkpoint(checkpoint, is_saved=False)
            self.world.deliver_all()
            self.world.pass_time(200)
            self.world.check()
        for name, incarnation, key in self.started:
            if incarnation == self._incarnation(name):
                assert self.world.outcomes.get((name, incarnation, key))
        for agent in self.world.agents_by_name.values():
            assert agent.core.worker.ledger.used == shapes.Resources()


Agents.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestAgents = Agents.TestCase
