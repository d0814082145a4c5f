"""The reducer over all events, with effects as data."""

from nutmegstep.engine.admitting import refusal_at_head
from nutmegstep.engine.core import reduce
from nutmegstep.engine.explaining import explanations_of
from nutmegstep.engine.explanation import Explanation
from nutmegstep.engine.state import EngineState
from nutmegstep.engine.warming import wanted_cold_targets

__all__ = [
    'EngineState',
    'Explanation',
    'explanations_of',
    'reduce',
    'refusal_at_head',
    'wanted_cold_targets',
]
