"""Token budgets that bound the extra load of hedges and retries."""

from dataclasses import dataclass
from typing import Final

__all__ = ['HEDGE_SHARE', 'RESTART_SHARE', 'RETRY_SHARE', 'TokenBudget']

HEDGE_SHARE: Final = 0.05
RETRY_SHARE: Final = 0.1
RESTART_SHARE: Final = 0.1

# A VM that has just started must be able to retry the first failures; more
# saved tokens would allow a burst after a quiet time.
_MAX_TOKENS: Final = 25
_TOKENS_PER_REQUEST: Final = 1


@dataclass(slots=True)
class TokenBudget:
    """Allows extra requests up to a share of the ordinary ones.

    Parameters
    ----------
    share : float
        Tokens earned by each ordinary request.
    tokens : float
        Extra requests that are allowed now.

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
        """Count ordinary requests."""
        earned = self.tokens + self.share * requests
        self.tokens = earned if earned < _MAX_TOKENS else _MAX_TOKENS

    def spend(self) -> bool:
        """Take the token of one extra request, if there is one."""
        if self.tokens < _TOKENS_PER_REQUEST:
            return False
        self.tokens -= _TOKENS_PER_REQUEST
        return True
