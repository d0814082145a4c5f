"""Choice of the replica for a target request."""

from nutmegstep.routing.core import choose_replica, usable_replicas

__all__ = ['choose_replica', 'usable_replicas']
