"""At-most-once execution of non-idempotent (one-shot) requests.

Before a VM sends a one-shot request to a target, it claims the idempotency
key of the request: it writes a claim record into an object at the platform,
called a journal, by compare-and-set. Only the VM whose record is stored, the
claimer, may send the request. Other VMs query the claimer for the status of
its claim when they receive a request with the same key.
"""

from nutmegstep.claims.core import reduce_claims
from nutmegstep.claims.local import ClaimPhase, ClaimStatus
from nutmegstep.claims.service import ClaimCoordinator
from nutmegstep.claims.state import ClaimReducerState

__all__ = [
    'ClaimCoordinator',
    'ClaimPhase',
    'ClaimReducerState',
    'ClaimStatus',
    'reduce_claims',
]
