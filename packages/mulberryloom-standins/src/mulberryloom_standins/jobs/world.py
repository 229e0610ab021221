"""Simulation of entries, agents and workers of the job path.

The product's sans-I/O cores run under a simulated clock, against a store and
workers that are simulated too. All random choices come from one seed, so
that a run can be reproduced.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from mulberryloom_agent.jobs import worker_calls
from mulberryloom_agent.jobs import worker_supervisor
from mulberryloom_core.connection import node as nodes
from mulberryloom_core.connection import options as session_options
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
_WATCH_INTERVAL_MS = 2_000
_STOP_DURATION_MS = 300
_TAKEOVER_DELAY_MS = 1_500
#: Pause before evacuations are read again after a failed read.
_EVACUATION_RETRY_MS = 200
_START_ORDER_VALID_MS = 1_500
#: Rate by which slow clocks of workers lag.
_SLOWNESS_PERMILLE = 20
_SESSIONS = session_options.LEASE_OPTIONS
#: Longest time for which a link can hold messages that are then delivered,
#: by the options of the sessions and the interval of their checks: a peer
#: closes a connection that is silent for longer, and ends a session that is
#: without a connection for too long.
_CONNECTION_HOLD_MS = _SESSIONS.silence_timeout_ms + nodes.TICK_MS
_SESSION_HOLD_MS = _CONNECTION_HOLD_MS + _SESSIONS.session_timeout_ms
#: Times from the start of a task to the crash of its worker, and from the
#: crash to the first heartbeat of the next worker.
_CRASH_DELAY_MS = 20
_CRASH_DURATION_MS = 3_300

Action: t.TypeAlias = t.Callable[[], None]


@dataclasses.dataclass(slots=True)
class Faults:
    """Probabilities of injected faults, from 0 to 1.

    :param lost_reply_share: writes to the store whose reply is lost.
    :param late_call_share: calls to workers that time out and are executed
        2 to 12 seconds after they were sent.
    :param lost_call_reply_share: calls to workers that are executed at once
        and time out.
    :param failing_task_share: tasks whose runs all fail because of the task
        itself.
    :param crashing_task_share: tasks that crash each worker that starts
        them.
    :param ends_per_reply: most ended runs that a worker lists at a time; a
        number, not a probability.
    :param slow_clock_share: workers whose clock runs 2 % slow.
    :param has_late_calls_at_successors: whether calls that are executed late
        reach a later incarnation of the same id; not a probability.
    """

    lost_reply_share: float = 0.0
    late_call_share: float = 0.0
    lost_call_reply_share: float = 0.0
    failing_task_share: float = 0.0
    crashing_task_share: float = 0.0
    ends_per_reply: int = 500
    slow_clock_share: float = 0.0
    has_late_calls_at_successors: bool = False


@dataclasses.dataclass(slots=True)
class _Agent:
    """An agent process and the worker that it supervises.

    :ivar node: name of the agent's VM and incarnation.
    :ivar leader: entry that the agent follows.
    :ivar is_partitioned: whether no entry can exchange messages with it.
    :ivar is_frozen: whether the process is suspended; replies and orders
        wait until it continues.
    :ivar heartbeat_due_ms: time of the worker's next heartbeat.
    :ivar connected_boot: start of the worker incarnation that last answered,
        ``0`` if none did.
    :ivar has_session: whether the current leader had a session with it when
        it last looked.
    :ivar orders_due_ms: delivery time of the last orders sent to it; later
        ones arrive no earlier.
    :ivar report_due_ms: the same for reports that it sent.
    :ivar orders_held_until_ms: time until which its link holds orders.
    :ivar reports_held_until_ms: the same for its reports.
    :ivar heartbeats_refused_until_ms: time until which the process refuses
        the worker's heartbeats.
    """

    node: str
    supervisor: worker_supervisor.WorkerSupervisor
    worker: workers.WorkerStandIn
    leader: '_Entry | None' = None
    is_partitioned: bool = False
    is_frozen: bool = False
    is_worker_up: bool = True
    heartbeat_due_ms: int = 0
    connected_boot: int = 0
    has_session: bool = True
    orders_due_ms: int = 0
    report_due_ms: int = 0
    orders_held_until_ms: int = 0
    reports_held_until_ms: int = 0
    heartbeats_refused_until_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Entry:
    """An entry that leads or has not noticed yet that it was deposed.

    :ivar revision: revision of the store up to which it has read.
    :ivar batch: write in progress, retried until the store answers it.
    :ivar batch_due_ms: time of the next attempt to write.
    :ivar batch_sent_ms: time of the first one.
    :ivar watch_due_ms: time of the next read of changes.
    :ivar evacuation_revision: revision of the last list of evacuations that
        was requested; ``-1`` before the first.
    :ivar evacuation_due_ms: earliest time of the next one.
    :ivar paused_until_ms: time until which the process is suspended.
    :ivar pause_after_write_ms: length of the pause that begins once the next
        write is answered, before any order is sent; ``0`` for none.
    :ivar waiting_reports: reports that wait until it continues.
    :ivar is_dead: whether it was killed, or has stepped down.
    """

    name: str
    leader: leaders.Leader
    revision: int
    can_reach_store: bool = True
    can_reach_agents: bool = True
    batch: t.Any = None
    batch_due_ms: int = 0
    batch_sent_ms: int = 0
    watch_due_ms: int = 0
    is_dead: bool = False
    evacuation_revision: int = -1
    evacuation_due_ms: int = 0
    paused_until_ms: int = 0
    pause_after_write_ms: int = 0
    waiting_reports: list[Action] = dataclasses.field(default_factory=list)


class World:
    """One simulated region.

    :param seed: seed of all random choices.
    :param faults: probabilities of injected faults; none by default.
    :param agents: number of agents, each with one worker. Each rack of two
        is a data centre.
    :param is_following: whether leaders follow evacuations, with the write
        condition and the validity of starts.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults | None = None,
        agents: int = 4,
        *,
        is_following: bool = True,
    ) -> None:
        self._leader_options = leaders.LeaderOptions()
        if is_following:
            self._leader_options = leaders.LeaderOptions(
                evacuation_prefix=keys.EVACUATIONS,
                start_order_valid_ms=_START_ORDER_VALID_MS,
            )
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.now_ms = 1_000_000
        #: Error of the time of day, with which workers date their starts.
        self.wall_offset_ms = 0
        self.store = store_core.StoreCore()
        self.oracle = oracles.Oracle()
        self.catalogue = catalogues.Catalogue.from_parts(
            1,
            [catalogues.Queue('q', 'h', '/q/', 'service')],
            [catalogues.Service('service')],
            [catalogues.Account('account', frozenset('k'), 8)],
        )
        self._scheduled_actions: list[tuple[int, int, Action]] = []
        self._action_numbers = itertools.count()
        self._work_by_task: dict[str, workers.Work] = {}
        self._name_numbers = itertools.count(1)
        #: Number of workers that crashed under a task.
        self.crash_count = 0
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
            data_centre=f'd{index // 2}',
            ends_per_reply=self.faults.ends_per_reply,
            slowness_permille=self._draw_slowness(),
        )
        supervisor = worker_supervisor.WorkerSupervisor(
            worker_supervisor.WorkerSupervisorOptions(), self.now_ms
        )
        return _Agent(
            f'n{index}.{next(self._name_numbers)}', supervisor, worker
        )

    def _draw_slowness(self) -> int:
        share = self.faults.slow_clock_share
        is_slow = share > 0 and self.random.random() < share
        return _SLOWNESS_PERMILLE if is_slow else 0

    def _work_of(self, task: str) -> workers.Work:
        return self._work_by_task[task]

    @property
    def entry(self) -> _Entry:
        """The entry that took over most recently."""
        return self.entries[-1]

    def submit(
        self,
        job_id: str,
        steps: tuple[jobs.Step, ...],
        *,
        priority: int = 1,
        duration_ms: int = 1_500,
        is_leader_notified: bool = True,
    ) -> None:
        """Write a new job's record to the store, as an entry does.

        :param duration_ms: typical run time of a task; actual ones are
            drawn from half of it to twice as much.
        :param is_leader_notified: whether the leader learns of the job at
            once rather than by its next watch.
        """
        spec = jobs.JobSpec('payload', steps)
        terms = jobs.JobTerms(
            'q', 'service', 'account', priority, 2, 3.0, 1_000
        )
        job = jobs.Job.from_spec(job_id, spec, terms, self.now_ms)
        self.oracle.spec_by_job[job_id] = spec
        for key in job.task_by_key:
            is_failing = self.random.random() < self.faults.failing_task_share
            is_crashing = self._is_crashing()
            work = workers.Work(
                job.step_of(key),
                self.random.randrange(duration_ms // 2, duration_ms * 2),
                is_failing,
                is_crashing,
            )
            self._work_by_task[jobs.task_name(job_id, key)] = work
        key = keys.job_key(job_id)
        value = job_records.encode(job)
        request = store.Transact({key: 0}, {key: value})
        reply = self.store.handle(request, self.now_ms).unwrap()
        assert isinstance(reply, store.Written)
        if is_leader_notified:
            entry = store.Entry(key, value, reply.revision)
            self.entry.leader.apply_records([entry], self.now_ms, self.now_ms)

    def _is_crashing(self) -> bool:
        share = self.faults.crashing_task_share
        return share > 0 and self.random.random() < share

    def cancel(self, job_id: str) -> None:
        """Mark a job as cancelled in its record, as an entry does.

        The leader is notified at once in 70 % of the cases; otherwise it
        learns of the change by its next watch.
        """
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
        """Elect another entry; the previous leader has not noticed yet."""
        state = self.store.state
        revision = state.revision_of(keys.LEADER)
        name = f'e{next(self._name_numbers)}'
        request = store.Transact(
            {keys.LEADER: revision}, {keys.LEADER: name.encode()}
        )
        reply = self.store.handle(request, self.now_ms).unwrap()
        assert isinstance(reply, store.Written)
        leader = leaders.Leader(
            reply.revision, self._leader_options, self.now_ms
        )
        leader.catalogue = self.catalogue
        leader.apply_records(
            state.list_prefix(keys.JOBS), self.now_ms, self.now_ms
        )
        self.entries.append(_Entry(name, leader, reply.revision))
        for agent in self.agents:
            self._announce_leader(agent, self.entry)

    def evacuate(self, data_centre: str) -> None:
        """Evacuate a data centre, as the operator does."""
        key = keys.EVACUATIONS + data_centre
        # The stand-in of the store takes an empty value for an absent key.
        request = store.Transact({key: 0}, {key: b'1'})
        reply = self.store.handle(request, self.now_ms)
        if reply.is_ok() and isinstance(reply.unwrap(), store.Written):
            self.oracle.evacuated_ms_by_name[data_centre] = self.now_ms

    def end_evacuation(self, data_centre: str) -> None:
        """Take the evacuation of a data centre back."""
        request = store.DeleteMany([keys.EVACUATIONS + data_centre])
        if self.store.handle(request, self.now_ms).is_ok():
            self.oracle.evacuated_ms_by_name.pop(data_centre, None)

    def _announce_leader(self, agent: _Agent, entry: _Entry) -> None:
        def follow() -> None:
            if agent.is_partitioned or not entry.can_reach_agents:
                self._after(500, follow)
                return
            agent.supervisor.follow(entry.leader.generation, self.now_ms)
            if agent.supervisor.generation == entry.leader.generation:
                agent.leader = entry

        self._after(self.random.randrange(5, 300), follow)

    def restart_agent(self, agent: _Agent) -> None:
        """Replace an agent process; its worker keeps running."""
        agent.node = f'{agent.node.split(".")[0]}.{next(self._name_numbers)}'
        agent.supervisor = worker_supervisor.WorkerSupervisor(
            worker_supervisor.WorkerSupervisorOptions(), self.now_ms
        )
        agent.heartbeat_due_ms = self.now_ms + 400
        agent.leader = None
        self._announce_leader(agent, self.entry)

    def hold_reports(self, agent: _Agent, duration_ms: int) -> None:
        """Let the link of an agent hold its reports, then deliver them.

        If that takes too long for the session, they are lost with it.
        """
        if duration_ms <= _SESSION_HOLD_MS:
            agent.reports_held_until_ms = self.now_ms + duration_ms
        else:
            self._cut_for(agent, duration_ms)

    def hold_orders(self, agent: _Agent, duration_ms: int) -> None:
        """Let the link of an agent hold its orders, then deliver them.

        If that takes too long for the session, they are lost with it.
        """
        if duration_ms <= _SESSION_HOLD_MS:
            agent.orders_held_until_ms = self.now_ms + duration_ms
        else:
            self._cut_for(agent, duration_ms)

    def _cut_for(self, agent: _Agent, duration_ms: int) -> None:
        def restore() -> None:
            agent.is_partitioned = False

        agent.is_partitioned = True
        self._after(duration_ms, restore)

    def overtake_reports(
        self, agent: _Agent, *, is_vm_restarted: bool
    ) -> None:
        """Hold the reports of an agent that soon restarts.

        Those of its next process arrive over another connection, and may
        overtake them.

        :param is_vm_restarted: whether the worker restarts too, under
            another id.
        """
        self.hold_reports(agent, _CONNECTION_HOLD_MS)
        node = agent.node

        def restart() -> None:
            if agent.node != node:
                return
            agent.reports_held_until_ms = 0
            agent.report_due_ms = 0
            if is_vm_restarted:
                self.replace_worker(agent)
            else:
                self.restart_agent(agent)

        self._after(self.random.randrange(100, 1_000), restart)

    def refuse_heartbeats(self, agent: _Agent, duration_ms: int) -> None:
        """Let an agent refuse the heartbeats of its worker for a while."""
        agent.heartbeats_refused_until_ms = self.now_ms + duration_ms

    def restart_worker(self, agent: _Agent) -> None:
        """Crash a worker; its next incarnation registers a little later."""
        agent.worker.run_by_task.clear()
        old = agent.worker
        agent.worker = workers.WorkerStandIn(
            old.worker,
            self.now_ms + self.wall_offset_ms,
            old.rack,
            self._work_of,
            self.random.randrange(100_000),
            data_centre=old.data_centre,
            ends_per_reply=self.faults.ends_per_reply,
            slowness_permille=self._draw_slowness(),
        )
        agent.heartbeat_due_ms = self.now_ms + self.random.randrange(
            100, 1_000
        )

    def crash_worker(
        self, agent: _Agent, worker: workers.WorkerStandIn
    ) -> None:
        """Crash a worker, if it is still the one of its VM.

        Its calls are not answered until the next worker registers.
        """
        if agent.worker is not worker or not agent.is_worker_up:
            return
        self.crash_count += 1
        self.oracle.record_crash(worker)
        agent.worker.run_by_task.clear()
        agent.is_worker_up = False

        def come_back() -> None:
            agent.is_worker_up = True
            if agent.worker is not worker:
                return
            self.restart_worker(agent)
            if self.random.random() < 0.7:
                agent.worker.worker = f'{worker.worker}x'
            agent.heartbeat_due_ms = self.now_ms

        self._after(_CRASH_DURATION_MS, come_back)

    def resize_worker(self, agent: _Agent) -> None:
        """Let a worker shrink to a part of its capacity, or grow again."""
        share = self.random.choice([0.25, 0.5, 1.0])
        agent.worker.resize(
            int(workers.FULL_CPU_MILLIS * share),
            int(workers.FULL_ACCELERATORS * share),
            self.now_ms,
        )

    def replace_worker(self, agent: _Agent) -> None:
        """Power-cycle a VM; its next worker has another id."""
        self.restart_worker(agent)
        agent.worker.worker = f'{agent.worker.worker}x'
        self.restart_agent(agent)

    def drain_worker(self, agent: _Agent) -> None:
        """Announce the end of a worker, which leaves seconds later.

        Another worker starts on its VM. The notice of the end may reach the
        agent only after that.
        """
        leaving = agent.worker
        if leaving.is_draining:
            return
        leaving.is_draining = True
        agent.heartbeat_due_ms = self.now_ms

        def leave() -> None:
            if agent.worker is not leaving:
                return
            self.restart_worker(agent)
            if self.random.random() < 0.5:
                agent.worker.worker = f'{leaving.worker}x'
            self._after(
                self.random.choice([1, 1, 600, 3_000]),
                lambda: agent.supervisor.on_leave(leaving.worker, self.now_ms),
            )

        self._after(self.random.randrange(1_000, 5_000), leave)

    def send_foreign_heartbeat(self, agent: _Agent) -> None:
        """Deliver a heartbeat that another writer has sent.

        It names another worker, incarnation or service, or has a number far
        ahead of those of the worker.
        """
        info = agent.worker.info()
        changes = self.random.choice(
            [
                {'worker': 'foreign', 'boot': self.now_ms},
                {'boot': info.boot + 1_000},
                {'boot': info.boot - 1_000},
                {'service': 'no-such-service', 'sequence': 1_000_000},
                {'sequence': 1_000_000, 'is_draining': True},
            ]
        )
        if not agent.is_frozen:
            foreign = dataclasses.replace(info, **changes)
            agent.supervisor.on_heartbeat(foreign, self.now_ms)

    def restart_worker_twice(self, agent: _Agent) -> None:
        """Crash a worker, and its next incarnation soon after."""
        self.restart_worker(agent)
        self._after(
            self.random.randrange(500, 3_000),
            lambda: self.restart_worker(agent),
        )

    def kill_entry(self, entry: _Entry) -> None:
        """Kill an entry; another one takes over if it was the leader."""
        entry.is_dead = True
        self._after(_TAKEOVER_DELAY_MS, self._take_over_if_dead)

    def _take_over_if_dead(self) -> None:
        if self.entry.is_dead:
            self.take_over()

    # Passage of time

    def run(self, duration_ms: int) -> None:
        """Advance the simulation, and check the invariants at each step."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            while (
                self._scheduled_actions
                and self._scheduled_actions[0][0] <= self.now_ms
            ):
                _, _, action = heapq.heappop(self._scheduled_actions)
                action()
            self._advance_workers()
            for agent in self.agents:
                self._advance_agent(agent)
            for entry in self.entries:
                if not entry.is_dead:
                    self._advance_entry(entry)

    def _after(self, delay_ms: int, action: Action) -> None:
        due_ms = self.now_ms + max(1, delay_ms)
        heapq.heappush(
            self._scheduled_actions,
            (due_ms, next(self._action_numbers), action),
        )

    def _advance_workers(self) -> None:
        member_count_by_gang: dict[tuple[str, int, int, int], int] = {}
        for agent in self.agents:
            for run in agent.worker.run_by_task.values():
                if not run.stop_requested_ms:
                    gang = _gang_of(run)
                    member_count_by_gang[gang] = (
                        member_count_by_gang.get(gang, 0) + 1
                    )

        def is_gang_complete(run: workers.WorkerRun) -> bool:
            step = run.work.step
            return (
                not step.is_gang
                or member_count_by_gang[_gang_of(run)] == step.tasks
            )

        for agent in self.agents:
            before = set(agent.worker.run_by_task)
            agent.worker.advance(
                self.now_ms, STEP_MS, _STOP_DURATION_MS, is_gang_complete
            )
            ended = before - set(agent.worker.run_by_task)
            for task in ended:
                self._end_gang(task)
            self.oracle.record_ends(agent.worker)
        self.oracle.check_running([a.worker for a in self.agents], self.now_ms)

    def _end_gang(self, task: str) -> None:
        """End the other members of a gang after one of them has ended."""
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
        last_end = max(ends, key=lambda end: end.run_number)
        prefix = task.rpartition('.')[0]
        how = jobs.RunEnd.BROKEN
        if last_end.how == jobs.RunEnd.DONE.value:
            how = jobs.RunEnd.DONE
        for agent in self.agents:
            for run in list(agent.worker.run_by_task.values()):
                is_same_gang = run.task.rpartition('.')[0] == prefix
                if is_same_gang and run.number == last_end.run_number:
                    agent.worker.end(run, how)

    def _advance_agent(self, agent: _Agent) -> None:
        if agent.is_frozen:
            return
        if agent.is_worker_up and self.now_ms >= agent.heartbeat_due_ms:
            agent.heartbeat_due_ms = self.now_ms + 1_500
            if self.now_ms >= agent.heartbeats_refused_until_ms:
                agent.supervisor.on_heartbeat(agent.worker.info(), self.now_ms)
        for call in agent.supervisor.due_calls(self.now_ms):
            self._send_call(agent, call)
        if agent.leader is None:
            return
        report = agent.supervisor.take_report(self.now_ms)
        if report is not None and not agent.is_partitioned:
            entry, node = agent.leader, agent.node
            if entry.can_reach_agents and not entry.is_dead:

                def handle() -> None:
                    entry.leader.on_report(
                        node, report, self.now_ms, self.now_ms
                    )

                def deliver() -> None:
                    if entry.paused_until_ms > self.now_ms:
                        entry.waiting_reports.append(handle)
                    else:
                        self._handle_waiting_reports(entry)
                        handle()

                delay_ms = self.random.randrange(1, 30)
                due_ms = max(
                    agent.report_due_ms,
                    agent.reports_held_until_ms,
                    self.now_ms + delay_ms,
                )
                agent.report_due_ms = due_ms
                self._after(due_ms - self.now_ms, deliver)

    def _send_call(self, agent: _Agent, call: worker_supervisor.Call) -> None:
        supervisor, called_worker = agent.supervisor, agent.worker
        if isinstance(call, worker_calls.HoldCall):
            # An agent acknowledges ends only to an incarnation that has
            # answered it before.
            if agent.connected_boot != called_worker.boot:
                call = dataclasses.replace(call, observed=0)

        def deliver_reply(reply: t.Any) -> None:
            if agent.is_frozen:
                self._after(100, lambda: deliver_reply(reply))
            elif isinstance(call, worker_calls.HoldCall):
                agent.connected_boot = reply.boot or agent.connected_boot
                supervisor.on_hold_reply(call, reply, self.now_ms)
            elif isinstance(call, worker_calls.StartCall):
                supervisor.on_start_reply(call, reply, self.now_ms)
            else:
                supervisor.on_stop_reply(call, reply, self.now_ms)

        def time_out() -> None:
            status = worker_calls.CallStatus.UNKNOWN
            if isinstance(call, worker_calls.HoldCall):
                deliver_reply(worker_calls.HoldReply(status))
            else:
                deliver_reply(worker_calls.CallReply(status))

        def execute(*, is_late: bool = False) -> t.Any:
            worker = called_worker
            if is_late and self._is_successor(agent.worker, worker):
                worker = agent.worker
            if worker is not agent.worker or not agent.is_worker_up:
                return None
            if self._is_shed(worker, call):
                return worker_calls.CallReply(
                    worker_calls.CallStatus.UNHEALTHY
                )
            if isinstance(call, worker_calls.HoldCall):
                self.oracle.record_acknowledged(worker, call.observed)
                return worker.hold(call, self.now_ms)
            if isinstance(call, worker_calls.StopCall):
                return worker.stop(call, self.now_ms)
            previous = worker.run_by_task.get(call.start.task)
            reply = worker.start(call, self.now_ms)
            started = worker.run_by_task.get(call.start.task)
            if started is not None and started is not previous:
                self.oracle.check_start(worker, started, self.now_ms)
                self.oracle.check_capacity(
                    worker, self.now_ms, is_late=is_late
                )
                if not is_late:
                    self.oracle.check_evacuation(worker, started, self.now_ms)
                if started.work.is_crashing:
                    self._after(
                        _CRASH_DELAY_MS,
                        lambda: self.crash_worker(agent, worker),
                    )
            return reply

        def execute_and_reply() -> None:
            reply = execute()
            if reply is None:
                self._after(_CALL_TIMEOUT_MS, time_out)
            else:
                self._after(
                    self.random.randrange(1, 20), lambda: deliver_reply(reply)
                )

        if self.random.random() < self.faults.late_call_share:
            self._after(
                self.random.randrange(2_000, 12_000),
                lambda: execute(is_late=True),
            )
            self._after(_CALL_TIMEOUT_MS, time_out)
        elif self._is_call_reply_lost():
            self._after(self.random.randrange(1, 20), execute)
            self._after(_CALL_TIMEOUT_MS, time_out)
        else:
            self._after(self.random.randrange(1, 20), execute_and_reply)

    def _is_successor(
        self, worker: workers.WorkerStandIn, earlier: workers.WorkerStandIn
    ) -> bool:
        """Whether late calls to an earlier worker reach this one."""
        return (
            self.faults.has_late_calls_at_successors
            and worker.worker == earlier.worker
        )

    def _is_call_reply_lost(self) -> bool:
        share = self.faults.lost_call_reply_share
        return share > 0 and self.random.random() < share

    def _is_shed(
        self, worker: workers.WorkerStandIn, call: worker_supervisor.Call
    ) -> bool:
        """Whether an overloaded worker refuses an order."""
        is_order = not isinstance(call, worker_calls.HoldCall)
        return worker.is_shedding and is_order and self.random.random() < 0.5

    def _advance_entry(self, entry: _Entry) -> None:
        leader = entry.leader
        if leader.is_deposed:
            entry.is_dead = True
            return
        if entry.paused_until_ms > self.now_ms:
            return
        self._handle_waiting_reports(entry)
        self._follow_evacuations(entry)
        leader.tick(self.now_ms, self.now_ms)
        leader.plan(self.now_ms, self.now_ms)
        self._write(entry)
        if entry.paused_until_ms > self.now_ms:
            return
        self._watch(entry)
        for agent in self.agents:
            is_reachable = entry.can_reach_agents and not agent.is_partitioned
            if is_reachable and not agent.has_session:
                leader.on_session(agent.node)
            if entry is self.entry:
                agent.has_session = is_reachable
        for node, orders in leader.take_orders(self.now_ms):
            agent = next((a for a in self.agents if a.node == node), None)
            if (
                agent is not None
                and entry.can_reach_agents
                and not agent.is_partitioned
            ):
                self._send_orders(agent, orders)

    def _send_orders(
        self, agent: _Agent, orders: messages.WorkerOrders
    ) -> None:
        """Deliver orders in the order of sending, as a session does."""
        supervisor = agent.supervisor
        delay_ms = self.random.randrange(1, 30)
        due_ms = max(
            agent.orders_due_ms,
            agent.orders_held_until_ms,
            self.now_ms + delay_ms,
        )
        agent.orders_due_ms = due_ms

        def deliver() -> None:
            if agent.is_frozen:
                self._after(100, deliver)
            else:
                supervisor.on_orders(orders, self.now_ms)

        self._after(due_ms - self.now_ms, deliver)

    def _handle_waiting_reports(self, entry: _Entry) -> None:
        while entry.waiting_reports:
            entry.waiting_reports.pop(0)()

    def _follow_evacuations(self, entry: _Entry) -> None:
        """Read the evacuations at the start, and after each change.

        Some answers arrive late, and later ones may overtake them.
        """
        state, prefix = self.store.state, keys.EVACUATIONS
        if not entry.leader.evacuation_prefix:
            return
        if self.now_ms < entry.evacuation_due_ms:
            return
        is_known = entry.evacuation_revision >= 0
        if is_known and not state.list_changes(
            prefix, entry.evacuation_revision
        ):
            return
        reply = None
        if entry.can_reach_store:
            request = store.ListKeys(prefix)
            reply = self.store.handle(request, self.now_ms).ok()
        if reply is None:
            entry.evacuation_due_ms = self.now_ms + _EVACUATION_RETRY_MS
            return
        assert isinstance(reply, store.Entries)
        entry.evacuation_revision = reply.revision

        def deliver() -> None:
            if entry.paused_until_ms > self.now_ms:
                self._after(100, deliver)
            else:
                entry.leader.apply_evacuations(
                    reply.entries, reply.revision, self.now_ms
                )

        delay_ms = self.random.choice([5, 20, 50, 300, 2_000])
        self._after(delay_ms, deliver)

    def _write(self, entry: _Entry) -> None:
        """Write the next batch, or retry the last one until it succeeds.

        A write whose reply is lost may take effect seconds later, possibly
        after its retry.
        """
        leader = entry.leader
        if entry.batch is None:
            entry.batch = leader.next_batch()
            entry.batch_due_ms = self.now_ms
            entry.batch_sent_ms = self.now_ms
        if entry.batch is None or self.now_ms < entry.batch_due_ms:
            return
        if not entry.can_reach_store:
            entry.batch_due_ms = self.now_ms + 200
            return
        batch, started_ms = entry.batch, self.now_ms
        if self.random.random() < self.faults.lost_reply_share:
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
            first_sent_ms=entry.batch_sent_ms,
            last_sent_ms=started_ms,
        )
        entry.paused_until_ms = self.now_ms + entry.pause_after_write_ms
        entry.pause_after_write_ms = 0
        if not leader.is_deposed:
            leader.confirmed_ms = started_ms
            for job_id in batch.value_by_job_id:
                state = leader.job_state(job_id)
                if state is not None:
                    self.oracle.check_visible_state(job_id, state)

    def _watch(self, entry: _Entry) -> None:
        """Apply changed records, and confirm the leadership."""
        if not entry.can_reach_store or self.now_ms < entry.watch_due_ms:
            return
        entry.watch_due_ms = self.now_ms + _WATCH_INTERVAL_MS
        generation = self.store.state.revision_of(keys.LEADER)
        if generation == entry.leader.generation:
            entry.leader.confirmed_ms = self.now_ms
        changes = self.store.state.list_changes(keys.JOBS, entry.revision)
        entry.revision = self.store.state.revision
        entry.leader.apply_records(
            [e for e in changes if e.value], self.now_ms, self.now_ms
        )

    def state_of(self, job_id: str) -> jobs.JobState:
        """Return the state in a job's stored record."""
        found = self.store.state.get(keys.job_key(job_id))
        assert found is not None, f'job {job_id} has no record in the store'
        return job_records.decode(found.value).unwrap().state

    def check_all_ended(self) -> None:
        """Check that every accepted job has reached a final state."""
        for job_id in self.oracle.spec_by_job:
            state = self.state_of(job_id)
            if not state.is_final:
                raise oracles.Violation(
                    f'job {job_id} is in state {state.value}, '
                    'expected a final one'
                )
            is_cancelled = job_id in self.oracle.cancelled_ids
            if state is jobs.JobState.CANCELLED and not is_cancelled:
                raise oracles.Violation(
                    f'job {job_id} is in state {state.value}, but nobody '
                    'cancelled it'
                )


def _gang_of(run: workers.WorkerRun) -> tuple[str, int, int, int]:
    """Return the job id, repetition, step and run number of a run.

    They are the same for all members of a gang.
    """
    job_id, key = jobs.parse_task_name(run.task) or ('', jobs.TaskKey(0, 0, 0))
    return job_id, key.repetition, key.step, run.number
