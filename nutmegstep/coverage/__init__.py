"""Answers that list the shards they cover and the shards they lack."""

from nutmegstep.coverage.core import CoverageMismatchError, build_answer

__all__ = ['CoverageMismatchError', 'build_answer']
