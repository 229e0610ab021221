"""State on which a planner bases its decisions."""

import dataclasses

from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration as configurations

from .. import decisions
from . import estimates as estimate_module
from . import fleet as fleets
from . import headroom as headrooms
from . import health as healths
from ..options import PolicyOptions
from . import pending_placements as pending_module
from . import records as record_module
from ..request import fragmentation
from . import reservation as reservations
from ..version import packing as packings

# Minimum age at which a provisional packing is renewed.
REPACK_INTERVAL_MS = 30_000


@dataclasses.dataclass(slots=True)
class Environment:
    """State of one planner, read and updated by its decisions.

    :param owned: accounts that this planner plans for.
    :param shape_mix: recently requested shapes, to measure fragmentation.
    :param pending_placements: placements that wait for preempted work to stop.
    :param pressures_by_account: queue states last reported by the owners of
        other accounts.
    :param reservation: for the oldest gang that does not fit now;
        ``None`` where all gangs fit.
    :param packing: parts of the workers that are guaranteed to accounts.
    """

    options: PolicyOptions
    configuration: configurations.Configuration
    records: record_module.Records
    owned: set[str] = dataclasses.field(default_factory=set)
    fleet: fleets.Fleet = dataclasses.field(default_factory=fleets.Fleet)
    estimates: estimate_module.Estimates = dataclasses.field(
        default_factory=estimate_module.Estimates
    )
    health: healths.Health = dataclasses.field(default_factory=healths.Health)
    headroom: headrooms.Headroom = dataclasses.field(
        default_factory=headrooms.Headroom
    )
    shape_mix: fragmentation.ShapeMix = dataclasses.field(
        default_factory=fragmentation.ShapeMix
    )
    pending_placements: pending_module.PendingPlacements = dataclasses.field(
        default_factory=pending_module.PendingPlacements
    )
    pressures_by_account: dict[str, messages.AccountPressure] = (
        dataclasses.field(default_factory=dict)
    )
    reservation: reservations.Reservation | None = None
    packing: packings.Packing = dataclasses.field(
        default_factory=lambda: packings.Packing({}, {}, [])
    )
    # Versions of the configuration and of the fleet's topology.
    _packed_versions: tuple[int, int] | None = None
    _is_packing_provisional: bool = False
    _packed_ms: int = 0

    @classmethod
    def from_configuration(
        cls,
        configuration: configurations.Configuration,
        options: PolicyOptions,
    ) -> 'Environment':
        """Build the state of a planner that owns no account yet."""
        return cls(options, configuration, record_module.Records(options))

    def run_ms(self, job: decisions.Job) -> int:
        """Return the estimated run time of a job.

        It is the declared one, corrected by past runs.
        """
        key = (job.service, job.method, job.account)
        return self.estimates.run_ms(key, job.declared_run_ms)

    def end_ms(self, hold: fleets.Hold, now_ms: int) -> int:
        """Return when a hold is expected to end.

        Work that has run for longer than estimated is expected to run
        for another quarter of its age.
        """
        key = (hold.service, hold.method, hold.account)
        run_ms = self.estimates.run_ms(key, hold.declared_run_ms)
        overdue_ms = (now_ms - hold.since_ms) // 4
        return max(hold.since_ms + run_ms, now_ms + overdue_ms)

    def weight(self, account: str) -> int:
        """Return the weight of an account."""
        client_account = self.configuration.accounts_by_name.get(account)
        return client_account.weight if client_account is not None else 1

    def is_guaranteed_shape(self, job: decisions.Job) -> bool:
        """Tell whether a guaranteed shape of its account is as large as a job.

        Only the accelerators are compared.
        """
        client_account = self.configuration.accounts_by_name.get(job.account)
        if client_account is None:
            return False
        return any(
            shape.demand.accelerators >= job.demand.accelerators
            for shape in client_account.guarantees
        )

    def other_accounts_below_guarantee(self, account: str) -> list[str]:
        """Return accounts of other owners that are below their guarantee.

        :param account: excluded from the result.
        """
        return [
            name
            for name, pressure in self.pressures_by_account.items()
            if pressure.is_below_guarantee
            and name not in self.owned
            and name != account
        ]

    def ensure_packing(self, now_ms: int) -> None:
        """Repack the guarantees if the fleet or the configuration changed.

        A provisional packing, which depends on running work, is also renewed
        every 30 s.
        """
        versions = (self.configuration.version, self.fleet.topology_version)
        is_due = now_ms - self._packed_ms >= REPACK_INTERVAL_MS
        is_retry = self._is_packing_provisional and is_due
        if self._packed_versions == versions and not is_retry:
            return
        self._packed_versions = versions
        self._packed_ms = now_ms
        self.packing = self._pack()

    def _pack(self) -> packings.Packing:
        """Return the packing that is independent of running work, if usable.

        All planners compute the same one. Where non-preemptible work
        occupies parts of it, a provisional packing that takes this work
        into account is used, unless it places fewer guarantees.
        """
        default = packings.pack(self._empty_bins, self.configuration)
        self._is_packing_provisional = not self._fits_running_work(default)
        if not self._is_packing_provisional:
            return default
        adapted = packings.pack(self._loaded_bins, self.configuration)
        if len(adapted.unplaced) > len(default.unplaced):
            return default
        return adapted

    def _fits_running_work(self, packing: packings.Packing) -> bool:
        """Tell whether non-preemptible work leaves room for a packing."""
        for worker in self.fleet.workers_by_name.values():
            if not worker.non_preemptible_by_account or not worker.is_open:
                continue
            parts = packing.parts_by_worker.get(worker.name, {})
            if not committed(worker, parts).fits_in(worker.capacity):
                return False
        return True

    def _empty_bins(self) -> list[packings.Bin]:
        return [
            packings.Bin.from_capacity(
                worker.name, worker.rack, worker.capacity
            )
            for worker in self._sorted_open_workers()
        ]

    def _loaded_bins(self) -> list[packings.Bin]:
        return [
            packings.Bin.from_capacity(
                worker.name,
                worker.rack,
                worker.capacity,
                dict(worker.non_preemptible_by_account),
            )
            for worker in self._sorted_open_workers()
        ]

    def _sorted_open_workers(self) -> list[fleets.Worker]:
        workers = [
            worker
            for worker in self.fleet.workers_by_name.values()
            if worker.is_open
        ]
        workers.sort(key=lambda worker: (worker.rack, worker.name))
        return workers


def committed(
    worker: fleets.Worker, parts: dict[str, shapes.Resources]
) -> shapes.Resources:
    """Return the guaranteed parts plus the non-preemptible work of a worker.

    The work counts against the part of its own account first.
    """
    total = fleets.NOTHING
    held_by_account = worker.non_preemptible_by_account
    for account, part in parts.items():
        held = held_by_account.get(account)
        total += part if held is None else packings.elementwise_max(part, held)
    for account, held in held_by_account.items():
        if account not in parts:
            total += held
    return total
