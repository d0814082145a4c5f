"""Pace at which a target that has started or recovered gets its load back."""

from nutmegstep.pace.core import Pace, is_as_fast, peers_slowness

__all__ = ['Pace', 'is_as_fast', 'peers_slowness']
