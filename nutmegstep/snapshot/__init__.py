"""Choice of the index version of a query."""

from nutmegstep.snapshot.core import (
    MAX_RESTARTS,
    HeldVersions,
    choose_version,
    service_shards,
)

__all__ = ['MAX_RESTARTS', 'HeldVersions', 'choose_version', 'service_shards']
