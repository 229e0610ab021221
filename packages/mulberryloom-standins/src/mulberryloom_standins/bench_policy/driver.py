"""Discrete-event simulation of one policy on one list of jobs.

A worker is simulated by its free resources only. The ends of tasks, like
all other events, are kept in a heap. The policy is used through the
interface of the planner.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_policy import decisions
from mulberryloom_policy.request import fragmentation

from . import measures
from . import workload

#: Resolution of the simulated time and minimum interval between planning
#: rounds.
TICK_MS = 100

#: Minimum interval between reports of changed workers to the policy.
REPORT_INTERVAL_MS = 1_000

#: Interval at which the free accelerators are sampled.
SAMPLE_INTERVAL_MS = 10_000

#: Time after the last arrivals in which the remaining jobs may end.
MAX_DRAIN_MS = 4 * 60 * workload.MINUTE_MS

#: Interval in which every task that starts on the faulty worker fails.
FAULTY_FROM_MS = 20 * workload.MINUTE_MS
FAULTY_UNTIL_MS = 50 * workload.MINUTE_MS

#: Time from the start of such a task to its failure.
FAILURE_DELAY_MS = 200

#: Interval in which the lost worker is absent.
LOST_FROM_MS = 60 * workload.MINUTE_MS
LOST_UNTIL_MS = 70 * workload.MINUTE_MS

#: Times at which clients cancel some of the waiting batch jobs.
CANCELLATION_TIMES_MS = (45 * workload.MINUTE_MS, 90 * workload.MINUTE_MS)

#: Share of the waiting batch jobs that are cancelled each time.
CANCELLED_SHARE = 0.3

#: Additional run time of a job after each preemption.
RESUME_COST_MS = 2_000

#: Attempts after which a job that failed or lost its worker is given up.
MAX_ATTEMPTS = 4

#: Grace period of a preempted task.
CHECKPOINT_GRACE_MS = 10_000

#: A checkpoint takes between these shares of the grace period.
MIN_CHECKPOINT_SHARE = 0.3
MAX_CHECKPOINT_SHARE = 0.9


class Policy(t.Protocol):
    """Methods of the planner that the simulation calls."""

    def observe_worker(self, state: messages.WorkerState, now_ms: int) -> None:
        """Apply the reported state of a worker."""

    def lose_worker(self, name: str, now_ms: int) -> None:
        """Remove a worker that is lost."""

    def submit(
        self, job: decisions.Job, now_ms: int, *, is_accepted: bool = False
    ) -> t.Any:
        """Queue a job, or return an error if it is not accepted.

        :param is_accepted: whether the job was accepted before and is
            queued for another attempt.
        """

    def cancel(self, request_id: str, now_ms: int) -> bool:
        """Remove a waiting job; return whether it was waiting."""

    def record_started(
        self, request_id: str, attempt: int, now_ms: int
    ) -> None:
        """Record that an attempt has started."""

    def record_refused(self, request_id: str, now_ms: int) -> None:
        """Record that a placement no longer fitted."""

    def record_ended(
        self, request_id: str, outcome: messages.Outcome, now_ms: int
    ) -> bool:
        """Record the end of an attempt.

        Return whether the policy has queued the job again.
        """

    def plan(self, now_ms: int) -> list[decisions.Decision]:
        """Return the decisions of one planning round."""


@dataclasses.dataclass(slots=True)
class Task:
    """A running attempt of a job.

    :param is_failing: whether it fails because it started on the faulty
        worker.
    :param is_stopping: whether it is being preempted.
    """

    job: decisions.Job
    placements: list[decisions.Placement]
    attempt: int
    started_ms: int
    is_failing: bool
    is_stopping: bool = False


class Driver:
    """Simulation of one policy on one list of jobs.

    :ivar results: figures of the run.
    :param arrivals: jobs of the run with their true run times.
    :param seed: seed of cancellations and checkpoint durations.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        arrivals: list[workload.Arrival],
        policy: Policy,
        seed: int,
    ) -> None:
        self.results = measures.Results()
        self._deployment = deployment
        self._policy = policy
        self._random = random.Random(f'{seed}/driver')
        self._now_ms = 0
        self._sequence = itertools.count()
        self._events: list[tuple[int, int, t.Callable[[], None]]] = []
        self._remaining_ms_by_id = {
            arrival.job.request_id: arrival.run_ms for arrival in arrivals
        }
        self._waiting_by_id: dict[str, decisions.Job] = {}
        self._tasks_by_id: dict[str, Task] = {}
        self._attempts_by_id: dict[str, int] = {}
        self._shape_mix = fragmentation.ShapeMix()
        self._work_mix = fragmentation.ShapeMix()
        self._rack_by_worker = {
            name: rack
            for rack, names in deployment.racks().items()
            for name in names
        }
        self._free_by_worker = dict.fromkeys(
            self._rack_by_worker, deployment.worker
        )
        self._changed_workers: dict[str, None] = dict.fromkeys(
            self._free_by_worker
        )
        self._schedule_all(arrivals)

    def run(self) -> measures.Results:
        """Process events until none are left or the time has run out."""
        next_report_ms = 0
        end_ms = workload.HORIZON_MS + MAX_DRAIN_MS
        while self._now_ms < end_ms and self._has_work():
            while self._events and self._events[0][0] <= self._now_ms:
                heapq.heappop(self._events)[2]()
            if self._now_ms >= next_report_ms:
                self._report_workers()
                next_report_ms = self._now_ms + REPORT_INTERVAL_MS
            for decision in self._policy.plan(self._now_ms):
                self._apply(decision)
            self._now_ms = self._next_time_ms()
        self.results.record_unfinished(
            self._waiting_by_id.values(), self._now_ms
        )
        return self.results

    def _has_work(self) -> bool:
        return bool(self._waiting_by_id or self._tasks_by_id or self._events)

    def _next_time_ms(self) -> int:
        """Return the next tick at which there may be something to do."""
        tick_ms = self._now_ms + TICK_MS
        if self._waiting_by_id or self._changed_workers:
            limit_ms = self._now_ms + REPORT_INTERVAL_MS
        else:
            limit_ms = self._now_ms + SAMPLE_INTERVAL_MS
        if not self._events:
            return limit_ms
        at_ms = min(max(self._events[0][0], tick_ms), limit_ms)
        return -(-at_ms // TICK_MS) * TICK_MS

    def _schedule_at(self, at_ms: int, action: t.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), action))

    def _schedule_all(self, arrivals: list[workload.Arrival]) -> None:
        for arrival in arrivals:
            self._schedule_at(
                arrival.job.submitted_ms,
                lambda arrived=arrival: self._arrive(arrived),
            )
        for at_ms in CANCELLATION_TIMES_MS:
            self._schedule_at(at_ms, self._cancel_batch_jobs)
        for at_ms in range(0, workload.HORIZON_MS, SAMPLE_INTERVAL_MS):
            self._schedule_at(at_ms, self._sample_free)
        self._schedule_at(LOST_FROM_MS, self._lose_worker)
        self._schedule_at(LOST_UNTIL_MS, self._restore_worker)

    def _arrive(self, arrival: workload.Arrival) -> None:
        job = arrival.job
        self._shape_mix.add(job.demand, 1, self._now_ms)
        self._work_mix.add(job.demand, arrival.run_ms, self._now_ms)
        self.results.record_arrival(
            arrival, self._is_account_idle(job.account)
        )
        if self._policy.submit(job, self._now_ms).is_err():
            self.results.record_refusal(job)
            return
        self._waiting_by_id[job.request_id] = job

    def _is_account_idle(self, account: str) -> bool:
        running = (task.job for task in self._tasks_by_id.values())
        jobs = itertools.chain(self._waiting_by_id.values(), running)
        return all(job.account != account for job in jobs)

    def _cancel_batch_jobs(self) -> None:
        batch = [
            job
            for job in self._waiting_by_id.values()
            if job.request_class is shapes.RequestClass.BATCH
        ]
        count = int(len(batch) * CANCELLED_SHARE)
        for job in self._random.sample(batch, count):
            if self._policy.cancel(job.request_id, self._now_ms):
                del self._waiting_by_id[job.request_id]
                self.results.record_cancellation(job)

    def _sample_free(self) -> None:
        free_by_rack: dict[str, list[int]] = {}
        for name, free in self._free_by_worker.items():
            rack = self._rack_by_worker[name]
            free_by_rack.setdefault(rack, []).append(free.accelerators)
        self.results.sample_free(
            self._shape_mix, self._work_mix, list(free_by_rack.values())
        )

    # Workers

    def _lose_worker(self) -> None:
        name = workload.LOST_WORKER
        self._policy.lose_worker(name, self._now_ms)
        for task in list(self._tasks_by_id.values()):
            if any(placement.worker == name for placement in task.placements):
                self._end(task, exceptions.ErrorKind.WORKER_LOST)
        self._free_by_worker.pop(name)
        self._changed_workers.pop(name, None)

    def _restore_worker(self) -> None:
        name = workload.LOST_WORKER
        self._free_by_worker[name] = self._deployment.worker
        self._changed_workers[name] = None

    def _report_workers(self) -> None:
        for name in self._changed_workers:
            self._policy.observe_worker(self._worker_state(name), self._now_ms)
        self._changed_workers.clear()

    def _worker_state(self, name: str) -> messages.WorkerState:
        tasks = [
            self._task_state(task, placement)
            for task in self._tasks_by_id.values()
            for placement in task.placements
            if placement.worker == name
        ]
        return messages.WorkerState(
            name,
            1,
            'dc',
            self._rack_by_worker[name],
            '',
            ['service'],
            messages.BackendHealth.HEALTHY,
            self._deployment.worker,
            tasks,
        )

    def _task_state(
        self, task: Task, placement: decisions.Placement
    ) -> messages.TaskState:
        job = task.job
        phase = messages.TaskPhase.RUNNING
        if task.is_stopping:
            phase = messages.TaskPhase.STOPPING
        return messages.TaskState(
            job.request_id,
            task.attempt,
            job.account,
            job.service,
            job.method,
            job.request_class,
            phase,
            job.demand.member(placement.accelerators),
            [],
            job.is_checkpointable,
            job.is_idempotent,
            len(task.placements) > 1,
            job.declared_run_ms,
            self._now_ms - task.started_ms,
            0,
        )

    # Decisions

    def _apply(self, decision: decisions.Decision) -> None:
        if isinstance(decision, decisions.Place):
            self._place(decision)
        elif isinstance(decision, decisions.Preempt):
            self._preempt(decision)
        else:
            job = self._waiting_by_id.pop(decision.request_id)
            self.results.record_refusal(job)

    def _place(self, decision: decisions.Place) -> None:
        job = self._waiting_by_id[decision.request_id]
        if not self._fits(job, decision.placements):
            self.results.refused_placements += 1
            self._policy.record_refused(job.request_id, self._now_ms)
            return
        del self._waiting_by_id[job.request_id]
        self._update_free(job, decision.placements, -1)
        attempt = self._attempts_by_id.get(job.request_id, 0) + 1
        self._attempts_by_id[job.request_id] = attempt
        task = Task(
            job,
            decision.placements,
            attempt,
            self._now_ms,
            self._has_faulty_worker(decision.placements),
        )
        self._tasks_by_id[job.request_id] = task
        self._policy.record_started(job.request_id, attempt, self._now_ms)
        self.results.record_start(job, self._now_ms, task.is_failing)
        if task.is_failing:
            kind = exceptions.ErrorKind.BACKEND_FAILED
            self._end_later(task, FAILURE_DELAY_MS, kind)
            return
        self._end_later(task, self._remaining_ms_by_id[job.request_id], None)

    def _has_faulty_worker(
        self, placements: list[decisions.Placement]
    ) -> bool:
        is_fault_active = FAULTY_FROM_MS <= self._now_ms < FAULTY_UNTIL_MS
        names = {placement.worker for placement in placements}
        return is_fault_active and workload.FAULTY_WORKER in names

    def _fits(
        self, job: decisions.Job, placements: list[decisions.Placement]
    ) -> bool:
        return all(
            placement.worker in self._free_by_worker
            and job.demand.member(placement.accelerators).fits_in(
                self._free_by_worker[placement.worker]
            )
            for placement in placements
        )

    def _update_free(
        self,
        job: decisions.Job,
        placements: list[decisions.Placement],
        sign: int,
    ) -> None:
        """Occupy or release the resources of a job.

        :param sign: -1 to occupy, 1 to release.
        """
        for placement in placements:
            if placement.worker not in self._free_by_worker:
                continue
            amount = job.demand.member(placement.accelerators)
            if sign > 0:
                self._free_by_worker[placement.worker] += amount
            else:
                self._free_by_worker[placement.worker] -= amount
            self._changed_workers[placement.worker] = None

    def _preempt(self, decision: decisions.Preempt) -> None:
        task = self._tasks_by_id[decision.request_id]
        if task.is_stopping:
            return
        task.is_stopping = True
        share = self._random.uniform(
            MIN_CHECKPOINT_SHARE, MAX_CHECKPOINT_SHARE
        )
        checkpoint_ms = int(decision.grace_ms * share)
        ran_ms = self._now_ms - task.started_ms
        remaining_ms = max(
            self._remaining_ms_by_id[decision.request_id] - ran_ms, 1
        )
        self._remaining_ms_by_id[decision.request_id] = (
            remaining_ms + RESUME_COST_MS
        )
        self.results.record_preemption(
            task.job, checkpoint_ms + RESUME_COST_MS
        )
        self._end_later(task, checkpoint_ms, exceptions.ErrorKind.PREEMPTED)

    # Ends

    def _end_later(
        self, task: Task, after_ms: int, kind: exceptions.ErrorKind | None
    ) -> None:
        def end() -> None:
            is_current = self._tasks_by_id.get(task.job.request_id) is task
            is_preemption = kind is exceptions.ErrorKind.PREEMPTED
            if is_current and (is_preemption or not task.is_stopping):
                self._end(task, kind)

        self._schedule_at(self._now_ms + after_ms, end)

    def _end(self, task: Task, kind: exceptions.ErrorKind | None) -> None:
        job = task.job
        del self._tasks_by_id[job.request_id]
        self._update_free(job, task.placements, 1)
        error = kind and exceptions.Error.from_kind(kind)
        outcome = messages.Outcome(
            error=error, run_ms=self._now_ms - task.started_ms
        )
        is_queued = self._policy.record_ended(
            job.request_id, outcome, self._now_ms
        )
        if kind is None:
            self.results.record_finish(job, self._now_ms)
        elif is_queued:
            self._waiting_by_id[job.request_id] = job
        else:
            self._retry(task, kind)

    def _retry(self, task: Task, kind: exceptions.ErrorKind) -> None:
        job = task.job
        if kind is not exceptions.ErrorKind.BACKEND_FAILED:
            lost_ms = self._now_ms - task.started_ms
            self.results.record_lost_work(job, lost_ms)
        is_out_of_attempts = (
            self._attempts_by_id[job.request_id] >= MAX_ATTEMPTS
        )
        if not job.is_idempotent or is_out_of_attempts:
            self.results.record_failure(job)
            return
        submission = self._policy.submit(job, self._now_ms, is_accepted=True)
        if submission.is_err():
            self.results.record_failure(job)
            return
        self._waiting_by_id[job.request_id] = job
