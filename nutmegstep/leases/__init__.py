"""Exclusive promises that decide who may send to a cold target."""

from nutmegstep.leases.core import (
    LeaseState,
    Grant,
    grant_targets,
    drop_expired,
    grant_to_self,
    record_grants,
    record_release,
    release_all,
    lease_expiry_by_target,
)
from nutmegstep.leases.rank import (
    highest_ranked,
    rank_by_hash,
    targets_to_request,
)

__all__ = [
    'LeaseState',
    'Grant',
    'grant_targets',
    'drop_expired',
    'highest_ranked',
    'rank_by_hash',
    'grant_to_self',
    'record_grants',
    'record_release',
    'release_all',
    'targets_to_request',
    'lease_expiry_by_target',
]
