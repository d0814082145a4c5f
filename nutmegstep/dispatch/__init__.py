"""Dispatcher: decides where routed requests are sent and how they are answered.

The dispatcher does no input or output. A reducer takes one event at a time,
changes the state and returns the effects that the gateway carries out.
"""

from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.dispatch.core import reduce_event
from nutmegstep.dispatch.limits import ColdLimits, DispatchLimits
from nutmegstep.dispatch.state import DispatchState

__all__ = [
    'BudgetLimits',
    'ColdLimits',
    'DispatchLimits',
    'DispatchState',
    'reduce_event',
]
