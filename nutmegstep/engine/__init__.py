"""The reducer over all events, with effects as data."""

from nutmegstep.engine.core import reduce
from nutmegstep.engine.state import EngineState
from nutmegstep.engine.warming import wanted_cold_targets

__all__ = ['EngineState', 'reduce', 'wanted_cold_targets']
