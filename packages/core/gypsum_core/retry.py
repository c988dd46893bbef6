"""Retry budget: retries never multiply an overload."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """A token bucket that first attempts fill and retries empty."""

    rate: float
    burst: float
    tokens: float

    def deposit(self):
        """A first attempt earns a fraction of a retry."""
        self.tokens = min(self.burst, self.tokens + self.rate)

    def withdraw(self):
        """Take a retry's token; False when the budget is used up."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
