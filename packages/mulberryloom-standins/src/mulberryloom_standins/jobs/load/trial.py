"""One trial: a planner, a fleet and the jobs of a pattern on one clock."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy

from . import patterns

START_MS = 1_000_000
#: Time after the last arrival in which jobs may still complete.
SETTLE_MS = 20_000
#: Time from a decision to the start of a run, and longest time that a stop
#: takes.
START_DELAY_MS = 20
STOP_DELAY_MS = 250
#: Time between two plans while nothing changes.
PLAN_INTERVAL_MS = 100
#: Least time between two plans.
MIN_PLAN_INTERVAL_MS = 20
#: Duration factor of a gang that is spread over racks although it should not.
SPREAD_FACTOR = 3
CHECKPOINT_INTERVAL_MS = 1_000
#: A job that completes later than this multiple of its target has no value.
CUTOFF_FACTOR = 3
#: Share of the fleet that the tasks of a wide step take at a time, as far as
#: the target duration is concerned.
WAVE_SHARE = 0.25
_CORES_PER_ACCELERATOR = 8
_MAX_SIZE_FACTOR = 4.0


class StepPlanner(t.Protocol):
    """A planner of jobs with steps."""

    def plan(
        self,
        open_jobs: t.Iterable[jobs.Job],
        workers: list[policy.WorkerCapacity],
        catalogue: catalogues.Catalogue,
        now_ms: int,
        wall_ms: int,
    ) -> policy.Plan:
        """Return the runs to start and to stop."""


@dataclasses.dataclass(slots=True)
class Credit:
    """What the jobs of one class earned.

    :param owed: value of all jobs if each had completed in time.
    """

    owed: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    lost: int = 0

    @property
    def share(self) -> float:
        """Share of the owed value that was earned."""
        return self.earned / self.owed if self.owed else 1.0

    @property
    def in_time_share(self) -> float:
        """Share of the jobs that completed in time."""
        count = self.in_time + self.late + self.lost
        return self.in_time / count if count else 1.0


class Trial:
    """Plays the jobs of a pattern against one planner.

    :param speeds: learns the speeds of the workers; ``None`` if the planner
        is to know nothing of them.
    :ivar credit_by_class: what the jobs of each class earned.
    :ivar credit_by_account: what the jobs of each account earned.
    :ivar lost_core_s: work of stopped runs that was not saved.
    :ivar used_accelerator_ms: sum over all runs.
    """

    def __init__(
        self,
        pattern: patterns.Pattern,
        planner: StepPlanner,
        seed: int,
        speeds: policy.WorkerSpeeds | None = None,
    ) -> None:
        self._speeds = speeds
        self._speed_by_worker = {
            f'w{index}': pattern.speed_of(index)
            for index in range(pattern.workers)
        }
        # Duration of a run's own work, by run. The members of a gang end
        # with the slowest of them.
        self._own_ms_by_run: dict[policy.capacity.RunKey, int] = {}
        self._pattern = pattern
        self._planner = planner
        self._rng = random.Random(seed)
        self._workers = pattern.build_workers()
        self._worker_by_name = {w.worker: w for w in self._workers}
        self._arrivals = pattern.draw_arrivals(seed, START_MS)
        self._arrival_by_id = {a.job.job_id: a for a in self._arrivals}
        self._catalogue = catalogues.Catalogue.from_parts(
            1,
            [
                catalogues.Queue(c.name, 'h', f'/{c.name}/', patterns.SERVICE)
                for c in pattern.classes
            ],
            [catalogues.Service(patterns.SERVICE)],
            [
                catalogues.Account(
                    f'account-{index}', frozenset('k'), pattern.guaranteed
                )
                for index in range(pattern.accounts)
            ],
        )
        self._now_ms = START_MS
        self._events: list[tuple[int, int, t.Callable[[], None]]] = []
        self._event_ids = itertools.count()
        self._open_jobs: dict[str, jobs.Job] = {}
        self._saved_ms_by_task: collections.Counter[str] = (
            collections.Counter()
        )
        self._duration_ms_by_run: dict[policy.capacity.RunKey, int] = {}
        self._next_plan_ms = START_MS
        self._is_changed = True
        self.credit_by_class = {c.name: Credit() for c in pattern.classes}
        self.credit_by_account = {
            account: Credit() for account in self._catalogue.account_by_name
        }
        self.lost_core_s = 0.0
        self.used_accelerator_ms = 0
        self.stopped_runs = 0
        self.plans = 0

    def run(self) -> 'Trial':
        """Play the trial to its end."""
        for arrival in self._arrivals:
            self._schedule(arrival.at_ms, lambda a=arrival: self._submit(a))
            if arrival.cancelled_ms:
                self._schedule(
                    arrival.cancelled_ms, lambda a=arrival: self._cancel(a)
                )
        if self._pattern.replacement is not None:
            self._schedule_replacement(self._pattern.replacement)
        end_ms = START_MS + self._pattern.length_ms + SETTLE_MS
        while self._now_ms < end_ms:
            self._advance()
        self._credit_unfinished()
        return self

    @property
    def utilization(self) -> float:
        """Share of all accelerators that were in use while jobs arrived."""
        total = 8 * self._pattern.workers * self._pattern.length_ms
        return self.used_accelerator_ms / total

    @property
    def share(self) -> float:
        """Share of the owed value of all classes that was earned."""
        owed = sum(c.owed for c in self.credit_by_class.values())
        earned = sum(c.earned for c in self.credit_by_class.values())
        return earned / owed

    def _schedule(self, at_ms: int, action: t.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_ids), action))

    def _advance(self) -> None:
        """Go to the next event or plan."""
        due_ms = self._next_plan_ms
        if self._is_changed:
            due_ms -= PLAN_INTERVAL_MS - MIN_PLAN_INTERVAL_MS
        if self._events and self._events[0][0] <= due_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._now_ms = max(self._now_ms, at_ms)
            action()
            return
        self._now_ms = max(self._now_ms, due_ms)
        self._plan()

    def _submit(self, arrival: patterns.Arrival) -> None:
        self._open_jobs[arrival.job.job_id] = arrival.job
        self._is_changed = True

    def _cancel(self, arrival: patterns.Arrival) -> None:
        job = self._open_jobs.pop(arrival.job.job_id, None)
        if job is None:
            return
        self._is_changed = True
        for worker in self._workers:
            for run in list(worker.run_by_key.values()):
                if run.job is job and not run.is_stopping:
                    self._stop(run)

    # Replacement of workers

    def _schedule_replacement(self, plan: patterns.Replacement) -> None:
        """Schedule the joins and drains of workers that are replaced."""
        count = int(plan.share * len(self._workers))
        places = self._rng.sample(range(len(self._workers)), count)
        for position, place in enumerate(places):
            at_ms = START_MS + plan.from_ms
            at_ms += position // plan.count * plan.gap_ms
            self._schedule(at_ms, lambda p=place: self._add_successor(p))
            worker = self._workers[place]
            self._schedule(
                at_ms + plan.overlap_ms,
                lambda w=worker: self._drain(w, plan.notice_ms),
            )

    def _add_successor(self, place: int) -> None:
        """Add a worker of the speed and in the rack of the one at a place."""
        worker = self._pattern.build_worker(f'n{place}', place)
        self._speed_by_worker[worker.worker] = self._pattern.speed_of(place)
        self._worker_by_name[worker.worker] = worker
        self._workers.append(worker)
        self._is_changed = True

    def _drain(self, worker: policy.WorkerCapacity, notice_ms: int) -> None:
        worker.is_accepting = False
        worker.is_draining = True
        worker.drain_deadline_ms = self._now_ms + notice_ms
        self._is_changed = True
        self._schedule(
            worker.drain_deadline_ms, lambda: self._remove_worker(worker)
        )

    def _remove_worker(self, worker: policy.WorkerCapacity) -> None:
        """Remove a worker; the gangs of its runs lose all their members."""
        for run in list(worker.run_by_key.values()):
            self._stop(run)
            if run.step.is_gang:
                self._stop_members(run)
            self._remove(run)
        self._workers.remove(worker)
        self._is_changed = True

    def _plan(self) -> None:
        self._is_changed = False
        self._next_plan_ms = self._now_ms + PLAN_INTERVAL_MS
        self.plans += 1
        for worker in self._workers:
            for run in worker.run_by_key.values():
                self._update_progress(run)
                self._learn(run, worker)
        if self._speeds is not None:
            self._speeds.begin_round(self._workers)
        plan = self._planner.plan(
            list(self._open_jobs.values()),
            self._workers,
            self._catalogue,
            self._now_ms,
            self._now_ms,
        )
        for stop in plan.stops:
            self._stop(stop.run)
            if stop.run.step.is_gang:
                self._stop_members(stop.run)
        started: dict[str, list[policy.ActiveRun]] = {}
        for start in plan.starts:
            run = self._start(start)
            started.setdefault(run.job.job_id, []).append(run)
        for runs in started.values():
            self._set_durations(runs)

    def _start(self, start: t.Any) -> policy.ActiveRun:
        job, task, worker = start.job, start.task, start.worker
        task.last_run += 1
        task.run = jobs.Run(task.last_run, worker.worker, worker.boot)
        run = policy.ActiveRun(
            job,
            task,
            task.run,
            job.step_of(task.key),
            (worker.worker, worker.boot),
            self._now_ms,
            is_recorded=True,
            is_confirmed=True,
            last_progress_ms=self._now_ms,
            last_listed_ms=self._now_ms,
            progress_listed_ms=self._now_ms,
        )
        worker.run_by_key[run.key] = run
        return run

    def _set_durations(self, runs: list[policy.ActiveRun]) -> None:
        """Draw the durations of runs of one job that start together."""
        step = runs[0].step
        task_ms = self._arrival_by_id[runs[0].job.job_id].task_ms
        racks = {self._worker_by_name[r.run.worker].rack for r in runs}
        is_spread = step.is_gang and step.is_same_rack and len(racks) > 1
        factor = SPREAD_FACTOR if is_spread else 1
        if self._pattern.speeds:
            self._set_uneven_durations(runs, factor * task_ms)
            return
        longest_ms = max(
            int(factor * task_ms * self._rng.uniform(0.85, 1.15)) for _ in runs
        )
        for run in runs:
            duration_ms = longest_ms
            if not step.is_gang:
                duration_ms = int(task_ms * self._rng.uniform(0.85, 1.15))
            duration_ms = max(
                100, duration_ms - self._saved_ms_by_task[run.name]
            )
            self._duration_ms_by_run[run.key] = duration_ms
            end_ms = self._now_ms + START_DELAY_MS + duration_ms
            self._schedule(end_ms, lambda r=run: self._on_done(r))

    def _set_uneven_durations(
        self, runs: list[policy.ActiveRun], task_ms: int
    ) -> None:
        """Draw durations on workers of unequal speed.

        :param task_ms: mean duration at speed 1.
        """
        for run in runs:
            total_ms = int(task_ms * self._rng.uniform(0.85, 1.15))
            saved_ms = min(self._saved_ms_by_task[run.name], total_ms)
            run.base_progress = run.progress = 100 * saved_ms // total_ms
            speed = self._speed_by_worker[run.run.worker]
            own_ms = max(100, int((total_ms - saved_ms) / speed))
            self._own_ms_by_run[run.key] = own_ms
        longest_ms = max(self._own_ms_by_run[run.key] for run in runs)
        for run in runs:
            own_ms = self._own_ms_by_run[run.key]
            duration_ms = longest_ms if run.step.is_gang else own_ms
            self._duration_ms_by_run[run.key] = duration_ms
            end_ms = self._now_ms + START_DELAY_MS + duration_ms
            self._schedule(end_ms, lambda r=run: self._on_done(r))

    def _learn(
        self, run: policy.ActiveRun, worker: policy.WorkerCapacity
    ) -> None:
        is_new = run.last_progress_ms == self._now_ms > run.started_ms
        if self._speeds is not None and is_new and not run.is_stopping:
            self._speeds.note_progress(run, worker, has_stalled=False)

    def _update_progress(self, run: policy.ActiveRun) -> None:
        done_ms = max(0, self._now_ms - run.started_ms)
        if self._pattern.speeds:
            left = 100 - run.base_progress
            own_ms = self._own_ms_by_run[run.key]
            progress = min(100, run.base_progress + left * done_ms // own_ms)
            run.record_listing(progress, self._now_ms, self._now_ms)
            return
        duration_ms = self._duration_ms_by_run[run.key]
        progress = min(99, 100 * done_ms // duration_ms)
        run.record_listing(progress, self._now_ms, self._now_ms)

    def _stop(self, run: policy.ActiveRun) -> None:
        if run.is_stopping:
            return
        run.is_stopping = True
        if self._speeds is not None:
            self._speeds.forget(run)
        self.stopped_runs += 1
        done_ms = max(0, self._now_ms - run.started_ms)
        if run.step.is_checkpointed:
            speed = self._speed_by_worker[run.run.worker]
            self._saved_ms_by_task[run.name] += int(done_ms * speed)
        else:
            cores = _core_equivalents(run.step)
            self.lost_core_s += cores * done_ms / 1_000
        self._schedule(
            self._now_ms + self._rng.randrange(STOP_DELAY_MS),
            lambda: self._remove(run),
        )

    def _stop_members(self, run: policy.ActiveRun) -> None:
        for task in run.job.active_tasks():
            worker = self._worker_by_name[task.run.worker]
            name = jobs.task_name(run.job.job_id, task.key)
            self._stop(worker.run_by_key[name, task.run.number])

    def _remove(self, run: policy.ActiveRun) -> None:
        if run.task.run is not run.run:
            return
        self.used_accelerator_ms += run.step.accelerators * max(
            0,
            min(self._now_ms, START_MS + self._pattern.length_ms)
            - run.started_ms,
        )
        worker = self._worker_by_name[run.run.worker]
        del worker.run_by_key[run.key]
        run.task.run = None
        self._is_changed = True

    def _on_done(self, run: policy.ActiveRun) -> None:
        if run.is_stopping or run.task.run is not run.run:
            return
        self._remove(run)
        if self._speeds is not None:
            worker = self._worker_by_name[run.run.worker]
            self._speeds.forget(run)
            self._speeds.note_done(run, worker, self._now_ms)
        run.task.is_done = True
        if run.job.state is jobs.JobState.COMPLETED:
            del self._open_jobs[run.job.job_id]
            self._credit(run.job)

    # Credit

    def _credit(self, job: jobs.Job) -> None:
        arrival = self._arrival_by_id[job.job_id]
        target_ms = self._target_ms(arrival)
        took_ms = self._now_ms - arrival.at_ms
        value = arrival.job_class.value * self._size_factor(arrival)
        for credit in self._credits_of(arrival):
            credit.owed += value
            if took_ms <= target_ms:
                credit.earned += value
                credit.in_time += 1
            elif took_ms <= CUTOFF_FACTOR * target_ms:
                credit.earned += (
                    arrival.job_class.late_value * self._size_factor(arrival)
                )
                credit.late += 1
            else:
                credit.lost += 1

    def _credit_unfinished(self) -> None:
        """Count unfinished jobs whose target has passed as lost.

        The others are not counted at all.
        """
        for job_id in self._open_jobs:
            arrival = self._arrival_by_id[job_id]
            if arrival.at_ms + self._target_ms(arrival) > self._now_ms:
                continue
            value = arrival.job_class.value * self._size_factor(arrival)
            for credit in self._credits_of(arrival):
                credit.owed += value
                credit.lost += 1

    def _credits_of(self, arrival: patterns.Arrival) -> tuple[Credit, Credit]:
        """Return the credits of the class and of the account of a job."""
        return (
            self.credit_by_class[arrival.job_class.name],
            self.credit_by_account[arrival.job.terms.account],
        )

    def _target_ms(self, arrival: patterns.Arrival) -> int:
        step = arrival.job.spec.steps[0]
        slots = sum(w.fitting_count_when_empty(step) for w in self._workers)
        wave = max(1.0, WAVE_SHARE * slots)
        waves = 1 if step.is_gang else math.ceil(step.tasks / wave)
        job_class = arrival.job_class
        return int(
            job_class.stretch * waves * arrival.task_ms + job_class.slack_ms
        )

    def _size_factor(self, arrival: patterns.Arrival) -> float:
        job_class = arrival.job_class
        step = arrival.job.spec.steps[0]
        mean_accelerators = sum(job_class.accelerators) / len(
            job_class.accelerators
        )
        mean_cores = (
            job_class.cpu_millis / 1_000
            + mean_accelerators * _CORES_PER_ACCELERATOR
        )
        mean = job_class.width * mean_cores * job_class.task_ms
        work = step.tasks * _core_equivalents(step) * arrival.task_ms
        return min(_MAX_SIZE_FACTOR, 0.3 + 0.7 * work / mean)


def _core_equivalents(step: jobs.Step) -> float:
    cores = step.cpu_millis / 1_000
    return cores + step.accelerators * _CORES_PER_ACCELERATOR
