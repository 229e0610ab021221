"""Fragmentation: free accelerators that recent requests could not use."""

import typing as t

from mulberryloom_core import shapes

#: Time in which the weight of a requested shape halves.
HALF_LIFE_MS = 1_800_000

#: Least interval between two updates of the shares.
REFRESH_INTERVAL_MS = 10_000

#: Number of accelerators, and how close they must be to each other.
Shape = tuple[int, shapes.Adjacency]


class ShapeMix:
    """Shapes of recent requests, weighted by accelerators times run time.

    A shape of ``n`` accelerators on one worker can't use ``free % n`` of
    the free accelerators of a worker, and a shape of ``n`` accelerators in
    one rack can't use ``free % n`` of those of a rack. All other shapes
    can use any free accelerator. The waste is the weighted mean of
    these numbers over all recent shapes.
    """

    __slots__ = (
        '_last_refresh_ms',
        '_pending_by_shape',
        '_rack_share_by_size',
        '_rack_waste_by_free',
        '_weight_by_shape',
        '_worker_share_by_size',
        '_worker_waste_by_free',
    )

    def __init__(self) -> None:
        self._pending_by_shape: dict[Shape, float] = {}
        self._last_refresh_ms: int | None = None
        self._weight_by_shape: dict[Shape, float] = {}
        self._update_shares()

    def add(self, demand: shapes.Demand, run_ms: int, now_ms: int) -> None:
        """Add the shape of a new request.

        :param run_ms: expected run time; if it is ``1`` for all requests,
            shapes are weighted by their accelerators alone.
        """
        if demand.accelerators == 0:
            return
        shape = (demand.accelerators, demand.adjacency)
        before = self._pending_by_shape.get(shape, 0.0)
        weight = float(demand.accelerators * run_ms)
        self._pending_by_shape[shape] = before + weight
        if self._last_refresh_ms is None:
            self._last_refresh_ms = now_ms
            self._refresh(now_ms)
        elif now_ms - self._last_refresh_ms >= REFRESH_INTERVAL_MS:
            self._refresh(now_ms)

    def worker_waste(self, free: int) -> float:
        """Return the waste of shapes on one worker, in accelerators.

        :param free: free accelerators of the worker.
        """
        return _waste(
            free, self._worker_share_by_size, self._worker_waste_by_free
        )

    def rack_waste(self, free: int) -> float:
        """Return the waste of shapes in one rack, in accelerators.

        :param free: free accelerators of the rack.
        """
        return _waste(free, self._rack_share_by_size, self._rack_waste_by_free)

    def unusable_share(self, free_by_rack: t.Iterable[list[int]]) -> float:
        """Return the share of free accelerators that is wasted.

        :param free_by_rack: for each rack, the free accelerators of each
            of its workers.
        :return: a number between 0 and 1.
        """
        total = 0
        wasted = 0.0
        for free in free_by_rack:
            total += sum(free)
            wasted += sum(self.worker_waste(count) for count in free)
            wasted += self.rack_waste(sum(free))
        return wasted / total if total else 0.0

    def _refresh(self, now_ms: int) -> None:
        decay = 0.5 ** ((now_ms - self._last_refresh_ms) / HALF_LIFE_MS)
        self._last_refresh_ms = now_ms
        for shape in self._weight_by_shape:
            self._weight_by_shape[shape] *= decay
        for shape, weight in self._pending_by_shape.items():
            before = self._weight_by_shape.get(shape, 0.0)
            self._weight_by_shape[shape] = before + weight
        self._pending_by_shape.clear()
        self._update_shares()

    def _update_shares(self) -> None:
        total = sum(self._weight_by_shape.values())
        self._worker_share_by_size = self._shares(
            shapes.Adjacency.WORKER, total
        )
        self._rack_share_by_size = self._shares(shapes.Adjacency.RACK, total)
        self._worker_waste_by_free: dict[int, float] = {}
        self._rack_waste_by_free: dict[int, float] = {}

    def _shares(
        self, adjacency: shapes.Adjacency, total: float
    ) -> dict[int, float]:
        """Return the share of each size among all shapes, by adjacency.

        Single accelerators are left out, since they waste none.
        """
        return {
            size: weight / total
            for (
                size,
                shape_adjacency,
            ), weight in self._weight_by_shape.items()
            if shape_adjacency is adjacency and size > 1
        }


def _waste(
    free: int, share_by_size: dict[int, float], waste_by_free: dict[int, float]
) -> float:
    """Return the waste of a number of free accelerators.

    :param waste_by_free: cache of the results.
    """
    if free <= 0:
        return 0.0
    waste = waste_by_free.get(free)
    if waste is None:
        waste = sum(
            share * (free % size) for size, share in share_by_size.items()
        )
        waste_by_free[free] = waste
    return waste
