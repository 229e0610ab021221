"""Ledger of the resources of a worker, by the tasks that hold them.

It alone decides what is free on the worker; other views are copies.
"""

import dataclasses

from mulberryloom_core import exceptions
from mulberryloom_core import shapes
from result import Err
from result import Ok
from result import Result

#: Delay before a retry that refusals suggest to the caller.
RETRY_AFTER_MS = 1_000

_NO_RESOURCES = shapes.Resources()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identity of one attempt of a request."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Resources reserved for one task.

    :param positions: indexes of its accelerators, ascending.
    """

    account: str
    resources: shapes.Resources
    positions: tuple[int, ...]


class Ledger:
    """Capacity of the worker and the reservations of its tasks.

    Reducing the capacity revokes no reservation: the worker counts as full
    until enough reservations are released.
    """

    __slots__ = ('_capacity', '_reservations_by_key', '_usage_by_account')

    def __init__(self) -> None:
        self._capacity = shapes.Resources()
        self._reservations_by_key: dict[TaskKey, Reservation] = {}
        self._usage_by_account: dict[str, shapes.Resources] = {}

    @property
    def capacity(self) -> shapes.Resources:
        """Total resources of the worker."""
        return self._capacity

    @property
    def used(self) -> shapes.Resources:
        """Sum of all reservations."""
        return sum(self._usage_by_account.values(), shapes.Resources())

    @property
    def free(self) -> shapes.Resources:
        """Unreserved resources; negative after a capacity reduction."""
        return self._capacity - self.used

    def resize(self, capacity: shapes.Resources) -> None:
        """Set the total resources of the worker."""
        self._capacity = capacity

    def usage(self, account: str) -> shapes.Resources:
        """Return the sum of an account's reservations."""
        return self._usage_by_account.get(account, shapes.Resources())

    def usage_by_account(self) -> dict[str, shapes.Resources]:
        """Return the sum of reservations of each account that has any."""
        return dict(self._usage_by_account)

    def reserve(
        self,
        key: TaskKey,
        account: str,
        resources: shapes.Resources,
        withheld: shapes.Resources = _NO_RESOURCES,
    ) -> Result[Reservation, exceptions.Error]:
        """Reserve resources for a task.

        :param resources: at least one slot, and no negative amount.
        :param withheld: free resources that this account may not use.
        :return: the reservation; ``NO_CAPACITY`` when it does not fit, or
            ``MALFORMED_REQUEST`` for invalid amounts or a key that has a
            reservation already.
        """
        if key in self._reservations_by_key or not _is_valid(resources):
            return Err(_malformed_error(resources))
        free_positions = self._free_positions()
        free = self.free - withheld
        is_fitting = resources.fits_in(free)
        if not is_fitting or resources.accelerators > len(free_positions):
            return Err(_no_capacity_error(resources, free))
        positions = choose_positions(free_positions, resources.accelerators)
        reservation = Reservation(account, resources, positions)
        self._reservations_by_key[key] = reservation
        self._usage_by_account[account] = self.usage(account) + resources
        return Ok(reservation)

    def release(self, key: TaskKey) -> None:
        """Release the reservation of a task, if it has one."""
        reservation = self._reservations_by_key.pop(key, None)
        if reservation is None:
            return
        account = reservation.account
        remaining = self.usage(account) - reservation.resources
        if remaining == shapes.Resources():
            del self._usage_by_account[account]
        else:
            self._usage_by_account[account] = remaining

    def _free_positions(self) -> list[int]:
        held_positions = set()
        for reservation in self._reservations_by_key.values():
            held_positions.update(reservation.positions)
        return [
            i
            for i in range(self._capacity.accelerators)
            if i not in held_positions
        ]


def choose_positions(free: list[int], count: int) -> tuple[int, ...]:
    """Choose accelerators, from the smallest free range that fits if any.

    Without a free range that is large enough, the lowest free positions
    are chosen.

    :param free: free positions, ascending; at least ``count``.
    :return: ascending positions.
    """
    if count == 0:
        return ()
    ranges = [
        candidate
        for candidate in _contiguous_ranges(free)
        if len(candidate) >= count
    ]
    if not ranges:
        return tuple(free[:count])
    return tuple(min(ranges, key=len)[:count])


def _contiguous_ranges(positions: list[int]) -> list[list[int]]:
    ranges: list[list[int]] = []
    for position in positions:
        if ranges and ranges[-1][-1] == position - 1:
            ranges[-1].append(position)
        else:
            ranges.append([position])
    return ranges


def _is_valid(resources: shapes.Resources) -> bool:
    return (
        resources.slots >= 1
        and resources.accelerators >= 0
        and resources.processors >= 0
        and resources.memory_mb >= 0
    )


def _malformed_error(resources: shapes.Resources) -> exceptions.Error:
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.MALFORMED_REQUEST,
        f'cannot reserve {resources}: expected at least one slot, no '
        'negative amount and no earlier reservation of the attempt',
    )


def _no_capacity_error(
    resources: shapes.Resources, free: shapes.Resources
) -> exceptions.Error:
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.NO_CAPACITY,
        f'insufficient capacity: needs {resources}, available {free}',
        retry_after_ms=RETRY_AFTER_MS,
    )
