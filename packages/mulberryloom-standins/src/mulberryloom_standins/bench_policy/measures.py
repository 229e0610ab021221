"""Figures of one simulated run."""

import collections
import dataclasses
import typing as t

from mulberryloom_core import shapes
from mulberryloom_policy import decisions
from mulberryloom_policy.request import fragmentation

from . import workload

#: Minimum number of accelerators of a job that counts as a gang.
GANG_ACCELERATORS = 8


@dataclasses.dataclass(slots=True)
class Results:
    """Counts and times of one run.

    A wait is the time from the submission of a job to its first start
    that does not fail on the faulty worker.

    :param completions_ms_by_class: times from submission to completion.
    :param gang_waits_ms: waits of jobs of at least ``GANG_ACCELERATORS``.
    :param reclaim_waits_ms: waits of jobs that reclaim guaranteed capacity.
    :param refused_placements: placements that no longer fitted.
    :param refused_jobs: jobs that were not accepted or ended in the queue.
    :param faulty_starts: starts on the faulty worker.
    :param preemption_cost_ms: accelerator time spent on checkpoints and
        resumption.
    :param lost_work_ms: accelerator time of attempts that ended with the
        lost worker.
    :param work_ms: accelerator time of all jobs.
    :param samples: number of samples of the free accelerators.
    :param unusable_sum: sum over the samples of free accelerators that the
        shapes of recent requests could not use.
    :param unusable_by_work_sum: the same with shapes weighted by
        accelerator time.
    """

    completions_ms_by_class: dict[shapes.RequestClass, list[int]] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(list)
        )
    )
    urgent_waits_ms: list[int] = dataclasses.field(default_factory=list)
    gang_waits_ms: list[int] = dataclasses.field(default_factory=list)
    reclaim_waits_ms: list[int] = dataclasses.field(default_factory=list)
    refused_placements: int = 0
    refused_jobs: int = 0
    failed_jobs: int = 0
    cancelled_jobs: int = 0
    finished_jobs: int = 0
    faulty_starts: int = 0
    preemptions: int = 0
    preemption_cost_ms: int = 0
    lost_work_ms: int = 0
    work_ms: int = 0
    samples: int = 0
    free_accelerators_sum: int = 0
    unusable_sum: float = 0.0
    unusable_by_work_sum: float = 0.0
    _reclaim_ids: set[str] = dataclasses.field(default_factory=set)
    _started_ids: set[str] = dataclasses.field(default_factory=set)

    def record_arrival(self, arrival: workload.Arrival, is_idle: bool) -> None:
        """Record a new job.

        :param is_idle: whether its account has no other jobs, so that the
            whole guaranteed shape is left for this one to reclaim.
        """
        if arrival.is_reclaim and is_idle:
            self._reclaim_ids.add(arrival.job.request_id)
        self.work_ms += arrival.run_ms * arrival.job.demand.accelerators

    def record_start(
        self, job: decisions.Job, now_ms: int, is_failing: bool
    ) -> None:
        """Record a start; the first that does not fail ends the wait."""
        self.faulty_starts += is_failing
        if is_failing or job.request_id in self._started_ids:
            return
        self._started_ids.add(job.request_id)
        self._record_wait(job, now_ms)

    def record_unfinished(
        self, jobs: t.Iterable[decisions.Job], now_ms: int
    ) -> None:
        """Record waits until now for jobs that never started."""
        for job in jobs:
            if job.request_id not in self._started_ids:
                self._record_wait(job, now_ms)

    def record_finish(self, job: decisions.Job, now_ms: int) -> None:
        """Record that a job is completed."""
        self.finished_jobs += 1
        self.completions_ms_by_class[job.request_class].append(
            now_ms - job.submitted_ms
        )

    def record_failure(self, job: decisions.Job) -> None:
        """Record that a job failed and is not attempted again."""
        self.failed_jobs += 1

    def record_refusal(self, job: decisions.Job) -> None:
        """Record that a job was not accepted or ended in the queue."""
        self.refused_jobs += 1

    def record_cancellation(self, job: decisions.Job) -> None:
        """Record that a waiting job was cancelled."""
        self.cancelled_jobs += 1

    def record_preemption(self, job: decisions.Job, cost_ms: int) -> None:
        """Record a preemption.

        :param cost_ms: time spent on the checkpoint and on resumption.
        """
        self.preemptions += 1
        self.preemption_cost_ms += cost_ms * job.demand.accelerators

    def record_lost_work(self, job: decisions.Job, lost_ms: int) -> None:
        """Record work that was lost with its worker.

        :param lost_ms: run time of the attempt.
        """
        self.lost_work_ms += lost_ms * job.demand.accelerators

    def sample_free(
        self,
        mix: fragmentation.ShapeMix,
        work_mix: fragmentation.ShapeMix,
        free_by_rack: list[list[int]],
    ) -> None:
        """Sample the free accelerators and how many of them are unusable.

        :param mix: shapes weighted by accelerators.
        :param work_mix: shapes weighted by accelerator time.
        :param free_by_rack: for each rack, the free accelerators of each
            of its workers.
        """
        free = sum(sum(counts) for counts in free_by_rack)
        self.samples += 1
        self.free_accelerators_sum += free
        self.unusable_sum += mix.unusable_share(free_by_rack) * free
        unusable_by_work_share = work_mix.unusable_share(free_by_rack)
        self.unusable_by_work_sum += unusable_by_work_share * free

    def figures(self) -> dict[str, float]:
        """Return all figures by name, with times in seconds."""
        figure_by_name: dict[str, float] = {}
        for request_class in shapes.RequestClass:
            times_ms = self.completions_ms_by_class[request_class]
            name = request_class.name.lower()
            figure_by_name[f'{name} completion p50 s'] = quantile(
                times_ms, 0.5
            )
            figure_by_name[f'{name} completion p99 s'] = quantile(
                times_ms, 0.99
            )
        figure_by_name['urgent wait p99 s'] = quantile(
            self.urgent_waits_ms, 0.99
        )
        figure_by_name['longest gang wait s'] = quantile(
            self.gang_waits_ms, 1.0
        )
        figure_by_name['gang wait p50 s'] = quantile(self.gang_waits_ms, 0.5)
        figure_by_name['reclaim p50 s'] = quantile(self.reclaim_waits_ms, 0.5)
        figure_by_name['reclaim longest s'] = quantile(
            self.reclaim_waits_ms, 1.0
        )
        figure_by_name['fragmentation share'] = round(
            self.unusable_sum / max(self.free_accelerators_sum, 1), 4
        )
        figure_by_name['fragmentation by work'] = round(
            self.unusable_by_work_sum / max(self.free_accelerators_sum, 1), 4
        )
        figure_by_name['free accelerators mean'] = round(
            self.free_accelerators_sum / max(self.samples, 1), 2
        )
        figure_by_name['thrown away share'] = round(
            self.preemption_cost_ms / max(self.work_ms, 1), 5
        )
        figure_by_name['preemptions'] = self.preemptions
        figure_by_name['starts on faulty worker'] = self.faulty_starts
        figure_by_name['finished'] = self.finished_jobs
        figure_by_name['failed'] = self.failed_jobs
        figure_by_name['refused'] = self.refused_jobs
        figure_by_name['cancelled'] = self.cancelled_jobs
        return figure_by_name

    def _record_wait(self, job: decisions.Job, now_ms: int) -> None:
        wait_ms = now_ms - job.submitted_ms
        if job.request_class is shapes.RequestClass.URGENT:
            self.urgent_waits_ms.append(wait_ms)
        if job.demand.accelerators >= GANG_ACCELERATORS:
            self.gang_waits_ms.append(wait_ms)
        if job.request_id in self._reclaim_ids:
            self.reclaim_waits_ms.append(wait_ms)


def quantile(times_ms: list[int], share: float) -> float:
    """Return a quantile of times, in seconds.

    :param share: quantile as a share; ``1.0`` is the maximum.
    """
    if not times_ms:
        return 0.0
    ordered = sorted(times_ms)
    index = min(int(len(ordered) * share), len(ordered) - 1)
    return round(ordered[index] / 1_000, 2)
