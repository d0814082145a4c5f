"""HTTP/1.1 client with one connection pool per target."""

from nutmegstep.targets.core import SendCheck, SilenceLimit, TargetPool

__all__ = ['SendCheck', 'SilenceLimit', 'TargetPool']
