"""Runs the engine's reducer on asyncio: events, effects, timers and drain."""

from nutmegstep.runtime.control_check import build_control_check
from nutmegstep.runtime.core import Runtime
from nutmegstep.runtime.lifecycle import (
    DrainableFilter,
    DrainTimeouts,
    drain,
    run,
)
from nutmegstep.runtime.protocols import (
    ClaimService,
    ObservedSend,
    RequestEnd,
    RequestObserver,
    RequestTrace,
    SendObserver,
    WarmReporter,
)

__all__ = [
    'ClaimService',
    'DrainTimeouts',
    'DrainableFilter',
    'ObservedSend',
    'RequestEnd',
    'RequestObserver',
    'RequestTrace',
    'Runtime',
    'SendObserver',
    'WarmReporter',
    'build_control_check',
    'drain',
    'run',
]
