"""Dispatcher: decides where routed requests are sent and how they are answered.

The dispatcher does no input or output. A reducer takes one event at a time,
changes the state and returns the effects that the gateway carries out.
"""

from nutmegstep.dispatch.core import reduce_event
from nutmegstep.dispatch.state import (
    ColdLimits,
    DispatchLimits,
    DispatchState,
)

__all__ = ['ColdLimits', 'DispatchLimits', 'DispatchState', 'reduce_event']
