"""Coverage bookkeeping of answers."""

from nutmegstep.coverage.core import CoverageMismatchError, build_answer

__all__ = ['CoverageMismatchError', 'build_answer']
