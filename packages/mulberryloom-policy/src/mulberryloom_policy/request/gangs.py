"""Distribution of the members of a gang over workers."""

import dataclasses
import typing as t

from mulberryloom_core import shapes

from .. import decisions


@dataclasses.dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Resources that one job may take on one worker.

    :param worker: name of the worker.
    :param free: amounts that the job may take; they may be negative.
    """

    worker: str
    free: shapes.Resources


def usable_accelerators(demand: shapes.Demand, free: shapes.Resources) -> int:
    """Return how many accelerators one member could take on a worker.

    The number is limited by the member's shares of processors and memory.

    :param free: resources that the job may take on the worker; amounts
        may be negative.
    """
    if free.slots < 1 or free.accelerators < 1:
        return 0
    total = demand.accelerators
    count = min(total, free.accelerators)
    if demand.processors:
        count = min(count, free.processors * total // demand.processors)
    if demand.memory_mb:
        count = min(count, free.memory_mb * total // demand.memory_mb)
    return max(count, 0)


def split(
    demand: shapes.Demand, candidates: t.Iterable[FreeCapacity]
) -> list[decisions.Placement]:
    """Place all members of a gang on as few workers as possible.

    The last member goes to the worker on which it leaves the fewest
    accelerators unused.

    :return: an empty list if not all members fit.
    """
    counts = [
        (usable_accelerators(demand, candidate.free), candidate.worker)
        for candidate in candidates
    ]
    remaining = demand.accelerators
    if sum(count for count, _ in counts) < remaining:
        return []
    counts.sort(key=lambda pair: -pair[0])
    placements: list[decisions.Placement] = []
    for index, (count, worker) in enumerate(counts):
        if count >= remaining:
            worker = _tightest_fit(counts[index:], remaining)
            placements.append(decisions.Placement(worker, remaining))
            return placements
        placements.append(decisions.Placement(worker, count))
        remaining -= count
    return []


def _tightest_fit(counts: list[tuple[int, str]], remaining: int) -> str:
    """Return the worker with the fewest accelerators that are sufficient.

    :param counts: usable accelerators and name of workers, most first; those
        of the first worker are sufficient.
    """
    worker = counts[0][1]
    for count, candidate in counts:
        if count < remaining:
            break
        worker = candidate
    return worker
