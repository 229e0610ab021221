"""Options of the planner, read from the settings of a deployment."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyOptions:
    """Weights and limits of the scheduling decisions.

    :param completion_weight: weight of the risk that a placement delays
        the completion of jobs.
    :param fragmentation_weight: weight of the free accelerators that a
        placement makes unusable for the shapes of recent requests.
    :param longest_gang_wait_ms: wait that a gang should never exceed.
        Once a gang has waited for half of it, jobs that run beyond the
        guarantee of their account may be preempted for the gang.
    :param checkpoint_grace_ms: grace period in which a task may write
        its checkpoint before it is stopped.
    :param interactive_aging_ms: aging time of interactive requests.
        Requests other than urgent ones are queued by arrival plus aging
        time, so that one that has waited for its aging time precedes all
        that arrive later.
    :param batch_aging_ms: aging time of batch requests.
    :param is_moving_enabled: whether small jobs may be preempted and
        moved to other workers to free the accelerators that a gang needs.
    """

    completion_weight: float = 1.0
    fragmentation_weight: float = 1.0
    longest_gang_wait_ms: int = 600_000
    checkpoint_grace_ms: int = 10_000
    interactive_aging_ms: int = 30_000
    batch_aging_ms: int = 300_000
    is_moving_enabled: bool = True

    @classmethod
    def from_settings(cls, settings: dict[str, t.Any]) -> 'PolicyOptions':
        """Build options from the ``policy`` object of the settings.

        :param settings: validated settings; unknown keys are ignored.
        """
        known = {field.name for field in dataclasses.fields(cls)}
        return cls(
            **{key: value for key, value in settings.items() if key in known}
        )
