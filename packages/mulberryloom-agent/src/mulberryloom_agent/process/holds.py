"""Holds on resources that were freed by preemption for a client account.

The entries that own other accounts plan with worker states that may be
seconds old. The agent withholds freed resources from those accounts until the
reclaiming account has had time to place its job. The hold calls of ``jobs/``
are another matter: they renew the lease of a worker.
"""

import dataclasses

from mulberryloom_core import shapes

from . import ledger

#: Time that the reclaiming account has to place its job.
HOLD_MS = 5_000


@dataclasses.dataclass(slots=True)
class _Hold:
    account: str
    resources: shapes.Resources
    until_ms: int


class Holds:
    """Holds on freed resources, each for one account."""

    __slots__ = ('_accounts_by_key', '_holds')

    def __init__(self) -> None:
        self._accounts_by_key: dict[ledger.TaskKey, str] = {}
        self._holds: list[_Hold] = []

    def register_preemption(self, key: ledger.TaskKey, account: str) -> None:
        """Record the account for which a task is being preempted."""
        self._accounts_by_key[key] = account

    def hold_freed(
        self, key: ledger.TaskKey, resources: shapes.Resources, now_ms: int
    ) -> None:
        """Hold the freed resources of a task, if it was preempted."""
        account = self._accounts_by_key.pop(key, None)
        if account is not None:
            self._holds.append(_Hold(account, resources, now_ms + HOLD_MS))

    def held_for_others(self, account: str, now_ms: int) -> shapes.Resources:
        """Return the sum of the unexpired holds of other accounts."""
        self._holds = [hold for hold in self._holds if now_ms < hold.until_ms]
        held_resources = [
            hold.resources for hold in self._holds if hold.account != account
        ]
        return sum(held_resources, shapes.Resources())

    def end_holds(self, account: str) -> None:
        """Release the holds of an account that has placed its job."""
        self._holds = [hold for hold in self._holds if hold.account != account]
