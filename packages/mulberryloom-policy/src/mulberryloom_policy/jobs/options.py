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
        that no later success has outweighed; about one short task.
    """

    spread_factor: float = 3.0
    stop_grace_ms: int = 1_000
    default_estimate_ms: int = 5_000
    accelerator_cores: int = 8
    suspect_ms: int = 8_000
