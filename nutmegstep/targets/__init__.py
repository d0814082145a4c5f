"""HTTP client pool for targets."""

from nutmegstep.targets.core import SendCheck, SilenceLimit, TargetPool

__all__ = ['SendCheck', 'SilenceLimit', 'TargetPool']
