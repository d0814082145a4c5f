"""Choice of the index version of a query."""

from nutmegstep.snapshot.core import choose_version, service_shards

__all__ = ['choose_version', 'service_shards']
