"""At most once: claims of one-shot requests in journals at the platform."""

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
