"""Choice of the index version of a query."""

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
