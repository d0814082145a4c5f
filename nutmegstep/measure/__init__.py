"""Measures the product and a plain baseline under load."""

from nutmegstep.measure.answer_check import find_answer_fault
from nutmegstep.measure.load import (
    Generator,
    LoadResult,
    run_closed_loop,
    run_open_loop,
)

__all__ = [
    'Generator',
    'LoadResult',
    'find_answer_fault',
    'run_closed_loop',
    'run_open_loop',
]
