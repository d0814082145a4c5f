"""Token budgets that bound the extra load of hedges, retries and restarts."""

from dataclasses import dataclass
from typing import Final

__all__ = ['HEDGE_SHARE', 'RESTART_SHARE', 'RETRY_SHARE', 'TokenBudget']

HEDGE_SHARE: Final = 0.05
"""Hedges per ordinary target request."""
RETRY_SHARE: Final = 0.1
"""Retries per ordinary target request."""
RESTART_SHARE: Final = 0.1
"""Restarts at another index version per query."""

_MAX_TOKENS: Final = 25
"""Capacity and initial content of a budget. A VM that has just started must be
able to retry its first failures; more tokens would allow a large burst after a
time with few failures."""
_TOKENS_PER_REQUEST: Final = 1


@dataclass(slots=True)
class TokenBudget:
    """Token bucket that allows extra requests as a share of ordinary ones.

    Parameters
    ----------
    share : float
        Tokens that are added for each ordinary request.
    tokens : float
        Number of tokens; each one allows one extra request.

    Examples
    --------
    >>> budget = TokenBudget(0.5, tokens=0)
    >>> budget.spend()
    False
    >>> budget.earn(2)
    >>> budget.spend()
    True
    """

    share: float
    tokens: float = _MAX_TOKENS

    def earn(self, requests: int = 1) -> None:
        """Add the tokens for a number of ordinary requests."""
        earned = self.tokens + self.share * requests
        self.tokens = earned if earned < _MAX_TOKENS else _MAX_TOKENS

    def spend(self) -> bool:
        """Take the token of an extra request; return whether there was one."""
        if self.tokens < _TOKENS_PER_REQUEST:
            return False
        self.tokens -= _TOKENS_PER_REQUEST
        return True
