"""Budgets of hedges, retries and restarts."""

from nutmegstep.hedging.core import (
    HEDGE_SHARE,
    RESTART_SHARE,
    RETRY_SHARE,
    TokenBudget,
)

__all__ = ['HEDGE_SHARE', 'RESTART_SHARE', 'RETRY_SHARE', 'TokenBudget']
