"""Resolution of pending placements: jobs whose victims are stopping."""

import typing as t

from .. import decisions
from . import actions as action_module
from . import fleet as fleets
from . import pending_placements
from . import records

if t.TYPE_CHECKING:
    from mulberryloom_core import shapes

    from . import environment

# Time beyond the checkpoint grace period after which a pending placement is
# dropped.
PREEMPTION_SLACK_MS = 5_000


class PlacementResolver:
    """Checks pending placements: starts their jobs or drops them."""

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
        """Check all pending placements.

        Each job is started if there is room, or placed elsewhere. It is
        queued again if its workers can not be used any more, if they are
        occupied by other work than the victims, or after a timeout.
        """
        env = self._env
        timeout_ms = env.options.checkpoint_grace_ms + PREEMPTION_SLACK_MS
        for pending in list(env.pending_placements.by_id.values()):
            record = env.records.get(pending.request_id)
            if self._has_room(pending):
                env.pending_placements.drop(pending.request_id)
                record.phase = records.JobPhase.PLACED
                record.placed_ms = self._now_ms
                self._actions.decisions.append(
                    decisions.Place(pending.request_id, pending.placements)
                )
            elif self._place_elsewhere(pending, record):
                continue
            elif (
                not self._has_usable_workers(pending)
                or self._is_blocked(pending)
                or self._now_ms - pending.created_ms >= timeout_ms
            ):
                self._actions.drop_pending(record)
                env.records.requeue(record)

    def _place_elsewhere(
        self,
        pending: pending_placements.PendingPlacement,
        record: records.Record,
    ) -> bool:
        """Start the job on other workers that have become free."""
        env = self._env
        env.fleet.release(pending.request_id)
        found = self._actions.search(record.job, frozenset())
        if found:
            env.pending_placements.drop(pending.request_id)
            self._actions.place(record.job, found)
            return True
        if self._has_usable_workers(pending):
            self._actions.claim(
                record.job,
                pending.placements,
                records.JobPhase.PENDING_PREEMPTION,
            )
        return False

    def _has_room(self, pending: pending_placements.PendingPlacement) -> bool:
        """Tell whether the job fits if later pending placements are ignored.

        Earlier ones keep their claims.
        """
        if not self._has_usable_workers(pending):
            return False
        for placement in pending.placements:
            worker = self._env.fleet.workers_by_name[placement.worker]
            free = worker.free
            is_later = False
            for other in self._env.pending_placements.by_id:
                hold = worker.holds_by_id.get(other)
                if is_later and hold is not None:
                    free += hold.resources
                is_later = is_later or other == pending.request_id
            if not fleets.NOTHING.fits_in(free):
                return False
        return True

    def _is_blocked(
        self, pending: pending_placements.PendingPlacement
    ) -> bool:
        """Tell whether other work than the victims occupies the workers.

        This happens when the preemption was decided on a stale view of a
        worker on which other work had started.
        """
        pending_by_id = self._env.pending_placements.by_id
        departing = set(pending_by_id) - {pending.request_id}
        for other in pending_by_id.values():
            departing.update(other.victims)
        return any(
            not fleets.NOTHING.fits_in(
                self._free_without(departing, placement.worker)
            )
            for placement in pending.placements
        )

    def _free_without(
        self, departing: set[str], name: str
    ) -> 'shapes.Resources':
        """Return the free resources of a worker if some requests had ended.

        :param departing: ids of these requests.
        """
        worker = self._env.fleet.workers_by_name[name]
        freed = [
            hold.resources
            for request_id, hold in worker.holds_by_id.items()
            if request_id in departing
        ]
        return sum(freed, worker.free)

    def _has_usable_workers(
        self, pending: pending_placements.PendingPlacement
    ) -> bool:
        workers_by_name = self._env.fleet.workers_by_name
        return all(
            placement.worker in workers_by_name
            and workers_by_name[placement.worker].is_open
            for placement in pending.placements
        )
