"""Clock protocol and its implementations."""

from nutmegstep.clock.core import Clock, ManualClock, SystemClock

__all__ = ['Clock', 'ManualClock', 'SystemClock']
