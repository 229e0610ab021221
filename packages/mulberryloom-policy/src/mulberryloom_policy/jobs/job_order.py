"""The order in which jobs are planned: who goes first."""

import collections
import typing as t

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues

from . import valuation
from .commitments import Commitments
from .round_state import RoundState


class JobOrder(t.Protocol):
    """Orders the open jobs in a planning round."""

    def sort_key(self, job: jobs.Job, state: RoundState) -> t.Any:
        """Return the sort key of a job."""


class TardinessOrder:
    """Orders jobs by what can still be gained by them.

    :param estimator: expected durations and values.
    :param commitments: what earlier rounds have promised.
    """

    __slots__ = ('_commitments', '_estimator')

    def __init__(
        self, estimator: valuation.Estimator, commitments: Commitments
    ) -> None:
        self._estimator = estimator
        self._commitments = commitments

    def sort_key(self, job: jobs.Job, state: RoundState) -> tuple[t.Any, ...]:
        """Return the sort key of a job.

        Guaranteed jobs go before others. Within both groups, jobs that
        would complete without value go last, and the others by priority.
        Within a priority, jobs for which runs were preempted go first, so
        that no other job takes the freed capacity; then jobs that can
        complete in time go before late ones, each by their urgency. Gangs
        for which capacity was reserved keep their place, so that what
        becomes free for them is not taken again.
        """
        deadlines = self._estimator.deadlines(job)
        share = deadlines.value_share(state.wall_ms)
        is_guaranteed = job.job_id in state.guaranteed_ids
        return (
            not is_guaranteed,
            share == 0.0,
            job.terms.priority,
            job.job_id not in self._commitments.preemption_cost_by_job,
            -share,
            job.job_id not in self._commitments.reserved_ids,
            -self._estimator.urgency(job, state.wall_ms),
            job.accepted_ms,
        )


def guaranteed_ids(
    open_jobs: list[jobs.Job], catalogue: catalogues.Catalogue
) -> set[str]:
    """Return the ids of urgent jobs that their account's guarantee covers.

    A job counts with the accelerators of its largest step. Jobs use up the
    guarantee in the order of their acceptance, including those that exceed
    it.
    """
    used_by_account: collections.Counter[str] = collections.Counter()
    found = set()
    urgent = [job for job in open_jobs if job.terms.priority == 0]
    for job in sorted(urgent, key=lambda job: job.accepted_ms):
        account = catalogue.account_by_name.get(job.terms.account)
        if account is None:
            continue
        needed = max(
            (step.tasks * step.accelerators for step in job.spec.steps),
            default=0,
        )
        used_by_account[account.name] += needed
        if used_by_account[account.name] <= account.guaranteed_accelerators:
            found.add(job.job_id)
    return found
