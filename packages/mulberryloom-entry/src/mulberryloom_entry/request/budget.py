"""Retry budgets, one per client account.

They are unrelated to the error budgets of ``process.burn``.
"""

import typing as t

if t.TYPE_CHECKING:
    from mulberryloom_core.version import configuration

MAX_SAVED_RETRIES = 100
INITIAL_RETRIES = 10
_PERCENT = 100


class RetryBudget:
    """Limits retries to a percentage of the accepted requests.

    The balance is counted in hundredths of a retry, so that no rounding
    error accumulates. It starts at ``INITIAL_RETRIES`` and is capped at
    ``MAX_SAVED_RETRIES``.

    :param percent: retries earned per hundred requests; a budget that is
        created with ``0`` starts without retries.
    """

    __slots__ = ('_balance_hundredths', 'percent')

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self._balance_hundredths = INITIAL_RETRIES * _PERCENT if percent else 0

    @property
    def available_retries(self) -> int:
        """Whole retries that may still be spent."""
        return self._balance_hundredths // _PERCENT

    def earn(self) -> None:
        """Add the share of a retry that one accepted request earns."""
        limit = MAX_SAVED_RETRIES * _PERCENT
        self._balance_hundredths = min(
            limit, self._balance_hundredths + self.percent
        )

    def try_spend(self) -> bool:
        """Spend one retry.

        :return: false when the balance is below one retry.
        """
        if self._balance_hundredths < _PERCENT:
            return False
        self._balance_hundredths -= _PERCENT
        return True


class RetryBudgets:
    """Retry budgets of all client accounts, by account name."""

    __slots__ = ('_budgets_by_account', '_percent_by_account')

    def __init__(self) -> None:
        self._budgets_by_account: dict[str, RetryBudget] = {}
        self._percent_by_account: dict[str, int] = {}

    def configure(self, current: 'configuration.Configuration') -> None:
        """Apply the retry percentages of a new configuration.

        The budget of an account that it does not contain earns nothing.
        """
        self._percent_by_account = {
            account.name: account.retry_percent
            for account in current.accounts_by_name.values()
        }
        for name, budget in self._budgets_by_account.items():
            budget.percent = self._percent_by_account.get(name, 0)

    def of(self, account: str) -> RetryBudget:
        """Return the budget of an account, created on first use."""
        budget = self._budgets_by_account.get(account)
        if budget is None:
            budget = RetryBudget(self._percent_by_account.get(account, 0))
            self._budgets_by_account[account] = budget
        return budget
