"""Targets that announce themselves in the platform's store."""

from nutmegstep.discovery.core import Roster, TargetRecord

__all__ = ['Roster', 'TargetRecord']
