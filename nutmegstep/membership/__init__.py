"""Which entry processes are alive, and which may still act."""

from nutmegstep.membership.core import (
    Identity,
    ListedVm,
    Member,
    MembershipState,
    forget,
    record_heartbeat,
    record_list,
    record_tick,
)
from nutmegstep.membership.views import (
    Health,
    member_health,
    prune,
    roster,
    suspected_names,
    view,
)

__all__ = [
    'Health',
    'Identity',
    'ListedVm',
    'Member',
    'MembershipState',
    'forget',
    'member_health',
    'prune',
    'record_heartbeat',
    'record_list',
    'record_tick',
    'roster',
    'suspected_names',
    'view',
]
