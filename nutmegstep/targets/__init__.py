"""HTTP client pool for targets."""

from nutmegstep.targets.core import TargetPool

__all__ = ['TargetPool']
