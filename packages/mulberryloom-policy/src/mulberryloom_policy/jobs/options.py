"""Limits and cost factors of job scheduling."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlanOptions:
    """Limits and cost factors; durations are in milliseconds.

    Costs and job values share one unit: an average-sized job of the lowest
    priority that completes in time has the value 1.

    :param spread_factor: factor by which a task takes longer outside its
        preferred rack, from the deployment's settings.
    :param stop_grace_ms: grace period in which a stopped run has to end,
        from the deployment's settings.
    :param default_estimate_ms: expected duration of a task that declares
        none.
    :param cores_per_accelerator: CPU cores that one accelerator counts as
        when the size of work is computed, following the deployment's prices.
    :param failure_backoff_ms: time without new tasks for a worker after a
        failure with no later success; about the duration of one short
        task. It doubles with each further failure, see ``health``.
    :param max_failure_backoff_ms: upper limit of this backoff.
    :param min_reliable_progress: percentage from which on the reported
        progress predicts the end of a run better than the declared
        duration.
    :param lost_core_second_cost: cost of one core-second of lost work, as
        the deployment prices it.
    :param base_preemption_cost: fixed cost of preempting any run: a stop
        and a restart leave about 20 cores idle for one second. It also
        makes capacity that is already being freed the cheapest choice in
        the next round.
    :param max_cost_to_gain_ratio: highest preemption cost in proportion to
        the expected gain in value.
    :param preemption_delay_ms: how long guaranteed work waits for capacity
        that is expected to become free before it preempts other work; a
        small part of the time in which it has to start.
    :param urgent_preemption_delay_ms: how long it waits before it preempts
        other urgent work, which loses its value by that. The rest of the
        time in which it has to start covers the stop and the start.
    :param restart_wait_ms: expected time until a preempted task finds
        capacity again.
    :param stall_timeout_ms: minimum time without progress after which a run
        counts as stalled.
    :param unresponsive_after_ms: minimum time without progress of all of a
        worker's runs after which it gets no new tasks; longer than the
        interval between two lists of a worker, 800 ms.
    :param urgent_stall_timeout_ms: minimum time without progress after which
        an urgent run on such a worker counts as stalled.
    :param drain_margin_ms: safety margin before a draining worker ends.
    :param max_rack_wait_ms: how long guaranteed work waits for capacity in
        the preferred rack, or for a gang in one rack, before it uses other
        racks.
    :param max_idle_wait_ms: how long any gang waits for capacity in one rack
        while more than half of the fleet is idle. Deployments require that a
        job starts within 3 s then.
    :param max_reservations: steps for which capacity is reserved at the
        same time.
    :param least_share_of_others: share of the fleet on which work that is
        not urgent may run even if urgent jobs ask for all of it.
    """

    spread_factor: float = 3.0
    stop_grace_ms: int = 1_000
    default_estimate_ms: int = 5_000
    cores_per_accelerator: int = 8
    failure_backoff_ms: int = 4_000
    max_failure_backoff_ms: int = 30_000
    min_reliable_progress: int = 5
    lost_core_second_cost: float = 0.0016
    base_preemption_cost: float = 0.03
    max_cost_to_gain_ratio: float = 0.5
    preemption_delay_ms: int = 600
    urgent_preemption_delay_ms: int = 1_200
    restart_wait_ms: int = 2_000
    stall_timeout_ms: int = 2_800
    unresponsive_after_ms: int = 1_000
    urgent_stall_timeout_ms: int = 1_300
    drain_margin_ms: int = 500
    max_rack_wait_ms: int = 1_200
    max_idle_wait_ms: int = 2_000
    max_reservations: int = 2
    least_share_of_others: float = 0.125
