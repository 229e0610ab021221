"""The cores of entries, agents and workers under a simulated clock.

Every random choice comes from one seed, so that a run can be repeated.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from mulberryloom_agent.jobs import worker_calls
from mulberryloom_agent.jobs import worker_supervisor
from mulberryloom_core import messages
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.jobs import leader as leaders

from . import oracle as oracles
from ..store import core as store_core
from . import worker as workers

STEP_MS = 20
_CALL_TIMEOUT_MS = 500
_WATCH_MS = 2_000
_STOP_MS = 300
_TAKEOVER_MS = 1_500

Action: t.TypeAlias = t.Callable[[], None]


@dataclasses.dataclass(slots=True)
class Faults:
    """What may go wrong, as shares of all calls.

    :param lost: calls to the store whose answer is lost.
    :param late: orders to workers that get no answer and are carried out
        seconds later.
    :param failing: tasks that fail by their own fault.
    """

    lost: float = 0.0
    late: float = 0.0
    failing: float = 0.0


@dataclasses.dataclass(slots=True)
class _Agent:
    """An agent process beside a worker."""

    node: str
    supervisor: worker_supervisor.WorkerSupervisor
    worker: workers.WorkerStandIn
    leader: '_Entry | None' = None
    is_cut: bool = False
    is_frozen: bool = False
    is_worker_up: bool = True
    heartbeat_ms: int = 0
    connected_boot: int = 0
    has_session: bool = True
    orders_due_ms: int = 0
    report_due_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Entry:
    """An entry that leads, or believes that it does."""

    name: str
    leader: leaders.Leader
    revision: int
    has_store: bool = True
    has_agents: bool = True
    batch: t.Any = None
    batch_due_ms: int = 0
    watch_ms: int = 0
    is_dead: bool = False


class World:
    """One simulated region.

    :param seed: of every choice.
    :param faults: what may go wrong.
    """

    def __init__(
        self, seed: int, faults: Faults | None = None, agents: int = 4
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.now_ms = 1_000_000
        self.store = store_core.StoreCore()
        self.oracle = oracles.Oracle()
        self.catalogue = catalogues.Catalogue.from_parts(
            1,
            [catalogues.Queue('q', 'h', '/q/', 'service')],
            [catalogues.Service('service')],
            [catalogues.Account('account', frozenset('k'), 8)],
        )
        self._queue: list[tuple[int, int, Action]] = []
        self._numbers = itertools.count()
        self._work_by_task: dict[str, workers.Work] = {}
        self._names = itertools.count(1)
        self.agents = [self._new_agent(i) for i in range(agents)]
        self.entries: list[_Entry] = []
        self.take_over()

    # Set-up

    def _new_agent(self, index: int) -> _Agent:
        worker = workers.WorkerStandIn(
            f'w{index}',
            self.now_ms,
            f'r{index // 2}',
            self._work_of,
            self.random.randrange(100_000),
        )
        supervisor = worker_supervisor.WorkerSupervisor(
            worker_supervisor.WorkerSupervisorOptions(), self.now_ms
        )
        return _Agent(f'n{index}.{next(self._names)}', supervisor, worker)

    def _work_of(self, task: str) -> workers.Work:
        return self._work_by_task[task]

    @property
    def entry(self) -> _Entry:
        """The newest leader."""
        return self.entries[-1]

    def submit(
        self,
        job_id: str,
        steps: tuple[jobs.Step, ...],
        *,
        priority: int = 1,
        duration_ms: int = 1_500,
        is_told: bool = True,
    ) -> None:
        """Accept a job, as an entry does.

        :param is_told: whether the leader hears of it at once.
        """
        spec = jobs.JobSpec('payload', steps)
        terms = jobs.JobTerms(
            'q', 'service', 'account', priority, 2, 3.0, 1_000
        )
        job = jobs.Job.from_spec(job_id, spec, terms, self.now_ms)
        self.oracle.spec_by_job[job_id] = spec
        for key in job.task_by_key:
            has_failed = self.random.random() < self.faults.failing
            work = workers.Work(
                job.step_of(key),
                self.random.randrange(duration_ms // 2, duration_ms * 2),
                has_failed,
            )
            self._work_by_task[jobs.task_name(job_id, key)] = work
        key = keys.job_key(job_id)
        value = job_records.encode(job)
        request = store.Transact({key: 0}, {key: value})
        reply = self.store.handle(request, self.now_ms).unwrap()
        assert isinstance(reply, store.Written)
        if is_told:
            entry = store.Entry(key, value, reply.revision)
            self.entry.leader.apply_records([entry], self.now_ms, self.now_ms)

    def cancel(self, job_id: str) -> None:
        """Cancel a job in its record, as an entry does."""
        key = keys.job_key(job_id)
        found = self.store.state.get(key)
        if found is None:
            return
        job = job_records.decode(found.value).unwrap()
        if job.state.is_final:
            return
        job.is_cancelled = True
        self.oracle.cancelled_ids.add(job_id)
        value = job_records.encode(job)
        request = store.Transact({key: found.revision}, {key: value})
        reply = self.store.handle(request, self.now_ms).unwrap()
        assert isinstance(reply, store.Written)
        if self.random.random() < 0.7:
            entry = store.Entry(key, value, reply.revision)
            self.entry.leader.apply_records([entry], self.now_ms, self.now_ms)

    # Events

    def take_over(self) -> None:
        """Let another entry lead; the last one does not know yet."""
        state = self.store.state
        revision = state.revision_of(keys.LEADER)
        name = f'e{next(self._names)}'
        request = store.Transact(
            {keys.LEADER: revision}, {keys.LEADER: name.encode()}
        )
        reply = self.store.handle(request, self.now_ms).unwrap()
        assert isinstance(reply, store.Written)
        leader = leaders.Leader(
            reply.revision, leaders.LeaderOptions(), self.now_ms
        )
        leader.catalogue = self.catalogue
        leader.apply_records(
            state.list_prefix(keys.JOBS), self.now_ms, self.now_ms
        )
        self.entries.append(_Entry(name, leader, reply.revision))
        for agent in self.agents:
            self._tell_leader(agent, self.entry)

    def _tell_leader(self, agent: _Agent, entry: _Entry) -> None:
        def follow() -> None:
            if agent.is_cut or not entry.has_agents:
                self._after(500, follow)
                return
            agent.supervisor.follow(entry.leader.generation, self.now_ms)
            if agent.supervisor.generation == entry.leader.generation:
                agent.leader = entry

        self._after(self.random.randrange(5, 300), follow)

    def restart_agent(self, agent: _Agent) -> None:
        """Replace an agent process; its worker runs on."""
        agent.node = f'{agent.node.split(".")[0]}.{next(self._names)}'
        agent.supervisor = worker_supervisor.WorkerSupervisor(
            worker_supervisor.WorkerSupervisorOptions(), self.now_ms
        )
        agent.heartbeat_ms = self.now_ms + 400
        agent.leader = None
        self._tell_leader(agent, self.entry)

    def restart_worker(self, agent: _Agent) -> None:
        """Crash a worker; a new life begins a little later."""
        agent.worker.run_by_task.clear()
        old = agent.worker
        agent.worker = workers.WorkerStandIn(
            old.worker,
            self.now_ms,
            old.rack,
            self._work_of,
            self.random.randrange(100_000),
        )
        agent.heartbeat_ms = self.now_ms + self.random.randrange(100, 1_000)

    def replace_worker(self, agent: _Agent) -> None:
        """Power a VM off and on; its next worker has another id."""
        self.restart_worker(agent)
        agent.worker.worker = f'{agent.worker.worker}x'
        self.restart_agent(agent)

    def kill_entry(self, entry: _Entry) -> None:
        """End a leader's process."""
        entry.is_dead = True
        self._after(_TAKEOVER_MS, self._take_over_if_dead)

    def _take_over_if_dead(self) -> None:
        if self.entry.is_dead:
            self.take_over()

    # Time

    def run(self, duration_ms: int) -> None:
        """Let time pass, and check what must hold."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            while self._queue and self._queue[0][0] <= self.now_ms:
                _, _, action = heapq.heappop(self._queue)
                action()
            self._step_workers()
            for agent in self.agents:
                self._step_agent(agent)
            for entry in self.entries:
                if not entry.is_dead:
                    self._step_entry(entry)

    def _after(self, delay_ms: int, action: Action) -> None:
        due_ms = self.now_ms + max(1, delay_ms)
        heapq.heappush(self._queue, (due_ms, next(self._numbers), action))

    def _step_workers(self) -> None:
        members: dict[tuple[str, int, int, int], int] = {}
        for agent in self.agents:
            for run in agent.worker.run_by_task.values():
                if not run.stopping_ms:
                    gang = _gang_of(run)
                    members[gang] = members.get(gang, 0) + 1

        def is_whole(run: workers.WorkerRun) -> bool:
            step = run.work.step
            return not step.is_gang or members[_gang_of(run)] == step.tasks

        for agent in self.agents:
            before = set(agent.worker.run_by_task)
            agent.worker.advance(self.now_ms, STEP_MS, _STOP_MS, is_whole)
            ended = before - set(agent.worker.run_by_task)
            for task in ended:
                self._break_gang(task)
            self.oracle.note_ends(agent.worker)
        self.oracle.check_running([a.worker for a in self.agents], self.now_ms)

    def _break_gang(self, task: str) -> None:
        """End the other members of a gang as its one member has ended."""
        step = self._work_by_task[task].step
        if not step.is_gang:
            return
        ends = [
            end
            for agent in self.agents
            for end in agent.worker.ends
            if end.task == task
        ]
        if not ends:
            return
        last = max(ends, key=lambda end: end.run_number)
        prefix = task.rpartition('.')[0]
        how = jobs.RunEnd.BROKEN
        if last.how == jobs.RunEnd.DONE.value:
            how = jobs.RunEnd.DONE
        for agent in self.agents:
            for run in list(agent.worker.run_by_task.values()):
                same = run.task.rpartition('.')[0] == prefix
                if same and run.number == last.run_number:
                    agent.worker.end(run, how)

    def _step_agent(self, agent: _Agent) -> None:
        if agent.is_frozen:
            return
        if agent.is_worker_up and self.now_ms >= agent.heartbeat_ms:
            agent.heartbeat_ms = self.now_ms + 1_500
            agent.supervisor.on_heartbeat(agent.worker.info(), self.now_ms)
        for call in agent.supervisor.due_calls(self.now_ms):
            self._call_worker(agent, call)
        if agent.leader is None:
            return
        report = agent.supervisor.take_report(self.now_ms)
        if report is not None and not agent.is_cut:
            entry, node = agent.leader, agent.node
            if entry.has_agents and not entry.is_dead:

                def deliver() -> None:
                    entry.leader.on_report(
                        node, report, self.now_ms, self.now_ms
                    )

                delay_ms = self.random.randrange(1, 30)
                due_ms = max(agent.report_due_ms, self.now_ms + delay_ms)
                agent.report_due_ms = due_ms
                self._after(due_ms - self.now_ms, deliver)

    def _call_worker(
        self, agent: _Agent, call: worker_supervisor.Call
    ) -> None:
        supervisor, worker = agent.supervisor, agent.worker
        if isinstance(call, worker_calls.HoldCall):
            # Ends are acknowledged only over a connection that has answered.
            if agent.connected_boot != worker.boot:
                call = dataclasses.replace(call, observed=0)

        def answer(reply: t.Any) -> None:
            if agent.is_frozen:
                self._after(100, lambda: answer(reply))
            elif isinstance(call, worker_calls.HoldCall):
                agent.connected_boot = reply.boot or agent.connected_boot
                supervisor.on_hold_reply(call, reply, self.now_ms)
            elif isinstance(call, worker_calls.StartCall):
                supervisor.on_start_reply(call, reply, self.now_ms)
            else:
                supervisor.on_stop_reply(call, reply, self.now_ms)

        def unanswered() -> None:
            status = worker_calls.CallStatus.UNKNOWN
            if isinstance(call, worker_calls.HoldCall):
                answer(worker_calls.HoldReply(status))
            else:
                answer(worker_calls.CallReply(status))

        def carry_out() -> t.Any:
            if worker is not agent.worker:
                return None
            if isinstance(call, worker_calls.HoldCall):
                self.oracle.note_observed(worker, call.observed)
                return worker.hold(call, self.now_ms)
            if isinstance(call, worker_calls.StopCall):
                return worker.stop(call, self.now_ms)
            before = worker.run_by_task.get(call.start.task)
            reply = worker.start(call, self.now_ms)
            begun = worker.run_by_task.get(call.start.task)
            if begun is not None and begun is not before:
                self.oracle.check_start(worker, begun, self.now_ms)
            return reply

        def arrive() -> None:
            reply = carry_out()
            if reply is None:
                self._after(_CALL_TIMEOUT_MS, unanswered)
            else:
                self._after(
                    self.random.randrange(1, 20), lambda: answer(reply)
                )

        if self.random.random() < self.faults.late:
            self._after(self.random.randrange(2_000, 12_000), carry_out)
            self._after(_CALL_TIMEOUT_MS, unanswered)
        else:
            self._after(self.random.randrange(1, 20), arrive)

    def _step_entry(self, entry: _Entry) -> None:
        leader = entry.leader
        if leader.is_deposed:
            entry.is_dead = True
            return
        leader.tick(self.now_ms, self.now_ms)
        leader.plan(self.now_ms, self.now_ms)
        self._write(entry)
        self._watch(entry)
        for agent in self.agents:
            is_up = entry.has_agents and not agent.is_cut
            if is_up and not agent.has_session:
                leader.on_session(agent.node)
            if entry is self.entry:
                agent.has_session = is_up
        for node, orders in leader.take_orders(self.now_ms):
            agent = next((a for a in self.agents if a.node == node), None)
            if agent is not None and entry.has_agents and not agent.is_cut:
                self._send_orders(agent, orders)

    def _send_orders(
        self, agent: _Agent, orders: messages.WorkerOrders
    ) -> None:
        """Deliver orders in their order, as a session does."""
        supervisor = agent.supervisor
        delay_ms = self.random.randrange(1, 30)
        due_ms = max(agent.orders_due_ms, self.now_ms + delay_ms)
        agent.orders_due_ms = due_ms

        def deliver() -> None:
            if agent.is_frozen:
                self._after(100, deliver)
            else:
                supervisor.on_orders(orders, self.now_ms)

        self._after(due_ms - self.now_ms, deliver)

    def _write(self, entry: _Entry) -> None:
        """Write the next batch, or the last one again until it is settled."""
        leader = entry.leader
        if entry.batch is None:
            entry.batch = leader.next_batch()
            entry.batch_due_ms = self.now_ms
        if entry.batch is None or self.now_ms < entry.batch_due_ms:
            return
        if not entry.has_store:
            entry.batch_due_ms = self.now_ms + 200
            return
        batch, started_ms = entry.batch, self.now_ms
        if self.random.random() < self.faults.lost:
            entry.batch_due_ms = self.now_ms + 600
            delay_ms = self.random.choice([0, 0, 1_000, 4_000])
            self._after(
                delay_ms,
                lambda: self.store.handle(batch.request, self.now_ms),
            )
            return
        reply = self.store.handle(batch.request, self.now_ms)
        entry.batch_due_ms = self.now_ms + 200
        if reply.is_err():
            return
        entry.batch = None
        leader.complete_batch(
            batch,
            t.cast('store.Written | store.Conflict', reply.unwrap()),
            self.now_ms,
            self.now_ms,
        )
        if not leader.is_deposed:
            leader.confirmed_ms = started_ms
            for job_id in batch.value_by_job_id:
                state = leader.job_state(job_id)
                if state is not None:
                    self.oracle.check_shown(job_id, state)

    def _watch(self, entry: _Entry) -> None:
        """See what changed in the store, and who leads."""
        if not entry.has_store or self.now_ms < entry.watch_ms:
            return
        entry.watch_ms = self.now_ms + _WATCH_MS
        generation = self.store.state.revision_of(keys.LEADER)
        if generation == entry.leader.generation:
            entry.leader.confirmed_ms = self.now_ms
        changes = self.store.state.list_changes(keys.JOBS, entry.revision)
        entry.revision = self.store.state.revision
        entry.leader.apply_records(
            [e for e in changes if e.value], self.now_ms, self.now_ms
        )

    def state_of(self, job_id: str) -> jobs.JobState:
        """Return a job's state by its record."""
        found = self.store.state.get(keys.job_key(job_id))
        assert found is not None, f'{job_id} was forgotten'
        return job_records.decode(found.value).unwrap().state

    def check_all_ended(self) -> None:
        """Check that every accepted job has reached a final state."""
        for job_id in self.oracle.spec_by_job:
            state = self.state_of(job_id)
            if not state.is_final:
                raise oracles.Violation(f'{job_id} is still {state.value}')
            is_cancelled = job_id in self.oracle.cancelled_ids
            if state is jobs.JobState.CANCELLED and not is_cancelled:
                raise oracles.Violation(f'{job_id} was not cancelled')


def _gang_of(run: workers.WorkerRun) -> tuple[str, int, int, int]:
    job_id, key = jobs.parse_task_name(run.task) or ('', jobs.TaskKey(0, 0, 0))
    return job_id, key.repetition, key.step, run.number
