"""Data classes for the configuration in force and for requests."""

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
