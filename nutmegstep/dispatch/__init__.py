"""Decisions on routed requests: one reducer, effects as data."""

from nutmegstep.dispatch.core import reduce_event
from nutmegstep.dispatch.state import (
    ColdTerms,
    DispatchState,
    DispatchTerms,
)

__all__ = ['ColdTerms', 'DispatchState', 'DispatchTerms', 'reduce_event']
