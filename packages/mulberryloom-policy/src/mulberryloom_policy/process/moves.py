"""Moves of small preemptible work that free a block for a gang.

Moves are worthwhile when the gang would otherwise wait for clearly more
accelerator time than the moved work loses, and when that work fits
elsewhere now.
"""

import typing as t

from .. import decisions
from . import reclaim

if t.TYPE_CHECKING:
    from . import environment
    from . import fleet as fleets

# Requests preempted for one gang, at most.
MAX_MOVES = 8
# Least ratio of the accelerator time gained to that lost by the moves.
MIN_GAIN_FACTOR = 2.0
# Assumed loss of moved work, in checkpoint grace periods.
GRACE_PERIODS_LOST = 2


def is_worthwhile(
    env: 'environment.Environment',
    job: decisions.Job,
    plan: reclaim.PreemptionPlan,
    wait_ms: int,
) -> bool:
    """Tell whether moving the victims of a plan is worthwhile.

    :param wait_ms: predicted wait of the gang without the moves.
    """
    if len(plan.victims) > MAX_MOVES:
        return False
    cost_ms = plan.cost * GRACE_PERIODS_LOST * env.options.checkpoint_grace_ms
    if job.demand.accelerators * wait_ms < MIN_GAIN_FACTOR * cost_ms:
        return False
    return all(
        hold.account in env.owned and not hold.is_gang for hold in plan.victims
    ) and _fits_elsewhere(env, plan)


def _fits_elsewhere(
    env: 'environment.Environment', plan: reclaim.PreemptionPlan
) -> bool:
    vacated = {placement.worker for placement in plan.placements}
    free_by_worker = {
        worker.name: worker.free - env.headroom.reserved(worker)
        for worker in env.fleet.open_workers(0)
        if worker.name not in vacated
    }
    return all(_allocate(hold, free_by_worker) for hold in plan.victims)


def _allocate(hold: 'fleets.Hold', free_by_worker: dict[str, t.Any]) -> bool:
    """Deduct a hold from the first worker that has room for it."""
    for name, free in free_by_worker.items():
        if hold.resources.fits_in(free):
            free_by_worker[name] = free - hold.resources
            return True
    return False
