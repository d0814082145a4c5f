"""Decisions on routed requests: one reducer, effects as data."""

from nutmegstep.dispatch.core import reduce_event
from nutmegstep.dispatch.state import (
    ColdLimits,
    DispatchLimits,
    DispatchState,
)

__all__ = ['ColdLimits', 'DispatchLimits', 'DispatchState', 'reduce_event']
