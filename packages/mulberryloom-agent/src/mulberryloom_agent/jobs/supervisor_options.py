"""Timing of the supervision of a worker."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSupervisorOptions:
    """Timing of leases, calls and reports, in milliseconds.

    :param lease_ms: duration of the lease that is requested; it equals the
        longest lease that a worker grants.
    :param renewal_window_ms: leases are renewed for this long after the
        leader last confirmed its leadership.
    :param worker_timeout_ms: leases are renewed for this long after the
        last reply of the worker; longer than ``wait_ms`` and a slow reply.
        The less, the sooner the runs of a lost worker start elsewhere.
    :param margin_ms: safety margin for clock differences.
    :param wait_ms: long-polling timeout of a hold call, within which the
        worker replies as soon as a run ends.
    :param poll_interval_ms: interval between hold calls while the leader
        has not acknowledged all ended runs, and while the runs of the
        worker stand still.
    :param retry_delay_ms: delay before a call without a reply is repeated.
    :param order_ttl_ms: time for which a start call may still reach a worker
        that has restarted under its name; equals the leader's option.
    :param report_interval_ms: interval between reports without changes.
    :param suspension_ms: gap between two replies or rounds of calls from
        which the agent counts as having been suspended.
    :param resumption_ms: time after a suspension in which the worker may
        reply before its lease counts as expired.
    :param candidate_ttl_ms: time for which a worker that has sent a
        heartbeat is asked whether it runs on this VM; longer than the
        interval between heartbeats.
    """

    lease_ms: int = 6_000
    renewal_window_ms: int = 3_000
    worker_timeout_ms: int = 1_500
    margin_ms: int = 300
    wait_ms: int = 800
    poll_interval_ms: int = 300
    retry_delay_ms: int = 150
    order_ttl_ms: int = 15_000
    report_interval_ms: int = 900
    suspension_ms: int = 1_000
    resumption_ms: int = 400
    candidate_ttl_ms: int = 3_000

    @property
    def lease_slack_ms(self) -> int:
        """Time after which a lease that has ended is certainly over.

        2 % of its duration, for slow worker clocks, and the margin.
        """
        return self.lease_ms // 50 + self.margin_ms
