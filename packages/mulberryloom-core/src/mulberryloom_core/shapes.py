"""Resource amounts, and the demand of a job or a guarantee."""

import dataclasses
import enum


class Adjacency(enum.Enum):
    """Topology constraint on the accelerators of one job."""

    ANY = 'any'
    RACK = 'rack'
    WORKER = 'worker'


class RequestClass(enum.IntEnum):
    """Priority class of a request; a lower value is scheduled first."""

    URGENT = 0
    INTERACTIVE = 1
    BATCH = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resource amounts of one worker, or sums of such amounts.

    :param slots: number of requests that a backend server runs at once.
    :param accelerators: number of whole accelerators.
    :param processors: number of processor cores.
    :param memory_mb: memory in mebibytes.
    """

    slots: int = 0
    accelerators: int = 0
    processors: int = 0
    memory_mb: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.slots + other.slots,
            self.accelerators + other.accelerators,
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.slots - other.slots,
            self.accelerators - other.accelerators,
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
        )

    def fits_in(self, free: 'Resources') -> bool:
        """Return whether no amount exceeds that of ``free``."""
        return (
            self.slots <= free.slots
            and self.accelerators <= free.accelerators
            and self.processors <= free.processors
            and self.memory_mb <= free.memory_mb
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Resources that one job requests, summed over the members of its gang.

    A member with ``k`` accelerators takes one slot, and a share of the
    processors and memory in proportion to ``k``, rounded up.

    :param accelerators: total accelerators; ``0`` for processors only.
    :param adjacency: topology constraint on the accelerators.
    :param processors: total processor cores.
    :param memory_mb: total memory in mebibytes.
    """

    accelerators: int = 0
    adjacency: Adjacency = Adjacency.ANY
    processors: int = 1
    memory_mb: int = 256

    def member(self, accelerators: int) -> Resources:
        """Return the resources of one member.

        :param accelerators: number of accelerators of the member; ignored
            for a demand without accelerators, which has one member only.
        """
        if self.accelerators == 0:
            return Resources(1, 0, self.processors, self.memory_mb)
        total = self.accelerators
        return Resources(
            slots=1,
            accelerators=accelerators,
            processors=-(-self.processors * accelerators // total),
            memory_mb=-(-self.memory_mb * accelerators // total),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteedShape:
    """Demand for which an account has guaranteed capacity.

    :param demand: demand of one copy.
    :param copies: number of copies guaranteed at the same time.
    """

    demand: Demand
    copies: int = 1
