"""Composition of an entry process."""

from nutmegstep.entry.core import serve

__all__ = ['serve']
