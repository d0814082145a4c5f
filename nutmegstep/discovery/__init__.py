"""Registry of the targets that announce themselves in the platform's store."""

from nutmegstep.discovery.core import TargetRecord, TargetRegistry

__all__ = ['TargetRecord', 'TargetRegistry']
