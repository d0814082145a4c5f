"""Coverage bookkeeping of answers."""

from nutmegstep.coverage.core import build_answer

__all__ = ['build_answer']
