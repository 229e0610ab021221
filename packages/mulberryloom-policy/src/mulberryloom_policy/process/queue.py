"""Queue of one client account, by request class and arrival with aging.

Jobs with equal requirements are grouped: if the search for a placement
fails for the first job of a group, the head, it is not repeated for the
others. The work of a job is its share of the fleet times its run time, in ms.
"""

import bisect
import dataclasses
import heapq
import typing as t

from mulberryloom_core import shapes

from .. import decisions
from ..options import PolicyOptions

# Key by which jobs are sorted, as returned by ``order_key``; the last item is
# the id of the request.
OrderKey = tuple[int, int, int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Requirements that are equal for all jobs of a group.

    :param run_bits: bit length of the declared run time in ms, so that
        run times are equal within a factor of two.
    :param avoided: workers on which the job has failed.
    """

    service: str
    method: str
    request_class: shapes.RequestClass
    demand: shapes.Demand
    is_idempotent: bool
    is_checkpointable: bool
    run_bits: int
    avoided: frozenset[str]

    @classmethod
    def from_job(
        cls, job: decisions.Job, avoided: frozenset[str]
    ) -> 'GroupKey':
        """Return the group of a job."""
        return cls(
            job.service,
            job.method,
            job.request_class,
            job.demand,
            job.is_idempotent,
            job.is_checkpointable,
            job.declared_run_ms.bit_length(),
            avoided,
        )


def order_key(job: decisions.Job, options: PolicyOptions) -> OrderKey:
    """Return the key by which an account's jobs are sorted.

    Urgent jobs always come first. The others are ordered by arrival time
    plus the aging time of their class, so that none starves.
    """
    if job.request_class is shapes.RequestClass.URGENT:
        return (0, job.submitted_ms, 0, job.request_id)
    aging_ms = options.batch_aging_ms
    if job.request_class is shapes.RequestClass.INTERACTIVE:
        aging_ms = options.interactive_aging_ms
    virtual_ms = job.submitted_ms + aging_ms
    return (1, virtual_ms, int(job.request_class), job.request_id)


@dataclasses.dataclass(slots=True)
class _Entry:
    """A waiting job with its group and its work in ms."""

    job: decisions.Job
    group: GroupKey
    work: float


class AccountQueue:
    """Waiting jobs of one account, in groups ordered by ``order_key``."""

    __slots__ = (
        '_entries_by_id',
        '_keys_by_group',
        '_options',
        '_work_by_class',
    )

    def __init__(self, options: PolicyOptions) -> None:
        self._keys_by_group: dict[GroupKey, list[OrderKey]] = {}
        self._entries_by_id: dict[str, _Entry] = {}
        self._options = options
        self._work_by_class: dict[shapes.RequestClass, float] = {}

    def __len__(self) -> int:
        return len(self._entries_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries_by_id

    def add(
        self, job: decisions.Job, work: float, avoided: frozenset[str]
    ) -> None:
        """Insert a job by its order key.

        :param work: share of the fleet times run time, in ms.
        :param avoided: workers on which it has failed.
        """
        group = GroupKey.from_job(job, avoided)
        self._entries_by_id[job.request_id] = _Entry(job, group, work)
        keys = self._keys_by_group.setdefault(group, [])
        bisect.insort(keys, order_key(job, self._options))
        before = self._work_by_class.get(job.request_class, 0.0)
        self._work_by_class[job.request_class] = before + work

    def remove(self, request_id: str) -> None:
        """Remove a job, if it is queued."""
        entry = self._entries_by_id.pop(request_id, None)
        if entry is None:
            return
        keys = self._keys_by_group[entry.group]
        key = order_key(entry.job, self._options)
        del keys[bisect.bisect_left(keys, key)]
        if not keys:
            del self._keys_by_group[entry.group]
        self._work_by_class[entry.job.request_class] -= entry.work

    def work_ahead(self, request_class: shapes.RequestClass) -> float:
        """Return the queued work of a class and more urgent ones, in ms."""
        return sum(
            work
            for queued_class, work in self._work_by_class.items()
            if queued_class <= request_class
        )

    def group(self, request_id: str) -> GroupKey:
        """Return the group of a waiting job."""
        return self._entries_by_id[request_id].group

    def groups(self) -> t.KeysView[GroupKey]:
        """Return the groups of all waiting jobs."""
        return self._keys_by_group.keys()

    def head(self, group: GroupKey) -> decisions.Job | None:
        """Return the first job of a group, if the group has jobs."""
        keys = self._keys_by_group.get(group)
        if not keys:
            return None
        return self._entries_by_id[keys[0][-1]].job

    def jobs(self) -> list[decisions.Job]:
        """Return the waiting jobs in the order of their keys."""
        keys = heapq.merge(*self._keys_by_group.values())
        return [self._entries_by_id[key[-1]].job for key in keys]

    def heads(self) -> list[tuple[decisions.Job, GroupKey]]:
        """Return the first job of each group, with the group."""
        return [
            (self._entries_by_id[keys[0][-1]].job, group)
            for group, keys in self._keys_by_group.items()
        ]

    def oldest_ms(self) -> int | None:
        """Return when the oldest waiting job was submitted, if any waits."""
        return min(
            (
                self._entries_by_id[keys[0][-1]].job.submitted_ms
                for keys in self._keys_by_group.values()
            ),
            default=None,
        )
