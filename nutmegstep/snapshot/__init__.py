"""Snapshot reads: all shards of a query are read at one index version."""

from nutmegstep.snapshot.core import (
    MAX_RESTARTS,
    VersionHolders,
    choose_version,
)
from nutmegstep.snapshot.shards import ServiceShardMap, ShardMapCache

__all__ = [
    'MAX_RESTARTS',
    'ServiceShardMap',
    'ShardMapCache',
    'VersionHolders',
    'choose_version',
]
