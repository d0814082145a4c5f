"""The asyncio shell around the reducer."""

from nutmegstep.runtime.core import Runtime
from nutmegstep.runtime.lifecycle import DrainTimes, Gate, drain, run
from nutmegstep.runtime.ports import (
    ClaimService,
    RequestObserver,
    RequestTrace,
    WarmReporter,
)

__all__ = [
    'ClaimService',
    'DrainTimes',
    'Gate',
    'RequestObserver',
    'RequestTrace',
    'Runtime',
    'WarmReporter',
    'drain',
    'run',
]
