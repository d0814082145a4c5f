"""Data classes for the configuration in force, requests and answers."""

from nutmegstep.model.core import (
    Answer,
    CoverageRule,
    Fleet,
    IdempotentQuery,
    IndexVersion,
    LackingShard,
    OneShotRequest,
    SendPermit,
    Service,
    Shard,
    Target,
    WorkClass,
)

__all__ = [
    'Answer',
    'CoverageRule',
    'Fleet',
    'IdempotentQuery',
    'IndexVersion',
    'LackingShard',
    'OneShotRequest',
    'SendPermit',
    'Service',
    'Shard',
    'Target',
    'WorkClass',
]
