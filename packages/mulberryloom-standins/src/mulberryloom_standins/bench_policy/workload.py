"""Deployments of the policy benchmark and their seeded jobs."""

import dataclasses
import random

from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
from mulberryloom_policy import decisions

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS

#: Time in which jobs arrive.
HORIZON_MS = 120 * MINUTE_MS

#: Workers of each deployment.
WORKER_COUNT = 10
WORKERS_PER_RACK = 3

#: Limit of the factor by which a declared run time is too long or too short.
MAX_ESTIMATE_FACTOR = 10.0

#: Worker on which all tasks fail for a time.
FAULTY_WORKER = 'w3'

#: Worker that is lost and returns later.
LOST_WORKER = 'w7'

_URGENT = shapes.RequestClass.URGENT
_INTERACTIVE = shapes.RequestClass.INTERACTIVE
_BATCH = shapes.RequestClass.BATCH
_ANY = shapes.Adjacency.ANY
_RACK = shapes.Adjacency.RACK
_WORKER = shapes.Adjacency.WORKER


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job of one account.

    :param mean_interval_ms: mean time between arrivals, or between bursts.
    :param run_ms: shortest and longest true run time.
    :param burst_size: number of jobs that arrive at the same time.
    :param bias: median ratio of the declared to the true run time.
    :param deadline_ms: time from submission to the deadline.
    :param is_reclaim: whether its jobs ask for a guaranteed shape that the
        account does not use otherwise.
    """

    account: str
    method: str
    request_class: shapes.RequestClass
    demand: shapes.Demand
    mean_interval_ms: int
    run_ms: tuple[int, int]
    burst_size: int = 1
    bias: float = 1.0
    is_idempotent: bool = True
    is_checkpointable: bool = True
    deadline_ms: int = 6 * 60 * MINUTE_MS
    is_reclaim: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its true run time.

    :param run_ms: true run time; the job holds the declared one.
    :param is_reclaim: whether it asks for a guaranteed shape that its
        account does not use otherwise.
    """

    job: decisions.Job
    run_ms: int
    is_reclaim: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Workers, accounts and kinds of jobs of a deployment.

    :param worker: resources of each worker.
    :param guarantees: guaranteed shapes by account.
    :param completion_weight: option of the planner.
    :param fragmentation_weight: option of the planner.
    """

    name: str
    worker: shapes.Resources
    guarantees: dict[str, list[shapes.GuaranteedShape]]
    job_kinds: list[JobKind]
    completion_weight: float
    fragmentation_weight: float

    def racks(self) -> dict[str, list[str]]:
        """Return the names of the workers of each rack."""
        names = [f'w{index}' for index in range(WORKER_COUNT)]
        return {
            f'r{start // WORKERS_PER_RACK}': names[
                start : start + WORKERS_PER_RACK
            ]
            for start in range(0, WORKER_COUNT, WORKERS_PER_RACK)
        }

    def configuration(self) -> configuration.Configuration:
        """Return the configuration of racks and accounts with guarantees."""
        accounts = {
            name: configuration.ClientAccount(
                name, 1, '', guarantees, queue_limit=5_000
            )
            for name, guarantees in self.guarantees.items()
        }
        racks = {
            name: configuration.Rack(name, 1, 'dc', len(workers), self.worker)
            for name, workers in self.racks().items()
        }
        return configuration.Configuration(1, 1, accounts, {}, racks, {})

    def arrivals(self, seed: int) -> list[Arrival]:
        """Return all jobs of a run in order of arrival."""
        arrivals: list[Arrival] = []
        for index, kind in enumerate(self.job_kinds):
            random_source = random.Random(f'{seed}/{self.name}/{index}')
            arrivals.extend(_make_arrivals(kind, index, random_source))
        arrivals.sort(key=lambda arrival: arrival.job.submitted_ms)
        return arrivals


def _make_arrivals(
    kind: JobKind, index: int, random_source: random.Random
) -> list[Arrival]:
    arrivals = []
    at_ms = 0.0
    count = 0
    while True:
        at_ms += random_source.expovariate(1 / kind.mean_interval_ms)
        if at_ms >= HORIZON_MS:
            return arrivals
        for _ in range(kind.burst_size):
            count += 1
            name = f'{kind.method}-{index}-{count}'
            arrivals.append(
                _make_arrival(kind, name, int(at_ms), random_source)
            )


def _make_arrival(
    kind: JobKind, name: str, at_ms: int, random_source: random.Random
) -> Arrival:
    run_ms = random_source.randint(*kind.run_ms)
    estimate_factor = kind.bias * random_source.lognormvariate(0, 0.5)
    estimate_factor = min(
        max(estimate_factor, 1 / MAX_ESTIMATE_FACTOR), MAX_ESTIMATE_FACTOR
    )
    job = decisions.Job(
        name,
        kind.account,
        'service',
        kind.method,
        kind.request_class,
        kind.demand,
        kind.is_idempotent,
        kind.is_checkpointable,
        max(int(run_ms * estimate_factor), 1),
        at_ms,
        at_ms + kind.deadline_ms,
    )
    return Arrival(job, run_ms, kind.is_reclaim)


def _demand(
    accelerators: int, adjacency: shapes.Adjacency = _ANY
) -> shapes.Demand:
    scale = max(accelerators, 1)
    return shapes.Demand(accelerators, adjacency, 8 * scale, 16_000 * scale)


def _guaranteed_shape(
    accelerators: int, adjacency: shapes.Adjacency, copies: int = 1
) -> shapes.GuaranteedShape:
    return shapes.GuaranteedShape(_demand(accelerators, adjacency), copies)


AKWABOA = Deployment(
    'akwaboa',
    shapes.Resources(8, 8, 130, 500_000),
    {
        'counters': [_guaranteed_shape(1, _WORKER, 10)],
        'reconciliation': [_guaranteed_shape(2, _WORKER, 6)],
        'photos': [_guaranteed_shape(1, _WORKER, 6)],
        'tenant': [_guaranteed_shape(16, _RACK)],
    },
    [
        JobKind(
            'counters',
            'fit',
            _URGENT,
            _demand(1),
            mean_interval_ms=1_000,
            run_ms=(200, 2_000),
            bias=0.5,
            is_checkpointable=False,
            deadline_ms=MINUTE_MS,
        ),
        JobKind(
            'counters',
            'lookup',
            _INTERACTIVE,
            _demand(0),
            mean_interval_ms=4_000,
            run_ms=(500, 5_000),
            is_checkpointable=False,
            deadline_ms=10 * MINUTE_MS,
        ),
        JobKind(
            'reconciliation',
            'reconcile',
            _BATCH,
            _demand(2, _WORKER),
            mean_interval_ms=20 * MINUTE_MS,
            burst_size=30,
            run_ms=(4 * MINUTE_MS, 12 * MINUTE_MS),
            bias=0.2,
        ),
        JobKind(
            'photos',
            'damage',
            _INTERACTIVE,
            _demand(1),
            mean_interval_ms=20_000,
            run_ms=(20 * SECOND_MS, 90 * SECOND_MS),
            bias=3.0,
            is_idempotent=False,
            is_checkpointable=False,
        ),
        JobKind(
            'photos',
            'retrain',
            _BATCH,
            _demand(1),
            mean_interval_ms=15 * MINUTE_MS,
            burst_size=40,
            run_ms=(3 * MINUTE_MS, 10 * MINUTE_MS),
            bias=0.5,
        ),
        JobKind(
            'tenant',
            'train',
            _BATCH,
            _demand(16, _RACK),
            mean_interval_ms=18 * MINUTE_MS,
            run_ms=(8 * MINUTE_MS, 16 * MINUTE_MS),
            bias=2.0,
            is_reclaim=True,
        ),
        JobKind(
            'reconciliation',
            'rebuild',
            _BATCH,
            _demand(24, _ANY),
            mean_interval_ms=40 * MINUTE_MS,
            run_ms=(5 * MINUTE_MS, 12 * MINUTE_MS),
            bias=4.0,
        ),
    ],
    completion_weight=2.0,
    fragmentation_weight=0.5,
)

CUMANN_LEABHAR = Deployment(
    'cumann-leabhar',
    shapes.Resources(8, 8, 130, 250_000),
    {
        'galway-circles': [_guaranteed_shape(8, _WORKER)],
        'catalogues': [_guaranteed_shape(1, _WORKER, 8)],
        'audio': [_guaranteed_shape(1, _WORKER, 8)],
        'press': [_guaranteed_shape(16, _RACK), _guaranteed_shape(8, _WORKER)],
    },
    [
        JobKind(
            'galway-circles',
            'edition',
            _BATCH,
            _demand(8, _WORKER),
            mean_interval_ms=18 * MINUTE_MS,
            run_ms=(10 * MINUTE_MS, 16 * MINUTE_MS),
            bias=0.3,
            is_reclaim=True,
        ),
        JobKind(
            'press',
            'edition',
            _BATCH,
            _demand(8, _WORKER),
            mean_interval_ms=6 * MINUTE_MS,
            run_ms=(10 * MINUTE_MS, 20 * MINUTE_MS),
            bias=3.0,
        ),
        JobKind(
            'press',
            'large-edition',
            _BATCH,
            _demand(16, _RACK),
            mean_interval_ms=25 * MINUTE_MS,
            run_ms=(10 * MINUTE_MS, 20 * MINUTE_MS),
            bias=0.3,
        ),
        JobKind(
            'catalogues',
            'proof',
            _INTERACTIVE,
            _demand(1),
            mean_interval_ms=5_000,
            run_ms=(5 * SECOND_MS, 30 * SECOND_MS),
            is_checkpointable=False,
            deadline_ms=30 * MINUTE_MS,
        ),
        JobKind(
            'catalogues',
            'page',
            _URGENT,
            _demand(1),
            mean_interval_ms=4_000,
            run_ms=(300, 2_000),
            is_checkpointable=False,
            deadline_ms=MINUTE_MS,
        ),
        JobKind(
            'audio',
            'companion',
            _INTERACTIVE,
            _demand(1),
            mean_interval_ms=25_000,
            run_ms=(30 * SECOND_MS, 150 * SECOND_MS),
            bias=0.4,
            is_idempotent=False,
            is_checkpointable=False,
        ),
        JobKind(
            'audio',
            'reformat',
            _BATCH,
            _demand(1),
            mean_interval_ms=14 * MINUTE_MS,
            burst_size=40,
            run_ms=(2 * MINUTE_MS, 9 * MINUTE_MS),
            bias=0.5,
        ),
        JobKind(
            'catalogues',
            'archive',
            _BATCH,
            _demand(3, _WORKER),
            mean_interval_ms=16 * MINUTE_MS,
            burst_size=6,
            run_ms=(3 * MINUTE_MS, 8 * MINUTE_MS),
            bias=5.0,
        ),
    ],
    completion_weight=0.5,
    fragmentation_weight=2.0,
)

DEPLOYMENTS = (AKWABOA, CUMANN_LEABHAR)
