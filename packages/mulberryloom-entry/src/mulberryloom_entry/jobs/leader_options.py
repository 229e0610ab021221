"""Timeouts and intervals of the leader."""

import dataclasses

from mulberryloom_policy.jobs import PlanOptions


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderOptions:
    """Timeouts and intervals of the leader, in milliseconds.

    :param plan: limits and weights of the planner.
    :param confirmation_valid_ms: time for which a confirmation of the
        leadership is valid; later orders do not renew worker leases.
    :param renewal_window_ms: time for which an agent renews worker leases
        after it sent the last report that orders confirm. Equals the agent's
        option of the same name.
    :param lease_ms: longest lease of a worker.
    :param margin_ms: safety margin for clock differences and calls in
        transit.
    :param heartbeat_interval_ms: interval of orders to an agent when there
        is nothing to start or stop.
    :param startup_wait_ms: age of a term below which no run is stopped for
        other work, since workers with free resources may still report. The
        first plan waits as long while workers keep reporting, and work that
        is not urgent while a worker of a recorded run has not reported.
    :param startup_quiet_ms: time without a newly adopted worker after which
        the first plan need not wait for more of them.
    :param startup_fill_wait_ms: age of a term below which no job starts
        tasks that is less urgent than an unconfirmed run of an earlier
        leader.
    :param replan_interval_ms: longest interval between plans when no job
        or worker has changed, since some decisions depend on time alone.
    :param waiting_replan_interval_ms: the same while a step waits for
        resources. Shorter, since the time left until the step should start
        decides which runs are stopped for it.
    :param order_ttl_ms: time for which an unanswered order may still be
        carried out.
    :param ended_job_retention_ms: time for which the record of an ended
        job is kept and its state can be queried.
    :param evacuation_prefix: prefix of the keys of evacuated data centres;
        if it is empty, evacuations are not followed.
    :param start_order_valid_ms: time after the write of a run within which
        its start may be sent; ``0`` if that is not limited.
    """

    plan: PlanOptions = dataclasses.field(default_factory=PlanOptions)
    confirmation_valid_ms: int = 2_000
    renewal_window_ms: int = 3_000
    lease_ms: int = 6_000
    margin_ms: int = 700
    heartbeat_interval_ms: int = 700
    startup_wait_ms: int = 700
    startup_quiet_ms: int = 150
    startup_fill_wait_ms: int = 2_500
    replan_interval_ms: int = 500
    waiting_replan_interval_ms: int = 100
    order_ttl_ms: int = 15_000
    ended_job_retention_ms: int = 150_000
    evacuation_prefix: str = ''
    start_order_valid_ms: int = 0

    @property
    def worker_timeout_ms(self) -> int:
        """Time without a report after which nothing runs on a worker.

        Sum of the agent's renewal period, the longest lease, extended by
        2 % for slow worker clocks, and the safety margin.
        """
        return (
            self.renewal_window_ms + self.lease_ms * 51 // 50 + self.margin_ms
        )
