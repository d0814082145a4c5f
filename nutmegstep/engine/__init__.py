"""Request handling of an entry VM as a deterministic reducer.

`reduce` applies events, such as requests, answers and timers, to the state and
returns the effects that the runtime must perform. The package reads no clock
and performs no input or output.
"""

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
