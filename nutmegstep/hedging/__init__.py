"""Hedge delays and token budgets of hedges, retries and restarts."""

from nutmegstep.hedging.core import (
    HEDGE_SHARE,
    RESTART_SHARE,
    RETRY_SHARE,
    TokenBudget,
)
from nutmegstep.hedging.latency import LatencyWindow, silence_timeout

__all__ = [
    'HEDGE_SHARE',
    'RESTART_SHARE',
    'RETRY_SHARE',
    'LatencyWindow',
    'TokenBudget',
    'silence_timeout',
]
