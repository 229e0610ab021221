"""Actions of a planning round: search, place, claim and preempt.

A claim is the hold of a placement that this planner has decided. It is kept
until the request is released.
"""

import typing as t

from .. import decisions
from . import fleet as fleets
from . import pending_placements
from . import reclaim as reclaim_module
from . import records
from ..request import job_capacity
from ..request import placement

if t.TYPE_CHECKING:
    from . import environment


class Actions:
    """Searches and state changes of one round.

    Collects the decisions of the round in ``decisions``.
    """

    __slots__ = ('decisions', '_env', '_now_ms')

    def __init__(self, env: 'environment.Environment', now_ms: int) -> None:
        self.decisions: list[decisions.Decision] = []
        self._env = env
        self._now_ms = now_ms

    def search(
        self, job: decisions.Job, avoided: frozenset[str]
    ) -> list[decisions.Placement]:
        """Return the cheapest placements of a job, none if it does not fit.

        :param avoided: workers that are used only where no other fits.
        """
        capacity = job_capacity.JobCapacity(
            self._env, job, avoided, self._now_ms
        )
        placements = placement.Search(self._env, job, capacity).find()
        if not placements and avoided:
            return self.search(job, frozenset())
        return placements

    def probe(self, job: decisions.Job) -> list[decisions.Placement]:
        """Use a job as probe of a quarantined worker that is due for one.

        Only idempotent jobs are used, as the worker may fail them.

        :return: its placement, or nothing if no worker is due or fits.
        """
        env = self._env
        due = env.health.due_probes(self._now_ms)
        if not due or not placement.may_probe(job):
            return []
        needed = job.demand.member(job.demand.accelerators)
        capacity = job_capacity.JobCapacity(
            env, job, frozenset(), self._now_ms
        )
        for name in due:
            worker = env.fleet.workers_by_name.get(name)
            if worker is None or not worker.is_probeable(job.service):
                continue
            if needed.fits_in(capacity.free(worker)):
                env.health.start_probe(name, job.request_id)
                return [decisions.Placement(name, job.demand.accelerators)]
        return []

    def place(
        self, job: decisions.Job, placements: list[decisions.Placement]
    ) -> None:
        """Claim the resources of a job and decide that it starts."""
        self.claim(job, placements, records.JobPhase.PLACED)
        self.decisions.append(decisions.Place(job.request_id, placements))

    def claim(
        self,
        job: decisions.Job,
        placements: list[decisions.Placement],
        phase: records.JobPhase,
    ) -> None:
        """Claim the resources of a job on its workers.

        :param phase: new phase of the job.
        """
        env = self._env
        for member in placements:
            hold = fleets.Hold.from_job(
                job, member.accelerators, len(placements) > 1, self._now_ms
            )
            env.fleet.claim(member.worker, hold)
        env.records.dequeue(
            env.records.get(job.request_id), phase, self._now_ms
        )
        reservation = env.reservation
        if reservation and reservation.request_id == job.request_id:
            env.reservation = None

    def preemption_search(
        self,
        job: decisions.Job,
        *,
        is_guaranteed: bool,
    ) -> reclaim_module.PreemptionSearch:
        """Return a search for running work to preempt for a job.

        :param is_guaranteed: see :class:`reclaim.PreemptionSearch`.
        """
        capacity = job_capacity.JobCapacity(
            self._env, job, frozenset(), self._now_ms
        )
        return reclaim_module.PreemptionSearch(
            self._env, job, capacity, self._now_ms, is_guaranteed=is_guaranteed
        )

    def preempt_for(
        self, job: decisions.Job, plan: reclaim_module.PreemptionPlan | None
    ) -> bool:
        """Carry out a preemption plan and claim the resources for the job.

        The job starts at once where the plan has no victims, and
        otherwise when the victims have stopped.

        :return: whether there was a plan.
        """
        if plan is None:
            return False
        env = self._env
        if not plan.victims:
            self.place(job, plan.placements)
            return True
        victims = [hold.request_id for hold in plan.victims]
        for hold in plan.victims:
            self.preempt(hold, job.account)
        self.claim(job, plan.placements, records.JobPhase.PENDING_PREEMPTION)
        env.pending_placements.add(
            pending_placements.PendingPlacement(
                job.request_id,
                job.account,
                plan.placements,
                self._now_ms,
                victims,
            )
        )
        return True

    def preempt(self, hold: fleets.Hold, for_account: str) -> None:
        """Decide that a request is preempted on all its workers.

        :param for_account: account for which the resources are freed.
        """
        env = self._env
        record = env.records.get(hold.request_id)
        if record is not None:
            record.is_preempting = True
        self.decisions.append(
            decisions.Preempt(
                hold.request_id,
                hold.attempt,
                sorted(env.fleet.names_by_request[hold.request_id]),
                for_account,
                env.options.checkpoint_grace_ms,
            )
        )

    def drop_pending(self, record: records.Record) -> None:
        """Release the resources claimed for a job that waits for victims."""
        if record.phase is records.JobPhase.PENDING_PREEMPTION:
            self._env.pending_placements.drop(record.job.request_id)
            self._env.fleet.release(record.job.request_id)
