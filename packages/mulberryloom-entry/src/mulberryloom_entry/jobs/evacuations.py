"""Evacuated data centres, as the leader knows them.

The authoritative state is one key in the store for each evacuated data
centre, named by a prefix and the data centre. The leader learns of the keys
from lists, and from the conflicts of writes that have their absence as a
condition.
"""

import dataclasses
import typing as t

from mulberryloom_core.process import process_metrics
from mulberryloom_core import store
from mulberryloom_policy.jobs import WorkerCapacity
import structlog

#: Reason for which runs are discarded or stopped; the first word is the
#: label of the metric.
REASON = 'data centre evacuated'

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Data centres whose evacuation has begun or ended.

    :param is_stale: whether the reply was older than what is known, and was
        ignored.
    :param begun_by_name: revisions of the keys of new evacuations.
    :param ended_by_name: revisions at which their keys were found absent.
    """

    begun_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    ended_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    is_stale: bool = False


class Evacuations:
    """The set of evacuated data centres and its revision in the store.

    A list never undoes what was read at a higher revision, so that a stale
    reply cannot end an evacuation.

    :param prefix: prefix of the keys; if it is empty, evacuations are not
        followed.
    :param least_revision: revision that the store is known to have reached;
        lists from lower ones are stale.
    """

    def __init__(self, prefix: str, least_revision: int = 0) -> None:
        self._prefix = prefix
        self._least_revision = least_revision
        #: Revision of the last list; ``None`` before the first.
        self._listed_revision: int | None = None
        #: Revisions of the keys.
        self._revision_by_name: dict[str, int] = {}
        self._names: frozenset[str] = frozenset()
        self._unknown_names: set[str] = set()
        #: Accelerators of the last reported shortage: those of the open
        #: workers and those guaranteed.
        self._shortage: tuple[int, int] | None = None

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self._names

    @property
    def is_ready(self) -> bool:
        """Whether the set has been read, if it is followed."""
        return not self._prefix or self._listed_revision is not None

    def apply_list(
        self, entries: list[store.Entry], revision: int
    ) -> EvacuationChange:
        """Process a list of all keys.

        :param revision: revision of the store at the time of the read.
        """
        if revision < max(self._least_revision, self._listed_revision or 0):
            _log.warning(
                'stale list of evacuations ignored',
                revision=revision,
                known_revision=self._listed_revision,
            )
            return EvacuationChange(is_stale=True)
        self._listed_revision = revision
        found = self._revisions_of(entries)
        for name, key_revision in self._revision_by_name.items():
            if key_revision > revision:
                # A conflict has shown the key, which was written after the
                # list was read.
                found[name] = key_revision
        begun = {
            name: key_revision
            for name, key_revision in found.items()
            if name not in self._revision_by_name
        }
        ended = {
            name: revision
            for name in self._revision_by_name
            if name not in found
        }
        self._replace(found)
        return EvacuationChange(begun, ended)

    def apply_conflict(self, entries: list[store.Entry]) -> EvacuationChange:
        """Process keys whose presence has rejected a write.

        A key that a list from the same or a higher revision did not show
        has been removed since the write was rejected.
        """
        found = dict(self._revision_by_name)
        begun = {}
        for name, key_revision in self._revisions_of(entries).items():
            if name in found:
                found[name] = max(found[name], key_revision)
            elif key_revision > (self._listed_revision or 0):
                found[name] = begun[name] = key_revision
        self._replace(found)
        return EvacuationChange(begun)

    def _revisions_of(self, entries: list[store.Entry]) -> dict[str, int]:
        """Return the key revisions by data centre; values do not matter."""
        revision_by_name = {
            entry.key.removeprefix(self._prefix): entry.revision
            for entry in entries
        }
        revision_by_name.pop('', None)
        return revision_by_name

    def _replace(self, revision_by_name: dict[str, int]) -> None:
        self._revision_by_name = revision_by_name
        self._names = frozenset(revision_by_name)
        self._unknown_names &= self._names

    def check_fleet(
        self, workers: t.Iterable[WorkerCapacity], guaranteed: int
    ) -> None:
        """Log names without workers, and a shortage of accelerators.

        Each is logged again only after it has changed.

        :param guaranteed: sum of the guaranteed accelerators of all
            accounts.
        """
        if not self._names and self._shortage is None:
            return
        known_names = set()
        accelerators = 0
        for worker in workers:
            known_names.add(worker.data_centre)
            if worker.data_centre not in self._names:
                accelerators += worker.accelerators
        for name in sorted(self._names - known_names - self._unknown_names):
            self._unknown_names.add(name)
            _log.warning('evacuated data centre unknown', data_centre=name)
        shortage = None
        if self._names and accelerators < guaranteed:
            shortage = accelerators, guaranteed
        if shortage != self._shortage:
            self._shortage = shortage
            _log.warning(
                'guaranteed accelerators while data centres are evacuated',
                accelerators=accelerators,
                guaranteed=guaranteed,
                is_sufficient=shortage is None,
            )

    def update_gauge(self, metrics: process_metrics.ProcessMetrics) -> None:
        """Update the number of evacuated data centres, if it is followed."""
        if self._prefix:
            metrics.set_gauge('evacuated_data_centres', len(self._names))
