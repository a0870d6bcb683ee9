"""
Retries
~~~~~~~

Retry budgets. Each request deposits a fraction of a retry, so retries stay a
bounded share of the traffic while targets fail.
"""

import collections

from bergamotstream import settings

PERCENT_PER_RETRY = 100


class Budget:
    """Bounded balance; one retry costs :data:`PERCENT_PER_RETRY`."""

    def __init__(self, limits: settings.Limits) -> None:
        """Start with the full burst."""
        self._deposit_percent = limits.retry_percent
        self._maximum = limits.retry_burst * PERCENT_PER_RETRY
        self.balance = self._maximum

    def deposit(self) -> None:
        """Deposit the share of one request."""
        self.balance = min(self.balance + self._deposit_percent, self._maximum)

    @property
    def can_withdraw(self) -> bool:
        """Return whether the balance covers a retry."""
        return self.balance >= PERCENT_PER_RETRY

    def withdraw(self) -> None:
        """Withdraw the cost of one retry."""
        self.balance -= PERCENT_PER_RETRY


class RetryBudgets:
    """Budgets per workspace and of the whole host."""

    def __init__(self, limits: settings.Limits) -> None:
        """Store the limits for new workspaces."""
        self._limits = limits
        self._total = Budget(limits)
        self._budgets_by_workspace: dict[str, Budget] = collections.defaultdict(
            self._new_budget
        )

    def deposit(self, workspace: str) -> None:
        """Deposit the share of a new request of a workspace."""
        self._total.deposit()
        self._budgets_by_workspace[workspace].deposit()

    def try_withdraw(self, workspace: str) -> bool:
        """Withdraw a retry from both budgets, or from neither."""
        budget = self._budgets_by_workspace[workspace]
        if not (budget.can_withdraw and self._total.can_withdraw):
            return False
        budget.withdraw()
        self._total.withdraw()
        return True

    def _new_budget(self) -> Budget:
        return Budget(self._limits)
