"""Preemption of work that occupies the headroom for urgent work."""

import typing as t

from mulberryloom_core import shapes

from .. import decisions
from . import actions as action_module
from . import fleet as fleets

if t.TYPE_CHECKING:
    from . import environment


class HeadroomReclaim:
    """Preempts work where the headroom of an account is not free."""

    __slots__ = ('_actions', '_env', '_now_ms')

    def __init__(
        self,
        env: 'environment.Environment',
        actions: action_module.Actions,
        now_ms: int,
    ) -> None:
        self._actions = actions
        self._env = env
        self._now_ms = now_ms

    def run(self) -> None:
        """Preempt the work that occupies headroom, on each worker with some.

        Nothing is preempted where work that is already stopping will free
        enough resources.
        """
        env = self._env
        for name, account in env.headroom.reserved_workers():
            worker = env.fleet.workers_by_name.get(name)
            if worker is None or account not in env.owned:
                continue
            needed = env.headroom.reserved_by(worker, account)
            if needed.fits_in(worker.free):
                continue
            if needed.fits_in(worker.free + self._being_released(worker)):
                continue
            job = _placeholder_job(account, needed, self._now_ms)
            search = self._actions.preemption_search(job, is_guaranteed=True)
            for hold in search.choose_victims(worker, needed):
                self._actions.preempt(hold, account)

    def _being_released(self, worker: fleets.Worker) -> shapes.Resources:
        """Return the resources of work that is stopping on a worker.

        Work counts from the decision to preempt it.
        """
        total = fleets.NOTHING
        for hold in worker.holds_by_id.values():
            record = self._env.records.get(hold.request_id)
            if hold.is_stopping or (record and record.is_preempting):
                total += hold.resources
        return total


def _placeholder_job(
    account: str, needed: shapes.Resources, now_ms: int
) -> decisions.Job:
    """Return a placeholder for urgent work that may arrive.

    :param needed: headroom to free on one worker.
    """
    return decisions.Job(
        request_id='',
        account=account,
        service='',
        method='',
        request_class=shapes.RequestClass.URGENT,
        demand=shapes.Demand(
            needed.accelerators,
            shapes.Adjacency.WORKER,
            needed.processors,
            needed.memory_mb,
        ),
        is_idempotent=True,
        is_checkpointable=False,
        declared_run_ms=1,
        submitted_ms=now_ms,
        deadline_at_ms=now_ms,
    )
