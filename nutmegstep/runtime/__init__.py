"""The asyncio shell around the reducer."""

from nutmegstep.runtime.core import Runtime

__all__ = ['Runtime']
