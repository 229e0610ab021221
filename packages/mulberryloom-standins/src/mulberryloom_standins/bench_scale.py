"""Benchmark of the planner at increasing fleet sizes.

For each number of workers it measures the times of single placements, gang
placements, heartbeats and reclaim decisions, and the planner's memory.
"""

import dataclasses
import gc
import json
import pathlib
import random
import time
import tracemalloc
import typing as t

import defopt
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
from mulberryloom_policy import decisions
from mulberryloom_policy import options as policy_options
from mulberryloom_policy import planner as planners
import numpy

#: Numbers of workers.
FLEET_SIZES = (10, 100, 600, 1_800)
WORKERS_PER_RACK = 3

#: Ratios of a fleet of 1,800 workers with 33,000 tasks and 3,000
#: accelerators.
TASKS_PER_WORKER = 33_000 / 1_800
ACCELERATORS_PER_WORKER = 3_000 / 1_800

#: Maximum number of accelerators of the timed gangs.
LARGEST_GANG = 128
ACCOUNTS = 20

#: Resources of workers with and without accelerators.
ACCELERATED_CAPACITY = shapes.Resources(24, 8, 130, 500_000)
PLAIN_CAPACITY = shapes.Resources(24, 0, 130, 500_000)

DAY_MS = 86_400_000
REPEATS = 200
GANG_REPEATS = 50
SEED = 1

#: Target for the p99 time of a planning round for a gang, at the largest
#: fleet.
GANG_TARGET_MS = 50.0


@dataclasses.dataclass(slots=True)
class Row:
    """Figures for one number of workers.

    Times are those of single calls of the planner.

    :param tasks: running tasks of the fleet.
    :param accelerators: accelerators of the fleet.
    :param gang: accelerators of each timed gang.
    :param first_plan_ms: time of the first planning round; measured while
        memory allocations are traced.
    :param memory_mb: memory of the fleet and its planner.
    :param gangs_placed: number of timed gangs that were placed.
    :param reclaims_made: number of timed reclaims that preempted borrowers.
    """

    workers: int
    tasks: int
    accelerators: int
    gang: int
    placement_p50_ms: float
    placement_p99_ms: float
    gang_p50_ms: float
    gang_p99_ms: float
    heartbeat_p50_ms: float
    heartbeat_p99_ms: float
    reclaim_p50_ms: float
    reclaim_p99_ms: float
    first_plan_ms: float
    memory_mb: float
    gangs_placed: int
    reclaims_made: int


class SyntheticFleet:
    """Synthetic fleet of one size with its planner.

    :ivar accelerated_workers: names of the workers with accelerators.
    :ivar now_ms: simulated time.
    :ivar job_count: number of jobs made so far.
    """

    def __init__(self, workers: int) -> None:
        self.random = random.Random(SEED)
        self.worker_names = [f'w{index:04}' for index in range(workers)]
        count = round(workers * ACCELERATORS_PER_WORKER / 8)
        self.accelerated_workers = set(
            self.worker_names[:: max(workers // count, 1)][:count]
        )
        self.now_ms = DAY_MS
        self.job_count = 0
        self.states_by_name = {
            name: self._state(name) for name in self.worker_names
        }
        self.planner = planners.Planner.from_configuration(
            self._configuration(), policy_options.PolicyOptions()
        )
        self.planner.set_owned({f'team{i}' for i in range(ACCOUNTS)})
        for state in self.states_by_name.values():
            self.planner.observe_worker(state, self.now_ms)

    def job(
        self, account: str, demand: shapes.Demand, **flags: bool
    ) -> decisions.Job:
        """Return a new job.

        :param flags: ``is_idempotent`` and ``is_checkpointable``, both true
            by default.
        """
        self.job_count += 1
        return decisions.Job(
            f'new-{self.job_count}',
            account,
            's',
            'm',
            shapes.RequestClass.BATCH,
            demand,
            flags.get('is_idempotent', True),
            flags.get('is_checkpointable', True),
            3_600_000,
            self.now_ms,
            self.now_ms + DAY_MS,
        )

    def time_plan(
        self, job: decisions.Job
    ) -> tuple[float, list[decisions.Decision]]:
        """Submit a job and run a planning round.

        Return the time of the round in milliseconds, and its decisions.
        """
        self.now_ms += 100
        assert self.planner.submit(job, self.now_ms).is_ok()
        started_s = time.perf_counter()
        decided = self.planner.plan(self.now_ms)
        return (time.perf_counter() - started_s) * 1_000, decided

    def time_heartbeat(self, name: str) -> float:
        """Return the time to apply one worker's report, in milliseconds."""
        state = self.states_by_name[name]
        started_s = time.perf_counter()
        self.planner.observe_worker(state, self.now_ms)
        return (time.perf_counter() - started_s) * 1_000

    def finish(self, job: decisions.Job) -> None:
        """Cancel a job if it is waiting, else record its end."""
        outcome = messages.Outcome(run_ms=3_600_000)
        if not self.planner.cancel(job.request_id, self.now_ms):
            self.planner.record_ended(job.request_id, outcome, self.now_ms)

    def _configuration(self) -> configuration.Configuration:
        """Guarantee about half of the accelerators to the accounts.

        Each guaranteed shape is all accelerators of one worker. In small
        fleets the last accounts have no guarantee.
        """
        accelerators = 8 * len(self.accelerated_workers)
        copies = max(accelerators // 16 // ACCOUNTS, 1)
        accounts = {}
        for index in range(ACCOUNTS):
            shape = shapes.GuaranteedShape(
                shapes.Demand(8, shapes.Adjacency.WORKER, 16, 64_000), copies
            )
            has_guarantee = index * copies * 16 < accelerators
            accounts[f'team{index}'] = configuration.ClientAccount(
                f'team{index}', 1, '', [shape] if has_guarantee else []
            )
        return configuration.Configuration(1, 1, accounts, {}, {}, {})

    def _state(self, name: str) -> messages.WorkerState:
        index = self.worker_names.index(name)
        has_accelerators = name in self.accelerated_workers
        capacity = ACCELERATED_CAPACITY if has_accelerators else PLAIN_CAPACITY
        used_accelerators = (
            self.random.choice((0, 2, 8)) if has_accelerators else 0
        )
        count = round(self.random.gauss(TASKS_PER_WORKER, 2))
        tasks = [
            self._task(name, number, 1 if number < used_accelerators else 0)
            for number in range(max(min(count, 22), used_accelerators))
        ]
        return messages.WorkerState(
            name,
            1,
            f'dc{index % 28}',
            f'r{index // WORKERS_PER_RACK}',
            '',
            ['s'],
            messages.BackendHealth.HEALTHY,
            capacity,
            tasks,
        )

    def _task(
        self, name: str, number: int, accelerators: int
    ) -> messages.TaskState:
        return messages.TaskState(
            f'{name}-{number}',
            1,
            f'team{self.random.randrange(ACCOUNTS)}',
            's',
            'm',
            shapes.RequestClass.BATCH,
            messages.TaskPhase.RUNNING,
            shapes.Resources(1, accelerators, 2, 8_000),
            [],
            True,
            True,
            False,
            self.random.randint(60_000, 36_000_000),
            self.random.randint(0, 3_600_000),
            0,
        )


def measure(workers: int) -> Row:
    """Measure a fleet of this number of workers."""
    gc.collect()
    tracemalloc.start()
    fleet = SyntheticFleet(workers)
    first_ms, _ = fleet.time_plan(
        fleet.job('team0', shapes.Demand(0, shapes.Adjacency.ANY, 1, 256))
    )
    memory_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    gang = _gang_demand(fleet)
    placement_times_ms, _ = _time_plans(
        fleet, REPEATS, lambda: _small_demand(fleet)
    )
    gang_times_ms, gang_decision_types = _time_plans(
        fleet, GANG_REPEATS, lambda: gang
    )
    worker_names = [
        fleet.random.choice(fleet.worker_names) for _ in range(REPEATS)
    ]
    heartbeat_times_ms = [fleet.time_heartbeat(name) for name in worker_names]
    _occupy_accelerators(fleet)
    guaranteed = shapes.Demand(8, shapes.Adjacency.WORKER, 16, 64_000)
    reclaim_times_ms, reclaim_decision_types = _time_plans(
        fleet, GANG_REPEATS, lambda: guaranteed
    )
    tasks = sum(len(state.tasks) for state in fleet.states_by_name.values())
    return Row(
        workers,
        tasks,
        8 * len(fleet.accelerated_workers),
        gang.accelerators,
        *_quantiles(placement_times_ms),
        *_quantiles(gang_times_ms),
        *_quantiles(heartbeat_times_ms),
        *_quantiles(reclaim_times_ms),
        round(first_ms, 3),
        round(memory_mb, 2),
        gang_decision_types.count(decisions.Place),
        reclaim_decision_types.count(decisions.Preempt),
    )


def _gang_demand(fleet: SyntheticFleet) -> shapes.Demand:
    free = sum(
        state.capacity.accelerators
        - sum(task.resources.accelerators for task in state.tasks)
        for state in fleet.states_by_name.values()
    )
    size = min(LARGEST_GANG, free // 2)
    return shapes.Demand(size, shapes.Adjacency.ANY, size, 1_000 * size)


def _small_demand(fleet: SyntheticFleet) -> shapes.Demand:
    accelerators = fleet.random.choice((0, 1, 2, 4))
    return shapes.Demand(accelerators, shapes.Adjacency.WORKER, 2, 4_000)


def _time_plans(
    fleet: SyntheticFleet,
    repeats: int,
    make_demand: t.Callable[[], shapes.Demand],
) -> tuple[list[float], list[type | None]]:
    """Time a planning round for each of several new jobs.

    Return the times in milliseconds, and the type of each round's first
    decision, or ``None`` for a round without decisions.
    """
    times_ms = []
    decision_types = []
    for _ in range(repeats):
        account = f'team{fleet.random.randrange(ACCOUNTS)}'
        job = fleet.job(account, make_demand())
        elapsed_ms, decided = fleet.time_plan(job)
        decision_types.append(type(decided[0]) if decided else None)
        fleet.finish(job)
        times_ms.append(elapsed_ms)
    return times_ms, decision_types


def _occupy_accelerators(fleet: SyntheticFleet) -> None:
    """Occupy all free accelerators with preemptible borrowers."""
    for name in sorted(fleet.accelerated_workers):
        state = fleet.states_by_name[name]
        used_accelerators = sum(
            task.resources.accelerators for task in state.tasks
        )
        for number in range(100, 108 - used_accelerators):
            state.tasks.append(fleet._task(name, number, 1))
        fleet.planner.observe_worker(state, fleet.now_ms)


def _quantiles(times_ms: list[float]) -> tuple[float, float]:
    p50, p99 = numpy.quantile(times_ms, (0.5, 0.99))
    return round(float(p50), 3), round(float(p99), 3)


def slopes(rows: list[Row]) -> dict[str, float]:
    """Return the least-squares slope of each figure per 100 workers."""
    workers = [row.workers for row in rows]
    slope_by_field = {}
    for field in dataclasses.fields(Row):
        if not field.name.endswith(('_ms', '_mb')):
            continue
        values = [getattr(row, field.name) for row in rows]
        slope, _ = numpy.polyfit(workers, values, 1)
        slope_by_field[field.name] = round(float(slope) * 100, 4)
    return slope_by_field


def main(*, folder: pathlib.Path = pathlib.Path('build')) -> None:
    """Time decisions at growing fleets.

    :param folder: where the JSON file goes.
    """
    rows = [measure(workers) for workers in FLEET_SIZES]
    slope_by_field = slopes(rows)
    for field in dataclasses.fields(Row):
        cells = ''.join(f'{getattr(row, field.name):>12g}' for row in rows)
        slope = slope_by_field.get(field.name)
        suffix = '' if slope is None else f'   {slope:g} per 100 workers'
        print(f'{field.name:18}{cells}{suffix}')
    measured = rows[-1].gang_p99_ms
    verdict = 'met' if measured <= GANG_TARGET_MS else 'MISSED'
    print(f'{verdict}: gang p99 {measured:g} ms of {GANG_TARGET_MS:g} ms')
    folder.mkdir(parents=True, exist_ok=True)
    document = {
        'rows': [dataclasses.asdict(row) for row in rows],
        'slope_per_100_workers': slope_by_field,
    }
    path = folder / 'bench-scale.json'
    path.write_text(json.dumps(document, indent=2) + '\n')


if __name__ == '__main__':
    defopt.run(main)
