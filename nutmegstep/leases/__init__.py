"""Leases: the exclusive, time-limited rights to send to cold targets.

A VM holds the lease of a cold target while every VM of its failure domain,
itself included, has granted it.
"""

from nutmegstep.leases.core import (
    Grant,
    LeaseState,
    drop_expired,
    grant_targets,
    grant_to_self,
    lease_expiry_by_target,
    record_grants,
    record_release,
    release_all,
)
from nutmegstep.leases.rank import (
    highest_ranked,
    rank_by_hash,
    targets_to_request,
)

__all__ = [
    'Grant',
    'LeaseState',
    'drop_expired',
    'grant_targets',
    'grant_to_self',
    'highest_ranked',
    'lease_expiry_by_target',
    'rank_by_hash',
    'record_grants',
    'record_release',
    'release_all',
    'targets_to_request',
]
