"""The reducer over all events, with effects as data."""

from nutmegstep.engine.admitting import early_refusal
from nutmegstep.engine.core import reduce
from nutmegstep.engine.explaining import find_explanations
from nutmegstep.engine.explanation import Explanation
from nutmegstep.engine.state import EngineState
from nutmegstep.engine.warming import cold_targets_to_lease

__all__ = [
    'EngineState',
    'Explanation',
    'cold_targets_to_lease',
    'early_refusal',
    'find_explanations',
    'reduce',
]
