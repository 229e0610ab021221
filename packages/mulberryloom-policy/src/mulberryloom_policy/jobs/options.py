"""Limits and weights of the decisions on jobs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlanOptions:
    """Limits and weights; durations are in milliseconds.

    :param spread_factor: how many times longer work takes away from its
        rack, as the deployment states it.
    :param stop_grace_ms: longest stop of a run, as the deployment states.
    :param default_estimate_ms: duration of a task that declares none.
    :param accelerator_cores: cores that one accelerator counts as when
        work is weighed, as the deployment's prices do.
    :param suspect_ms: how long a worker gets no new work after a failure
        that no later success has outweighed; about one short task. It
        doubles with each further failure.
    :param max_suspect_ms: longest such time.
    :param trusted_progress: percent of progress from which on it tells
        more about the end of a run than the declared duration.
    :param core_second_worth: worth of one core-second of work, as the
        deployment prices work that is thrown away.
    :param stop_cost: worth of not stopping a run at all: a stop and a new
        start keep about 20 cores idle for a second. It also makes room
        that is being cleared the cheapest in the next round.
    :param trusted_gain: share of an expected gain that may be spent on
        work that is thrown away for it.
    :param natural_wait_ms: how long guaranteed work waits for room that is
        expected to be free; a small part of the time in which it has to
        start.
    :param restart_wait_ms: expected wait of stopped work for new room.
    :param stalled_ms: time without progress after which a run counts as
        standing still.
    :param drain_margin_ms: reserve before a draining worker leaves.
    :param spread_wait_ms: how long urgent work waits for room in one rack
        before it is spread over several.
    :param max_reservations: large pieces of work for which room is kept
        at the same time.
    """

    spread_factor: float = 3.0
    stop_grace_ms: int = 1_000
    default_estimate_ms: int = 5_000
    accelerator_cores: int = 8
    suspect_ms: int = 4_000
    max_suspect_ms: int = 30_000
    trusted_progress: int = 5
    core_second_worth: float = 0.0016
    stop_cost: float = 0.03
    trusted_gain: float = 0.5
    natural_wait_ms: int = 600
    restart_wait_ms: int = 2_000
    stalled_ms: int = 2_800
    drain_margin_ms: int = 500
    spread_wait_ms: int = 1_200
    max_reservations: int = 2
