"""Shares of the client accounts, enforced on the fast path.

On the fast path a request reaches the agent without having been planned
by the owner of its account.
"""

import math

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration

from . import ledger as ledgers

#: Time for which a refused account limits the borrowing of others.
CONTENTION_WINDOW_MS = 2_000
#: Delay before a retry that refusals suggest to the caller.
RETRY_AFTER_MS = 500
#: Longest declared run time of work that is reclaimable without checkpoint.
SHORT_RUN_MS = 3_000


class Shares:
    """Decides whether an account may use more resources of this worker.

    An account's entitlement on this worker is the sum of two parts: its
    guarantees, scaled from the configured fleet to this worker, and its
    weighted part of the resources outside all guarantees. Beyond its
    entitlement an account borrows:

    - reclaimable work may borrow any free resources, unless an account
      below its entitlement was refused within ``CONTENTION_WINDOW_MS``;
    - other work may borrow only resources that no guarantee needs.

    Work is reclaimable if it is idempotent and either can be checkpointed
    or runs for at most ``SHORT_RUN_MS``.
    """

    __slots__ = (
        '_capacity',
        '_configuration',
        '_entitlements_by_account',
        '_guaranteed_by_account',
        '_refused_ms_by_account',
    )

    def __init__(self) -> None:
        self._capacity = shapes.Resources()
        self._configuration = configuration.Configuration.empty()
        self._entitlements_by_account: dict[str, shapes.Resources] = {}
        self._guaranteed_by_account: dict[str, shapes.Resources] = {}
        self._refused_ms_by_account: dict[str, int] = {}

    def configure(
        self, new_configuration: configuration.Configuration
    ) -> None:
        """Apply a newer configuration; past refusals are forgotten."""
        self._configuration = new_configuration
        self._compute_entitlements()
        self._refused_ms_by_account.clear()

    def record_refusal(self, account: str, now_ms: int) -> None:
        """Record that an account was refused for lack of free capacity."""
        if account in self._configuration.accounts_by_name:
            self._refused_ms_by_account[account] = now_ms

    def check(
        self,
        work: messages.Work,
        resources: shapes.Resources,
        ledger: ledgers.Ledger,
        now_ms: int,
    ) -> exceptions.Error | None:
        """Return an error if the account may not take the resources.

        :param resources: resources in addition to the account's usage.
        """
        if not self._configuration.accounts_by_name:
            return None
        account = work.account
        usage_after = ledger.usage(account) + resources
        entitlement = self.entitlement(account, ledger.capacity)
        if usage_after.fits_in(entitlement):
            return None
        if not _is_reclaimable(work):
            remaining = ledger.free - resources
            if self._unused_guarantees(account, ledger).fits_in(remaining):
                return None
            return _over_share_error(
                account,
                'free resources are needed for guarantees of other accounts',
            )
        contender = self._find_contender(account, ledger, now_ms)
        if contender is None:
            return None
        return _over_share_error(
            account, f'{contender} is below its share and was refused'
        )

    def guaranteed(
        self, account: str, capacity: shapes.Resources
    ) -> shapes.Resources:
        """Return an account's guarantees, scaled to this worker.

        :param capacity: total resources of the worker.
        :return: amounts, rounded up.
        """
        self._update_capacity(capacity)
        return self._guaranteed_by_account.get(account, shapes.Resources())

    def entitlement(
        self, account: str, capacity: shapes.Resources
    ) -> shapes.Resources:
        """Return the resources that an account may use without borrowing.

        :param capacity: total resources of the worker.
        """
        self._update_capacity(capacity)
        return self._entitlements_by_account.get(account, shapes.Resources())

    def _update_capacity(self, capacity: shapes.Resources) -> None:
        if capacity != self._capacity:
            self._capacity = capacity
            self._compute_entitlements()

    def _compute_entitlements(self) -> None:
        """Compute guarantees and entitlements of all accounts."""
        accounts_by_name = self._configuration.accounts_by_name
        fleet_capacity = _fleet_capacity(self._configuration)
        self._guaranteed_by_account = {
            name: _scaled_resources(
                _guaranteed_resources(account), self._capacity, fleet_capacity
            )
            for name, account in accounts_by_name.items()
        }
        taken = sum(self._guaranteed_by_account.values(), shapes.Resources())
        remaining = self._capacity - taken
        total_weight = (
            sum(account.weight for account in accounts_by_name.values()) or 1
        )
        self._entitlements_by_account = {
            name: self._guaranteed_by_account[name]
            + _weighted_part(remaining, account.weight, total_weight)
            for name, account in accounts_by_name.items()
        }

    def _unused_guarantees(
        self, account: str, ledger: ledgers.Ledger
    ) -> shapes.Resources:
        """Return the sum of the unused guarantees of other accounts."""
        unused = shapes.Resources()
        for name in self._configuration.accounts_by_name:
            if name == account:
                continue
            guaranteed = self.guaranteed(name, ledger.capacity)
            unused += _without_negatives(guaranteed - ledger.usage(name))
        return unused

    def _find_contender(
        self, account: str, ledger: ledgers.Ledger, now_ms: int
    ) -> str | None:
        """Find a recently refused account below its entitlement of slots."""
        for name, refused_ms in self._refused_ms_by_account.items():
            if name == account or now_ms - refused_ms >= CONTENTION_WINDOW_MS:
                continue
            entitlement = self.entitlement(name, ledger.capacity)
            if ledger.usage(name).slots < entitlement.slots:
                return name
        return None


def _is_reclaimable(work: messages.Work) -> bool:
    is_short = work.declared_run_ms <= SHORT_RUN_MS
    return work.is_idempotent and (work.is_checkpointable or is_short)


def _fleet_capacity(config: configuration.Configuration) -> shapes.Resources:
    total = shapes.Resources()
    for rack in config.racks_by_name.values():
        total += _multiplied(rack.worker, rack.workers)
    return total


def _guaranteed_resources(
    account: configuration.ClientAccount,
) -> shapes.Resources:
    total = shapes.Resources()
    for shape in account.guarantees:
        per_copy = shape.demand.member(shape.demand.accelerators)
        total += _multiplied(per_copy, shape.copies)
    return total


def _multiplied(amounts: shapes.Resources, factor: int) -> shapes.Resources:
    return shapes.Resources(
        amounts.slots * factor,
        amounts.accelerators * factor,
        amounts.processors * factor,
        amounts.memory_mb * factor,
    )


def _without_negatives(amounts: shapes.Resources) -> shapes.Resources:
    return shapes.Resources(
        max(0, amounts.slots),
        max(0, amounts.accelerators),
        max(0, amounts.processors),
        max(0, amounts.memory_mb),
    )


def _scaled_resources(
    amounts: shapes.Resources,
    capacity: shapes.Resources,
    fleet_capacity: shapes.Resources,
) -> shapes.Resources:
    return shapes.Resources(
        _scaled_amount(amounts.slots, capacity.slots, fleet_capacity.slots),
        _scaled_amount(
            amounts.accelerators,
            capacity.accelerators,
            fleet_capacity.accelerators,
        ),
        _scaled_amount(
            amounts.processors, capacity.processors, fleet_capacity.processors
        ),
        _scaled_amount(
            amounts.memory_mb, capacity.memory_mb, fleet_capacity.memory_mb
        ),
    )


def _scaled_amount(amount: int, capacity: int, fleet_capacity: int) -> int:
    if fleet_capacity <= 0:
        return 0
    return math.ceil(amount * capacity / fleet_capacity)


def _weighted_part(
    amounts: shapes.Resources, weight: int, total_weight: int
) -> shapes.Resources:
    return shapes.Resources(
        max(0, amounts.slots) * weight // total_weight,
        max(0, amounts.accelerators) * weight // total_weight,
        max(0, amounts.processors) * weight // total_weight,
        max(0, amounts.memory_mb) * weight // total_weight,
    )


def _over_share_error(account: str, detail: str) -> exceptions.Error:
    return exceptions.Error.from_kind(
        exceptions.ErrorKind.OVER_SHARE,
        f'{account} is over its share: {detail}',
        retry_after_ms=RETRY_AFTER_MS,
    )
