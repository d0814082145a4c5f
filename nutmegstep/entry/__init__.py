"""Entry process: composition of all its parts."""

from nutmegstep.entry.core import serve

__all__ = ['serve']
