"""The asyncio shell around the reducer."""

from nutmegstep.runtime.core import Runtime
from nutmegstep.runtime.lifecycle import DrainTimes, Gate, drain, run
from nutmegstep.runtime.ports import (
    ClaimService,
    ObservedSend,
    RequestEnd,
    RequestObserver,
    RequestTrace,
    SendObserver,
    WarmReporter,
)
from nutmegstep.runtime.sends import build_send_check

__all__ = [
    'ClaimService',
    'DrainTimes',
    'Gate',
    'ObservedSend',
    'RequestEnd',
    'RequestObserver',
    'RequestTrace',
    'Runtime',
    'SendObserver',
    'WarmReporter',
    'build_send_check',
    'drain',
    'run',
]
