"""Membership: the other entry VMs as one entry process knows them.

Heartbeats show which VMs are alive. The roster of a failure domain is the set
of VMs that may still send to targets, whether they are alive or not.
"""

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
