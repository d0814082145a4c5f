"""HTTP interface for callers."""

from nutmegstep.callers.core import CallerInterface

__all__ = ['CallerInterface']
