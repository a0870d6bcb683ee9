"""
Retries
~~~~~~~

Retry budgets. Each request earns a fraction of a retry, so retries stay a
bounded share of the traffic while targets fail.
"""

import collections

from bergamotstream import settings

PERCENT = 100


class Budget:
    """A bounded credit of retries; one retry costs :data:`PERCENT`."""

    def __init__(self, limits: settings.Limits) -> None:
        """Start with the full burst."""
        self._earned = limits.retry_percent
        self._maximum = limits.retry_burst * PERCENT
        self.credit = self._maximum

    def earn(self) -> None:
        """Add the share of one request."""
        self.credit = min(self.credit + self._earned, self._maximum)

    @property
    def available(self) -> bool:
        """Tell whether a retry can be paid for."""
        return self.credit >= PERCENT

    def spend(self) -> None:
        """Pay for one retry."""
        self.credit -= PERCENT


class RetryBudgets:
    """Budgets per workspace and of the whole host."""

    def __init__(self, limits: settings.Limits) -> None:
        """Keep the limits for new workspaces."""
        self._limits = limits
        self._total = Budget(limits)
        self._budgets_by_workspace: dict[str, Budget] = collections.defaultdict(
            self._new_budget
        )

    def earn(self, workspace: str) -> None:
        """Count a new request of a workspace."""
        self._total.earn()
        self._budgets_by_workspace[workspace].earn()

    def try_spend(self, workspace: str) -> bool:
        """Pay for a retry from both budgets, or from neither."""
        budget = self._budgets_by_workspace[workspace]
        if not (budget.available and self._total.available):
            return False
        budget.spend()
        self._total.spend()
        return True

    def _new_budget(self) -> Budget:
        return Budget(self._limits)
