"""Deterministic bin packing of guaranteed shapes into workers.

The packing gives each account a part of some workers: the resources that
are guaranteed to the account there. Only preemptible jobs may run in the
part of another account, so that this account can always reclaim it.

The load of a bin means the resources that non-preemptible jobs use there.
"""

import collections
import dataclasses
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
from result import Err
from result import Ok
from result import Result

from ..request import gangs

NOTHING = shapes.Resources()


@dataclasses.dataclass(slots=True)
class Bin:
    """One worker, or the place of one worker in a configured rack.

    :param part_by_account: guaranteed resources of each account.
    :param non_preemptible_by_account: resources that non-preemptible jobs of
        each account use.
    :param spare: capacity that is neither guaranteed to an account nor
        used by non-preemptible jobs.
    """

    name: str
    rack: str
    capacity: shapes.Resources
    part_by_account: dict[str, shapes.Resources]
    non_preemptible_by_account: dict[str, shapes.Resources]
    spare: shapes.Resources

    @classmethod
    def from_capacity(
        cls,
        name: str,
        rack: str,
        capacity: shapes.Resources,
        non_preemptible_by_account: dict[str, shapes.Resources] | None = None,
    ) -> 'Bin':
        """Build a bin without guaranteed parts."""
        non_preemptible = non_preemptible_by_account or {}
        spare = capacity
        for load in non_preemptible.values():
            spare -= load
        return cls(name, rack, capacity, {}, non_preemptible, spare)

    def available(self, account: str) -> shapes.Resources:
        """Return the resources that can still be guaranteed to an account.

        The account's own non-preemptible load counts towards its part.
        """
        load = self.non_preemptible_by_account.get(account)
        if load is None:
            return self.spare
        part = self.part_by_account.get(account, NOTHING)
        return self.spare + elementwise_max(load, part) - part

    def allocate(self, account: str, amount: shapes.Resources) -> None:
        """Add an amount to the part of an account."""
        load = self.non_preemptible_by_account.get(account, NOTHING)
        before = self.part_by_account.get(account, NOTHING)
        after = before + amount
        self.spare += elementwise_max(load, before) - elementwise_max(
            load, after
        )
        self.part_by_account[account] = after


@dataclasses.dataclass(frozen=True, slots=True)
class UnplacedShape:
    """A guaranteed shape that could not be placed.

    :param reason: text for operators.
    """

    account: str
    demand: shapes.Demand
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Packing:
    """Placement of the guarantees: the part of each account on workers.

    :param parts_by_worker: for each worker, the parts by account.
    :param workers_by_account: workers on which an account has a part.
    :param unplaced: guaranteed shapes that could not be placed.
    """

    parts_by_worker: dict[str, dict[str, shapes.Resources]]
    workers_by_account: dict[str, list[str]]
    unplaced: list[UnplacedShape]

    def part(self, worker: str, account: str) -> shapes.Resources:
        """Return the guaranteed part of an account on a worker."""
        return self.parts_by_worker.get(worker, {}).get(account, NOTHING)


@dataclasses.dataclass(frozen=True, slots=True)
class _AccountShape:
    """Guaranteed shape of one account, with the number of its copies."""

    account: str
    demand: shapes.Demand
    copies: int


def elementwise_max(
    first: shapes.Resources, second: shapes.Resources
) -> shapes.Resources:
    """Return the larger value of each amount."""
    return shapes.Resources(
        max(first.slots, second.slots),
        max(first.accelerators, second.accelerators),
        max(first.processors, second.processors),
        max(first.memory_mb, second.memory_mb),
    )


def check(
    config: configuration.Configuration,
) -> Result[None, exceptions.Error]:
    """Check that all guarantees together fit into the configured racks.

    :return: the error ``GUARANTEES_DO_NOT_PACK`` if they do not; its
        detail names the first account and shape that could not be placed
        and the resources left for it.
    """
    packing = pack(lambda: configured_bins(config), config)
    if not packing.unplaced:
        return Ok(None)
    first = packing.unplaced[0]
    return Err(
        exceptions.Error.from_kind(
            exceptions.ErrorKind.GUARANTEES_DO_NOT_PACK,
            f'account {first.account}: {first.reason}',
        )
    )


def configured_bins(config: configuration.Configuration) -> list[Bin]:
    """Return one empty bin for each worker of the configured racks."""
    return [
        Bin.from_capacity(f'{rack.name}/{index}', rack.name, rack.worker)
        for _, rack in sorted(config.racks_by_name.items())
        for index in range(rack.workers)
    ]


def pack(
    make_bins: t.Callable[[], list[Bin]],
    config: configuration.Configuration,
) -> Packing:
    """Place every copy of every guaranteed shape.

    The shapes are placed in several orders. The result is that of the
    first order that places all copies, or else of the order that leaves
    the fewest shapes unplaced.

    :param make_bins: returns new, equal bins for each attempt.
    """
    best: Packing | None = None
    account_shapes = _guaranteed_shapes(config)
    for order in _ORDERS:
        packing = _Packer(make_bins()).pack(sorted(account_shapes, key=order))
        if not packing.unplaced:
            return packing
        if best is None or len(packing.unplaced) < len(best.unplaced):
            best = packing
    return best


def _guaranteed_shapes(
    config: configuration.Configuration,
) -> list[_AccountShape]:
    return [
        _AccountShape(name, shape.demand, shape.copies)
        for name, account in sorted(config.accounts_by_name.items())
        for shape in account.guarantees
    ]


# The strictest adjacency comes first.
_ADJACENCY_ORDER = {
    shapes.Adjacency.WORKER: 0,
    shapes.Adjacency.RACK: 1,
    shapes.Adjacency.ANY: 2,
}


def _is_cpu_only(demand: shapes.Demand) -> bool:
    return demand.accelerators == 0


def _strictest_first(shape: _AccountShape) -> tuple[t.Any, ...]:
    demand = shape.demand
    return (
        _is_cpu_only(demand),
        _ADJACENCY_ORDER[demand.adjacency],
        -demand.accelerators,
        -demand.memory_mb,
        -demand.processors,
        shape.account,
    )


def _racks_first(shape: _AccountShape) -> tuple[t.Any, ...]:
    is_rack = shape.demand.adjacency is shapes.Adjacency.RACK
    return (_is_cpu_only(shape.demand), not is_rack, *_strictest_first(shape))


def _largest_first(shape: _AccountShape) -> tuple[t.Any, ...]:
    demand = shape.demand
    return (-demand.accelerators, *_strictest_first(shape))


def _most_memory_first(shape: _AccountShape) -> tuple[t.Any, ...]:
    demand = shape.demand
    return (-demand.memory_mb, *_strictest_first(shape))


# Orders in which ``pack`` places the shapes, tried one after the other.
_ORDERS = (_strictest_first, _racks_first, _largest_first, _most_memory_first)


class _Packer:
    """One attempt at packing, with its own set of bins."""

    def __init__(self, bins: list[Bin]) -> None:
        self._bins_by_name = {bin_.name: bin_ for bin_ in bins}
        self._bins_by_rack: dict[str, list[Bin]] = {}
        self._spare_accelerators_by_rack: dict[str, int] = (
            collections.Counter()
        )
        # By number of spare accelerators, then by name.
        self._bins_by_spare: dict[int, dict[str, Bin]] = {}
        self._loaded_bins_by_account: dict[str, list[Bin]] = {}
        self._unplaced: list[UnplacedShape] = []
        for bin_ in bins:
            self._bins_by_rack.setdefault(bin_.rack, []).append(bin_)
            self._index(bin_)
            for account in bin_.non_preemptible_by_account:
                self._loaded_bins_by_account.setdefault(account, []).append(
                    bin_
                )

    def pack(self, account_shapes: list[_AccountShape]) -> Packing:
        """Place the shapes in the given order.

        After a copy that does not fit, the other copies of its shape are
        skipped.
        """
        for shape in account_shapes:
            for _ in range(shape.copies):
                if not self._allocate_shape(shape.account, shape.demand):
                    self._add_unplaced(shape.account, shape.demand)
                    break
        return self._result()

    def _allocate_shape(self, account: str, demand: shapes.Demand) -> bool:
        if (
            demand.accelerators == 0
            or demand.adjacency is shapes.Adjacency.WORKER
        ):
            return self._allocate_on_worker(account, demand)
        if demand.adjacency is shapes.Adjacency.RACK:
            return self._allocate_in_rack(account, demand)
        return self._allocate_split(
            account, demand, self._bins_by_name.values()
        )

    def _allocate_on_worker(self, account: str, demand: shapes.Demand) -> bool:
        amount = demand.member(demand.accelerators)
        for bin_ in self._candidates(account, demand.accelerators):
            if amount.fits_in(bin_.available(account)):
                self._allocate(bin_, account, amount)
                return True
        return False

    def _candidates(self, account: str, accelerators: int) -> t.Iterator[Bin]:
        """Yield bins in the order in which to try them.

        Bins with non-preemptible load of the account come first, then
        those with the fewest spare accelerators. Of equal ones, those in
        the rack with the fewest spare accelerators come first, to leave
        whole racks to shapes that need them.
        """
        yield from self._loaded_bins_by_account.get(account, [])
        for count in sorted(self._bins_by_spare):
            if count >= accelerators:
                yield from sorted(
                    self._bins_by_spare[count].values(),
                    key=lambda bin_: (
                        self._spare_accelerators_by_rack[bin_.rack],
                        bin_.name,
                    ),
                )

    def _allocate_in_rack(self, account: str, demand: shapes.Demand) -> bool:
        """Allocate in the rack with the fewest spare accelerators that fits.

        Racks with load of the account are tried even with too few spare
        accelerators, since that load counts towards its part.
        """
        racks = sorted(
            self._bins_by_rack,
            key=lambda rack: (self._spare_accelerators_by_rack[rack], rack),
        )
        loaded_racks = {
            bin_.rack for bin_ in self._loaded_bins_by_account.get(account, [])
        }
        for rack in racks:
            has_too_few = (
                self._spare_accelerators_by_rack[rack] < demand.accelerators
            )
            if has_too_few and rack not in loaded_racks:
                continue
            if self._allocate_split(account, demand, self._bins_by_rack[rack]):
                return True
        return False

    def _allocate_split(
        self, account: str, demand: shapes.Demand, bins: t.Iterable[Bin]
    ) -> bool:
        candidates = [
            gangs.FreeCapacity(bin_.name, bin_.available(account))
            for bin_ in bins
        ]
        placements = gangs.split(demand, candidates)
        for placement in placements:
            amount = demand.member(placement.accelerators)
            bin_ = self._bins_by_name[placement.worker]
            self._allocate(bin_, account, amount)
        return bool(placements)

    def _allocate(
        self, bin_: Bin, account: str, amount: shapes.Resources
    ) -> None:
        before = bin_.spare.accelerators
        same_spare = self._bins_by_spare[before]
        same_spare.pop(bin_.name)
        if not same_spare:
            del self._bins_by_spare[before]
        self._spare_accelerators_by_rack[bin_.rack] -= before
        bin_.allocate(account, amount)
        self._index(bin_)

    def _index(self, bin_: Bin) -> None:
        accelerators = bin_.spare.accelerators
        self._bins_by_spare.setdefault(accelerators, {})[bin_.name] = bin_
        self._spare_accelerators_by_rack[bin_.rack] += accelerators

    def _add_unplaced(self, account: str, demand: shapes.Demand) -> None:
        reason = (
            f'cannot place {describe(demand)}; '
            f'{self._describe_available(demand)}'
        )
        self._unplaced.append(UnplacedShape(account, demand, reason))

    def _describe_available(self, demand: shapes.Demand) -> str:
        bins = self._bins_by_name.values()
        if demand.accelerators == 0:
            max_processors = max(
                (bin_.spare.processors for bin_ in bins), default=0
            )
            max_memory_mb = max(
                (bin_.spare.memory_mb for bin_ in bins), default=0
            )
            return (
                f'at most {max_processors} processors and {max_memory_mb} '
                f'MiB are left on one worker'
            )
        if demand.adjacency is shapes.Adjacency.WORKER:
            counts = [
                gangs.usable_accelerators(demand, bin_.spare) for bin_ in bins
            ]
            return (
                f'at most {max(counts, default=0)} usable accelerators are '
                f'left on one worker'
            )
        if demand.adjacency is shapes.Adjacency.RACK:
            counts = [
                sum(
                    gangs.usable_accelerators(demand, bin_.spare)
                    for bin_ in rack
                )
                for rack in self._bins_by_rack.values()
            ]
            return (
                f'at most {max(counts, default=0)} usable accelerators are '
                f'left in one rack'
            )
        total = sum(
            gangs.usable_accelerators(demand, bin_.spare) for bin_ in bins
        )
        return f'{total} usable accelerators are left in all racks'

    def _result(self) -> Packing:
        parts_by_worker = {}
        workers_by_account: dict[str, list[str]] = {}
        for bin_ in self._bins_by_name.values():
            if not bin_.part_by_account:
                continue
            parts_by_worker[bin_.name] = bin_.part_by_account
            for account in bin_.part_by_account:
                workers_by_account.setdefault(account, []).append(bin_.name)
        return Packing(parts_by_worker, workers_by_account, self._unplaced)


def describe(demand: shapes.Demand) -> str:
    """Return a demand as text for operators."""
    place = {
        shapes.Adjacency.WORKER: 'on one worker',
        shapes.Adjacency.RACK: 'in one rack',
        shapes.Adjacency.ANY: 'anywhere',
    }[demand.adjacency]
    return (
        f'{demand.accelerators} accelerators {place} with '
        f'{demand.processors} processors and {demand.memory_mb} MiB'
    )
