"""Choice of the index version of a query."""

from nutmegstep.snapshot.core import (
    MAX_RESTARTS,
    HeldVersions,
    choose_version,
)
from nutmegstep.snapshot.shards import ServiceShards, ShardMaps

__all__ = [
    'MAX_RESTARTS',
    'HeldVersions',
    'ServiceShards',
    'ShardMaps',
    'choose_version',
]
