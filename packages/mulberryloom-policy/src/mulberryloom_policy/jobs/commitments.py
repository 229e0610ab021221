"""What earlier planning rounds have promised to jobs."""

import typing as t


class Commitments:
    """Jobs that keep their place in the order, since capacity awaits them.

    :ivar preemption_cost_by_job: sum of the costs of all preemptions for an
        open job.
    :ivar reserved_ids: jobs with a gang for which the last round reserved
        capacity.
    """

    __slots__ = ('preemption_cost_by_job', 'reserved_ids')

    def __init__(self) -> None:
        self.preemption_cost_by_job: dict[str, float] = {}
        self.reserved_ids: set[str] = set()

    def begin_reservations(self) -> None:
        """Forget the reservations of the last round."""
        self.reserved_ids = set()

    def forget_others(self, open_ids: t.Container[str]) -> None:
        """Forget all jobs but the open ones."""
        self.preemption_cost_by_job = {
            job_id: cost
            for job_id, cost in self.preemption_cost_by_job.items()
            if job_id in open_ids
        }
