"""The reducer over all events, with effects as data."""

from nutmegstep.engine.core import reduce
from nutmegstep.engine.state import EngineState

__all__ = ['EngineState', 'reduce']
