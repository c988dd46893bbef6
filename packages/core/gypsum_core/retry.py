"""Retry budget, which keeps retries from amplifying an overload."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """A token bucket: requests add `rate` tokens each, a retry takes one."""

    rate: float
    burst: float
    tokens: float

    def deposit(self):
        """Add the tokens of a new request."""
        self.tokens = min(self.burst, self.tokens + self.rate)

    def withdraw(self):
        """Take the token of a retry; returns False if the budget is used up."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
