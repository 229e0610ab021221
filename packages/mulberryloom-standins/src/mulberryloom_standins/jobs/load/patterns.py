"""Load patterns: fleets, classes of jobs and their arrivals."""

import dataclasses
import math
import random

from mulberryloom_core.request import jobs
from mulberryloom_policy import jobs as policy

SERVICE = 's'
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs; its jobs share a queue of the same name.

    :param priority: ``0`` is the most urgent.
    :param value: value of an average job that completes in time.
    :param late_value: value of an average job that completes late.
    :param per_s: mean arrivals per second.
    :param width: mean number of tasks.
    :param max_width: largest number of tasks.
    :param cpu_millis: thousandths of a core per task.
    :param accelerators: numbers of accelerators per task, drawn uniformly.
    :param task_ms: mean duration of a task.
    :param spread: standard deviation of the logarithm of the duration.
    :param estimate_error: standard deviation of the logarithm of the ratio
        between declared and actual duration.
    :param stretch: target duration as a multiple of the critical path.
    :param slack_ms: time added to the target duration.
    :param same_rack_share: share of the gangs that are slow across racks.
    :param checkpointed_share: share of the jobs with checkpoints.
    :param width_spread: standard deviation of the logarithm of the width.
    :param memory_mb: memory per task, drawn uniformly; a sixteenth of a
        worker's if empty.
    :param cancelled_share: share of the jobs that their callers cancel, at
        any time up to the target duration of one wave.
    """

    name: str
    priority: int
    value: float
    late_value: float
    per_s: float
    width: float
    max_width: int
    cpu_millis: int
    accelerators: tuple[int, ...]
    task_ms: int
    spread: float
    estimate_error: float
    stretch: float
    slack_ms: int
    is_gang: bool = True
    same_rack_share: float = 0.0
    checkpointed_share: float = 0.0
    width_spread: float = 0.8
    memory_mb: tuple[int, ...] = ()
    cancelled_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """Workers that are replaced in turn, some at a time.

    :param from_ms: when the first new workers join.
    :param share: share of the fleet that is replaced.
    :param count: workers that are replaced together.
    :param gap_ms: time between two such groups.
    :param overlap_ms: time from the start of a new worker until the one that
        it replaces drains.
    :param notice_ms: time for which a draining worker goes on.
    """

    from_ms: int
    share: float
    count: int = 5
    gap_ms: int = 750
    overlap_ms: int = 2_000
    notice_ms: int = 4_500


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A time in which a class arrives more often than usual."""

    name: str
    from_ms: int
    to_ms: int
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job of a pattern.

    :param at_ms: time of its submission.
    :param task_ms: actual duration of its tasks on a sound worker.
    :param job_class: class that it was drawn from.
    :param cancelled_ms: when its caller cancels it; ``0`` for never.
    """

    at_ms: int
    job: jobs.Job
    task_ms: int
    job_class: JobClass
    cancelled_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A fleet of workers and the load on it.

    :param rack_size: workers in each rack.
    :param account_skew: exponent by which the load of an account falls with
        its rank; ``0`` for accounts with equal load.
    :param guaranteed: accelerators that are guaranteed to each account.
    :param length_ms: time in which jobs arrive.
    :param speeds: speeds of the workers, in turn; empty if all are equal.
    """

    name: str
    workers: int
    rack_size: int
    cpu_millis: int
    memory_mb: int
    classes: tuple[JobClass, ...]
    accounts: int = 4
    account_skew: float = 0.0
    guaranteed: int = 8
    length_ms: int = 34_000
    bursts: tuple[Burst, ...] = ()
    speeds: tuple[float, ...] = ()
    replacement: Replacement | None = None

    def speed_of(self, index: int) -> float:
        """Return the speed of a worker relative to the declared durations."""
        return self.speeds[index % len(self.speeds)] if self.speeds else 1.0

    def build_workers(self) -> list[policy.WorkerCapacity]:
        """Return the workers of the fleet, all of them free."""
        return [
            self.build_worker(f'w{index}', index)
            for index in range(self.workers)
        ]

    def build_worker(self, name: str, index: int) -> policy.WorkerCapacity:
        """Return a free worker at a place of the fleet."""
        rack = f'r{index // self.rack_size}'
        return policy.WorkerCapacity(
            name,
            1,
            SERVICE,
            'dc',
            rack,
            frozenset({'a', rack}),
            self.cpu_millis,
            self.memory_mb,
            8,
            is_accepting=True,
        )

    def draw_arrivals(self, seed: int, start_ms: int) -> list[Arrival]:
        """Return the jobs of one trial, by time.

        :param start_ms: time of the first possible arrival.
        """
        rng = random.Random(f'{self.name}/{seed}')
        arrivals = []
        for job_class in self.classes:
            at_ms = 0.0
            while True:
                rate = job_class.per_s * self._factor(job_class, at_ms)
                at_ms += rng.expovariate(rate) * _MS_PER_S
                if at_ms >= self.length_ms:
                    break
                arrivals.append(
                    self._draw(job_class, start_ms + int(at_ms), rng)
                )
        arrivals.sort(key=lambda arrival: arrival.at_ms)
        return arrivals

    def _factor(self, job_class: JobClass, at_ms: float) -> float:
        for burst in self.bursts:
            is_in_time = burst.from_ms <= at_ms < burst.to_ms
            if burst.name == job_class.name and is_in_time:
                return burst.factor
        return 1.0

    def _draw(
        self, job_class: JobClass, at_ms: int, rng: random.Random
    ) -> Arrival:
        width = _log_normal(rng, job_class.width, job_class.width_spread)
        tasks = min(job_class.max_width, max(1, round(width)))
        task_ms = _log_normal(rng, job_class.task_ms, job_class.spread)
        error = rng.gauss(0, job_class.estimate_error)
        accelerators = rng.choice(job_class.accelerators)
        memory_mb = self.memory_mb // 16
        if job_class.memory_mb:
            memory_mb = rng.choice(job_class.memory_mb)
        fits = self.workers * (8 // accelerators)
        step = jobs.Step(
            tasks,
            job_class.cpu_millis,
            memory_mb,
            accelerators,
            max(100, int(task_ms * math.exp(error))),
            is_gang=job_class.is_gang and 1 < tasks <= fits // 2,
            is_same_rack=rng.random() < job_class.same_rack_share,
            is_checkpointed=rng.random() < job_class.checkpointed_share,
        )
        terms = jobs.JobTerms(
            job_class.name,
            SERVICE,
            f'account-{self._draw_account(rng)}',
            job_class.priority,
            3,
            job_class.stretch,
            job_class.slack_ms,
        )
        job = jobs.Job.from_spec(
            f'{rng.getrandbits(64):016x}',
            jobs.JobSpec('x', (step,)),
            terms,
            at_ms,
        )
        cancelled_ms = 0
        if job_class.cancelled_share > rng.random():
            longest_ms = job_class.stretch * task_ms + job_class.slack_ms
            cancelled_ms = at_ms + int(rng.uniform(0, longest_ms))
        return Arrival(at_ms, job, int(task_ms), job_class, cancelled_ms)

    def _draw_account(self, rng: random.Random) -> int:
        if not self.account_skew:
            return rng.randrange(self.accounts)
        ranks = range(1, self.accounts + 1)
        weights = [rank**-self.account_skew for rank in ranks]
        return rng.choices(range(self.accounts), weights)[0]


def _log_normal(rng: random.Random, mean: float, spread: float) -> float:
    return rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)


def _classes(
    typeset: tuple[float, float],
    companion: tuple[float, float],
    proof: tuple[float, float],
    proof_ms: int = 15_200,
    typeset_ms: int = 17_000,
) -> tuple[JobClass, ...]:
    """Return the three classes of the deployments.

    :param typeset: arrivals per second and mean width of the long gangs;
        ``companion`` likewise of the urgent gangs, ``proof`` of the wide
        jobs of single tasks.
    """
    sizes = (1, 2, 4, 8, 8)
    return (
        JobClass(
            'typeset', 1, 3.0, 0.9, typeset[0], typeset[1],
            max(9, int(typeset[1] * 6)), 52_000, sizes, typeset_ms, 0.3, 0.4,
            3.0, 1_000, same_rack_share=0.6, checkpointed_share=0.45,
        ),
        JobClass(
            'companion', 0, 4.0, 0.8, companion[0], companion[1],
            int(companion[1] * 6), 15_000, sizes, 5_000, 0.5, 0.2,
            1.5, 250, same_rack_share=0.8,
        ),
        JobClass(
            'proof', 2, 1.0, 0.3, proof[0], proof[1],
            int(proof[1] * 6), 11_000, (1,), proof_ms, 0.3, 0.5,
            3.0, 3_000, is_gang=False, checkpointed_share=0.45,
        ),
    )  # fmt: skip


def _memory_bound_classes(factor: float) -> tuple[JobClass, ...]:
    """Return classes of which one takes over half of a worker's memory.

    The rates are for 59 workers of 8 accelerators.

    :param factor: of the arrivals per second; at 1 the jobs ask for 0.9 of
        the accelerators.
    """
    sizes = (1, 2, 4, 8, 8)
    return (
        JobClass(
            'typeset', 1, 3.0, 0.9, 0.65 * factor, 6, 45, 52_000, sizes,
            10_000, 0.25, 0.3, 3.0, 1_000, same_rack_share=0.6,
            checkpointed_share=0.5, memory_mb=(270_000,),
        ),
        JobClass(
            'companion', 0, 4.0, 0.8, 1.0 * factor, 5, 32, 15_000, sizes,
            4_500, 0.1, 0.2, 1.5, 250, same_rack_share=0.8,
            memory_mb=(44_000, 79_000),
        ),
        JobClass(
            'proof', 2, 1.0, 0.3, 0.25 * factor, 39, 230, 11_000, (1,),
            14_000, 0.1, 0.4, 3.0, 3_000, is_gang=False,
            checkpointed_share=0.5, memory_mb=(33_000,),
        ),
    )  # fmt: skip


def _wide_and_tight_classes(
    long: tuple[float, float],
    urgent: tuple[float, float],
    wide: tuple[float, float],
) -> tuple[JobClass, ...]:
    """Return classes of which the urgent one has jobs of very unequal width.

    :param long: arrivals per second and mean width of the long gangs, of
        which a worker holds one task; ``urgent`` and ``wide`` likewise.
    """
    sizes = (1, 2, 4, 8, 8)
    return (
        JobClass(
            'layout', 1, 3.0, 0.9, long[0], long[1], int(long[1] * 6),
            13_000, sizes, 15_000, 0.3, 0.2, 3.0, 1_000, same_rack_share=0.6,
            checkpointed_share=0.45, memory_mb=(34_000,),
            cancelled_share=0.05,
        ),
        JobClass(
            'confirm', 0, 4.0, 0.8, urgent[0], urgent[1], int(urgent[1] * 6),
            3_700, sizes, 3_500, 0.5, 0.2, 1.5, 250, same_rack_share=0.8,
            memory_mb=(7_600,),
        ),
        JobClass(
            'digest', 2, 1.0, 0.3, wide[0], wide[1], int(wide[1] * 6),
            2_800, (1,), 8_000, 0.3, 0.9, 3.0, 3_000, is_gang=False,
            checkpointed_share=0.45, memory_mb=(5_700,),
            cancelled_share=0.15,
        ),
    )  # fmt: skip


ALL_PATTERNS = (
    Pattern(
        'small fleet, few jobs', 11, 3, 128_000, 256_000,
        _classes((0.163, 2), (0.187, 3.4), (0.0785, 9), 19_000, 22_000),
        bursts=(Burst('companion', 9_000, 15_000, 2.3),),
    ),
    Pattern(
        'small fleet, urgent gangs at capacity', 15, 3, 128_000, 512_000,
        _classes((0.25, 2), (1.3, 5.3), (0.25, 38)),
        guaranteed=16,
        bursts=(Burst('companion', 12_000, 18_000, 1.9),),
    ),
    Pattern(
        'grown fleet', 74, 12, 128_000, 512_000,
        _classes((0.297, 8), (0.746, 5.3), (0.269, 39), 12_200, 22_000),
        accounts=10,
        guaranteed=30,
        bursts=(Burst('companion', 9_000, 15_000, 2.0),),
    ),
    Pattern(
        'large fleet', 160, 16, 128_000, 512_000,
        _classes((0.51, 13), (2.54, 5.3), (0.5, 38)),
        accounts=24,
        guaranteed=32,
        bursts=(Burst('companion', 500, 6_500, 2.0),),
    ),
    Pattern(
        'workers of unequal speed', 18, 6, 128_000, 512_000,
        (
            JobClass(
                'urgent', 0, 4.0, 0.8, 0.28, 5, 5, 15_000, (1, 2, 4, 8),
                4_200, 0.3, 0.2, 1.5, 250, width_spread=0.0,
            ),
            JobClass(
                'less urgent', 1, 3.0, 1.05, 0.15, 5, 5, 15_000, (1, 2, 4, 8),
                14_000, 0.3, 0.2, 3.0, 1_000, checkpointed_share=0.5,
                width_spread=0.0,
            ),
        ),
        speeds=(0.6, 1.0, 1.6),
    ),
    Pattern(
        'skewed accounts', 30, 6, 128_000, 512_000,
        _classes((0.297, 5), (0.746, 5.3), (0.269, 16), 12_200, 17_000),
        accounts=10,
        account_skew=1.2,
        guaranteed=12,
        bursts=tuple(
            Burst(name, 9_000, 15_000, 2.0)
            for name in ('typeset', 'companion', 'proof')
        ),
    ),
    Pattern(
        'memory-bound gangs at 0.7 of capacity', 59, 8, 128_000, 512_000,
        _memory_bound_classes(0.78),
        accounts=10,
        guaranteed=16,
        bursts=(Burst('companion', 9_000, 15_000, 2.0),),
    ),
    Pattern(
        'memory-bound gangs at capacity', 59, 8, 128_000, 512_000,
        _memory_bound_classes(1.1),
        accounts=10,
        guaranteed=16,
        bursts=(Burst('companion', 9_000, 15_000, 2.0),),
    ),
    Pattern(
        'wide and tight urgent gangs', 11, 3, 32_000, 65_536,
        _wide_and_tight_classes((0.25, 2), (0.35, 4), (0.2, 9)),
        guaranteed=16,
        bursts=(Burst('confirm', 6_000, 12_000, 2.0),),
        speeds=(1.0, 1.0, 1.3),
    ),
    Pattern(
        'wide and tight urgent gangs while workers are replaced', 74, 12,
        32_000, 65_536,
        _wide_and_tight_classes((0.35, 8), (0.75, 5.4), (0.27, 39)),
        accounts=10,
        guaranteed=30,
        bursts=(Burst('confirm', 6_000, 12_000, 2.0),),
        speeds=(1.0, 1.0, 1.3),
        replacement=Replacement(18_000, 0.4),
    ),
)  # fmt: skip
