"""Load and experiment tool."""

from nutmegstep.measure.load import (
    Generator,
    LoadResult,
    run_closed_loop,
    run_open_loop,
)
from nutmegstep.measure.truth import find_untruth

__all__ = [
    'Generator',
    'LoadResult',
    'find_untruth',
    'run_closed_loop',
    'run_open_loop',
]
