"""Placements of jobs that start once preempted work has stopped."""

import dataclasses

from .. import decisions


@dataclasses.dataclass(slots=True)
class PendingPlacement:
    """Placement of a job that waits until its victims have stopped.

    The fleet counts its resources as claimed from the start.

    :param created_ms: when the victims were preempted.
    :param victims: ids of the requests that were preempted for it.
    """

    request_id: str
    account: str
    placements: list[decisions.Placement]
    created_ms: int
    victims: list[str]


class PendingPlacements:
    """All pending placements by request, the oldest first."""

    __slots__ = ('by_id',)

    def __init__(self) -> None:
        self.by_id: dict[str, PendingPlacement] = {}

    def add(self, placement: PendingPlacement) -> None:
        self.by_id[placement.request_id] = placement

    def drop(self, request_id: str) -> None:
        """Forget the pending placement of a request, if there is one."""
        self.by_id.pop(request_id, None)

    def accounts(self) -> set[str]:
        """Return the accounts with a pending placement."""
        return {placement.account for placement in self.by_id.values()}
